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

constexpr std::pair<std::string_view, Idempotency> kEffects[] = {{"repeatable", Idempotency::idempotent},
                                                                 {"by_key", Idempotency::keyed},
                                                                 {"once", Idempotency::non_idempotent}};
constexpr std::pair<std::string_view, KeyScope> kScopes[] = {
    {"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}};
constexpr std::pair<std::string_view, MemoryShortagePolicy> kShort[] = {
    {"queue", MemoryShortagePolicy::queue},
    {"trim", MemoryShortagePolicy::trim},
    {"swap", MemoryShortagePolicy::swap}};
constexpr std::pair<std::string_view, LoadReportSource> kSources[] = {
    {"none", LoadReportSource::none},
    {"answers", LoadReportSource::responses},
    {"probe", LoadReportSource::health_checks}};
constexpr std::pair<std::string_view, std::optional<double> LoadReport::*> kReportFields[] = {
    {"concurrent", &LoadReport::running_queries},
    {"depth", &LoadReport::queue_depth},
    {"load_share", &LoadReport::busy_cores_share},
    {"mean_ms", &LoadReport::mean_ms},
    {"tps", &LoadReport::tps},
    {"err_ps", &LoadReport::err_ps},
    {"x0", &LoadReport::granted_memory_share},
    {"x1", &LoadReport::busy_disks_share}};

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

PolicySettings settings_from(const Json& json) {
    PolicySettings s;
    const Json& extra = part(json, "extra");
    for (const Json& entry : part(json, "classes")) {
        ClassSettings c;
        const std::size_t index = s.classes.size();
        c.name = entry.at("name").get<std::string>();
        c.latency_objective = entry.at("aim_us").get<Micros>();
        c.objective_run_factor = value_or(entry, "aim_stretch", 0.0);
        c.deadline = entry.at("deadline_us").get<Micros>();
        c.idempotency = named(kEffects, entry.at("effect").get<std::string>(), "effect");
        c.key_scope = named(kScopes, value_or<std::string>(entry, "key_scope", "cell"), "key_scope");
        c.key_window = value_or<Micros>(entry, "window_us", 0);
        c.late_value_share = value_or(entry, "late_share", 0.0);
        c.priority_weight = value_or(entry, "value", 1.0);
        c.ordered_by_key = value_or(entry, "in_turn", false);
        c.allowed_kinds = maybe<std::vector<std::string>>(entry, "served_on");
        c.allowed_zones = maybe<std::vector<std::string>>(entry, "azs_open");
        at(part(extra, "width_by_class"), index, c.threads);
        at(part(extra, "class_load"), index, c.locks_table_group);
        at(part(extra, "yields_to_loads"), index, c.waits_for_table_lock);
        s.classes.push_back(std::move(c));
    }
    for (const Json& entry : part(json, "tenants"))
        s.tenants.push_back({entry.at("name").get<std::string>(), value_or(entry, "quota_per_s", 0.0),
                             value_or(entry, "share", 0.0)});
    for (const Json& entry : part(json, "kinds")) {
        EngineKindSettings k;
        k.name = entry.get<std::string>();
        at(part(extra, "size_cores"), s.kinds.size(), k.cores);
        at(part(extra, "size_mb"), s.kinds.size(), k.memory_mb);
        s.kinds.push_back(std::move(k));
    }
    const Json &limits = part(json, "policy_limits"), &rules = part(json, "rules"),
               &prices = part(json, "penalties");
    s.zone = value_or<std::string>(json, "zone", "");
    s.instance_index = value_or(json, "me", 0);
    s.instance_count = value_or(json, "siblings", 1);
    s.watches_endpoints = value_or<std::string>(json, "discovery", "push") == "ask";
    s.weight_by_work = value_or<std::string>(json, "worth_by", "request") == "work";
    s.over_quota_weight = value_or(json, "over_share_worth", 1.0);
    s.max_memory_share = value_or(extra, "largest_share", 1.0);
    s.supports_memory_grants = value_or(extra, "grants", false);
    s.supports_priorities = value_or(extra, "lanes_count", false);
    s.cost_in_responses = value_or(extra, "cost_in_answers", false);
    s.progress_period = value_or<Micros>(extra, "note_period_us", 0);
    s.memory_shortage_policy =
        named(kShort, value_or<std::string>(extra, "when_short", "queue"), "when_short");
    s.load_report_source =
        named(kSources, value_or<std::string>(part(json, "report"), "source", "none"), "report.source");
    s.health_check_price = value_or(prices, "probe", 0.0);
    s.cross_zone_price = value_or(prices, "cross_zone", 0.0);
    s.can_cancel = value_or(limits, "cancel", false);
    s.can_hedge = value_or(limits, "may_duplicate", false);
    s.can_health_check = value_or(limits, "probes", false);
    s.can_broadcast = value_or(limits, "peers", false);
    s.sends_retry_after = value_or(limits, "retry_after", false);
    s.max_retry_after = value_or<Micros>(limits, "max_retry_after_us", 0);
    s.max_attempts = value_or(limits, "attempts_cap", 1);
    s.response_grace = value_or<Micros>(rules, "grace_to_answer_us", 0);
    s.watch_deadline = value_or<Micros>(rules, "ask_within_us", 0);
    s.drain_grace = value_or<Micros>(rules, "drain_grace_us", 0);
    s.slow_start_capacity_share = value_or(rules, "cold_share", 0.0);
    s.slow_start_window = value_or<Micros>(rules, "warm_up_us", 0);
    s.overload_factor = value_or(rules, "overload_factor", 0.0);
    s.overload_window = value_or<Micros>(rules, "overload_for_us", 0);
    s.retry_budget_base = maybe<double>(rules, "extra_free");
    s.retry_budget_ratio = maybe<double>(rules, "extra_per_request");
    s.retry_budget_window = value_or<Micros>(rules, "ratio_span_us", 0);
    s.key_order_gap = value_or<Micros>(rules, "turn_gap_us", 0);
    return s;
}

}  // namespace

Result<PolicySettings> parse_settings(std::string_view json) {
    try {
        return settings_from(Json::parse(json));
    } catch (const std::exception& error) {
        return Error{std::string("settings that cannot be read: ") + error.what()};
    }
}

std::optional<double> LoadReport::*report_field(std::string_view name) {
    for (const auto& [known, member] : kReportFields)
        if (known == name)
            return member;
    return nullptr;
}

}  // namespace gatetiller::platform
