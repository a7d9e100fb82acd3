#include "bench/wire.hpp"

#include <algorithm>
#include <charconv>
#include <istream>
#include <ostream>

#include "base/overloaded.hpp"
#include "platform/settings.hpp"

namespace gatetiller::wire {
namespace {

constexpr std::string_view kTextFields[] = {"boot_info", "reason_text"};

template <typename T>
T number(std::string_view text, std::string_view name) {
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        throw WireError("field " + std::string(name) + " is not a number: '" + std::string(text) + "'");
    return value;
}

// The parts of one line: its message name and its fields.
class Fields {
public:
    explicit Fields(std::string_view line) {
        std::size_t tab = line.find('\t');
        name_ = line.substr(0, tab);
        while (tab != std::string_view::npos) {
            const std::string_view rest = line.substr(tab + 1);
            const std::size_t equals = rest.find('=');
            std::size_t end = rest.find('\t');
            if (equals == std::string_view::npos || equals > end)
                throw WireError("a part without '=': '" + std::string(rest.substr(0, end)) + "'");
            const std::string_view key = rest.substr(0, equals);
            if (std::ranges::find(kTextFields, key) != std::end(kTextFields))
                end = std::string_view::npos;
            fields_.emplace_back(key, rest.substr(0, end).substr(equals + 1));
            tab = end == std::string_view::npos ? end : tab + 1 + end;
        }
    }
    std::string_view name() const {
        return name_;
    }
    std::optional<std::string_view> find(std::string_view key) const {
        for (const auto& [name, value] : fields_)
            if (name == key)
                return value;
        return std::nullopt;
    }
    std::string_view text(std::string_view key) const {
        const auto value = find(key);
        if (!value)
            throw WireError(std::string(name_) + " lacks " + std::string(key));
        return *value;
    }
    template <typename T>
    T get(std::string_view key) const {
        return number<T>(text(key), key);
    }
    template <typename T>
    T get(std::string_view key, T otherwise) const {
        const auto value = find(key);
        return value ? number<T>(*value, key) : otherwise;
    }
    bool flag(std::string_view key) const {
        const auto value = find(key);
        if (value && *value != "0" && *value != "1")
            throw WireError("field " + std::string(key) + " is neither 0 nor 1: '" + std::string(*value) +
                            "'");
        return value == "1";
    }

private:
    std::string_view name_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

template <typename T, std::size_t N>
T named(const std::pair<std::string_view, T> (&table)[N], std::string_view word, std::string_view field) {
    for (const auto& [name, value] : table)
        if (name == word)
            return value;
    throw WireError("unknown word in " + std::string(field) + ": '" + std::string(word) + "'");
}

constexpr std::pair<std::string_view, AttemptOutcome> kOutcomes[] = {
    {"done", AttemptOutcome::succeeded},
    {"err", AttemptOutcome::failed},
    {"busy", AttemptOutcome::rejected},
    {"etimedout", AttemptOutcome::timed_out},
    {"econnrefused", AttemptOutcome::connection_refused},
    {"econnreset", AttemptOutcome::connection_reset},
    {"ecanceled", AttemptOutcome::cancelled},
    {"skipped", AttemptOutcome::not_sent}};
constexpr std::pair<std::string_view, EndpointState> kStates[] = {
    {"on", EndpointState::ready}, {"fading", EndpointState::draining}, {"off", EndpointState::removed}};
constexpr std::pair<std::string_view, EndpointUpdateKind> kForms[] = {
    {"incr", EndpointUpdateKind::incremental},
    {"total", EndpointUpdateKind::full},
    {"warm_copy", EndpointUpdateKind::cached},
    {"lost", EndpointUpdateKind::source_lost}};

std::optional<LoadReport> parse_report(std::optional<std::string_view> text) {
    if (!text || text->empty())
        return std::nullopt;
    LoadReport report;
    for (std::size_t at = 0; at <= text->size();) {
        const std::size_t comma = std::min(text->find(',', at), text->size());
        const std::string_view part = text->substr(at, comma - at);
        const std::size_t colon = part.find(':');
        if (colon == std::string_view::npos)
            throw WireError("feedback without ':': '" + std::string(part) + "'");
        const std::string_view name = part.substr(0, colon);
        if (const auto member = platform::report_field(name))
            report.*member = number<double>(part.substr(colon + 1), name);
        at = comma + 1;
    }
    return report;
}

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

std::string decode_base64(std::string_view text) {
    std::string bytes;
    if (text == "-")
        return bytes;
    if (text.empty() || text.size() % 4 != 0)
        throw WireError("base64 of a wrong length");
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool pad = i >= text.size() - padding;
        const std::size_t digit = pad ? 0 : kDigits.find(text[i]);
        if (digit == std::string_view::npos)
            throw WireError("base64 with a character that does not belong");
        bits = bits << 6 | static_cast<std::uint32_t>(digit);
        if (i % 4 == 3)
            for (int shift = 16; shift >= 0; shift -= 8)
                bytes.push_back(static_cast<char>(bits >> shift & 0xff));
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

std::string encode_base64(std::string_view bytes) {
    if (bytes.empty())
        return "-";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
        for (std::size_t j = 0; j < 4; ++j)
            text.push_back(i + j > bytes.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 63]);
    }
    return text;
}

void Host::open_page(std::string_view line) {
    const Fields f(line);
    page_open_ = f.get<std::size_t>("page");
    if (page_open_ >= pages_.size())
        throw WireError("a list's number is out of range");
    entries_due_ = f.get<std::size_t>("hosts");
    pages_[page_open_].clear();
}

void Host::add_entry(std::string_view line) {
    const Fields f(line);
    if (f.name() != "entry")
        throw WireError("a list ends early: '" + std::string(f.name()) + "'");
    pages_[page_open_].push_back({f.get<EngineId>("engine"), named(kStates, f.text("state"), "state"),
                                  std::string(f.find("failure_domain").value_or("")),
                                  std::string(f.find("type").value_or("")), f.get<std::int64_t>("cluster", 0),
                                  f.get<Micros>("came_up_us", 0), f.get<double>("share", 1)});
    --entries_due_;
}

bool Host::take(std::string_view line) {
    if (entries_due_ > 0) {
        add_entry(line);
        return false;
    }
    if (line.empty())
        return false;
    const std::string_view name = line.substr(0, line.find('\t'));
    if (name == "begin_batch") {
        if (in_batch_)
            throw WireError("a batch begins inside another");
        now_ = Fields(line).get<Micros>("at_time_us");
        in_batch_ = true;
        return false;
    }
    if (!in_batch_)
        throw WireError("a line outside a batch: '" + std::string(name) + "'");
    if (name == "commit") {
        in_batch_ = false;
        return true;
    }
    if (name == "page") {
        open_page(line);
        return false;
    }
    constexpr std::string_view kEvents[] = {"create", "backends_changed", "demand",    "peer_data", "begun",
                                            "gone",   "completed",        "update_of", "echo",      "halt",
                                            "bell"};
    if (std::ranges::find(kEvents, name) == std::end(kEvents))
        return false;  // later versions may add events
    const Fields f(line);
    const int instance = f.get<int>("i");
    if (name == "create") {
        brains_.erase(instance);
        auto settings = platform::parse_settings(f.text("boot_info"));
        if (!settings)
            throw WireError(settings.error());
        GatewayPolicy brain(now_, f.get<std::uint64_t>("random_seed"), std::move(*settings));
        emit(instance, brains_.emplace(instance, std::move(brain)).first->second.start());
        return false;
    }
    const auto found = brains_.find(instance);
    if (found == brains_.end())
        throw WireError("an unknown instance: " + std::to_string(instance));
    const auto id = [&] {
        return std::string(f.text("corr"));
    };
    const auto engine = [&] {
        return f.get<EngineId>("engine");
    };
    Event event;
    if (name == "halt") {
        brains_.erase(found);
        return false;
    }
    if (name == "backends_changed") {
        EndpointUpdate change{named(kForms, f.text("form"), "form"), {}};
        if (change.kind != EndpointUpdateKind::source_lost) {
            const auto page = f.get<std::size_t>("page");
            if (page >= pages_.size())
                throw WireError("a list's number is out of range");
            change.endpoints = pages_[page];
        }
        event = std::move(change);
    } else if (name == "demand") {
        RequestArrived d;
        d.id = id();
        d.class_name = f.text("type");
        d.tenant = f.find("billing").value_or("");
        d.ordering_key = f.find("relation").value_or("");
        d.time_left = f.get<Micros>("grace_us");
        if (f.find("plan_cost_us"))
            d.estimated_work = f.get<Micros>("plan_cost_us");
        d.estimated_memory_mb = f.get<double>("mem_mb", 0);
        d.table_group = static_cast<std::int64_t>(f.get<double>("table_group", 0));
        d.client_retry = f.flag("repeat");
        event = std::move(d);
    } else if (name == "peer_data") {
        event = PeerMessage{f.get<int>("origin_peer"), decode_base64(f.text("bytes"))};
    } else if (name == "begun") {
        event = ResponseStarted{id(), f.get<int>("hop", 0)};
    } else if (name == "gone") {
        event = ClientDisconnected{id()};
    } else if (name == "completed") {
        const auto stats = f.get<std::uint64_t>("stats", 0);
        event = AttemptCompleted{id(),
                                 f.get<int>("hop"),
                                 engine(),
                                 named(kOutcomes, f.text("reason"), "reason"),
                                 f.get<Micros>("time_taken_us", 0),
                                 f.flag("finished"),
                                 static_cast<double>(stats >> 12),
                                 static_cast<double>(stats & 4095) * 4,
                                 parse_report(f.find("feedback"))};
    } else if (name == "update_of") {
        const int topic = f.get<int>("topic");
        if (topic < 1 || topic > 3)
            return false;
        event = AttemptProgress{id(), f.get<int>("hop"), engine(), static_cast<ProgressKind>(topic),
                                f.get<double>("value")};
    } else if (name == "echo") {
        event = HealthCheckCompleted{engine(), f.get<Micros>("time_taken_us", 0),
                                     named(kOutcomes, f.text("reason"), "reason"),
                                     parse_report(f.find("feedback"))};
    } else {
        event = TimerFired{f.get<std::int64_t>("name")};
    }
    emit(instance, found->second.handle(now_, event));
    return false;
}

void Host::emit(int instance, const std::vector<Action>& actions) {
    const std::string i = "\ti=" + std::to_string(instance);
    const auto str = [](auto value) {
        return std::to_string(value);
    };
    for (const Action& action : actions) {
        out_ += std::visit(
            Overloaded{[&](const DispatchAttempt& a) {
                           return "call_out" + i + "\tcorr=" + a.id + "\tengine=" + str(a.engine) +
                                  "\tmax_wait_us=" + str(a.timeout);
                       },
                       [&](const ResourceGrant& a) {
                           return "terms" + i + "\tcorr=" + a.id + "\tworkspace_mb=" + str(a.memory_mb) +
                                  "\timportance=" + str(a.priority);
                       },
                       [&](const ShedRequest& a) {
                           return "not_now" + i + "\tcorr=" + a.id + "\tcome_back_us=" + str(a.retry_after);
                       },
                       [&](const FailRequest& a) {
                           return "abort" + i + "\tcorr=" + a.id;
                       },
                       [&](const CancelAttempt& a) {
                           return "stop_attempt" + i + "\tcorr=" + a.id + "\thop=" + str(a.attempt);
                       },
                       [&](const CheckHealth& a) {
                           return "touch" + i + "\tengine=" + str(a.engine);
                       },
                       [&](const BroadcastToPeers& a) {
                           return "memo_to" + i + "\taddressee=*\tbytes=" + encode_base64(a.bytes);
                       },
                       [&](const WatchEndpoints&) {
                           return "observe" + i + "\twant=1";
                       },
                       [&](const StartTimer& a) {
                           return "after" + i + "\tsleep_for_us=" + str(a.delay) + "\tname=" + str(a.timer);
                       }},
            action);
        out_ += '\n';
    }
}

std::string Host::reply() {
    std::string reply = std::move(out_) + "yield\n";
    out_.clear();
    return reply;
}

int serve(std::istream& in, std::ostream& out, std::ostream& errors) {
    Host host;
    std::string line;
    std::size_t count = 0;
    try {
        while (std::getline(in, line)) {
            ++count;
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (host.take(line))
                out << host.reply() << std::flush;
        }
    } catch (const std::exception& error) {
        errors << "gatetiller_wirehost: line " << count << ": " << error.what() << '\n';
        return 1;
    }
    return 0;
}

}  // namespace gatetiller::wire
