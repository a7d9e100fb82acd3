// The endpoints that accept nothing new, because they drain or are removed, and since when this front knows
// it.
#pragma once

#include <map>
#include <optional>

#include "front/engine_registry.hpp"

namespace gatetiller::front {

class DrainingEndpoints {
public:
    // `engines` already has the update; a full one removes those it lacks. `now`: loop time.
    void apply(const EndpointUpdate& update, const EngineRegistry& engines, Micros now);
    bool contains(EngineId id) const {
        return since_.contains(id);
    }
    // How long this front has known it; absent where the endpoint does not drain.
    std::optional<Micros> draining_for(EngineId id, Micros now) const;

private:
    std::map<EngineId, Micros> since_;
};

}  // namespace gatetiller::front
