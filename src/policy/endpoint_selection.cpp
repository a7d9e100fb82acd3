#include "policy/endpoint_selection.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"

namespace gatetiller::policy {
namespace {

constexpr double kMinEstimates = 30;          // minimum for the mean of a class's work
constexpr double kMinResponses = 3;           // minimum for a class's work without estimates
constexpr Micros kObservationObjectives = 2;  // objectives until responses include those of long queries
constexpr double kCrossZoneFactor = 1.5;  // on the load of an endpoint in another zone, if that has a price
constexpr double kMinRemainingWorkShare = 0.1;  // of an open attempt's work, for the load estimate
constexpr double kMinCapacityCores = 0.1;

bool allows(const std::optional<std::vector<std::string>>& allowed, const std::string& name) {
    return !allowed || std::find(allowed->begin(), allowed->end(), name) != allowed->end();
}

bool slow_start_admits(const SelectionInput& input, const ActiveRequest& request,
                       const EndpointStatus& endpoint) {
    const SlowStartWorkInput work{input.settings.classes[request.class_index],
                                  input.statistics.class_statistics(request), request.work, input.now};
    SlowStartRequest query;
    query.budget = slow_start_budget(input.settings, endpoint.cores);
    query.gateway_count = input.settings.instance_count;
    query.work = slow_start_work(work);
    query.first_work = first_slow_start_work(work);
    return endpoint.slow_start.admits(query);
}

// Returns whether the rules allow the request at the endpoint, regardless of capacity and health.
bool permits(const SelectionInput& input, const ActiveRequest& request, const EndpointStatus& endpoint) {
    const ClassSettings& class_settings = input.settings.classes[request.class_index];
    const Endpoint& description = endpoint.description;
    if (!endpoint.is_ready() || !allows(class_settings.allowed_kinds, description.kind) ||
        !allows(class_settings.allowed_zones, description.zone))
        return false;
    if (request.first_executed_endpoint >= 0 && class_settings.idempotency == Idempotency::keyed &&
        !in_key_scope(class_settings.key_scope, input.fleet[request.first_executed_endpoint].description,
                      description))
        return false;
    return !in_slow_start(input.settings, description.started_at, input.now) ||
           slow_start_admits(input, request, endpoint);
}

std::vector<int> eligible_endpoints(const SelectionInput& input, const ActiveRequest& request) {
    const std::vector<EndpointStatus>& endpoints = input.fleet.endpoints();
    int outliers_minus_others = 0;
    for (const EndpointStatus& endpoint : endpoints)
        if (endpoint.is_ready())
            outliers_minus_others += endpoint.accepts(input.now) ? -1 : 1;
    const bool most_are_outliers = outliers_minus_others > 0;
    const CapacityInput capacity_input{input.settings,
                                       input.fleet,
                                       input.statistics.typical_query(),
                                       input.now,
                                       request.class_index,
                                       input.statistics.class_statistics(request).sensitive,
                                       input.settings.classes[request.class_index].threads,
                                       request.memory_mb};
    std::vector<int> eligible;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const EndpointStatus& endpoint = endpoints[index];
        const bool healthy =
            endpoint.accepts(input.now) || (most_are_outliers && !endpoint.health.refuses_connections());
        if (healthy && permits(input, request, endpoint) &&
            input.limit.check(capacity_input, endpoint) == CapacityVerdict::available)
            eligible.push_back(static_cast<int>(index));
    }
    return eligible;
}

}  // namespace

// Until the work of its class is known, a query is assumed to take as long as its objective. Otherwise a
// gateway that has just started could overload an endpoint by a guess, by its first responses, which come
// from the shortest queries, or by the mean of a few estimates, which is usually too low. With enough
// estimates a query counts as the mean of its own estimate and the typical work, because short estimates are
// mostly too low.
double slow_start_work(const SlowStartWorkInput& input) {
    const ClassStatistics& statistics = input.statistics;
    const ClassSettings& class_settings = input.class_settings;
    if (statistics.estimated_work > 0) {
        const double typical_work =
            std::max(statistics.work, statistics.estimated_work * statistics.work_ratio);
        if (statistics.estimates >= kMinEstimates)
            return (input.work + typical_work) / 2;
        return std::max(input.work, typical_work * (1 + 1 / std::sqrt(statistics.estimates)));
    }
    const Micros observed_from =
        statistics.first_unestimated_at + kObservationObjectives * class_settings.latency_objective;
    if (statistics.responses >= kMinResponses && input.now >= observed_from)
        return statistics.work;
    return std::max(statistics.work,
                    static_cast<double>(class_settings.latency_objective) * class_settings.threads);
}

// The first query of an unknown class counts as the guess. Otherwise none might be admitted, and its work
// would never become known.
double first_slow_start_work(const SlowStartWorkInput& input) {
    if (input.statistics.estimates >= kMinEstimates)
        return slow_start_work(input);
    return std::max(input.statistics.work, input.work);
}

double load_estimate(const SelectionInput& input, const ActiveRequest& request,
                     const EndpointStatus& endpoint) {
    const ClassSettings& class_settings = input.settings.classes[request.class_index];
    const bool waits_for_lock = class_settings.waits_for_table_lock || class_settings.locks_table_group;
    double work = request.work;
    for (const AttemptRef& ref : endpoint.open_attempts) {
        const ActiveRequest& other = input.requests[ref.slot];
        const Attempt& attempt = other.attempts[ref.attempt];
        const double remaining_work =
            attempt.work * std::max(kMinRemainingWorkShare, 1 - attempt.fraction_done);
        work += remaining_work;
        // The request would be blocked until that load ends, so the time until then counts on all cores.
        if (waits_for_lock && other.table_group == request.table_group &&
            input.settings.classes[other.class_index].locks_table_group)
            work += remaining_work / attempt.threads * endpoint.cores;
    }
    const TypicalQuery& typical_query = input.statistics.typical_query();
    work += input.fleet.other_queries(endpoint, input.fleet.queries_at(endpoint, typical_query, input.now)) *
            typical_query.work;
    const double capacity =
        endpoint.cores * warm_capacity_share(input.settings, endpoint.description.started_at, input.now);
    const double slowdown = std::max(1.0, endpoint.slowdown / input.fleet.mean_slowdown());
    const bool crosses_zones =
        input.settings.cross_zone_price > 0 && endpoint.description.zone != input.settings.zone;
    return work / std::max(capacity, kMinCapacityCores) * slowdown * (crosses_zones ? kCrossZoneFactor : 1);
}

int select_endpoint(const SelectionInput& input, const ActiveRequest& request) {
    std::vector<int> eligible = eligible_endpoints(input, request);
    if (eligible.size() > 1 && !request.attempts.empty())
        std::erase(eligible, request.attempts.back().endpoint);
    if (eligible.empty())
        return kNoEndpoint;
    const int first = eligible[input.random.index(eligible.size())];
    if (eligible.size() > 1)
        std::erase(eligible, first);
    const int second = eligible[input.random.index(eligible.size())];
    if (first == second)
        return first;
    const double first_load = load_estimate(input, request, input.fleet[first]);
    const double second_load = load_estimate(input, request, input.fleet[second]);
    return first_load <= second_load ? first : second;
}

}  // namespace gatetiller::policy
