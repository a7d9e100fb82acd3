#include "decide/attempt_guard.hpp"

#include <algorithm>
#include <cmath>

namespace gatetiller::decide {
namespace {

constexpr double kFewRequests = 30;  // below it the slack is wider, as chance is

bool allowed(const std::optional<std::vector<std::string>>& names, const std::string& name) {
    return !names || std::find(names->begin(), names->end(), name) != names->end();
}

bool knows_key(const ClassSettings& cls, const EarlierExecution& first, const EndpointSnapshot& target) {
    const bool same_zone = first.zone == target.zone;
    switch (cls.key_scope) {
        case KeyScope::all:
            return true;
        case KeyScope::zone:
            return same_zone;
        case KeyScope::cell:
            return same_zone && first.cell == target.cell;
    }
    return false;
}

}  // namespace

double slow_start_budget(double n) {
    return n < kFewRequests ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
}

std::optional<double> slow_start_share_requests(const PolicySettings& s, double cores, Micros mean_work) {
    if (mean_work <= 0 || s.overload_window <= 0)
        return std::nullopt;
    const double work =
        s.overload_factor * s.slow_start_capacity_share * cores * static_cast<double>(s.overload_window);
    return work / static_cast<double>(mean_work);
}

std::optional<Invariant> AttemptGuard::find_violation(const AttemptContext& facts, const ClassSettings& cls,
                                                      std::optional<double> cold_requests) const {
    if (facts.client_disconnected)
        return Invariant::send_after_client_left;
    if (facts.final_response_sent)
        return Invariant::send_after_final;
    if (facts.attempt_in_flight && !settings_.can_hedge)
        return Invariant::send_while_attempt_out;
    if (facts.time_left <= 0)
        return Invariant::send_past_deadline;
    if (facts.earlier_attempts >= settings_.max_attempts)
        return Invariant::send_over_max_attempts;
    if (const auto broken = find_retry_violation(facts, cls))
        return broken;
    return find_endpoint_violation(facts.target, cls, cold_requests);
}

std::optional<Invariant> AttemptGuard::find_retry_violation(const AttemptContext& facts,
                                                            const ClassSettings& cls) const {
    if (!facts.earlier_execution || cls.idempotency == Idempotency::idempotent)
        return std::nullopt;
    if (cls.idempotency == Idempotency::non_idempotent)
        return Invariant::retry_of_non_idempotent;
    if (facts.earlier_execution->sent_ago >= cls.key_window)
        return Invariant::retry_past_key_window;
    if (!knows_key(cls, *facts.earlier_execution, facts.target))
        return Invariant::retry_outside_key_scope;
    return std::nullopt;
}

std::optional<Invariant> AttemptGuard::find_endpoint_violation(const EndpointSnapshot& target,
                                                               const ClassSettings& cls,
                                                               std::optional<double> cold_requests) const {
    if (!target.listed)
        return Invariant::send_to_unlisted_engine;
    if (target.draining_for > settings_.drain_grace)
        return Invariant::send_past_drain_grace;
    if (!allowed(cls.allowed_kinds, target.kind) || !allowed(cls.allowed_zones, target.zone))
        return Invariant::send_against_placement;
    if (target.in_slow_start && cold_requests &&
        target.slow_start_attempts + 1 > slow_start_budget(*cold_requests))
        return Invariant::send_over_slow_start_budget;
    return std::nullopt;
}

std::optional<AttemptPermit> AttemptGuard::permit(const AttemptContext& facts, const ClassSettings& cls,
                                                  std::optional<double> cold_requests) const {
    if (enforcing_ && find_violation(facts, cls, cold_requests))
        return std::nullopt;
    return AttemptPermit();
}

}  // namespace gatetiller::decide
