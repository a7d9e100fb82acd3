// The hard cases of a front node, in virtual time among stand-ins.
#include "rig.hpp"

namespace gatetiller::testing {
namespace {

using Fields = thrift::Fields;

bool told(const lab::PlatformEngine& e, const std::string& command) {
    return std::find(e.commands.begin(), e.commands.end(), command) != e.commands.end();
}
std::size_t count_with(const lab::Records& r, const std::string& event) {
    return static_cast<std::size_t>(std::count_if(r.engines.begin(), r.engines.end(), [&](const auto& e) {
        return e.entry.event == event;
    }));
}

TEST_F(VirtualNodeTest, ServesWholeResultsPageByPage) {
    add_engine("s-1"), add_engine("s-2");
    start();
    auto& c = add_client();
    std::map<std::int32_t, std::size_t> rows;
    for (const std::size_t n : {0u, 1u, 60u, 900u})
        rows[c.ask(make_request("lookup", 5, n))] = n;
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0;
    }));
    for (const auto& [seq, n] : rows)
        EXPECT_EQ(c.got().at(seq).how, "served") << n << " rows";
    expect_no_violations();
}

TEST_F(VirtualNodeTest, AClientThatGivesUpIsOwedNothingAndItsEngineStops) {
    auto& e = add_engine("s-1");
    start();
    auto& c = add_client();
    const auto a = make_request("lookup", 3000);
    const auto seq = c.ask(a);
    ASSERT_TRUE(run_until([&] {
        return e.open() == 1;
    }));
    c.give_up(seq);
    ASSERT_TRUE(run_until([&] {
        return e.open() == 0;
    }));
    ASSERT_TRUE(run_until([&] {
        return node->active_requests() == 0;
    }));
    EXPECT_TRUE(told(e, "undo " + a.trace));
    EXPECT_FALSE(c.got().contains(seq));
    expect_no_violations();
}

// Found by reading: a late answer of a first attempt must not count for a second one under the same id.
TEST_F(VirtualNodeTest, ASecondAttemptAtTheSameEngineGoesOverAnotherConnection) {
    auto& e = add_engine("s-1");
    e.set({.fault = 1});
    start();
    auto& c = add_client();
    const auto seq = c.ask(make_request());
    ASSERT_TRUE(run_until([&] {
        return count_with(records, "fault") >= 2;
    }));
    e.set({});
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0;
    }));
    EXPECT_EQ(c.got().at(seq).how, "served");
    EXPECT_GE(count_with(records, "arrived"), 3u);
    expect_no_violations();
}

TEST_F(VirtualNodeTest, WhatIsSpoiltCostsItsConnectionAndNoOther) {
    auto& one = add_engine("s-1");
    auto& two = add_engine("s-2");
    start();
    auto& c = add_client();
    for (auto* e : {&one, &two})
        e->set({.spoilt = 0.3, .doubled = 0.3});
    std::vector<std::int32_t> asked;
    for (int i = 0; i < 200; ++i) {
        asked.push_back(c.ask(make_request(i % 5 == 0 ? "load" : "lookup", 10, static_cast<std::size_t>(i))));
        advance_time(40 * kMillisecond);
    }
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0;
    }));
    int served = 0;
    for (const auto seq : asked)
        served += c.got().contains(seq) && c.got().at(seq).how == "served";
    EXPECT_GT(served, 150);
    expect_no_violations();
}

TEST_F(VirtualNodeTest, ARefusalNeverHidesAnAttemptThatMayHaveRun) {
    settings.policy.classes[1].idempotency = Idempotency::non_idempotent;
    for (int i = 1; i <= 3; ++i)
        add_engine("s-" + std::to_string(i))
            .set({.shed = 0.2, .fault = 0.2, .spoilt = 0.1, .reset = 0.2, .silent = 0.1});
    start();
    auto& c = add_client();
    for (int i = 0; i < 150; ++i) {
        c.ask(make_request("load", 10));
        advance_time(100 * kMillisecond);
    }
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0;
    }));
    EXPECT_GT(count_with(records, "shed"), 10u);
    expect_no_violations();
}

