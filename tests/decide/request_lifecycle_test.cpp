// RequestLifecycle under random sequences of events.
#include "decide/request_lifecycle.hpp"

#include <gtest/gtest.h>

#include <array>
#include <set>
#include <utility>

#include "base/random.hpp"

namespace gatetiller::decide {
namespace {

TEST(Life, WhateverHappensInWhateverOrderItsPromisesHold) {
    constexpr std::array kAll = {RequestEvent::attempt_started,    RequestEvent::streaming_started,
                                 RequestEvent::attempt_ended,      RequestEvent::response_ready,
                                 RequestEvent::response_delivered, RequestEvent::client_disconnected};
    std::set<std::pair<RequestPhase, bool>> reached;
    for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
        Random random(seed);
        RequestLifecycle life;
        int answers = 0, ends = 0, rows = 0;
        bool had_rows = false;
        for (int i = 0; i < 30; ++i) {
            const RequestEvent h = kAll[random.below(kAll.size())];
            const RequestLifecycle before = life;
            if (!life.apply(h)) {
                EXPECT_EQ(life.phase(), before.phase()) << "seed " << seed;
                continue;
            }
            answers += h == RequestEvent::response_ready;
            rows += h == RequestEvent::streaming_started;
            ends += h == RequestEvent::response_delivered || h == RequestEvent::client_disconnected;
            if (h == RequestEvent::attempt_started) {
                EXPECT_FALSE(before.attempt_in_flight() || before.finished() || had_rows)
                    << "seed " << seed;  // one at a time, none after rows or a final response
            }
            had_rows = had_rows || h == RequestEvent::streaming_started;
            EXPECT_LE(answers, 1);
            EXPECT_LE(ends, 1);
            EXPECT_LE(rows, 1);
            EXPECT_EQ(life.releasable(), life.phase() == RequestPhase::closed && !life.attempt_in_flight());
            reached.insert({life.phase(), life.attempt_in_flight()});
        }
    }
    // All phases with and without an attempt in flight, but queued with and attempting without one.
    EXPECT_EQ(reached.size(), 8u);
}

}  // namespace
}  // namespace gatetiller::decide
