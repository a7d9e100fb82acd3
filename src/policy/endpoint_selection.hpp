// Selects the endpoint of an attempt: the less loaded of two eligible endpoints chosen at random.
//
// An endpoint is eligible if it is ready, the class allows its kind and zone, it drops the repeat of a keyed
// request, slow start admits the request, it is not an outlier, and the concurrency limit leaves capacity. If
// most endpoints are outliers the cause is probably shared, and none is treated as an outlier.
#pragma once

#include "base/time.hpp"
#include "policy/concurrency_limit.hpp"
#include "policy/fleet.hpp"
#include "policy/random_source.hpp"
#include "policy/request_table.hpp"
#include "policy/settings.hpp"
#include "policy/workload_statistics.hpp"

namespace gatetiller::policy {

// State that a selection reads. It changes only the limit and the random source.
struct SelectionInput {
    const PolicySettings& settings;
    const RequestTable& requests;
    const Fleet& fleet;
    const WorkloadStatistics& statistics;
    ConcurrencyLimit& limit;
    RandomSource& random;
    Micros now = 0;
};

constexpr int kNoEndpoint = -1;

// Returns the index of the endpoint for the request's next attempt, or kNoEndpoint. Precondition:
// check_attempt() allows an attempt.
int select_endpoint(const SelectionInput& input, const ActiveRequest& request);

// Work that a query counts for at an endpoint in slow start, in microseconds of one core.
// first_slow_start_work() applies to the first query that this gateway sends there within the overload
// window, slow_start_work() to all later ones.
struct SlowStartWorkInput {
    const ClassSettings& class_settings;
    const ClassStatistics& statistics;
    double work = 0;  // expected, of the request
    Micros now = 0;
};
double slow_start_work(const SlowStartWorkInput& input);
double first_slow_start_work(const SlowStartWorkInput& input);

// Returns the estimated time in which an endpoint completes its current work and the request's, in
// microseconds.
double load_estimate(const SelectionInput& input, const ActiveRequest& request,
                     const EndpointStatus& endpoint);

}  // namespace gatetiller::policy
