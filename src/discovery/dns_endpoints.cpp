#include "discovery/dns_endpoints.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/text.hpp"
#include "decide/reported_values.hpp"

namespace gatetiller::discovery {
namespace {

constexpr double kSrvWeightPerShare = 10;
constexpr std::uint16_t kReadyPriority = 0;  // every other priority is that of a draining endpoint

// The values of an endpoint's attributes; nothing where it has none with that name.
struct Attributes {
    std::optional<std::string_view> kind;
    std::optional<std::string_view> cell;
    std::optional<std::string_view> started;

    // Returns null for a name that is not known.
    std::optional<std::string_view>* find(std::string_view name) {
        if (name == "kind")
            return &kind;
        if (name == "cell")
            return &cell;
        return name == "started" ? &started : nullptr;
    }
};

// Reads "name=value" strings; those with unknown names are ignored.
Result<Attributes> read_attributes(const std::vector<std::string>& texts) {
    Attributes attributes;
    for (const std::string_view text : texts) {
        const std::size_t equals = text.find('=');
        if (equals == std::string_view::npos)
            continue;
        const auto name = text.substr(0, equals);
        auto* const value = attributes.find(name);
        if (value == nullptr)
            continue;
        if (*value)
            return Error{"two values of " + std::string(name)};
        *value = text.substr(equals + 1);
    }
    return attributes;
}

Result<bool> apply_attributes(const Attributes& attributes, decide::DiscoveredEndpoint& endpoint) {
    endpoint.kind = attributes.kind.value_or("");
    const auto cell = to_number<std::int64_t>(attributes.cell.value_or("0"));
    if (!cell)
        return Error{"a cell that is not a number: '" + std::string(*attributes.cell) + "'"};
    endpoint.cell = *cell;
    const auto start = to_number_in<std::int64_t>(attributes.started.value_or("0"), 0, decide::kMaxStartMs);
    if (!start)
        return Error{"a start that is not a time in milliseconds: '" + std::string(*attributes.started) +
                     "'"};
    endpoint.started_at = *start * kMillisecond;
    return true;
}

// Reads the name, the zone, the address and the state; the target is "name.zone.domain".
Result<decide::DiscoveredEndpoint> read_service(const dns::SrvRecord& record, const dns::Response& response) {
    decide::DiscoveredEndpoint endpoint;
    const std::string& target = record.target;
    const std::size_t name_end = target.find('.');
    if (name_end == std::string::npos)
        return Error{"SRV target without a zone: " + target};
    const std::size_t zone_end = target.find('.', name_end + 1);
    endpoint.name = target.substr(0, name_end);
    endpoint.zone = target.substr(
        name_end + 1, zone_end == std::string::npos ? std::string::npos : zone_end - name_end - 1);
    const auto address = response.addresses.find(target);
    if (address == response.addresses.end())
        return Error{"no A record for SRV target " + target};
    if (record.port == 0)
        return Error{"no port for SRV target " + target};
    endpoint.address = address->second + ":" + std::to_string(record.port);
    endpoint.state = record.priority == kReadyPriority ? EndpointState::ready : EndpointState::draining;
    endpoint.share = record.weight / kSrvWeightPerShare;
    return endpoint;
}

// Finds an attribute that some endpoints have and others lack. Such a response is incomplete.
const char* partly_missing(const std::vector<Attributes>& attributes) {
    const auto is_partly_missing = [&](auto member) {
        const auto count = std::count_if(attributes.begin(), attributes.end(), [&](const Attributes& each) {
            return (each.*member).has_value();
        });
        return count > 0 && static_cast<std::size_t>(count) < attributes.size();
    };
    if (is_partly_missing(&Attributes::kind))
        return "kind";
    if (is_partly_missing(&Attributes::cell))
        return "cell";
    return is_partly_missing(&Attributes::started) ? "started" : nullptr;
}

}  // namespace

Result<std::vector<decide::DiscoveredEndpoint>> read_endpoints(const dns::Response& response) {
    std::vector<decide::DiscoveredEndpoint> endpoints;
    std::vector<Attributes> all_attributes;
    std::set<std::string> names;
    static const std::vector<std::string> kNoTexts;
    for (const auto& record : response.srv_records) {
        auto endpoint = read_service(record, response);
        if (!endpoint)
            return endpoint.failure();
        const auto texts = response.texts.find(record.target);
        const auto attributes = read_attributes(texts == response.texts.end() ? kNoTexts : texts->second);
        if (!attributes)
            return Error{record.target + " has " + attributes.error()};
        const auto applied = apply_attributes(*attributes, *endpoint);
        if (!applied)
            return Error{record.target + " has " + applied.error()};
        if (!names.insert(endpoint->name).second)
            return Error{"two SRV records for " + endpoint->name};
        endpoints.push_back(std::move(*endpoint));
        all_attributes.push_back(*attributes);
    }
    if (const char* const missing = partly_missing(all_attributes))
        return Error{std::string("an endpoint without ") + missing + ", which others have"};
    return endpoints;
}

}  // namespace gatetiller::discovery
