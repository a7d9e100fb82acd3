// Files written by earlier versions of the program stay completely readable. See data/README.md.
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <map>
#include <string>

#include "discovery/endpoint_cache.hpp"
#include "store/accounting_store.hpp"

namespace gatetiller::store {
namespace {

using decide::AttemptState;
using decide::RequestState;
using decide::SettlementFinding;

const std::string kKilledIncarnation = "2e95bf413e434afd";
const std::string kEndedIncarnation = "53b015b7d3eb7a74";
constexpr Micros kLastCommitBeforeKill = 1'796'286'848'438'133;  // wall clock, last commit
constexpr Micros kNextIncarnationStart = 1'796'286'848'954'054;  // wall clock
constexpr Micros kCleanEnd = 1'796'286'850'615'812;              // wall clock

// Requests and attempts of a ledger file.
struct LedgerContents {
    std::map<RequestState, int> requests;
    std::map<AttemptState, int> attempts;
    std::map<std::string, Micros> work_by_user;
    std::map<std::string, RequestAccount> by_id;
    std::vector<std::string> damage_reports;

    void add(const RequestAccount& account) {
        ++requests[account.request.state];
        for (const AttemptRow& attempt : account.attempts) {
            ++attempts[attempt.state];
            work_by_user[account.request.requester->user] += attempt.work;
        }
        by_id[account.request.id] = account;
    }
    void expect_version_2_contents() const {
        EXPECT_TRUE(damage_reports.empty()) << damage_reports.front();
        EXPECT_EQ(requests, (std::map<RequestState, int>{{RequestState::interrupted, 1},
                                                         {RequestState::served, 5},
                                                         {RequestState::shed, 2},
                                                         {RequestState::cancelled, 1}}));
        EXPECT_EQ(attempts, (std::map<AttemptState, int>{{AttemptState::interrupted, 1},
                                                         {AttemptState::answered, 5},
                                                         {AttemptState::unreachable, 1},
                                                         {AttemptState::cancelled, 1}}));
        EXPECT_EQ(work_by_user, (std::map<std::string, Micros>{{"ann", 15'000}, {"joe", 4'000}, {"lee", 0}}));
    }
};

class StoredDataTest : public ::testing::Test {
protected:
    StoredDataTest() {
        std::filesystem::remove_all(folder_);
        std::filesystem::copy(GATETILLER_STORED_DATA, folder_, std::filesystem::copy_options::recursive);
    }
    ~StoredDataTest() override {
        std::filesystem::remove_all(folder_);
    }
    std::string path(const std::string& file) const {
        return folder_ + "/" + file;
    }
    static void expect_version_2_incarnations(Ledger& ledger) {
        std::vector<Incarnation> incarnations;
        ASSERT_FALSE(ledger.incarnations(incarnations));
        ASSERT_EQ(incarnations.size(), 2u);
        EXPECT_EQ(incarnations[0].name, kKilledIncarnation);
        EXPECT_EQ(incarnations[0].front, "office-1");
        EXPECT_EQ(incarnations[0].last_commit_at, kLastCommitBeforeKill);
        EXPECT_EQ(incarnations[0].ended_at, 0);
        EXPECT_EQ(incarnations[1].name, kEndedIncarnation);
        EXPECT_EQ(incarnations[1].started_at, kNextIncarnationStart);
        EXPECT_EQ(incarnations[1].ended_at, kCleanEnd);
    }
    static void expect_version_2_gaps(Ledger& ledger) {
        std::vector<std::pair<std::string, LedgerGap>> gaps;
        ASSERT_FALSE(ledger.gaps(gaps));
        ASSERT_EQ(gaps.size(), 1u);
        EXPECT_EQ(gaps[0].first, "office-1");
        EXPECT_EQ(gaps[0].second.cause, StoreError::killed);
        EXPECT_EQ(gaps[0].second.from, kLastCommitBeforeKill);
        EXPECT_EQ(gaps[0].second.to, kNextIncarnationStart);
        EXPECT_EQ(gaps[0].second.requests, -1);
        EXPECT_EQ(gaps[0].second.updates, -1);
    }

