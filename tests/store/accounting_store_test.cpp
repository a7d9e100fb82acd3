// Collecting ledgers and journals in any order, repeatedly, and from copies.
#include "store/accounting_store.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <sstream>

#include "base/random.hpp"
#include "statement/completed.hpp"
#include "store/ledger_writer.hpp"

namespace gatetiller::store {
namespace {

using decide::AttemptState;
using decide::RequestState;
using decide::SettlementFinding;

constexpr Micros kWall = 1'790'000'000'000'000;

// Ledgers and journals, with the expected findings and totals.
struct Collection {
    std::vector<std::string> ledgers, journals;
    std::map<SettlementFinding, int> expected;
    Micros logged_work = 0;
    std::size_t requests = 0;
};

// Makes two fronts' ledgers and two engines' journals whose findings are known.
Collection make_collection(const std::string& folder, Random& random) {
    Collection collection;
    collection.journals.resize(2);
    int queries = 0;
    const auto log_event = [&](const std::string& incarnation, std::uint32_t request, Micros at,
                               Micros work) {
        statement::Completed event;
        event.id = "q" + std::to_string(++queries), event.state = "FINISHED", event.user = "u",
        event.server = "e1";
        if (!incarnation.empty())
            event.tags = {decide::format_attempt_tag({incarnation, request, 0})};
        event.created = at, event.ended = at + 1000, event.cpu = work;
        collection.logged_work += work;
        collection.journals[random.below(2)] += statement::write_completed(event) + "\n";
    };
    for (int front = 0; front < 2; ++front) {
        const std::string incarnation = "000000000000000" + std::to_string(front + 1);
        collection.ledgers.push_back(folder + "/f" + std::to_string(front));
        LedgerWriter writer(
            {collection.ledgers.back(), "front-" + std::to_string(front), incarnation, 100 * kMillisecond});
        for (int i = 0; i < 200; ++i) {
            const Micros wall = kWall + i * kSecondMicros;
            RequestRow request;
            request.requester =
                std::make_shared<const decide::Requester>(decide::Requester{"u", "s", "", "c", "t"});
            request.received_at = wall;
            EXPECT_TRUE(writer.add_request(request, wall));
            ++collection.requests;
            AttemptRow attempt;
            attempt.request = request.number, attempt.engine = "e1", attempt.ended_after = 10'000,
            attempt.work = static_cast<Micros>(random.below(1000)) * 1000;
            const auto add_attempt = [&](SettlementFinding finding, AttemptState state, bool is_final,
                                         bool in_journal, Micros unseen_work) {
                ++collection.expected[finding];
                attempt.state = state, attempt.is_final = is_final;
                if (in_journal)
                    log_event(incarnation, request.number, wall, attempt.work + unseen_work);
            };
            switch (random.below(6)) {
                case 0:
                    add_attempt(SettlementFinding::agreed, AttemptState::answered, true, true, 400);
                    break;
                case 1:
                    add_attempt(SettlementFinding::end_not_observed, AttemptState::connection_lost, false,
                                true, 90'000);
                    break;
                case 2:
                    add_attempt(SettlementFinding::never_ran, AttemptState::unreachable, false, false, 0);
                    break;
                case 3:
                    add_attempt(SettlementFinding::unlogged, AttemptState::connection_lost, false, false, 0);
                    break;
                case 4:
                    add_attempt(SettlementFinding::mismatched, AttemptState::error, true, true, 5000);
                    break;
                case 5:
                    add_attempt(SettlementFinding::missing_in_journal, AttemptState::answered, true, false,
                                0);
                    break;
            }
            writer.update(attempt, wall);
            request.state = RequestState::served;
            writer.update(request, wall);
            if (i % 20 == 0)
                (void)writer.poll(i, wall);
        }
        (void)writer.finish(0, kWall + 200 * kSecondMicros);
        // Logged under a request number that the ledger never assigned.
        log_event(incarnation, 5000, kWall, 7), ++collection.expected[SettlementFinding::missing_in_ledger];
    }
    log_event("", 0, kWall, 11), ++collection.expected[SettlementFinding::direct];
    log_event("00000000000000ff", 3, kWall, 13),
        ++collection.expected[SettlementFinding::unknown_incarnation];
    return collection;
}

TEST(AccountingStore, CollectingIsIdempotentAndOrderIndependent) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        const std::string folder = ::testing::TempDir() + "books-" + std::to_string(::getpid());
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        Random random(seed);
        const auto collection = make_collection(folder, random);
        AccountingStore store;
        ASSERT_FALSE(store.open(folder + "/books"));
        // Ledgers 0 and 1, journals 2 and 3, each up to twice, shuffled.
        std::vector<int> order{0, 1, 2, 3, 0, 1, 2, 3};
        for (std::size_t i = order.size(); i > 1; --i)
            std::swap(order[i - 1], order[random.below(i)]);
        for (const int source : order) {
            if (source < 2) {
                ASSERT_TRUE(store.collect_ledger(collection.ledgers[static_cast<std::size_t>(source)]));
            } else {
                std::istringstream lines(collection.journals[static_cast<std::size_t>(source - 2)] +
                                         "{\"cut off");
                ASSERT_TRUE(store.collect_journal("j", lines));
            }
        }
        std::map<std::string, decide::IncarnationRecord> records;
        ASSERT_FALSE(store.incarnations(records));
        std::map<SettlementFinding, int> found;
        Micros logged_work = 0;
        std::size_t requests = 0;
        const auto count = [&](const decide::Settlement& settlement) {
            ++found[settlement.finding];
            if (settlement.logged)
                logged_work += settlement.work;
        };
        const auto count_event = [&](const decide::LoggedQuery& query) {
            const auto record =
                query.attempt_tag ? records.find(query.attempt_tag->incarnation) : records.end();
            count(settle_unmatched(query, record == records.end() ? nullptr : &record->second));
        };
        ASSERT_FALSE(store.for_each_entry(
            [&](const AccountEntry& entry) {
                if (!entry.account)
                    return count_event(entry.events_by_attempt[0][0]);
                ++requests;
                for (std::size_t i = 0; i < entry.events_by_attempt.size(); ++i)
                    count(settle(entry.account->request, entry.account->attempts[i],
                                 entry.events_by_attempt[i]));
                for (const auto& query : entry.unmatched_events)
                    count_event(query);
            },
            [](const std::string& text) {
                ADD_FAILURE() << text;
            }));
        EXPECT_EQ(found, collection.expected);
        EXPECT_EQ(logged_work, collection.logged_work);
        EXPECT_EQ(requests, collection.requests);
        std::filesystem::remove_all(folder);
    }
}

TEST(AccountingStore, ReportsMalformedJournalLinesWithTheirLocation) {
    AccountingStore store;
    ASSERT_FALSE(store.open(":memory:"));
    std::istringstream lines(
        "\n[1]\n{\"metadata\":{},\"createTime\":\"2026-11-01T00:00:00Z\",\"endTime\":1}\n"
        R"({"metadata":{"queryId":"q"},"statistics":{"cpuTime":"PT1.5S","spilledBytes":-3},"createTime":1,"endTime":2})"
        "\n"
        R"({"metadata":{"queryId":"q"},"statistics":{"cpuTime":"PT1M1.5S"},"createTime":1,"endTime":"2026-11-01T01:00:00+01:00"})"
        "\n");
    const auto collected = store.collect_journal("e1.jsonl", lines);
    ASSERT_TRUE(collected) << collected.error();
    EXPECT_EQ(collected->events, 1);
    ASSERT_EQ(collected->problems.size(), 3u);
    EXPECT_EQ(collected->problems[0], "e1.jsonl:2: not a query-completed event: not a JSON object");
    EXPECT_NE(collected->problems[1].find("e1.jsonl:3"), std::string::npos);
    EXPECT_NE(collected->problems[2].find("spilledBytes"), std::string::npos);
    EXPECT_EQ(*store.ledger().db().query_int64("SELECT work FROM events"), 61'500'000);
    EXPECT_EQ(*store.ledger().db().query_int64("SELECT ended FROM events"), 1'793'491'200'000'000);
}

// The later state is kept, whatever the order of collection.
TEST(AccountingStore, RowInLaterStateReplacesEarlierState) {
    const std::string folder = ::testing::TempDir() + "books-more-" + std::to_string(::getpid());
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const std::string file = folder + "/f", copy = folder + "/copy";
    RequestRow request;
    request.requester = std::make_shared<const decide::Requester>();
    request.received_at = kWall;
    {
        LedgerWriter writer({file, "f", "0000000000000001", 100 * kMillisecond});
        ASSERT_TRUE(writer.add_request(request, kWall));
        (void)writer.poll(0, kWall);
        Ledger ledger;
        ASSERT_FALSE(ledger.open(file, {"", true}));
        ASSERT_FALSE(ledger.snapshot(copy));
        request.state = RequestState::served;
        writer.update(request, kWall);
        (void)writer.finish(1, kWall);
    }
    {  // another incarnation continues the copy and marks the request as interrupted
        LedgerWriter writer({copy, "f", "0000000000000002", 100 * kMillisecond});
        (void)writer.poll(0, kWall);
        (void)writer.finish(1, kWall);
    }
    for (const bool copy_first : {true, false}) {
        AccountingStore store;
        ASSERT_FALSE(store.open(":memory:"));
        ASSERT_TRUE(store.collect_ledger(copy_first ? copy : file));
        ASSERT_TRUE(store.collect_ledger(copy_first ? file : copy));
        EXPECT_EQ(*store.ledger().db().query_int64("SELECT count(*) FROM requests"), 1);
        EXPECT_EQ(*store.ledger().db().query_int64("SELECT state FROM requests"),
                  static_cast<int>(RequestState::served));
    }
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace gatetiller::store
