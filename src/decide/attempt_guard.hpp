// Guard of attempts: decides whether one attempt may be sent to one engine.
//
// Inputs are what the gateway itself observes at the moment of sending (AttemptContext), not what the policy
// that chose the attempt assumes. All durations are in microseconds. The verdict is the first violated
// invariant (invariants.hpp), or none.
//
// Invariant: an engine connection sends a request only against an AttemptPermit, and only AttemptGuard
// creates permits. The limits are those of PolicySettings and ClassSettings; the slow-start budget is that of
// the platform's terms.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "decide/invariants.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

// The target of an attempt at the moment of sending.
struct EndpointSnapshot {
    // Whether the endpoint list contains it.
    bool listed = false;
    // Time since this gateway was notified that the engine drains or was removed; 0: neither.
    Micros draining_for = 0;
    // Whether the engine is within its slow-start window.
    bool in_slow_start = false;
    // Attempts that this gateway sent to it within PolicySettings::overload_window.
    double slow_start_attempts = 0;
    std::string kind;
    std::string zone;
    std::int64_t cell = 0;
};

// An earlier attempt of the same request that may have executed.
struct EarlierExecution {
    // Time since it was sent.
    Micros sent_ago = 0;
    std::string zone;
    std::int64_t cell = 0;
};

// Everything that AttemptGuard considers about one attempt.
struct AttemptContext {
    // The client was sent its final response.
    bool final_response_sent = false;
    // The client disconnected or cancelled the request.
    bool client_disconnected = false;
    // Another attempt of the same request is in flight.
    bool attempt_in_flight = false;
    // Time until the request's deadline; 0 or less: the deadline has passed.
    Micros time_left = 0;
    // Attempts of this request before this one.
    int earlier_attempts = 0;
    // The first of them that may have executed, if any.
    std::optional<EarlierExecution> earlier_execution;
    EndpointSnapshot target;
};

// The number of requests of mean work that an engine in slow start may receive within the overload window
// from all gateways together, where `share_requests` of them fit its share of capacity. The allowance above
// `share_requests` covers random variation: 2 * sqrt(n) + 2, or 3 * sqrt(n) + 3 below 30 requests.
// Unlike policy::slow_start_budget this counts requests, not work. The guard compares it with the attempts of
// this gateway alone, so it cannot see a breach by several gateways together.
double slow_start_budget(double share_requests);

// The number of requests that fit the slow-start share of an engine's capacity within the overload window.
// `cores`: of the engine; `mean_work`: core time of the mean request in microseconds. Nothing where the mean
// work is not known (0 or less) or no overload window is set.
std::optional<double> slow_start_share_requests(const PolicySettings& settings, double cores,
                                                Micros mean_work);

// Proof that AttemptGuard admitted one attempt.
class AttemptPermit {
    AttemptPermit() = default;
    friend class AttemptGuard;
};

// Checks attempts against the settings. Keeps a reference to `settings`, which must outlive it.
class AttemptGuard {
public:
    // `enforcing`: false only under fault injection, where permits are granted in spite of violations.
    explicit AttemptGuard(const PolicySettings& settings, bool enforcing = true)
        : settings_(settings), enforcing_(enforcing) {}

    // The first invariant that the attempt would violate, or nothing. `cls`: the request's class;
    // `share_requests`: from slow_start_share_requests(), nothing where the slow-start budget is not checked.
    std::optional<Invariant> find_violation(const AttemptContext& context, const ClassSettings& cls,
                                            std::optional<double> share_requests) const;

    // A permit where find_violation() finds nothing; nothing otherwise.
    std::optional<AttemptPermit> permit(const AttemptContext& context, const ClassSettings& cls,
                                        std::optional<double> share_requests) const;

private:
    std::optional<Invariant> find_request_violation(const AttemptContext& context) const;
    static std::optional<Invariant> find_retry_violation(const AttemptContext& context,
                                                         const ClassSettings& cls);
    std::optional<Invariant> find_endpoint_violation(const EndpointSnapshot& target, const ClassSettings& cls,
                                                     std::optional<double> share_requests) const;

    const PolicySettings& settings_;
    bool enforcing_;
};

}  // namespace gatetiller::decide
