#include "front/draining_endpoints.hpp"

namespace gatetiller::front {

void DrainingEndpoints::apply(const EndpointUpdate& update, const EngineRegistry& engines, Micros now) {
    for (const Endpoint& endpoint : update.endpoints) {
        if (endpoint.state == EndpointState::ready)
            draining_since_.erase(endpoint.id);
        else
            draining_since_.emplace(endpoint.id, now);
    }
    if (update.kind != EndpointUpdateKind::full)
        return;
    for (const auto& [id, engine] : engines.all())
        if (engine->state_tracker.endpoint().state == EndpointState::removed)
            draining_since_.emplace(id, now);
}

std::optional<Micros> DrainingEndpoints::draining_for(EngineId id, Micros now) const {
    const auto found = draining_since_.find(id);
    if (found == draining_since_.end())
        return std::nullopt;
    return now - found->second;
}

}  // namespace gatetiller::front
