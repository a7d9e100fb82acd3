// Case 6: a client that pauses before it asks for its rows gets the rows of two attempts.
#include <algorithm>
#include <set>

#include "common.hpp"

using namespace review;

namespace {

constexpr int kEngines = 3;
constexpr long kRows = 40000;
constexpr double kPause = 4;  // of the client, between two of its polls

// Adds the numbers of the rows in a document of the stand-in engine: "data":[[0,"..."],[1,"..."]].
void add_rows(const std::string& document, std::vector<long>& rows) {
    std::size_t at = document.find("\"data\":[");
    if (at == std::string::npos)
        return;
    at += 8;
    while (at < document.size() && document[at] == '[') {
        rows.push_back(strtol(document.c_str() + at + 1, nullptr, 10));
        at = document.find("\"]", at);
        if (at == std::string::npos)
            return;
        at += 2;
        if (at < document.size() && document[at] == ',')
            ++at;
    }
}

std::string front_config(int port, const std::vector<int>& engines) {
    std::string list;
    for (std::size_t i = 0; i < engines.size(); ++i)
        list += "    'node-" + std::to_string(i + 1) + "': g.engine('127.0.0.1:" + std::to_string(engines[i]) +
                "', zone='office'),\n";
    return "local g = import 'gatetiller.libsonnet';\ng.front('office-1') {\n  listen: ['127.0.0.1:" +
           std::to_string(port) +
           "'],\n  zone: 'office',\n  fronts: 1,\n  classes: {\n"
           "    lookup: g.class('750ms', '4s') { aim_stretch: 1.5 },\n"
           "    report: g.class('1.5s', '20s') { aim_stretch: 2.5, threads: 3, value: 15, late_share: 0.4 },\n  },\n"
           "  tenants: { others: g.tenant(1) },\n  kinds: { std: g.kind(8, '16GiB') },\n  engines: {\n" +
           list +
           "  },\n  facts+: { reports: 'answers', priorities: true, when_short: 'swap' },\n  rules+: { attempts: 6 },\n"
           "  routes: [g.route('report', { tags: ['report'] }), g.route('lookup')],\n}\n";
}

}  // namespace

int main(int, char** argv) {
    begin(argv[1]);
    const bool trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
    const auto ports = free_ports(kEngines + 1);
    const std::vector<int> engines(ports.begin() + 1, ports.end());
    for (int i = 0; i < kEngines; ++i) {
        const std::string base = folder() + "/engine-" + std::to_string(i + 1);
        write_file(base + ".jsonnet",
                   "{ name: 'node-" + std::to_string(i + 1) + "', listen: '127.0.0.1:" + std::to_string(engines[i]) +
                       "', journal: '" + base +
                       ".journal', machine: { cores: 8, memory: '16GiB', priorities: true, when_short: 'swap' } }\n");
        start_command(program_command("engine --config " + base + ".jsonnet"), base + ".log");
    }
    for (const int port : engines)
        if (!wait_for_port(port, 10))
            finish(kCouldNotRun, "an engine did not start");
    write_file(folder() + "/front.jsonnet", front_config(ports[0], engines));
    start_command(program_command("serve --config " + folder() + "/front.jsonnet"),
                  folder() + "/front.log");
    if (!wait_for_port(ports[0], 10))
        finish(kCouldNotRun, "the front did not start");
    sleep_s(0.5);

    const std::string headers = "X-Trino-User: east\r\nX-Trino-Client-Tags: report\r\n";
    const std::string sql = "SELECT n, value FROM sales_17.orders /* gt: work_ms=50 rows=" + std::to_string(kRows) +
                            " row_bytes=400 */";
    note("client: POST %s", sql.c_str());
    auto answer = http(ports[0], "POST", "/v1/statement", headers, sql, 5);
    if (answer.status != 200)
        finish(kCouldNotRun, "the statement was not accepted");
    note("front: 200, state %s", member_text(answer.body, "state").c_str());
    if (trouble) {
        note("client: does not poll for %.0f s", kPause);
        sleep_s(kPause);
    }
    std::vector<long> rows;
    std::string next = member_text(answer.body, "nextUri");
    const double until = wall() + 60;
    bool error = false;
    while (!next.empty() && wall() < until) {
        answer = http(ports[0], "GET", path_of(next), headers, "", 10);
        if (answer.status == 503)
            continue;
        if (answer.status != 200) {
            note("client: GET is answered with status %d", answer.status);
            error = true;
            break;
        }
        const std::size_t before = rows.size();
        add_rows(answer.body, rows);
        error = error || answer.body.find("\"error\":{") != std::string::npos;
        next = member_text(answer.body, "nextUri");
        note("client: GET: %zu rows, from number %ld to %ld, state %s%s", rows.size() - before,
             rows.size() > before ? rows[before] : -1L, rows.size() > before ? rows.back() : -1L,
             member_text(answer.body, "state").c_str(), next.empty() ? ", last document" : "");
    }
    for (int i = 0; i < kEngines; ++i) {
        std::istringstream journal(read_file(folder() + "/engine-" + std::to_string(i + 1) + ".journal"));
        for (std::string line; std::getline(journal, line);)
            if (line.find("started") != std::string::npos || line.find("cancel") != std::string::npos ||
                line.find("finished") != std::string::npos)
                note("engine %d: %s", i + 1, line.c_str());
    }
    {
        std::istringstream log(read_file(folder() + "/front.log"));
        for (std::string line; std::getline(log, line);)
            if (line.find(" statement ") != std::string::npos)
                note("front: %s", line.c_str());
    }
    const std::set<long> distinct(rows.begin(), rows.end());
    note("result: %ld rows in the engine's result; the client got %zu rows, %zu of them distinct, %s order", kRows,
         rows.size(), distinct.size(), std::is_sorted(rows.begin(), rows.end()) ? "in" : "out of");
    if (error || !next.empty())
        finish(kHeld, "no served answer: the request failed or was refused, which the rule allows");
    const bool whole = rows.size() == static_cast<std::size_t>(kRows) &&
                       distinct.size() == static_cast<std::size_t>(kRows) && std::is_sorted(rows.begin(), rows.end());
    if (whole)
        finish(kHeld, "held: served with the rows of one result, in order");
    finish(kBroken, "BROKEN: served with rows that are not those of the result");
}
