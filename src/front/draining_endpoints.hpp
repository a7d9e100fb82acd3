// Endpoints that must receive no new attempts because they are draining or removed, and the time at which
// this front was notified.
#pragma once

#include <map>
#include <optional>

#include "front/engine_registry.hpp"

namespace gatetiller::front {

class DrainingEndpoints {
public:
    // `engines` already includes the update. A full update removes the engines that it does not list. `now`:
    // loop time.
    void apply(const EndpointUpdate& update, const EngineRegistry& engines, Micros now);
    bool contains(EngineId id) const {
        return draining_since_.contains(id);
    }
    // Returns the time since this front was notified, or nullopt if the endpoint is not draining.
    std::optional<Micros> draining_for(EngineId id, Micros now) const;

private:
    std::map<EngineId, Micros> draining_since_;
};

}  // namespace gatetiller::front
