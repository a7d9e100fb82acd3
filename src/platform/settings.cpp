#include "platform/settings.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gatetiller::platform {
namespace {

template <typename T, std::size_t N>
T named(const std::pair<std::string_view, T> (&table)[N], std::string_view word, std::string_view field) {
    for (const auto& [name, value] : table)
        if (name == word)
            return value;
    throw std::runtime_error("unknown word in " + std::string(field) + ": '" + std::string(word) + "'");
}

constexpr std::pair<std::string_view, Effect> kEffects[] = {
    {"repeatable", Effect::repeatable}, {"by_key", Effect::by_key}, {"once", Effect::once}};
constexpr std::pair<std::string_view, Scope> kScopes[] = {
    {"all", Scope::all}, {"zone", Scope::zone}, {"cell", Scope::cell}};
constexpr std::pair<std::string_view, WhenShort> kShort[] = {
    {"queue", WhenShort::queue}, {"trim", WhenShort::trim}, {"swap", WhenShort::swap}};
constexpr std::pair<std::string_view, ReportSource> kSources[] = {
    {"none", ReportSource::none}, {"answers", ReportSource::answers}, {"probe", ReportSource::probe}};
constexpr std::pair<std::string_view, std::optional<double> Report::*> kReportFields[] = {
    {"concurrent", &Report::concurrent}, {"depth", &Report::depth},  {"load_share", &Report::load_share},
    {"mean_ms", &Report::mean_ms},       {"tps", &Report::tps},      {"err_ps", &Report::err_ps},
    {"x0", &Report::memory_granted},     {"x1", &Report::disks_busy}};

using Json = nlohmann::json;

template <typename T>
T value_or(const Json& object, const char* key, T otherwise) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? otherwise : found->get<T>();
}

const Json& part(const Json& object, const char* key) {
    static const Json kNone = Json::object();
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? kNone : *found;
}

template <typename T>
void at(const Json& array, std::size_t index, T& into) {
    if (array.is_array() && index < array.size() && !array[index].is_null())
        into = array[index].get<T>();
}

template <typename T>
std::optional<T> maybe(const Json& object, const char* key) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? std::nullopt : std::optional<T>(found->get<T>());
}

Settings settings_from(const Json& json) {
    Settings s;
    const Json& extra = part(json, "extra");
    for (const Json& entry : part(json, "classes")) {
        ClassSettings c;
        const std::size_t index = s.classes.size();
        c.name = entry.at("name").get<std::string>();
        c.aim = entry.at("aim_us").get<Micros>();
        c.aim_stretch = value_or(entry, "aim_stretch", 0.0);
        c.deadline = entry.at("deadline_us").get<Micros>();
        c.effect = named(kEffects, entry.at("effect").get<std::string>(), "effect");
        c.key_scope = named(kScopes, value_or<std::string>(entry, "key_scope", "cell"), "key_scope");
        c.window = value_or<Micros>(entry, "window_us", 0);
        c.late_share = value_or(entry, "late_share", 0.0);
        c.value = value_or(entry, "value", 1.0);
        c.in_turn = value_or(entry, "in_turn", false);
        c.served_on = maybe<std::vector<std::string>>(entry, "served_on");
        c.azs_open = maybe<std::vector<std::string>>(entry, "azs_open");
        at(part(extra, "width_by_class"), index, c.threads);
        at(part(extra, "class_load"), index, c.holds_group);
        at(part(extra, "yields_to_loads"), index, c.yields_to_loads);
        s.classes.push_back(std::move(c));
    }
    for (const Json& entry : part(json, "tenants"))
        s.tenants.push_back({entry.at("name").get<std::string>(), value_or(entry, "quota_per_s", 0.0),
                             value_or(entry, "share", 0.0)});
    for (const Json& entry : part(json, "kinds")) {
        KindSettings k;
        k.name = entry.get<std::string>();
        at(part(extra, "size_cores"), s.kinds.size(), k.cores);
        at(part(extra, "size_mb"), s.kinds.size(), k.memory_mb);
        s.kinds.push_back(std::move(k));
    }
    const Json &limits = part(json, "policy_limits"), &rules = part(json, "rules"),
               &prices = part(json, "penalties");
    s.zone = value_or<std::string>(json, "zone", "");
    s.me = value_or(json, "me", 0);
    s.siblings = value_or(json, "siblings", 1);
    s.ask_discovery = value_or<std::string>(json, "discovery", "push") == "ask";
    s.worth_by_work = value_or<std::string>(json, "worth_by", "request") == "work";
    s.over_share_worth = value_or(json, "over_share_worth", 1.0);
    s.largest_share = value_or(extra, "largest_share", 1.0);
    s.grants = value_or(extra, "grants", false);
    s.priorities = value_or(extra, "lanes_count", false);
    s.cost_in_answers = value_or(extra, "cost_in_answers", false);
    s.note_period = value_or<Micros>(extra, "note_period_us", 0);
    s.when_short = named(kShort, value_or<std::string>(extra, "when_short", "queue"), "when_short");
    s.reports =
        named(kSources, value_or<std::string>(part(json, "report"), "source", "none"), "report.source");
    s.probe_price = value_or(prices, "probe", 0.0);
    s.cross_zone_price = value_or(prices, "cross_zone", 0.0);
    s.may_cancel = value_or(limits, "cancel", false);
    s.may_duplicate = value_or(limits, "may_duplicate", false);
    s.may_probe = value_or(limits, "probes", false);
    s.may_tell_peers = value_or(limits, "peers", false);
    s.retry_hints = value_or(limits, "retry_after", false);
    s.max_retry_after = value_or<Micros>(limits, "max_retry_after_us", 0);
    s.attempts_cap = value_or(limits, "attempts_cap", 1);
    s.grace_to_answer = value_or<Micros>(rules, "grace_to_answer_us", 0);
    s.ask_within = value_or<Micros>(rules, "ask_within_us", 0);
    s.drain_grace = value_or<Micros>(rules, "drain_grace_us", 0);
    s.cold_share = value_or(rules, "cold_share", 0.0);
    s.warm_up = value_or<Micros>(rules, "warm_up_us", 0);
    s.overload_factor = value_or(rules, "overload_factor", 0.0);
    s.overload_for = value_or<Micros>(rules, "overload_for_us", 0);
    s.extra_free = maybe<double>(rules, "extra_free");
    s.extra_per_request = maybe<double>(rules, "extra_per_request");
    s.ratio_span = value_or<Micros>(rules, "ratio_span_us", 0);
    s.turn_gap = value_or<Micros>(rules, "turn_gap_us", 0);
    return s;
}

}  // namespace

Result<Settings> parse_settings(std::string_view json) {
    try {
        return settings_from(Json::parse(json));
    } catch (const std::exception& error) {
        return Error{std::string("settings that cannot be read: ") + error.what()};
    }
}

std::optional<double> Report::*report_field(std::string_view name) {
    for (const auto& [known, member] : kReportFields)
        if (known == name)
            return member;
    return nullptr;
}

}  // namespace gatetiller::platform
