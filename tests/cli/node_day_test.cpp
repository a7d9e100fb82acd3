// A day of two front nodes as real processes under real limits: engines that spoil answers, drain and are
// replaced, a name service that fails and moves, rude clients, a kill and a planned restart. All rules are
// judged from what passed on the other ends of the sockets.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

#include "base/await.hpp"
#include "lab/checker.hpp"
#include "lab/platform.hpp"
#include "lab/process.hpp"

namespace gatetiller {
namespace {

constexpr Micros kPatience = 30 * kSecondMicros;

const char* const kSettings = R"({"classes":[
  {"name":"lookup","aim_us":1000000,"aim_stretch":1.5,"deadline_us":2000000,"effect":"repeatable","late_share":0.5,"value":1},
  {"name":"load","aim_us":2000000,"aim_stretch":3,"deadline_us":4000000,"effect":"by_key","key_scope":"all","window_us":25000000,"late_share":0.5,"value":5}],
  "tenants":[{"name":"acme","quota_per_s":500,"share":1}],"kinds":["std"],"zone":"z","siblings":2,
  "extra":{"size_cores":[8],"size_mb":[16384],"width_by_class":[1,2],"class_load":[false,true],"grants":true,"lanes_count":true,"cost_in_answers":true,"note_period_us":100000,"largest_share":0.4,"when_short":"swap"},
  "policy_limits":{"attempts_cap":6,"cancel":true,"connect_timeout_us":250000,"idle_close_us":30000000,"max_retry_after_us":2000000,"retry_after":true,"streams_per_conn":100},
  "report":{"fields":["concurrent","depth"],"source":"answers"},
  "rules":{"cold_share":0.31,"drain_grace_us":2000000,"grace_to_answer_us":20000,"overload_factor":3.0,"overload_for_us":1500000,"warm_up_us":15000000}})";

struct Front {
    std::string name;
    net::Address dns, at;
    lab::Process process;
    std::vector<std::unique_ptr<lab::PlatformClient>> clients;
    bool taking = false;  // clients ask it
};

class NodeDay : public ::testing::Test {
protected:
    const net::Address any = *net::Address::parse("127.0.0.1:0");

    std::string file(const std::string& front) const {
        return ::testing::TempDir() + "node-day-" + std::to_string(::getpid()) + "-" + front + ".json";
    }
    void write(const Front& f) {
        nlohmann::json config = {{"name", f.name},
                                 {"listen", "127.0.0.1:0"},
                                 {"seed", random.hex(16)},
                                 {"limits", {{"cores", 0.5}, {"memory_mb", 32}, {"sockets", 256}}},
                                 {"dns", f.dns.text()},
                                 {"known", nlohmann::json::parse(names.known(f.name))},
                                 {"settings", nlohmann::json::parse(kSettings)}};
        std::ofstream(file(f.name)) << config.dump();
    }
    void start(Front& f) {
        write(f);
        auto p = lab::Process::start({"/bin/sh", "-c",
                                      "ulimit -n 256; EDGE_CONFIG='" + file(f.name) + "' exec '" +
                                          std::string(GATETILLER_PROGRAM) + "' node"},
                                     file(f.name) + ".log", kPatience);
        ASSERT_TRUE(p) << p.error();
        f.process = std::move(*p);
        f.at = *net::Address::parse(f.process.first_line());
        f.clients.clear();
        for (int i = 0; i < 3; ++i)
            f.clients.push_back(std::make_unique<lab::PlatformClient>(loop, f.name, f.at, records));
        f.clients[0]->probe();
        ASSERT_TRUE(testing::await(loop, [&] {
            return f.clients[0]->ready();
        }));
        f.taking = true;
    }
    lab::PlatformEngine& engine(const std::string& name, std::int64_t started_ms = 0) {
        lab::PlatformEngineSettings s;
        s.name = name, s.seed = random.next();
        engines.push_back(std::make_unique<lab::PlatformEngine>(loop, s, records));
        auto& e = *engines.back();
        lab::NameService::Entry entry{name, "z", "std", {}, false, 0, started_ms};
        for (const char* front : {"n0", "n1"})
            entry.address[front] = *e.listen(front, any);
        e.set({.shed = 0.02,
               .fault = 0.02,
               .spoilt = 0.03,
               .reset = 0.02,
               .silent = 0.01,
               .doubled = 0.05,
               .lost_page = 0.02});
        lab::EngineFacts facts;
        facts.name = facts.address = name, facts.zone = "z", facts.kind = "std";
        records.facts.engines.push_back(facts);
        entries[name] = entry;
        names.put(entry);
        return e;
    }
    void ask(Front& f) {
        lab::PlatformClient::Ask a;
        const bool load = random.chance(0.15);
        a.cls = load ? "load" : "lookup", a.tenant = "acme", a.trace = random.hex(16);
        a.rows = random.below(300), a.patience = load ? 4 * kSecondMicros : 2 * kSecondMicros,
        a.aim = kSecondMicros;
        if (load)
            a.nonce = random.hex(32);
        a.sql = "SELECT a, b, c FROM sales_" + std::to_string(1 + random.below(9)) +
                ".t /* gt: work_ms=" + std::to_string(5 + random.below(40)) +
                " rows=" + std::to_string(a.rows) + " */ -- " + a.trace;
        auto& c = *f.clients[random.below(f.clients.size())];
        if (c.ended() || c.open() >= 30)
            return;
        const auto seq = c.ask(a);
        if (random.chance(0.02))
            c.give_up(seq);
    }
    void rude(Front& f) {
        rudes.push_back(std::make_unique<lab::PlatformClient>(loop, f.name, f.at, records));
        rudes_since.push_back(loop.now());
        switch (random.below(4)) {
            case 0:
                rudes.back()->raw(std::string(64, '\xff'));
                break;
            case 1:
                rudes.back()->raw(std::string("\0\0\1\0", 4) + random.hex(40));
                break;
            case 2:
                rudes.back()->raw(random.hex(2000));
                break;
            default:
                break;  // says nothing
        }
    }
    void record(const char* event, const std::string& who) {
        lab::LabRecord r;
        r.at = loop.now(), r.event = event, r.who = who;
        records.lab.push_back(r);
    }

