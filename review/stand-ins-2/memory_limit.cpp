// Case 10: some hundreds of bad clients take a front node over its memory limit, and the platform kills it.
#include <atomic>

#include "platform.hpp"

using namespace review;

namespace {

constexpr int kEngines = 3;
constexpr int kMemoryMb = 32, kSockets = 1024;
constexpr int kBadClients = 320;  // under a third of the descriptors
constexpr double kCalm = 4, kBad = 8, kAfter = 3;
constexpr int kBadRequests = 6;  // of each bad client, before its message without end
constexpr int kRequestsPerSecond = 50;

// Memory that counts, in KB: what is resident.
long resident_kb(pid_t pid) {
    const std::string status = read_file("/proc/" + std::to_string(pid) + "/status");
    const std::size_t at = status.find("VmRSS:");
    return at == std::string::npos ? 0 : strtol(status.c_str() + at + 6, nullptr, 10);
}

// What a bad client sends, at full speed: requests of a class that does not exist, then a message without end.
std::string bad_bytes() {
    const std::map<std::string, std::string> fields{{"route", "no-such-class"}, {"trace", hex_id(1, 16)}, {"patience", "1000"},
                                                    {"customer", "east"}};
    std::string bytes;
    for (int i = 0; i < kBadRequests; ++i)
        bytes += process_call(i + 1, fields, std::string(30000, 'x'));
    put32(bytes, 49100);
    return bytes + std::string("\x80\x01\x00\x01", 4) + std::string(48900, 'x');
}
struct BadClient {
    int fd;
    std::size_t sent;
};

}  // namespace

int main(int, char** argv) {
    begin(argv[1]);
    const bool trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
    make_shared_state();
    const auto ports = free_ports(kEngines + 2);
    SiteOf site;
    site.kinds = {"std-8core"};
    site.memory_mb = kMemoryMb;
    site.sockets = kSockets;
    site.classes = {{"lookup", "repeatable", "", 750, 4000, 5000, 1, 1, false}};
    for (int i = 0; i < kEngines; ++i) {
        site.engines.push_back({"s-000000a" + std::to_string(i), "std-8core", ports[2 + i]});
        shared()->listed[i] = 1;
        EngineBehaviour b;
        b.index = i;
        b.port = ports[2 + i];
        b.work_s = 0.05;
        start_function([b] {
            if (!freopen("/dev/null", "w", stdout))
                _exit(1);
            record_file() = nullptr;
            run_engine(b);
        });
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
    note("front node: ready, %ld KB resident, limits: %d MB, %d descriptors", resident_kb(node), kMemoryMb, kSockets);

    // Ordinary clients: four connections, requests at a steady rate.
    std::vector<int> clients;
    std::vector<std::string> in(4);
    for (int i = 0; i < 4; ++i)
        clients.push_back(connect_to(ports[0]));
    std::vector<int> seqs(4, 0);
    std::map<std::string, int> answers;
    long sent = 0, peak = 0;
    bool killed = false;
    std::vector<BadClient> bad;
    const std::string bytes = bad_bytes();
    const double start = wall();
    double next_request = start, next_wave = start + kCalm;
    const double end = start + kCalm + kBad + kAfter;
    int waves = 0, bad_answered = 0;
    while (wall() < end && !killed) {
        const double now = wall();
        if (now >= next_request && now < end - 2) {
            const std::size_t c = static_cast<std::size_t>(sent) % 4;
            send_all(clients[c], process_call(++seqs[c], {{"route", "lookup"}, {"trace", hex_id(0xa000 + sent, 16)}, {"patience", "4000"},
                                                          {"customer", "east"}, {"weight", "50.0"}, {"heap_mb", "10"}},
                                              "SELECT * FROM sales_17.orders"));
            ++sent;
            next_request += 1.0 / kRequestsPerSecond;
        }
        if (trouble && now >= next_wave && now < start + kCalm + kBad) {
            for (const BadClient& client : bad)
                close(client.fd);
            bad.clear();
            for (int i = 0; i < kBadClients; ++i)
                if (const int fd = connect_to(ports[0]); fd >= 0)
                    bad.push_back({fd, 0});
            ++waves;
            next_wave = now + 3;
            note("bad clients: %zu connections, each sends %d requests of an unknown class and a message without end",
                 bad.size(), kBadRequests);
        }
        for (BadClient& client : bad) {
            if (client.sent < bytes.size()) {
                const ssize_t n =
                    send(client.fd, bytes.data() + client.sent, bytes.size() - client.sent, MSG_NOSIGNAL | MSG_DONTWAIT);
                client.sent += n > 0 ? static_cast<std::size_t>(n) : 0;
            }
            char chunk[4096];
            if (recv(client.fd, chunk, sizeof chunk, MSG_DONTWAIT) > 0)
                ++bad_answered;
        }
        for (std::size_t c = 0; c < clients.size(); ++c) {
            while (receive_some(clients[c], in[c], 0)) {
                int seq = 0;
                const std::string answer = take_answer(in[c], seq);
                if (answer.empty())
                    break;
                ++answers[answer];
            }
        }
        const long kb = resident_kb(node);
        if (kb > peak) {
            peak = kb;
            if (kb > 20000)
                note("front node: %ld KB resident", kb);
        }
        if (kb > kMemoryMb * 1024L) {
            killed = true;
            note("platform: the front node is over %d MB and is killed", kMemoryMb);
            kill(node, SIGKILL);
        }
        sleep_s(0.002);
    }
    long answered = 0;
    for (const auto& [kind, count] : answers) {
        note("ordinary clients: %d %s", count, kind.c_str());
        answered += count;
    }
    note("ordinary clients: %ld sent, %ld without an answer; bad clients: %d waves, %d reads; peak %ld KB of %d KB", sent,
         sent - answered, waves, bad_answered, peak, kMemoryMb * 1024);
    if (!killed && !is_alive(node))
        finish(kBroken, "BROKEN: the front node ended by itself");
    if (killed)
        finish(kBroken, "BROKEN: the front node crashed: over its memory limit");
    finish(kHeld, "held: the front node stayed within its memory limit");
}
