// A front, stand-in engines and clients on one loop, connected by loopback sockets. Tests wait for conditions
// and never sleep.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "base/await.hpp"
#include "base/loop_clocks.hpp"
#include "engine/service.hpp"
#include "front/front.hpp"
#include "lab/checker.hpp"
#include "net/poll_loop.hpp"
#include "net/tap.hpp"
#include "statement/client.hpp"

namespace gatetiller::testing {

// A client's view of one statement.
struct ClientStatement {
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

class FrontTestBed {
public:
    static constexpr Micros kLimit = 30 * kSecondMicros;  // reached only by a failing run

    // `alter_settings` changes the settings of the front but not those that the rules are checked against.
    explicit FrontTestBed(int engines, const std::string& extra_config = "",
                          engine::MachineSettings machine = {},
                          const std::function<void(config::FrontSettings&)>& alter_settings = nullptr) {
        for (int i = 0; i < engines; ++i)
            add_engine(machine);
        std::string list;
        for (std::size_t i = 0; i < engines_.size(); ++i)
            list += "e" + std::to_string(i) + ": g.engine('" + addresses_[i].text() + "'), ";
        const std::string text = "local g = import 'gatetiller.libsonnet';\ng.front('tested') {\n" +
                                 std::string(kClasses) + "engines: {" + list + "},\n} + {\n" + extra_config +
                                 "\n}";
        auto loaded = config::load_front_text("test", text);
        if (!loaded)
            throw std::runtime_error(loaded.error());
        settings = loaded->front;
        checked_settings_ = settings.module;
        if (alter_settings)
            alter_settings(settings);
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
        engine::ServiceSettings service;
        service.name = "e" + std::to_string(engines_.size());
        service.listen = *net::Address::parse("127.0.0.1:0");
        service.machine = machine;
        service.long_poll = 50 * kMillisecond, service.abandoned_after = 2 * kSecondMicros;
        service.seed = engines_.size() + 1;
        engines_.push_back(std::make_unique<engine::Service>(
            loop, service,
            [this] {
                return random_.hex(32);
            },
            [this, name = service.name](const engine::Entry& entry) {
                journal.push_back(entry);
                records.engines.push_back({name, entry});
            },
            [this](const statement::Completed& completed) {
                events += statement::write_completed(completed) + "\n";
            }));
        addresses_.push_back(*engines_.back()->start());
    }
    std::unique_ptr<front::Front> make_front() {
        auto created =
            std::make_unique<front::Front>(tap_, settings,
                                           front::FrontDeps{[this] {
                                                                return random_.hex(32);
                                                            },
                                                            7, [](const std::string&) {},
                                                            [this](const front::FinishedStatement& record) {
                                                                finished.push_back(record);
                                                            },
                                                            drop_event, ledger});
        auto bound = created->start();
        if (!bound)
            throw std::runtime_error(bound.error());
        settings.listen = {bound->front()};
        http = std::make_unique<http::Client>(loop, bound->front(),
                                              http::ClientOptions{.connect_time_out = kSecondMicros});
        return created;
    }
    // Replaces the front as after a kill: without a shutdown and without notice to clients or engines.
    void restart() {
        front_.reset();
        records.lab.push_back({loop.now(), "front_killed", "tested", ""});
        front_ = make_front();
    }
    ClientStatement& submit(const std::string& sql, const std::string& source = "test",
                            const std::string& trace = "", const std::string& tag = "") {
        submitted.push_back(std::make_unique<ClientStatement>());
        ClientStatement& submission = *submitted.back();
        submission.client =
            std::make_unique<statement::StatementClient>(loop, *http, statement::EngineCallOptions{});
        submission.trace = trace.empty() ? "a" + std::to_string(submitted.size()) + ".0" : trace;
        const auto record = [this, &submission](const char* event, const std::string& detail) {
            records.clients.push_back(
                {loop.now(), event, submission.trace, "tested", "", "", "", 0, 0, detail});
        };
        record("asked", "");
        lab::ClientRecord& submit_record = records.clients.back();
        for (const auto& class_settings : checked_settings_.classes)
            if (source.starts_with(class_settings.name))
                submit_record.cls = class_settings.name, submit_record.patience = class_settings.deadline,
                submit_record.aim = class_settings.latency_objective;
        if (submit_record.cls.empty())
            submit_record.cls = "short", submit_record.patience = checked_settings_.classes.back().deadline;
        if (tag.starts_with("key="))
            submit_record.key = tag.substr(4);
        submission.client->start(headers(source, submission.trace, tag), sql,
                                 {[&submission, record](const statement::Document& document) {
                                      if (!std::exchange(submission.accepted, true))
                                          record("taken", "");
                                      if (document.has_rows())
                                          submission.pages.push_back(document.data);
                                      submission.final_documents += document.final();
                                  },
                                  [&submission, record](const statement::ClientResult& result) {
                                      submission.ended = true, submission.result = result;
                                      if (result.how == statement::ClientResult::How::answered)
                                          record("final", submission.error().empty() ? "served"
                                                          : submission.error() == "QUERY_QUEUE_FULL"
                                                              ? "refused"
                                                              : submission.error());
                                  }});
        return submission;
    }
    // Checks the seven rules against everything recorded so far.
    lab::Judgement check_rules() {
        lab::Facts& facts = records.facts;
        facts = {};
        facts.classes = checked_settings_.classes;
        for (std::size_t i = 0; i < engines_.size(); ++i)
            facts.engines.push_back({"e" + std::to_string(i), addresses_[i].text(), settings.engines[i].zone,
                                     settings.engines[i].kind, settings.engines[i].cell});
        facts.answer_grace = checked_settings_.response_grace,
        facts.drain_grace = checked_settings_.drain_grace, facts.turn_gap = checked_settings_.key_order_gap;
        facts.ratio_span = checked_settings_.retry_budget_window,
        facts.extra_free = checked_settings_.retry_budget_base,
        facts.extra_per_request = checked_settings_.retry_budget_ratio;
        records.sort();
        return lab::judge(records);
    }
    void expect_no_violations() {
        const auto report = check_rules();
        for (const auto& violation : report.violations)
            ADD_FAILURE() << "rule " << violation.rule << ": " << violation.trace << ": " << violation.what
                          << "\n"
                          << violation.story;
        EXPECT_GT(report.statements, 0u);
    }
    static http::Headers headers(const std::string& source, const std::string& trace = "",
                                 const std::string& tag = "") {
        http::Headers result;
        result.add("X-Trino-User", "tester");
        result.add("X-Trino-Source", source);
        if (!trace.empty())
            result.add("X-Trino-Trace-Token", trace);
        if (!tag.empty())
            result.add("X-Trino-Client-Tags", tag);
        return result;
    }
    template <typename Condition>
    [[nodiscard]] bool wait_until(Condition condition) {
        return await(loop, condition, kLimit);
    }
    // Sends a request and waits for its response.
    http::Answer exchange(const std::string& method, const std::string& target, const std::string& body = "",
                          http::Headers request_headers = headers("test")) {
        http::Answer result;
        bool done = false;
        auto call = http->send({method, target, 1, std::move(request_headers), body, {}}, kLimit,
                               [&](http::Answer answer) {
                                   result = std::move(answer), done = true;
                               });
        EXPECT_TRUE(wait_until([&] {
            return done;
        }));
        return result;
    }
    bool all_engines_ready() const {
        const auto& engines = front_->engines().all();
        return std::all_of(engines.begin(), engines.end(), [](const auto& engine) {
            return engine.second->state_tracker.endpoint().state == EndpointState::ready;
        });
    }
    int count(const std::string& event, const std::string& trace = "") const {
        int matches = 0;
        for (const auto& entry : journal)
            matches += entry.event == event && (trace.empty() || entry.trace == trace);
        return matches;
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
    std::function<bool(const Event&)> drop_event;  // true: the event is not passed to the policy
    store::LedgerWriter* ledger = nullptr;
    lab::Records records;
    std::vector<engine::Entry> journal;
    std::string events;  // completed queries reported by the engines' event listeners, one per line
    std::vector<front::FinishedStatement> finished;
    std::vector<std::unique_ptr<ClientStatement>> submitted;
    std::unique_ptr<http::Client> http;

private:
    net::TapLoop tap_{clock, [this](const net::TapEvent& event) {
                          records.sockets.push_back(lab::record_of("tested", event));
                      }};
    PolicySettings checked_settings_;
    Random random_{42};
    std::vector<net::Address> addresses_;
    std::vector<std::unique_ptr<engine::Service>> engines_;
    std::unique_ptr<front::Front> front_;
};

}  // namespace gatetiller::testing
