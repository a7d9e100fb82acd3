// The engines that a front knows: their ids for the policy, their connections, and their states by the
// endpoint list and by their own status reports.
//
// Invariants: an id stands for one name at one address and is never reused. A new or returning engine, and
// one whose connections all closed, gets nothing more until its status is known or kStatusTimeout has passed:
// its process may be a new one that is still warming up.
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
    std::optional<Micros> uptime;    // by its last report
    bool starting = false;           // by its last report
    Micros connections_lost_at = 0;  // when it was last polled because all its connections closed
};

class EngineRegistry {
public:
    struct Events {
        std::function<void(EndpointUpdate)> on_update;
        std::function<void(std::string)> log;
    };
    // Gets how long the check took, in microseconds, its outcome, and the engine's load where it reported
    // one.
    using HealthCheckHandler = std::function<void(Micros, AttemptOutcome, std::optional<LoadReport>)>;

    // The loop outlives the registry.
    EngineRegistry(net::Loop& loop, const config::FrontSettings& settings, Events events);
    ~EngineRegistry();
    EngineRegistry(const EngineRegistry&) = delete;
    EngineRegistry& operator=(const EngineRegistry&) = delete;

    // Reports the first list, from the cache or the configuration, and begins to poll the source and the
    // engines.
    void start();
    // Polls the source now. Without a source, reports an empty incremental update.
    void poll_source();
    // Takes over the engines and the endpoint source of new settings.
    void reload(const config::FrontSettings& settings);
    // Engines in slow start are held as draining until then (loop time). A time that has passed ends the
    // hold.
    void hold_slow_start_until(Micros until);
    // Null where the id is unknown.
    Engine* find(EngineId id);
    const std::map<EngineId, std::unique_ptr<Engine>>& all() const {
        return engines_;
    }
    // Checks an engine's health by a request of its own.
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
    void on_info(Engine& engine, const http::Answer& answer);
    void on_state(Engine& engine, const http::Answer& answer);
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
    std::map<std::string, EngineId> ids_;  // by name and address
    EngineId last_id_ = 0;
    std::deque<PendingStatus> pending_statuses_;       // the earliest deadline first
    std::vector<config::EngineSettings> source_list_;  // the source's last list
    net::TimerId status_poll_timer_ = 0;
    net::TimerId hold_timer_ = 0;
    net::TimerId pending_status_timer_ = 0;
    net::TimerId cache_retry_timer_ = 0;
    Micros slow_start_window_;
    Micros hold_until_ = 0;
};

}  // namespace gatetiller::front
