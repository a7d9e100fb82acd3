// Events that cross, over loopback sockets: the peer forces their order. docs/design/front-node.md has the
// table.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "resp/resp.hpp"
#include "rig.hpp"

namespace gatetiller::testing {
namespace {

using Fields = thrift::Fields;
using How = decide::ExchangeResult::Status;

// A socket of the test's own, non-blocking, for what no stand-in does.
class RawSocket {
public:
    explicit RawSocket(int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) : fd_(fd) {}
    ~RawSocket() {
        close();
    }
    RawSocket(const RawSocket&) = delete;
    RawSocket& operator=(const RawSocket&) = delete;
    static sockaddr_in kernel(const net::Address& to) {
        sockaddr_in in{};
        in.sin_family = AF_INET, in.sin_port = htons(to.port);
        inet_pton(AF_INET, to.host.c_str(), &in.sin_addr);
        return in;
    }
    void connect(const net::Address& to) {
        auto in = kernel(to);
        ::connect(fd_, reinterpret_cast<sockaddr*>(&in), sizeof in);
    }
    net::Address listen(int backlog) {
        auto in = kernel(*net::Address::parse("127.0.0.1:0"));
        EXPECT_EQ(::bind(fd_, reinterpret_cast<sockaddr*>(&in), sizeof in), 0);
        EXPECT_EQ(::listen(fd_, backlog), 0);
        socklen_t size = sizeof in;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&in), &size);
        return {net::Address::Family::ipv4, "127.0.0.1", ntohs(in.sin_port)};
    }
    std::unique_ptr<RawSocket> accept() {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        return fd < 0 ? nullptr : std::make_unique<RawSocket>(fd);
    }
    bool connected() const {
        pollfd p{fd_, POLLOUT, 0};
        return ::poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0 && (p.revents & (POLLERR | POLLHUP)) == 0;
    }
    void send(std::string_view bytes) {
        EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }
    // Reads what is there into `got`. False once the other side has ended; `reset` says how.
    bool read() {
        char piece[65536];
        for (;;) {
            const ssize_t n = ::recv(fd_, piece, sizeof piece, 0);
            if (n > 0) {
                got.append(piece, static_cast<std::size_t>(n));
                continue;
            }
            reset = n < 0 && errno != EAGAIN;
            return n < 0 && errno == EAGAIN;
        }
    }
    void receive_little() {
        const int size = 4096;
        setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    }
    void close() {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }

    std::string got;
    bool reset = false;

private:
    int fd_;
};

// An engine whose machine takes no connection until it is told to: whoever connects waits.
class HeldEngine {
public:
    HeldEngine() : address(listener_.listen(0)) {
        filler_.connect(address);
    }
    bool full() const {
        return filler_.connected();
    }
    void let_in() {
        EXPECT_TRUE(listener_.accept());
    }
    std::unique_ptr<RawSocket> accept() {
        return listener_.accept();
    }

private:
    RawSocket listener_, filler_;

public:
    net::Address address;
};

class Crossing : public SocketRig {
protected:
    Crossing() {
        settings.connect_timeout = 20 * kSecondMicros;
    }

