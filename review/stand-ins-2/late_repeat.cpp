// Case 7: the retry of a keyed request reaches its engine after the engines have forgotten the key.
#include "platform.hpp"

using namespace review;

namespace {

constexpr double kWindow = 15;  // s: "all engines drop a repeat for 15 s"
constexpr double kHang = 16;    // s: "query engines hang for 16 s under long deadlines"
constexpr int kLoadEngines = 2, kEngines = 6;

}  // namespace

int main(int, char** argv) {
    begin(argv[1]);
    const bool trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
    make_shared_state();
    const auto ports = free_ports(kEngines + 2);
    SiteOf site;
    site.kinds = {"large-16c", "medium-12c"};
    site.cores = 16;
    site.cancel = false;
    site.attempts = 3;
    site.note_period_ms = 500;
    site.drain_grace_s = 1;
    site.classes = {{"lookup", "repeatable", "", 1500, 7500, 5000, 1, 1, false},
                    {"load", "by_key", "large-16c", 3000, 25000, static_cast<int>(kWindow * 1000), 2, 5, true}};
    std::vector<pid_t> engines;
    for (int i = 0; i < kEngines; ++i) {
        site.engines.push_back({"s-000000a" + std::to_string(i), i < kLoadEngines ? "large-16c" : "medium-12c", ports[2 + i]});
        shared()->listed[i] = 1;
    }
    for (int i = 0; i < kEngines; ++i) {
        EngineBehaviour b;
        b.index = i;
        b.port = ports[2 + i];
        b.work_s = 1.0;
        b.window_s = kWindow;
        b.note_period_s = 0.5;
        b.receive_buffer = 4096;
        if (trouble)
            b.on_done = [] {  // the time between the end of its work and its answer, in which it dies
                if (shared()->key[0].applied == 1)
                    sleep_s(1);
            };
        engines.push_back(start_function([b] {
            run_engine(b);
        }));
        if (!wait_for_port(b.port, 5))
            finish(kCouldNotRun, "an engine did not start");
    }
    start_function([&] {
        serve_names(ports[1], site.engines);
    });
    write_file(folder() + "/config.json", config_json(site, ports[0], ports[1]));
    const pid_t node = start_node(folder() + "/config.json", folder() + "/node.log");
    if (!wait_until_ready(ports[0], 15))
        finish(kCouldNotRun, "the front node was not ready in time");
    sleep_s(1);

    const int client = connect_to(ports[0]);
    const std::string key = hex_id(0x5c0f6e1a2b3d4c59ull, 32);
    std::string statement = "INSERT INTO sales_17.orders VALUES ";
    while (statement.size() < 30000)
        statement += "(1, 'aso-east', 'meter'), ";
    statement += "(2, 'aso-east', 'meter')";
    const double sent = wall();
    note("client: load with key %s, patience 25000 ms, statement of %zu bytes", key.c_str(), statement.size());
    send_all(client, process_call(1, {{"route", "load"}, {"trace", hex_id(0x9b1f03aa5c7e2d41ull, 16)}, {"patience", "25000"},
                                      {"customer", "east"}, {"nonce", key}, {"weight", "1000.0"}, {"heap_mb", "96"}},
                                  statement));
    int first = -1;
    while (wall() - sent < 5 && shared()->key[0].applied == 0) {
        for (int i = 0; i < kLoadEngines; ++i)
            if (shared()->begun[i] > 0)
                first = i;
        sleep_s(0.01);
    }
    if (first < 0 || shared()->key[0].applied == 0)
        finish(kCouldNotRun, "no engine applied the load");
    const int other = 1 - first;
    if (trouble) {
        kill(engines[other], SIGSTOP);
        note("engine %d hangs (stopped), for %.0f s", other, kHang);
        const double hung_at = wall();
        sleep_s(0.2);
        kill(engines[first], SIGKILL);
        note("engine %d dies; it has applied the load and not answered yet", first);
        sleep_s(1.5);
        shared()->listed[first] = 0;
        ++shared()->serial;
        note("name service: engine %d is gone", first);
        sleep_s(kHang - (wall() - hung_at));
        kill(engines[other], SIGCONT);
        note("engine %d goes on", other);
    }
    std::string in, answer;
    int seq = 0;
    while (answer.empty() && wall() - sent < 27) {
        if (!receive_some(client, in, 0.1))
            break;
        answer = take_answer(in, seq);
    }
    note("client: %s after %.3f s", answer.empty() ? "NO ANSWER" : answer.c_str(), wall() - sent);
    sleep_s(1.5);
    note("the front node is %s", is_alive(node) ? "running" : "NOT running");
    note("keys applied twice: %d; repeats that arrived after the window: %d", shared()->applied_twice.load(),
         shared()->late_arrivals.load());
    if (shared()->applied_twice > 0)
        finish(kBroken, "BROKEN: the effect of one keyed request happened twice");
    finish(kHeld, "held: no effect happened twice");
}
