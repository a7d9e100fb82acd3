#include "config/settings.hpp"

extern "C" {
#include <libjsonnet.h>
}

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>

#include "base/unique_members.hpp"
#include "config/reader.hpp"

namespace gatetiller::config {

extern const char* const kLibrary;  // gatetiller.libsonnet, built in by CMake

namespace {

using Json = nlohmann::json;

char* jsonnet_copy(JsonnetVm* vm, const std::string& text) {
    char* copy = jsonnet_realloc(vm, nullptr, text.size() + 1);
    std::memcpy(copy, text.c_str(), text.size() + 1);
    return copy;
}

char* import_from(void* context, const char* base, const char* relative, char** found, int* success) {
    auto* vm = static_cast<JsonnetVm*>(context);
    if (std::strcmp(relative, "gatetiller.libsonnet") == 0) {
        *found = jsonnet_copy(vm, relative);
        *success = 1;
        return jsonnet_copy(vm, kLibrary);
    }
    const std::string path = (std::filesystem::path(base) / relative).string();
    const auto text = whole_file(path);
    *success = text.ok();
    if (!text)
        return jsonnet_copy(vm, text.error());
    *found = jsonnet_copy(vm, path);
    return jsonnet_copy(vm, *text);
}

void read_classes(Reader& top, PolicySettings& m) {
    top.each("classes", [&](const std::string& name, Reader& r) {
        ClassSettings c;
        c.name = name;
        r.required({"aim", "deadline", "effect"});
        r.span("aim", c.latency_objective);
        r.span("deadline", c.deadline);
        r.number("aim_stretch", c.objective_run_factor, 0, 100);
        r.word<Idempotency>("effect", c.idempotency,
                            {{"repeatable", Idempotency::idempotent},
                             {"by_key", Idempotency::keyed},
                             {"once", Idempotency::non_idempotent}});
        r.word<KeyScope>("key_scope", c.key_scope,
                         {{"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}});
        r.span("window", c.key_window);
        r.number("late_share", c.late_value_share, 0, 1);
        r.number("value", c.priority_weight, 0, 1e9);
        r.flag("in_turn", c.ordered_by_key);
        r.number("threads", c.threads, 0.1, 4096);
        r.flag("holds_group", c.locks_table_group);
        r.flag("yields_to_loads", c.waits_for_table_lock);
        std::vector<std::string> names;
        if (r.has("kinds"))
            r.texts("kinds", names), c.allowed_kinds = names;
        else
            r.texts("kinds", names);
        names.clear();
        if (r.has("zones"))
            r.texts("zones", names), c.allowed_zones = names;
        else
            r.texts("zones", names);
        if (c.latency_objective <= 0)
            r.wrong("aim", "must be over 0");
        if (c.deadline < c.latency_objective)
            r.wrong("deadline", "must not be shorter than the aim");
        if (c.idempotency == Idempotency::keyed && c.key_window <= 0)
            r.wrong("window", "a class by_key says for how long engines drop a repeat, such as '25s'");
        m.classes.push_back(std::move(c));
    });
    if (m.classes.empty())
        top.wrong("classes", "at least one class is needed");
}

void read_facts(Reader& r, PolicySettings& m) {
    r.flag("grants", m.supports_memory_grants);
    r.flag("priorities", m.supports_priorities);
    read_when_short(r, m.memory_shortage_policy);
    r.flag("cost_in_answers", m.cost_in_responses);
    r.span("note_period", m.progress_period);
    r.word<LoadReportSource>("reports", m.load_report_source,
                             {{"none", LoadReportSource::none},
                              {"answers", LoadReportSource::responses},
                              {"probe", LoadReportSource::health_checks}});
    r.flag("cancel", m.can_cancel);
    r.number("largest_share", m.max_memory_share, 0.01, 1);
}

void read_rules(Reader& r, PolicySettings& m) {
    r.count("attempts", m.max_attempts, 1, 100);
    r.span("answer_grace", m.response_grace);
    r.span("drain_grace", m.drain_grace);
    r.number("cold_share", m.slow_start_capacity_share, 0, 1);
    r.span("warm_up", m.slow_start_window);
    r.number("overload_factor", m.overload_factor, 0, 1000);
    r.span("overload_for", m.overload_window);
    r.span("turn_gap", m.key_order_gap);
    r.span("ask_within", m.watch_deadline);
    r.object("further_attempts", [&](Reader& b) {
        b.required({"free", "per_request", "span"});
        double free = 0, each = 0;
        b.number("free", free, 0, 1e9);
        b.number("per_request", each, 0, 100);
        b.span("span", m.retry_budget_window);
        m.retry_budget_base = free, m.retry_budget_ratio = each;
    });
}

void read_worth(Reader& r, PolicySettings& m) {
    r.word<bool>("by", m.weight_by_work, {{"request", false}, {"work", true}});
    r.number("over_share", m.over_quota_weight, 0, 1);
    r.number("probe_price", m.health_check_price, 0, 100);
    r.number("cross_zone_price", m.cross_zone_price, 0, 100);
}

void read_engine(const std::string& name, Reader& r, std::vector<EngineSettings>& to) {
    EngineSettings e;
    e.name = name;
    std::string address;
    r.required({"address"});
    r.text("address", address);
    if (!address.empty()) {
        auto parsed = net::Address::parse(address);
        if (parsed)
            e.address = *parsed;
        else
            r.wrong("address", parsed.error());
    }
    r.text("zone", e.zone);
    r.text("kind", e.kind);
    r.count("cell", e.cell, 0, 1e9);
    r.number("share", e.share, 0, 1e6);
    r.word<EndpointState>(
        "state", e.state,
        {{"on", EndpointState::ready}, {"fading", EndpointState::draining}, {"off", EndpointState::removed}});
    to.push_back(std::move(e));
}

void read_address(Reader& r, const std::string& key, const std::string& text,
                  std::optional<net::Address>& to) {
    auto parsed = net::Address::parse(text);
    if (parsed)
        to = *parsed;
    else
        r.wrong(key, parsed.error());
}

void read_roster(Reader& r, RosterSettings& to) {
    r.text("file", to.file);
    r.text("keep", to.keep);
    r.span("every", to.every);
    r.span("watch_every", to.watch_every);
    std::string url;
    r.text("url", url);
    if (url.empty())
        return;
    if (!url.starts_with("http://"))
        return r.wrong("url", "must begin with http://");
    const std::size_t slash = std::min(url.find('/', 7), url.size());
    to.path = slash == url.size() ? "/" : url.substr(slash);
    read_address(r, "url", url.substr(7, slash - 7), to.http);
}

void read_route(Reader& r, const PolicySettings& m, std::vector<decide::Route>& to) {
    decide::Route route;
    r.required({"class"});
    r.text("class", route.cls);
    r.text("tenant", route.tenant);
    r.text("tenant_from", route.tenant_from);
    r.text("key_from", route.key_from);
    r.text("group_from", route.group_from);
    r.object("match", [&](Reader& match) {
        match.text("user", route.user);
        match.text("source", route.source);
        match.text("catalog", route.catalog);
        match.text("schema", route.schema);
        match.texts("tags", route.tags);
    });
    std::vector<std::string> classes, tenants;
    for (const auto& c : m.classes)
        classes.push_back(c.name);
    for (const auto& t : m.tenants)
        tenants.push_back(t.name);
    const auto known = [&](const char* key, const std::string& name, const std::vector<std::string>& names) {
        if (name.empty() || std::find(names.begin(), names.end(), name) != names.end())
            return;
        std::string all;
        for (const auto& n : names)
            all += (all.empty() ? "" : ", ") + n;
        r.wrong(key, "'" + name + "' is not defined; defined are: " + all);
    };
    known("class", route.cls, classes);
    known("tenant", route.tenant, tenants);
    const auto source = [&](const char* key, const std::string& from,
                            std::initializer_list<const char*> allowed) {
        if (from.empty() || (from.starts_with("tag:") && from.size() > 4))
            return;
        std::string all;
        for (const char* a : allowed) {
            if (from == a)
                return;
            all += std::string("'") + a + "', ";
        }
        r.wrong(key, "'" + from + "' is not one of " + all + "'tag:PREFIX'");
    };
    source("tenant_from", route.tenant_from, {"user", "source", "catalog", "schema"});
    source("key_from", route.key_from, {"trace_token"});
    source("group_from", route.group_from, {"catalog", "schema"});
    to.push_back(std::move(route));
}

void read_limits(Reader& r, FrontSettings& f) {
    r.count("statements", f.holding.statements, 1, 1e9);
    r.count("statements_per_user", f.holding.statements_per_user, 1, 1e9);
    r.bytes("statement", f.holding.statement_bytes);
    r.bytes("rows_ahead", f.holding.row_buffer_bytes);
    r.bytes("rows_in_all", f.holding.total_row_buffer_bytes);
    r.span("come_back", f.holding.retry_after);
    r.count("connections", f.server.connections, 1, 1e6);
    r.bytes("header", f.server.limits.header_bytes);
    r.bytes("engine_document", f.client.limits.body);
    r.count("idle_connections_per_engine", f.client.idle_connections, 0, 1e5);
}

void read_times(Reader& r, FrontSettings& f) {
    r.span("header", f.server.header_time_out);
    r.span("body", f.server.body_time_out);
    r.span("idle", f.server.idle_time_out);
    r.span("write", f.server.write_time_out);
    r.span("long_poll", f.statements.long_poll);
    r.span("abandoned_after", f.statements.abandoned_after);
    r.span("finished_kept", f.statements.finished_kept);
    r.span("connect", f.client.connect_time_out);
    r.span("engine_answer", f.calls.answer_time_out);
    r.span("drain_patience", f.drain_patience);
    r.span("answer_reserve", f.answer_reserve);
}

void read_budgets(Reader& r, const PolicySettings& m, BudgetSettings& b) {
    r.required({"teams"});
    r.span("window", b.quota.window);
    r.span("stay", b.quota.min_state_duration);
    r.number("back_at", b.quota.exit_fraction, 0.1, 1);
    r.text("over", b.over);
    if (b.quota.window < kSecondMicros)
        r.wrong("window", "must be at least 1s");
    bool soft = false;
    r.each("teams", [&](const std::string& name, Reader& t) {
        decide::Budget budget{name};
        t.span("soft", budget.soft_limit);
        t.span("hard", budget.hard_limit);
        if (budget.soft_limit == 0 && budget.hard_limit == 0)
            t.wrong("soft", "a budget needs 'soft' or 'hard': core-time in the window, such as '8h'");
        if (budget.soft_limit > 0 && budget.hard_limit > 0 && budget.hard_limit < budget.soft_limit)
            t.wrong("hard", "must not be below 'soft'");
        soft = soft || budget.soft_limit > 0;
        decide::TeamRule rule;
        rule.team = name;
        t.text("tenant", rule.tenant);
        t.text("user", rule.user);
        t.text("source", rule.source);
        t.texts("tags", rule.tags);
        b.budgets.push_back(budget);
        b.rules.push_back(std::move(rule));
    });
    const bool known = std::any_of(m.tenants.begin(), m.tenants.end(), [&](const auto& t) {
        return t.name == b.over;
    });
    if (soft && !known)
        r.wrong("over", "names the tenant, one of 'tenants', that statements over a soft budget count as");
}

void read_front(Reader& top, FrontSettings& f) {
    PolicySettings& m = f.module;
    top.required({"listen", "classes", "kinds", "routes"});
    top.text("name", f.name);
    std::vector<std::string> listen;
    top.texts("listen", listen);
    for (const auto& text : listen) {
        std::optional<net::Address> a;
        read_address(top, "listen", text, a);
        if (a)
            f.listen.push_back(*a);
    }
    if (top.has("listen") && f.listen.empty())
        top.wrong("listen", "at least one address is needed, such as ['127.0.0.1:8080']");
    top.text("zone", m.zone);
    top.count("me", m.instance_index, 0, 1e6);
    top.count("fronts", m.instance_count, 1, 1e6);
    if (top.has("seed")) {
        std::uint64_t seed = 0;
        top.count("seed", seed, 0, 9e15);
        f.seed = seed;
    } else {
        double none = 0;
        top.number("seed", none, 0, 0);
    }
    read_classes(top, m);
    top.each("tenants", [&](const std::string& name, Reader& r) {
        TenantSettings t{name, 0, 0};
        r.required({"share"});
        r.number("share", t.fair_share, 0, 1);
        r.number("quota_per_s", t.quota_per_s, 0, 1e9);
        m.tenants.push_back(t);
    });
    top.each("kinds", [&](const std::string& name, Reader& r) {
        EngineKindSettings k{name, 0, 0};
        r.required({"cores", "memory"});
        r.number("cores", k.cores, 0.1, 1e5);
        r.megabytes("memory", k.memory_mb);
        m.kinds.push_back(k);
    });
    top.object("facts", [&](Reader& r) {
        read_facts(r, m);
    });
    top.object("rules", [&](Reader& r) {
        read_rules(r, m);
    });
    top.object("worth", [&](Reader& r) {
        read_worth(r, m);
    });
    top.span("retry_hint", m.max_retry_after);
    m.sends_retry_after = m.max_retry_after > 0;
    m.can_health_check = m.load_report_source == LoadReportSource::health_checks;
    top.each("engines", [&](const std::string& name, Reader& r) {
        read_engine(name, r, f.engines);
    });
    for (const auto& e : f.engines)
        if (std::none_of(m.kinds.begin(), m.kinds.end(), [&](const auto& k) {
                return k.name == e.kind;
            }))
            top.wrong("engines",
                      "engine '" + e.name + "' is of kind '" + e.kind + "', which 'kinds' does not define");
    top.object("roster", [&](Reader& r) {
        read_roster(r, f.roster);
    });
    m.watches_endpoints = f.roster.http.has_value();
    if (m.watches_endpoints && m.watch_deadline <= 0)
        m.watch_deadline = 10 * f.roster.every;
    if (f.engines.empty() && f.roster.file.empty() && !f.roster.http)
        top.wrong("engines", "no engine and no roster: name engines, or roster.file or roster.url");
    top.each("routes", [&](const std::string&, Reader& r) {
        read_route(r, m, f.routes);
    });
    top.object("limits", [&](Reader& r) {
        read_limits(r, f);
    });
    f.server.limits.body = f.holding.statement_bytes;
    // Beside the rows that wait, a document that was given out is kept for each statement.
    f.statements.result_bytes = 2 * f.holding.total_row_buffer_bytes;
    top.object("times", [&](Reader& r) {
        read_times(r, f);
    });
    top.flag("trust_forwarded", f.statements.trust_forwarded);
    top.flag("remote_drain", f.statements.remote_drain);
    top.text("environment", f.statements.environment);
    top.text("records", f.records);
    top.object("ledger", [&](Reader& r) {
        r.required({"file"});
        r.text("file", f.ledger.file);
        r.span("flush", f.ledger.flush_every);
        r.span("keep", f.ledger.keep);
        r.count("waiting", f.ledger.waiting, 1000, 1e8);
        if (f.ledger.flush_every < kMillisecond || f.ledger.flush_every > 10 * kSecondMicros)
            r.wrong("flush", "must be between 1ms and 10s: it is what a killed front may lose");
    });
    top.object("budgets", [&](Reader& r) {
        read_budgets(r, m, f.budgets);
    });
    f.budgets.quota.fronts = m.instance_count;
    top.object("log", [&](Reader& r) {
        r.word<std::string>(
            "level", f.log.level,
            {{"trace", "trace"}, {"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "error"}});
        r.word<std::string>("format", f.log.format, {{"text", "text"}, {"json", "json"}});
    });
    f.statements.node_id = f.name;
}

}  // namespace

void read_when_short(Reader& r, MemoryShortagePolicy& to) {
    r.word<MemoryShortagePolicy>("when_short", to,
                                 {{"queue", MemoryShortagePolicy::queue},
                                  {"trim", MemoryShortagePolicy::trim},
                                  {"swap", MemoryShortagePolicy::swap}});
}

Result<std::string> whole_file(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    if (in)
        text << in.rdbuf();
    if (!in || in.bad()) {
        const int code = errno;
        return Error{file + ": cannot be read: " + std::strerror(code), code};
    }
    return text.str();
}

Result<std::string> evaluate(const std::string& name, const std::string& source) {
    JsonnetVm* vm = jsonnet_make();
    jsonnet_import_callback(vm, import_from, vm);
    jsonnet_max_stack(vm, 500);
    int error = 0;
    char* out = jsonnet_evaluate_snippet(vm, name.c_str(), source.c_str(), &error);
    std::string text = out;
    jsonnet_realloc(vm, out, 0);
    jsonnet_destroy(vm);
    if (error != 0)
        return Error{text};
    return text;
}

Result<Loaded> load_front(const std::string& file) {
    const auto source = whole_file(file);
    if (!source)
        return Error{source.error()};
    return load_front_text(file, *source);
}

Result<Loaded> load_front_text(const std::string& name, const std::string& source) {
    auto text = evaluate(name, source);
    if (!text)
        return Error{text.error()};
    Mistakes mistakes(name, source);
    const Json json = Json::parse(*text);
    Loaded loaded;
    loaded.json = std::move(*text);
    Reader top(json, {}, mistakes);
    if (json.is_object()) {
        read_front(top, loaded.front);
        top.close();
        if (mistakes.none()) {
            try {
                GatewayPolicy probe(
                    0, 1,
                    loaded.front.module);  // the module's own checks of settings that contradict themselves
            } catch (const std::invalid_argument& e) {
                mistakes.add({}, e.what());
            }
        }
    }
    if (!mistakes.none())
        return Error{mistakes.text()};
    return loaded;
}

Result<std::vector<EngineSettings>> read_engine_list(const std::string& text, const std::string& origin) {
    Mistakes mistakes(origin, text);
    std::vector<EngineSettings> engines;
    UniqueMembers members;
    const Json json = Json::parse(text, std::ref(members), false);
    if (json.is_discarded())
        return Error{origin + ": not JSON"};
    if (members.repeated())
        return Error{origin + ": '" + *members.repeated() + "' occurs twice"};
    Reader top(json, {}, mistakes);
    top.required({"engines"});
    top.each("engines", [&](const std::string& name, Reader& r) {
        read_engine(name, r, engines);
    });
    top.close();
    if (!mistakes.none())
        return Error{mistakes.text()};
    return engines;
}

}  // namespace gatetiller::config
