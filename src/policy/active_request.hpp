// State of one request that the policy holds, and of its attempts. Plain data: the modules that decide read
// it, and the event handlers in gateway_policy.cpp write it. Times are microseconds, work is microseconds of
// one core, memory is megabytes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::policy {

// A queue that a request can wait in.
enum class QueueSide {
    sensitive,
    best_effort,
    deferred  // behind both others
};

// One attempt at an endpoint. Expectations are those of the moment when it was dispatched.
struct Attempt {
    int endpoint = -1;  // index in Fleet
    Micros dispatched_at = 0;
    double work = 0;
    double threads = 0;
    double memory_mb = 0;
    double granted_mb = 0;  // memory asked for; 0: left to the endpoint
    bool sensitive = false;
    double fraction_done = 0;     // as last noted, in [0, 1]
    Micros last_progress_at = 0;  // 0: no note yet
    double attributed_error = 0;  // what its failure added to its endpoint's error rate
    bool open = true;             // has not completed
    bool spilled = false;
    bool failed = false;
    bool counted = true;  // in this gateway's part of the concurrency limit

    // Expected run time, at least a millisecond.
    double expected_run() const {
        return std::max(work / threads, 1.0 * kMillisecond);
    }
    // A run time over the expected one, within [0.2, 20].
    double slowdown(double run) const {
        return std::clamp(run / expected_run(), 0.2, 20.0);
    }
};

// One request.
struct ActiveRequest {
    std::string id;
    std::string ordering_key;
    int class_index = 0;
    int tenant_index = 0;
    Micros arrived_at = 0;
    Micros deadline_at = 0;
    Micros objective_at = 0;    // latency objective as a time of the clock
    Micros dispatch_by = 0;     // latest dispatch with which it still meets its stream's latency budget
    double work = 0;            // expected
    double estimated_work = 0;  // as it came with the request; 0: none came
    double memory_mb = 0;       // expected
    double estimated_memory_mb = 0;
    std::int64_t table_group = 0;
    std::uint64_t sequence = 0;  // of arrival
    bool in_use = false;         // its slot holds a request
    bool over_quota = false;
    bool queued = false;
    bool finished = false;
    bool streaming = false;     // its response has started
    bool in_key_order = false;  // waits or runs in its ordering key's line
    Micros not_before = 0;      // no attempt earlier
    std::vector<Attempt> attempts;
    double projected_run = 0;              // run time projected by the notes of its cancelled attempt
    int first_executed_endpoint = -1;      // of the first attempt that may have executed; -1: none may have
    Micros first_executed_at = 0;          // when that one was dispatched
    int priority = -1;                     // last one granted; -1: none
    QueueSide side = QueueSide::deferred;  // while queued
    Micros rank = 0;        // while queued, least first: dispatch_by, or work_per_value() if deferred
    bool deferred = false;  // because of overload (select_deferred)

    bool has_open_attempt() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) {
            return attempt.open;
        });
    }
};

}  // namespace gatetiller::policy
