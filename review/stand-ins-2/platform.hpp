// Stand-ins of the platform for a front node: its configuration, the name service, RESP engines and a Thrift client.
// Names and formats are those of PROTOCOL, the settings those of WIRE.
#pragma once

#include <sys/mman.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <set>

#include "common.hpp"

namespace review {

// ---- State that the processes of a case share

struct SharedKey {
    char key[40];
    double first_seen;
    int applied;
};
struct Shared {
    std::atomic<int> serial;
    std::atomic<int> listed[16];     // 1: ready, 2: draining, 0: gone
    std::atomic<int> begun[16];      // requests that an engine has begun
    std::atomic<int> keys;
    SharedKey key[256];
    std::atomic<int> applied_twice;
    std::atomic<int> late_arrivals;  // repeats of a key that arrived whole after the window
};
inline Shared*& shared() {
    static Shared* state = nullptr;
    return state;
}
inline void make_shared_state() {
    shared() = static_cast<Shared*>(
        mmap(nullptr, sizeof(Shared), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0));
    memset(static_cast<void*>(shared()), 0, sizeof(Shared));
    shared()->serial = 1;
}

// ---- The configuration

struct ClassOf {
    std::string name, effect, served_on;
    int aim_ms, deadline_ms, window_ms, threads;
    double value;
    bool load;
};
struct EngineOf {
    std::string name, kind;
    int port;
};
struct SiteOf {
    std::vector<ClassOf> classes;
    std::vector<EngineOf> engines;
    std::vector<std::string> kinds;
    int cores = 8;
    bool cancel = true;
    int attempts = 6;
    int note_period_ms = 1000;
    int memory_mb = 128, sockets = 512;
    double drain_grace_s = 2;
};

inline std::string config_json(const SiteOf& site, int listen, int dns) {
    const auto flag = [](bool b) {
        return std::string(b ? "true" : "false");
    };
    std::string classes, load, width, yields, kinds, cores, memory, engines;
    for (const ClassOf& c : site.classes) {
        const std::string comma = classes.empty() ? "" : ",";
        classes += comma + "{\"aim_stretch\":2.0,\"aim_us\":" + std::to_string(c.aim_ms * 1000) +
                   ",\"deadline_us\":" + std::to_string(c.deadline_ms * 1000) + ",\"effect\":\"" + c.effect +
                   "\",\"key_scope\":\"all\",\"late_share\":0.5,\"name\":\"" + c.name +
                   "\",\"stream\":false,\"value\":" + std::to_string(c.value) +
                   ",\"window_us\":" + std::to_string(c.window_ms * 1000) +
                   (c.served_on.empty() ? "" : ",\"served_on\":[\"" + c.served_on + "\"]") + "}";
        load += comma + flag(c.load);
        width += comma + std::to_string(c.threads);
        yields += comma + "false";
    }
    for (const std::string& kind : site.kinds) {
        const std::string comma = kinds.empty() ? "" : ",";
        kinds += comma + "\"" + kind + "\"";
        cores += comma + std::to_string(site.cores);
        memory += comma + "16384.0";
    }
    for (const EngineOf& e : site.engines)
        engines += std::string(engines.empty() ? "" : ",") + "{\"instanceId\":\"" + e.name +
                   "\",\"hostPort\":\"127.0.0.1:" + std::to_string(e.port) +
                   "\",\"zone\":\"here\",\"machineType\":\"" + e.kind +
                   "\",\"cell\":0,\"lifecycle\":\"active\",\"weight\":1,\"startedAtMs\":0}";
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + std::to_string(listen) +
           "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
           std::to_string(site.memory_mb) + ",\"sockets\":" + std::to_string(site.sockets) +
           "},\"dns\":\"127.0.0.1:" + std::to_string(dns) +
           "\",\"known\":{\"offset\":1,\"batch\":[{\"offset\":1,\"topology\":{\"generation\":1,\"reset\":true,"
           "\"instances\":[" +
           engines + "]}}]},\"settings\":{\"azs\":[\"here\"],\"callers\":{\"marks_retry\":false},\"classes\":[" + classes +
           "],\"discovery\":\"push\",\"extra\":{\"class_load\":[" + load +
           "],\"cost_in_answers\":false,\"grants\":false,\"lanes_count\":true,\"largest_share\":0.4,\"note_period_us\":" +
           std::to_string(site.note_period_ms * 1000) +
           ",\"notes\":\"\",\"report_x0\":\"\",\"report_x1\":\"\",\"size_cores\":[" + cores + "],\"size_mb\":[" + memory +
           "],\"when_short\":\"swap\",\"width_by_class\":[" + width + "],\"yields_to_loads\":[" + yields +
           "]},\"goal\":{\"whole\":0.5,\"worst_class\":0.2,\"worst_tenant\":0.1,\"worst_window\":0.2},"
           "\"kind_of_service\":\"queries\",\"kinds\":[" +
           kinds +
           "],\"me\":0,\"over_share_worth\":0.05,\"penalties\":{\"connection\":0,\"cross_zone\":0,\"discovery\":0,"
           "\"handshake\":0,\"late_fail\":0.08,\"moves\":0,\"origin\":0,\"peer\":0,\"probe\":0,\"waste\":0.03},"
           "\"period_us\":5000,\"policy_limits\":{\"attempts_cap\":" +
           std::to_string(site.attempts) + ",\"cancel\":" + flag(site.cancel) +
           ",\"connect_timeout_us\":250000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":684911,"
           "\"idle_close_us\":30000000,\"max_open\":34245,\"max_retry_after_us\":2000000,\"may_duplicate\":false,"
           "\"peers\":false,\"probes\":false,\"retry_after\":true,\"streams_per_conn\":100},"
           "\"report\":{\"fields\":[\"concurrent\"],\"source\":\"answers\"},\"rules\":{\"ask_within_us\":10000000,"
           "\"cold_share\":0.31,\"drain_grace_us\":" +
           std::to_string(static_cast<int>(site.drain_grace_s * 1e6)) +
           ",\"grace_to_answer_us\":20000,\"overload_factor\":3.0,\"overload_for_us\":3000000,"
           "\"warm_up_us\":14000000},\"siblings\":1,\"stage\":0,\"tenants\":[{\"name\":\"east\",\"quota_per_s\":500.0,"
           "\"share\":1.0}],\"tiers\":[\"engines\"],\"weights\":\"nominal\",\"worth_by\":\"request\",\"zone\":\"here\"}}";
}

// ---- The name service

inline void put16(std::string& to, unsigned value) {
    to.push_back(static_cast<char>(value >> 8 & 0xff));
    to.push_back(static_cast<char>(value & 0xff));
}
inline void put32(std::string& to, std::uint32_t value) {
    put16(to, value >> 16);
    put16(to, value & 0xffff);
}
inline std::string dns_name(const std::string& name) {
    std::string out;
    std::istringstream labels(name);
    for (std::string label; std::getline(labels, label, '.');)
        out += std::string(1, static_cast<char>(label.size())) + label;
    return out + std::string(1, '\0');
}
inline void dns_record(std::string& to, const std::string& name, unsigned type, const std::string& data) {
    to += dns_name(name);
    put16(to, type);
    put16(to, 1);
    put32(to, 0);
    put16(to, static_cast<unsigned>(data.size()));
    to += data;
}
// Answers each query with the whole list, by the shared states.
inline void serve_names(int port, const std::vector<EngineOf>& engines) {
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in at = loopback(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
        return;
    const std::string service = "_work._tcp.fleet.local";
    for (;;) {
        char query[1024];
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t n = recvfrom(fd, query, sizeof query, 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 12)
            continue;
        std::string services, more;
        unsigned count = 0;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            const int state = shared()->listed[i];
            if (state == 0)
                continue;
            ++count;
            const std::string target = engines[i].name + ".here.hosts";
            std::string srv;
            put16(srv, state == 1 ? 0 : 1);
            put16(srv, 10);
            put16(srv, static_cast<unsigned>(engines[i].port));
            srv += dns_name(target);
            dns_record(services, service, 33, srv);
            dns_record(more, target, 1, std::string("\x7f\0\0\1", 4));
            std::string text;
            for (const std::string& part :
                 {std::string("kind=") + engines[i].kind, std::string("cell=0"), std::string("started=0")})
                text += std::string(1, static_cast<char>(part.size())) + part;
            dns_record(more, target, 16, text);
        }
        std::string soa = dns_name("ns.fleet.local") + dns_name("ops.fleet.local");
        put32(soa, static_cast<std::uint32_t>(shared()->serial.load()));
        for (int i = 0; i < 4; ++i)
            put32(soa, 60);
        std::string answer(query, 2);
        put16(answer, 0x8400);
        put16(answer, 1);
        put16(answer, count);
        put16(answer, 1);
        put16(answer, 2 * count);
        answer.append(query + 12, static_cast<std::size_t>(n) - 12);
        answer += services;
        dns_record(answer, "fleet.local", 6, soa);
        answer += more;
        sendto(fd, answer.data(), answer.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
    }
}

// ---- RESP

inline std::string resp(const std::vector<std::string>& words) {
    std::string out = "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string& word : words)
        out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    return out;
}
// Takes one whole array off the front of `in`. False if there is none yet.
inline bool take_array(std::string& in, std::vector<std::string>& words) {
    words.clear();
    std::size_t at = 0;
    const auto number = [&](char marker, std::size_t& value) {
        const std::size_t end = in.find("\r\n", at);
        if (end == std::string::npos || in[at] != marker)
            return false;
        value = strtoul(in.c_str() + at + 1, nullptr, 10);
        at = end + 2;
        return true;
    };
    std::size_t count = 0;
    if (in.empty() || !number('*', count))
        return false;
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t length = 0;
        if (at >= in.size() || !number('$', length) || in.size() < at + length + 2)
            return false;
        words.push_back(in.substr(at, length));
        at += length + 2;
    }
    in.erase(0, at);
    return true;
}
inline std::string field(const std::string& fields, const std::string& name) {
    std::istringstream parts(fields);
    for (std::string part; std::getline(parts, part, ',');)
        if (part.rfind(name + "=", 0) == 0)
            return part.substr(name.size() + 1);
    return "";
}

// ---- An engine

struct EngineBehaviour {
    int index = 0;
    int port = 0;
    double work_s = 0.3;
    double window_s = 0;      // for which the group of all engines drops a repeat of a key
    double note_period_s = 1;
    int receive_buffer = 0;   // of its connections, in bytes; 0: the system's
    std::string rows = "1\ta\tb\n";  // of one page
    int pages = 1;
    // Called when the work of a request is done, before its answer.
    std::function<void()> on_done = [] {};
};

struct EngineConn {
    std::string in;
    bool ended = false;
};
struct EngineJob {
    std::string id;
    int key;  // in the shared memory; -1: none, or a repeat
    int fd;
    double done_at, note_at, begun_at;
};

// Whether the group of all engines, which share this memory, still knows the key. A key that it does not know, or no
// longer, is noted as seen now; `first_seen`: when it was seen before, 0 if never.
inline bool is_repeat(const std::string& key, double window_s, double& first_seen, int& at) {
    Shared& s = *shared();
    const double now = wall();
    for (at = 0; at < s.keys; ++at) {
        if (key != s.key[at].key)
            continue;
        first_seen = s.key[at].first_seen;
        if (now - first_seen <= window_s)
            return true;
        s.key[at].first_seen = now;
        return false;
    }
    at = s.keys++;
    snprintf(s.key[at].key, sizeof s.key[at].key, "%s", key.c_str());
    s.key[at].first_seen = now;
    return false;
}

// Runs until it is killed. It reads all that has arrived, up to the end of a connection, before it begins a request, so
// that nothing is begun that was given up before.
inline void run_engine(const EngineBehaviour& b) {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (b.receive_buffer > 0)
        setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &b.receive_buffer, sizeof b.receive_buffer);
    sockaddr_in at = loopback(b.port);
    if (bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(listener, 128) != 0)
        _exit(1);
    std::map<int, EngineConn> conns;
    std::vector<EngineJob> jobs;
    const auto say = [&](const std::string& text) {
        note("engine %d: %s", b.index, text.c_str());
    };
    for (;;) {
        std::vector<pollfd> fds{{listener, POLLIN, 0}};
        for (const auto& [fd, conn] : conns)
            fds.push_back({fd, POLLIN, 0});
        double wait = 0.5;
        for (const EngineJob& job : jobs)
            wait = std::min(wait, std::min(job.done_at, job.note_at) - wall());
        poll(fds.data(), fds.size(), std::max(0, static_cast<int>(wait * 1000) + 1));
        if (fds[0].revents & POLLIN) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd >= 0) {
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                conns[fd];
            }
        }
        for (std::size_t i = 1; i < fds.size(); ++i) {
            if (fds[i].revents == 0)
                continue;
            EngineConn& conn = conns[fds[i].fd];
            char chunk[65536];
            for (;;) {
                const ssize_t n = recv(fds[i].fd, chunk, sizeof chunk, 0);
                if (n > 0) {
                    conn.in.append(chunk, static_cast<std::size_t>(n));
                    continue;
                }
                if (n == 0 || (errno != EAGAIN && errno != EINTR))
                    conn.ended = true;
                if (n == 0 || errno != EINTR)
                    break;
            }
        }
        for (auto& [fd, conn] : conns) {
            std::vector<std::string> words;
            std::vector<std::vector<std::string>> commands;
            while (take_array(conn.in, words))
                commands.push_back(words);
            std::set<std::string> undone;
            for (const auto& command : commands)
                if (command.size() == 2 && command[0] == "undo")
                    undone.insert(command[1]);
            for (const std::string& id : undone)
                if (std::erase_if(jobs, [&, at_fd = fd](const EngineJob& j) { return j.fd == at_fd && j.id == id; }) > 0)
                    say("undo " + id);
            for (const auto& command : commands) {
                if (command.size() == 2 && command[0] == "ping")
                    send_all(fd, resp({command[1], "PONG", "-", ""}));
                if (command.size() == 3 && command[0] == "page")
                    send_all(fd, resp({command[1], "PART", "at=" + command[2], b.rows}));
                if (command.size() != 4 || command[0] != "do")
                    continue;
                const std::string &id = command[1], &fields = command[2];
                if (conn.ended || undone.contains(id)) {
                    say("read " + id + ", which was given up before: not begun");
                    continue;
                }
                const std::string key = field(fields, "token");
                double first_seen = 0;
                ++shared()->begun[b.index];
                int at_key = -1;
                char text[200] = "";
                if (!key.empty() && is_repeat(key, b.window_s, first_seen, at_key)) {
                    at_key = -1;
                    snprintf(text, sizeof text, ", a repeat of its key: it is dropped");
                } else if (first_seen > 0) {
                    ++shared()->late_arrivals;
                    snprintf(text, sizeof text, ", WHOSE KEY WAS SEEN %.3f s AGO, window %.0f s", wall() - first_seen, b.window_s);
                }
                say("has read the whole of " + id + " " + fields + text);
                jobs.push_back({id, at_key, fd, wall() + b.work_s, wall() + b.note_period_s, wall()});
            }
        }
        for (auto it = conns.begin(); it != conns.end();) {
            if (!it->second.ended) {
                ++it;
                continue;
            }
            std::erase_if(jobs, [&](const EngineJob& job) {
                return job.fd == it->first;
            });
            close(it->first);
            it = conns.erase(it);
        }
        const double now = wall();
        for (EngineJob& job : jobs) {
            if (job.done_at <= now) {
                if (job.key >= 0) {
                    const int times = ++shared()->key[job.key].applied;
                    if (times > 1)
                        ++shared()->applied_twice;
                    say("has applied " + job.id + (times > 1 ? ": the effect has happened AGAIN" : ""));
                }
                b.on_done();
                say("answers HIT to " + job.id);
                send_all(job.fd, resp({job.id, "HIT",
                                       "chunks=" + std::to_string(b.pages) + ",gauges=concurrent:" + std::to_string(jobs.size()),
                                       b.rows}));
            } else if (job.note_at <= now) {
                job.note_at += b.note_period_s;
                const double share = (now - job.begun_at) / (job.done_at - job.begun_at);
                send_all(job.fd, resp({job.id, "INFO", "res=so_far,amount=" + std::to_string(share), ""}));
            }
        }
        std::erase_if(jobs, [now](const EngineJob& job) {
            return job.done_at <= now;
        });
    }
}

