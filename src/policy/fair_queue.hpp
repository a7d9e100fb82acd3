// The queues of requests that wait for a slot at an endpoint, and the order in which they get one.
//
// Three sides. Sensitive requests go by their latest dispatch time. Best-effort requests wait by tenant, by
// the same time within one; the tenant that got least work for its fair share goes first. Deferred requests
// wait behind both, least work for its value first: those over their tenant's quota, too late for their
// objective, or deferred by load shedding. Times are microseconds, work is microseconds of one core.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <tuple>
#include <vector>

#include "base/time.hpp"
#include "policy/active_request.hpp"
#include "policy/request_table.hpp"
#include "policy/settings.hpp"

namespace gatetiller::policy {

struct QueueInput {
    const PolicySettings& settings;
    const ActiveRequest& request;
    double run_time = 0;     // expected, of the request
    bool sensitive = false;  // its class
    Micros now = 0;
};

// The side on which a request is to wait. By due time alone the long overdue would go first, and soon nothing
// would be in time: what cannot meet its objective is deferred.
QueueSide judge_side(const QueueInput& input);

// Work for each unit of value that the request's answer can still have.
double work_per_value(const QueueInput& input);

// A request that waits on the sensitive or best-effort side.
struct DeferralCandidate {
    double work_per_value = 0;
    int slot = 0;
    double work = 0;
};

// Overload: returns the slots to defer, in this order: those that cost most for their value, until the
// rest fits in `work_limit`.
std::vector<int> select_deferred(std::vector<DeferralCandidate> waiting, double work_limit);

// Work that the sensitive and best-effort sides may hold.
struct BacklogInput {
    double fleet_cores = 0;
    int gateway_count = 1;
    double shortest_objective = 0;  // of all classes
};
double backlog_limit(const BacklogInput& input);

class FairQueue {
public:
    // Dispatches the request in a slot and returns true, or returns false where it has to wait. May call
    // `erase` for that slot before it returns true.
    using TryDispatch = std::function<bool(int slot)>;

    // `settings` and `requests` outlive it.
    FairQueue(const PolicySettings& settings, RequestTable& requests);

    // Queues a request that is neither queued nor finished; no effect otherwise.
    void insert(int slot, const QueueInput& input);
    // Takes a request out; no effect if it is not queued.
    void erase(int slot);
    // Tries requests in order until one is dispatched: the sensitive side first or the best-effort side
    // first, the deferred side last. Returns whether one was.
    bool serve(bool sensitive_first, const TryDispatch& try_dispatch);

private:
    // Rank, sequence of arrival, slot.
    using Entry = std::tuple<Micros, std::uint64_t, int>;
    struct TenantQueue {
        std::set<Entry> entries;
        double served_work = 0;  // over fair share
    };

    std::set<Entry>& entries_with(const ActiveRequest& request);
    static bool serve_from(const std::set<Entry>& entries, const TryDispatch& try_dispatch);
    bool serve_best_effort(const TryDispatch& try_dispatch);
    void count_served(const ActiveRequest& request);

    const PolicySettings* settings_;
    RequestTable* requests_;
    std::set<Entry> sensitive_;
    std::set<Entry> deferred_;
    std::vector<TenantQueue> best_effort_;  // by tenant; one where there are no tenants
};

}  // namespace gatetiller::policy
