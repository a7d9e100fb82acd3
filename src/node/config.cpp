#include "node/config.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/text.hpp"
#include "base/unique_members.hpp"
#include "config/settings.hpp"
#include "decide/reported_values.hpp"
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

std::int64_t whole_number(const Json& object, const char* name, std::int64_t least, std::int64_t most) {
    const Json& number = member(object, name);
    const bool is_too_large =
        number.is_number_unsigned() && number.get<std::uint64_t>() > static_cast<std::uint64_t>(most);
    const bool is_valid = number.is_number_integer() && !is_too_large &&
                          number.get<std::int64_t>() >= least && number.get<std::int64_t>() <= most;
    if (!is_valid)
        throw ConfigError(std::string(name) + " must be a whole number from " + std::to_string(least) +
                          " to " + std::to_string(most) + ", not " + number.dump());
    return number.get<std::int64_t>();
}

std::string parse_name(const Json& json) {
    auto name = value<std::string>(json, "instanceId", "text");
    for (char& letter : name)
        letter = to_ascii_lower(letter);
    return name;
}

// Applies what an event tells of an endpoint; the members that it lacks keep their values.
void apply_event(const Json& json, decide::DiscoveredEndpoint& endpoint) {
    endpoint.address = address(json, "hostPort").text();
    if (json.contains("zone"))
        endpoint.zone = value<std::string>(json, "zone", "text");
    if (json.contains("machineType"))
        endpoint.kind = value<std::string>(json, "machineType", "text");
    if (json.contains("cell"))
        endpoint.cell = whole_number(json, "cell", std::numeric_limits<std::int64_t>::min(),
                                     std::numeric_limits<std::int64_t>::max());
    if (json.contains("weight"))
        endpoint.share = value<double>(json, "weight", "a number");
    if (json.contains("startedAtMs"))
        endpoint.started_at = whole_number(json, "startedAtMs", 0, decide::kMaxStartMs) * kMillisecond;
    if (json.contains("lifecycle"))
        endpoint.state = parse_state(value<std::string>(json, "lifecycle", "text"));
}

// Adds, changes or removes one endpoint of the list.
void read_instance(const Json& json, std::vector<decide::DiscoveredEndpoint>& list) {
    decide::DiscoveredEndpoint endpoint;
    endpoint.name = parse_name(json);
    const auto known = std::find_if(list.begin(), list.end(), [&](const auto& listed) {
        return listed.name == endpoint.name;
    });
    if (known != list.end()) {
        endpoint = std::move(*known);
        list.erase(known);
    }
    apply_event(json, endpoint);
    if (endpoint.state != EndpointState::removed)
        list.push_back(std::move(endpoint));
}

// Merges the configured events into one list: the first holds the complete list (`reset`), later ones hold
// changes to it.
void read_known_endpoints(const Json& known, NodeSettings& settings) {
    settings.known_serial =
        static_cast<std::uint64_t>(whole_number(known, "offset", 1, static_cast<std::int64_t>(kMaxNumber)));
    for (const Json& event : member(known, "batch")) {
        const Json& topology = member(event, "topology");
        if (topology.value("reset", false))
            settings.known_endpoints.clear();
        for (const Json& instance : member(topology, "instances"))
            read_instance(instance, settings.known_endpoints);
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
        UniqueMembers members;
        const Json json = Json::parse(text, std::ref(members));
        if (members.repeated())
            throw ConfigError(*members.repeated() + " occurs twice");
        return parse(json);
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