// ---- A Thrift client

inline void thrift_text(std::string& to, const std::string& text) {
    put32(to, static_cast<std::uint32_t>(text.size()));
    to += text;
}
inline std::string thrift_frame(const std::string& body) {
    std::string out;
    put32(out, static_cast<std::uint32_t>(body.size()));
    return out + body;
}
inline std::string process_call(int seq, const std::map<std::string, std::string>& fields, const std::string& body) {
    std::string out("\x80\x01\x00\x01", 4);
    thrift_text(out, "process");
    put32(out, static_cast<std::uint32_t>(seq));
    out += std::string("\x0d\x00\x01\x0b\x0b", 5);
    put32(out, static_cast<std::uint32_t>(fields.size()));
    for (const auto& [key, value] : fields) {
        thrift_text(out, key);
        thrift_text(out, value);
    }
    out += std::string("\x0b\x00\x02", 3);
    thrift_text(out, body);
    out.push_back('\0');
    return thrift_frame(out);
}
inline std::string probe_call(int seq) {
    std::string out("\x80\x01\x00\x01", 4);
    thrift_text(out, "probe");
    put32(out, static_cast<std::uint32_t>(seq));
    out += std::string("\x02\x00\x01\x00\x00", 5);
    return thrift_frame(out);
}
// "" while there is no whole answer; else "served", "refused", "failed", of the sequence number.
inline std::string take_answer(std::string& in, int& seq) {
    const auto get32 = [&](std::size_t at) {
        return static_cast<std::uint32_t>(static_cast<unsigned char>(in[at])) << 24 |
               static_cast<std::uint32_t>(static_cast<unsigned char>(in[at + 1])) << 16 |
               static_cast<std::uint32_t>(static_cast<unsigned char>(in[at + 2])) << 8 |
               static_cast<std::uint32_t>(static_cast<unsigned char>(in[at + 3]));
    };
    if (in.size() < 4 || in.size() < 4 + get32(0))
        return "";
    const std::size_t size = get32(0);
    const int type = in[7];
    const std::size_t method = get32(8);
    seq = static_cast<int>(get32(12 + method));
    const std::size_t at = 16 + method;
    std::string result = "failed";
    if (type == 2 && in[at] == 0x0c) {
        const int id = in[at + 1] << 8 | in[at + 2];
        result = id == 0 ? "served" : id == 1 ? "refused" : "failed";
    }
    in.erase(0, 4 + size);
    return result;
}
inline std::string hex_id(std::uint64_t number, int digits) {
    char text[40];
    snprintf(text, sizeof text, "%0*llx", digits, static_cast<unsigned long long>(number));
    return text;
}

// Waits until the front node answers `probe`.
inline bool wait_until_ready(int port, double seconds) {
    const double until = wall() + seconds;
    while (wall() < until) {
        const int fd = connect_to(port);
        if (fd < 0) {
            sleep_s(0.05);
            continue;
        }
        std::string in;
        int seq = 0;
        send_all(fd, probe_call(1));
        receive_some(fd, in, 1);
        const std::string answer = take_answer(in, seq);
        close(fd);
        if (answer == "served")
            return true;
    }
    return false;
}

// Starts the front node by the line `run` of the deploy file.
inline pid_t start_node(const std::string& config, const std::string& log) {
    const std::string run = deploy_line("run");
    if (run.empty())
        finish(kCouldNotRun, "deploy/balancer.toml has no line run");
    return start_command(run, log, {{"EDGE_CONFIG", config}, {"EDGE_NAME", "n1"}});
}

}  // namespace review
