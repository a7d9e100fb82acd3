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

    Batch make_batch(Random& random, std::uint32_t& last_number) {
        requests = with_last, work = work_with_last;
        Batch batch;
        batch.complete_until = kWall + last_number * 1000;
        for (auto rows_left = random.below(12) + 1; rows_left > 0; --rows_left) {
            const bool is_new = with_last.empty() || random.chance(0.5);
            const auto number =
                is_new ? ++last_number : static_cast<std::uint32_t>(random.below(last_number) + 1);
            const auto state = is_new ? RequestState::open : RequestState::served;
            auto request = make_request(number, state, random);
            with_last[number] = {state, request.ended_after};
            batch.rows.emplace_back(std::move(request));
            auto attempt =
                make_attempt(number, is_new ? AttemptState::in_flight : AttemptState::answered, random);
            work_with_last[number] = attempt.work;
            batch.rows.emplace_back(std::move(attempt));
        }
        return batch;
    }
    bool matches(const LedgerContents& contents, bool last) const {
        const auto& expected = last ? with_last : requests;
        const auto& expected_work = last ? work_with_last : work;
        if (contents.accounts.size() != expected.size())
            return false;
        for (const auto& [name, account] : contents.accounts) {
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
TEST(LedgerCrash, CommittedRowsSurvivePowerLossAtAnyWrite) {
    int crashes = 0, failed_batches_present = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        const TempLedgerFile temp("power");
        FaultVfs vfs("power", seed);
        Random random(seed);
        ExpectedLedger expected_ledger;
        bool last_write_succeeded = true;
        {
            Ledger ledger;
            ASSERT_FALSE(ledger.open(temp.file, {"power"}));
            RecoveredState recovered;
            ASSERT_FALSE(ledger.begin_incarnation(kFirstIncarnation, "f", kWall, recovered));
            vfs.crash_at = vfs.operations + static_cast<long>(random.below(120));
            std::uint32_t last_number = 0;
            for (int i = 0; i < 30 && last_write_succeeded; ++i) {
                // Occasional checkpoints, so that power is also lost while the database file itself is
                // written.
                if (random.chance(0.2))
                    (void)ledger.db().exec("PRAGMA wal_checkpoint(TRUNCATE)");
                last_write_succeeded = !ledger.write(expected_ledger.make_batch(random, last_number));
            }
        }
        crashes += vfs.crashed;
        vfs.lose_unsynced_writes();
        const auto contents = read_ledger(temp.file, false);
        EXPECT_TRUE(contents.damage_reports.empty()) << contents.damage_reports.front();
        const bool last_batch_present = expected_ledger.matches(contents, true);
        EXPECT_TRUE(last_batch_present ||
                    (!last_write_succeeded && expected_ledger.matches(contents, false)));
        failed_batches_present += last_batch_present && !last_write_succeeded;
    }
    EXPECT_GT(crashes, 150);
}

}  // namespace
}  // namespace gatetiller::store
