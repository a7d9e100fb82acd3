// Budgets: what a team has used so far, as a signal. Work over a sliding window turns into one of three
// states, with hysteresis, and the front hands the module only what it knows already: over the soft budget a
// statement counts as that of the tenant set aside for it, over the hard one it is turned away at the door,
// before it was taken. Off where no budget is set.
//
// What it knows:
// - One front's part. With `fronts` of them each holds its share of every budget, so that together they never
//   let a team pass the whole one; a team whose statements come through few of them gets less than its
//   budget.
// - At a restart, what the ledger holds of the window is taken in again (restore). What the ledger lost, or
// had
//   not got yet when the front died, is forgotten: the error is in the team's favour, never against it.
// - A ledger that is behind changes nothing while the front lives: use is counted as attempts end.
// Times are the loop's, so that a step of the wall clock doesn't empty or fill a window.
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
    Micros soft_limit = 0, hard_limit = 0;  // core-time in a window, over all fronts; 0: none
};

struct QuotaSettings {
    Micros window = Micros{24} * 3600 * kSecondMicros;
    int fronts = 1;
    double exit_fraction = 0.9;                      // of a budget: below this the state is left again
    Micros min_state_duration = 10 * kSecondMicros;  // and not before so long in it
};

class Quota {
public:
    Quota(QuotaSettings settings, std::vector<Budget> budgets);

    bool has_budgets() const {
        return !teams_.empty();
    }
    // Work of an attempt that ended at `now`. Teams without a budget are passed over.
    void record_use(const std::string& team, Micros now, Micros work);
    // The same of the past, read back from the ledger; `ago` before now.
    void restore(const std::string& team, Micros now, Micros ago, Micros work);
    // The state now; moves on by at most what the rules of hysteresis allow.
    QuotaState state(const std::string& team, Micros now);
    // Until the hard budget would be open again if nothing more were used: never less than the stay.
    Micros retry_after(const std::string& team, Micros now) const;
    Micros usage(const std::string& team, Micros now) const;

private:
    static constexpr int kSlots = 60;
    struct Team {
        Budget budget;
        std::array<Micros, kSlots> slots{};
        std::int64_t newest = 0;  // slot number
        Micros sum = 0;
        QuotaState state = QuotaState::within_budget;
        Micros since = 0;
    };
    Team* find(const std::string& team);
    const Team* find(const std::string& team) const;
    std::int64_t slot_of(Micros t) const {
        return t / slot_;
    }
    void expire_slots(Team& t, Micros now) const;  // lets go of slots that have left the window
    QuotaState target_state(const Team& t) const;
    static void enter(Team& t, QuotaState state, Micros now);

    QuotaSettings settings_;
    Micros slot_;
    std::vector<Team> teams_;
};

}  // namespace gatetiller::decide