    std::uint64_t seed = 20261201;
    Random random{seed};
    net::PollLoop loop;
    lab::Records records;
    lab::NameService names{loop, records, 5};
    std::map<std::string, lab::NameService::Entry> entries;
    std::vector<std::unique_ptr<lab::PlatformEngine>> engines;
    std::vector<std::unique_ptr<lab::PlatformClient>> rudes;
    std::vector<Micros> rudes_since;
};

TEST_F(NodeDay, KeepsAllRulesThroughKillsReloadsRudeClientsAndSpoiltAnswers) {
    for (int i = 1; i <= 4; ++i)
        engine("s-" + std::to_string(i));
    Front n0, n1;
    n0.name = "n0", n1.name = "n1";
    for (Front* f : {&n0, &n1}) {
        f->dns = *names.listen(f->name, any);
        start(*f);
    }
    names.set({.lost = 0.1, .failure = 0.05, .cut = 0.05, .foreign = 0.05, .old = 0.05});
    const Micros begun = loop.now();
    Micros term_at = 0;
    // What happens when, each once.
    std::vector<std::pair<Micros, std::function<void()>>> script{
        {800 * kMillisecond,
         [&] {
             entries["s-1"].draining = true, names.put(entries["s-1"]);
         }},
        {1'200 * kMillisecond,
         [&] {  // a new configuration: the name service has moved, and the old one is silent
             n0.dns = *names.listen("n0", any);
             write(n0);
             n0.process.signal(SIGHUP);
         }},
        {2'000 * kMillisecond,
         [&] {
             record("front_killed", "n1");
             n1.process.kill();
             n1.taking = false;
             start(n1);
         }},
        {3'200 * kMillisecond,
         [&] {
             names.remove("s-1");
             engines[0]->die();
             engine("s-9", loop.wall() / kMillisecond);
         }},
        {3'800 * kMillisecond,
         [&] {
             n0.process.terminate();
             n0.process.terminate();  // a second one changes nothing
             term_at = loop.now();
         }},
    };
    std::size_t next = 0, asked = 0;
    Micros next_ask = begun, next_rude = begun;
    bool restarted = false;
    while (loop.now() < begun + 9 * kSecondMicros) {
        loop.turn(2 * kMillisecond);
        for (; next < script.size() && loop.now() >= begun + script[next].first; ++next)
            script[next].second();
        if (HasFatalFailure())
            return;
        if (term_at > 0 && loop.now() > term_at + 300 * kMillisecond)
            n0.taking = restarted;
        if (term_at > 0 && !restarted && n0.process.wait(0)) {
            record("front_ended", "n0");
            start(n0);
            restarted = true;
        }
        if (loop.now() < begun + 8 * kSecondMicros)
            for (; next_ask <= loop.now(); next_ask += 8 * kMillisecond, ++asked)
                if (Front& f = asked % 2 == 0 ? n0 : n1; f.taking)
                    ask(f);
        for (; next_rude <= loop.now(); next_rude += 60 * kMillisecond)
            if (n1.taking)
                rude(n1);
    }
    ASSERT_TRUE(testing::await(loop, [&] {
        for (const Front* f : {&n0, &n1})
            for (const auto& c : f->clients)
                if (c->open() > 0)
                    return false;
        return true;
    }));
    EXPECT_TRUE(restarted) << "the planned restart did not end";
    EXPECT_TRUE(n0.process.running() && n1.process.running());
    std::size_t unheard = 0;
    for (std::size_t i = 0; i < rudes.size(); ++i)
        unheard += !rudes[i]->ended() && rudes[i]->exceptions() == 0 &&
                   loop.now() - rudes_since[i] > 3 * kSecondMicros;
    EXPECT_EQ(unheard, 0u) << "rude clients that were neither told nor closed within 3 s";
    for (const auto& e : engines)
        EXPECT_TRUE(e->unusable().empty()) << e->name() << ": " << e->unusable()[0];
    ClassSettings lookup, load;
    lookup.name = "lookup", lookup.idempotency = Idempotency::idempotent, lookup.deadline = 2 * kSecondMicros,
    lookup.priority_weight = 1;
    load.name = "load", load.idempotency = Idempotency::keyed, load.key_scope = KeyScope::all,
    load.key_window = 25 * kSecondMicros, load.deadline = 4 * kSecondMicros, load.priority_weight = 5;
    records.facts.classes = {lookup, load};
    records.facts.drain_grace = 2'050 * kMillisecond;
    records.sort();
    const auto judged = lab::judge(records);
    for (const auto& v : judged.violations)
        ADD_FAILURE() << "seed " << seed << ", rule " << v.rule << " at " << v.front << ": " << v.what << "\n"
                      << v.story;
    EXPECT_GT(judged.finals, 500u);
    EXPECT_GT(judged.attempts, judged.finals);
    EXPECT_GT(judged.drains, 0u);
    EXPECT_GT(judged.keyed, 50u);
    EXPECT_GT(judged.worth_served, 0.8 * judged.worth_asked);
}

}  // namespace
}  // namespace gatetiller
