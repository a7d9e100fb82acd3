#include "lab/script.hpp"

#include "config/reader.hpp"
#include "config/settings.hpp"

namespace gatetiller::lab {
namespace {

using config::Reader;

void read_class(const std::string& name, Reader& r, std::vector<ClassLoad>& to) {
    ClassLoad c;
    c.name = name;
    Micros work = 100 * kMillisecond;
    r.number("share", c.share, 0, 1e6);
    r.span("work", work);
    c.work_ms = static_cast<double>(work) / 1000;
    r.number("cv", c.cv, 0, 20);
    r.number("threads", c.threads, 0.1, 1024);
    r.number("io", c.io, 0, 1);
    r.megabytes("memory", c.memory_mb);
    r.number("memory_cv", c.memory_cv, 0, 20);
    r.count("rows", c.rows, 0, 1e7);
    r.count("groups", c.groups, 1, 1e6);
    r.flag("load", c.load);
    r.flag("yields", c.yields);
    r.flag("keyed", c.keyed);
    r.number("keys", c.keys, 0, 1e6);
    to.push_back(std::move(c));
}

void read_traffic(Reader& r, Traffic& t) {
    r.required({"rate", "classes"});
    r.number("rate", t.rate, 0.01, 1e5);
    r.each("classes", [&](const std::string& name, Reader& c) {
        read_class(name, c, t.classes);
    });
    r.numbers("tenants", t.tenants, 0, 1e6);
    r.number("patience_low", t.patience_low, 0.01, 1);
    r.number("patience_high", t.patience_high, 0.01, 1);
    r.count("retries", t.retries, 0, 100);
    r.span("retry_wait", t.retry_wait);
    for (const auto& [key, to] : {std::pair("honour", &t.honour),
                                  {"leave", &t.leave},
                                  {"abandon", &t.abandon},
                                  {"lost_polls", &t.lost_polls}})
        r.number(key, *to, 0, 1);
    r.number("estimate_cv", t.estimate_cv, -1, 20);
}

}  // namespace

const std::vector<std::string>& trouble_names() {
    static const std::vector<std::string> kNames = {
        "ageing",      "answer_lost",    "balancer_roll", "balancer_stall", "burst",        "crash",
        "deploy",      "discovery_down", "fast_errors",   "flush",          "give_up",      "hang",
        "heavy_tail",  "hot_key",        "list_lies",     "mass_restart",   "pauses",       "preempt",
        "report_late", "shared_slow",    "shift",         "slow",           "tenant_burst", "vanish"};
    return kNames;
}

Result<Script> load_script(const std::string& name, const std::string& source) {
    auto text = config::evaluate(name, source);
    if (!text)
        return Error{text.error()};
    config::Mistakes mistakes(name, source);
    const auto json = nlohmann::json::parse(*text);
    Script s;
    Reader top(json, {}, mistakes);
    top.required({"length", "front", "engines", "traffic"});
    top.count("seed", s.seed, 0, 9e15);
    top.span("lead", s.lead);
    top.span("length", s.length);
    top.span("settle", s.settle);
    top.count("fronts", s.fronts, 1, 1000);
    top.span("notice", s.notice);
    top.flag("ledger", s.ledger);
    top.count("kills", s.kills, 0, 1e5);
    top.object("traffic", [&](Reader& r) {
        read_traffic(r, s.traffic);
    });
    top.each("engines", [&](const std::string& group, Reader& r) {
        EngineGroup g;
        g.name = group;
        r.count("count", g.count, 1, 1000);
        r.text("zone", g.zone);
        r.text("kind", g.kind);
        if (r.has("machine"))
            g.machine = json["engines"][group]["machine"];
        r.raw("machine");  // checked by the engine itself
        s.engines.push_back(std::move(g));
    });
    top.raw("front");  // checked as a front's configuration, once its engines are known
    if (json.contains("front"))
        s.front = json["front"];
    top.each("troubles", [&](const std::string&, Reader& r) {
        Trouble t;
        r.required({"name", "at"});
        r.text("name", t.name);
        r.text("how", t.how);
        r.span("at", t.at);
        r.span("length", t.length);
        r.number("part", t.part, 0, 1);
        r.number("size", t.size, 0, 1e6);
        r.number("extra", t.extra, 0, 1e6);
        r.counts("on", t.on);
        const auto& names = trouble_names();
        if (std::find(names.begin(), names.end(), t.name) == names.end()) {
            const auto near = config::nearest(t.name, names);
            std::string all;
            for (const auto& n : names)
                all += (all.empty() ? "" : ", ") + n;
            r.wrong("name", "no such trouble: '" + t.name + "'; " +
                                (near.empty() ? "known are: " + all : "did you mean '" + near + "'?"));
        }
        s.troubles.push_back(std::move(t));
    });
    top.close();
    if (!mistakes.none())
        return Error{mistakes.text()};
    return s;
}

}  // namespace gatetiller::lab
