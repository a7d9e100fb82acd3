#include "lab/cost.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <vector>

#include "lab/percentile.hpp"
#include "lab/process.hpp"
#include "net/poll_loop.hpp"
#include "statement/client.hpp"

namespace gatetiller::lab {
namespace {

constexpr const char* kFront = R"(local g = import 'gatetiller.libsonnet';
g.front('cost') {
  listen: ['127.0.0.1:0'],
  classes: { short: g.class('1s', '20s'), long: g.class('500s', '1000s') { late_share: 1, threads: 1 } },
  kinds: { std: g.kind(64, '64GiB') },
  engines: { %s },
  facts+: { reports: 'answers' },
  routes: [g.route('long', { source: 'long' }), g.route('short')],
  limits: { statements: 100000, statements_per_user: 100000, connections: 19000, idle_connections_per_engine: 512 },
  log: { level: 'warn' },%s
}
)";
constexpr const char* kEngine =
    "{ listen: '127.0.0.1:0', machine: { cores: 64, memory: '64GiB', sessions_per_core: 100, knee: 50 } }";

// Seconds of CPU that a process has used, and its resident memory in KiB.
std::pair<double, double> usage(pid_t pid) {
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 2)));
    std::vector<std::string> all;
    for (std::string f; fields >> f;)
        all.push_back(f);
    if (all.size() < 22)
        return {0, 0};
    const auto tick = static_cast<double>(sysconf(_SC_CLK_TCK)),
               page = static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
    return {(std::stod(all[11]) + std::stod(all[12])) / tick, std::stod(all[21]) * page};
}

http::Headers headers(const std::string& source) {
    http::Headers h;
    h.add("X-Trino-User", "cost");
    h.add("X-Trino-Source", source);
    return h;
}

// So many clients that each ask one statement after another, until told to stop.
class Closed {
public:
    Closed(net::Loop& loop, const net::Address& to, int clients)
        : loop_(loop),
          http_(loop, to, {.limits = {}, .connect_time_out = 5 * kSecondMicros, .idle_connections = 4096}) {
        statements_.resize(static_cast<std::size_t>(clients));
    }
    void begin() {
        on_ = true;
        for (std::size_t i = 0; i < statements_.size(); ++i)
            ask(i);
    }
    void end() {
        on_ = false;
    }
    bool idle() const {
        return out_ == 0;
    }
    std::vector<double> latencies_us;
    std::size_t failed = 0;

private:
    void ask(std::size_t i) {
        ++out_;
        statements_[i] =
            std::make_unique<statement::StatementClient>(loop_, http_, statement::EngineCallOptions{});
        const Micros from = now();
        statements_[i]->start(headers("short"), "SELECT 1 /* gt: work_ms=0 rows=1 */",
                              {nullptr, [this, i, from](const statement::ClientResult& r) {
                                   --out_;
                                   if (r.how == statement::ClientResult::How::answered && !r.last.error)
                                       latencies_us.push_back(static_cast<double>(now() - from));
                                   else
                                       ++failed;
                                   if (on_)
                                       loop_.after(0, [this, i] {
                                           ask(i);
                                       });
                               }});
    }
    static Micros now() {  // not the loop's, which stands still for a turn
        timespec t{};
        clock_gettime(CLOCK_MONOTONIC, &t);
        return t.tv_sec * kSecondMicros + t.tv_nsec / 1000;
    }
    net::Loop& loop_;
    http::Client http_;
    std::vector<std::unique_ptr<statement::StatementClient>> statements_;
    std::size_t out_ = 0;
    bool on_ = false;
};

class Cost {
public:
    explicit Cost(const CostOptions& o) : o_(o) {}

