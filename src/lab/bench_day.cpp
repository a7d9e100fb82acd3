#include "lab/bench_day.hpp"

#include <cmath>

#include "lab/script.hpp"

namespace gatetiller::lab {
namespace {

using nlohmann::json;

std::string span(double micros) {
    return std::to_string(static_cast<long long>(micros / 1000)) + "ms";
}
std::string megabytes(double mb) {
    return std::to_string(static_cast<long long>(std::ceil(mb))) + "MiB";
}

std::string named(const json& value, const std::map<std::string, std::string>& names) {
    const auto found = names.find(value.get<std::string>());
    return found == names.end() ? value.get<std::string>() : found->second;
}

json machine_of(const json& day, const json& server) {
    const json &fam = day.at("fam"),
               &kind = day.at("tiers").at(0).at("kinds").at(server.at("kind").get<std::size_t>());
    const double cores = kind.at("cores");
    double shares = 0, runaway = 0;
    for (std::size_t i = 0; i < day.at("classes").size(); ++i) {
        const double share = day["classes"][i].at("share");
        shares += share;
        runaway += share * fam.at("sorts").at(i).value("runaway", 0.0);
    }
    json m = {{"cores", cores},
              {"memory", megabytes(fam.at("memory_per_core").get<double>() * cores)},
              {"speed", server.at("speed")},
              {"disks", fam.at("disks_per_core")},
              {"knee", fam.at("knee")},
              {"past_knee", fam.at("thrash")},
              {"spill_cost", fam.at("spill")},
              {"when_short",
               named(fam.at("when_short"), {{"page", "swap"}, {"shrink", "trim"}, {"wait", "queue"}})},
              {"warm_groups", fam.at("warm_groups")},
              {"warm_saves", fam.at("warm_gain")},
              {"cold_share", kind.at("cold_from")},
              {"warm_up", span(kind.at("cold"))},
              {"fall_factor", day.at("fall_multiple")},
              {"fall_for", span(day.at("fall_for"))},
              {"cancel_stops", kind.at("cancel") == "all"},
              {"priorities", fam.at("priorities")},
              {"bad_plans", runaway / shares},
              {"bad_plan_times", std::max(1.0, fam.value("runaway_times", 1.0))}};
    double window = 0;
    for (const auto& c : day["classes"])
        if (c.at("effect") == "keyed")
            window = std::max(window, c.at("window").get<double>());
    m["key_window"] = span(window);
    return m;
}

json front_of(const json& day, double capacity) {
    const json &fam = day.at("fam"), &tier = day.at("tiers").at(0), &allow = day.at("allow");
    json f = {{"zone", day.at("zones").at(0)},
              {"classes", json::object()},
              {"tenants", json::object()},
              {"kinds", json::object()},
              {"routes", json::array()}};
    for (std::size_t i = 0; i < day.at("classes").size(); ++i) {
        const json &c = day["classes"][i], &sort = fam.at("sorts").at(i);
        json k = {{"aim", span(c.at("aim"))},
                  {"aim_stretch", c.at("aim_stretch")},
                  {"deadline", span(c.at("deadline"))},
                  {"effect",
                   named(c.at("effect"), {{"safe", "repeatable"}, {"keyed", "by_key"}, {"unsafe", "once"}})},
                  {"key_scope", c.at("group")},
                  {"window", span(c.at("window"))},
                  {"late_share", c.at("late_worth")},
                  {"value", c.at("worth")},
                  {"threads", sort.at("threads")},
                  {"holds_group", sort.at("load")},
                  {"yields_to_loads", sort.at("waits")}};
        if (c.value("in_order", false))
            k["in_turn"] = true;
        for (const auto& [from, to] : {std::pair("only_kinds", "kinds"), {"only_zones", "zones"}})
            if (c.contains(from) && c[from].is_array())
                k[to] = c[from];
        f["classes"][c.at("name").get<std::string>()] = std::move(k);
        f["routes"].push_back({{"class", c.at("name")},
                               {"match", {{"source", c.at("name")}}},
                               {"tenant_from", "user"},
                               {"key_from", "tag:key="},
                               {"group_from", "tag:group="}});
    }
    for (const auto& t : day.at("tenants"))
        f["tenants"][t.at("name").get<std::string>()] = {
            {"share", t.at("share")}, {"quota_per_s", t.at("quota").get<double>() * capacity}};
    for (const auto& k : tier.at("kinds"))
        f["kinds"][k.at("name").get<std::string>()] = {
            {"cores", k.at("cores")},
            {"memory", megabytes(fam.at("memory_per_core").get<double>() * k.at("cores").get<double>())}};
    f["facts"] = {{"grants", fam.at("grants")},
                  {"priorities", fam.at("priorities")},
                  {"cost_in_answers", fam.at("tells_cost")},
                  {"when_short",
                   named(fam.at("when_short"), {{"page", "swap"}, {"shrink", "trim"}, {"wait", "queue"}})},
                  {"note_period", span(fam.at("progress"))},
                  {"reports", tier.at("report_how")},
                  {"cancel", allow.at("cancel")},
                  {"largest_share", 0.4}};
    f["rules"] = {{"attempts", allow.at("max_attempts")},
                  {"drain_grace", span(day.at("drain_grace"))},
                  {"answer_grace", "20ms"},
                  {"cold_share", tier.at("stated_cold_from")},
                  {"warm_up", span(tier.at("stated_cold"))},
                  {"overload_factor", day.at("fall_multiple")},
                  {"overload_for", span(day.at("fall_for"))}};
    f["worth"] = {{"over_share", day.at("traffic").at("over_share_worth")}};
    f["retry_hint"] =
        allow.at("retry_after").get<bool>() ? span(day.at("clients").at("max_retry_after")) : "0s";
    f["times"] = {{"long_poll", "500ms"}, {"abandoned_after", "10s"}};
    return f;
}

json traffic_of(const json& day, double capacity) {
    const json &fam = day.at("fam"), &clients = day.at("clients");
    json t = {{"rate", capacity * day.at("traffic").at("load").get<double>()},
              {"classes", json::object()},
              {"tenants", json::object()}};
    for (std::size_t i = 0; i < day.at("classes").size(); ++i) {
        const json &c = day["classes"][i], &sort = fam.at("sorts").at(i);
        t["classes"][c.at("name").get<std::string>()] = {
            {"share", c.at("share")},     {"work", span(c.at("work"))},
            {"cv", c.at("cv")},           {"threads", sort.at("threads")},
            {"io", sort.at("io")},        {"memory", megabytes(sort.at("memory"))},
            {"groups", fam.at("groups")}, {"load", sort.at("load")},
            {"yields", sort.at("waits")}, {"keyed", c.at("effect") == "keyed"}};
    }
    for (const auto& x : day.at("tenants"))
        t["tenants"][x.at("name").get<std::string>()] = x.at("traffic");
    t["retries"] = clients.at("retries"),
    t["retry_wait"] = span(std::max(1000.0, clients.at("backoff_us").get<double>())),
    t["honour"] = clients.at("honour");
    t["patience_low"] = t["patience_high"] = clients.at("try_share");
    t["abandon"] = clients.at("impatient");
    t["estimate_cv"] = fam.at("error").get<double>() > 0 ? fam["error"].get<double>() : -1.0;
    return t;
}

}  // namespace

Result<json> script_of_bench_day(const json& day, std::vector<std::string>& left_out) try {
    if (day.value("family", "") != "queries")
        return Error{"not a bench day of the family 'queries'"};
    const double capacity = day.at("fam").at("capacity");
    json script = {{"seed", day.at("noise").get<std::uint64_t>() % 1000000007},
                   {"length", span(day.at("length"))},
                   {"settle", span(day.at("tail"))},
                   {"fronts", day.at("balancers").size()},
                   {"notice", span(day.at("discovery").at("notice"))},
                   {"front", front_of(day, capacity)},
                   {"engines", json::object()},
                   {"traffic", traffic_of(day, capacity)},
                   {"troubles", json::array()}};
    double cold = 0;
    for (std::size_t i = 0; i < day.at("servers").size(); ++i) {
        const json& s = day["servers"][i];
        const json& kind = day.at("tiers").at(0).at("kinds").at(s.at("kind").get<std::size_t>());
        cold = std::max(cold, kind.at("cold").get<double>());
        std::string name = std::to_string(i + 1);
        name = "engine-" + std::string(3 - std::min<std::size_t>(3, name.size()), '0') + name;
        script["engines"][name] = {{"count", 1},
                                   {"zone", day.at("zones").at(s.at("zone").get<std::size_t>())},
                                   {"kind", kind.at("name")},
                                   {"machine", machine_of(day, s)}};
    }
    script["lead"] = span(cold + 1e6);  // the bench's engines are warm when its day begins
    for (const json& t : day.at("troubles")) {
        const std::string kind = t.at("kind");
        const auto& known = trouble_names();
        if (std::find(known.begin(), known.end(), kind) == known.end()) {
            left_out.push_back("trouble '" + kind + "'");
            continue;
        }
        json out = {{"name", kind},
                    {"at", span(t.at("at"))},
                    {"length", span(t.at("len"))},
                    {"size", t.value("size", 0.0)},
                    {"extra", t.value("extra", 0.0)}};
        if (t.contains("how") && t["how"].is_string())
            out["how"] = t["how"];
        if (t.contains("on") && !t["on"].empty())
            out["on"] = t["on"];
        if (t.contains("steps") && !t["steps"].empty())
            left_out.push_back("steps of trouble '" + kind + "': batches follow part and size instead");
        script["troubles"].push_back(std::move(out));
    }
    if (day.at("traffic").at("shape").size() > 1)
        left_out.push_back("the shape of the load over the day: it is steady");
    if (day.at("traffic").value("burst_cv", 0.0) > 0)
        left_out.push_back("bursts of the arrivals beyond chance");
    if (day.at("tiers").size() > 1)
        left_out.push_back("tiers beyond the first");
    left_out.push_back(
        "biases of estimates by class; bad plans by class (their mean share over all classes is played); who "
        "reads which group");
    return script;
} catch (const json::exception& e) {
    return Error{std::string("not a bench day as this lab knows it: ") + e.what()};
}

}  // namespace gatetiller::lab
