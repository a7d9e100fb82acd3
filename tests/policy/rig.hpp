// One front fed by hand: keeps what it sent, answers nothing by itself, and rings its timers.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy/gateway_policy.hpp"

namespace gatetiller::testing {

// Four classes on engines of 8 cores: short (0.1 s on one thread), long, keyed and unsafe (each 2 s on two).
inline PolicySettings plain() {
    PolicySettings s;
    const auto add = [&](const char* name, Idempotency effect, Micros aim, Micros deadline, double threads) {
        ClassSettings c;
        c.name = name;
        c.idempotency = effect;
        c.latency_objective = aim;
        c.deadline = deadline;
        c.threads = threads;
        c.objective_run_factor = 2;
        c.late_value_share = 0.5;
        c.key_scope = KeyScope::all;
        c.key_window = 5'000'000;
        s.classes.push_back(c);
    };
    add("short", Idempotency::idempotent, 1'000'000, 4'000'000, 1);
    add("long", Idempotency::idempotent, 3'000'000, 20'000'000, 2);
    add("keyed", Idempotency::keyed, 3'000'000, 25'000'000, 2);
    add("unsafe", Idempotency::non_idempotent, 3'000'000, 20'000'000, 2);
    s.kinds = {{"std", 8, 16384}};
    s.zone = "z1";
    s.max_attempts = 3;
    s.can_cancel = true;
    s.supports_memory_grants = s.supports_priorities = true;
    s.max_memory_share = 0.4;
    s.sends_retry_after = true;
    s.max_retry_after = 2'000'000;
    s.slow_start_capacity_share = 0.3;
    s.slow_start_window = 15'000'000;
    s.overload_factor = 3;
    s.overload_window = 2'000'000;
    s.drain_grace = 1'000'000;
    s.response_grace = 20'000;
    return s;
}

inline std::string nth(const std::string& name, int i) {
    return name + std::to_string(i);
}

inline Endpoint engine(EngineId id, std::int64_t cell = 0) {
    Endpoint e;
    e.id = id;
    e.zone = "z1";
    e.kind = "std";
    e.cell = cell;
    return e;
}

// A query of which nothing is estimated.
inline RequestArrived unestimated(const std::string& id, const std::string& type, Micros time_left) {
    RequestArrived d;
    d.id = id;
    d.class_name = type;
    d.time_left = time_left;
    return d;
}

class Rig {
public:
    explicit Rig(PolicySettings s, std::uint64_t seed = 7) : gateway(0, seed, std::move(s)) {
        keep(gateway.start());
    }

    void at(Micros time) {
        now = time;
    }
    void handle(const Event& event) {
        keep(gateway.handle(now, event));
    }
    void update_endpoints(std::vector<Endpoint> engines) {
        handle(EndpointUpdate{EndpointUpdateKind::full, std::move(engines)});
    }
    void arrive(const std::string& id, const std::string& type, const std::string& key = "",
                const std::string& tenant = "") {
        RequestArrived d;
        d.id = id;
        d.class_name = type;
        d.ordering_key = key;
        d.tenant = tenant;
        d.time_left = type == "short" ? 4'000'000 : type == "keyed" ? 25'000'000 : 20'000'000;
        d.estimated_work = type == "short" ? 100'000 : 2'000'000;
        d.estimated_memory_mb = 20;
        handle(d);
    }
    void arrive_many(int count, const std::string& name, const std::string& type,
                     const std::string& tenant = "") {
        for (int i = 0; i < count; ++i)
            arrive(nth(name, i), type, "", tenant);
    }
    void complete(const std::string& id, int attempt, EngineId engine, AttemptOutcome outcome,
                  bool finished = false, Micros taken = 100'000) {
        AttemptCompleted c;
        c.id = id;
        c.attempt = attempt;
        c.engine = engine;
        c.outcome = outcome;
        c.request_finished = finished;
        c.duration = taken;
        handle(c);
    }
    // Rings timers up to a time; with `calm`, every engine that holds work also says that it lives.
    void run_until(Micros end, bool calm = true) {
        while (!timers.empty() && timers.begin()->first <= end) {
            const auto [due, name] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, due);
            if (calm && !dispatches.empty())
                handle(AttemptProgress{dispatches.back().id, 0, dispatches.back().engine,
                                       ProgressKind::waiting, 1});
            handle(TimerFired{name});
        }
        now = std::max(now, end);
    }
    int shed_count(const std::string& id) const {
        return count(sheds, id);
    }
    int failed_count(const std::string& id) const {
        return count(failures, id);
    }
    Micros ended_at(const std::string& id) const {
        return ended.at(id);
    }
    int dispatches_of(char initial, std::size_t from = 0) const {
        const auto named = [&](const DispatchAttempt& send) {
            return send.id[0] == initial;
        };
        return static_cast<int>(
            std::count_if(dispatches.begin() + static_cast<std::ptrdiff_t>(from), dispatches.end(), named));
    }
    std::vector<std::string> dispatched_ids() const {
        std::vector<std::string> ids;
        for (const DispatchAttempt& send : dispatches)
            ids.push_back(send.id);
        return ids;
    }

    GatewayPolicy gateway;
    Micros now = 0;
    std::vector<DispatchAttempt> dispatches;
    std::vector<CancelAttempt> cancels;
    std::vector<ResourceGrant> grants;
    std::vector<Action> others;
    std::vector<ShedRequest> sheds;
    std::vector<FailRequest> failures;
    std::set<std::pair<Micros, std::int64_t>> timers;

private:
    template <typename T>
    static int count(const std::vector<T>& all, const std::string& id) {
        int n = 0;
        for (const T& one : all)
            n += one.id == id;
        return n;
    }
    template <typename T>
    void keep_end(std::vector<T>& kept, const T& action) {
        kept.push_back(action);
        ended[action.id] = now;
    }
    void keep(const std::vector<Action>& actions) {
        for (const Action& action : actions) {
            if (const auto* a = std::get_if<DispatchAttempt>(&action))
                dispatches.push_back(*a);
            else if (const auto* b = std::get_if<ShedRequest>(&action))
                keep_end(sheds, *b);
            else if (const auto* c = std::get_if<FailRequest>(&action))
                keep_end(failures, *c);
            else if (const auto* d = std::get_if<CancelAttempt>(&action))
                cancels.push_back(*d);
            else if (const auto* e = std::get_if<ResourceGrant>(&action))
                grants.push_back(*e);
            else if (const auto* f = std::get_if<StartTimer>(&action))
                timers.emplace(now + f->delay, f->timer);
            else
                others.push_back(action);
        }
    }
    std::map<std::string, Micros> ended;
};

}  // namespace gatetiller::testing
