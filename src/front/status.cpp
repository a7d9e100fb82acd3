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

std::string status_members(const EngineRegistry& engines, const StatusValues& values,
                           const std::string& ledger_member) {
    std::string engine_list;
    for (const auto& [id, engine] : engines.all())
        engine_list += (engine_list.empty() ? "" : ",") + json_of(*engine);
    return R"(,"engines":[)" + engine_list + R"(],"statements":)" + std::to_string(values.statements) +
           R"(,"waitingBytes":)" + std::to_string(values.waiting_bytes) + R"(,"connections":)" +
           std::to_string(values.connections) + R"(,"alpha":)" + std::to_string(values.sensitive_share) +
           ledger_member;
}

}  // namespace gatetiller::front
