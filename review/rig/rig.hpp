// Stand-ins of the platform for the cases of this review: clients (Thrift), query engines (RESP), the name
// service (DNS) and the platform that starts the front node with the command `run` of the deploy file. One
// thread, one epoll loop, the real clock, loopback addresses only. Written from the platform's pages alone;
// it uses no code of the project.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sched.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rig {

// The case could not run: exit code 2.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline std::int64_t clock_us(clockid_t id) {
    timespec t{};
    clock_gettime(id, &t);
    return std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1000;
}
inline std::int64_t now_us() {
    return clock_us(CLOCK_MONOTONIC);
}
inline std::int64_t unix_ms() {
    return clock_us(CLOCK_REALTIME) / 1000;
}

// ---- The record: what was sent, answered and run

inline std::FILE*& record_file() {
    static std::FILE* file = nullptr;
    return file;
}
inline std::int64_t& record_start() {
    static std::int64_t start = now_us();
    return start;
}
inline void record(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void record(const char* format, ...) {
    if (!record_file())
        return;
    std::fprintf(record_file(), "%9.3f ", static_cast<double>(now_us() - record_start()) / 1e6);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record_file(), format, arguments);
    va_end(arguments);
    std::fputc('\n', record_file());
}

// ---- The loop

class Loop {
public:
    using TimerId = std::uint64_t;
    Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}

    void watch(int fd, std::uint32_t events, std::function<void(std::uint32_t)> call) {
        epoll_event event{};
        event.events = events;
        event.data.fd = fd;
        const bool known = calls_.contains(fd);
        calls_[fd] = std::make_shared<std::function<void(std::uint32_t)>>(std::move(call));
        epoll_ctl(epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
    }
    void change(int fd, std::uint32_t events) {
        epoll_event event{};
        event.events = events;
        event.data.fd = fd;
        epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
    }
    void forget(int fd) {
        if (calls_.erase(fd) > 0)
            epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    }
    TimerId after_ms(double ms, std::function<void()> call) {
        const TimerId id = ++last_timer_;
        timers_.emplace(std::pair(now_us() + static_cast<std::int64_t>(ms * 1000), id), std::move(call));
        return id;
    }
    void turn(int max_wait_ms) {
        int wait = max_wait_ms;
        if (!timers_.empty()) {
            const std::int64_t left = (timers_.begin()->first.first - now_us() + 999) / 1000;
            wait = static_cast<int>(std::clamp<std::int64_t>(left, 0, max_wait_ms));
        }
        epoll_event events[256];
        const int n = epoll_wait(epoll_, events, 256, wait);
        for (int i = 0; i < n; ++i) {
            const auto found = calls_.find(events[i].data.fd);
            if (found == calls_.end())
                continue;
            const auto call = found->second;  // the call may forget the descriptor
            (*call)(events[i].events);
        }
        while (!timers_.empty() && timers_.begin()->first.first <= now_us()) {
            auto node = timers_.extract(timers_.begin());
            node.mapped()();
        }
    }
    // Runs for so long, or until `done`.
    bool run(double ms, const std::function<bool()>& done = nullptr) {
        const std::int64_t until = now_us() + static_cast<std::int64_t>(ms * 1000);
        for (;;) {
            if (done && done())
                return true;
            const std::int64_t left = until - now_us();
            if (left <= 0)
                return false;
            turn(static_cast<int>(std::min<std::int64_t>(left / 1000 + 1, 20)));
        }
    }

private:
    int epoll_;
    std::map<int, std::shared_ptr<std::function<void(std::uint32_t)>>> calls_;
    std::map<std::pair<std::int64_t, TimerId>, std::function<void()>> timers_;
    TimerId last_timer_ = 0;
};

// ---- Sockets

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}
inline int new_socket(int type) {
    const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        throw CannotRun(std::string("socket: ") + std::strerror(errno));
    return fd;
}
inline std::uint16_t bind_loopback(int fd) {
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw CannotRun(std::string("bind: ") + std::strerror(errno));
    return ntohs(address.sin_port);
}
// A port that is free now; it is closed again at once.
inline std::uint16_t free_port() {
    const int fd = new_socket(SOCK_STREAM);
    const auto port = bind_loopback(fd);
    close(fd);
    return port;
}

