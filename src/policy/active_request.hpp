// State of one active request and of its attempts. Plain data: the decision modules read it, and the event
// handlers in gateway_policy.cpp write it. Times are in microseconds, work in microseconds of one core,
// memory in megabytes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::policy {

// Queue in which a request waits for dispatch.
enum class QueueSide {
    sensitive,
    best_effort,
    deferred  // served after the other two
};

// One attempt at an endpoint. Expected values are as of its dispatch.
struct Attempt {
    int endpoint = -1;  // index in Fleet
    Micros dispatched_at = 0;
    double work = 0;
    double threads = 0;
    double memory_mb = 0;
    double granted_mb = 0;  // memory requested; 0: chosen by the endpoint
    bool sensitive = false;
    double fraction_done = 0;     // last reported, in [0, 1]
    Micros last_progress_at = 0;  // 0: no progress reported yet
    double attributed_error = 0;  // added to the endpoint's error rate by its failure
    bool open = true;             // not completed
    bool spilled = false;
    bool failed = false;
    bool counted = true;  // against this gateway's share of the concurrency limit

    // Expected run time, at least one millisecond.
    double expected_run_time() const {
        return std::max(work / threads, 1.0 * kMillisecond);
    }
    // Ratio of a run time to the expected run time, clamped to [0.2, 20].
    double slowdown(double run_time) const {
        return std::clamp(run_time / expected_run_time(), 0.2, 20.0);
    }
};

struct ActiveRequest {
    std::string id;
    std::string ordering_key;
    int class_index = 0;
    int tenant_index = 0;
    Micros arrived_at = 0;
    Micros deadline_at = 0;
    Micros objective_at = 0;    // latency objective as an absolute time
    Micros dispatch_by = 0;     // latest dispatch time that meets the latency budget of its stream
    double work = 0;            // expected
    double estimated_work = 0;  // received with the request; 0: not received
    double memory_mb = 0;       // expected
    double estimated_memory_mb = 0;
    std::int64_t table_group = 0;
    std::uint64_t sequence = 0;  // order of arrival
    bool in_use = false;         // the slot contains a request
    bool over_quota = false;
    bool queued = false;
    bool finished = false;
    bool response_started = false;
    bool in_key_order = false;  // queued or running in the queue of its ordering key
    Micros earliest_attempt_at = 0;
    std::vector<Attempt> attempts;
    double projected_run_time = 0;         // run time projected from the progress of its cancelled attempt
    int first_executed_endpoint = -1;      // endpoint of the first attempt that may have executed; -1: none
    Micros first_executed_at = 0;          // dispatch time of that attempt
    int priority = -1;                     // last granted; -1: none
    QueueSide side = QueueSide::deferred;  // valid while queued
    Micros rank = 0;        // queue order, lowest first: dispatch_by, or work_per_value() if deferred
    bool deferred = false;  // by select_deferred(), because of overload

    bool has_open_attempt() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) {
            return attempt.open;
        });
    }
};

}  // namespace gatetiller::policy
