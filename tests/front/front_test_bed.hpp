// A front, stand-in engines and clients on one loop, over real sockets on loopback. Conditions are awaited,
// never slept for.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "base/await.hpp"
#include "engine/service.hpp"
#include "front/front.hpp"
#include "lab/checker.hpp"
#include "net/poll_loop.hpp"
#include "net/tap.hpp"
#include "statement/client.hpp"

namespace gatetiller::testing {

struct ClientStatement {  // one client's view of one statement
    std::unique_ptr<statement::StatementClient> client;
    std::vector<std::string> pages;
    int final_documents = 0;
    bool ended = false;
    statement::ClientResult result;
    std::string trace;
    bool accepted = false;
    std::string error() const {
        return result.last.error ? result.last.error->name : "";
    }
};

// The real loop with a wall clock that a test sets.
class LoopWithWallClockStep final : public net::Loop {
public:
    explicit LoopWithWallClockStep(net::Loop& below) : below_(below) {}
    Micros now() const override {
        return below_.now();
    }
    Micros input_delay() const override {
        return below_.input_delay();
    }
    Micros wall() const override {
        return below_.wall() + step;
    }
    net::TimerId after(Micros delay, std::function<void()> call) override {
        return below_.after(delay, std::move(call));
    }
    void cancel(net::TimerId timer) override {
        below_.cancel(timer);
    }
    std::size_t timers() const override {
        return below_.timers();
    }
    Result<std::unique_ptr<net::Listener>> listen(
        const net::Address& at, std::function<void(std::unique_ptr<net::Stream>)> accepted) override {
        return below_.listen(at, std::move(accepted));
    }
    std::unique_ptr<net::Stream> connect(const net::Address& to, net::StreamEvents& events,
                                         Micros time_out) override {
        return below_.connect(to, events, time_out);
    }
    Result<std::unique_ptr<net::Datagrams>> datagrams(const net::Address& at,
                                                      net::Datagrams::Received received) override {
        return below_.datagrams(at, std::move(received));
    }
    Micros step = 0;

private:
    net::Loop& below_;
};

class FrontTestBed {
public:
    static constexpr Micros kLimit = 30 * kSecondMicros;  // generous: reached only by a failure

    // `break_it` changes what the front is told, against what the rules are judged by.
    explicit FrontTestBed(int engines, const std::string& more = "", engine::MachineSettings machine = {},
                          const std::function<void(config::FrontSettings&)>& break_it = nullptr) {
        for (int i = 0; i < engines; ++i)
            add_engine(machine);
        std::string list;
        for (std::size_t i = 0; i < engines_.size(); ++i)
            list += "e" + std::to_string(i) + ": g.engine('" + addresses_[i].text() + "'), ";
        const std::string text = "local g = import 'gatetiller.libsonnet';\ng.front('tested') {\n" +
                                 std::string(kClasses) + "engines: {" + list + "},\n} + {\n" + more + "\n}";
        auto loaded = config::load_front_text("test", text);
        if (!loaded)
            throw std::runtime_error(loaded.error());
        settings = loaded->front;
        truth_ = settings.module;
        if (break_it)
            break_it(settings);
        front_ = make_front();
    }
    static constexpr const char* kClasses = R"(
      listen: ['127.0.0.1:0'], seed: 7,
      classes: {
        short: g.class('500ms', '5s'),
        long: g.class('3s', '20s') { threads: 2 },
        unsafe: g.class('3s', '5s', 'once'),
        keyed: g.class('3s', '8s', 'by_key') { window: '20s', key_scope: 'all' },
      },
      kinds: { std: g.kind(8, '16GiB') },
      routes: [g.route(c, { source: c + '*' }) for c in ['long', 'unsafe', 'keyed']] + [g.route('short')],
      roster: { watch_every: '50ms' },
      times: { long_poll: '100ms', engine_answer: '3s', abandoned_after: '2s' },
    )";

