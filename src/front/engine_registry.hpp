// Registry of the engines known to a front: their ids for the policy, their connections, and their states
// according to the endpoint list and to their own status reports.
//
// Invariants: An id identifies one name at one address and is never reused. An engine that is new, that
// returns to the list or whose connections have all closed receives no new attempts until its status is known
// or kStatusTimeout has passed, because its process may be a new one that is still warming up.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "decide/endpoint_state_tracker.hpp"
#include "discovery/endpoint_cache.hpp"
#include "discovery/endpoint_source.hpp"
#include "http/client.hpp"

namespace gatetiller::front {

struct Engine {
    EngineId id = 0;
    config::EngineSettings settings;
    std::unique_ptr<http::Client> client;
    decide::EndpointStateTracker state_tracker;
    http::Client::Call info_poll;
    http::Client::Call state_poll;
    std::optional<Micros> uptime;    // according to its last status report
    bool starting = false;           // according to its last status report
    Micros connections_lost_at = 0;  // time of the last poll caused by the loss of all connections
};

class EngineRegistry {
public:
    struct Events {
        std::function<void(EndpointUpdate)> on_update;
        std::function<void(std::string)> log;
    };
    // Receives the duration of the check in microseconds, its outcome, and the engine's load report if there
    // is one.
    using HealthCheckHandler = std::function<void(Micros, AttemptOutcome, std::optional<LoadReport>)>;

    // The loop outlives the registry.
    EngineRegistry(net::Loop& loop, const config::FrontSettings& settings, Events events);
    ~EngineRegistry();
    EngineRegistry(const EngineRegistry&) = delete;
    EngineRegistry& operator=(const EngineRegistry&) = delete;

    // Reports the initial list, from the cache or the configuration, and starts polling the source and the
    // engines.
    void start();
    // Polls the source immediately. Without a source, reports an empty incremental update.
    void poll_source();
    // Applies the engines and the endpoint source of new settings.
    void reload(const config::FrontSettings& settings);
    // Reports engines in slow start as draining until `until` (loop time). A time in the past ends this.
    void hold_slow_start_until(Micros until);
    // Returns null if the id is unknown.
    Engine* find(EngineId id);
    const std::map<EngineId, std::unique_ptr<Engine>>& all() const {
        return engines_;
    }
    // Checks an engine's health with a separate request.
    void check_health(EngineId id, HealthCheckHandler done);

private:
    struct PendingStatus {
        EngineId id;
        Micros deadline;
    };

    void apply_list(const std::vector<config::EngineSettings>& list, EndpointUpdateKind kind);
    Engine& find_or_create(const config::EngineSettings& settings);
    void remove_unlisted(const std::vector<Endpoint>& listed);
    void open_source();
    void save_cached_endpoints();
    void poll_statuses_periodically();
    void poll_status(Engine& engine);
    void on_info(Engine& engine, const http::Answer& result);
    void on_state(Engine& engine, const http::Answer& result);
    void on_status_unavailable(Engine& engine) const;
    void on_connections_lost(Engine& engine);
    void poll_and_await_status(Engine& engine);
    void expire_pending_statuses();
    void report_state(const Engine& engine) const;
    http::Request status_request(const char* path) const;
    Micros status_request_timeout() const;

    net::Loop& loop_;
    config::RosterSettings source_settings_;
    std::vector<config::EngineSettings> configured_engines_;
    http::ClientOptions client_options_;
    std::string front_name_;
    Events events_;
    std::unique_ptr<discovery::EndpointSource> source_;
    std::map<EngineId, std::unique_ptr<Engine>> engines_;
    std::map<std::string, EngineId> ids_;  // key: name and address
    EngineId last_id_ = 0;
    std::deque<PendingStatus> pending_statuses_;       // ordered by deadline, earliest first
    std::vector<config::EngineSettings> source_list_;  // last list from the source
    net::TimerId status_poll_timer_ = 0;
    net::TimerId slow_start_hold_timer_ = 0;
    net::TimerId pending_status_timer_ = 0;
    net::TimerId cache_retry_timer_ = 0;
    Micros slow_start_window_;
    Micros slow_start_hold_until_ = 0;
};

}  // namespace gatetiller::front
