// A checker that accepts everything is worth nothing: for each rule one record that keeps it, and the same
// one doctored.
#include "lab/checker.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <functional>

namespace gatetiller::lab {
namespace {

using What = net::TapEvent::What;
constexpr Micros ms = kMillisecond;

std::string message(const std::string& start, const std::string& trace, const std::string& body) {
    return start + "\r\nHost: x\r\n" + (trace.empty() ? "" : "X-Trino-Trace-Token: " + trace + "\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Writes the records of one front's sockets as they would be.
class Tape {
public:
    Tape() {
        for (const auto& [name, effect] : {std::pair("short", Idempotency::idempotent),
                                           {"unsafe", Idempotency::non_idempotent},
                                           {"keyed", Idempotency::keyed},
                                           {"turn", Idempotency::idempotent}}) {
            ClassSettings c;
            c.name = name, c.idempotency = effect, c.latency_objective = 1000 * ms, c.deadline = 5000 * ms,
            c.key_window = 2000 * ms, c.key_scope = KeyScope::zone;
            c.ordered_by_key = c.name == "turn";
            r.facts.classes.push_back(c);
        }
        r.facts.engines = {{"e1", "127.0.0.1:1", "z1", "std", 0}, {"e2", "127.0.0.1:2", "z2", "std", 0}};
        r.facts.drain_grace = 500 * ms, r.facts.turn_gap = 300 * ms, r.facts.ratio_span = 10'000 * ms;
    }
    void client(Micros at, const std::string& event, const std::string& trace, const std::string& cls = "",
                const std::string& detail = "", const std::string& key = "") {
        r.clients.push_back({at, event, trace, "f", cls, "", key, 1000 * ms, 5000 * ms, detail});
    }
    void socket(Micros at, std::uint64_t stream, What what, const std::string& peer,
                const std::string& bytes = "") {
        r.sockets.push_back({at, "f", stream, what, peer, bytes, bytes.size()});
    }
    // A client's POST, taken.
    void taken(Micros at, const std::string& trace, const std::string& cls, const std::string& key = "") {
        const auto stream = ++streams;
        client(at, "asked", trace, cls, "", key);
        client(at, "taken", trace);
        socket(at, stream, What::accepted, "c");
        socket(at, stream, What::received, "c", message("POST /v1/statement HTTP/1.1", trace, "SELECT 1"));
        socket(at, stream, What::sent, "c",
               message("HTTP/1.1 200 OK", "", R"({"id":"id)" + trace + R"(","nextUri":"x"})"));
    }
    void final(Micros at, const std::string& trace, const std::string& detail = "served",
               const std::string& body = "") {
        const auto stream = ++streams;
        client(at, "final", trace, "", detail);
        socket(at, stream, What::accepted, "c");
        socket(at, stream, What::received, "c",
               message("GET /v1/statement/executing/id" + trace + "/y/1 HTTP/1.1", "", ""));
        socket(at, stream, What::sent, "c",
               message("HTTP/1.1 200 OK", "", R"({"id":"id)" + trace + "\"" + body + "}"));
    }
    // An attempt: POST on a connection of its own, answered at `answered` (0: never) by status; 200 with a
    // document.
    std::uint64_t attempt(Micros at, const std::string& trace, int engine, Micros answered, int status = 200,
                          bool final_document = true) {
        const auto stream = ++streams;
        const std::string peer = "127.0.0.1:" + std::to_string(engine);
        socket(at, stream, What::connecting, peer);
        socket(at, stream, What::connected, peer);
        socket(at, stream, What::sent, peer, message("POST /v1/statement HTTP/1.1", trace, "SELECT 1"));
        if (answered > 0)
            socket(answered, stream, What::received, peer,
                   message("HTTP/1.1 " + std::to_string(status) + " X", "",
                           status == 200 ? R"({"id":"e)" + std::to_string(stream) + "\"" +
                                               (final_document ? "" : R"(,"nextUri":"n")") + "}"
                                         : "no"));
        return stream;
    }
    void cancelled(Micros at, std::uint64_t attempt, int engine) {
        const auto stream = ++streams;
        const std::string peer = "127.0.0.1:" + std::to_string(engine);
        socket(at, stream, What::connecting, peer);
        socket(at, stream, What::sent, peer,
               message("DELETE /v1/statement/queued/e" + std::to_string(attempt) + "/y/1 HTTP/1.1", "", ""));
    }
    std::vector<int> broken() {
        r.sort();
        std::vector<int> rules;
        for (const auto& v : judge(r).violations)
            rules.push_back(v.rule);
        return rules;
    }
    Records r;
    std::uint64_t streams = 0;
};

using Rules = std::vector<int>;

TEST(Checker, Rule1OneFinalAnswerInTimeAndNothingAfter) {
    Tape t;
    t.taken(10 * ms, "a.0", "short"), t.attempt(11 * ms, "a.0", 1, 20 * ms), t.final(30 * ms, "a.0");
    EXPECT_EQ(t.broken(), Rules{});
    Tape after = t;
    after.attempt(40 * ms, "a.0", 2, 50 * ms);
    EXPECT_EQ(after.broken(), Rules{1});
    Tape two = t;
    two.socket(50 * ms, 90, What::accepted, "c");
    two.socket(50 * ms, 90, What::received, "c",
               message("GET /v1/statement/executing/ida.0/y/1 HTTP/1.1", "", ""));
    two.socket(50 * ms, 90, What::sent, "c",
               message("HTTP/1.1 200 OK", "", R"({"id":"ida.0","data":[[1]]})"));
    EXPECT_EQ(two.broken(), Rules{1});
    Tape none;
    none.taken(10 * ms, "a.0", "short"), none.client(5010 * ms, "gave_up", "a.0");
    EXPECT_EQ(none.broken(), Rules{1});
    none.r.lab.push_back({2000 * ms, "front_killed", "f", ""});
    EXPECT_EQ(none.broken(), Rules{});
    Tape wrong = t;
    wrong.client(31 * ms, "wrong_rows", "a.0");
    EXPECT_EQ(wrong.broken(), Rules{1});
}

TEST(Checker, Rule2NoEffectTwice) {
    Tape busy;
    busy.taken(10 * ms, "a.0", "unsafe"), busy.attempt(11 * ms, "a.0", 1, 20 * ms, 503),
        busy.attempt(21 * ms, "a.0", 2, 30 * ms), busy.final(31 * ms, "a.0");
    EXPECT_EQ(busy.broken(), Rules{});
    Tape ran;
    ran.taken(10 * ms, "a.0", "unsafe"), ran.attempt(11 * ms, "a.0", 1, 20 * ms, 500),
        ran.attempt(21 * ms, "a.0", 2, 30 * ms), ran.final(31 * ms, "a.0");
    EXPECT_EQ(ran.broken(), Rules{2});
    Tape refused;
    refused.taken(10 * ms, "a.0", "unsafe"), refused.attempt(11 * ms, "a.0", 1, 20 * ms, 500),
        refused.final(31 * ms, "a.0", "refused");
    EXPECT_EQ(refused.broken(), Rules{2});
    Tape keyed;
    keyed.taken(10 * ms, "a.0", "keyed"), keyed.attempt(11 * ms, "a.0", 1, 20 * ms, 500),
        keyed.attempt(1900 * ms, "a.0", 1, 1950 * ms), keyed.final(1960 * ms, "a.0");
    EXPECT_EQ(keyed.broken(), Rules{});
    Tape late;
    late.taken(10 * ms, "a.0", "keyed"), late.attempt(11 * ms, "a.0", 1, 20 * ms, 500),
        late.attempt(2100 * ms, "a.0", 1, 2150 * ms), late.final(2160 * ms, "a.0");
    EXPECT_EQ(late.broken(), Rules{2});
    Tape outside;
    outside.taken(10 * ms, "a.0", "keyed"), outside.attempt(11 * ms, "a.0", 1, 20 * ms, 500),
        outside.attempt(30 * ms, "a.0", 2, 40 * ms), outside.final(50 * ms, "a.0");
    EXPECT_EQ(outside.broken(), Rules{2});
    Tape twice = busy;
    for (const char* engine : {"e1", "e2"})
        twice.r.engines.push_back({engine, {15 * ms, "started", "a.0", "", "f", "", "", "", 0, 0, 0}});
    EXPECT_EQ(twice.broken(), Rules{2});
}

TEST(Checker, Rule3DrainsAreKept) {
    Tape t;
    t.socket(5 * ms, 50, What::connecting, "127.0.0.1:1");
    t.socket(5 * ms, 50, What::sent, "127.0.0.1:1", message("GET /v1/info/state HTTP/1.1", "", ""));
    t.socket(10 * ms, 50, What::received, "127.0.0.1:1", message("HTTP/1.1 200 OK", "", "\"SHUTTING_DOWN\""));
    t.taken(10 * ms, "a.0", "short"), t.attempt(400 * ms, "a.0", 1, 410 * ms), t.final(420 * ms, "a.0");
    EXPECT_EQ(t.broken(), Rules{});
    t.taken(600 * ms, "b.0", "short"), t.attempt(600 * ms, "b.0", 1, 610 * ms), t.final(620 * ms, "b.0");
    EXPECT_EQ(t.broken(), Rules{3});
    Tape list;
    list.r.lab.push_back({1 * ms, "list_served", "f", "e1=on,e2=on"});
    list.r.lab.push_back({10 * ms, "list_served", "f", "e1=on"});
    list.taken(600 * ms, "b.0", "short"), list.attempt(600 * ms, "b.0", 2, 610 * ms),
        list.final(620 * ms, "b.0");
    EXPECT_EQ(list.broken(), Rules{3});
}

// Whatever became of the answers that would have told it; a process that is held still hears nothing
// meanwhile.
TEST(Checker, Rule3ADrainCountsAsToldAtTheLatest) {
    const auto told = [](Micros sent, bool held_still) {
        Tape t;
        t.r.lab.push_back({1 * ms, "list_served", "f", "e1=on,e2=on"});
        if (held_still)
            t.r.lab.push_back({5 * ms, "front_stopped", "f", ""});
        t.r.lab.push_back({10 * ms, "told_at_latest", "f", "e2=fading"});
        if (held_still)
            t.r.lab.push_back({200 * ms, "front_continued", "f", ""});
        t.taken(sent, "b.0", "short"), t.attempt(sent, "b.0", 2, sent + 10 * ms),
            t.final(sent + 20 * ms, "b.0");
        return t.broken();
    };
    EXPECT_EQ(told(500 * ms, false), Rules{});
    EXPECT_EQ(told(600 * ms, false), Rules{3});
    EXPECT_EQ(told(600 * ms, true), Rules{});
    EXPECT_EQ(told(800 * ms, true), Rules{3});
}

TEST(Checker, Rule4AColdEngineThatFellOver) {
    Tape t;
    t.taken(10 * ms, "a.0", "short"), t.attempt(11 * ms, "a.0", 1, 20 * ms), t.final(30 * ms, "a.0");
    t.r.engines.push_back({"e1", {15 * ms, "fallen", "a.0", "", "f", "", "", "", 0, 0, 0}});
    EXPECT_EQ(t.broken(), Rules{4});
}

TEST(Checker, Rule5OrderByKey) {
    const auto two = [](Micros second_sent, int first_status) {
        Tape t;
        t.taken(10 * ms, "a.0", "turn", "k"), t.taken(11 * ms, "b.0", "turn", "k");
        t.attempt(12 * ms, "a.0", 1, 100 * ms, first_status),
            t.attempt(second_sent, "b.0", 2, second_sent + 50 * ms);
        t.final(second_sent + 60 * ms, "a.0"), t.final(second_sent + 60 * ms, "b.0");
        return t.broken();
    };
    EXPECT_EQ(two(101 * ms, 200), Rules{});
    EXPECT_EQ(two(99 * ms, 200), Rules{5});
    Tape rest;
    rest.taken(10 * ms, "a.0", "turn", "k"), rest.taken(11 * ms, "b.0", "turn", "k");
    const auto a = rest.attempt(12 * ms, "a.0", 1, 20 * ms, 200, false);
    rest.cancelled(50 * ms, a, 1);
    rest.final(60 * ms, "a.0", "refused");
    Tape soon = rest;
    rest.attempt(351 * ms, "b.0", 2, 400 * ms), rest.final(410 * ms, "b.0");
    EXPECT_EQ(rest.broken(), Rules{});
    soon.attempt(349 * ms, "b.0", 2, 400 * ms), soon.final(410 * ms, "b.0");
    EXPECT_EQ(soon.broken(), Rules{5});
}

TEST(Checker, Rule6Placement) {
    Tape t;
    t.taken(10 * ms, "a.0", "short"), t.attempt(11 * ms, "a.0", 2, 20 * ms), t.final(30 * ms, "a.0");
    EXPECT_EQ(t.broken(), Rules{});
    t.r.facts.classes[0].allowed_zones = {"z1"};
    EXPECT_EQ(t.broken(), Rules{6});
}

TEST(Checker, Rule7BudgetOfFurtherAttempts) {
    Tape t;
    t.r.facts.extra_free = 1, t.r.facts.extra_per_request = 0.1;
    for (const char* trace : {"a.0", "b.0"})
        t.taken(10 * ms, trace, "short"), t.attempt(11 * ms, trace, 1, 20 * ms, 503);
    t.attempt(21 * ms, "a.0", 2, 30 * ms), t.final(40 * ms, "a.0");
    EXPECT_EQ(t.broken(), Rules{});
    t.attempt(22 * ms, "b.0", 2, 30 * ms), t.final(40 * ms, "b.0");
    EXPECT_EQ(t.broken(), Rules{7});
}

TEST(Checker, AttemptsThatOverlap) {
    Tape t;
    t.taken(10 * ms, "a.0", "short");
    const auto first = t.attempt(11 * ms, "a.0", 1, 20 * ms, 200, false);
    Tape called_off = t;
    called_off.cancelled(29 * ms, first, 1);
    called_off.attempt(30 * ms, "a.0", 2, 40 * ms), called_off.final(50 * ms, "a.0");
    EXPECT_EQ(called_off.broken(), Rules{});
    t.attempt(30 * ms, "a.0", 2, 40 * ms), t.final(50 * ms, "a.0");
    EXPECT_EQ(t.broken(), Rules{0});
    // Given up unanswered: once the answer comes it must be told to stop.
    Tape unanswered;
    unanswered.taken(10 * ms, "a.0", "short");
    const auto hung = unanswered.attempt(11 * ms, "a.0", 1, 900 * ms, 200, false);
    unanswered.attempt(30 * ms, "a.0", 2, 40 * ms), unanswered.final(50 * ms, "a.0");
    Tape told = unanswered;
    told.cancelled(901 * ms, hung, 1);
    for (Tape* tape : {&told, &unanswered})
        tape->taken(9000 * ms, "z.0", "short"), tape->final(9001 * ms, "z.0");
    EXPECT_EQ(told.broken(), Rules{});
    EXPECT_EQ(unanswered.broken(), Rules{0});
}

// A process killed in the middle of a line, and started again on the same file.
TEST(Records, WhatIsWrittenAfterAKillDoesNotRunIntoATornLine) {
    const std::string file = ::testing::TempDir() + "records-" + std::to_string(::getpid()) + ".jsonl";
    const std::string whole = line_of(LabRecord{1, "front_killed", "f", ""});
    for (const std::string& torn :
         {std::string(), std::string("{\"kind\":\"so"), whole.substr(0, whole.size() - 1)}) {
        for (const std::string& before : {std::string(), whole + whole}) {
            std::ofstream(file, std::ios::trunc) << before << torn;
            append_lines(file) << whole;
            std::ifstream in(file);
            const std::string text((std::istreambuf_iterator<char>(in)), {});
            Records records;
            const auto read = read_records(file, text, records);
            ASSERT_TRUE(read) << read.error();
            EXPECT_EQ(records.lab.size(), before.empty() ? 1u : 3u) << torn;
        }
    }
    std::remove(file.c_str());
}

TEST(Records, AreReadBackAsWrittenAndALineCutShortIsPassedOver) {
    Tape t;
    t.taken(10 * ms, "a.0", "turn", "k"), t.attempt(11 * ms, "a.0", 1, 20 * ms), t.final(30 * ms, "a.0");
    t.r.facts.classes[0].allowed_kinds = {"std"};
    t.r.facts.extra_free = 3, t.r.facts.extra_per_request = 0.5;
    std::string text = line_of(t.r.facts);
    for (const auto& s : t.r.sockets)
        text += line_of(s);
    for (const auto& c : t.r.clients)
        text += line_of(c);
    text += line_of(LabRecord{5, "trouble", "x", "y"}) +
            line_of("e1", engine::Entry{7, "started", "a.0", "i", "f", "u", "s", "t", 1, 2, 3});
    Records back;
    ASSERT_TRUE(read_records("r", text + "{\"of\":\"soc", back));
    EXPECT_EQ(back.sockets.size(), t.r.sockets.size());
    EXPECT_EQ(back.sockets.at(1).bytes, t.r.sockets.at(1).bytes);
    EXPECT_EQ(back.engines.at(0).entry.peak_mb, 2);
    EXPECT_EQ(back.facts.classes.at(0).allowed_kinds, t.r.facts.classes[0].allowed_kinds);
    EXPECT_TRUE(judge(back).violations.empty());
    const auto bad = read_records("r", "{\"of\":\"lab\"}\n", back);
    ASSERT_FALSE(bad);
    EXPECT_EQ(bad.error().substr(0, 4), "r:1:");
}

// ---- Records of the other ends of a front node's sockets, each doctored in one way

struct Peers {
    Records r;
    Peers() {
        ClassSettings safe, load, once;
        safe.name = "safe", safe.idempotency = Idempotency::idempotent, safe.deadline = 4 * kSecondMicros;
        load.name = "load", load.idempotency = Idempotency::keyed, load.key_scope = KeyScope::all,
        load.key_window = kSecondMicros;
        once.name = "once", once.idempotency = Idempotency::non_idempotent;
        r.facts.classes = {safe, load, once};
        for (const char* name : {"e1", "e2"}) {
            EngineFacts e;
            e.name = e.address = name;
            r.facts.engines.push_back(e);
        }
        r.facts.drain_grace = 500 * kMillisecond;
        list(0, "e1=on,e2=on");
    }
    void client(Micros at_ms, const std::string& event, const std::string& cls = "safe",
                const std::string& detail = "") {
        ClientRecord c;
        c.at = at_ms * kMillisecond, c.event = event, c.trace = "t", c.front = "n", c.cls = cls,
        c.detail = detail;
        c.patience = 4 * kSecondMicros;
        r.clients.push_back(c);
    }
    void asked(const std::string& cls = "safe") {
        client(0, "asked", cls), client(0, "taken", cls);
    }
    void engine(Micros at_ms, const std::string& name, const std::string& event) {
        engine::Entry e;
        e.at = at_ms * kMillisecond, e.event = event, e.trace = "t", e.front = "n";
        r.engines.push_back({name, e});
    }
    void list(Micros at_ms, const std::string& states) {
        LabRecord l;
        l.at = at_ms * kMillisecond, l.event = "list_served", l.who = "n", l.detail = states;
        r.lab.push_back(l);
    }
    std::vector<int> rules() {
        r.sort();
        std::vector<int> broken;
        for (const auto& v : judge(r).violations)
            broken.push_back(v.rule);
        return broken;
    }
};

TEST(PeersChecker, AGoodDayIsGood) {
    Peers p;
    p.asked();
    p.engine(10, "e1", "arrived"), p.engine(20, "e1", "shed"), p.engine(30, "e2", "arrived"),
        p.engine(60, "e2", "hit");
    p.client(70, "final", "safe", "served");
    EXPECT_TRUE(p.rules().empty());
}

// Guards against taking two attempts for simultaneous when their sockets were read in the other order
// (KNOWN-RED, soak seed 940).
TEST(PeersChecker, AnAttemptCancelledBeforeTheOtherMayArriveAfterIt) {
    const auto broken = [](Micros arrives_ms, Micros ends_ms, const char* end) {
        Peers p;
        p.asked();
        p.engine(100, "e1", "arrived"), p.engine(arrives_ms, "e2", "arrived"), p.engine(ends_ms, "e2", end),
            p.engine(300, "e1", "hit"), p.client(310, "final", "safe", "served");
        return p.rules();
    };
    EXPECT_EQ(broken(101, 101, "undone"), std::vector<int>{});
    EXPECT_EQ(broken(140, 150, "connection_ended"), std::vector<int>{});
    // Sent after the first had begun: called off too late for the other order.
    EXPECT_EQ(broken(101, 151, "undone"), std::vector<int>{0});
    // Its answer shows that it was not cancelled.
    EXPECT_EQ(broken(101, 110, "hit"), std::vector<int>{0});
}

TEST(PeersChecker, FindsWhatWasDoctored) {
    const auto broken = [](const std::string& cls, const std::function<void(Peers&)>& doctor) {
        Peers p;
        p.asked(cls);
        doctor(p);
        return p.rules();
    };
    EXPECT_EQ(broken("safe",
                     [](Peers& p) {
                         p.client(4'070, "gave_up");
                     }),
              std::vector<int>{1});  // never answered
    EXPECT_EQ(broken("safe",
                     [](Peers& p) {
                         p.client(50, "lost");
                     }),
              std::vector<int>{1});  // its connection ended
    EXPECT_EQ(broken("safe",
                     [](Peers& p) {
                         p.client(50, "final", "safe", "served"), p.client(60, "final", "safe", "served");
                     }),
              std::vector<int>{1});
    EXPECT_EQ(broken("safe",
                     [](Peers& p) {
                         p.client(50, "final", "safe", "refused"), p.engine(200, "e1", "arrived"),
                             p.engine(210, "e1", "hit");
                     }),
              std::vector<int>{1});
    EXPECT_EQ(broken("safe",
                     [](Peers& p) {
                         p.client(50, "left"), p.engine(200, "e1", "arrived"), p.engine(210, "e1", "undone");
                     }),
              std::vector<int>{1});
    EXPECT_EQ(broken("safe",
                     [](Peers& p) {  // two out at once
                         p.engine(10, "e1", "arrived"), p.engine(20, "e2", "arrived"),
                             p.engine(200, "e1", "undone"), p.engine(210, "e2", "hit"),
                             p.client(220, "final", "safe", "served");
                     }),
              std::vector<int>{0});
    EXPECT_EQ(broken("once",
                     [](Peers& p) {
                         p.engine(10, "e1", "arrived"), p.engine(20, "e1", "fault"),
                             p.engine(30, "e2", "arrived"), p.engine(40, "e2", "hit"),
                             p.client(50, "final", "once", "served");
                     }),
              std::vector<int>{2});
    EXPECT_EQ(broken("once",
                     [](Peers& p) {
                         p.engine(10, "e1", "arrived"), p.engine(20, "e1", "connection_ended"),
                             p.client(50, "final", "once", "refused");
                     }),
              std::vector<int>{2});
    EXPECT_EQ(broken("load",
                     [](Peers& p) {  // after the engines may have forgotten its key
                         p.engine(10, "e1", "arrived"), p.engine(20, "e1", "fault"),
                             p.engine(1'200, "e2", "arrived"), p.engine(1'210, "e2", "hit"),
                             p.client(1'220, "final", "load", "served");
                     }),
              std::vector<int>{2});
    EXPECT_EQ(broken("safe",
                     [](Peers& p) {
                         p.list(100, "e1=fading,e2=on"), p.engine(700, "e1", "arrived"),
                             p.engine(710, "e1", "hit"), p.client(720, "final", "safe", "served");
                     }),
              std::vector<int>{3});
    EXPECT_EQ(broken("safe",
                     [](Peers& p) {
                         p.engine(10, "e1", "fallen"), p.client(50, "final", "safe", "failed");
                     }),
              std::vector<int>{4});
}

}  // namespace
}  // namespace gatetiller::lab
