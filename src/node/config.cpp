#include "node/config.hpp"

#include <algorithm>
#include <cerrno>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/text.hpp"
#include "config/settings.hpp"
#include "platform/settings.hpp"

namespace gatetiller::node {
namespace {

using Json = nlohmann::json;

struct Wrong : std::runtime_error {
    using std::runtime_error::runtime_error;
};

const Json& member(const Json& object, const char* name) {
    if (!object.is_object() || !object.contains(name))
        throw Wrong(std::string(name) + " is missing");
    return object.at(name);
}

template <typename T>
T value(const Json& object, const char* name, const char* right) {
    try {
        return member(object, name).get<T>();
    } catch (const Json::exception&) {
        throw Wrong(std::string(name) + " must be " + right + ", not " + member(object, name).dump());
    }
}

template <typename T>
T positive(const Json& object, const char* name) {
    const auto got = value<double>(object, name, "a number");
    if (!(got > 0 && got < 1e15))
        throw Wrong(std::string(name) + " must be a number over 0");
    return static_cast<T>(got);
}

net::Address address(const Json& object, const char* name) {
    const auto parsed = net::Address::parse(value<std::string>(object, name, "host:port"));
    if (!parsed)
        throw Wrong(std::string(name) + ": " + parsed.error());
    return *parsed;
}

decide::DiscoveredEndpoint engine_of(const Json& json) {
    decide::DiscoveredEndpoint e;
    e.name = value<std::string>(json, "instanceId", "text");
    for (char& c : e.name)
        c = lower(c);
    e.address = address(json, "hostPort").text();
    e.zone = json.value("zone", "");
    e.kind = json.value("machineType", "");
    e.cell = json.value("cell", std::int64_t{0});
    e.share = json.value("weight", 1.0);
    e.started_at = json.value("startedAtMs", std::int64_t{0}) * kMillisecond;
    const auto state = json.value("lifecycle", std::string("active"));
    if (state == "active")
        e.state = EndpointState::ready;
    else if (state == "leaving")
        e.state = EndpointState::draining;
    else if (state == "left")
        e.state = EndpointState::removed;
    else
        throw Wrong("lifecycle must be active, leaving or left, not " + state);
    return e;
}

// The events of the start come to one list: the first holds it whole, later ones what has changed.
void read_known(const Json& known, NodeSettings& s) {
    s.known_number = positive<std::uint64_t>(known, "offset");
    for (const Json& event : member(known, "batch")) {
        const Json& topology = member(event, "topology");
        if (topology.value("reset", false))
            s.known.clear();
        for (const Json& instance : member(topology, "instances")) {
            auto e = engine_of(instance);
            std::erase_if(s.known, [&](const auto& k) {
                return k.name == e.name;
            });
            if (e.state != EndpointState::removed)
                s.known.push_back(std::move(e));
        }
    }
}

NodeSettings from(const Json& json) {
    NodeSettings s;
    s.name = value<std::string>(json, "name", "text");
    s.listen = address(json, "listen");
    s.dns = address(json, "dns");
    const auto seed = value<std::string>(json, "seed", "16 hex digits");
    const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), s.seed, 16);
    if (error != std::errc() || end != seed.data() + seed.size())
        throw Wrong("seed must be 16 hex digits, not '" + seed + "'");
    const Json& limits = member(json, "limits");
    s.cores = positive<double>(limits, "cores");
    s.memory_mb = positive<std::int64_t>(limits, "memory_mb");
    s.sockets = positive<std::int64_t>(limits, "sockets");
    read_known(member(json, "known"), s);
    const Json& settings = member(json, "settings");
    s.settings_text = settings.dump();
    auto module = platform::parse_settings(s.settings_text);
    if (!module)
        throw Wrong(module.error());
    s.module = std::move(*module);
    if (s.module.classes.empty())
        throw Wrong("settings.classes names no class");
    const Json policy = settings.value("policy_limits", Json::object());
    s.idle_close = policy.value("idle_close_us", Micros{0});
    s.connect_time_out = policy.value("connect_timeout_us", Micros{250 * kMillisecond});
    s.streams = std::max(1, policy.value("streams_per_conn", 1));
    return s;
}

}  // namespace

Result<NodeSettings> read_config(const std::string& text) {
    try {
        return from(Json::parse(text));
    } catch (const Json::parse_error& error) {
        return Error{std::string("configuration: ") + error.what(), EAGAIN};
    } catch (const std::exception& error) {
        return Error{std::string("configuration: ") + error.what()};
    }
}

Result<NodeSettings> load_config(const std::string& file) {
    const auto text = config::whole_file(file);
    return text ? read_config(*text) : Error{"configuration: " + text.error(), text.failure().code};
}

}  // namespace gatetiller::node
