// Common parts of the cases 6 to 10: the record, child processes, free ports, a small HTTP client.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace review {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline double wall() {
    timeval t{};
    gettimeofday(&t, nullptr);
    return static_cast<double>(t.tv_sec) + t.tv_usec / 1e6;
}
inline double& began() {
    static double at = wall();
    return at;
}
inline double since_start() {
    return wall() - began();
}
inline void sleep_s(double s) {
    if (s > 0)
        usleep(static_cast<useconds_t>(s * 1e6));
}

// ---- The record

inline FILE*& record_file() {
    static FILE* file = nullptr;
    return file;
}
inline void open_record(const char* path) {
    began();
    record_file() = fopen(path, "w");
    if (!record_file()) {
        perror(path);
        exit(kCouldNotRun);
    }
    setvbuf(record_file(), nullptr, _IOLBF, 0);
}
// One line; processes that were forked write to the same file.
inline void note(const char* format, ...) {
    char text[2048];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    char line[2200];
    const int n = snprintf(line, sizeof line, "%8.3f %s\n", since_start(), text);
    if (record_file() && write(fileno(record_file()), line, static_cast<std::size_t>(n)) < 0)
        perror("record");
    fputs(line, stdout);
    fflush(stdout);
}

// ---- Processes

inline std::vector<pid_t>& children() {
    static std::vector<pid_t> all;
    return all;
}
inline std::string& folder() {
    static std::string path;
    return path;
}
// Ends every process that was started, and removes the temporary folder.
inline void clean_up() {
    for (const pid_t pid : children()) {
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
    }
    for (const pid_t pid : children())
        waitpid(pid, nullptr, 0);
    children().clear();
    if (!folder().empty() && !getenv("KEEP"))
        if (system(("rm -rf '" + folder() + "'").c_str()) != 0)
            perror("rm");
}
[[noreturn]] inline void finish(int code, const char* text) {
    note("%s", text);
    note("exit code %d", code);
    clean_up();
    _exit(code);
}
inline void on_end_signal(int) {
    clean_up();
    _exit(kCouldNotRun);
}
inline void begin(const char* record) {
    open_record(record);
    char name[] = "/tmp/review-2-XXXXXX";
    const char* made = mkdtemp(name);
    if (!made)
        finish(kCouldNotRun, "no temporary folder");
    folder() = made;
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_end_signal);
    signal(SIGINT, on_end_signal);
    signal(SIGALRM, on_end_signal);
    alarm(115);
}
inline void write_file(const std::string& path, const std::string& text) {
    const std::string next = path + ".next";
    std::ofstream(next) << text;
    rename(next.c_str(), path.c_str());
}
inline std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}
// A process of its own, from a shell command that ends in `exec`, with its output in a file of the folder.
inline pid_t start_command(const std::string& command, const std::string& output,
                           const std::map<std::string, std::string>& environment = {}) {
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        const int to = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(to, 1);
        dup2(to, 2);
        const int none = open("/dev/null", O_RDONLY);
        dup2(none, 0);
        signal(SIGPIPE, SIG_DFL);
        signal(SIGTERM, SIG_DFL);
        signal(SIGINT, SIG_DFL);
        signal(SIGALRM, SIG_DFL);
        for (const auto& [key, value] : environment)
            setenv(key.c_str(), value.c_str(), 1);
        execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
        _exit(127);
    }
    children().push_back(pid);
    return pid;
}
// A process of its own that runs a function of this program.
template <typename Function>
pid_t start_function(Function run) {
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        children().clear();
        folder().clear();
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        signal(SIGTERM, SIG_DFL);
        signal(SIGALRM, SIG_DFL);
        run();
        _exit(0);
    }
    children().push_back(pid);
    return pid;
}
inline bool is_alive(pid_t pid) {
    return waitpid(pid, nullptr, WNOHANG) == 0;
}
inline bool wait_for_text(const std::string& file, const std::string& text, double seconds) {
    const double until = wall() + seconds;
    while (wall() < until) {
        if (read_file(file).find(text) != std::string::npos)
            return true;
        sleep_s(0.02);
    }
    return false;
}
// The value of a line `name = "value"` of the deploy file.
inline std::string deploy_line(const std::string& name) {
    std::istringstream lines(read_file("deploy/balancer.toml"));
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(name + " = \"", 0) != 0)
            continue;
        const std::size_t from = line.find('"') + 1;
        return line.substr(from, line.rfind('"') - from);
    }
    return "";
}