    // What a client's request is, by its bytes.
    std::string call(const lab::PlatformClient::Ask& a, std::int32_t seq) const {
        Fields f{{"route", a.cls},
                 {"trace", a.trace},
                 {"customer", a.tenant},
                 {"patience", std::to_string(a.patience / kMillisecond)}};
        if (!a.nonce.empty())
            f["nonce"] = a.nonce;
        return thrift::process_call(seq, f, a.sql);
    }
    // Until the node's connection to a held engine has come up; what it then says first.
    std::string said_once_up(HeldEngine& held, std::size_t least) {
        held.let_in();
        std::unique_ptr<RawSocket> up;
        EXPECT_TRUE(until([&] {
            return (up = held.accept()) != nullptr;
        }));
        EXPECT_TRUE(until([&] {
            return !up->read() || up->got.size() >= least;
        }));
        return up->got;
    }
    // More clients than the table has places, each with a request of so much work, and a planned restart.
    void a_shutdown_behind_a_full_table_answers_everybody(int work_ms) {
        settings.sockets = 16;
        engine("s-1");
        start();
        const std::size_t table =
            decide::derive_limits(settings.sockets, settings.memory_mb).client_connections;
        std::vector<lab::PlatformClient*> busy;
        for (std::size_t i = 0; i < table + 3; ++i) {
            busy.push_back(&client());
            busy.back()->ask(ask("lookup", work_ms));
        }
        ASSERT_TRUE(until([&] {
            return node->status().find("waits=0") == std::string::npos;
        })) << node->status();
        bool over = false;
        node->drain([&] {
            over = true;
        });
        ASSERT_TRUE(until([&] {
            return over;
        }));
        for (const auto* c : busy) {
            EXPECT_EQ(c->open(), 0u);
            EXPECT_TRUE(c->got().contains(1)) << "ended without an answer";
        }
        expect_rules_kept();
    }
    // With one engine that holds whoever connects: a request that waits to go out to it.
    void request_waits(lab::PlatformClient& c, const lab::PlatformClient::Ask& a) {
        c.ask(a);
        ASSERT_TRUE(until([&] {
            return node->status().find("s-held:1/1/1") != std::string::npos;
        })) << node->status();
    }
};

// ---- Clients that have gone

TEST_F(Crossing, ARequestWhoseClientLeavesWhileItsConnectionComesUpIsNeverSent) {
    for (const bool may_cancel : {true, false}) {
        settings.policy.can_cancel = may_cancel;
        node.reset(), clients.clear(), settings.known_endpoints.clear();
        settings.listen = at("");
        HeldEngine held;
        ASSERT_TRUE(until([&] {
            return held.full();
        }));
        list("s-held", held.address);
        start();
        auto& leaves = client();
        const auto left = ask(), after = ask();
        request_waits(leaves, left);
        leaves.give_up(1);
        ASSERT_TRUE(until([&] {
            return node->active_requests() == 0;
        }));
        // Another one over the same connection is the first that the engine hears of.
        auto& stays = client();
        request_waits(stays, after);
        const std::string said = said_once_up(held, 60);
        EXPECT_EQ(said.find(left.trace), std::string::npos) << said;
        EXPECT_NE(said.find(after.trace), std::string::npos) << said;
        node.reset(), names.remove("s-held"), names.close("n0");
    }
}

TEST_F(Crossing, ARequestTakenBackInTheSameBreathReachesNoEngine) {
    auto& e = engine("s-1");
    start();
    const auto left = ask(), gone = ask();
    auto& c = client();
    c.raw(call(left, 1) + thrift::give_up_call(2, 1));
    {
        RawSocket leaves;
        leaves.connect(settings.listen);
        ASSERT_TRUE(until([&] {
            return leaves.connected();
        }));
        leaves.send(call(gone, 1));
    }  // its end stands behind the request
    auto& stays = client();
    const auto seq = stays.ask(ask());
    ASSERT_TRUE(until([&] {
        return stays.open() == 0 && node->active_requests() == 0;
    }));
    EXPECT_EQ(stays.got().at(seq).how, "served");
    for (const auto& r : records.engines)
        for (const auto& a : {left, gone})
            EXPECT_NE(r.entry.trace, a.trace) << r.entry.event;
    EXPECT_TRUE(e.commands.empty()) << e.commands[0];
    expect_rules_kept();
}

// ---- Deadlines passed on

std::int64_t passed_on_ms(const std::string& said) {
    const auto at = said.find("ms=");
    return at == std::string::npos ? -1 : std::stoll(said.substr(at + 3));
}

TEST_F(Crossing, TheTimeThatAConnectionTakesIsTakenOffTheDeadlinePassedOn) {
    HeldEngine held;
    ASSERT_TRUE(until([&] {
        return held.full();
    }));
    list("s-held", held.address);
    start();
    auto& c = client();
    const auto a = ask();
    const Micros asked = loop.now();
    request_waits(c, a);
    ASSERT_TRUE(until([&] {
        return loop.now() - asked > 800 * kMillisecond;
    }));
    const std::string said = said_once_up(held, 60);
    const Micros left = asked + a.patience - loop.now();
    ASSERT_GT(passed_on_ms(said), 0) << said;
    EXPECT_LE(passed_on_ms(said), left / kMillisecond + 150) << said;
}

