#include "policy/workload_statistics.hpp"

#include <algorithm>
#include <cstddef>

#include "policy/latency_budget.hpp"
#include "policy/smoothing.hpp"

namespace gatetiller::policy {
namespace {

constexpr double kSensitiveRunTimeMicros = 1.0 * kSecondMicros;  // classes below it are sensitive
constexpr double kSensitiveHysteresis = 0.1;  // share of that limit by which the run time must cross it
constexpr double kUncontendedShare = 0.3;    // share of the lowest latencies, which include little contention
constexpr double kGuessedWorkResponses = 3;  // a guessed work is replaced only after more responses
constexpr double kUncontendedResponses = 10;  // minimum for uncontended_run_time_ratio without reported work
constexpr double kUncontendedGrowth = 1.002;  // per second; doubles in about six minutes
constexpr double kMaxRunTimeRatioFactor = 3;  // ratio to the typical one, for one response
constexpr double kMinCostRatio = 0.05;        // ratio of actual cost to estimate
constexpr double kMaxCostRatio = 20;

}  // namespace

WorkloadStatistics::WorkloadStatistics(const PolicySettings& settings)
    : settings_(&settings),
      tenant_count_(std::max<std::size_t>(1, settings.tenants.size())),
      classes_(settings.classes.size()),
      streams_(classes_.size() * tenant_count_) {}

CostEstimate WorkloadStatistics::estimate(const RequestArrived& arrival, int class_index, Micros now) {
    const ClassSettings& class_settings = settings_->classes[class_index];
    ClassStatistics& statistics = classes_[class_index];
    CostEstimate cost;
    if (arrival.estimated_work && *arrival.estimated_work > 0) {
        cost.estimated_work = static_cast<double>(*arrival.estimated_work);
        if (statistics.estimated_work <= 0) {
            statistics.work = cost.estimated_work;
            statistics.estimated_work = cost.estimated_work;
        }
        statistics.estimates += 1;
        smooth(statistics.estimated_work, cost.estimated_work,
               std::max(kCostWeight, 1 / statistics.estimates));
        if (!settings_->cost_in_responses)
            statistics.work = statistics.estimated_work * statistics.work_ratio;
        cost.work = cost.estimated_work * statistics.work_ratio;
    } else {
        if (statistics.work <= 0) {
            statistics.work =
                static_cast<double>(class_settings.latency_objective) * class_settings.threads / 4;
            statistics.first_unestimated_at = now;
        }
        cost.work = statistics.work;
    }
    cost.estimated_memory_mb = arrival.estimated_memory_mb;
    cost.memory_mb = arrival.estimated_memory_mb * statistics.memory_ratio;
    return cost;
}

Micros WorkloadStatistics::dispatch_by(const ActiveRequest& request, Micros now) {
    LatencyStream& stream = stream_of(request);
    if (stream.fit().budget <= 0) {
        ClassStatistics& statistics = classes_[request.class_index];
        statistics.sensitive =
            statistics.work / settings_->classes[request.class_index].threads < kSensitiveRunTimeMicros;
        refit_stream(stream, static_cast<std::size_t>(request.class_index), now);
    }
    return now + static_cast<Micros>(stream.fit().budget - stream.fit().run_time);
}

void WorkloadStatistics::add_to_typical_query(const ActiveRequest& request) {
    const double expected_run_time = run_time(request);
    smooth(typical_query_.run_time, expected_run_time, kCostWeight);
    const double weight =
        std::min(1.0, kCostWeight * expected_run_time / std::max(typical_query_.run_time, 1.0));
    smooth(typical_query_.work, request.work, weight);
    smooth(typical_query_.memory_mb, request.memory_mb, weight);
    smooth(typical_query_.threads, settings_->classes[request.class_index].threads, weight);
}

// A swapping endpoint gives every query the memory it needs, so its responses show nothing about grants.
bool WorkloadStatistics::learns_memory() const {
    return !settings_->cost_in_responses && settings_->memory_shortage_policy != MemoryShortagePolicy::swap;
}

void WorkloadStatistics::learn_cost(const ActiveRequest& request, const Attempt& attempt,
                                    const AttemptCompleted& completed) {
    ClassStatistics& statistics = classes_[request.class_index];
    const double reported_work = completed.work_ms * kMillisecond;
    if (learns_memory() && attempt.granted_mb > 0 && !attempt.spilled)
        statistics.memory_ratio *= 1 - kCostWeight * kUncontendedShare;
    if (completed.work_ms > 0) {
        if (request.estimated_work > 0)
            smooth(statistics.work_ratio,
                   std::clamp(reported_work / request.estimated_work, kMinCostRatio, kMaxCostRatio),
                   kCostWeight);
        // The first response replaces the guess.
        smooth(statistics.work, reported_work, std::max(kCostWeight, 1 / (statistics.responses + 1)));
        if (completed.needed_mb > 0 && request.estimated_memory_mb > 0)
            smooth(
                statistics.memory_ratio,
                std::clamp(completed.needed_mb / request.estimated_memory_mb, kMinCostRatio, kMaxCostRatio),
                kCostWeight);
    } else if (request.estimated_work > 0) {
        // Work is not reported: the ratio follows a low percentile of thread time divided by the estimate.
        const double observed_ratio =
            static_cast<double>(completed.duration) * attempt.threads / request.estimated_work;
        statistics.work_ratio *= observed_ratio > statistics.work_ratio
                                     ? 1 + kCostWeight * kUncontendedShare
                                     : 1 - kCostWeight * (1 - kUncontendedShare);
        statistics.work_ratio = std::clamp(statistics.work_ratio, kMinCostRatio, kMaxCostRatio);
        statistics.work = statistics.estimated_work * statistics.work_ratio;
    }
}

std::optional<double> WorkloadStatistics::learn_run_time(const ActiveRequest& request, const Attempt& attempt,
                                                         const AttemptCompleted& completed) {
    ClassStatistics& statistics = classes_[request.class_index];
    const double reported_work = completed.work_ms * kMillisecond;
    const double known_work = reported_work > 0 ? reported_work : request.estimated_work;
    const double base = known_work > 0
                            ? known_work
                            : static_cast<double>(settings_->classes[request.class_index].latency_objective);
    double ratio = static_cast<double>(std::max<Micros>(completed.duration, 1)) * attempt.threads / base;
    if (statistics.responses > 0)
        ratio = std::min(ratio, kMaxRunTimeRatioFactor * statistics.run_time_ratio);
    statistics.responses += 1;
    smooth(statistics.run_time_ratio, ratio, std::max(kCostWeight, 1 / statistics.responses));
    if (known_work <= 0 && statistics.responses > kGuessedWorkResponses)
        statistics.work = statistics.run_time_ratio * base;
    if (statistics.responses < kUncontendedResponses && reported_work <= 0)
        return std::nullopt;
    statistics.uncontended_run_time_ratio =
        reported_work > 0 ? 1 : std::min(statistics.uncontended_run_time_ratio, statistics.run_time_ratio);
    return ratio / statistics.uncontended_run_time_ratio;
}

void WorkloadStatistics::learn_spill(const ActiveRequest& request, const Attempt& attempt, double missing_mb,
                                     double even_share_mb) {
    if (!learns_memory() || attempt.granted_mb <= 0 || request.estimated_memory_mb <= 0)
        return;
    if (attempt.granted_mb > even_share_mb)
        return;
    const double ratio = (attempt.granted_mb + missing_mb) / request.estimated_memory_mb;
    smooth(classes_[request.class_index].memory_ratio, std::min(ratio, kMaxCostRatio));
}

void WorkloadStatistics::add_response(const ActiveRequest& request, Micros run_time, Micros now) {
    LatencySample sample;
    sample.at = now;
    sample.latency = static_cast<double>(now - request.arrived_at);
    sample.run_time = static_cast<double>(run_time);
    if (now > request.objective_at)
        sample.disengagement = now <= request.deadline_at ? kLateDisengagement : 1;
    stream_of(request).add(sample);
}

LatencyStream& WorkloadStatistics::stream_of(const ActiveRequest& request) {
    return streams_[request.class_index * tenant_count_ + request.tenant_index];
}

void WorkloadStatistics::refit_stream(LatencyStream& stream, std::size_t class_index, Micros now) {
    const ClassSettings& class_settings = settings_->classes[class_index];
    LatencyFitInput input;
    input.now = now;
    input.expected_run_time = classes_[class_index].work / class_settings.threads;
    input.deadline = static_cast<double>(class_settings.deadline);
    input.objective = std::min(static_cast<double>(class_settings.latency_objective) +
                                   class_settings.objective_run_factor * input.expected_run_time,
                               input.deadline);
    stream.refit(input);
}

void WorkloadStatistics::refit(Micros now) {
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        ClassStatistics& statistics = classes_[index];
        const double limit = kSensitiveRunTimeMicros *
                             (statistics.sensitive ? 1 + kSensitiveHysteresis : 1 - kSensitiveHysteresis);
        statistics.sensitive = statistics.work / settings_->classes[index].threads < limit;
        for (std::size_t tenant = 0; tenant < tenant_count_; ++tenant)
            refit_stream(streams_[index * tenant_count_ + tenant], index, now);
    }
}

void WorkloadStatistics::relax_uncontended_run_times() {
    for (ClassStatistics& statistics : classes_)
        statistics.uncontended_run_time_ratio *= kUncontendedGrowth;
}

std::optional<SensitiveStreamSummary> WorkloadStatistics::summarize_sensitive_streams() const {
    SensitiveStreamSummary summary{-1, 1e9, 0};
    double count = 0;
    double variations = 0;
    for (std::size_t index = 0; index < streams_.size(); ++index) {
        const LatencyFit& fit = streams_[index].fit();
        if (!classes_[index / tenant_count_].sensitive || !fit.has_samples)
            continue;
        summary.worst_ratio = std::max(summary.worst_ratio, fit.target_ratio);
        summary.best_ratio = std::min(summary.best_ratio, fit.target_ratio);
        variations += fit.variation;
        count += 1;
    }
    if (count == 0)
        return std::nullopt;
    summary.mean_variation = variations / count;
    return summary;
}

}  // namespace gatetiller::policy
