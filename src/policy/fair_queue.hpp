// Queues of requests that wait for a slot at an endpoint, and the order in which they are served.
//
// There are three sides. Sensitive requests are ordered by latest dispatch time. Best-effort requests are
// queued per tenant and ordered by the same time; the tenant with the least served work per fair share is
// served first. Deferred requests are served after both, least work per value first: those over their
// tenant's quota, too late for their objective, or deferred because of overload. Times are in microseconds,
// work in microseconds of one core.
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
    double run_time = 0;     // expected
    bool sensitive = false;  // whether the request's class is sensitive
    Micros now = 0;
};

// Returns the side on which a request waits. Requests that cannot meet their objective are deferred: ordered
// by dispatch time alone, they would be served first and delay all others past their objectives.
QueueSide select_side(const QueueInput& input);

// Returns the work per unit of value that the response can still have.
double work_per_value(const QueueInput& input);

// A request queued on the sensitive or best-effort side.
struct DeferralCandidate {
    double work_per_value = 0;
    int slot = 0;
    double work = 0;
};

// Returns the slots to defer under overload: those with the most work per value, in descending order, until
// the work of the rest is within `work_limit`.
std::vector<int> select_deferred(std::vector<DeferralCandidate> waiting, double work_limit);

// Limit of the work queued on the sensitive and best-effort sides together.
struct BacklogInput {
    double fleet_cores = 0;
    int gateway_count = 1;
    double shortest_objective = 0;  // shortest of all classes
};
double backlog_limit(const BacklogInput& input);

class FairQueue {
public:
    // Dispatches the request in a slot and returns true, or returns false if it has to wait. May call `erase`
    // for that slot before it returns true.
    using TryDispatch = std::function<bool(int slot)>;

    // `settings` and `requests` must outlive this object.
    FairQueue(const PolicySettings& settings, RequestTable& requests);

    // Queues a request. Has no effect if the request is queued or finished.
    void insert(int slot, const QueueInput& input);
    // Removes a request from its queue. Has no effect if it is not queued.
    void erase(int slot);
    // Tries to dispatch requests in order until one is dispatched: the sensitive or the best-effort side
    // first, the deferred side last. Returns whether one was dispatched.
    bool serve(bool sensitive_first, const TryDispatch& try_dispatch);

private:
    // Rank, arrival sequence number, slot.
    using Entry = std::tuple<Micros, std::uint64_t, int>;
    struct TenantQueue {
        std::set<Entry> entries;
        double served_work = 0;  // divided by the fair share
    };

    std::set<Entry>& entries_for(const ActiveRequest& request);
    static bool serve_from(const std::set<Entry>& entries, const TryDispatch& try_dispatch);
    bool serve_best_effort(const TryDispatch& try_dispatch);
    void count_served(const ActiveRequest& request);

    const PolicySettings* settings_;
    RequestTable* requests_;
    std::set<Entry> sensitive_;
    std::set<Entry> deferred_;
    std::vector<TenantQueue> best_effort_;  // indexed by tenant; one entry if there are no tenants
};

}  // namespace gatetiller::policy
