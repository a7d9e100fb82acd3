// Result pages, and the outcome that the end of an exchange with an engine proves.
#include "decide/engine_exchange.hpp"

#include <gtest/gtest.h>

#include <string>

namespace gatetiller::decide {
namespace {

TEST(ResultPages, AreWholeOnceEachPageIsThereOnce) {
    ResultPages pages;
    ASSERT_TRUE(pages.start(3, "a\tb\tc\n"));
    EXPECT_FALSE(pages.complete());
    EXPECT_EQ(pages.add(2, "3\t\t\n"), ResultPages::PageVerdict::accepted);
    EXPECT_EQ(pages.add(2, "3\t\t\n"), ResultPages::PageVerdict::not_requested);
    EXPECT_EQ(pages.add(3, "x\ty\tz\n"), ResultPages::PageVerdict::not_requested);
    EXPECT_EQ(pages.add(1, "2\t\t\n"), ResultPages::PageVerdict::accepted);
    ASSERT_TRUE(pages.complete());
    EXPECT_EQ(pages.take_rows(), "a\tb\tc\n2\t\t\n3\t\t\n");
}

TEST(ResultPages, AreSpoiltByWhatNoEngineWouldSend) {
    for (const std::string& page :
         {std::string("a\tb\n"), std::string("a\tb\tc\td\n"), std::string("a\tb\tc"),
          std::string("a\tb\t\x01\n"), std::string("a\tb\t\xff\n"),
          std::string(ResultPages::kMaxPageBytes, 'x') + "\t\t\n"})
        EXPECT_FALSE(ResultPages().start(1, page)) << page.substr(0, 20);
    EXPECT_FALSE(ResultPages().start(0, ""));
    EXPECT_FALSE(ResultPages().start(3'000'000'000, ""));
    EXPECT_TRUE(ResultPages().start(1, ""));
    ResultPages large;
    const std::string page = std::string(5000, 'x') + "\t\t\n";
    ASSERT_TRUE(large.start(20, page));
    for (std::size_t n = 1; n < 9; ++n)
        EXPECT_EQ(large.add(n, page), ResultPages::PageVerdict::accepted) << n;
    EXPECT_EQ(large.add(9, page), ResultPages::PageVerdict::malformed);  // over kMaxResultBytes
}

TEST(Exchange, OnlyWhatProvesItCountsAsNeverRun) {
    using How = ExchangeResult::Status;
    EXPECT_EQ(outcome_of(How::completed), AttemptOutcome::succeeded);
    EXPECT_EQ(outcome_of(How::rejected), AttemptOutcome::rejected);
    EXPECT_EQ(outcome_of(How::deadline_passed), AttemptOutcome::not_sent);
    EXPECT_EQ(outcome_of(How::connection_refused), AttemptOutcome::connection_refused);
    EXPECT_EQ(outcome_of(How::failed), AttemptOutcome::failed);
    EXPECT_EQ(outcome_of(How::connection_lost), AttemptOutcome::connection_reset);
}

TEST(Exchange, AnEndProvesWhatTheKernelWasHanded) {
    using How = ExchangeResult::Status;
    for (const auto handed : {WriteProgress::none, WriteProgress::partial, WriteProgress::complete}) {
        EXPECT_EQ(classify_connection_end(ConnectionEnd::never_established, handed), How::connection_refused);
        EXPECT_EQ(classify_connection_end(ConnectionEnd::local_resource_exhausted, handed), How::not_sent);
        const How how = classify_connection_end(ConnectionEnd::broken, handed);
        EXPECT_EQ(how, handed == WriteProgress::complete ? How::connection_lost : How::not_sent);
        EXPECT_EQ(proves_not_executed(outcome_of(how)), handed != WriteProgress::complete);
    }
}

}  // namespace
}  // namespace gatetiller::decide
