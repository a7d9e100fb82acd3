// Quotas: the core time that teams use within a sliding window, compared with a soft and a hard budget.
//
// Use over the window gives one of three states, with hysteresis. Over the soft budget a statement is counted
// for the tenant that is configured for this; over the hard budget it is rejected before it is accepted. The
// policy itself knows nothing of quotas. Teams without a budget are not limited.
//
// Limits of what a front knows:
// - With `fronts` fronts each enforces its share of every budget, so that together they never let a team
//   exceed the budget; a team whose statements arrive through few of them gets less than its budget.
// - After a restart, restore() adds the use that the ledger has for the window. What the ledger lost, or had
//   not received when the front was killed, is not counted: the error is always in the team's favour.
// - A ledger that lags has no effect on a running front, as use is counted when attempts end.
// Times are of the monotonic clock in microseconds, so that a step of the wall clock neither empties nor
// fills a window.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::decide {

enum class QuotaState : std::uint8_t {
    within_budget,
    over_soft_limit,
    over_hard_limit
};
const char* name_of(QuotaState state);

struct Budget {
    std::string team;
    // Core time within a window, over all fronts, in microseconds; 0: no limit.
    Micros soft_limit = 0, hard_limit = 0;
};

struct QuotaSettings {
    Micros window = Micros{24} * 3600 * kSecondMicros;
    // Number of fronts that share each budget equally.
    int fronts = 1;
    // A state is left once use is below this fraction of its budget.
    double exit_fraction = 0.9;
    // A state is left for a lower one after this time at the earliest.
    Micros min_state_duration = 10 * kSecondMicros;
};

class Quota {
public:
    Quota(QuotaSettings settings, std::vector<Budget> budgets);

    bool has_budgets() const {
        return !teams_.empty();
    }
    // Counts the work of an attempt that ended at `now`. Ignores teams without a budget.
    void record_use(const std::string& team, Micros now, Micros work);
    // Counts work from the ledger, which ended `ago` microseconds before `now`.
    void restore(const std::string& team, Micros now, Micros ago, Micros work);
    // Updates and returns the state. A higher state is entered at once, a lower one after min_state_duration.
    QuotaState state(const std::string& team, Micros now);
    // The time until the hard budget would be free again without further use; at least min_state_duration.
    Micros retry_after(const std::string& team, Micros now) const;
    // The core time used within the window, in microseconds.
    Micros usage(const std::string& team, Micros now) const;

private:
    static constexpr int kSlots = 60;
    struct Team {
        // With this front's share of the limits.
        Budget budget;
        // Use by slot number modulo kSlots.
        std::array<Micros, kSlots> slots{};
        // Number of the newest slot.
        std::int64_t newest = 0;
        Micros sum = 0;
        QuotaState state = QuotaState::within_budget;
        // When the state was entered.
        Micros since = 0;
    };
    Team* find(const std::string& team);
    const Team* find(const std::string& team) const;
    std::int64_t slot_of(Micros t) const {
        return t / slot_;
    }
    // Clears the slots that are no longer in the window at `now`.
    void expire_slots(Team& t, Micros now) const;
    // The state by the present use, without min_state_duration.
    QuotaState target_state(const Team& t) const;
    static void enter(Team& t, QuotaState state, Micros now);

    QuotaSettings settings_;
    // Length of a slot in microseconds.
    Micros slot_;
    std::vector<Team> teams_;
};

}  // namespace gatetiller::decide
