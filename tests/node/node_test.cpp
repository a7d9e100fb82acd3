// Edge cases of a front node in virtual time, with stand-in engines, clients and name service.
#include "rig.hpp"

namespace gatetiller::testing {
namespace {

using Fields = thrift::Fields;

bool received_command(const lab::PlatformEngine& e, const std::string& command) {
    return std::find(e.commands.begin(), e.commands.end(), command) != e.commands.end();
}
std::size_t count_with(const lab::Records& record, const std::string& event) {
    return static_cast<std::size_t>(
        std::count_if(record.engines.begin(), record.engines.end(), [&](const auto& e) {
            return e.entry.event == event;
        }));
}

TEST_F(VirtualNodeTest, ServesCompleteResultsPageByPage) {
    add_engine("s-1"), add_engine("s-2");
    start();
    auto& client = add_client();
    std::map<std::int32_t, std::size_t> rows;
    for (const std::size_t n : {0u, 1u, 60u, 900u})
        rows[client.ask(make_request("lookup", 5, n))] = n;
    ASSERT_TRUE(run_until([&] {
        return client.open() == 0;
    }));
    for (const auto& [seq, n] : rows)
        EXPECT_EQ(client.got().at(seq).how, "served") << n << " rows";
    expect_no_violations();
}

TEST_F(VirtualNodeTest, CancellationStopsTheEngineAndSendsNoResponse) {
    auto& e = add_engine("s-1");
    start();
    auto& client = add_client();
    const auto request = make_request("lookup", 3000);
    const auto seq = client.ask(request);
    ASSERT_TRUE(run_until([&] {
        return e.open() == 1;
    }));
    client.give_up(seq);
    ASSERT_TRUE(run_until([&] {
        return e.open() == 0;
    }));
    ASSERT_TRUE(run_until([&] {
        return node->active_requests() == 0;
    }));
    EXPECT_TRUE(received_command(e, "undo " + request.trace));
    EXPECT_FALSE(client.got().contains(seq));
    expect_no_violations();
}

// A late response to the first attempt must not count for a second one with the same id (found by code
// review).
TEST_F(VirtualNodeTest, SecondAttemptAtTheSameEngineUsesAnotherConnection) {
    auto& e = add_engine("s-1");
    e.set({.fault = 1});
    start();
    auto& client = add_client();
    const auto seq = client.ask(make_request());
    ASSERT_TRUE(run_until([&] {
        return count_with(records, "fault") >= 2;
    }));
    e.set({});
    ASSERT_TRUE(run_until([&] {
        return client.open() == 0;
    }));
    EXPECT_EQ(client.got().at(seq).how, "served");
    EXPECT_GE(count_with(records, "arrived"), 3u);
    expect_no_violations();
}

TEST_F(VirtualNodeTest, MalformedResponseEndsOnlyItsConnection) {
    auto& one = add_engine("s-1");
    auto& two = add_engine("s-2");
    start();
    auto& client = add_client();
    for (auto* e : {&one, &two})
        e->set({.spoilt = 0.3, .doubled = 0.3});
    std::vector<std::int32_t> sequences;
    for (int i = 0; i < 200; ++i) {
        sequences.push_back(
            client.ask(make_request(i % 5 == 0 ? "load" : "lookup", 10, static_cast<std::size_t>(i))));
        advance_time(40 * kMillisecond);
    }
    ASSERT_TRUE(run_until([&] {
        return client.open() == 0;
    }));
    int served = 0;
    for (const auto seq : sequences)
        served += client.got().contains(seq) && client.got().at(seq).how == "served";
    EXPECT_GT(served, 150);
    expect_no_violations();
}

TEST_F(VirtualNodeTest, NeverRejectsRequestThatMayHaveBeenExecuted) {
    settings.policy.classes[1].idempotency = Idempotency::non_idempotent;
    for (int i = 1; i <= 3; ++i)
        add_engine("s-" + std::to_string(i))
            .set({.shed = 0.2, .fault = 0.2, .spoilt = 0.1, .reset = 0.2, .silent = 0.1});
    start();
    auto& client = add_client();
    for (int i = 0; i < 150; ++i) {
        client.ask(make_request("load", 10));
        advance_time(100 * kMillisecond);
    }
    ASSERT_TRUE(run_until([&] {
        return client.open() == 0;
    }));
    EXPECT_GT(count_with(records, "shed"), 10u);
    expect_no_violations();
}

TEST_F(VirtualNodeTest, DoesNotSendToDrainingEngineAndUsesNewOneAtItsAddress) {
    auto& old = add_engine("s-1", "127.1.0.1:5050");
    auto& other = add_engine("s-2", "127.1.0.2:5050");
    (void)other;
    start();
    auto& client = add_client();
    int sent = 0;
    const auto load = [&](Micros duration) {
        for (const Micros end = loop.now() + duration; loop.now() < end; ++sent) {
            client.ask(make_request("lookup", 10));
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
                      [](const auto& record) {
                          return record.engine == "s-3" && record.entry.event == "hit";
                      }),
        3);
    (void)fresh;
    ASSERT_TRUE(run_until([&] {
        return client.open() == 0;
    }));
    const auto report = check_rules();
    EXPECT_GT(report.drains, 0u);
    expect_no_violations();
}

TEST_F(VirtualNodeTest, LearnsOfDrainsFromFaultyNameService) {
    add_engine("s-1"), add_engine("s-2");
    start();
    name_service.set({.lost = 0.3, .failure = 0.1, .cut = 0.1, .foreign = 0.1, .old = 0.1});
    auto& client = add_client();
    for (int i = 0; i < 100; ++i) {
        if (i == 20 || i == 60)
            name_service.put({"s-1", "z", "std", {{"n0", *net::Address::parse("127.1.0.1:5050")}}, i == 20});
        client.ask(make_request());
        advance_time(100 * kMillisecond);
        if (i == 35) {
            EXPECT_NE(node->status().find("list=3"), std::string::npos) << node->status();
        }
    }
    ASSERT_TRUE(run_until([&] {
        return client.open() == 0;
    }));
    EXPECT_NE(node->status().find("list=4"), std::string::npos) << node->status();
    expect_no_violations();
}

TEST_F(VirtualNodeTest, ReloadSwitchesNameService) {
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

// The new name service does not respond yet: the list in the new configuration is the only update.
TEST_F(VirtualNodeTest, ReloadAppliesNewerConfiguredList) {
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
    EXPECT_NE(log.find("engine s-1 is draining"), std::string::npos) << log;
    // A configuration with an older list changes nothing.
    node->reload(settings);
    EXPECT_EQ(log.find("engine s-1 is ready"), std::string::npos) << log;
    EXPECT_NE(node->status().find("list=" + std::to_string(moved.known_serial)), std::string::npos);
}

// The platform's list of invalid clients: none may be served or reach an engine, and each must be rejected or
// closed soon.
TEST_F(VirtualNodeTest, RejectsOrClosesInvalidClientsWithoutReachingAnEngine) {
    add_engine("s-1");
    start();
    auto valid_request = make_request();
    const auto frame = [](const Fields& fields, const std::string& body, std::int32_t seq) {
        return thrift::process_call(seq, fields, body);
    };
    const Fields valid_fields{
        {"route", "lookup"}, {"trace", "9b1f03aa5c7e2d41"}, {"customer", "acme"}, {"patience", "1500"}};
    const auto with_field = [&](const std::string& name, const std::string& value) {
        Fields f = valid_fields;
        if (value.empty())
            f.erase(name);
        else
            f[name] = value;
        return f;
    };
    std::vector<std::string> invalid_messages{"GET / HTTP/1.1\r\n\r\n",
                                              std::string(100, '\xff'),
                                              std::string("\x7f\xff\xff\xff", 4) + std::string(200'000, 'x'),
                                              std::string("\0\0\0\x04\0\0\0\0", 8),
                                              frame(with_field("route", "nosuch"), "x", 1),
                                              frame(with_field("customer", "nobody"), "x", 1),
                                              frame(with_field("trace", ""), "x", 1),
                                              frame(with_field("patience", "-1"), "x", 1),
                                              frame(with_field("weight", "nan"), "x", 1),
                                              frame(valid_fields, "", 1),
                                              frame(valid_fields, std::string(40'000, 'x'), 1),
                                              frame(valid_fields, "SELECT 1", 3).substr(0, 60),
                                              ""};
    for (const auto& bytes : invalid_messages) {
        auto& client = add_client();
        if (!bytes.empty())
            client.raw(bytes);
        EXPECT_TRUE(run_until(
            [&] {
                return client.ended() || client.exceptions() > 0;
            },
            3 * kSecondMicros))
            << bytes.substr(0, 60);
    }
    EXPECT_EQ(count_with(records, "arrived"), 0u);
    // Two requests with the same sequence number: a response could not be assigned to either.
    auto& reused = add_client();
    reused.raw(frame(valid_fields, "SELECT 1 /* gt: work_ms=3000 */", 1) +
               frame(with_field("trace", "9b1f03aa5c7e2d42"), "SELECT 2", 1));
    EXPECT_TRUE(run_until(
        [&] {
            return reused.ended();
        },
        3 * kSecondMicros));
    // More open requests than the protocol allows.
    auto& many = add_client();
    std::string all;
    for (int i = 1; i <= 300; ++i) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", i);
        all += frame(with_field("trace", id), "SELECT 1 /* gt: work_ms=3000 */", i);
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
    // Hundreds of silent connections must not take capacity from clients with requests.
    for (int i = 0; i < 400; ++i)
        add_client();
    auto& regular = add_client();
    const auto seq = regular.ask(valid_request);
    ASSERT_TRUE(run_until([&] {
        return regular.open() == 0;
    }));
    EXPECT_EQ(regular.got().at(seq).how, "served");
    for (const auto& e : engines)
        EXPECT_TRUE(e->unusable().empty()) << e->unusable()[0];
}

// Requests accepted before a malformed message still get their responses.
TEST_F(VirtualNodeTest, MalformedMessageKeepsEarlierRequestsOfItsConnection) {
    add_engine("s-1");
    start();
    const std::vector<std::string> malformed{std::string(100, '\xff'), std::string("\0\0\0\x04\0\0\0\0", 8),
                                             thrift::process_call(0, {}, "SELECT 1")};
    for (const auto& bytes : malformed) {
        auto& client = add_client();
        const auto first = client.ask(make_request("lookup", 300)),
                   second = client.ask(make_request("load", 600));
        ASSERT_TRUE(run_until([&] {
            return engines[0]->open() == 2;
        }));
        client.raw(bytes);
        ASSERT_TRUE(run_until(
            [&] {
                return client.exceptions() == 1;
            },
            kSecondMicros))
            << bytes.substr(0, 20);
        EXPECT_TRUE(run_until(
            [&] {
                return client.ended();
            },
            5 * kSecondMicros));
        ASSERT_TRUE(client.got().contains(first) && client.got().contains(second)) << bytes.substr(0, 20);
        EXPECT_EQ(client.got().at(first).how, "served");
        EXPECT_EQ(client.got().at(second).how, "served");
    }
    expect_no_violations();
}

// A reused sequence number gets one response, the exception: the response to its first request would be a
// second one.
TEST_F(VirtualNodeTest, ReusedSequenceNumberGetsOneResponse) {
    add_engine("s-1");
    start();
    auto& client = add_client();
    const auto other = client.ask(make_request("lookup", 300)),
               reused = client.ask(make_request("lookup", 300));
    ASSERT_TRUE(run_until([&] {
        return engines[0]->open() == 2;
    }));
    client.raw(thrift::process_call(reused, {}, "SELECT 1"));
    EXPECT_TRUE(run_until(
        [&] {
            return client.ended();
        },
        5 * kSecondMicros));
    EXPECT_EQ(client.exceptions(), 1u);
    EXPECT_EQ(client.got().at(reused).how, "failed");
    ASSERT_TRUE(client.got().contains(other));
    EXPECT_EQ(client.got().at(other).how, "served");
    EXPECT_EQ(engines[0]->open(), 0u);
}

// With all connections silent and new, each new connection once evicted the longest silent one, and so also
// regular clients before their first request had arrived.
TEST_F(VirtualNodeTest, FloodOfSilentClientsEvictsNoClientAboutToSend) {
    add_engine("s-1");
    start();
    std::vector<lab::PlatformClient*> regular;
    for (int i = 0; i < 1500; ++i) {
        if (i % 300 == 299)
            advance_time(60 * kMillisecond);
        auto& client = add_client();
        if (i % 60 != 30)
            continue;
        regular.push_back(&client);
        client.ask(make_request());
    }
    ASSERT_TRUE(run_until([&] {
        return std::all_of(regular.begin(), regular.end(), [](const auto* client) {
            return client->open() == 0;
        });
    }));
    // Each pause of accepting admits one connection over the limit. The table grew by one per pause when a
    // new connection evicted only one.
    const auto at = node->status().find("clients=") + 8;
    EXPECT_LE(std::stoul(node->status().substr(at)), decide::derive_limits(256, 32).client_connections + 1)
        << node->status();
    for (const auto* client : regular)
        EXPECT_TRUE(client->got().contains(1) && client->got().at(1).how == "served");
    expect_no_violations();
}

TEST_F(VirtualNodeTest, PolicyAndConnectionsAgreeOnAttemptsInFlight) {
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
    auto& client = add_client();
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 30; ++i) {
            if (client.open() < 30)  // the protocol allows 32 open requests
                client.ask(
                    make_request(i % 6 == 0 ? "load" : "lookup", 30, static_cast<std::size_t>(i * 10)));
            advance_time(30 * kMillisecond);
        }
        // Under load the policy's count must equal the connections' count; at rest both must be 0.
        for (const auto& [module, sockets] : node->in_flight_by_engine())
            EXPECT_EQ(module, sockets);
    }
    ASSERT_TRUE(run_until([&] {
        return client.open() == 0 && node->active_requests() == 0;
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

TEST_F(VirtualNodeTest, PlannedRestartServesNewClientsAndRespondsToAllAccepted) {
    add_engine("s-1"), add_engine("s-2");
    start();
    auto& client = add_client();
    const auto quick = client.ask(make_request("lookup", 50)), slow = client.ask(make_request("load", 8'000));
    advance_time(10 * kMillisecond);
    bool drained = false;
    node->drain([&] {
        drained = true;
    });
    advance_time(300 * kMillisecond);
    auto& late = add_client();
    const auto late_sequence = late.ask(make_request("lookup", 50));
    advance_time(500 * kMillisecond);
    // Idle connections are closed by now, so further requests arrive on new ones.
    EXPECT_TRUE(late.ended());
    auto& last = add_client();
    const auto refused = last.ask(make_request("lookup", 50));
    ASSERT_TRUE(run_until(
        [&] {
            return drained;
        },
        3'600 * kMillisecond));
    EXPECT_EQ(client.got().at(quick).how, "served");
    EXPECT_EQ(late.got().at(late_sequence).how, "served");
    EXPECT_EQ(last.got().at(refused).how, "refused");
    EXPECT_EQ(client.got().at(slow).how,
              "refused");  // every engine recognizes its key, so its client may retry
    expect_no_violations();
}

TEST_F(VirtualNodeTest, RestartFailsRequestThatMayHaveBeenExecuted) {
    settings.policy.classes[1].idempotency = Idempotency::non_idempotent;
    auto& e = add_engine("s-1");
    start();
    auto& client = add_client();
    const auto sequence = client.ask(make_request("load", 8'000));
    ASSERT_TRUE(run_until([&] {
        return e.open() == 1;
    }));
    bool drained = false;
    node->drain([&] {
        drained = true;
    });
    ASSERT_TRUE(run_until(
        [&] {
            return drained;
        },
        4 * kSecondMicros));
    EXPECT_EQ(client.got().at(sequence).how, "failed");
    expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
