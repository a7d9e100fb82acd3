#include "lab/records.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <nlohmann/json.hpp>

namespace gatetiller::lab {
namespace {

using Json = nlohmann::json;
using What = net::TapEvent::What;

constexpr std::array kWhats = {"accepted", "connecting", "connected", "sent", "received", "closed"};

// Bytes may be of any kind: what is not UTF-8 is replaced, which no rule looks at.
std::string dumped(const Json& json) {
    return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Facts facts_of(const Json& j) {
    Facts f;
    for (const auto& c : j.at("classes")) {
        ClassSettings s;
        s.name = c.at("name");
        s.deadline = c.at("deadline");
        s.idempotency = static_cast<Idempotency>(c.at("effect").get<int>());
        s.key_scope = static_cast<KeyScope>(c.at("key_scope").get<int>());
        s.key_window = c.at("window");
        s.ordered_by_key = c.at("in_turn");
        s.priority_weight = c.at("value");
        s.latency_objective = c.at("aim");
        s.late_value_share = c.at("late_share");
        if (c.contains("kinds"))
            s.allowed_kinds = c["kinds"].get<std::vector<std::string>>();
        if (c.contains("zones"))
            s.allowed_zones = c["zones"].get<std::vector<std::string>>();
        f.classes.push_back(std::move(s));
    }
    for (const auto& e : j.at("engines"))
        f.engines.push_back({e.at("name"), e.at("address"), e.at("zone"), e.at("kind"), e.at("cell")});
    f.answer_grace = j.at("answer_grace"), f.drain_grace = j.at("drain_grace"), f.turn_gap = j.at("turn_gap");
    f.ratio_span = j.at("ratio_span"), f.may_duplicate = j.at("may_duplicate");
    if (j.contains("extra_free"))
        f.extra_free = j["extra_free"], f.extra_per_request = j["extra_per_request"];
    return f;
}

void take(const Json& j, Records& to) {
    const std::string of = j.contains("engine") ? "engine" : j.at("of").get<std::string>();
    if (of == "socket") {
        const auto what = std::find(kWhats.begin(), kWhats.end(), j.at("what").get<std::string>());
        to.sockets.push_back({j.at("at"), j.at("front"), j.at("stream"),
                              static_cast<What>(what - kWhats.begin()), j.value("peer", ""),
                              j.value("bytes", ""), j.value("size", std::size_t{0})});
    } else if (of == "client") {
        to.clients.push_back({j.at("at"), j.at("event"), j.at("trace"), j.value("front", ""),
                              j.value("class", ""), j.value("tenant", ""), j.value("key", ""),
                              j.value("aim", Micros{0}), j.value("patience", Micros{0}),
                              j.value("detail", "")});
    } else if (of == "lab") {
        to.lab.push_back({j.at("at"), j.at("event"), j.value("who", ""), j.value("detail", "")});
    } else if (of == "facts") {
        to.facts = facts_of(j);
    } else {
        engine::Entry e;
        e.at = j.at("at"), e.event = j.at("event"), e.trace = j.at("trace"), e.id = j.at("id"),
        e.front = j.at("front");
        e.user = j.value("user", ""), e.source = j.value("source", ""), e.tags = j.value("tags", "");
        e.work_us = j.value("work_us", 0.0), e.peak_mb = j.value("peak_mb", 0.0),
        e.spilled_mb = j.value("spilled_mb", 0.0);
        to.engines.push_back({j.at("engine"), std::move(e)});
    }
}

}  // namespace

std::string line_of(const SocketRecord& r) {
    Json j = {{"of", "socket"},
              {"at", r.at},
              {"front", r.front},
              {"stream", r.stream},
              {"what", kWhats[static_cast<std::size_t>(r.what)]},
              {"peer", r.peer}};
    if (!r.bytes.empty())
        j["bytes"] = r.bytes, j["size"] = r.size;
    return dumped(j);
}

std::string line_of(const ClientRecord& r) {
    Json j = {{"of", "client"}, {"at", r.at}, {"event", r.event}, {"trace", r.trace}, {"front", r.front}};
    if (!r.cls.empty())
        j["class"] = r.cls, j["tenant"] = r.tenant, j["key"] = r.key, j["aim"] = r.aim,
        j["patience"] = r.patience;
    if (!r.detail.empty())
        j["detail"] = r.detail;
    return dumped(j);
}

std::string line_of(const std::string& engine, const engine::Entry& e) {
    return dumped({{"engine", engine},
                   {"at", e.at},
                   {"event", e.event},
                   {"trace", e.trace},
                   {"id", e.id},
                   {"front", e.front},
                   {"user", e.user},
                   {"source", e.source},
                   {"tags", e.tags},
                   {"work_us", e.work_us},
                   {"peak_mb", e.peak_mb},
                   {"spilled_mb", e.spilled_mb}});
}

std::string line_of(const LabRecord& r) {
    return dumped({{"of", "lab"}, {"at", r.at}, {"event", r.event}, {"who", r.who}, {"detail", r.detail}});
}

std::string line_of(const Facts& f) {
    Json j = {{"of", "facts"},
              {"classes", Json::array()},
              {"engines", Json::array()},
              {"answer_grace", f.answer_grace},
              {"drain_grace", f.drain_grace},
              {"turn_gap", f.turn_gap},
              {"ratio_span", f.ratio_span},
              {"may_duplicate", f.may_duplicate}};
    for (const auto& c : f.classes) {
        Json k = {{"name", c.name},
                  {"deadline", c.deadline},
                  {"effect", static_cast<int>(c.idempotency)},
                  {"key_scope", static_cast<int>(c.key_scope)},
                  {"window", c.key_window},
                  {"in_turn", c.ordered_by_key},
                  {"value", c.priority_weight},
                  {"aim", c.latency_objective},
                  {"late_share", c.late_value_share}};
        if (c.allowed_kinds)
            k["kinds"] = *c.allowed_kinds;
        if (c.allowed_zones)
            k["zones"] = *c.allowed_zones;
        j["classes"].push_back(std::move(k));
    }
    for (const auto& e : f.engines)
        j["engines"].push_back(
            {{"name", e.name}, {"address", e.address}, {"zone", e.zone}, {"kind", e.kind}, {"cell", e.cell}});
    if (f.extra_free)
        j["extra_free"] = *f.extra_free, j["extra_per_request"] = f.extra_per_request.value_or(0);
    return dumped(j);
}

SocketRecord record_of(const std::string& front, const net::TapEvent& e) {
    return {e.at,
            front,
            e.stream,
            e.what,
            std::string(e.peer),
            std::string(e.bytes.substr(0, kSocketBytes)),
            e.bytes.size()};
}

void Records::sort() {
    const auto by = [](auto time) {
        return [time](const auto& a, const auto& b) {
            return time(a) < time(b);
        };
    };
    const auto at = [](const auto& r) {
        return r.at;
    };
    std::stable_sort(sockets.begin(), sockets.end(), by(at));
    std::stable_sort(clients.begin(), clients.end(), by(at));
    std::stable_sort(lab.begin(), lab.end(), by(at));
    std::stable_sort(engines.begin(), engines.end(), by([](const EngineRecord& r) {
                         return r.entry.at;
                     }));
}

std::ofstream append_lines(const std::string& file) {
    std::error_code error;
    if (const auto size = std::filesystem::file_size(file, error); !error && size > 0) {
        std::ifstream in(file, std::ios::binary);
        std::uintmax_t end = size;  // behind the last line that is whole
        for (char c = 0; end > 0; --end) {
            in.seekg(static_cast<std::streamoff>(end - 1));
            if (!in.get(c) || c == '\n')
                break;
        }
        if (end < size)
            std::filesystem::resize_file(file, end, error);
    }
    return std::ofstream(file, std::ios::app);
}

Result<bool> read_records(const std::string& name, const std::string& text, Records& to) {
    std::size_t line = 0;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = text.find('\n', at);
        if (end == std::string::npos)
            break;  // cut short
        ++line;
        const Json j = Json::parse(text.begin() + static_cast<long>(at),
                                   text.begin() + static_cast<long>(end), nullptr, false);
        at = end + 1;
        try {
            if (!j.is_object())
                return Error{name + ":" + std::to_string(line) + ": not a JSON object"};
            take(j, to);
        } catch (const Json::exception& e) {
            return Error{name + ":" + std::to_string(line) + ": not a record: " + e.what()};
        }
    }
    return true;
}

}  // namespace gatetiller::lab
