#include <spdlog/fmt/fmt.h>

#include "base/text.hpp"
#include "report/report.hpp"
#include "statement/completed.hpp"

namespace gatetiller::report {
namespace {

using decide::ChargeLine;
using decide::RequestState;
using decide::WastedWork;

constexpr const char* kColumns[] = {"team", "class", "day", "kind"};

struct Row {
    std::vector<std::string> group;
    ChargeLine line;
};

// Lines summed by the columns asked for, in the order of their texts; the last row is the total.
std::vector<Row> rows_of(const Report& r, const std::vector<std::string>& by) {
    std::map<std::vector<std::string>, ChargeLine> sums;
    ChargeLine total;
    for (const auto& [key, line] : r.lines) {
        std::vector<std::string> group;
        for (const auto& column : by)
            group.push_back(column == "team"    ? r.team_names.at(key.team)
                            : column == "class" ? key.cls
                            : column == "kind"  ? key.kind
                                                : r.calendar.dates()[static_cast<std::size_t>(key.day)]);
        sums[std::move(group)] += line;
        total += line;
    }
    std::vector<Row> rows;
    for (auto& [group, line] : sums)
        rows.push_back({group, line});
    std::vector<std::string> last(by.size());
    if (!last.empty())
        last[0] = "total";
    rows.push_back({std::move(last), total});
    return rows;
}

std::string seconds_text(Micros t) {
    return fmt::format("{}.{:03}", t / kSecondMicros, t % kSecondMicros / kMillisecond);
}
std::string gb_seconds_text(decide::Exact byte_micros) {  // 10^15 to a GB-second
    const auto thousandths = static_cast<std::int64_t>(byte_micros / 1'000'000'000'000);
    return fmt::format("{}.{:03}", thousandths / 1000, thousandths % 1000);
}
std::string gb_text(std::int64_t bytes) {
    return fmt::format("{}.{:03}", bytes / 1'000'000'000, bytes % 1'000'000'000 / 1'000'000);
}

// The cells of all rows. Amounts are rounded together, so that the rows sum to the total as printed.
std::vector<std::vector<std::string>> cells_of(const Report& r, const std::vector<Row>& rows) {
    std::vector<decide::Exact> parts;
    for (std::size_t i = 0; i + 1 < rows.size(); ++i)
        parts.insert(parts.end(), {rows[i].line.amount[0], rows[i].line.amount[1]});
    auto texts = decide::round_preserving_total(parts, r.decimals);
    // The total's cells are the sums of what stands above them.
    decide::Exact sums[2] = {0, 0};
    const auto as_units = [](const std::string& text) {
        decide::Exact n = 0;
        for (const char c : text)
            if (c >= '0' && c <= '9')
                n = n * 10 + (c - '0');
        return n;
    };
    for (std::size_t i = 0; i < texts.size(); ++i)
        sums[i % 2] += as_units(texts[i]);
    decide::Exact scale = 1;
    for (int i = r.decimals; i < 24; ++i)
        scale *= 10;
    for (const auto sum : sums)
        texts.push_back(decide::decimal_text(sum * scale, r.decimals));
    std::vector<std::vector<std::string>> all;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const ChargeLine& l = rows[i].line;
        const auto count = [&](RequestState s) {
            return l.requests[static_cast<std::size_t>(s)];
        };
        std::int64_t requests = 0;
        for (const auto n : l.requests)
            requests += n;
        const Micros served = l.work[0];
        std::vector<std::string> cells = rows[i].group;
        for (const std::int64_t n :
             {requests, count(RequestState::served), l.errors, count(RequestState::shed),
              count(RequestState::failed), count(RequestState::truncated), count(RequestState::cancelled),
              count(RequestState::abandoned), count(RequestState::interrupted) + count(RequestState::open),
              l.repeats, l.attempts, l.additional_attempts})
            cells.push_back(std::to_string(n));
        for (const Micros t : {served, l.total_work() - served, l.work_after_disconnect})
            cells.push_back(seconds_text(t));
        cells.push_back(gb_seconds_text(l.granted_byte_micros));
        cells.push_back(gb_seconds_text(l.used_byte_micros));
        cells.push_back(gb_text(l.spilled[0] + l.spilled[1]));
        cells.push_back(texts[2 * i]);
        cells.push_back(texts[2 * i + 1]);
        cells.push_back(
            decide::decimal_text((as_units(texts[2 * i]) + as_units(texts[2 * i + 1])) * scale, r.decimals));
        all.push_back(std::move(cells));
    }
    return all;
}

std::vector<std::string> heads_of(const Report& r, const std::vector<std::string>& by) {
    std::vector<std::string> heads = by;
    for (const char* head :
         {"requests", "served", "errors", "refused", "failed", "cut", "cancelled", "abandoned", "interrupted",
          "repeats", "attempts", "further", "core_s", "core_s_wasted", "core_s_after_leaving", "gb_s_granted",
          "gb_s_used", "gb_spilled"})
        heads.emplace_back(head);
    for (const char* head : {"served", "wasted", "all"})
        heads.push_back(r.currency + "_" + head);
    return heads;
}

std::string padded(const std::vector<std::vector<std::string>>& rows, std::size_t texts) {
    std::vector<std::size_t> widths;
    for (const auto& row : rows)
        for (std::size_t i = 0; i < row.size(); ++i) {
            if (widths.size() <= i)
                widths.push_back(0);
            widths[i] = std::max(widths[i], row[i].size());
        }
    std::string out;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            out += i < texts ? fmt::format("{:<{}}  ", row[i], widths[i])
                             : fmt::format("{:>{}}  ", row[i], widths[i]);
        out.erase(out.find_last_not_of(' ') + 1);
        out += '\n';
    }
    return out;
}

