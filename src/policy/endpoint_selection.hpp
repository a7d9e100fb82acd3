// Which endpoint a request goes to: of those that may take it, the less loaded of two drawn at random.
//
// An endpoint may take a request if it is ready, the class allows its kind and zone, a keyed request's repeat
// is dropped there, slow start admits it, it is not an outlier, and the concurrency limit leaves room. Where
// most endpoints are outliers the cause is likely shared, and none counts as one.
#pragma once

#include "base/time.hpp"
#include "policy/concurrency_limit.hpp"
#include "policy/fleet.hpp"
#include "policy/random_source.hpp"
#include "policy/request_table.hpp"
#include "policy/settings.hpp"
#include "policy/workload_statistics.hpp"

namespace gatetiller::policy {

// What a selection looks at; the limit and the random source are changed by it.
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

// The index of the endpoint for the request's next attempt, or kNoEndpoint. Precondition: judge_attempt()
// allows an attempt.
int select_endpoint(const SelectionInput& input, const ActiveRequest& request);

// Work that a query counts for at an endpoint in slow start, in microseconds of one core.
// first_slow_start_work is for the first query that this gateway sends there in the overload window,
// slow_start_work for all later ones.
struct SlowStartWorkInput {
    const ClassSettings& class_settings;
    const ClassStatistics& statistics;
    double work = 0;  // expected, of the request
    Micros now = 0;
};
double slow_start_work(const SlowStartWorkInput& input);
double first_slow_start_work(const SlowStartWorkInput& input);

// Time that an endpoint would take for all work on it and the request's, in microseconds; larger is worse.
double load_estimate(const SelectionInput& input, const ActiveRequest& request,
                     const EndpointStatus& endpoint);

}  // namespace gatetiller::policy