class Stream : public std::enable_shared_from_this<Stream> {
public:
    Stream(Loop& loop, int fd, bool connecting) : loop_(loop), fd_(fd), connecting_(connecting) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Stream() {
        end(false);
    }
    static std::shared_ptr<Stream> connect(Loop& loop, std::uint16_t port) {
        const int fd = new_socket(SOCK_STREAM);
        sockaddr_in to = loopback(port);
        const int result = ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
        auto stream = std::make_shared<Stream>(loop, fd, true);
        if (result != 0 && errno != EINPROGRESS)
            stream->end(true);
        else
            stream->start();
        return stream;
    }
    void start() {
        const std::weak_ptr<Stream> weak = weak_from_this();
        loop_.watch(fd_, EPOLLIN | (connecting_ ? EPOLLOUT : 0u), [weak](std::uint32_t events) {
            if (const auto self = weak.lock())
                self->ready(events);
        });
    }
    void send(std::string_view bytes) {
        if (fd_ < 0)
            return;
        out_.append(bytes);
        if (!connecting_)
            flush();
    }
    // Ends the connection; what was not written is dropped.
    void shut() {
        end(false);
    }
    // Ends it with a reset.
    void reset() {
        if (fd_ >= 0) {
            const linger now{1, 0};
            setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        end(false);
    }
    bool open() const {
        return fd_ >= 0;
    }
    bool connected() const {
        return fd_ >= 0 && !connecting_;
    }
    std::size_t unsent() const {
        return out_.size();
    }
    int fd() const {
        return fd_;
    }
    std::string in;
    std::function<void()> on_data;
    std::function<void()> on_end;
    std::function<void()> on_connected;

private:
    void ready(std::uint32_t events) {
        const auto self = shared_from_this();
        if (connecting_) {
            int error = 0;
            socklen_t size = sizeof error;
            getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0)
                return end(true);
            if (!(events & EPOLLOUT))
                return;
            connecting_ = false;
            loop_.change(fd_, EPOLLIN);
            if (on_connected)
                on_connected();
            flush();
        }
        if (fd_ >= 0 && (events & EPOLLOUT))
            flush();
        if (fd_ >= 0 && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
            receive();
    }
    void receive() {
        char chunk[65536];
        for (int i = 0; i < 16 && fd_ >= 0; ++i) {
            const ssize_t n = recv(fd_, chunk, sizeof chunk, 0);
            if (n > 0) {
                in.append(chunk, static_cast<std::size_t>(n));
                if (on_data)
                    on_data();
                continue;
            }
            if (n < 0 && (errno == EAGAIN || errno == EINTR))
                return;
            return end(true);
        }
    }
    void flush() {
        while (fd_ >= 0 && !out_.empty()) {
            const ssize_t n = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0 && errno == EAGAIN)
                break;
            if (n < 0)
                return;  // the end is read
            out_.erase(0, static_cast<std::size_t>(n));
        }
        if (fd_ >= 0)
            loop_.change(fd_, EPOLLIN | (out_.empty() ? 0u : EPOLLOUT));
    }
    void end(bool tell) {
        if (fd_ < 0)
            return;
        loop_.forget(fd_);
        close(fd_);
        fd_ = -1;
        if (tell && on_end)
            on_end();
    }

    Loop& loop_;
    int fd_;
    bool connecting_;
    std::string out_;
};

class Listener {
public:
    // `fd`: a listening socket of Listener::open().
    Listener(Loop& loop, int fd, std::function<void(std::shared_ptr<Stream>)> accepted)
        : loop_(loop), fd_(fd), accepted_(std::move(accepted)) {
        loop_.watch(fd_, EPOLLIN, [this](std::uint32_t) {
            for (;;) {
                const int accepted_fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (accepted_fd < 0)
                    return;
                auto stream = std::make_shared<Stream>(loop_, accepted_fd, false);
                stream->start();
                accepted_(std::move(stream));
            }
        });
    }
    // Returns a listening socket and sets its port.
    static int open(std::uint16_t& port) {
        const int fd = new_socket(SOCK_STREAM);
        port = bind_loopback(fd);
        if (::listen(fd, 1024) != 0)
            throw CannotRun("listen");
        return fd;
    }
    ~Listener() {
        loop_.forget(fd_);
        close(fd_);
    }

private:
    Loop& loop_;
    int fd_;
    std::function<void(std::shared_ptr<Stream>)> accepted_;
};

