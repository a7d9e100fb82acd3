#include "discovery/endpoint_cache.hpp"

#include <nlohmann/json.hpp>

#include "base/durable_file.hpp"

namespace gatetiller::discovery {
namespace {

// Names of the states in an engine list, as parsed by config::read_engine_list.
const char* state_name_in_list(EndpointState state) {
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

}  // namespace

Result<bool> save_cached_endpoints(const std::string& file, const std::vector<config::EngineSettings>& list) {
    nlohmann::json engines = nlohmann::json::object();
    for (const auto& engine : list)
        engines[engine.name] = {{"address", engine.address.text()},
                                {"zone", engine.zone},
                                {"kind", engine.kind},
                                {"cell", engine.cell},
                                {"share", engine.share},
                                {"state", state_name_in_list(engine.state)}};
    auto written = replace_file(file, nlohmann::json{{"engines", std::move(engines)}}.dump(1) + "\n");
    if (!written)
        return Error{"the endpoint list cannot be cached: " + written.error(), written.failure().code};
    return true;
}

Result<std::vector<config::EngineSettings>> load_cached_endpoints(const std::string& file) {
    const auto text = config::whole_file(file);
    if (!text)
        return Error{text.error()};
    return config::read_engine_list(*text, file);
}

}  // namespace gatetiller::discovery
