// decide: decisions beside the module's, as pure functions and small state machines: no I/O, no clock.
// This file: which class and tenant a statement belongs to, and what key and group it carries.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::decide {

struct Traits {  // what a client said along with a statement
    std::string user, source, catalog, schema, trace_token;
    std::vector<std::string> tags;
};

// One route. Patterns have `*` for any run of characters; an empty one matches everything. All must match.
struct Route {
    std::string user, source, catalog, schema;
    std::vector<std::string> tags;  // each must match some tag of the statement
    std::string cls;
    std::string tenant;       // by name, or empty: from `tenant_from`
    std::string tenant_from;  // "user", "source", "catalog", "schema", or "tag:PREFIX"
    std::string key_from;     // "trace_token" or "tag:PREFIX"; empty: no key
    std::string group_from;   // "catalog", "schema", or "tag:PREFIX"; empty: no group
};

struct Routed {
    std::string cls, tenant, key;
    std::int64_t group = 0;  // a number of its own for each group's name; 0: none
};

class Router {
public:
    Router(std::vector<Route> routes, std::vector<std::string> tenants);
    // The first route that matches decides; nothing where none does. A tenant that the settings don't know
    // counts as the last of them, which is the usual place for "everyone else".
    std::optional<Routed> route(const Traits& traits) const;

private:
    std::vector<Route> routes_;
    std::vector<std::string> tenants_;
};

}  // namespace gatetiller::decide
