// The modules of one gateway's policy, its clock, and the actions collected for the current event. Each
// module owns its state; this struct gives the event handlers access to all of them.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.hpp"
#include "policy/actions.hpp"
#include "policy/concurrency_limit.hpp"
#include "policy/fair_queue.hpp"
#include "policy/fleet.hpp"
#include "policy/health_checks.hpp"
#include "policy/key_order.hpp"
#include "policy/random_source.hpp"
#include "policy/request_table.hpp"
#include "policy/retry_policy.hpp"
#include "policy/sensitive_share.hpp"
#include "policy/settings.hpp"
#include "policy/tenant_quota.hpp"
#include "policy/workload_statistics.hpp"

namespace gatetiller::policy {

// Period of the policy timer, in microseconds.
constexpr Micros kTickPeriod = 25 * kMillisecond;

struct PolicyState {
    // Throws std::invalid_argument if the settings are invalid.
    PolicyState(Micros start, std::uint64_t seed, PolicySettings policy_settings);
    PolicyState(const PolicyState&) = delete;  // modules have pointers to `settings` and `requests`
    PolicyState& operator=(const PolicyState&) = delete;

    const ClassSettings& class_of(const ActiveRequest& request) const {
        return settings.classes[request.class_index];
    }

    const PolicySettings settings;
    Micros now;
    Micros resumed_at = 0;  // end of the last stall of this gateway, during which it handled no events
    RandomSource random;
    Fleet fleet;
    RequestTable requests;
    KeyOrder key_order;
    WorkloadStatistics statistics;
    FairQueue queue;
    SensitiveShare sensitive_share;
    ConcurrencyLimit limit;
    RetryBudget retry_budget;
    HealthCheckSchedule health_checks;
    std::vector<TenantQuota> quotas;  // indexed by tenant; empty if there are no tenants
    std::vector<Action> actions;
};

}  // namespace gatetiller::policy