TEST_F(VirtualNodeTest, NothingGoesToAnEngineThatDrainsAndANewOneTakesItsAddress) {
    auto& old = add_engine("s-1", "127.1.0.1:5050");
    auto& other = add_engine("s-2", "127.1.0.2:5050");
    (void)other;
    start();
    auto& c = add_client();
    int asked = 0;
    const auto load = [&](Micros span) {
        for (const Micros end = loop.now() + span; loop.now() < end; ++asked) {
            c.ask(make_request("lookup", 10));
            advance_time(50 * kMillisecond);
        }
    };
    load(kSecondMicros);
    name_service.put({"s-1", "z", "std", {{"n0", *net::Address::parse("127.1.0.1:5050")}}, true});
    load(3 * kSecondMicros);
    const auto before = records.engines.size();
    name_service.remove("s-1");
    old.die();
    auto& fresh = add_engine("s-3", "127.1.0.1:5050");
    load(3 * kSecondMicros);
    EXPECT_GT(
        std::count_if(records.engines.begin() + static_cast<std::ptrdiff_t>(before), records.engines.end(),
                      [](const auto& r) {
                          return r.engine == "s-3" && r.entry.event == "hit";
                      }),
        3);
    (void)fresh;
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0;
    }));
    const auto j = check_rules();
    EXPECT_GT(j.drains, 0u);
    expect_no_violations();
}

TEST_F(VirtualNodeTest, ANameServiceThatFailsInEveryWayStillTellsOfDrains) {
    add_engine("s-1"), add_engine("s-2");
    start();
    name_service.set({.lost = 0.3, .failure = 0.1, .cut = 0.1, .foreign = 0.1, .old = 0.1});
    auto& c = add_client();
    for (int i = 0; i < 100; ++i) {
        if (i == 20 || i == 60)
            name_service.put({"s-1", "z", "std", {{"n0", *net::Address::parse("127.1.0.1:5050")}}, i == 20});
        c.ask(make_request());
        advance_time(100 * kMillisecond);
        if (i == 35) {
            EXPECT_NE(node->status().find("list=3"), std::string::npos) << node->status();
        }
    }
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0;
    }));
    EXPECT_NE(node->status().find("list=4"), std::string::npos) << node->status();
    expect_no_violations();
}

TEST_F(VirtualNodeTest, AReloadMovesToAnotherNameService) {
    add_engine("s-1"), add_engine("s-2");
    start();
    name_service.close("n0");
    name_service.put({"s-1", "z", "std", {{"n0", *net::Address::parse("127.1.0.1:5050")}}, true});
    auto moved = settings;
    moved.dns = *name_service.listen("n0", *net::Address::parse("127.2.0.2:1053"));
    moved.sockets = 1024, moved.settings_text = "other";
    node->reload(moved);
    EXPECT_NE(log.find("1024 descriptors"), std::string::npos) << log;
    EXPECT_NE(log.find("needs a restart"), std::string::npos) << log;
    ASSERT_TRUE(run_until(
        [&] {
            return node->status().find("list=3") != std::string::npos;
        },
        2 * kSecondMicros));
}

// Its name service says nothing yet: what the new configuration knows is all there is to hear.
TEST_F(VirtualNodeTest, AReloadTakesInTheEventsThatItsConfigurationHolds) {
    add_engine("s-1"), add_engine("s-2");
    start();
    name_service.set({.silent = true});
    name_service.put({"s-1", "z", "std", {{"n0", *net::Address::parse("127.1.0.1:5050")}}, true});
    auto moved = settings;
    moved.dns = *name_service.listen("n0", *net::Address::parse("127.2.0.2:1053"));
    moved.known_serial = name_service.number();
    for (auto& e : moved.known_endpoints)
        if (e.name == "s-1")
            e.state = EndpointState::draining;
    node->reload(moved);
    EXPECT_NE(log.find("engine s-1 drains"), std::string::npos) << log;
    // An older one changes nothing.
    node->reload(settings);
    EXPECT_EQ(log.find("engine s-1 is on"), std::string::npos) << log;
    EXPECT_NE(node->status().find("list=" + std::to_string(moved.known_serial)), std::string::npos);
}

