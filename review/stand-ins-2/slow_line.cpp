// Case 8: clients on slow lines, which read all the time, are closed as slow readers with requests open.
#include "platform.hpp"

using namespace review;

namespace {

constexpr int kEngines = 3;
constexpr int kSegment = 1400;
constexpr int kRequests = 32;  // open at once on one connection, as many as the pages allow

constexpr std::size_t kClients = 40;
constexpr double kBytesPerSecond = 75'000;  // of each client's line
constexpr double kAskFor = 2.5;              // s over which the requests are sent

struct Client {
    int fd = -1;
    std::string in;
    std::set<int> open;
    std::map<std::string, int> answers;
    bool ended = false;
    double read = 0;  // bytes
    double ended_at = 0;
    int asked = 0;
};

}  // namespace

int main(int, char** argv) {
    begin(argv[1]);
    const bool trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
    make_shared_state();
    const auto ports = free_ports(kEngines + 2);
    SiteOf site;
    site.kinds = {"std-8core"};
    site.cores = 64;
    site.memory_mb = 32;
    site.sockets = 512;
    site.classes = {{"report", "repeatable", "", 5000, 25000, 5000, 1, 1, false}};
    std::string rows;
    for (int i = 0; rows.size() + 60 < 5900; ++i)
        rows += std::to_string(100000 + i) + "\taso-east\tmeter reading of the month, settled\n";
    for (int i = 0; i < kEngines; ++i) {
        site.engines.push_back({"s-000000a" + std::to_string(i), "std-8core", ports[2 + i]});
        shared()->listed[i] = 1;
        EngineBehaviour b;
        b.index = i;
        b.port = ports[2 + i];
        b.work_s = 0.3;
        b.rows = rows;
        b.pages = 8;
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
    sleep_s(1);
    const double bytes_per_s = trouble ? kBytesPerSecond : 1e9;
    std::vector<Client> clients(kClients);
    const double start = wall();
    std::uint64_t id = 1;
    for (Client& c : clients) {
        c.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int window = 16384;
        setsockopt(c.fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        setsockopt(c.fd, IPPROTO_TCP, TCP_MAXSEG, &kSegment, sizeof kSegment);
        sockaddr_in at = loopback(ports[0]);
        if (connect(c.fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
            finish(kCouldNotRun, "no connection to the front node");
    }
    note("clients: %zu connections, %d requests each over %.1f s, results of some 47 KB; %s", clients.size(), kRequests, kAskFor,
         trouble ? "each reads 75 KB/s without a pause" : "each reads at once what has come");
    double longest = 0, last = wall();
    while (wall() - start < 27) {
        bool busy = false;
        const double now = wall();
        longest = std::max(longest, now - last);
        last = now;
        for (Client& c : clients) {
            if (!c.ended && c.asked < kRequests && now - start >= kAskFor * c.asked / kRequests) {
                busy = true;
                c.open.insert(++c.asked);
                send_all(c.fd, process_call(c.asked, {{"route", "report"}, {"trace", hex_id(0xb000 + id++, 16)},
                                                      {"patience", "25000"}, {"customer", "east"}, {"weight", "300.0"},
                                                      {"heap_mb", "10"}},
                                            "SELECT * FROM sales_17.orders"));
            }
            if (c.ended || (c.open.empty() && c.asked == kRequests))
                continue;
            busy = true;
            const double allowed = (now - start) * bytes_per_s - c.read;
            if (allowed < 1400)
                continue;
            char chunk[65536];
            const ssize_t n = recv(c.fd, chunk, std::min<std::size_t>(sizeof chunk, static_cast<std::size_t>(std::min(allowed, 65536.0))), MSG_DONTWAIT);
            if (n == 0 || (n < 0 && errno != EAGAIN)) {
                c.ended = true;
                c.ended_at = now - start;
                note("client %td: the front node ended the connection after %.1f s with %zu requests open%s", &c - clients.data(),
                     c.ended_at, c.open.size(), n < 0 ? ", by a reset" : "");
                continue;
            }
            if (n < 0) {
                // Nothing was there to read: the line is idle, it does not save up.
                c.read = std::max(c.read, (now - start) * bytes_per_s - 20000);
                continue;
            }
            c.read += static_cast<double>(n);
            c.in.append(chunk, static_cast<std::size_t>(n));
            int seq = 0;
            for (std::string answer = take_answer(c.in, seq); !answer.empty(); answer = take_answer(c.in, seq)) {
                ++c.answers[answer];
                c.open.erase(seq);
            }
        }
        if (!busy)
            break;
        sleep_s(0.005);
    }
    std::map<std::string, int> answers;
    std::size_t lost = 0;
    for (const Client& c : clients) {
        for (const auto& [kind, count] : c.answers)
            answers[kind] += count;
        lost += c.ended ? c.open.size() : 0;
    }
    for (const auto& [kind, count] : answers)
        note("clients: %d %s", count, kind.c_str());
    note("clients: %zu requests lost with their connection; after %.1f s; longest time without reading %.3f s", lost,
         wall() - start, longest);
    kill(node, SIGTERM);
    sleep_s(0.3);
    std::istringstream log(read_file(folder() + "/node.log"));
    std::string status;
    for (std::string line; std::getline(log, line);)
        if (line.find("closed=") != std::string::npos)
            status = line.substr(line.find("closed=")).substr(0, 60);
    note("front node: %s", status.c_str());
    if (lost > 0)
        finish(kBroken, "BROKEN: the front node ended connections of clients that read, with requests open");
    finish(kHeld, "held: no connection was ended with requests open");
}
