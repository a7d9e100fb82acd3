// Case 9: a planned restart ends a front that has accepted a statement and never answers it.
#include "common.hpp"

using namespace review;

namespace {

constexpr int kEngines = 2;
constexpr int kWorkMs = 40'000;       // of the statement; its class gives it 60 s
constexpr double kPatience = 60;      // of the client

std::string front_config(int port, const std::vector<int>& engines) {
    std::string list;
    for (std::size_t i = 0; i < engines.size(); ++i)
        list += "    'node-" + std::to_string(i + 1) + "': g.engine('127.0.0.1:" + std::to_string(engines[i]) +
                "', zone='office'),\n";
    return "local g = import 'gatetiller.libsonnet';\ng.front('office-1') {\n  listen: ['127.0.0.1:" +
           std::to_string(port) +
           "'],\n  zone: 'office',\n  fronts: 1,\n  classes: {\n"
           "    report: g.class('5s', '60s') { aim_stretch: 2, value: 10, late_share: 0.5 },\n  },\n"
           "  tenants: { others: g.tenant(1) },\n  kinds: { std: g.kind(8, '16GiB') },\n  engines: {\n" +
           list +
           "  },\n  facts+: { reports: 'answers', priorities: true, when_short: 'swap' },\n  rules+: { attempts: 6, warm_up: '1s' },\n"
           "  routes: [g.route('report')],\n}\n";
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
        start_command("exec build-bench/gatetiller engine --config " + base + ".jsonnet", base + ".log");
    }
    for (const int port : engines)
        if (!wait_for_port(port, 10))
            finish(kCouldNotRun, "an engine did not start");
    const std::string log = folder() + "/front.log";
    write_file(folder() + "/front.jsonnet", front_config(ports[0], engines));
    const pid_t front = start_command("exec build-bench/gatetiller serve --config " + folder() + "/front.jsonnet", log);
    if (!wait_for_port(ports[0], 10))
        finish(kCouldNotRun, "the front did not start");
    sleep_s(1.5);

    const std::string headers = "X-Trino-User: east\r\nX-Trino-Resource-Estimate: CPU_TIME=40s\r\n";
    auto answer = http(ports[0], "POST", "/v1/statement", headers,
                       "SELECT n, value FROM sales_17.orders /* gt: work_ms=" + std::to_string(kWorkMs) + " rows=4 */", 5);
    if (answer.status != 200)
        finish(kCouldNotRun, "the statement was not accepted");
    const double sent = wall();
    note("client: POST is answered 200, id %s; the client waits for up to %.0f s",
         member_text(answer.body, "id").c_str(), kPatience);
    std::string next = member_text(answer.body, "nextUri"), state;
    bool told = false, ended = false;
    int failed = 0;
    while (!next.empty() && wall() - sent < kPatience) {
        if (trouble && !told && wall() - sent > 1) {
            told = true;
            note("operator: SIGTERM for a planned restart");
            kill(front, SIGTERM);
        }
        answer = http(ports[0], "GET", path_of(next), headers, "", 5);
        if (answer.status == 200) {
            next = member_text(answer.body, "nextUri");
            const std::string now = member_text(answer.body, "state");
            if (now != state || next.empty())
                note("front: state %s%s", now.c_str(), next.empty() ? ", last document" : "");
            state = now;
            continue;
        }
        if (answer.status != 0 && answer.status != 503) {
            note("front: status %d", answer.status);
            finish(kHeld, "held: the poll was answered with an error");
        }
        if (++failed == 1)
            note("client: a poll is not answered, %.1f s after the POST; polls again", wall() - sent);
        if (!ended && !is_alive(front)) {
            ended = true;
            note("the front has ended, %.1f s after the POST", wall() - sent);
        }
        if (ended && failed > 10)
            break;  // nobody is left who could answer
        sleep_s(0.2);
    }
    std::istringstream lines(read_file(log));
    for (std::string line; std::getline(lines, line);)
        if (line.find("statement") != std::string::npos || line.find("drain") != std::string::npos)
            note("front: %s", line.c_str());
    for (int i = 0; i < kEngines; ++i) {
        std::istringstream journal(read_file(folder() + "/engine-" + std::to_string(i + 1) + ".journal"));
        for (std::string line; std::getline(journal, line);)
            if (line.find("\"up\"") == std::string::npos)
                note("engine %d: %s", i + 1, line.c_str());
    }
    if (next.empty())
        finish(kHeld, "held: the client got a final answer");
    finish(kBroken, "BROKEN: the front ended with an accepted statement that got no final answer");
}