std::string html_text(std::string_view text) {
    std::string out;
    for (const char c : text)
        out += c == '&'   ? "&amp;"
               : c == '<' ? "&lt;"
               : c == '>' ? "&gt;"
               : c == '"' ? "&quot;"
                          : std::string(1, c);
    return out;
}

constexpr const char* kPalette[] = {"#2a6f97", "#e07a5f", "#81b29a", "#f2cc8f", "#6d597a",
                                    "#b56576", "#355070", "#8ab17d", "#e9c46a", "#a8a29e"};

// Bars: one for each label, of the parts' values in their order. Values in whole units of anything.
std::string bars_svg(const std::vector<std::string>& labels, const std::vector<std::string>& parts,
                     const std::vector<std::vector<double>>& values, const char* unit) {
    constexpr int kWidth = 900, kHeight = 260, kLeft = 70, kBottom = 40, kTop = 30;
    double most = 0;
    for (const auto& bar : values) {
        double sum = 0;
        for (const double v : bar)
            sum += v;
        most = std::max(most, sum);
    }
    std::string svg = fmt::format("<svg viewBox=\"0 0 {} {}\" role=\"img\">\n", kWidth, kHeight);
    const double step =
        static_cast<double>(kWidth - kLeft) / static_cast<double>(std::max<std::size_t>(1, labels.size()));
    const int height = kHeight - kBottom - kTop;
    for (int i = 0; i <= 4; ++i) {
        const double y = kTop + height * (1 - i / 4.0);
        svg += fmt::format(
            "<line x1=\"{}\" x2=\"{}\" y1=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"#ddd\"/>"
            "<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{:.4g}</text>\n",
            kLeft, kWidth, y, y, kLeft - 6, y + 4, most * i / 4);
    }
    svg += fmt::format("<text x=\"{}\" y=\"14\">{}</text>\n", kLeft, html_text(unit));
    for (std::size_t i = 0; i < labels.size(); ++i) {
        double y = kTop + height;
        const double x = kLeft + step * static_cast<double>(i);
        for (std::size_t k = 0; k < values[i].size(); ++k) {
            const double h = most > 0 ? height * values[i][k] / most : 0;
            y -= h;
            svg += fmt::format(
                "<rect x=\"{:.1f}\" y=\"{:.2f}\" width=\"{:.1f}\" height=\"{:.2f}\" fill=\"{}\">"
                "<title>{} {}: {:.6g}</title></rect>\n",
                x + step * 0.1, y, step * 0.8, h, kPalette[k % std::size(kPalette)], html_text(labels[i]),
                html_text(parts[k]), values[i][k]);
        }
        if (labels.size() <= 16 || i % 5 == 0)
            svg += fmt::format("<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{}</text>\n", x + step / 2,
                               kHeight - 22, html_text(labels[i]));
    }
    svg += "</svg>\n<p class=\"legend\">";
    for (std::size_t k = 0; k < parts.size(); ++k)
        svg += fmt::format("<span><i style=\"background:{}\"></i>{}</span> ",
                           kPalette[k % std::size(kPalette)], html_text(parts[k]));
    return svg + "</p>\n";
}

