// The one guard of sending and repeating: whether an attempt may begin, from facts that the front holds
// itself and not from what the module that chose it believes. An engine connection sends only what carries a
// permit, and only this guard gives permits.
#pragma once

#include <optional>

#include "decide/invariants.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

// An engine as the lists have it at the moment of the attempt.
struct EndpointSnapshot {
    bool listed = false;      // by any list since it was last gone
    Micros draining_for = 0;  // since this front was told that it drains or is gone; 0: it does not
    bool in_slow_start = false;
    double slow_start_attempts =
        0;  // attempts that this front alone sent to it in the window of the settings
    std::string kind, zone;
    std::int64_t cell = 0;
};

// An earlier attempt that may have run.
struct EarlierExecution {
    Micros sent_ago = 0;  // so long ago
    std::string zone;
    std::int64_t cell = 0;
};

struct AttemptContext {
    bool final_response_sent = false, client_disconnected = false, attempt_in_flight = false;
    Micros time_left = 0;      // of the client's time
    int earlier_attempts = 0;  // before this one
    std::optional<EarlierExecution> earlier_execution;
    EndpointSnapshot target;
};

// Of the slow start's budget: how many requests of mean work a cold engine may get within the window, from
// all fronts together, where `n` fit its share of capacity.
double slow_start_budget(double n);

// How many requests of mean work (`mean_work` on one thread) the settings allow a cold engine of so many
// cores within the window; nothing where no work is known.
std::optional<double> slow_start_share_requests(const PolicySettings& settings, double cores,
                                                Micros mean_work);

class AttemptPermit {
    AttemptPermit() = default;
    friend class AttemptGuard;
};

class AttemptGuard {
public:
    // `enforcing`: false only under fault injection, where permits are granted in spite of violations.
    explicit AttemptGuard(const PolicySettings& settings, bool enforcing = true)
        : settings_(settings), enforcing_(enforcing) {}
    // What forbids the attempt, if anything does. `cold_requests`: what cold_share_requests() gave.
    std::optional<Invariant> find_violation(const AttemptContext& facts, const ClassSettings& cls,
                                            std::optional<double> cold_requests) const;
    // A permit, where nothing does.
    std::optional<AttemptPermit> permit(const AttemptContext& facts, const ClassSettings& cls,
                                        std::optional<double> cold_requests) const;

private:
    std::optional<Invariant> find_retry_violation(const AttemptContext& facts,
                                                  const ClassSettings& cls) const;
    std::optional<Invariant> find_endpoint_violation(const EndpointSnapshot& target, const ClassSettings& cls,
                                                     std::optional<double> cold_requests) const;

    const PolicySettings& settings_;
    bool enforcing_;
};

}  // namespace gatetiller::decide
