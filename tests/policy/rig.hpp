// Test harness for one front: feeds events to its policy, records the actions, and fires its timers.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy/gateway_policy.hpp"

namespace gatetiller::testing {

// Returns settings with engines of 8 cores and four classes: short (0.1 s on one thread), and long, keyed and
// unsafe (each 2 s on two threads).
inline PolicySettings default_settings() {
    PolicySettings s;
    const auto add = [&](const char* name, Idempotency idempotency, Micros objective, Micros deadline,
                         double threads) {
        ClassSettings c;
        c.name = name;
        c.idempotency = idempotency;
        c.latency_objective = objective;
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

inline std::string numbered(const std::string& name, int i) {
    return name + std::to_string(i);
}

inline Endpoint make_endpoint(EngineId id, std::int64_t cell = 0) {
    Endpoint e;
    e.id = id;
    e.zone = "z1";
    e.kind = "std";
    e.cell = cell;
    return e;
}

// Returns the arrival of a query without estimates.
inline RequestArrived unestimated(const std::string& id, const std::string& class_name, Micros time_left) {
    RequestArrived arrival;
    arrival.id = id;
    arrival.class_name = class_name;
    arrival.time_left = time_left;
    return arrival;
}

class PolicyHarness {
public:
    explicit PolicyHarness(PolicySettings s, std::uint64_t seed = 7) : gateway(0, seed, std::move(s)) {
        record(gateway.start());
    }

    void set_time(Micros time) {
        now = time;
    }
    void handle(const Event& event) {
        record(gateway.handle(now, event));
    }
    void update_endpoints(std::vector<Endpoint> endpoints) {
        handle(EndpointUpdate{EndpointUpdateKind::full, std::move(endpoints)});
    }
    void arrive(const std::string& id, const std::string& class_name, const std::string& key = "",
                const std::string& tenant = "") {
        RequestArrived arrival;
        arrival.id = id;
        arrival.class_name = class_name;
        arrival.ordering_key = key;
        arrival.tenant = tenant;
        arrival.time_left = class_name == "short"   ? 4'000'000
                            : class_name == "keyed" ? 25'000'000
                                                    : 20'000'000;
        arrival.estimated_work = class_name == "short" ? 100'000 : 2'000'000;
        arrival.estimated_memory_mb = 20;
        handle(arrival);
    }
    void arrive_many(int count, const std::string& name, const std::string& class_name,
                     const std::string& tenant = "") {
        for (int i = 0; i < count; ++i)
            arrive(numbered(name, i), class_name, "", tenant);
    }
    void complete(const std::string& id, int attempt, EngineId engine, AttemptOutcome outcome,
                  bool finished = false, Micros duration = 100'000) {
        AttemptCompleted completed;
        completed.id = id;
        completed.attempt = attempt;
        completed.engine = engine;
        completed.outcome = outcome;
        completed.request_finished = finished;
        completed.duration = duration;
        handle(completed);
    }
    // Fires timers up to `end`. With `send_progress`, the engine of the last dispatch also sends a progress
    // message at each timer, so that it is not silent.
    void run_until(Micros end, bool send_progress = true) {
        while (!timers.empty() && timers.begin()->first <= end) {
            const auto [due, number] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, due);
            if (send_progress && !dispatches.empty())
                handle(AttemptProgress{dispatches.back().id, 0, dispatches.back().engine,
                                       ProgressKind::waiting, 1});
            handle(TimerFired{number});
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
        return end_times.at(id);
    }
    // Returns the number of dispatches of ids with this initial, from index `from` on.
    int dispatches_of(char initial, std::size_t from = 0) const {
        const auto has_initial = [&](const DispatchAttempt& dispatch) {
            return dispatch.id[0] == initial;
        };
        return static_cast<int>(std::count_if(dispatches.begin() + static_cast<std::ptrdiff_t>(from),
                                              dispatches.end(), has_initial));
    }
    std::vector<std::string> dispatched_ids() const {
        std::vector<std::string> ids;
        for (const DispatchAttempt& dispatch : dispatches)
            ids.push_back(dispatch.id);
        return ids;
    }

    GatewayPolicy gateway;
    Micros now = 0;
    std::vector<DispatchAttempt> dispatches;
    std::vector<CancelAttempt> cancels;
    std::vector<ResourceGrant> grants;
    std::vector<Action> other_actions;
    std::vector<ShedRequest> sheds;
    std::vector<FailRequest> failures;
    std::set<std::pair<Micros, std::int64_t>> timers;

private:
    template <typename T>
    static int count(const std::vector<T>& actions, const std::string& id) {
        int n = 0;
        for (const T& action : actions)
            n += action.id == id;
        return n;
    }
    template <typename T>
    void record_end(std::vector<T>& recorded, const T& action) {
        recorded.push_back(action);
        end_times[action.id] = now;
    }
    void record(const std::vector<Action>& actions) {
        for (const Action& action : actions) {
            if (const auto* dispatch = std::get_if<DispatchAttempt>(&action))
                dispatches.push_back(*dispatch);
            else if (const auto* shed = std::get_if<ShedRequest>(&action))
                record_end(sheds, *shed);
            else if (const auto* fail = std::get_if<FailRequest>(&action))
                record_end(failures, *fail);
            else if (const auto* cancel = std::get_if<CancelAttempt>(&action))
                cancels.push_back(*cancel);
            else if (const auto* grant = std::get_if<ResourceGrant>(&action))
                grants.push_back(*grant);
            else if (const auto* timer = std::get_if<StartTimer>(&action))
                timers.emplace(now + timer->delay, timer->timer);
            else
                other_actions.push_back(action);
        }
    }
    std::map<std::string, Micros> end_times;
};

}  // namespace gatetiller::testing