    std::string folder_ = ::testing::TempDir() + "stored-data-" + std::to_string(::getpid());
};

LedgerContents read_ledger(Ledger& ledger) {
    LedgerContents contents;
    const auto failure = ledger.for_each_request(
        [&](const RequestAccount& account) {
            contents.add(account);
        },
        [&](std::string text) {
            contents.damage_reports.push_back(std::move(text));
        });
    EXPECT_FALSE(failure) << failure.text;
    return contents;
}

TEST_F(StoredDataTest, ReadsEveryRowOfVersion2Ledger) {
    for (const bool read_only : {true, false}) {
        Ledger ledger;
        const auto failure = ledger.open(path("v2/front.ledger"), {"", read_only});
        ASSERT_FALSE(failure) << failure.text;
        const LedgerContents contents = read_ledger(ledger);
        contents.expect_version_2_contents();
        expect_version_2_incarnations(ledger);
        expect_version_2_gaps(ledger);
        const RequestAccount& served = contents.by_id.at("20261203_083408_00001_665c3");
        EXPECT_EQ(served.request.number, 1u);
        EXPECT_EQ(*served.request.requester,
                  (decide::Requester{"ann", "gatetiller-query", "", "short", "ann"}));
        EXPECT_EQ(served.request.received_at, 1'796'286'848'027'025);
        EXPECT_EQ(served.request.ended_after, 5761);
        EXPECT_EQ(served.request.closed_after, 5761);
        ASSERT_EQ(served.attempts.size(), 1u);
        EXPECT_EQ(served.attempts[0].engine, "node-1");
        EXPECT_EQ(served.attempts[0].kind, "std");
        EXPECT_EQ(served.attempts[0].engine_id, "20261203_083408_00001_1b644");
        EXPECT_EQ(served.attempts[0].work, 5000);
        EXPECT_EQ(served.attempts[0].peak_bytes, 16'777'216);
        EXPECT_EQ(served.attempts[0].row_bytes, 47);
        EXPECT_TRUE(served.attempts[0].is_final);
    }
}

TEST_F(StoredDataTest, NewIncarnationContinuesVersion2Ledger) {
    Ledger ledger;
    ASSERT_FALSE(ledger.open(path("v2/front.ledger"), {}));
    RecoveredState recovered;
    ASSERT_FALSE(ledger.begin_incarnation("00000000000000a1", "office-1", kCleanEnd + 1, recovered));
    EXPECT_EQ(recovered.requests_interrupted, 0);
    EXPECT_EQ(recovered.attempts_interrupted, 0);
    EXPECT_FALSE(recovered.killed_gap);
    read_ledger(ledger).expect_version_2_contents();
}

TEST_F(StoredDataTest, SettlesVersion2AccountingStoreAsBefore) {
    AccountingStore accounts;
    const auto opened = accounts.open(path("v2/accounting.books"), true);
    ASSERT_FALSE(opened) << opened.text;
    LedgerContents contents;
    std::map<SettlementFinding, int> findings;
    std::map<std::string, Micros> work_by_user;
    const auto failure = accounts.for_each_entry(
        [&](const AccountEntry& entry) {
            if (!entry.account) {
                const decide::LoggedQuery& query = entry.events_by_attempt.at(0).at(0);
                const auto settled = decide::settle_unmatched(query, nullptr);
                ++findings[settled.finding];
                work_by_user[query.user] += settled.work;
                return;
            }
            EXPECT_TRUE(entry.unmatched_events.empty());
            const RequestAccount& account = *entry.account;
            contents.add(account);
            for (std::size_t i = 0; i < account.attempts.size(); ++i) {
                const auto settled =
                    decide::settle(account.request, account.attempts[i], entry.events_by_attempt[i]);
                ++findings[settled.finding];
                work_by_user[account.request.requester->user] += settled.work;
            }
        },
        [&](std::string text) {
            contents.damage_reports.push_back(std::move(text));
        });
    ASSERT_FALSE(failure) << failure.text;
    contents.expect_version_2_contents();
    EXPECT_EQ(findings, (std::map<SettlementFinding, int>{{SettlementFinding::agreed, 5},
                                                          {SettlementFinding::end_not_observed, 1},
                                                          {SettlementFinding::never_ran, 1},
                                                          {SettlementFinding::unlogged, 1},
                                                          {SettlementFinding::direct, 1}}));
    EXPECT_EQ(work_by_user, (std::map<std::string, Micros>{
                                {"ann", 15'000 + 324'046 + 1'500'000}, {"joe", 4'000}, {"lee", 0}}));
    expect_version_2_incarnations(accounts.ledger());
    expect_version_2_gaps(accounts.ledger());
    std::map<std::string, decide::IncarnationRecord> records;
    ASSERT_FALSE(accounts.incarnations(records));
    ASSERT_EQ(records.size(), 2u);
    EXPECT_EQ(records.at(kKilledIncarnation).gaps.size(), 1u);
    EXPECT_TRUE(records.at(kEndedIncarnation).gaps.empty());
}

TEST_F(StoredDataTest, CollectingVersion2LedgerAgainAddsNothing) {
    AccountingStore accounts;
    ASSERT_FALSE(accounts.open(path("v2/accounting.books")));
    const auto collected = accounts.collect_ledger(path("v2/front.ledger"));
    ASSERT_TRUE(collected) << collected.error();
    EXPECT_EQ(collected->requests, 0);
    EXPECT_EQ(collected->attempts, 0);
    EXPECT_EQ(collected->known_requests, 9);
    EXPECT_TRUE(collected->problems.empty());
}

TEST_F(StoredDataTest, LoadsVersion2EndpointCache) {
    const auto endpoints = discovery::load_cached_endpoints(path("v2/endpoint_cache.json"));
    ASSERT_TRUE(endpoints) << endpoints.error();
    struct Expected {
        const char *name, *address, *zone;
        EndpointState state;
        std::int64_t cell;
        double share;
    };
    const std::array expected{Expected{"node-1", "127.0.0.1:46489", "here", EndpointState::ready, 7, 1.0},
                              Expected{"node-2", "127.0.0.1:9002", "far", EndpointState::draining, 8, 0.5},
                              Expected{"node-3", "127.0.0.1:9003", "here", EndpointState::removed, 0, 1.0}};
    ASSERT_EQ(endpoints->size(), expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i) {
        const config::EngineSettings& endpoint = (*endpoints)[i];
        EXPECT_EQ(endpoint.name, expected[i].name);
        EXPECT_EQ(endpoint.address.text(), expected[i].address);
        EXPECT_EQ(endpoint.zone, expected[i].zone);
        EXPECT_EQ(endpoint.kind, "std");
        EXPECT_EQ(endpoint.state, expected[i].state);
        EXPECT_EQ(endpoint.cell, expected[i].cell);
        EXPECT_EQ(endpoint.share, expected[i].share);
    }
}

}  // namespace
}  // namespace gatetiller::store
