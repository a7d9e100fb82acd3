#include "node/config.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/text.hpp"
#include "config/settings.hpp"
#include "platform/settings.hpp"

namespace gatetiller::node {
namespace {

using Json = nlohmann::json;

constexpr Micros kDefaultConnectTimeout = 250 * kMillisecond;
constexpr double kMaxNumber = 1e15;  // doubles hold integers below it exactly

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

const Json& member(const Json& object, const char* name) {
    if (!object.is_object() || !object.contains(name))
        throw ConfigError(std::string(name) + " is missing");
    return object.at(name);
}

template <typename T>
T value(const Json& object, const char* name, const char* expected) {
    try {
        return member(object, name).get<T>();
    } catch (const Json::exception&) {
        throw ConfigError(std::string(name) + " must be " + expected + ", not " +
                          member(object, name).dump());
    }
}

template <typename T>
T positive(const Json& object, const char* name) {
    const auto number = value<double>(object, name, "a number");
    if (!(number > 0 && number < kMaxNumber))
        throw ConfigError(std::string(name) + " must be a number over 0");
    return static_cast<T>(number);
}

net::Address address(const Json& object, const char* name) {
    const auto parsed = net::Address::parse(value<std::string>(object, name, "host:port"));
    if (!parsed)
        throw ConfigError(std::string(name) + ": " + parsed.error());
    return *parsed;
}

EndpointState parse_state(const std::string& lifecycle) {
    if (lifecycle == "active")
        return EndpointState::ready;
    if (lifecycle == "leaving")
        return EndpointState::draining;
    if (lifecycle == "left")
        return EndpointState::removed;
    throw ConfigError("lifecycle must be active, leaving or left, not " + lifecycle);
}

decide::DiscoveredEndpoint parse_endpoint(const Json& json) {
    decide::DiscoveredEndpoint endpoint;
    endpoint.name = value<std::string>(json, "instanceId", "text");
    for (char& letter : endpoint.name)
        letter = to_ascii_lower(letter);
    endpoint.address = address(json, "hostPort").text();
    endpoint.zone = json.value("zone", "");
    endpoint.kind = json.value("machineType", "");
    endpoint.cell = json.value("cell", std::int64_t{0});
    endpoint.share = json.value("weight", 1.0);
    endpoint.started_at = json.value("startedAtMs", std::int64_t{0}) * kMillisecond;
    endpoint.state = parse_state(json.value("lifecycle", std::string("active")));
    return endpoint;
}

// Merges the configured events into one list: the first holds the complete list (`reset`), later ones hold
// changes to it.
void read_known_endpoints(const Json& known, NodeSettings& settings) {
    settings.known_serial = positive<std::uint64_t>(known, "offset");
    for (const Json& event : member(known, "batch")) {
        const Json& topology = member(event, "topology");
        if (topology.value("reset", false))
            settings.known_endpoints.clear();
        for (const Json& instance : member(topology, "instances")) {
            auto endpoint = parse_endpoint(instance);
            std::erase_if(settings.known_endpoints, [&](const auto& known_endpoint) {
                return known_endpoint.name == endpoint.name;
            });
            if (endpoint.state != EndpointState::removed)
                settings.known_endpoints.push_back(std::move(endpoint));
        }
    }
}

void read_policy(const Json& json, NodeSettings& settings) {
    settings.settings_text = json.dump();
    auto policy = platform::parse_settings(settings.settings_text);
    if (!policy)
        throw ConfigError(policy.error());
    settings.policy = std::move(*policy);
    if (settings.policy.classes.empty())
        throw ConfigError("settings.classes names no class");
    const Json limits = json.value("policy_limits", Json::object());
    settings.idle_timeout = limits.value("idle_close_us", Micros{0});
    settings.connect_timeout = limits.value("connect_timeout_us", kDefaultConnectTimeout);
    settings.max_streams = std::max(1, limits.value("streams_per_conn", 1));
}

std::uint64_t parse_seed(const std::string& text) {
    std::uint64_t seed = 0;
    const char* const text_end = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), text_end, seed, 16);
    if (error != std::errc() || end != text_end)
        throw ConfigError("seed must be 16 hex digits, not '" + text + "'");
    return seed;
}

NodeSettings parse(const Json& json) {
    NodeSettings settings;
    settings.name = value<std::string>(json, "name", "text");
    settings.listen = address(json, "listen");
    settings.dns = address(json, "dns");
    settings.seed = parse_seed(value<std::string>(json, "seed", "16 hex digits"));
    const Json& limits = member(json, "limits");
    settings.cores = positive<double>(limits, "cores");
    settings.memory_mb = positive<std::int64_t>(limits, "memory_mb");
    settings.sockets = positive<std::int64_t>(limits, "sockets");
    read_known_endpoints(member(json, "known"), settings);
    read_policy(member(json, "settings"), settings);
    return settings;
}

}  // namespace

Result<NodeSettings> read_config(const std::string& text) {
    try {
        return parse(Json::parse(text));
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