// ---- Query engines

inline std::string resp_array(const std::vector<std::string>& words) {
    std::string out = "*" + std::to_string(words.size()) + "\r\n";
    for (const auto& word : words)
        out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    return out;
}
// Reads one array from the front of `in`; empty if it is not complete.
inline std::vector<std::string> take_array(std::string& in) {
    std::vector<std::string> words;
    std::size_t at = 0;
    const auto number = [&](char marker, std::size_t& value) {
        const std::size_t end = in.find("\r\n", at);
        if (end == std::string::npos)
            return false;
        if (in[at] != marker)
            throw std::runtime_error("not RESP: " + in.substr(at, 20));
        value = std::strtoull(in.c_str() + at + 1, nullptr, 10);
        at = end + 2;
        return true;
    };
    std::size_t count = 0;
    if (in.empty() || !number('*', count))
        return {};
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t size = 0;
        if (at >= in.size() || !number('$', size) || in.size() < at + size + 2)
            return {};
        words.push_back(in.substr(at, size));
        at += size + 2;
    }
    in.erase(0, at);
    return words;
}
inline std::map<std::string, std::string> parse_fields(const std::string& text) {
    std::map<std::string, std::string> fields;
    std::stringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ','))
        if (const auto equals = part.find('='); equals != std::string::npos)
            fields[part.substr(0, equals)] = part.substr(equals + 1);
    return fields;
}

struct Engine;
struct Do {  // one request as it arrived
    Engine* engine = nullptr;
    std::shared_ptr<Stream> stream;
    std::string id, body;
    std::map<std::string, std::string> fields;
    std::int64_t at = 0;
    std::shared_ptr<bool> given_up = std::make_shared<bool>(false);
};

struct Engine {
    std::string name, zone = "east", kind = "std";
    int cell = 2, weight = 4;
    bool draining = false, gone = false;
    std::int64_t started_ms = 0;
    std::uint16_t port = 0;
    std::function<void(const Do&)> on_do;
    // Other commands (undo, bump, page, forget), as words. `page` is answered by the case.
    std::function<void(Engine&, const std::shared_ptr<Stream>&, const std::vector<std::string>&)> on_other;
    std::set<std::shared_ptr<Stream>> streams;
    std::map<std::pair<Stream*, std::string>, std::shared_ptr<bool>> open;
    std::unique_ptr<Listener> listener;
    std::size_t accepted = 0, requests = 0;

    int listening = -1;

    // Opens the listening socket. An engine in a process of its own calls it before that process is forked.
    void listen() {
        listening = Listener::open(port);
    }
    void start(Loop& loop) {
        if (listening < 0)
            listen();
        listener = std::make_unique<Listener>(loop, std::exchange(listening, -1),
                                              [this](std::shared_ptr<Stream> stream) {
                                                  accept(std::move(stream));
                                              });
    }
    void close_listener() {
        if (listening >= 0)
            close(std::exchange(listening, -1));
    }
    void accept(std::shared_ptr<Stream> stream) {
        ++accepted;
        streams.insert(stream);
        Stream* const raw = stream.get();
        stream->on_data = [this, raw] {
            take(raw->shared_from_this());
        };
        stream->on_end = [this, raw] {
            give_up_all(raw);
            streams.erase(raw->shared_from_this());
        };
    }
    void take(const std::shared_ptr<Stream>& stream) {
        for (;;) {
            const auto words = take_array(stream->in);
            if (words.empty())
                return;
            if (words[0] == "do" && words.size() == 4) {
                ++requests;
                Do request{this, stream, words[1], words[3], parse_fields(words[2]), now_us()};
                open[{stream.get(), request.id}] = request.given_up;
                if (on_do)
                    on_do(request);
                continue;
            }
            if (words[0] == "undo" && words.size() == 2)
                give_up(stream.get(), words[1]);
            if (on_other)
                on_other(*this, stream, words);
        }
    }
    void give_up(Stream* stream, const std::string& id) {
        const auto found = open.find({stream, id});
        if (found == open.end())
            return;
        *found->second = true;
        open.erase(found);
    }
    void give_up_all(Stream* stream) {
        for (auto at = open.begin(); at != open.end();)
            if (at->first.first == stream) {
                *at->second = true;
                at = open.erase(at);
            } else {
                ++at;
            }
    }
    static void answer(const Do& request, const std::string& word, const std::string& fields,
                       const std::string& body) {
        if (*request.given_up || !request.stream->open())
            return;
        request.engine->open.erase({request.stream.get(), request.id});
        request.stream->send(resp_array({request.id, word, fields, body}));
    }
    // A complete result of one page.
    static void hit(const Do& request, const std::string& rows) {
        answer(request, "HIT", "chunks=1,spent=5,wanted=8,gauges=inflight:1;queue:0", rows);
    }
};

