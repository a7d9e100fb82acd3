// Case 10: a planned restart cuts the last document of a served statement off.
#include "common.hpp"

using namespace review;

namespace {

constexpr int kEngines = 2;
constexpr int kRows = 2000, kRowBytes = 1000;  // one document of 2 MB
constexpr int kSegment = 1400;      // bytes of a TCP segment, as on an ordinary line
constexpr std::size_t kChunk = 4096;  // read at once ...
constexpr double kChunkEvery = 0.02;  // ... every so often: some 200 KB/s

std::string front_config(int port, const std::vector<int>& engines) {
    std::string list;
    for (std::size_t i = 0; i < engines.size(); ++i)
        list += "    'node-" + std::to_string(i + 1) + "': g.engine('127.0.0.1:" + std::to_string(engines[i]) +
                "', zone='office'),\n";
    return "local g = import 'gatetiller.libsonnet';\ng.front('office-1') {\n  listen: ['127.0.0.1:" +
           std::to_string(port) +
           "'],\n  zone: 'office',\n  fronts: 1,\n  classes: {\n"
           "    report: g.class('1.5s', '20s') { aim_stretch: 2.5, threads: 3, value: 15, late_share: 0.4 },\n  },\n"
           "  tenants: { others: g.tenant(1) },\n  kinds: { std: g.kind(8, '16GiB') },\n  engines: {\n" +
           list +
           "  },\n  facts+: { reports: 'answers', priorities: true, when_short: 'swap' },\n  rules+: { attempts: 6 },\n"
           "  times: { drain_patience: '30s' },\n  routes: [g.route('report')],\n}\n";
}

// A connection over a slow line: small segments, a small window.
int connect_slowly(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int window = 16384;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kSegment, sizeof kSegment);
    sockaddr_in at = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
        finish(kCouldNotRun, "no connection to the front");
    return fd;
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
                       "', page: '4MB', machine: { cores: 8, memory: '16GiB', priorities: true, when_short: 'swap' } }\n");
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

    const std::string headers = "X-Trino-User: east\r\n";
    const auto first = http(ports[0], "POST", "/v1/statement", headers,
                            "SELECT n, value FROM sales_17.orders /* gt: work_ms=50 rows=" + std::to_string(kRows) +
                                " row_bytes=" + std::to_string(kRowBytes) + " */",
                            5);
    if (first.status != 200)
        finish(kCouldNotRun, "the statement was not accepted");
    const std::string path = path_of(member_text(first.body, "nextUri"));
    note("client: POST is answered 200; GET over a slow line, some %.0f KB/s", kChunk / kChunkEvery / 1000);
    const int fd = connect_slowly(ports[0]);
    send_all(fd, "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(ports[0]) + "\r\n" + headers + "\r\n");
    std::string in;
    std::size_t head = std::string::npos, length = 0;
    bool ended = false, told = false;
    const double asked = wall();
    while (wall() - asked < 40) {
        char chunk[kChunk];
        pollfd p{fd, POLLIN, 0};
        if (poll(&p, 1, 5000) <= 0)
            break;
        const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0) {
            ended = true;
            break;
        }
        in.append(chunk, static_cast<std::size_t>(n));
        if (head == std::string::npos && (head = in.find("\r\n\r\n")) != std::string::npos) {
            const std::size_t at = in.find("Content-Length:");
            length = at < head ? strtoul(in.c_str() + at + 15, nullptr, 10) : 0;
            note("front: the answer begins, a document of %zu bytes", length);
        }
        if (head != std::string::npos && in.size() >= head + 4 + length)
            break;
        if (trouble && !told && in.size() > 50000) {
            told = true;
            note("operator: SIGTERM for a planned restart, after %zu bytes were read; drain_patience is 30 s", in.size());
            kill(front, SIGTERM);
        }
        sleep_s(kChunkEvery);
    }
    const std::size_t got = head == std::string::npos ? 0 : in.size() - head - 4;
    const bool whole = head != std::string::npos && length > 0 && got >= length;
    note("client: %zu of %zu bytes after %.1f s%s", got, length, wall() - asked,
         ended ? "; the connection has ended" : "");
    bool again = false;
    if (!whole) {
        const auto answer = http(ports[0], "GET", path, headers, "", 5);
        again = answer.status == 200 && answer.body.find("\"state\":\"FINISHED\"") != std::string::npos;
        note("client: asks for the same document again: %s", answer.status == 0 ? "no answer" : std::to_string(answer.status).c_str());
    } else if (in.find("\"nextUri\"") != std::string::npos) {
        finish(kCouldNotRun, "the document was not the last one");
    }
    std::istringstream lines(read_file(log));
    for (std::string line; std::getline(lines, line);)
        if (line.find("statement") != std::string::npos || line.find("drain") != std::string::npos)
            note("front: %s", line.c_str());
    if (whole || again)
        finish(kHeld, "held: the client got its whole answer");
    finish(kBroken, "BROKEN: the front ended and cut the answer of a statement that it logs as served");
}
