// The memory of results whose pages are still arriving: the budget itself, and over loopback sockets.
#include "node/result_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

#include "base/await.hpp"
#include "net/poll_loop.hpp"
#include "node/engine_connections.hpp"
#include "raw_socket.hpp"
#include "recorded_exchange.hpp"
#include "resp/resp.hpp"

namespace gatetiller::testing {
namespace {

using Status = decide::ExchangeResult::Status;

class ResultBudgetTest : public ::testing::Test {
protected:
    void reserve(std::size_t index, std::size_t bytes) {
        budget.reserve(reservations.at(index), bytes, [this, index] {
            granted.push_back(index);
        });
    }
    void turn_often() {
        for (int i = 0; i < 5; ++i)
            loop.turn(0);
    }
    net::PollLoop loop;
    node::ResultBudget budget{loop};
    std::deque<node::ResultBudget::Reservation> reservations{8};
    std::vector<std::size_t> granted;
};

TEST_F(ResultBudgetTest, GrantsInOrderAsBytesAreReturned) {
    budget.set_limit(100);
    reserve(0, 60);
    reserve(1, 60);
    reserve(2, 30);  // would fit, but waits behind the one before
    EXPECT_EQ(granted, (std::vector<std::size_t>{0}));
    reservations[0].release();
    turn_often();
    EXPECT_EQ(granted, (std::vector<std::size_t>{0, 1, 2}));
    EXPECT_EQ(budget.reserved_bytes(), 90u);
    EXPECT_EQ(budget.waited(), 2u);
}

TEST_F(ResultBudgetTest, AReservationThatIsReleasedWhileItWaitsIsNeverGranted) {
    budget.set_limit(100);
    reserve(0, 100);
    reserve(1, 100);
    reserve(2, 100);
    reservations[1].release();
    reservations[0].release();
    turn_often();
    EXPECT_EQ(granted, (std::vector<std::size_t>{0, 2}));
    EXPECT_EQ(budget.reserved_bytes(), 100u);
}

// Guards against waiting without end for a result larger than the whole limit, and after it was lowered.
TEST_F(ResultBudgetTest, GrantsAResultLargerThanTheLimitAlone) {
    budget.set_limit(100);
    reserve(0, 100);
    reserve(1, 200);
    budget.set_limit(10);
    turn_often();
    EXPECT_EQ(granted, (std::vector<std::size_t>{0}));
    reservations[0].release();
    turn_often();
    EXPECT_EQ(granted, (std::vector<std::size_t>{0, 1}));
}

// Requests on one connection to an engine with results of eight pages each.
class LargeResults : public ::testing::Test {
protected:
    static constexpr int kRequests = 60;
    static constexpr std::size_t kPages = 8;
    static constexpr std::size_t kLimit = 100'000;  // the further pages of two results

    void SetUp() override {
        pool.results.set_limit(kLimit);
        connections = std::make_unique<node::EngineConnections>(
            loop, raw.listen(16), decide::ConnectionLimits{.max_connections = 1, .max_streams = 100}, pool);
        for (int i = 0; i < kRequests; ++i) {
            events.push_back(std::make_unique<RecordedEvents>());
            events.back()->body = "SELECT 1";
            exchanges.push_back(connections->send_request(permit(), id_of(i), *events.back()));
        }
        ASSERT_TRUE(await(loop, [&] {
            return (peer = raw.accept()) != nullptr;
        }));
        ASSERT_TRUE(await(loop, [&] {
            peer->read();
            return peer->received.find(id_of(kRequests - 1)) != std::string::npos;
        }));
        for (int i = 0; i < kRequests; ++i)
            peer->send(resp::array({id_of(i), "HIT", "chunks=" + std::to_string(kPages), page()}));
    }
    static std::string id_of(int number) {
        return "id-" + std::to_string(number) + ".";
    }
    static std::string page() {
        return std::string(5'900, 'x') + "\ta\tb\n";
    }
    bool is_requested(int number, std::size_t page_number) {
        peer->read();
        const std::string wanted = resp::array({"page", id_of(number), std::to_string(page_number)});
        return peer->received.find(wanted) != std::string::npos;
    }
    std::vector<int> requested_results() {
        std::vector<int> requested;
        for (int i = 0; i < kRequests; ++i)
            if (is_requested(i, kPages - 1))
                requested.push_back(i);
        return requested;
    }
    void send_further_pages(int number) {
        for (std::size_t at = 1; at < kPages; ++at)
            peer->send(resp::array({id_of(number), "PART", "at=" + std::to_string(at), page()}));
    }
    void turn_often() {
        for (int i = 0; i < 50; ++i)
            loop.turn(kMillisecond);
    }
    net::PollLoop loop;
    RawSocket raw;
    node::ConnectionPool pool{loop};
    std::vector<std::unique_ptr<RecordedEvents>> events;
    std::unique_ptr<node::EngineConnections> connections;
    std::vector<std::unique_ptr<node::Exchange>> exchanges;
    std::unique_ptr<RawSocket> peer;
};

// Guards against a node that is killed for memory because clients ask for many large results at once.
TEST_F(LargeResults, PagesAreRequestedWithinTheLimitAndAllResultsAreCompleted) {
    ASSERT_TRUE(await(loop, [&] {
        return is_requested(0, kPages - 1);
    }));
    turn_often();
    EXPECT_EQ(requested_results(), (std::vector<int>{0, 1}));
    std::size_t most_reserved = 0;
    for (int i = 0; i < kRequests; ++i) {
        ASSERT_TRUE(await(loop, [&] {
            most_reserved = std::max(most_reserved, pool.results.reserved_bytes());
            return is_requested(i, kPages - 1);
        })) << i;
        send_further_pages(i);
    }
    ASSERT_TRUE(await(loop, [&] {
        return std::ranges::all_of(events, [](const auto& event) {
            return event->status == Status::completed;
        });
    }));
    EXPECT_LE(most_reserved, kLimit);
    EXPECT_EQ(pool.results.reserved_bytes(), 0u);
}

// Guards against results that wait for the memory of others that will never be complete.
TEST_F(LargeResults, ResultsThatAreNoLongerWantedReturnTheirMemory) {
    ASSERT_TRUE(await(loop, [&] {
        return is_requested(1, kPages - 1) && pool.results.waited() == kRequests - 2;
    }));
    for (int i = 0; i < kRequests / 2; ++i)
        exchanges[static_cast<std::size_t>(i)].reset();
    ASSERT_TRUE(await(loop, [&] {
        return is_requested(kRequests / 2, kPages - 1);
    }));
    connections->end_all("test");
    EXPECT_EQ(pool.results.reserved_bytes(), 0u);
    EXPECT_EQ(events.back()->status, Status::connection_lost);
}

}  // namespace
}  // namespace gatetiller::testing
