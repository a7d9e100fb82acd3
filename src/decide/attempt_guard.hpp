// The one guard of sending and repeating: whether an attempt may begin, from facts that the front holds
// itself and not from what the module that chose it believes. An engine connection sends only what carries a
// permit, and only this guard gives permits.
#pragma once

#include <optional>

#include "decide/invariants.hpp"
#include "policy/brain.hpp"

namespace gatetiller::decide {

// An engine as the lists have it at the moment of the attempt.
struct TargetFacts {
    bool listed = false;      // by any list since it was last gone
    Micros draining_for = 0;  // since this front was told that it drains or is gone; 0: it does not
    bool cold = false;
    double cold_sent = 0;  // attempts that this front alone sent to it in the window of the settings
    std::string kind, zone;
    std::int64_t cell = 0;
};

// An earlier attempt that may have run.
struct EarlierRun {
    Micros sent_before = 0;  // so long ago
    std::string zone;
    std::int64_t cell = 0;
};

struct AttemptFactsNow {
    bool final_given = false, client_left = false, attempt_out = false;
    Micros left = 0;   // of the client's time
    int attempts = 0;  // before this one
    std::optional<EarlierRun> may_have_run;
    TargetFacts target;
};

// Of the slow start's budget: how many requests of mean work a cold engine may get within the window, from
// all fronts together, where `n` fit its share of capacity.
double cold_budget(double n);

// How many requests of mean work (`mean_work` on one thread) the settings allow a cold engine of so many
// cores within the window; nothing where no work is known.
std::optional<double> cold_share_requests(const Settings& settings, double cores, Micros mean_work);

class AttemptPermit {
    AttemptPermit() = default;
    friend class AttemptGuard;
};

class AttemptGuard {
public:
    explicit AttemptGuard(const Settings& settings) : settings_(settings) {}
    // What forbids the attempt, if anything does. `cold_requests`: what cold_share_requests() gave.
    std::optional<Invariant> forbids(const AttemptFactsNow& facts, const ClassSettings& cls,
                                     std::optional<double> cold_requests) const;
    // A permit, where nothing does.
    std::optional<AttemptPermit> permit(const AttemptFactsNow& facts, const ClassSettings& cls,
                                        std::optional<double> cold_requests) const;

private:
    std::optional<Invariant> forbids_repeat(const AttemptFactsNow& facts, const ClassSettings& cls) const;
    std::optional<Invariant> forbids_target(const TargetFacts& target, const ClassSettings& cls,
                                            std::optional<double> cold_requests) const;

    const Settings& settings_;
};

}  // namespace gatetiller::decide
