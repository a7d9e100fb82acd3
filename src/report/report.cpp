#include "report/report.hpp"

#include "base/text.hpp"
#include "statement/completed.hpp"

namespace gatetiller::report {
namespace {

using decide::ChargeLine;
using decide::ChargeLineKey;
using decide::SettlementFinding;
using Json = nlohmann::ordered_json;

std::string exact_text(decide::Exact amount) {
    std::string text = decide::decimal_text(amount, 24);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

// Engines by name, as the ledgers know their kinds, for queries that only a journal has.
std::map<std::string, std::string> kinds_of(store::Ledger& ledger) {
    std::map<std::string, std::string> kinds;
    auto s = ledger.db().prepare("SELECT name,kind FROM engines ORDER BY name,kind");
    while (s.step())
        kinds.emplace(s.column_text(0), s.column_text(1));
    return kinds;
}

Json line_json(const ChargeLine& l) {
    Json requests = Json::object(), work = Json::object();
    for (int i = 0; i < decide::kRequestStates; ++i)
        requests[name_of(static_cast<decide::RequestState>(i))] = l.requests[static_cast<std::size_t>(i)];
    for (int i = 0; i < decide::kWastedWorkKinds; ++i)
        work[i == 0 ? "served" : name_of(static_cast<decide::WastedWork>(i))] =
            l.work[static_cast<std::size_t>(i)];
    return {{"requests", std::move(requests)},
            {"errors", l.errors},
            {"repeats", l.repeats},
            {"attempts", l.attempts},
            {"further_attempts", l.additional_attempts},
            {"unlogged_attempts", l.unlogged},
            {"unpriced_attempts", l.unpriced},
            {"core_microseconds", std::move(work)},
            {"core_microseconds_after_leaving", l.work_after_disconnect},
            {"byte_microseconds_granted", decide::integer_text(l.granted_byte_micros)},
            {"byte_microseconds_used", decide::integer_text(l.used_byte_micros)},
            {"spilled_bytes", {{"served", l.spilled[0]}, {"wasted", l.spilled[1]}}},
            {"row_bytes", l.row_bytes},
            {"amount", {{"served", exact_text(l.amount[0])}, {"wasted", exact_text(l.amount[1])}}}};
}

}  // namespace

Result<Report> make_report(store::AccountingStore& books, const Settlement& settlement, Calendar calendar,
                           const Ask& ask) {
    Report report{
        std::move(calendar), settlement.currency, settlement.decimals, {}, {}, {}, {}, {}, {}, {}, {}, {}};
    store::Ledger& ledger = books.ledger();
    std::map<std::string, decide::IncarnationRecord> records;
    if (auto f = books.incarnations(records))
        return Error{f.text};
    for (auto& [name, record] : records)
        record.clock_slack += settlement.clock_slack;
    std::vector<store::Incarnation> lives;
    if (auto f = ledger.incarnations(lives))
        return Error{f.text};
    std::map<std::string, std::uint32_t> number_of_life;  // the same whatever order the lives came in
    for (const auto& [name, record] : records)
        number_of_life.emplace(name, static_cast<std::uint32_t>(number_of_life.size()));
    std::sort(lives.begin(), lives.end(), [](const auto& a, const auto& b) {
        return a.name < b.name;
    });
    for (const auto& l : lives) {
        const auto& gaps = records[l.name].gaps;
        if (l.ended_at == 0 && !gaps.empty() &&
            gaps.back().to > l.last_commit_at + 1000 * 86'400 * kSecondMicros &&
            report.calendar.until() > l.last_commit_at)
            report.unended.emplace_back(l.front, l.last_commit_at);
    }

    decide::RepeatDetector repeats;
    if (auto f =
            ledger.for_each_request_with_key([&](const store::Incarnation& life, const store::RequestRow& r) {
                repeats.add(r, number_of_life[life.name]);
            }))
        return Error{f.text};
    repeats.finish();

    decide::Teams teams(settlement.rules, settlement.teams);
    const decide::PriceList prices(settlement.prices);
    decide::Charges charges(prices);
    const auto kinds = kinds_of(ledger);
    const Calendar& days = report.calendar;
    const auto odd = [&](const decide::Settlement& s, const std::string& where, const std::string& engine,
                         const std::string& id, Micros at) {
        const bool asked = std::find(ask.list.begin(), ask.list.end(), s.finding) != ask.list.end();
        if ((asked || !is_explained(s.finding)) && report.oddities.size() < ask.most)
            report.oddities.push_back({s.finding, where, engine, id, at, s.work, s.observed_work});
    };
    const auto alone = [&](const decide::LoggedQuery& q) {
        if (!days.holds(q.created))
            return;
        const auto record = q.attempt_tag ? records.find(q.attempt_tag->incarnation) : records.end();
        const auto s = settle_unmatched(q, record == records.end() ? nullptr : &record->second);
        const auto kind = kinds.find(q.engine);
        charges.add_unmatched({teams.team_of({q.user, q.source, q.tags, "", ""}, q.created), "(unrecorded)",
                               kind == kinds.end() ? "-" : kind->second, days.day_of(q.created)},
                              q, s);
        odd(s,
            q.attempt_tag ? q.attempt_tag->incarnation + "." + std::to_string(q.attempt_tag->request) + "." +
                                std::to_string(q.attempt_tag->attempt)
                          : "-",
            q.engine, q.id, q.created);
    };
    std::vector<decide::Settlement> settled;
    const auto take = [&](const store::AccountEntry& e) {
        if (!e.account)
            return alone(e.events_by_attempt[0][0]);
        for (const auto& q : e.unmatched_events)
            alone(q);
        const auto& r = e.account->request;
        if (!days.holds(r.received_at))
            return;
        settled.clear();
        for (std::size_t i = 0; i < e.events_by_attempt.size(); ++i) {
            const auto& a = e.account->attempts[i];
            settled.push_back(settle(r, a, e.events_by_attempt[i]));
            odd(settled.back(),
                e.account->incarnation->name + "." + std::to_string(r.number) + "." +
                    std::to_string(a.number),
                a.engine, a.engine_id, r.received_at);
        }
        charges.add(
            {teams.team_of(*r.requester, r.received_at), r.requester->cls, "", days.day_of(r.received_at)}, r,
            repeats.is_repeat(number_of_life[e.account->incarnation->name], r.number), e.account->attempts,
            settled);
    };
    if (auto f = books.for_each_entry(take, [&](std::string text) {
            report.troubles.push_back(std::move(text));
        }))
        return Error{f.text};
    report.lines = charges.lines();
    report.findings = charges.findings();
    if (auto f = ledger.gaps(report.gaps))
        return Error{f.text};
    std::erase_if(report.gaps, [&](const auto& g) {
        return g.second.to < days.from() || g.second.from >= days.until();
    });
    if (auto f = ledger.clock_steps(report.clock_steps))
        return Error{f.text};
    std::erase_if(report.clock_steps, [&](const auto& step) {
        return !days.holds(step.first);
    });
    for (const auto& [key, line] : report.lines) {
        if (report.team_names.contains(key.team))
            continue;
        report.team_names[key.team] = teams.name_at(key.team, days.until() - 1);
        if (auto before = teams.former_names(key.team, days.from(), days.until()); !before.empty())
            report.formerly[key.team] = std::move(before);
    }
    return report;
}

Json to_json(const Report& r) {
    Json lines = Json::array(), findings = Json::object(), gaps = Json::array(), steps = Json::array(),
         teams = Json::object();
    ChargeLine total;
    for (const auto& [key, line] : r.lines) {
        Json j = {{"team", key.team},
                  {"class", key.cls},
                  {"kind", key.kind},
                  {"day", r.calendar.dates()[static_cast<std::size_t>(key.day)]}};
        j.update(line_json(line));
        lines.push_back(std::move(j));
        total += line;
    }
    for (int i = 0; i < decide::kFindings; ++i) {
        const auto& f = r.findings[static_cast<std::size_t>(i)];
        findings[name_of(static_cast<SettlementFinding>(i))] = {
            {"queries", f.queries},
            {"core_microseconds", f.work},
            {"explained", is_explained(static_cast<SettlementFinding>(i))}};
    }
    for (const auto& [front, g] : r.gaps)
        gaps.push_back({{"front", front},
                        {"cause", g.cause == decide::StoreError::none ? "removed by age" : name_of(g.cause)},
                        {"from", statement::utc_text(g.from)},
                        {"to", statement::utc_text(g.to)},
                        {"requests", g.requests},
                        {"updates", g.updates}});
    for (const auto& [at, by] : r.clock_steps)
        steps.push_back({{"at", statement::utc_text(at)}, {"microseconds", by}});
    Json unended = Json::array();
    for (const auto& [front, last] : r.unended)
        unended.push_back({{"front", front}, {"until", statement::utc_text(last)}});
    for (const auto& [id, name] : r.team_names) {
        teams[id] = {{"name", name}};
        if (const auto before = r.formerly.find(id); before != r.formerly.end())
            teams[id]["formerly"] = before->second;
    }
    return {{"zone", r.calendar.zone()},
            {"from", statement::utc_text(r.calendar.from())},
            {"until", statement::utc_text(r.calendar.until())},
            {"days", {r.calendar.dates().front(), r.calendar.dates().back()}},
            {"currency", r.currency},
            {"teams", std::move(teams)},
            {"total", line_json(total)},
            {"lines", std::move(lines)},
            {"findings", std::move(findings)},
            {"gaps", std::move(gaps)},
            {"clock_steps", std::move(steps)},
            {"written_until", std::move(unended)},
            {"unreadable", r.troubles}};
}

bool all_explained(const Report& r) {
    for (int i = 0; i < decide::kFindings; ++i)
        if (!is_explained(static_cast<SettlementFinding>(i)) &&
            r.findings[static_cast<std::size_t>(i)].queries > 0)
            return false;
    return r.troubles.empty();
}

// ---- Versions

std::string period_of(const Calendar& c) {
    return c.zone() + " " + c.dates().front() + " " + c.dates().back();
}

Result<std::vector<Version>> versions(store::AccountingStore& books, const std::string& period) {
    auto s = books.ledger().db().prepare("SELECT made,report FROM versions WHERE period=? ORDER BY row");
    s.bind(0, period);
    std::vector<Version> all;
    while (s.step())
        all.push_back({static_cast<std::int64_t>(all.size()) + 1, s.column_int64(0), s.column_text(1)});
    if (s.failure())
        return Error{s.failure().text};
    return all;
}

Result<Kept> keep_version(store::AccountingStore& books, const Report& report, Micros wall) {
    const std::string period = period_of(report.calendar);
    const auto before = versions(books, period);
    if (!before)
        return Error{before.error()};
    const Json now = to_json(report);
    const std::string text = now.dump();
    if (!before->empty() && before->back().text == text)
        return Kept{before->back().number, false, ""};
    auto put = books.ledger().db().prepare("INSERT INTO versions(period,made,digest,report) VALUES(?,?,?,?)");
    put.bind(0, period).bind(1, wall).bind(2, std::to_string(fnv1a_hash(text))).bind(3, text);
    if (auto f = put.run())
        return Error{f.text};
    Kept kept{static_cast<std::int64_t>(before->size()) + 1, true, ""};
    if (!before->empty())
        kept.difference = difference(Json::parse(before->back().text), now);
    return kept;
}

std::string difference(const Json& before, const Json& after) {
    // By team, class, day and kind: each figure that is not the same.
    std::map<std::string, std::pair<Json, Json>> lines;
    const auto key_of = [](const Json& j) {
        return j["team"].get<std::string>() + " / " + j["class"].get<std::string>() + " / " +
               j["day"].get<std::string>() + " / " + j["kind"].get<std::string>();
    };
    for (const Json& j : before["lines"])
        lines[key_of(j)].first = j;
    for (const Json& j : after["lines"])
        lines[key_of(j)].second = j;
    lines["total"] = {before["total"], after["total"]};
    std::string out;
    for (auto& [key, pair] : lines) {
        const Json a = pair.first.is_null() ? Json::object() : pair.first.flatten(),
                   b = pair.second.is_null() ? Json::object() : pair.second.flatten();
        Json names = a;
        names.update(b);
        for (const auto& [name, value] : names.items()) {
            const auto text = [&](const Json& j) {
                return j.contains(name) ? j[name].dump() : std::string("-");
            };
            if (text(a) != text(b) && !(text(a) == "-" && (text(b) == "0" || text(b) == "\"0\"")) &&
                !(text(b) == "-" && (text(a) == "0" || text(a) == "\"0\"")) && name != "/team" &&
                name != "/class" && name != "/day" && name != "/kind")
                out += key + ": " + name.substr(1) + ": " + text(a) + " -> " + text(b) + "\n";
        }
    }
    for (const char* part : {"teams", "gaps", "findings", "unreadable"})
        if (before[part] != after[part])
            out += std::string(part) + " differ\n";
    return out;
}

}  // namespace gatetiller::report
