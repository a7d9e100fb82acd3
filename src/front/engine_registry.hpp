// The engines that a front knows: their numbers for the module, their connections, and what the list and they
// themselves say of their state.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
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
    decide::EndpointStateTracker watch;
    http::Client::Call info, state;
    std::optional<Micros> uptime;
    bool starting = false;
    Micros lost_at = 0;  // all its connections, so that it was asked out of turn
};

class Engines {
public:
    struct Events {
        std::function<void(EndpointUpdate)> changed;
        std::function<void(std::string)> log;
    };
    Engines(net::Loop& loop, const config::FrontSettings& settings, Events events);
    ~Engines();

    void start();  // the first list, then watching
    void ask();    // the module wants the list
    void reload(const config::FrontSettings& settings);
    // Cold engines get nothing until then; an earlier moment than now lets them go.
    void hold_cold(Micros until);
    Engine* find(EngineId id);
    const std::map<EngineId, std::unique_ptr<Engine>>& all() const {
        return engines_;
    }
    // Asks an engine for its load; `done` gets the time taken and how it went.
    void probe(EngineId id,
               std::function<void(Micros taken, AttemptOutcome, std::optional<LoadReport>)> done);

private:
    void take_list(const std::vector<config::EngineSettings>& list, EndpointUpdateKind form);
    void open_source();
    void keep_last_list();
    void watch();
    void ask_state(Engine& e);
    void ask_before_more(Engine& e);
    void ask_and_wait(Engine& e);
    void changed(Engine& e);
    void enough_waited();

    net::Loop& loop_;
    config::RosterSettings roster_;
    std::vector<config::EngineSettings> own_;
    http::ClientOptions client_options_;
    std::string name_;
    Events events_;
    std::unique_ptr<discovery::EndpointSource> source_;
    std::map<EngineId, std::unique_ptr<Engine>> engines_;
    std::map<std::string, EngineId> ids_;  // by name and address: a name that moves is another engine
    EngineId last_id_ = 0;
    struct Awaited {
        EngineId id;
        Micros until;
    };
    std::deque<Awaited> awaited_;  // asked, and held until they have answered or so long; the earliest first
    std::vector<config::EngineSettings> to_keep_;  // the source's last list
    net::TimerId watching_ = 0, holding_ = 0, first_word_ = 0, keeping_ = 0;
    Micros warm_up_, hold_until_ = 0;
};

}  // namespace gatetiller::front