std::string table_html(const std::vector<std::string>& heads,
                       const std::vector<std::vector<std::string>>& rows, std::size_t texts) {
    std::string out = "<table><thead><tr>";
    for (const auto& head : heads)
        out += "<th>" + html_text(head) + "</th>";
    out += "</tr></thead>\n<tbody>\n";
    for (const auto& row : rows) {
        out += "<tr>";
        for (std::size_t i = 0; i < row.size(); ++i)
            out += (i < texts ? "<td class=\"text\">" : "<td>") + html_text(row[i]) + "</td>";
        out += "</tr>\n";
    }
    return out + "</tbody></table>\n";
}

std::vector<std::vector<std::string>> findings_rows(const Report& r) {
    std::vector<std::vector<std::string>> rows;
    for (int i = 0; i < decide::kFindings; ++i) {
        const auto& f = r.findings[static_cast<std::size_t>(i)];
        const auto finding = static_cast<decide::SettlementFinding>(i);
        if (f.queries > 0)
            rows.push_back({name_of(finding), is_explained(finding) ? "" : "UNEXPLAINED",
                            std::to_string(f.queries), seconds_text(f.work)});
    }
    return rows;
}

std::vector<std::vector<std::string>> waste_rows(const Report& r) {
    ChargeLine total;
    for (const auto& [key, line] : r.lines)
        total += line;
    std::vector<std::vector<std::string>> rows;
    for (int i = 1; i < decide::kWastedWorkKinds; ++i)
        if (const Micros t = total.work[static_cast<std::size_t>(i)]; t > 0)
            rows.push_back({name_of(static_cast<WastedWork>(i)), seconds_text(t)});
    return rows;
}

std::vector<std::string> caveats(const Report& r) {
    std::vector<std::string> out;
    const auto n = [](std::int64_t count) {
        return count < 0 ? std::string("an unknown number") : std::to_string(count);
    };
    for (const auto& [front, g] : r.gaps)
        out.push_back(fmt::format(
            "gap: {}: {}, from {} to {}: {} requests, {} updates missing", front.empty() ? "a ledger" : front,
            g.cause == decide::StoreError::none ? "removed by age" : name_of(g.cause),
            statement::utc_text(g.from), statement::utc_text(g.to), n(g.requests), n(g.updates)));
    for (const auto& [front, last] : r.unended)
        out.push_back(
            fmt::format("{} has no end on record: it runs still, or was killed; nothing after {} is here",
                        front, statement::utc_text(last)));
    for (const auto& [at, by] : r.clock_steps)
        out.push_back(fmt::format("the clock of a front stepped by {} ms at {}", by / kMillisecond,
                                  statement::utc_text(at)));
    for (const auto& t : r.troubles)
        out.push_back("unreadable: " + t);
    ChargeLine total;
    for (const auto& [key, line] : r.lines)
        total += line;
    if (total.unpriced > 0)
        out.push_back(fmt::format("{} attempts have no price for their time and kind", total.unpriced));
    if (total.unlogged > 0)
        out.push_back(
            fmt::format("{} attempts are in no journal: the front's own figures count", total.unlogged));
    for (const auto& [team, names] : r.formerly)
        for (const auto& name : names)
            out.push_back("team " + r.team_names.at(team) + " was called " + name + " before");
    return out;
}

}  // namespace

Result<std::vector<std::string>> read_columns(const std::string& commas) {
    std::vector<std::string> by;
    for (const auto part : split(commas, ',')) {
        if (std::find(std::begin(kColumns), std::end(kColumns), part) == std::end(kColumns))
            return Error{"'" + std::string(part) + "' is not one of team, class, day, kind"};
        by.emplace_back(part);
    }
    if (by.empty())
        return Error{"name at least one of team, class, day, kind"};
    return by;
}

std::string to_table(const Report& r, const std::vector<std::string>& by) {
    auto rows = cells_of(r, rows_of(r, by));
    rows.insert(rows.begin(), heads_of(r, by));
    std::string out = fmt::format("{} to {} in {}, {}\n\n", r.calendar.dates().front(),
                                  r.calendar.dates().back(), r.calendar.zone(), r.currency) +
                      padded(rows, by.size());
    if (auto waste = waste_rows(r); !waste.empty()) {
        waste.insert(waste.begin(), {"work that served nobody", "core_s"});
        out += "\n" + padded(waste, 1);
    }
    for (const auto& text : caveats(r))
        out += "\n" + text;
    return out + (caveats(r).empty() ? "" : "\n");
}