// ---- The name service

class NameService {
public:
    explicit NameService(Loop& loop) : loop_(loop), fd_(new_socket(SOCK_DGRAM)) {
        const int size = 4 * 1024 * 1024;
        setsockopt(fd_, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
        port_ = bind_loopback(fd_);
        loop_.watch(fd_, EPOLLIN, [this](std::uint32_t) {
            read();
        });
    }
    ~NameService() {
        loop_.forget(fd_);
        close(fd_);
    }
    std::uint16_t port() const {
        return port_;
    }
    std::vector<Engine*> engines;
    std::uint32_t serial = 1;
    bool silent = false;
    double delay_ms = 0;
    std::size_t questions = 0, answer_bytes = 0;

    // The configuration's member `known`.
    std::string known() const {
        std::string instances;
        for (const Engine* engine : engines)
            if (!engine->gone)
                instances += (instances.empty() ? "" : ",") + std::string("{\"instanceId\":\"") +
                             engine->name + "\",\"hostPort\":\"127.0.0.1:" + std::to_string(engine->port) +
                             "\",\"zone\":\"" + engine->zone + "\",\"machineType\":\"" + engine->kind +
                             "\",\"cell\":" + std::to_string(engine->cell) + ",\"lifecycle\":\"" +
                             (engine->draining ? "leaving" : "active") +
                             "\",\"weight\":" + std::to_string(engine->weight) +
                             ",\"startedAtMs\":" + std::to_string(engine->started_ms) + "}";
        return "{\"offset\":" + std::to_string(serial) + ",\"batch\":[{\"offset\":" + std::to_string(serial) +
               ",\"topology\":{\"generation\":1,\"reset\":true,\"instances\":[" + instances + "]}}]}";
    }

private:
    static void number(std::string& out, std::uint32_t value, int bytes) {
        for (int i = bytes - 1; i >= 0; --i)
            out.push_back(static_cast<char>(value >> (8 * i)));
    }
    static void label(std::string& out, const std::string& text) {
        out.push_back(static_cast<char>(text.size()));
        out += text;
    }
    void read() {
        char buffer[2048];
        sockaddr_in from{};
        socklen_t size = sizeof from;
        for (;;) {
            const ssize_t n =
                recvfrom(fd_, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
            if (n < 12)
                return;
            ++questions;
            if (silent)
                continue;
            const std::string answer = answer_to(std::string_view(buffer, static_cast<std::size_t>(n)));
            answer_bytes = answer.size();
            const auto say = [this, from, answer] {
                sendto(fd_, answer.data(), answer.size(), 0, reinterpret_cast<const sockaddr*>(&from),
                       sizeof from);
            };
            if (delay_ms > 0)
                loop_.after_ms(delay_ms, say);
            else
                say();
        }
    }
    std::string answer_to(std::string_view question) const {
        std::size_t listed = 0;
        for (const Engine* engine : engines)
            listed += engine->gone ? 0 : 1;
        std::string out(question.substr(0, 2));
        number(out, 0x8400, 2);
        number(out, 1, 2);
        number(out, static_cast<std::uint32_t>(listed), 2);      // answers: SRV
        number(out, 1, 2);                                       // authority: SOA
        number(out, static_cast<std::uint32_t>(2 * listed), 2);  // additional: A, TXT
        out += question.substr(12);                              // the question as it came
        // The first zone's suffix is written once per zone; further targets point to it.
        std::map<std::string, std::uint32_t> zone_at, target_at;
        for (const Engine* engine : engines) {
            if (engine->gone)
                continue;
            number(out, 0xc00c, 2);
            number(out, 33, 2), number(out, 1, 2), number(out, 0, 4);
            const std::size_t length_at = out.size();
            number(out, 0, 2);
            number(out, engine->draining ? 1 : 0, 2);
            number(out, static_cast<std::uint32_t>(engine->weight * 10), 2);
            number(out, engine->port, 2);
            const auto here = static_cast<std::uint32_t>(out.size());
            if (here < 0x4000)
                target_at[engine->name] = here;
            label(out, engine->name);
            name_suffix(out, engine->zone, zone_at);
            const auto length = static_cast<std::uint32_t>(out.size() - length_at - 2);
            out[length_at] = static_cast<char>(length >> 8), out[length_at + 1] = static_cast<char>(length);
        }
        number(out, 0xc00c, 2);
        number(out, 6, 2), number(out, 1, 2), number(out, 0, 4);
        number(out, 2 + 20 + 2, 2);
        number(out, 0xc00c, 2), number(out, 0xc00c, 2);
        number(out, serial, 4);
        for (int i = 0; i < 4; ++i)
            number(out, 60, 4);
        for (const Engine* engine : engines) {
            if (engine->gone)
                continue;
            owner(out, *engine, target_at, zone_at);
            number(out, 1, 2), number(out, 1, 2), number(out, 0, 4), number(out, 4, 2);
            number(out, INADDR_LOOPBACK, 4);
            owner(out, *engine, target_at, zone_at);
            number(out, 16, 2), number(out, 1, 2), number(out, 0, 4);
            std::string text;
            label(text, "kind=" + engine->kind);
            label(text, "cell=" + std::to_string(engine->cell));
            label(text, "started=" + std::to_string(engine->started_ms));
            number(out, static_cast<std::uint32_t>(text.size()), 2);
            out += text;
        }
        return out;
    }
    static void name_suffix(std::string& out, const std::string& zone,
                            std::map<std::string, std::uint32_t>& zone_at) {
        if (const auto found = zone_at.find(zone); found != zone_at.end())
            return number(out, 0xc000 | found->second, 2);
        if (out.size() < 0x4000)
            zone_at[zone] = static_cast<std::uint32_t>(out.size());
        label(out, zone);
        label(out, "hosts");
        out.push_back('\0');
    }
    static void owner(std::string& out, const Engine& engine,
                      const std::map<std::string, std::uint32_t>& target_at,
                      std::map<std::string, std::uint32_t>& zone_at) {
        if (const auto found = target_at.find(engine.name); found != target_at.end())
            return number(out, 0xc000 | found->second, 2);
        label(out, engine.name);
        name_suffix(out, engine.zone, zone_at);
    }

    Loop& loop_;
    int fd_;
    std::uint16_t port_ = 0;
};

// ---- Clients

struct Answer {
    std::string how;  // served, refused, failed; lost: the connection ended without one
    std::string rows;
    std::string pause;
};

inline std::string hex(std::mt19937_64& random, int digits) {
    std::string text;
    for (int i = 0; i < digits; ++i)
        text.push_back("0123456789abcdef"[random() % 16]);
    return text;
}
inline std::string be32(std::uint32_t value) {
    return {static_cast<char>(value >> 24), static_cast<char>(value >> 16), static_cast<char>(value >> 8),
            static_cast<char>(value)};
}
inline std::string thrift_text(std::string_view text) {
    return be32(static_cast<std::uint32_t>(text.size())) + std::string(text);
}
inline std::string frame(const std::string& message) {
    return be32(static_cast<std::uint32_t>(message.size())) + message;
}
inline std::string process_frame(std::int32_t sequence, const std::map<std::string, std::string>& fields,
                                 std::string_view statement) {
    std::string m = be32(0x80010001) + thrift_text("process") + be32(static_cast<std::uint32_t>(sequence));
    m += std::string("\x0d\x00\x01\x0b\x0b", 5) + be32(static_cast<std::uint32_t>(fields.size()));
    for (const auto& [name, value] : fields)
        m += thrift_text(name) + thrift_text(value);
    m += std::string("\x0b\x00\x02", 3) + thrift_text(statement) + std::string(1, '\0');
    return frame(m);
}
inline std::string give_up_frame(std::int32_t sequence, std::int32_t given_up) {
    return frame(be32(0x80010004) + thrift_text("giveUp") + be32(static_cast<std::uint32_t>(sequence)) +
                 std::string("\x08\x00\x01", 3) + be32(static_cast<std::uint32_t>(given_up)) +
                 std::string(1, '\0'));
}
inline std::string probe_frame(std::int32_t sequence) {
    return frame(be32(0x80010001) + thrift_text("probe") + be32(static_cast<std::uint32_t>(sequence)) +
                 std::string("\x02\x00\x01\x00\x00", 5));
}

// Reads a reply. Throws if it can't be read.
struct Reply {
    std::string method;
    std::int32_t sequence = 0;
    Answer answer;
};
class ReplyReader {
public:
    explicit ReplyReader(std::string_view bytes) : bytes_(bytes) {}
    Reply read() {
        Reply reply;
        const std::uint32_t head = u32();
        if ((head & 0xffff0000) != 0x80010000)
            throw std::runtime_error("reply: bad version");
        reply.method = text();
        reply.sequence = static_cast<std::int32_t>(u32());
        if ((head & 0xff) == 3) {
            reply.answer.how = "failed";
            return reply;
        }
        if ((head & 0xff) != 2)
            throw std::runtime_error("reply: bad type");
        const int type = byte();
        const int id = u16();
        if (type != 12)
            throw std::runtime_error("reply: no struct");
        reply.answer.how = id == 0 ? "served" : id == 1 ? "refused" : "failed";
        for (int field = byte(); field != 0; field = byte()) {
            u16();
            if (field == 11)
                reply.answer.rows = text();
            else if (field == 2)
                byte();
            else if (field == 13) {
                u16();
                const std::uint32_t count = u32();
                for (std::uint32_t i = 0; i < count; ++i) {
                    const auto name = text(), value = text();
                    if (name == "pause")
                        reply.answer.pause = value;
                }
            } else {
                throw std::runtime_error("reply: field of type " + std::to_string(field));
            }
        }
        return reply;
    }

private:
    std::string_view raw(std::size_t n) {
        if (bytes_.size() < n)
            throw std::runtime_error("reply: cut short");
        const auto part = bytes_.substr(0, n);
        bytes_.remove_prefix(n);
        return part;
    }
    int byte() {
        return static_cast<unsigned char>(raw(1)[0]);
    }
    int u16() {
        const int high = byte();
        return high << 8 | byte();
    }
    std::uint32_t u32() {
        const auto high = static_cast<std::uint32_t>(u16());
        return high << 16 | static_cast<std::uint32_t>(u16());
    }
    std::string text() {
        return std::string(raw(u32()));
    }
    std::string_view bytes_;
};

struct Client {
    std::string name;
    std::shared_ptr<Stream> stream;
    std::int32_t last = 0;
    std::map<std::int32_t, std::function<void(const Answer&)>> open;
    std::int64_t last_active = now_us();
    bool bad_reply = false;

    static std::shared_ptr<Client> connect(Loop& loop, std::uint16_t port, std::string name = "c") {
        auto client = std::make_shared<Client>();
        client->name = std::move(name);
        client->stream = Stream::connect(loop, port);
        Client* const raw = client.get();
        client->stream->on_data = [raw] {
            raw->take();
        };
        client->stream->on_end = [raw] {
            raw->ended();
        };
        return client;
    }
    ~Client() {
        if (stream)
            stream->on_data = stream->on_end = nullptr;
    }
    std::int32_t ask(const std::map<std::string, std::string>& fields, std::string_view statement,
                     std::function<void(const Answer&)> answered) {
        const std::int32_t sequence = ++last;
        open[sequence] = std::move(answered);
        last_active = now_us();
        stream->send(process_frame(sequence, fields, statement));
        return sequence;
    }
    void probe(std::function<void(const Answer&)> answered) {
        const std::int32_t sequence = ++last;
        open[sequence] = std::move(answered);
        stream->send(probe_frame(sequence));
    }
    void give_up(std::int32_t sequence) {
        open.erase(sequence);
        stream->send(give_up_frame(++last, sequence));
    }
    void take() {
        while (stream->in.size() >= 4) {
            std::uint32_t size = 0;
            for (int i = 0; i < 4; ++i)
                size = size << 8 | static_cast<unsigned char>(stream->in[static_cast<std::size_t>(i)]);
            if (stream->in.size() < 4 + std::size_t{size})
                return;
            const std::string message = stream->in.substr(4, size);
            stream->in.erase(0, 4 + std::size_t{size});
            Reply reply;
            try {
                reply = ReplyReader(message).read();
            } catch (const std::runtime_error& error) {
                bad_reply = true;
                record("%s got an answer that can't be read: %s", name.c_str(), error.what());
                continue;
            }
            last_active = now_us();
            const auto found = open.find(reply.sequence);
            if (found == open.end()) {
                record("%s got an answer to %d, which is not open: %s", name.c_str(), reply.sequence,
                       reply.answer.how.c_str());
                continue;
            }
            const auto answered = std::move(found->second);
            open.erase(found);
            answered(reply.answer);
        }
    }
    void ended() {
        auto lost = std::move(open);
        open.clear();
        for (auto& [sequence, answered] : lost)
            answered({"lost", "", ""});
    }
};

// ---- Stand-ins in processes of their own

// A forked process; it is ended with this object.
class Child {
public:
    static Child start(const std::function<void()>& run) {
        if (record_file())
            std::fflush(record_file());
        Child child;
        child.pid_ = fork();
        if (child.pid_ < 0)
            throw CannotRun("fork");
        if (child.pid_ > 0)
            return child;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        try {
            run();
        } catch (const std::exception& error) {
            record("a stand-in ended: %s", error.what());
        }
        _exit(0);
    }
    Child(Child&& from) noexcept : pid_(std::exchange(from.pid_, -1)) {}
    Child& operator=(Child&&) = delete;
    ~Child() {
        if (pid_ <= 0)
            return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    pid_t pid() const {
        return pid_;
    }

private:
    Child() = default;
    pid_t pid_ = -1;
};

// ---- The platform: starts a front node

struct NodeSettings {
    std::string name = "n0";
    int sockets = 256, memory_mb = 64;
    double cores = 0.5;
    std::string settings;  // JSON
    // "The processes run on one core, which may be shared with other front nodes": the number of that core,
    // of those that this process may use; -1: any of them.
    int core = -1;
};

// `run` of the deploy file.
inline std::string deploy_run() {
    std::ifstream file("deploy/balancer.toml");
    std::string line;
    while (std::getline(file, line))
        if (line.rfind("run = \"", 0) == 0)
            return line.substr(7, line.rfind('"') - 7);
    throw CannotRun("no line `run` in deploy/balancer.toml; the script starts from the repository's root");
}

// Restricts this process to the core with that number among those that it may use.
inline void pin_to_core(int number) {
    cpu_set_t allowed, one;
    CPU_ZERO(&allowed);
    CPU_ZERO(&one);
    if (sched_getaffinity(0, sizeof allowed, &allowed) != 0)
        return;
    for (int cpu = 0; cpu < CPU_SETSIZE; ++cpu)
        if (CPU_ISSET(cpu, &allowed) && number-- == 0)
            CPU_SET(cpu, &one);
    if (CPU_COUNT(&one) == 1)
        sched_setaffinity(0, sizeof one, &one);
}

class Node {
public:
    Node(NodeSettings settings, std::string folder)
        : settings_(std::move(settings)), folder_(std::move(folder)) {}
    ~Node() {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
    }
    void write_config(const NameService& names) {
        if (port == 0)
            port = free_port();
        const std::string text =
            "{\"name\":\"" + settings_.name + "\",\"listen\":\"127.0.0.1:" + std::to_string(port) +
            "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":" + std::to_string(settings_.cores) +
            ",\"memory_mb\":" + std::to_string(settings_.memory_mb) +
            ",\"sockets\":" + std::to_string(settings_.sockets) +
            "},\"dns\":\"127.0.0.1:" + std::to_string(names.port()) + "\",\"known\":" + names.known() +
            ",\"settings\":" + settings_.settings + "}";
        const std::string path = config() + ".new";
        std::ofstream(path) << text;
        if (std::rename(path.c_str(), config().c_str()) != 0)
            throw CannotRun("rename " + path);
    }
    std::string config() const {
        return folder_ + "/" + settings_.name + ".json";
    }
    void start(const NameService& names) {
        write_config(names);
        const std::string command = deploy_run();
        pid_ = fork();
        if (pid_ < 0)
            throw CannotRun("fork");
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("EDGE_NAME", settings_.name.c_str(), 1);
            setenv("EDGE_LISTEN", ("127.0.0.1:" + std::to_string(port)).c_str(), 1);
            setenv("EDGE_CONFIG", config().c_str(), 1);
            setenv("TMPDIR", folder_.c_str(), 1);
            const int log = open((folder_ + "/" + settings_.name + ".log").c_str(),
                                 O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
            dup2(log, 1);
            dup2(log, 2);
            close_range(3, ~0U, 0);
            if (settings_.core >= 0)
                pin_to_core(settings_.core);
            const rlimit descriptors{static_cast<rlim_t>(settings_.sockets),
                                     static_cast<rlim_t>(settings_.sockets)};
            setrlimit(RLIMIT_NOFILE, &descriptors);
            execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        record("platform: started front node %s as process %d with `%s`, %d MB, %d descriptors",
               settings_.name.c_str(), pid_, command.c_str(), settings_.memory_mb, settings_.sockets);
    }
    // Starts it and waits until it answers a probe.
    void start_ready(Loop& loop, const NameService& names) {
        start(names);
        const bool ready = loop.run(30'000, [&] {
            if (!alive())
                return true;
            bool answered = false, over = false;
            const auto client = Client::connect(loop, port, "platform");
            client->probe([&](const Answer& answer) {
                answered = answer.how == "served";
                over = true;
            });
            loop.run(300, [&] {
                return over || !client->stream->open();
            });
            if (!answered)
                loop.run(50);
            return answered;
        });
        if (!ready || !alive())
            throw CannotRun("the front node was not ready within 30 s");
        record("platform: front node %s has answered its probe", settings_.name.c_str());
    }
    void signal(int number) {
        record("platform: signal %d (%s) to %s", number, strsignal(number), settings_.name.c_str());
        kill(pid_, number);
    }
    // False once the process has ended; `status()` then holds what waitpid said.
    bool alive() {
        if (pid_ <= 0)
            return false;
        if (waitpid(pid_, &status_, WNOHANG) == pid_) {
            record("platform: front node %s ended, %s %d", settings_.name.c_str(),
                   WIFSIGNALED(status_) ? "by signal" : "with code",
                   WIFSIGNALED(status_) ? WTERMSIG(status_) : WEXITSTATUS(status_));
            pid_ = -1;
            return false;
        }
        return true;
    }
    int status() const {
        return status_;
    }
    pid_t pid() const {
        return pid_;
    }
    // A value of /proc/PID/status in KiB; -1 if it is not there.
    long memory_kb(const char* key) const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        std::string line;
        while (std::getline(file, line))
            if (line.rfind(key, 0) == 0)
                return std::strtol(line.c_str() + std::strlen(key), nullptr, 10);
        return -1;
    }
    std::string log_file() const {
        return folder_ + "/" + settings_.name + ".log";
    }
    const NodeSettings& settings() const {
        return settings_;
    }
    std::uint16_t port = 0;

private:
    NodeSettings settings_;
    std::string folder_;
    pid_t pid_ = -1;
    int status_ = 0;
};

// ---- A case

// Raises the number of descriptors of this process to its hard limit.
inline void raise_descriptors() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

inline bool trouble() {
    const char* const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// Usage: case RECORD FOLDER. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
inline int main_of(int argc, char** argv, const std::function<bool(const std::string& folder)>& held) {
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s RECORD FOLDER\n", argv[0]);
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    raise_descriptors();
    record_file() = std::fopen(argv[1], "w");
    if (!record_file())
        return 2;
    setvbuf(record_file(), nullptr, _IOLBF, 0);
    record_start() = now_us();
    record("case starts, TROUBLE=%d", trouble() ? 1 : 0);
    int code = 2;
    try {
        const bool ok = held(argv[2]);
        record("verdict: the rule %s", ok ? "held" : "was BROKEN");
        code = ok ? 0 : 1;
    } catch (const std::exception& error) {
        record("the case could not run: %s", error.what());
        std::fprintf(stderr, "could not run: %s\n", error.what());
    }
    std::fclose(record_file());
    return code;
}

}  // namespace rig
