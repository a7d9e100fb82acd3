#include "report/settlement.hpp"

#include <algorithm>

#include "config/reader.hpp"
#include "config/settings.hpp"
#include "report/calendar.hpp"

namespace gatetiller::report {
namespace {

using config::Reader;

void read_time(Reader& r, const std::string& key, const std::string& zone, Micros& to) {
    std::string text;
    r.text(key, text);
    if (text.empty())
        return;
    const auto t = local_time(zone, text);
    if (t)
        to = *t;
    else
        r.wrong(key, t.error());
}

// [from, until) of a rule or a price.
void read_span(Reader& r, const std::string& zone, Micros& from, Micros& until) {
    read_time(r, "from", zone, from);
    read_time(r, "until", zone, until);
    if (until != 0 && until <= from)
        r.wrong("until", "must be after 'from'");
}

void read_price(Reader& r, const std::string& key, std::int64_t& to) {
    std::string text;
    r.text(key, text);
    if (text.empty())
        return;
    const auto price = decide::parse_price(text);
    if (price)
        to = *price;
    else
        r.wrong(key, price.error());
}

}  // namespace

Result<Settlement> load_settlement_text(const std::string& name, const std::string& source) {
    auto text = config::evaluate(name, source);
    if (!text)
        return Error{text.error()};
    config::Mistakes mistakes(name, source);
    const auto json = nlohmann::json::parse(*text);
    Settlement s;
    Reader top(json, {}, mistakes);
    if (json.is_object()) {
        top.required({"zone", "teams", "rules", "prices"});
        top.text("zone", s.zone);
        if (const auto zone = local_time(s.zone, "2026-01-01"); !zone) {
            top.wrong("zone", zone.error());
            s.zone = "UTC";
        }
        top.text("currency", s.currency);
        top.count("decimals", s.decimals, 0, 9);
        top.span("clock_slack", s.clock_slack);
        top.each("teams", [&](const std::string& id, Reader& r) {
            auto& names = s.teams[id];
            std::string always;
            r.text("name", always);
            if (!always.empty())
                names.push_back({0, always});
            r.each("names", [&](const std::string&, Reader& n) {
                decide::TeamName one;
                n.required({"name"});
                n.text("name", one.name);
                read_time(n, "from", s.zone, one.from);
                names.push_back(std::move(one));
            });
            std::stable_sort(names.begin(), names.end(), [](const auto& a, const auto& b) {
                return a.from < b.from;
            });
        });
        top.each("rules", [&](const std::string&, Reader& r) {
            decide::TeamRule rule;
            r.required({"team"});
            r.text("team", rule.team);
            if (r.has("team") && !s.teams.contains(rule.team)) {
                std::vector<std::string> known;
                for (const auto& [id, names] : s.teams)
                    known.push_back(id);
                const auto near = config::nearest(rule.team, known);
                r.wrong("team", "'" + rule.team + "' is not among 'teams'" +
                                    (near.empty() ? "" : "; did you mean '" + near + "'?"));
            }
            read_span(r, s.zone, rule.from, rule.until);
            r.text("tenant", rule.tenant);
            r.text("user", rule.user);
            r.text("source", rule.source);
            r.texts("tags", rule.tags);
            s.rules.push_back(std::move(rule));
        });
        top.each("prices", [&](const std::string&, Reader& r) {
            decide::Price p;
            read_span(r, s.zone, p.from, p.until);
            r.text("kind", p.kind);
            read_price(r, "core_second", p.rates.core_second);
            read_price(r, "gb_second_granted", p.rates.gb_second_granted);
            read_price(r, "gb_second_used", p.rates.gb_second_used);
            read_price(r, "gb_spilled", p.rates.gb_spilled);
            s.prices.push_back(std::move(p));
        });
    }
    top.close();
    if (!mistakes.none())
        return Error{mistakes.text()};
    return s;
}

Result<Settlement> load_settlement(const std::string& file) {
    const auto text = config::whole_file(file);
    if (!text)
        return Error{text.error()};
    return load_settlement_text(file, *text);
}

}  // namespace gatetiller::report
