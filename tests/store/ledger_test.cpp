// The ledger file after a power failure. Seeds are printed with every test failure.
#include "store/ledger.hpp"

#include <gtest/gtest.h>

#include "store/fault_vfs.hpp"
#include "store/ledger_contents.hpp"

namespace gatetiller::store {
namespace {

using testing::FaultVfs;

// Expected contents of a ledger after a number of batches, of which the last may have failed.
struct ExpectedLedger {
    std::map<std::uint32_t, std::pair<RequestState, Micros>> requests, with_last;
    std::map<std::uint32_t, Micros> work, work_with_last;

    Batch draw(Random& random, std::uint32_t& next) {
        requests = with_last, work = work_with_last;
        Batch b;
        b.complete_until = kWall + next * 1000;
        for (auto n = random.below(12) + 1; n > 0; --n) {
            const bool fresh = with_last.empty() || random.chance(0.5);
            const auto number = fresh ? ++next : static_cast<std::uint32_t>(random.below(next) + 1);
            const auto state = fresh ? RequestState::open : RequestState::served;
            auto r = make_request(number, state, random);
            with_last[number] = {state, r.ended_after};
            b.rows.emplace_back(std::move(r));
            auto a = make_attempt(number, fresh ? AttemptState::in_flight : AttemptState::answered, random);
            work_with_last[number] = a.work;
            b.rows.emplace_back(std::move(a));
        }
        return b;
    }
    bool matches(const LedgerContents& r, bool last) const {
        const auto& expected = last ? with_last : requests;
        const auto& expected_work = last ? work_with_last : work;
        if (r.accounts.size() != expected.size())
            return false;
        for (const auto& [name, account] : r.accounts) {
            const auto found = expected.find(account.request.number);
            if (found == expected.end() || found->second.first != account.request.state ||
                found->second.second != account.request.ended_after || account.attempts.size() != 1 ||
                account.attempts[0].work != expected_work.at(account.request.number))
                return false;
        }
        return true;
    }
};

// Loses power at a random write, 200 times: committed batches are complete, an uncommitted one is complete or
// absent, and no row is duplicated.
TEST(LedgerCrash, CommittedRowsSurviveALossOfPowerAtAnyWrite) {
    int hit = 0, torn_kept = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        const TempLedgerFile temp("power");
        FaultVfs vfs("power", seed);
        Random random(seed);
        ExpectedLedger model;
        bool last = true;
        {
            Ledger ledger;
            ASSERT_FALSE(ledger.open(temp.file, {"power"}));
            RecoveredState taken;
            ASSERT_FALSE(ledger.begin_incarnation(kFirstIncarnation, "f", kWall, taken));
            vfs.crash_at = vfs.operations + static_cast<long>(random.below(120));
            std::uint32_t next = 0;
            for (int i = 0; i < 30 && last; ++i) {
                // Occasional checkpoints, so that power is also lost while the database file itself is
                // written.
                if (random.chance(0.2))
                    (void)ledger.db().exec("PRAGMA wal_checkpoint(TRUNCATE)");
                last = !ledger.write(model.draw(random, next));
            }
        }
        hit += vfs.crashed;
        vfs.lose_unsynced();
        const auto found = read_ledger(temp.file, false);
        EXPECT_TRUE(found.damaged.empty()) << found.damaged.front();
        const bool with = model.matches(found, true);
        EXPECT_TRUE(with || (!last && model.matches(found, false)));
        torn_kept += with && !last;
    }
    EXPECT_GT(hit, 150);
}

}  // namespace
}  // namespace gatetiller::store
