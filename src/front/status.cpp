#include "front/status.hpp"

#include "statement/json.hpp"

namespace gatetiller::front {
namespace {

// Returns the name used in the status API and in endpoint lists.
const char* api_name_of(EndpointState state) {
    switch (state) {
        case EndpointState::ready:
            return "on";
        case EndpointState::draining:
            return "fading";
        case EndpointState::removed:
            return "off";
    }
    return "off";
}

std::string json_of(const Engine& engine) {
    return R"({"name":)" + statement::json_string(engine.settings.name) + R"(,"address":)" +
           statement::json_string(engine.settings.address.text()) + R"(,"state":")" +
           api_name_of(engine.state_tracker.endpoint().state) + R"(","connections":)" +
           std::to_string(engine.client->open()) + "}";
}

}  // namespace

std::string status_members(const EngineRegistry& engines, const StatusFigures& figures,
                           const std::string& ledger_member) {
    std::string list;
    for (const auto& [id, engine] : engines.all())
        list += (list.empty() ? "" : ",") + json_of(*engine);
    return R"(,"engines":[)" + list + R"(],"statements":)" + std::to_string(figures.statements) +
           R"(,"waitingBytes":)" + std::to_string(figures.waiting_bytes) + R"(,"connections":)" +
           std::to_string(figures.connections) + R"(,"alpha":)" + std::to_string(figures.alpha) +
           ledger_member;
}

}  // namespace gatetiller::front