// Of many messages that came during a stall, those left for the next turn have waited through it too.
TEST_F(Crossing, AMessageLeftForTheNextTurnHasWaitedThroughTheStallBeforeIt) {
    engine("s-1");
    start();
    RawSocket c;
    c.connect(settings.listen);
    ASSERT_TRUE(until([&] {
        return c.connected();
    }));
    std::string many;
    for (int i = 1; i <= 80; ++i)
        many += thrift::give_up_call(i, 1);
    const auto a = ask();
    many += call(a, 81);
    loop.after(0, [&] {
        c.send(many);
        const timespec stall{0, 200'000'000};
        ::nanosleep(&stall, nullptr);
    });
    ASSERT_TRUE(until([&] {
        return log.find(a.trace + " lookup accepted") != std::string::npos;
    }));
    const auto left_at = log.find("left_ms=", log.find(a.trace + " lookup accepted"));
    EXPECT_LE(std::stoll(log.substr(left_at + 8)), a.patience / kMillisecond - 150);
}

// ---- What an end proves

struct Ends final : node::Exchange::Events {
    void on_progress(ProgressKind, double) override {}
    void on_end(decide::ExchangeResult e) override {
        how = e.status, why = e.detail;
    }
    std::string why;
    std::optional<node::Exchange::Request> current_request() override {
        return node::Exchange::Request{"-", body};
    }
    bool may_begin(std::uint64_t) override {
        return allowed;
    }
    bool allowed = true;
    std::optional<How> how;
    std::string body = std::string(40'000, 'x');
};

// What the guard says of a first attempt at an engine that is listed.
decide::AttemptPermit permit() {
    static const PolicySettings settings = [] {
        PolicySettings s;
        s.max_attempts = 1;
        return s;
    }();
    decide::AttemptContext facts;
    facts.time_left = kSecondMicros, facts.target.listed = true;
    return *decide::AttemptGuard(settings).permit(facts, ClassSettings{}, std::nullopt);
}

// Many large requests on one connection to an engine that reads nothing: the first are with the kernel, the
// last wait behind them.
class DeafEngine : public ::testing::Test {
protected:
    void SetUp() override {
        raw.receive_little();
        const auto address = raw.listen(16);
        decide::ConnectionLimits limits{.max_connections = 1, .max_streams = 10'000};
        pool.max_connections = 1;
        link = std::make_unique<node::EngineConnections>(loop, address, limits, pool);
        for (int i = 0; i < 300; ++i) {
            ends.push_back(std::make_unique<Ends>());
            exchanges.push_back(link->send_request(permit(), "id-" + std::to_string(i) + ".", *ends.back()));
        }
        ASSERT_TRUE(await(loop, [&] {
            return (peer = raw.accept()) != nullptr;
        }));
        for (int i = 0; i < 50; ++i)
            loop.turn(0);
    }
    net::PollLoop loop;
    RawSocket raw;
    std::unique_ptr<RawSocket> peer;
    node::ConnectionPool pool;
    std::vector<std::unique_ptr<Ends>> ends;
    std::vector<std::unique_ptr<node::Exchange>> exchanges;
    std::unique_ptr<node::EngineConnections> link;
};

TEST_F(DeafEngine, WhatWaitsBehindOneThatReadsNothingIsTakenBackWithoutAWord) {
    EXPECT_FALSE(exchanges.front()->withdraw_unsent());  // with the kernel
    EXPECT_TRUE(exchanges[298]->withdraw_unsent());
    exchanges[299]->set_priority(3);
    exchanges[299].reset();  // given up: neither it nor what was said of it goes out
    exchanges[297]->set_priority(2);
    ASSERT_TRUE(await(loop, [&] {
        peer->read();
        return peer->got.find("bump") != std::string::npos;
    }));
    EXPECT_NE(peer->got.find("id-297."), std::string::npos);
    EXPECT_EQ(peer->got.find("id-298."), std::string::npos);
    EXPECT_EQ(peer->got.find("id-299."), std::string::npos);
    EXPECT_EQ(peer->got.find("undo"), std::string::npos);
}

// Of a request given up while it goes out, the rest must not follow: its attempt would begin when its client
// is long gone.
TEST_F(DeafEngine, ARequestGivenUpInTheMiddleOfItsSendingNeverArrivesWhole) {
    // The first that a look at the buffer can't take back is either whole with the kernel or partly so: all
    // of those.
    for (auto& e : exchanges)
        if (!e->withdraw_unsent())
            e.reset();
    ASSERT_TRUE(await(loop, [&] {
        const bool open = peer->read();
        return !open || link->size() == 0;
    }));
    for (int i = 0; i < 50; ++i)
        loop.turn(kMillisecond);
    peer->read();
    // Every request that came whole was handed to the kernel before; what was cut stands at the very end.
    std::vector<std::string_view> words;
    std::size_t size = 0;
    std::string_view rest = peer->got;
    while (resp::read_array(rest, {4, 64 * 1024}, words, size) == resp::Reading::whole)
        rest.remove_prefix(size);
    EXPECT_EQ(rest.find("undo"), std::string_view::npos);
    EXPECT_EQ(rest.find("\r\n*"), std::string_view::npos) << "something followed a request cut in its middle";
    EXPECT_EQ(link->size(), 0u);
}

// What the kernel still holds of requests given up, for an engine that has acknowledged nothing of it, would
// begin whenever that engine reads again: seconds after its drain's grace, or after its client has left.
TEST_F(DeafEngine, WhatTheKernelHoldsOfRequestsGivenUpNeverArrives) {
    for (auto& e : exchanges)
        e.reset();
    ASSERT_TRUE(await(loop, [&] {
        return link->size() == 0;
    }));
    ASSERT_TRUE(await(loop, [&] {
        return !peer->read();
    }));
    EXPECT_TRUE(peer->reset);
    EXPECT_LT(peer->got.size(), 200'000u) << "more than its own buffer had taken";
}

// The permit of a request counts when its first byte goes to the kernel, however shortly before it was
// written down.
TEST(EngineLinkTest, ARequestThatMayNotBeginAnyMoreWhenItsConnectionComesUpNeverDoes) {
    net::PollLoop loop;
    RawSocket raw;
    node::ConnectionPool pool;
    node::EngineConnections link(loop, raw.listen(16), {.max_connections = 1, .max_streams = 10}, pool);
    Ends first, second;
    const auto a = link.send_request(permit(), "id-a.", first),
               b = link.send_request(permit(), "id-b.", second);
    first.allowed = false;
    std::unique_ptr<RawSocket> peer;
    ASSERT_TRUE(await(loop, [&] {
        return (peer = raw.accept()) != nullptr;
    }));
    ASSERT_TRUE(await(loop, [&] {
        peer->read();
        return first.how && peer->got.find("id-b.") != std::string::npos;
    }));
    EXPECT_EQ(first.how, How::not_sent);
    EXPECT_EQ(peer->got.find("id-a."), std::string::npos);
}

// An engine that reads nothing, and so acknowledges little: most of a large request stays with this machine's
// kernel. Its attempts may not be called off, so that nothing but the rule itself ends them.
class UnacknowledgedRequest : public Crossing {
protected:
    UnacknowledgedRequest() {
        settings.policy.can_cancel = false;
        settings.policy.drain_grace = 300 * kMillisecond;
        raw.receive_little();
        address = raw.listen(16);
    }
    void begin_one() {
        list("s-raw", address);
        start();
        auto a = ask("load");
        a.sql += std::string(20'000, 'x');
        seq = client().ask(a);
        ASSERT_TRUE(until([&] {
            return (peer = raw.accept()) != nullptr;
        }));
        ASSERT_TRUE(until([&] {
            return log.find(a.trace + " load attempt 0 at s-raw begins") != std::string::npos;
        }));
        began = loop.now();
    }
    // Nobody reads meanwhile: what has been discarded never arrives.
    void expect_discarded_by(Micros longest) {
        ASSERT_TRUE(until(
            [&] {
                return node->status().find("discarded=1") != std::string::npos;
            },
            longest))
            << node->status();
        ASSERT_TRUE(until([&] {
            return !peer->read();
        }));
        EXPECT_TRUE(peer->reset);
        EXPECT_LT(peer->got.size(), 20'000u);
    }
    RawSocket raw;
    net::Address address;
    std::unique_ptr<RawSocket> peer;
    std::int32_t seq = 0;
    Micros began = 0;
};

TEST_F(UnacknowledgedRequest, IsDiscardedBeforeTheGraceOfItsEnginesDrainIsOver) {
    begin_one();
    engine("s-2");
    list("s-raw", address, true);
    ASSERT_TRUE(until([&] {
        return log.find("engine s-raw drains") != std::string::npos;
    }));
    expect_discarded_by(settings.policy.drain_grace + 50 * kMillisecond);
    auto& c = *clients.back();
    ASSERT_TRUE(until([&] {
        return c.open() == 0;
    }));
    EXPECT_EQ(c.got().at(seq).how, "served");
    EXPECT_LT(loop.now() - began, 3 * kSecondMicros);
}

TEST_F(UnacknowledgedRequest, IsDiscardedWhenItsClientLeaves) {
    begin_one();
    clients.back()->give_up(seq);
    expect_discarded_by(100 * kMillisecond);
    ASSERT_TRUE(until([&] {
        return node->active_requests() == 0;
    }));
}

// Its deadline is what is left when it goes out, also behind an engine that reads nothing for a while.
TEST_F(DeafEngine, WhatWaitsBehindOneThatReadsNothingIsWrittenAnewWhenItGoesOut) {
    for (const auto& e : ends)
        e->body = std::string(40'000, 'y');
    const Micros since = loop.now();
    ASSERT_TRUE(await(loop, [&] {
        return loop.now() - since > 50 * kMillisecond;
    }));
    ASSERT_TRUE(await(loop, [&] {
        peer->read();
        return ends.back()->how ||
               (peer->got.find("id-299.") != std::string::npos && peer->got.ends_with("y\r\n"));
    }));
    if (ends.back()->how) {
        // This machine took longer over one request than a part of it may be out: it is cut off, and the last
        // never goes out.
        EXPECT_EQ(ends.back()->why, "its first part had gone out too long ago");
        EXPECT_EQ(ends.back()->how, How::not_sent);
        EXPECT_GT(loop.now() - since, 120 * kMillisecond);
        EXPECT_EQ(peer->got.find("id-299."), std::string::npos);
        return;
    }
    EXPECT_GT(pool.rewritten, 0u);
    const auto last = peer->got.rfind("id-299.");
    EXPECT_EQ(peer->got.find('x', last), std::string::npos);
    // In their order, each once.
    std::size_t at = 0;
    for (int i = 0; i < 300; ++i) {
        const std::string id = "id-" + std::to_string(i) + ".";
        const auto found = peer->got.find(id, at);
        ASSERT_NE(found, std::string::npos) << id;
        at = found + id.size();
        EXPECT_EQ(peer->got.find(id, at), std::string::npos) << id << " twice";
    }
}

TEST_F(DeafEngine, AResetLosesWhatWasWrittenAndProvesThatTheRestNeverRan) {
    peer->close();  // over unread bytes: a reset
    ASSERT_TRUE(await(loop, [&] {
        return std::all_of(ends.begin(), ends.end(), [](const auto& e) {
            return e->how.has_value();
        });
    }));
    EXPECT_EQ(ends.front()->how, How::connection_lost);
    EXPECT_EQ(ends.back()->how, How::not_sent);
    // In the order of sending: all that may have run before all that can't have.
    const auto first_unsent = std::find_if(ends.begin(), ends.end(), [](const auto& e) {
        return e->how == How::not_sent;
    });
    for (auto e = ends.begin(); e != ends.end(); ++e)
        EXPECT_EQ((*e)->how, e < first_unsent ? How::connection_lost : How::not_sent);
}

TEST_F(DeafEngine, AnAnswerThatCantBeReadLosesNothingThatWasNeverSent) {
    peer->send("*1\r\n$-7\r\n");
    ASSERT_TRUE(await(loop, [&] {
        return ends.back()->how.has_value();
    }));
    EXPECT_EQ(ends.front()->how, How::connection_lost);
    EXPECT_EQ(ends.back()->how, How::not_sent);
}

// A class that may not be repeated is tried again where its first connection ended before it was written.
TEST_F(Crossing, OnceIsTriedAgainOnlyWhereItWasProvablyNeverSent) {
    settings.policy.classes[1].idempotency = Idempotency::non_idempotent;
    HeldEngine held;
    ASSERT_TRUE(until([&] {
        return held.full();
    }));
    list("s-held", held.address);
    start();
    auto& c = client();
    const auto a = ask("load");
    request_waits(c, a);
    // Its engine begins to drain: what waits is taken back, and goes to one that was listed meanwhile.
    engine("s-2");
    list("s-held", held.address, true);
    ASSERT_TRUE(until([&] {
        return c.open() == 0;
    }));
    EXPECT_EQ(c.got().at(1).how, "served");
    expect_rules_kept();
}

// A repeat must arrive while the engines still know its key: not when its connection at last comes up.
TEST_F(Crossing, ARepeatThatWaitsPastItsWindowIsTakenBack) {
    settings.policy.classes[1].key_window = 1'500 * kMillisecond;
    HeldEngine held;
    ASSERT_TRUE(until([&] {
        return held.full();
    }));
    auto& first = engine("s-1");
    first.set({.silent = 1});
    start();
    auto& c = client();
    const auto a = ask("load", 1);
    c.ask(a);
    ASSERT_TRUE(until([&] {
        return first.open() == 1;
    }));
    list("s-held", held.address);
    ASSERT_TRUE(until([&] {
        return node->status().find("s-held") != std::string::npos;
    }));
    first.die();
    ASSERT_TRUE(until([&] {
        return node->status().find("s-held:1/1/1") != std::string::npos;
    })) << node->status();
    ASSERT_TRUE(until([&] {
        return c.open() == 0;
    }));
    EXPECT_EQ(c.got().at(1).how, "refused");  // whoever asks again with the key is told by any engine
    EXPECT_NE(node->status().find("s-held:0/0/1"), std::string::npos) << node->status();
    auto& stays = client();
    const auto after = ask();
    request_waits(stays, after);
    const std::string said = said_once_up(held, 60);
    EXPECT_EQ(said.find(a.trace), std::string::npos) << said;
    EXPECT_NE(said.find(after.trace), std::string::npos) << said;
}

// ---- Lists

TEST_F(Crossing, WhatIsOutAtAnEnginesOldAddressEndsAtOnceAndIsTriedAtTheNewOne) {
    auto& e = engine("s-1");
    start();
    auto& c = client();
    c.ask(ask("lookup", 3'500));
    ASSERT_TRUE(until([&] {
        return e.open() == 1;
    }));
    const Micros since = loop.now();
    lab::PlatformEngineSettings other;
    other.name = "s-1", other.at_once = 8;
    lab::PlatformEngine moved(loop, other, records);
    const auto place = moved.listen("n0", at(""));
    list("s-1", *place);
    ASSERT_TRUE(until([&] {
        return moved.open() == 1;
    }));
    EXPECT_LT(loop.now() - since, 3 * kSecondMicros);  // not when its own time was up
    c.give_up(1);
    ASSERT_TRUE(until([&] {
        return moved.open() == 0 && e.open() == 0;
    }));
    expect_rules_kept();
}

// ---- Making room

TEST_F(Crossing, RestingClientsThatFillTheTableKeepNobodyOutside) {
    engine("s-1");
    start();
    const std::size_t table = decide::derive_limits(settings.sockets, settings.memory_mb).client_connections;
    const auto comes = [&] {
        auto& c = client();
        c.ask(ask("lookup", 1));
        ASSERT_TRUE(until([&] {
            return c.open() == 0;
        })) << node->status();
        ASSERT_EQ(c.got().size(), 1u) << node->status();
        ASSERT_EQ(c.got().at(1).how, "served");
    };
    const auto clients_now = [&] {
        return std::stoul(node->status().substr(node->status().find("clients=") + 8));
    };
    while (clients_now() + 1 < table - table / 8)
        comes();
    const Micros full = loop.now();
    ASSERT_TRUE(until([&] {
        return loop.now() > full + decide::ClientTimeouts{}.next_request_grace;
    }));
    // All have asked once and stay. A silent one ahead of each newcomer must not make it wait.
    for (std::size_t i = 0; i < table / 4; ++i) {
        client();
        comes();
    }
    EXPECT_NE(node->status().find("waits=0"), std::string::npos) << node->status();
    EXPECT_LE(clients_now(), table);
    expect_rules_kept();
}

// A request that has come already when its connection is to make room is served, not reset.
TEST_F(Crossing, ARequestThatIsThereWhenItsConnectionIsToMakeRoomIsServed) {
    settings.sockets = 64;
    engine("s-1");
    start();
    const std::size_t table = decide::derive_limits(settings.sockets, settings.memory_mb).client_connections;
    RawSocket rests;
    rests.connect(settings.listen);
    ASSERT_TRUE(until([&] {
        return rests.connected();
    }));
    rests.send(call(ask("lookup", 1), 1));
    ASSERT_TRUE(until([&] {
        return rests.read() && !rests.got.empty();
    }));
    const Micros full = loop.now();
    ASSERT_TRUE(until([&] {
        return loop.now() > full + decide::ClientTimeouts{}.next_request_grace;
    }));
    // As many as fill the table stand in the listen backlog when it speaks: they are taken in in one turn,
    // ahead of it or behind it.
    std::vector<std::unique_ptr<RawSocket>> many;
    for (std::size_t i = 0; i < table; ++i) {
        many.push_back(std::make_unique<RawSocket>());
        many.back()->connect(settings.listen);
    }
    rests.got.clear();
    rests.send(call(ask("lookup", 1), 2));
    ASSERT_TRUE(until([&] {
        return !rests.read() || !rests.got.empty();
    }));
    EXPECT_NE(rests.got.find("row 2"), std::string::npos) << node->status();
    expect_rules_kept();
}

TEST_F(Crossing, AClientThatWritesSlowlyKeepsTheAnswerThatItWaitsFor) {
    engine("s-1");
    start();
    RawSocket c;
    c.connect(settings.listen);
    ASSERT_TRUE(until([&] {
        return c.connected();
    }));
    const auto slow = ask("lookup", 2'600), half = ask();
    const std::string second = call(half, 2);
    c.send(call(slow, 1) + second.substr(0, 30));
    // Past the time for half a request, with the first one still out: its answer comes, then the rest counts.
    ASSERT_TRUE(until([&] {
        return !c.read() || c.got.find("row 2") != std::string::npos;
    }));
    ASSERT_NE(c.got.find("row 2"), std::string::npos) << "closed: " << node->status();
    expect_rules_kept();
}

// Half a message stands for its two seconds; the rest of it, many that need no answer and a request come in
// the very moment in which its connection would be closed for that.
TEST_F(Crossing, ARequestBehindManyMessagesIsServedWhenItsConnectionIsAboutToBeClosed) {
    engine("s-1");
    start();
    RawSocket c;
    c.connect(settings.listen);
    ASSERT_TRUE(until([&] {
        return c.connected();
    }));
    const std::string first = thrift::give_up_call(1, 1);
    c.send(first.substr(0, 10));
    const Micros half = loop.now();
    std::string rest = first.substr(10);
    for (int i = 2; i <= 40; ++i)
        rest += thrift::give_up_call(i, 1);
    rest += call(ask("lookup", 1), 41);
    const Micros limit = decide::ClientTimeouts{}.partial_request_timeout;
    ASSERT_TRUE(until([&] {
        return loop.now() - half > limit - 50 * kMillisecond;
    }));
    // All due in one turn: this process stands still for longer than the time between two looks at the
    // clients.
    loop.after(0, [] {
        const timespec stall{0, 150'000'000};
        ::nanosleep(&stall, nullptr);
    });
    loop.after(kMillisecond, [&] {
        c.send(rest);
    });
    ASSERT_TRUE(until([&] {
        return !c.read() || c.got.find("row 2") != std::string::npos;
    }));
    EXPECT_NE(c.got.find("row 2"), std::string::npos) << "closed without an answer: " << node->status();
    expect_rules_kept();
}

// ---- Shutdown

TEST_F(Crossing, AShutdownWaitsForAnswersThatTheirClientsHaveNotRead) {
    settings.memory_mb = 256;
    engine("s-1");
    start();
    RawSocket c;
    c.receive_little();
    c.connect(settings.listen);
    ASSERT_TRUE(until([&] {
        return c.connected();
    }));
    std::string all;
    for (int i = 1; i <= 32; ++i)
        all += call(ask("lookup", 1, 700), i);
    std::size_t sent = 0;
    ASSERT_TRUE(until([&] {
        if (sent < all.size()) {
            const auto piece = std::string_view(all).substr(sent, 1000);
            c.send(piece), sent += piece.size();
        }
        return node->status().find("served=32") != std::string::npos;
    })) << node->status();
    bool over = false;
    const Micros since = loop.now();
    node->drain([&] {
        over = true;
    });
    const auto times = decide::derive_shutdown_schedule(settings.policy);
    ASSERT_TRUE(until([&] {
        return loop.now() - since > times.listen_until + 100 * kMillisecond;
    }));
    EXPECT_FALSE(over) << "answers stood unsent";
    ASSERT_TRUE(until([&] {
        return !c.read();
    }));
    EXPECT_FALSE(c.reset);
    std::size_t answers = 0;
    for (std::size_t at = c.got.find("row 699\n"); at != std::string::npos;
         at = c.got.find("row 699\n", at + 1))
        ++answers;
    EXPECT_EQ(answers, 32u);
    c.close();
    ASSERT_TRUE(until([&] {
        return over;
    }));
    EXPECT_LT(loop.now() - since, times.exit_at);
}

TEST_F(Crossing, ARequestThatCrossesTheShutdownOfARestingConnectionIsNotServed) {
    auto& e = engine("s-1");
    start();
    RawSocket rests;
    rests.connect(settings.listen);
    ASSERT_TRUE(until([&] {
        return rests.connected();
    }));
    rests.send(call(ask("lookup", 1), 1));
    ASSERT_TRUE(until([&] {
        return rests.read() && !rests.got.empty();
    }));
    bool over = false;
    node->drain([&] {
        over = true;
    });
    ASSERT_TRUE(until([&] {
        return !rests.read();
    }));  // it is ended, in order
    EXPECT_FALSE(rests.reset);
    const std::string before = rests.got;
    const auto crossing = ask();
    rests.send(call(crossing, 2));
    ASSERT_TRUE(until([&] {
        return over;
    }));
    for (const auto& r : records.engines)
        EXPECT_NE(r.entry.trace, crossing.trace);
    rests.read();
    EXPECT_EQ(rests.got, before);
    EXPECT_EQ(e.open(), 0u);
}

// Accepting pauses where the table is full of clients with requests open; a restart begins then.
TEST_F(Crossing, WhoeverWaitsInTheListenBacklogAtAShutdownIsAnswered) {
    a_shutdown_behind_a_full_table_answers_everybody(400);
}

// Requests that run past the time for which the listener stays fill the table until then.
TEST_F(Crossing, WhoeverWaitsBehindATableThatStaysFullAtAShutdownIsAnswered) {
    a_shutdown_behind_a_full_table_answers_everybody(1'500);
}

}  // namespace
}  // namespace gatetiller::testing
