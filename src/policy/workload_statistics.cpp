#include "policy/workload_statistics.hpp"

#include <algorithm>
#include <cstddef>

#include "policy/latency_budget.hpp"
#include "policy/smoothing.hpp"

namespace gatetiller::policy {
namespace {

constexpr double kSensitiveRunMicros = 1.0 * kSecondMicros;  // classes of shorter runs are sensitive
constexpr double kSensitiveHysteresis = 0.1;  // of that limit, to be passed before a class changes side
constexpr double kUncontendedShare = 0.3;     // of the lowest latencies, which hold little contention
constexpr double kUnknownAnswers = 3;         // so many answers don't replace a guessed work yet
constexpr double kCalmAnswers = 10;        // answers before a calm run time counts, where work isn't reported
constexpr double kCalmGrowth = 1.002;      // a second; doubles in about six minutes
constexpr double kLargestRunRatio = 3;     // over the usual one, for one answer
constexpr double kLowestCostRatio = 0.05;  // true cost over estimate
constexpr double kHighestCostRatio = 20;

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
        smooth(statistics.estimated_work, cost.estimated_work, std::max(kCostStep, 1 / statistics.estimates));
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
            statistics.work / settings_->classes[request.class_index].threads < kSensitiveRunMicros;
        refit_stream(stream, static_cast<std::size_t>(request.class_index), now);
    }
    return now + static_cast<Micros>(stream.fit().budget - stream.fit().run);
}

void WorkloadStatistics::count_usual(const ActiveRequest& request) {
    const double run = run_time(request);
    smooth(usual_.run, run, kCostStep);
    const double step = std::min(1.0, kCostStep * run / std::max(usual_.run, 1.0));
    smooth(usual_.work, request.work, step);
    smooth(usual_.memory_mb, request.memory_mb, step);
    smooth(usual_.threads, settings_->classes[request.class_index].threads, step);
}

// Where a swapping endpoint gives every query what it needs, answers tell nothing of grants.
bool WorkloadStatistics::learns_memory() const {
    return !settings_->cost_in_responses && settings_->memory_shortage_policy != MemoryShortagePolicy::swap;
}

void WorkloadStatistics::learn_cost(const ActiveRequest& request, const Attempt& attempt,
                                    const AttemptCompleted& completed) {
    ClassStatistics& statistics = classes_[request.class_index];
    const double reported_work = completed.work_ms * kMillisecond;
    if (learns_memory() && attempt.granted_mb > 0 && !attempt.spilled)
        statistics.memory_ratio *= 1 - kCostStep * kUncontendedShare;
    if (completed.work_ms > 0) {
        if (request.estimated_work > 0)
            smooth(statistics.work_ratio,
                   std::clamp(reported_work / request.estimated_work, kLowestCostRatio, kHighestCostRatio),
                   kCostStep);
        // The first answer replaces the guess that stood before it.
        smooth(statistics.work, reported_work, std::max(kCostStep, 1 / (statistics.answers + 1)));
        if (completed.needed_mb > 0 && request.estimated_memory_mb > 0)
            smooth(statistics.memory_ratio,
                   std::clamp(completed.needed_mb / request.estimated_memory_mb, kLowestCostRatio,
                              kHighestCostRatio),
                   kCostStep);
    } else if (request.estimated_work > 0) {
        // Work isn't reported: the ratio follows a low percentile of thread time over estimate.
        const double seen =
            static_cast<double>(completed.duration) * attempt.threads / request.estimated_work;
        statistics.work_ratio *= seen > statistics.work_ratio ? 1 + kCostStep * kUncontendedShare
                                                              : 1 - kCostStep * (1 - kUncontendedShare);
        statistics.work_ratio = std::clamp(statistics.work_ratio, kLowestCostRatio, kHighestCostRatio);
        statistics.work = statistics.estimated_work * statistics.work_ratio;
    }
}

std::optional<double> WorkloadStatistics::learn_run(const ActiveRequest& request, const Attempt& attempt,
                                                    const AttemptCompleted& completed) {
    ClassStatistics& statistics = classes_[request.class_index];
    const double reported_work = completed.work_ms * kMillisecond;
    const double known_work = reported_work > 0 ? reported_work : request.estimated_work;
    const double base = known_work > 0
                            ? known_work
                            : static_cast<double>(settings_->classes[request.class_index].latency_objective);
    double ratio = static_cast<double>(std::max<Micros>(completed.duration, 1)) * attempt.threads / base;
    if (statistics.answers > 0)
        ratio = std::min(ratio, kLargestRunRatio * statistics.run_ratio);
    statistics.answers += 1;
    smooth(statistics.run_ratio, ratio, std::max(kCostStep, 1 / statistics.answers));
    if (known_work <= 0 && statistics.answers > kUnknownAnswers)
        statistics.work = statistics.run_ratio * base;
    if (statistics.answers < kCalmAnswers && reported_work <= 0)
        return std::nullopt;
    statistics.calm_run_ratio =
        reported_work > 0 ? 1 : std::min(statistics.calm_run_ratio, statistics.run_ratio);
    return ratio / statistics.calm_run_ratio;
}

void WorkloadStatistics::learn_spill(const ActiveRequest& request, const Attempt& attempt, double missing_mb,
                                     double even_share_mb) {
    if (!learns_memory() || attempt.granted_mb <= 0 || request.estimated_memory_mb <= 0)
        return;
    if (attempt.granted_mb > even_share_mb)
        return;
    const double ratio = (attempt.granted_mb + missing_mb) / request.estimated_memory_mb;
    smooth(classes_[request.class_index].memory_ratio, std::min(ratio, kHighestCostRatio));
}

void WorkloadStatistics::add_answer(const ActiveRequest& request, Micros run, Micros now) {
    LatencySample sample;
    sample.at = now;
    sample.latency = static_cast<double>(now - request.arrived_at);
    sample.run = static_cast<double>(run);
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
    input.expected_run = classes_[class_index].work / class_settings.threads;
    input.deadline = static_cast<double>(class_settings.deadline);
    input.objective = std::min(static_cast<double>(class_settings.latency_objective) +
                                   class_settings.objective_run_factor * input.expected_run,
                               input.deadline);
    stream.refit(input);
}

void WorkloadStatistics::refit(Micros now) {
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        ClassStatistics& statistics = classes_[index];
        const double limit = kSensitiveRunMicros *
                             (statistics.sensitive ? 1 + kSensitiveHysteresis : 1 - kSensitiveHysteresis);
        statistics.sensitive = statistics.work / settings_->classes[index].threads < limit;
        for (std::size_t tenant = 0; tenant < tenant_count_; ++tenant)
            refit_stream(streams_[index * tenant_count_ + tenant], index, now);
    }
}

void WorkloadStatistics::relax_calm_runs() {
    for (ClassStatistics& statistics : classes_)
        statistics.calm_run_ratio *= kCalmGrowth;
}

std::optional<SensitiveStreamSummary> WorkloadStatistics::sensitive_streams() const {
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
