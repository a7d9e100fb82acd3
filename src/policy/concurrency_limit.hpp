// Limits what endpoints run at once: threads a core, memory, and this gateway's part of both.
//
// An endpoint with other gateways' work below its saturation point takes any query. Past it, this gateway
// keeps to its part of two threads a core, over each endpoint and over the fleet. Where no endpoint reports
// its load, the part grows while it binds and endpoints are calm, and shrinks while run times tell of
// contention. Times are microseconds, memory is megabytes.
#pragma once

#include <array>

#include "base/time.hpp"
#include "policy/active_request.hpp"
#include "policy/fleet.hpp"
#include "policy/settings.hpp"
#include "policy/workload_statistics.hpp"

namespace gatetiller::policy {

// The concurrency limit of an endpoint, over all gateways.
constexpr double kThreadsPerCoreLimit = 2;

// Whether an endpoint has room for one more query, and if not, what lacks.
enum class RoomVerdict {
    room,
    paused,      // it rejected such a query a moment ago
    overloaded,  // far past its limit, by work that no gateway counts
    memory_full,
    fleet_busy,         // a best-effort query waits until the fleet is below its limit
    fleet_part_used,    // this gateway's part of the fleet
    endpoint_part_used  // this gateway's part of the endpoint
};

struct RoomInput {
    const PolicySettings& settings;
    const Fleet& fleet;
    const UsualQuery& usual;
    Micros now = 0;
    int class_index = 0;
    bool sensitive = false;
    double threads = 1;    // of the query
    double memory_mb = 0;  // of the query
};

class ConcurrencyLimit {
public:
    // `add` counts an attempt in this gateway's part; `remove` takes it out and has no effect a second
    // time.
    void add(const Attempt& attempt);
    void remove(Attempt& attempt);

    // Judges an endpoint. Remembers until the next `adjust` that the fleet's part kept a query waiting.
    RoomVerdict check(const RoomInput& input, const EndpointStatus& endpoint);

    // Takes a run time over that of a calm endpoint.
    void observe_contention(double run_over_calm);
    // Takes whether an attempt missed its objective by its own run time.
    void observe_late(bool late);
    // Moves the part where nothing reports; once a second.
    void adjust(const PolicySettings& settings);

private:
    double threads_ = 0;
    std::array<int, 2> attempts_{};  // best-effort, sensitive
    double part_factor_ = 1;         // the part, in even parts of the gateways; at least 1
    double contention_ = 1;          // mean run time over that of a calm endpoint
    double late_share_ = 0;          // of attempts
    bool part_was_binding_ = false;  // since the last adjustment
};

}  // namespace gatetiller::policy
