#include "policy/fair_queue.hpp"

#include <algorithm>
#include <utility>

namespace gatetiller::policy {
namespace {

constexpr std::size_t kMaxRequestsTried =
    8;  // per queue and free slot, if the requests before them cannot be dispatched
constexpr double kBacklogShare = 0.5;  // of the shortest latency objective
constexpr double kMinValue = 1e-3;
constexpr double kMinFairShare = 0.01;

bool misses_objective(const QueueInput& input) {
    return input.now + input.run_time > input.request.objective_at;
}

}  // namespace

QueueSide select_side(const QueueInput& input) {
    if (input.request.deferred || input.request.over_quota || misses_objective(input))
        return QueueSide::deferred;
    return input.sensitive ? QueueSide::sensitive : QueueSide::best_effort;
}

double work_per_value(const QueueInput& input) {
    const ClassSettings& class_settings = input.settings.classes[input.request.class_index];
    const double value =
        class_settings.priority_weight * (input.request.over_quota ? input.settings.over_quota_weight : 1);
    const double share = misses_objective(input) ? class_settings.late_value_share : 1;
    return input.request.work / std::max(value * share, kMinValue);
}

std::vector<int> select_deferred(std::vector<DeferralCandidate> waiting, double work_limit) {
    double work = 0;
    for (const DeferralCandidate& candidate : waiting)
        work += candidate.work;
    std::sort(
        waiting.begin(), waiting.end(), [](const DeferralCandidate& left, const DeferralCandidate& right) {
            return std::pair(left.work_per_value, left.slot) > std::pair(right.work_per_value, right.slot);
        });
    std::vector<int> slots;
    for (const DeferralCandidate& candidate : waiting) {
        if (work <= work_limit)
            break;
        work -= candidate.work;
        slots.push_back(candidate.slot);
    }
    return slots;
}

double backlog_limit(const BacklogInput& input) {
    return input.fleet_cores / input.gateway_count * kBacklogShare * input.shortest_objective;
}

FairQueue::FairQueue(const PolicySettings& settings, RequestTable& requests)
    : settings_(&settings),
      requests_(&requests),
      best_effort_(std::max<std::size_t>(1, settings.tenants.size())) {}

std::set<FairQueue::Entry>& FairQueue::entries_for(const ActiveRequest& request) {
    if (request.side == QueueSide::deferred)
        return deferred_;
    return request.side == QueueSide::sensitive ? sensitive_ : best_effort_[request.tenant_index].entries;
}

void FairQueue::insert(int slot, const QueueInput& input) {
    ActiveRequest& request = (*requests_)[slot];
    if (request.queued || request.finished)
        return;
    request.queued = true;
    request.side = select_side(input);
    request.rank = request.side == QueueSide::deferred ? static_cast<Micros>(work_per_value(input))
                                                       : request.dispatch_by;
    entries_for(request).insert({request.rank, request.sequence, slot});
}

void FairQueue::erase(int slot) {
    ActiveRequest& request = (*requests_)[slot];
    if (!request.queued)
        return;
    request.queued = false;
    entries_for(request).erase({request.rank, request.sequence, slot});
}

bool FairQueue::serve(bool sensitive_first, const TryDispatch& try_dispatch) {
    if (sensitive_first)
        return serve_from(sensitive_, try_dispatch) || serve_best_effort(try_dispatch) ||
               serve_from(deferred_, try_dispatch);
    return serve_best_effort(try_dispatch) || serve_from(sensitive_, try_dispatch) ||
           serve_from(deferred_, try_dispatch);
}

bool FairQueue::serve_from(const std::set<Entry>& entries, const TryDispatch& try_dispatch) {
    std::size_t tried = 0;
    for (const auto& [rank, sequence, slot] : entries) {
        if (++tried > kMaxRequestsTried)
            return false;
        if (try_dispatch(slot))  // invalidates the iterator: the loop must end
            return true;
    }
    return false;
}

bool FairQueue::serve_best_effort(const TryDispatch& try_dispatch) {
    std::vector<std::pair<double, std::size_t>> candidates;
    for (std::size_t tenant = 0; tenant < best_effort_.size(); ++tenant)
        if (!best_effort_[tenant].entries.empty())
            candidates.emplace_back(best_effort_[tenant].served_work, tenant);
    std::sort(candidates.begin(), candidates.end());
    const auto dispatch_and_count = [&](int slot) {
        if (!try_dispatch(slot))
            return false;
        count_served((*requests_)[slot]);
        return true;
    };
    return std::any_of(candidates.begin(), candidates.end(), [&](const auto& candidate) {
        return serve_from(best_effort_[candidate.second].entries, dispatch_and_count);
    });
}

void FairQueue::count_served(const ActiveRequest& request) {
    const double share = settings_->tenants.empty() ? 1 : settings_->tenants[request.tenant_index].fair_share;
    best_effort_[request.tenant_index].served_work += request.work / std::max(share, kMinFairShare);
}

}  // namespace gatetiller::policy
