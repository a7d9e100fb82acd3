#include "decide/attempt_guard.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace gatetiller::decide {
namespace {

// Below this number of requests the allowance for random variation is the wider one.
constexpr double kFewRequests = 30;

// Whether the placement list permits `name`; no list permits every name.
bool is_allowed(const std::optional<std::vector<std::string>>& allowed_names, const std::string& name) {
    return !allowed_names ||
           std::find(allowed_names->begin(), allowed_names->end(), name) != allowed_names->end();
}

// Whether the target recognizes an idempotency key that the engine of the earlier execution has seen.
bool shares_idempotency_keys(const ClassSettings& cls, const EarlierExecution& earlier,
                             const EndpointSnapshot& target) {
    const bool same_zone = earlier.zone == target.zone;
    switch (cls.key_scope) {
        case KeyScope::all:
            return true;
        case KeyScope::zone:
            return same_zone;
        case KeyScope::cell:
            return same_zone && earlier.cell == target.cell;
    }
    return false;
}

}  // namespace

double slow_start_budget(double share_requests) {
    const double deviation = std::sqrt(share_requests);
    return share_requests < kFewRequests ? share_requests + 3 * deviation + 3
                                         : share_requests + 2 * deviation + 2;
}

std::optional<double> slow_start_share_requests(const PolicySettings& settings, double cores,
                                                Micros mean_work) {
    if (mean_work <= 0 || settings.overload_window <= 0)
        return std::nullopt;
    const double work = settings.overload_factor * settings.slow_start_capacity_share * cores *
                        static_cast<double>(settings.overload_window);
    return work / static_cast<double>(mean_work);
}

std::optional<Invariant> AttemptGuard::find_violation(const AttemptContext& context, const ClassSettings& cls,
                                                      std::optional<double> share_requests) const {
    if (const auto violation = find_request_violation(context))
        return violation;
    if (const auto violation = find_retry_violation(context, cls))
        return violation;
    return find_endpoint_violation(context.target, cls, share_requests);
}

std::optional<Invariant> AttemptGuard::find_request_violation(const AttemptContext& context) const {
    if (context.client_disconnected)
        return Invariant::send_after_client_disconnected;
    if (context.final_response_sent)
        return Invariant::send_after_final_response;
    if (context.attempt_in_flight && !settings_.can_hedge)
        return Invariant::send_while_attempt_in_flight;
    if (context.time_left <= 0)
        return Invariant::send_past_deadline;
    if (context.earlier_attempts >= settings_.max_attempts)
        return Invariant::send_over_max_attempts;
    return std::nullopt;
}

std::optional<Invariant> AttemptGuard::find_retry_violation(const AttemptContext& context,
                                                            const ClassSettings& cls) {
    if (!context.earlier_execution || cls.idempotency == Idempotency::idempotent)
        return std::nullopt;
    if (cls.idempotency == Idempotency::non_idempotent)
        return Invariant::retry_of_non_idempotent;
    if (context.earlier_execution->sent_ago >= cls.key_window)
        return Invariant::retry_past_key_window;
    if (!shares_idempotency_keys(cls, *context.earlier_execution, context.target))
        return Invariant::retry_outside_key_scope;
    return std::nullopt;
}

std::optional<Invariant> AttemptGuard::find_endpoint_violation(const EndpointSnapshot& target,
                                                               const ClassSettings& cls,
                                                               std::optional<double> share_requests) const {
    if (!target.listed)
        return Invariant::send_to_unlisted_engine;
    if (target.draining_for > settings_.drain_grace)
        return Invariant::send_past_drain_grace;
    if (!is_allowed(cls.allowed_kinds, target.kind) || !is_allowed(cls.allowed_zones, target.zone))
        return Invariant::send_against_placement;
    if (target.in_slow_start && share_requests &&
        target.slow_start_attempts + 1 > slow_start_budget(*share_requests))
        return Invariant::send_over_slow_start_budget;
    return std::nullopt;
}

std::optional<AttemptPermit> AttemptGuard::permit(const AttemptContext& context, const ClassSettings& cls,
                                                  std::optional<double> share_requests) const {
    if (enforcing_ && find_violation(context, cls, share_requests))
        return std::nullopt;
    return AttemptPermit();
}

}  // namespace gatetiller::decide