std::string to_csv(const Report& r, const std::vector<std::string>& by) {
    auto rows = cells_of(r, rows_of(r, by));
    rows.pop_back();  // whoever reads it sums by himself
    rows.insert(rows.begin(), heads_of(r, by));
    std::string out;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            std::string cell = row[i];
            if (cell.find_first_of(",\"\r\n") != std::string::npos) {
                for (std::size_t at = 0; (at = cell.find('"', at)) != std::string::npos; at += 2)
                    cell.insert(at, 1, '"');
                cell = '"' + cell + '"';
            }
            out += (i > 0 ? "," : "") + cell;
        }
        out += "\r\n";
    }
    return out;
}

std::string findings_text(const Report& r) {
    auto rows = findings_rows(r);
    rows.insert(rows.begin(), {"finding", "", "queries", "core_s"});
    std::string out = padded(rows, 2);
    for (const Oddity& o : r.oddities)
        out += fmt::format("{}: {} at {} engine {} query {}: charged {} core_s, seen by the front {}\n",
                           name_of(o.finding), o.where, statement::utc_text(o.at),
                           o.engine.empty() ? "-" : o.engine, o.id.empty() ? "-" : o.id, seconds_text(o.work),
                           seconds_text(o.seen));
    for (const auto& text : caveats(r))
        out += text + "\n";
    return out + (all_explained(r) ? "every difference is explained\n" : "NOT ALL IS EXPLAINED\n");
}

std::string to_html(const Report& r, const std::vector<std::string>& by) {
    const auto teams = rows_of(r, {"team"});
    std::vector<std::string> team_labels, dates = r.calendar.dates();
    std::vector<std::vector<double>> by_team, by_day;
    const auto core_seconds = [](Micros t) {
        return static_cast<double>(t) / kSecondMicros;
    };
    for (std::size_t i = 0; i + 1 < teams.size(); ++i) {
        team_labels.push_back(teams[i].group[0]);
        by_team.push_back({core_seconds(teams[i].line.work[0]),
                           core_seconds(teams[i].line.total_work() - teams[i].line.work[0])});
    }
    std::map<std::string, std::size_t> place;
    for (std::size_t i = 0; i < team_labels.size(); ++i)
        place[team_labels[i]] = i;
    by_day.assign(dates.size(), std::vector<double>(team_labels.size(), 0));
    for (const auto& [key, line] : r.lines)
        by_day[static_cast<std::size_t>(key.day)][place[r.team_names.at(key.team)]] +=
            core_seconds(line.total_work());
    std::string out = fmt::format(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Charge-back {0} to "
        "{1}</title>\n"
        "<style>body{{font:14px "
        "sans-serif;margin:2em;max-width:1200px}}table{{border-collapse:collapse;font-size:12px}}"
        "th,td{{padding:3px 8px;border-bottom:1px solid #ddd;text-align:right}}td.text{{text-align:left}}"
        "tbody tr:last-child{{font-weight:bold}}.legend span{{margin-right:1em}}.legend "
        "i{{display:inline-block;"
        "width:10px;height:10px;margin-right:4px}}svg "
        "text{{font-size:11px}}.wide{{overflow-x:auto}}</style></head>\n"
        "<body>\n<h1>Charge-back by team</h1>\n<p>{0} to {1}, days of {2}; amounts in {3}.</p>\n",
        dates.front(), dates.back(), html_text(r.calendar.zone()), html_text(r.currency));
    out += "<h2>Work by team</h2>\n" +
           bars_svg(team_labels, {"served", "served nobody"}, by_team, "core-seconds");
    out += "<h2>Work by day</h2>\n" + bars_svg(dates, team_labels, by_day, "core-seconds");
    out += "<h2>Lines</h2>\n<div class=\"wide\">" +
           table_html(heads_of(r, by), cells_of(r, rows_of(r, by)), by.size()) +
           "</div>\n<h2>Work that served nobody</h2>\n" +
           table_html({"cause", "core-seconds"}, waste_rows(r), 1) + "<h2>Ledger against journals</h2>\n" +
           table_html({"finding", "", "queries", "core-seconds"}, findings_rows(r), 2) +
           "<h2>To be known</h2>\n<ul>\n";
    for (const auto& text : caveats(r))
        out += "<li>" + html_text(text) + "</li>\n";
    return out + "</ul>\n</body></html>\n";
}

}  // namespace gatetiller::report
