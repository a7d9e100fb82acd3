#include "policy/policy_state.hpp"

#include <stdexcept>
#include <utility>

namespace gatetiller::policy {
namespace {

PolicySettings checked(PolicySettings settings) {
    if (settings.classes.empty() || settings.instance_count < 1)
        throw std::invalid_argument("no classes or no fronts");
    for (const ClassSettings& one : settings.classes)
        if (one.threads <= 0 || one.deadline <= 0 || one.latency_objective <= 0 ||
            one.latency_objective > one.deadline)
            throw std::invalid_argument("class " + one.name + ": aim, deadline or threads don't fit");
    return settings;
}

}  // namespace

PolicyState::PolicyState(Micros start, std::uint64_t seed, PolicySettings policy_settings)
    : settings(checked(std::move(policy_settings))),
      now(start),
      random(seed),
      fleet(settings),
      statistics(settings),
      queue(settings, requests) {
    for (const TenantSettings& tenant : settings.tenants)
        quotas.emplace_back(tenant.quota_per_s / settings.instance_count, now);
}

}  // namespace gatetiller::policy
