// Routing of a statement: its class, tenant, idempotency key and group, from the attributes that the client
// sent with it.
//
// Routes are tried in order and the first match decides. Patterns are those of pattern.hpp.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::decide {

// The attributes that a client sent with a statement.
struct StatementTraits {
    std::string user, source, catalog, schema, trace_token;
    std::vector<std::string> tags;
};

// One route: the patterns, all of which a statement must match, and what is assigned to it.
struct Route {
    std::string user, source, catalog, schema;
    // Each must match at least one tag of the statement.
    std::vector<std::string> tags;
    std::string cls;
    std::string tenant;       // by name, or empty: from `tenant_from`
    std::string tenant_from;  // "user", "source", "catalog", "schema", or "tag:PREFIX"
    std::string key_from;     // "trace_token" or "tag:PREFIX"; empty: no key
    std::string group_from;   // "catalog", "schema", or "tag:PREFIX"; empty: no group
};

// The result of Router::route().
struct RoutingResult {
    std::string cls, tenant, key;
    // A hash of the group's name, the same at every gateway; 0: no group.
    std::int64_t group = 0;
};

class Router {
public:
    Router(std::vector<Route> routes, std::vector<std::string> tenants);
    // By the first route that matches; nothing where none does. A tenant that is not one of `tenants` is
    // replaced by the last of them, the default tenant.
    std::optional<RoutingResult> route(const StatementTraits& traits) const;

private:
    std::vector<Route> routes_;
    std::vector<std::string> tenants_;
};

}  // namespace gatetiller::decide