// Each line of the platform's list of bad clients; none may be served, none may reach an engine, all end
// soon.
TEST_F(VirtualNodeTest, BadClientsAreToldOrClosedAndReachNoEngine) {
    add_engine("s-1");
    start();
    auto whole = make_request();
    const auto frame = [](const Fields& fields, const std::string& body, std::int32_t seq) {
        return thrift::process_call(seq, fields, body);
    };
    const Fields good{
        {"route", "lookup"}, {"trace", "9b1f03aa5c7e2d41"}, {"customer", "acme"}, {"patience", "1500"}};
    const auto but = [&](const std::string& name, const std::string& value) {
        Fields f = good;
        if (value.empty())
            f.erase(name);
        else
            f[name] = value;
        return f;
    };
    std::vector<std::string> bad{"GET / HTTP/1.1\r\n\r\n",
                                 std::string(100, '\xff'),
                                 std::string("\x7f\xff\xff\xff", 4) + std::string(200'000, 'x'),
                                 std::string("\0\0\0\x04\0\0\0\0", 8),
                                 frame(but("route", "nosuch"), "x", 1),
                                 frame(but("customer", "nobody"), "x", 1),
                                 frame(but("trace", ""), "x", 1),
                                 frame(but("patience", "-1"), "x", 1),
                                 frame(but("weight", "nan"), "x", 1),
                                 frame(good, "", 1),
                                 frame(good, std::string(40'000, 'x'), 1),
                                 frame(good, "SELECT 1", 3).substr(0, 60),
                                 ""};
    for (const auto& bytes : bad) {
        auto& c = add_client();
        if (!bytes.empty())
            c.raw(bytes);
        EXPECT_TRUE(run_until(
            [&] {
                return c.ended() || c.exceptions() > 0;
            },
            3 * kSecondMicros))
            << bytes.substr(0, 60);
    }
    EXPECT_EQ(count_with(records, "arrived"), 0u);
    // Two requests under one number: nobody could tell whose an answer is.
    auto& twice = add_client();
    twice.raw(frame(good, "SELECT 1 /* gt: work_ms=3000 */", 1) +
              frame(but("trace", "9b1f03aa5c7e2d42"), "SELECT 2", 1));
    EXPECT_TRUE(run_until(
        [&] {
            return twice.ended();
        },
        3 * kSecondMicros));
    // More at once than the protocol allows.
    auto& many = add_client();
    std::string all;
    for (int i = 1; i <= 300; ++i) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", i);
        all += frame(but("trace", id), "SELECT 1 /* gt: work_ms=3000 */", i);
    }
    many.raw(all);
    EXPECT_TRUE(run_until(
        [&] {
            return many.ended();
        },
        3 * kSecondMicros));
    ASSERT_TRUE(run_until([&] {
        return node->active_requests() == 0;
    }));
    // Hundreds that say nothing take no room from those that ask.
    for (int i = 0; i < 400; ++i)
        add_client();
    auto& usual = add_client();
    const auto seq = usual.ask(whole);
    ASSERT_TRUE(run_until([&] {
        return usual.open() == 0;
    }));
    EXPECT_EQ(usual.got().at(seq).how, "served");
    for (const auto& e : engines)
        EXPECT_TRUE(e->unusable().empty()) << e->unusable()[0];
}

// What was taken before it is still owed its answer: nobody but the malformed message is to blame.
TEST_F(VirtualNodeTest, AMalformedMessageLosesNoOtherRequestOfItsConnection) {
    add_engine("s-1");
    start();
    const std::vector<std::string> malformed{std::string(100, '\xff'), std::string("\0\0\0\x04\0\0\0\0", 8),
                                             thrift::process_call(0, {}, "SELECT 1")};
    for (const auto& bytes : malformed) {
        auto& c = add_client();
        const auto first = c.ask(make_request("lookup", 300)), second = c.ask(make_request("load", 600));
        ASSERT_TRUE(run_until([&] {
            return engines[0]->open() == 2;
        }));
        c.raw(bytes);
        ASSERT_TRUE(run_until(
            [&] {
                return c.exceptions() == 1;
            },
            kSecondMicros))
            << bytes.substr(0, 20);
        EXPECT_TRUE(run_until(
            [&] {
                return c.ended();
            },
            5 * kSecondMicros));
        ASSERT_TRUE(c.got().contains(first) && c.got().contains(second)) << bytes.substr(0, 20);
        EXPECT_EQ(c.got().at(first).how, "served");
        EXPECT_EQ(c.got().at(second).how, "served");
    }
    expect_no_violations();
}

// Whose number was used twice is told so under it, once; the answer of the first would be a second one.
TEST_F(VirtualNodeTest, ANumberUsedTwiceGetsOneAnswer) {
    add_engine("s-1");
    start();
    auto& c = add_client();
    const auto other = c.ask(make_request("lookup", 300)), twice = c.ask(make_request("lookup", 300));
    ASSERT_TRUE(run_until([&] {
        return engines[0]->open() == 2;
    }));
    c.raw(thrift::process_call(twice, {}, "SELECT 1"));
    EXPECT_TRUE(run_until(
        [&] {
            return c.ended();
        },
        5 * kSecondMicros));
    EXPECT_EQ(c.exceptions(), 1u);
    EXPECT_EQ(c.got().at(twice).how, "failed");
    ASSERT_TRUE(c.got().contains(other));
    EXPECT_EQ(c.got().at(other).how, "served");
    EXPECT_EQ(engines[0]->open(), 0u);
}

// Found while writing the test above: with every connection silent and young, the longest silent one was
// closed for each newcomer, and a usual client's with it before its first request was there.
TEST_F(VirtualNodeTest, AFloodOfTheSilentWashesNobodyAwayWhoIsAboutToAsk) {
    add_engine("s-1");
    start();
    std::vector<lab::PlatformClient*> usual;
    for (int i = 0; i < 1500; ++i) {
        if (i % 300 == 299)
            advance_time(60 * kMillisecond);
        auto& c = add_client();
        if (i % 60 != 30)
            continue;
        usual.push_back(&c);
        c.ask(make_request());
    }
    ASSERT_TRUE(run_until([&] {
        return std::all_of(usual.begin(), usual.end(), [](const auto* c) {
            return c->open() == 0;
        });
    }));
    // Each pause lets one more in: without closing as many as are over, the table grew by one a pause.
    const auto at = node->status().find("clients=") + 8;
    EXPECT_LE(std::stoul(node->status().substr(at)), decide::derive_limits(256, 32).client_connections + 1)
        << node->status();
    for (const auto* c : usual)
        EXPECT_TRUE(c->got().contains(1) && c->got().at(1).how == "served");
    expect_no_violations();
}

TEST_F(VirtualNodeTest, TheModulesPictureIsTheSocketsPicture) {
    for (int i = 1; i <= 3; ++i)
        add_engine("s-" + std::to_string(i))
            .set({.shed = 0.05,
                  .fault = 0.05,
                  .spoilt = 0.05,
                  .reset = 0.05,
                  .silent = 0.02,
                  .doubled = 0.1,
                  .lost_page = 0.05});
    start();
    auto& c = add_client();
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 30; ++i) {
            if (c.open() < 30)  // the protocol allows 32
                c.ask(make_request(i % 6 == 0 ? "load" : "lookup", 30, static_cast<std::size_t>(i * 10)));
            advance_time(30 * kMillisecond);
        }
        // At rest both sides must come to nothing; while busy, the module's count is the sockets'.
        for (const auto& [module, sockets] : node->in_flight_by_engine())
            EXPECT_EQ(module, sockets);
    }
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0 && node->active_requests() == 0;
    }));
    for (const auto& [module, sockets] : node->in_flight_by_engine())
        EXPECT_EQ(std::pair(module, sockets), std::pair(std::size_t{0}, std::size_t{0}));
    ASSERT_TRUE(run_until([&] {
        return std::all_of(engines.begin(), engines.end(), [](const auto& e) {
            return e->open() == 0;
        });
    }));
    expect_no_violations();
}

