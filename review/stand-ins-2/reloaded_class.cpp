// Case 9: a statement of a class that a new configuration adds is accepted and never answered.
#include "common.hpp"

using namespace review;

namespace {

constexpr int kEngines = 2;
constexpr double kPatience = 20;  // of the client; the longest deadline of a class is 5 s

std::string front_config(int port, const std::vector<int>& engines, bool with_new_class) {
    std::string list;
    for (std::size_t i = 0; i < engines.size(); ++i)
        list += "    'node-" + std::to_string(i + 1) + "': g.engine('127.0.0.1:" + std::to_string(engines[i]) +
                "', zone='office'),\n";
    return "local g = import 'gatetiller.libsonnet';\ng.front('office-1') {\n  listen: ['127.0.0.1:" +
           std::to_string(port) +
           "'],\n  zone: 'office',\n  fronts: 1,\n  classes: {\n"
           "    lookup: g.class('750ms', '4s') { aim_stretch: 1.5 },\n" +
           (with_new_class ? "    export: g.class('2s', '5s') { aim_stretch: 2.5, late_share: 0.4 },\n" : "") +
           "  },\n  tenants: { others: g.tenant(1) },\n  kinds: { std: g.kind(8, '16GiB') },\n  engines: {\n" + list +
           "  },\n  facts+: { reports: 'answers', priorities: true, when_short: 'swap' },\n  rules+: { attempts: 6 },\n"
           "  routes: [" +
           (with_new_class ? "g.route('export', { source: 'export*' }), " : "") + "g.route('lookup')],\n}\n";
}

struct Outcome {
    bool final_answer = false;
    double after = 0;
};

// Sends a statement and polls until its last document or until the client's time is up.
Outcome ask(int port, const std::string& source) {
    const std::string headers = "X-Trino-User: east\r\nX-Trino-Source: " + source + "\r\n";
    const double sent = wall();
    note("client: POST as source %s", source.c_str());
    auto answer = http(port, "POST", "/v1/statement", headers, "SELECT n FROM sales_17.orders /* gt: work_ms=50 rows=4 */", 5);
    if (answer.status != 200) {
        note("front: status %d", answer.status);
        return {answer.status >= 400, wall() - sent};  // a refusal is an answer
    }
    note("front: 200, accepted, id %s", member_text(answer.body, "id").c_str());
    std::string next = member_text(answer.body, "nextUri"), state;
    int polls = 0;
    while (!next.empty() && wall() - sent < kPatience) {
        answer = http(port, "GET", path_of(next), headers, "", 5);
        ++polls;
        if (answer.status == 0 || answer.status == 503) {
            sleep_s(0.2);
            continue;
        }
        if (answer.status != 200) {
            note("front: status %d to poll %d", answer.status, polls);
            return {true, wall() - sent};
        }
        next = member_text(answer.body, "nextUri");
        const std::string now = member_text(answer.body, "state");
        if (now != state || next.empty())
            note("front: poll %d: state %s%s", polls, now.c_str(), next.empty() ? ", last document" : "");
        state = now;
    }
    note("client: %d polls, state %s, %s after %.1f s", polls, state.c_str(),
         next.empty() ? "final answer" : "NO final answer", wall() - sent);
    return {next.empty(), wall() - sent};
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
                       "', machine: { cores: 8, memory: '16GiB', priorities: true, when_short: 'swap' } }\n");
        start_command(program_command("engine --config " + base + ".jsonnet"), base + ".log");
    }
    for (const int port : engines)
        if (!wait_for_port(port, 10))
            finish(kCouldNotRun, "an engine did not start");
    const std::string config = folder() + "/front.jsonnet", log = folder() + "/front.log";
    write_file(config, front_config(ports[0], engines, false));
    const pid_t front = start_command(program_command("serve --config " + config), log);
    if (!wait_for_port(ports[0], 10))
        finish(kCouldNotRun, "the front did not start");
    sleep_s(1.5);
    if (!ask(ports[0], "export-7").final_answer)
        finish(kCouldNotRun, "the front did not serve before the new configuration");
    if (trouble) {
        write_file(config, front_config(ports[0], engines, true));
        const int checked = system((program_command("serve --check --config " + config) + " >> " + log + " 2>&1").c_str());
        note("operator: a new configuration adds class export and its route; --check ends with %d; SIGHUP", checked);
        if (checked != 0)
            finish(kCouldNotRun, "the new configuration is not valid");
        kill(front, SIGHUP);
        if (!wait_for_text(log, "reload", 5))
            finish(kCouldNotRun, "the front did not report a reload");
    }
    sleep_s(0.5);
    const Outcome other = ask(ports[0], "portal");
    const Outcome statement = ask(ports[0], "export-8");
    const bool alive = is_alive(front);
    std::istringstream lines(read_file(log));
    for (std::string line; std::getline(lines, line);)
        if (line.find("reloaded") != std::string::npos || line.find(" statement ") != std::string::npos)
            note("front: %s", line.c_str());
    note("the front is %s", alive ? "running" : "NOT running");
    if (!other.final_answer)
        finish(kBroken, "BROKEN: a statement of the old class got no final answer");
    if (!statement.final_answer || !alive)
        finish(kBroken, "BROKEN: an accepted statement got no final answer before its client gave up");
    finish(kHeld, "held: every statement got its final answer");
}
