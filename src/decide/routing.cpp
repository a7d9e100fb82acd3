#include "decide/routing.hpp"

#include <algorithm>

#include "decide/pattern.hpp"

namespace gatetiller::decide {
namespace {

bool matches(const Route& route, const StatementTraits& traits) {
    return pattern_matches(route.user, traits.user) && pattern_matches(route.source, traits.source) &&
           pattern_matches(route.catalog, traits.catalog) && pattern_matches(route.schema, traits.schema) &&
           tags_match(route.tags, traits.tags);
}

std::string value_of(const std::string& from, const StatementTraits& t) {
    if (from == "user")
        return t.user;
    if (from == "source")
        return t.source;
    if (from == "catalog")
        return t.catalog;
    if (from == "schema")
        return t.schema;
    if (from == "trace_token")
        return t.trace_token;
    if (from.starts_with("tag:"))
        for (const std::string& tag : t.tags)
            if (tag.starts_with(from.substr(4)))
                return tag.substr(from.size() - 4);
    return "";
}

// The same number at every gateway; 0 only for an empty name, which means no group.
std::int64_t group_number(const std::string& name) {
    if (name.empty())
        return 0;
    return static_cast<std::int64_t>(fnv1a_hash(name) >> 12 | 1);
}

}  // namespace

Router::Router(std::vector<Route> routes, std::vector<std::string> tenants)
    : routes_(std::move(routes)), tenants_(std::move(tenants)) {}

std::optional<RoutingResult> Router::route(const StatementTraits& traits) const {
    const auto found = std::find_if(routes_.begin(), routes_.end(), [&](const Route& candidate) {
        return matches(candidate, traits);
    });
    if (found == routes_.end())
        return std::nullopt;
    RoutingResult to{found->cls, found->tenant, value_of(found->key_from, traits),
                     group_number(value_of(found->group_from, traits))};
    if (to.tenant.empty())
        to.tenant = value_of(found->tenant_from, traits);
    if (!tenants_.empty() && std::find(tenants_.begin(), tenants_.end(), to.tenant) == tenants_.end())
        to.tenant = tenants_.back();
    return to;
}

}  // namespace gatetiller::decide