    Result<std::string> run() {
        out_ = "| what | measured |\n| --- | --- |\n";
        if (o_.ledger) {
            if (auto done = ledger(); !done)
                return Error{done.error()};
            return out_;
        }
        if (auto up = start(); !up)
            return Error{up.error()};
        latency();
        saturation();
        // A fresh one: memory that the last phase left behind would hide what waiting statements take.
        if (auto up = start(); !up)
            return Error{up.error()};
        waiting();
        turn();
        return out_;
    }

private:
    Result<bool> start() {
        front_ = {};
        engines_.clear();
        std::string engines;
        for (int i = 0; i < o_.engines; ++i) {
            std::ofstream(o_.folder + "/engine.jsonnet") << kEngine;
            auto p = Process::start({o_.program, "engine", "--config", o_.folder + "/engine.jsonnet"},
                                    o_.folder + "/engine.log", 10 * kSecondMicros);
            if (!p)
                return Error{p.error()};
            engines += "e" + std::to_string(i) + ": g.engine('" + p->first_line().substr(7) + "'), ";
            engine_ = *net::Address::parse(p->first_line().substr(7));
            engines_.push_back(std::move(*p));
        }
        auto p = start_front("front", engines, "");
        if (!p)
            return Error{p.error()};
        front_ = std::move(*p);
        front_at_ = *net::Address::parse(front_.first_line().substr(7));
        if (o_.ledger) {
            std::error_code none;
            for (const char* part : {"", "-wal", "-shm", ".lock"})
                std::filesystem::remove(o_.folder + "/cost.ledger" + part, none);
            auto with =
                start_front("keeping", engines, "\n  ledger: { file: '" + o_.folder + "/cost.ledger' },");
            if (!with)
                return Error{with.error()};
            keeping_ = std::move(*with);
            keeping_at_ = *net::Address::parse(keeping_.first_line().substr(7));
        }
        pass(1);
        return true;
    }
    Result<Process> start_front(const std::string& name, const std::string& engines,
                                const std::string& more) {
        char text[4096];
        std::snprintf(text, sizeof text, kFront, engines.c_str(), more.c_str());
        const std::string file = o_.folder + "/" + name + ".jsonnet";
        std::ofstream(file) << text;
        return Process::start({o_.program, "serve", "--config", file}, o_.folder + "/" + name + ".log",
                              10 * kSecondMicros);
    }
    // A front with a ledger beside one without, under the same load in turns.
    Result<bool> ledger() {
        if (auto up = start(); !up)
            return up;
        for (const int clients : {1, o_.clients}) {
            Closed off(loop_, front_at_, clients), on(loop_, keeping_at_, clients);
            double seconds[2] = {0, 0}, cpu[2] = {0, 0};
            for (int round = 0; round < 20; ++round)
                for (int which : {round % 2, 1 - round % 2}) {
                    Closed& c = which == 0 ? off : on;
                    const pid_t pid = which == 0 ? front_.pid() : keeping_.pid();
                    const double before = usage(pid).first;
                    const Micros from = loop_.now();
                    c.begin();
                    pass(o_.seconds / 4);
                    c.end();
                    while (!c.idle())
                        loop_.turn(10 * kMillisecond);
                    seconds[which] += static_cast<double>(loop_.now() - from) / kSecondMicros;
                    cpu[which] += usage(pid).first - before;
                }
            for (int which : {0, 1}) {
                Closed& c = which == 0 ? off : on;
                const auto n = static_cast<double>(c.latencies_us.size());
                const std::string what = std::string(which == 0 ? "without" : "with") + " a ledger, " +
                                         std::to_string(clients) + " clients without pause";
                line(what.c_str(),
                     "%.0f a second, p50 %.3f ms, p99 %.3f ms, %.0f us of CPU each (%zu failed)",
                     n / seconds[which], percentile(c.latencies_us, 0.5) / 1000,
                     percentile(c.latencies_us, 0.99) / 1000, cpu[which] / n * 1e6, c.failed);
            }
            const auto rate = [&](Closed& c, int which) {
                return static_cast<double>(c.latencies_us.size()) / seconds[which];
            };
            line("the difference", "%+.1f %% statements a second, %+.1f %% p99",
                 100 * (rate(on, 1) / rate(off, 0) - 1),
                 100 * (percentile(on.latencies_us, 0.99) / percentile(off.latencies_us, 0.99) - 1));
        }
        return true;
    }
    void pass(double seconds) {
        for (const Micros end = loop_.now() + static_cast<Micros>(seconds * kSecondMicros);
             loop_.now() < end;)
            loop_.turn(10 * kMillisecond);
    }
    template <typename... T>
    void line(const char* what, const char* format, T... values) {
        char text[512];
        std::snprintf(text, sizeof text, format, values...);
        out_ += std::string("| ") + what + " | " + text + " |\n";
    }
    void latency() {
        // In turns, so that whatever else the machine does strikes both alike.
        Closed direct(loop_, engine_, 1), through(loop_, front_at_, 1);
        for (int round = 0; round < 10; ++round)
            for (Closed* c : {&direct, &through}) {
                c->begin();
                pass(o_.seconds / 10);
                c->end();
                while (!c->idle())
                    loop_.turn(10 * kMillisecond);
            }
        const auto p = [](Closed& c, double q) {
            return percentile(c.latencies_us, q) / 1000;
        };
        line("asked directly, one at a time", "p50 %.3f ms, p99 %.3f ms (%zu statements)", p(direct, 0.5),
             p(direct, 0.99), direct.latencies_us.size());
        line("through the front", "p50 %.3f ms, p99 %.3f ms (%zu statements, %zu failed)", p(through, 0.5),
             p(through, 0.99), through.latencies_us.size(), through.failed);
        line("added", "p50 %.3f ms, p99 %.3f ms", p(through, 0.5) - p(direct, 0.5),
             p(through, 0.99) - p(direct, 0.99));
    }
    void saturation() {
        Closed c(loop_, front_at_, o_.clients);
        c.begin();
        pass(1);
        const std::size_t before = c.latencies_us.size();
        const auto [cpu, memory] = usage(front_.pid());
        const Micros from = loop_.now();
        pass(o_.seconds);
        const double seconds = static_cast<double>(loop_.now() - from) / kSecondMicros;
        const auto [cpu_after, memory_after] = usage(front_.pid());
        const auto n = static_cast<double>(c.latencies_us.size() - before);
        c.end();
        while (!c.idle())
            loop_.turn(10 * kMillisecond);
        line("statements a second, clients without pause",
             "%.0f with %d clients (%zu failed); the front used %.2f of a core", n / seconds, o_.clients,
             c.failed, (cpu_after - cpu) / seconds);
        line("CPU of the front for each statement", "%.0f us, so %.0f a second on a whole core",
             (cpu_after - cpu) / n * 1e6, n / (cpu_after - cpu));
        line("latency at that load", "p50 %.2f ms, p99 %.2f ms", percentile(c.latencies_us, 0.5) / 1000,
             percentile(c.latencies_us, 0.99) / 1000);
    }
    void waiting() {
        const auto [cpu0, before] = usage(front_.pid());
        http::Client client(loop_, front_at_, {.limits = {}, .connect_time_out = 20 * kSecondMicros});
        std::vector<std::unique_ptr<statement::StatementClient>> statements;
        std::size_t taken = 0, ended = 0;
        for (int i = 0; i < o_.waiting; ++i) {
            auto s = std::make_unique<statement::StatementClient>(
                loop_, client, statement::EngineCallOptions{.answer_time_out = 60 * kSecondMicros});
            s->start(headers("long"), "SELECT 1 /* gt: work_ms=900000 rows=1 */",
                     {[&, first = true](const statement::Document&) mutable {
                          taken += std::exchange(first, false);
                      },
                      [&](const statement::ClientResult&) {
                          ++ended;
                      }});
            statements.push_back(std::move(s));
            if (i % 50 == 0)
                loop_.turn(kMillisecond);
        }
        for (const Micros end = loop_.now() + 60 * kSecondMicros;
             taken < statements.size() && loop_.now() < end;)
            loop_.turn(10 * kMillisecond);
        pass(3);
        const auto [cpu1, after] = usage(front_.pid());
        const Micros from = loop_.now();
        Closed probe(loop_, front_at_, 1);
        pass(o_.seconds);
        const auto [cpu2, again] = usage(front_.pid());
        const double seconds = static_cast<double>(loop_.now() - from) / kSecondMicros;
        line("statements waiting, each with a client that polls", "%zu (%zu ended early)", taken, ended);
        line("memory for each", "%.1f KiB",
             (again - before) / static_cast<double>(std::max<std::size_t>(taken, 1)));
        line("the front meanwhile", "%.2f of a core (%.0f polls a second)", (cpu2 - cpu1) / seconds,
             static_cast<double>(taken));
        for (auto& s : statements)
            s->abandon();
    }
    // The loop alone: so many connections that say nothing, and a turn that finds nothing to do.
    void turn() {
        net::PollLoop server, clients;
        std::vector<std::unique_ptr<net::Stream>> accepted, opened;
        struct Nothing final : net::StreamEvents {
            void on_data(Buffer& in) override {
                in.clear();
            }
            void on_closed(net::Closed) override {}
        } nothing;
        auto listener = server.listen(*net::Address::parse("127.0.0.1:0"), [&](auto s) {
            s->events(nothing);
            accepted.push_back(std::move(s));
        });
        if (!listener)
            return line("one turn of the loop", "%s", listener.error().c_str());
        const auto many = static_cast<std::size_t>(o_.waiting);
        while (accepted.size() < many) {
            for (int i = 0; i < 64 && opened.size() < many; ++i)
                opened.push_back(clients.connect((*listener)->address(), nothing, 5 * kSecondMicros));
            server.turn(kMillisecond), clients.turn(0);
        }
        timespec a{}, b{};
        clock_gettime(CLOCK_MONOTONIC, &a);
        constexpr int kTurns = 500;
        for (int i = 0; i < kTurns; ++i)
            server.turn(0);
        clock_gettime(CLOCK_MONOTONIC, &b);
        const double us =
            (static_cast<double>(b.tv_sec - a.tv_sec) * 1e9 + static_cast<double>(b.tv_nsec - a.tv_nsec)) /
            1e3 / kTurns;
        line("one turn of the loop with idle connections", "%.0f us with %zu", us, accepted.size());
    }

    const CostOptions& o_;
    net::PollLoop loop_;
    std::vector<Process> engines_;
    Process front_;
    Process keeping_;
    net::Address engine_, front_at_, keeping_at_;
    std::string out_;
};

}  // namespace

Result<std::string> measure_cost(const CostOptions& options) {
    std::error_code error;
    std::filesystem::create_directories(options.folder, error);
    if (error)
        return Error{options.folder + ": " + error.message()};
    return Cost(options).run();
}

}  // namespace gatetiller::lab