// The command that starts a sub-command of the program that the deploy file builds: its line `run` with other arguments.
inline std::string program_command(const std::string& arguments) {
    std::string run = deploy_line("run");
    const std::string node = " node";
    if (run.size() < node.size() || run.compare(run.size() - node.size(), node.size(), node) != 0)
        finish(kCouldNotRun, "the line run of deploy/balancer.toml does not end in `node`");
    return run.substr(0, run.size() - node.size()) + " " + arguments;
}

// ---- Sockets

inline sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}
// Ports that are free now, all different.
inline std::vector<int> free_ports(std::size_t count) {
    std::vector<int> ports;
    std::vector<int> held;
    for (std::size_t i = 0; i < count; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at = loopback(0);
        socklen_t size = sizeof at;
        if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
            finish(kCouldNotRun, "no free port");
        ports.push_back(ntohs(at.sin_port));
        held.push_back(fd);
    }
    for (const int fd : held)
        close(fd);
    return ports;
}
inline int connect_to(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}
inline bool wait_for_port(int port, double seconds) {
    const double until = wall() + seconds;
    while (wall() < until) {
        const int fd = connect_to(port);
        if (fd >= 0) {
            close(fd);
            return true;
        }
        sleep_s(0.02);
    }
    return false;
}
inline bool send_all(int fd, const std::string& bytes) {
    std::size_t at = 0;
    while (at < bytes.size()) {
        const ssize_t n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        at += static_cast<std::size_t>(n);
    }
    return true;
}
// Appends what arrives within the time. False at the end of the stream; a time-out is no end.
inline bool receive_some(int fd, std::string& to, double seconds) {
    pollfd p{fd, POLLIN, 0};
    if (poll(&p, 1, static_cast<int>(seconds * 1000)) <= 0)
        return true;
    char chunk[65536];
    const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0)
        return false;
    to.append(chunk, static_cast<std::size_t>(n));
    return true;
}

// ---- HTTP, for the statement API

struct HttpAnswer {
    int status = 0;  // 0: no whole answer
    std::string body;
};
// One request on a connection of its own.
inline HttpAnswer http(int port, const std::string& method, const std::string& path,
                       const std::string& headers, const std::string& body, double seconds) {
    HttpAnswer answer;
    const int fd = connect_to(port);
    if (fd < 0)
        return answer;
    send_all(fd, method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(port) + "\r\n" + headers +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    std::string in;
    const double until = wall() + seconds;
    std::size_t head = std::string::npos, length = 0;
    while (wall() < until) {
        if (!receive_some(fd, in, 0.1))
            break;
        if (head == std::string::npos && (head = in.find("\r\n\r\n")) != std::string::npos) {
            std::string lower = in.substr(0, head);
            for (char& c : lower)
                c = static_cast<char>(tolower(c));
            const std::size_t at = lower.find("content-length:");
            length = at == std::string::npos ? 0 : strtoul(lower.c_str() + at + 15, nullptr, 10);
        }
        if (head != std::string::npos && in.size() >= head + 4 + length) {
            answer.status = atoi(in.c_str() + in.find(' ') + 1);
            answer.body = in.substr(head + 4, length);
            break;
        }
    }
    close(fd);
    return answer;
}
// The text of a member of a document, "" if it has none.
inline std::string member_text(const std::string& document, const std::string& name) {
    const std::string key = "\"" + name + "\":\"";
    const std::size_t at = document.find(key);
    if (at == std::string::npos)
        return "";
    const std::size_t from = at + key.size();
    return document.substr(from, document.find('"', from) - from);
}
inline std::string path_of(const std::string& uri) {
    return uri.substr(uri.find('/', uri.find("://") + 3));
}

}  // namespace review
