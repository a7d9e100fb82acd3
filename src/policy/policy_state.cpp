#include "policy/policy_state.hpp"

#include <stdexcept>
#include <utility>

namespace gatetiller::policy {
namespace {

PolicySettings validated(PolicySettings settings) {
    if (settings.classes.empty() || settings.instance_count < 1)
        throw std::invalid_argument("policy settings: at least one class and one front are required, got " +
                                    std::to_string(settings.classes.size()) + " classes and " +
                                    std::to_string(settings.instance_count) + " fronts");
    for (const ClassSettings& class_settings : settings.classes)
        if (class_settings.threads <= 0 || class_settings.deadline <= 0 ||
            class_settings.latency_objective <= 0 ||
            class_settings.latency_objective > class_settings.deadline)
            throw std::invalid_argument("class \"" + class_settings.name +
                                        "\": objective, deadline and threads must be positive, and the "
                                        "objective at most the deadline; "
                                        "got objective " +
                                        std::to_string(class_settings.latency_objective) + " us, deadline " +
                                        std::to_string(class_settings.deadline) + " us, threads " +
                                        std::to_string(class_settings.threads));
    return settings;
}

}  // namespace

PolicyState::PolicyState(Micros start, std::uint64_t seed, PolicySettings policy_settings)
    : settings(validated(std::move(policy_settings))),
      now(start),
      random(seed),
      fleet(settings),
      statistics(settings),
      queue(settings, requests) {
    for (const TenantSettings& tenant : settings.tenants)
        quotas.emplace_back(tenant.quota_per_s / settings.instance_count, now);
}

}  // namespace gatetiller::policy
