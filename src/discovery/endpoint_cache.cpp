#include "discovery/endpoint_cache.hpp"

#include <nlohmann/json.hpp>

#include "base/durable_file.hpp"

namespace gatetiller::discovery {

Result<bool> keep_last_list(const std::string& file, const std::vector<config::EngineSettings>& list) {
    nlohmann::json engines = nlohmann::json::object();
    for (const auto& e : list)
        engines[e.name] = {{"address", e.address.text()},
                           {"zone", e.zone},
                           {"kind", e.kind},
                           {"cell", e.cell},
                           {"share", e.share},
                           {"state", e.state == EndpointState::ready      ? "on"
                                     : e.state == EndpointState::draining ? "fading"
                                                                          : "off"}};
    auto kept = replace_file(file, nlohmann::json{{"engines", std::move(engines)}}.dump(1) + "\n");
    if (!kept)
        return Error{"the last list cannot be kept: " + kept.error(), kept.failure().code};
    return true;
}

Result<std::vector<config::EngineSettings>> read_last_list(const std::string& file) {
    const auto text = config::whole_file(file);
    if (!text)
        return Error{text.error()};
    return config::read_engine_list(*text, file);
}

}  // namespace gatetiller::discovery