TEST_F(VirtualNodeTest, APlannedRestartServesWhileClientsComeAndAnswersAllItTook) {
    add_engine("s-1"), add_engine("s-2");
    start();
    auto& c = add_client();
    const auto quick = c.ask(make_request("lookup", 50)), slow = c.ask(make_request("load", 8'000));
    advance_time(10 * kMillisecond);
    bool over = false;
    node->drain([&] {
        over = true;
    });
    advance_time(300 * kMillisecond);
    auto& late = add_client();
    const auto still = late.ask(make_request("lookup", 50));
    advance_time(500 * kMillisecond);
    // Connections at rest are closed by now: whoever still comes does so over a new one.
    EXPECT_TRUE(late.ended());
    auto& last = add_client();
    const auto refused = last.ask(make_request("lookup", 50));
    ASSERT_TRUE(run_until(
        [&] {
            return over;
        },
        3'600 * kMillisecond));
    EXPECT_EQ(c.got().at(quick).how, "served");
    EXPECT_EQ(late.got().at(still).how, "served");
    EXPECT_EQ(last.got().at(refused).how, "refused");
    EXPECT_EQ(c.got().at(slow).how,
              "refused");  // by key, and every engine knows it: its client may come again
    expect_no_violations();
}

TEST_F(VirtualNodeTest, WhatMayHaveRunOnceIsNotRefusedAtARestart) {
    settings.policy.classes[1].idempotency = Idempotency::non_idempotent;
    auto& e = add_engine("s-1");
    start();
    auto& c = add_client();
    const auto out = c.ask(make_request("load", 8'000));
    ASSERT_TRUE(run_until([&] {
        return e.open() == 1;
    }));
    bool over = false;
    node->drain([&] {
        over = true;
    });
    ASSERT_TRUE(run_until(
        [&] {
            return over;
        },
        4 * kSecondMicros));
    EXPECT_EQ(c.got().at(out).how, "failed");
    expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
