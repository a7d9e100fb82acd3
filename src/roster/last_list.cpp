#include "roster/last_list.hpp"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>

namespace gatetiller::roster {

Result<bool> keep_last_list(const std::string& file, const std::vector<config::EngineSettings>& list) {
    nlohmann::json engines = nlohmann::json::object();
    for (const auto& e : list)
        engines[e.name] = {{"address", e.address.text()},
                           {"zone", e.zone},
                           {"kind", e.kind},
                           {"cell", e.cell},
                           {"share", e.share},
                           {"state", e.state == EngineState::on       ? "on"
                                     : e.state == EngineState::fading ? "fading"
                                                                      : "off"}};
    const std::string beside = file + ".new";
    std::ofstream out(beside, std::ios::binary | std::ios::trunc);
    out << nlohmann::json{{"engines", std::move(engines)}}.dump(1) << "\n";
    out.close();
    if (!out || std::rename(beside.c_str(), file.c_str()) != 0)
        return Error{file + ": the last list cannot be kept: " + std::strerror(errno)};
    return true;
}

Result<std::vector<config::EngineSettings>> read_last_list(const std::string& file) {
    const auto text = config::whole_file(file);
    if (!text) return Error{text.error()};
    return config::read_engine_list(*text, file);
}

}  // namespace gatetiller::roster