    void add_engine(engine::MachineSettings machine) {
        engine::ServiceSettings s;
        s.name = "e" + std::to_string(engines_.size());
        s.listen = *net::Address::parse("127.0.0.1:0");
        s.machine = machine;
        s.long_poll = 50 * kMillisecond, s.abandoned_after = 2 * kSecondMicros;
        s.seed = engines_.size() + 1;
        engines_.push_back(std::make_unique<engine::Service>(
            loop, s,
            [this] {
                return random_.hex(32);
            },
            [this, name = s.name](const engine::Entry& e) {
                journal.push_back(e);
                records.engines.push_back({name, e});
            },
            [this](const statement::Completed& c) {
                events += statement::write_completed(c) + "\n";
            }));
        addresses_.push_back(*engines_.back()->start());
    }
    std::unique_ptr<front::Front> make_front() {
        auto f =
            std::make_unique<front::Front>(tap_, settings,
                                           front::FrontDeps{[this] {
                                                                return random_.hex(32);
                                                            },
                                                            7, [](const std::string&) {},
                                                            [this](const front::FinishedStatement& done) {
                                                                finished.push_back(done);
                                                            },
                                                            drop_event, ledger});
        auto bound = f->start();
        if (!bound)
            throw std::runtime_error(bound.error());
        settings.listen = {bound->front()};
        http = std::make_unique<http::Client>(loop, bound->front(),
                                              http::ClientOptions{.connect_time_out = kSecondMicros});
        return f;
    }
    void restart() {  // as after a kill: no word to anybody, another front in its place
        front_.reset();
        records.lab.push_back({loop.now(), "front_killed", "tested", ""});
        front_ = make_front();
    }
    ClientStatement& submit(const std::string& sql, const std::string& source = "test",
                            const std::string& trace = "", const std::string& tag = "") {
        submitted.push_back(std::make_unique<ClientStatement>());
        ClientStatement& a = *submitted.back();
        a.client = std::make_unique<statement::StatementClient>(loop, *http, statement::EngineCallOptions{});
        a.trace = trace.empty() ? "a" + std::to_string(submitted.size()) + ".0" : trace;
        const auto note = [this, &a](const char* event, const std::string& detail) {
            records.clients.push_back({loop.now(), event, a.trace, "tested", "", "", "", 0, 0, detail});
        };
        note("asked", "");
        lab::ClientRecord& r = records.clients.back();
        for (const auto& c : truth_.classes)
            if (source.starts_with(c.name))
                r.cls = c.name, r.patience = c.deadline, r.aim = c.latency_objective;
        if (r.cls.empty())
            r.cls = "short", r.patience = truth_.classes.back().deadline;
        if (tag.starts_with("key="))
            r.key = tag.substr(4);
        a.client->start(headers(source, a.trace, tag), sql,
                        {[&a, note](const statement::Document& d) {
                             if (!std::exchange(a.accepted, true))
                                 note("taken", "");
                             if (d.has_rows())
                                 a.pages.push_back(d.data);
                             a.final_documents += d.final();
                         },
                         [&a, note](const statement::ClientResult& done) {
                             a.ended = true, a.result = done;
                             if (done.how == statement::ClientResult::How::answered)
                                 note("final", a.error().empty()                 ? "served"
                                               : a.error() == "QUERY_QUEUE_FULL" ? "refused"
                                                                                 : a.error());
                         }});
        return a;
    }
    // The seven rules over all that passed so far.
    lab::Judgement check_rules() {
        lab::Facts& f = records.facts;
        f = {};
        f.classes = truth_.classes;
        for (std::size_t i = 0; i < engines_.size(); ++i)
            f.engines.push_back({"e" + std::to_string(i), addresses_[i].text(), settings.engines[i].zone,
                                 settings.engines[i].kind, settings.engines[i].cell});
        f.answer_grace = truth_.response_grace, f.drain_grace = truth_.drain_grace,
        f.turn_gap = truth_.key_order_gap;
        f.ratio_span = truth_.retry_budget_window, f.extra_free = truth_.retry_budget_base,
        f.extra_per_request = truth_.retry_budget_ratio;
        records.sort();
        return lab::judge(records);
    }
    void expect_no_violations() {
        const auto j = check_rules();
        for (const auto& v : j.violations)
            ADD_FAILURE() << "rule " << v.rule << ": " << v.trace << ": " << v.what << "\n" << v.story;
        EXPECT_GT(j.statements, 0u);
    }
    static http::Headers headers(const std::string& source, const std::string& trace = "",
                                 const std::string& tag = "") {
        http::Headers h;
        h.add("X-Trino-User", "tester");
        h.add("X-Trino-Source", source);
        if (!trace.empty())
            h.add("X-Trino-Trace-Token", trace);
        if (!tag.empty())
            h.add("X-Trino-Client-Tags", tag);
        return h;
    }
    template <typename Condition>
    [[nodiscard]] bool wait_until(Condition condition) {
        return await(loop, condition, kLimit);
    }
    // One exchange, awaited.
    http::Answer exchange(const std::string& method, const std::string& target, const std::string& body = "",
                          http::Headers h = headers("test")) {
        http::Answer got;
        bool done = false;
        auto call = http->send({method, target, 1, std::move(h), body, {}}, kLimit, [&](http::Answer a) {
            got = std::move(a), done = true;
        });
        EXPECT_TRUE(wait_until([&] {
            return done;
        }));
        return got;
    }
    bool all_engines_ready() const {
        const auto& all = front_->engines().all();
        return std::all_of(all.begin(), all.end(), [](const auto& e) {
            return e.second->state_tracker.endpoint().state == EndpointState::ready;
        });
    }
    int count(const std::string& event, const std::string& trace = "") const {
        int n = 0;
        for (const auto& e : journal)
            n += e.event == event && (trace.empty() || e.trace == trace);
        return n;
    }
    const net::Address& address(std::size_t i) const {
        return addresses_[i];
    }
    engine::Service& engine(std::size_t i) {
        return *engines_[i];
    }
    front::Front& front() {
        return *front_;
    }

    net::PollLoop loop;
    LoopWithWallClockStep clock{loop};
    config::FrontSettings settings;
    std::function<bool(const Event&)> drop_event;  // true: the module never hears of it
    store::LedgerWriter* ledger = nullptr;
    lab::Records records;
    std::vector<engine::Entry> journal;
    std::string events;  // what the engines' own listeners told, a line each
    std::vector<front::FinishedStatement> finished;
    std::vector<std::unique_ptr<ClientStatement>> submitted;
    std::unique_ptr<http::Client> http;

private:
    net::TapLoop tap_{clock, [this](const net::TapEvent& e) {
                          records.sockets.push_back(lab::record_of("tested", e));
                      }};
    PolicySettings truth_;
    Random random_{42};
    std::vector<net::Address> addresses_;
    std::vector<std::unique_ptr<engine::Service>> engines_;
    std::unique_ptr<front::Front> front_;
};

}  // namespace gatetiller::testing
