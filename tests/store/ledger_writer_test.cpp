// LedgerWriter with failing disks, kills and corrupt files. Seeds are printed with every test failure.
#include "store/ledger_writer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

#include "store/fault_vfs.hpp"
#include "store/ledger_contents.hpp"

namespace gatetiller::store {
namespace {

using testing::FaultVfs;

// Fails two consecutive I/O operations, starting at every third one in turn: the writer retries, and no row
// is missing or duplicated.
TEST(LedgerWriterFailures, RetriesAfterIoFailureWithoutLosingRows) {
    for (const int code : {SQLITE_IOERR_WRITE, SQLITE_FULL, SQLITE_IOERR_FSYNC})
        for (long n = 0;; n += 3) {
            SCOPED_TRACE("code " + std::to_string(code) + ", operation " + std::to_string(n));
            const TempLedgerFile temp("fail");
            FaultVfs vfs("fail", 1);
            vfs.fail_at = n, vfs.failures = 2, vfs.code = code;
            Random random(static_cast<std::uint64_t>(n) + 1);
            LedgerWriter writer({temp.file, "f", kFirstIncarnation, 100 * kMillisecond, 0, {}, "fail"});
            Micros now = 0;
            for (int i = 0; i < 12; ++i) {
                auto request = make_request(0, RequestState::open, random);
                ASSERT_TRUE(writer.add_request(request, kWall + now));
                writer.update(make_attempt(request.number, AttemptState::in_flight, random), kWall + now);
                if (i % 2 == 0) {
                    request.state = RequestState::served;
                    writer.update(request, kWall + now);
                }
                now += 100 * kMillisecond;
                (void)writer.poll(now, kWall + now);
            }
            const bool failure_injected = vfs.failures < 2;
            for (int i = 0; i < 100 && writer.status().queued_rows > 0; ++i) {
                now += 500 * kMillisecond;
                (void)writer.poll(now, kWall + now);
            }
            (void)writer.finish(now, kWall + now);
            const auto found = read_ledger(temp.file);
            ASSERT_EQ(found.accounts.size(), 12u);
            for (const auto& [name, account] : found.accounts) {
                EXPECT_EQ(account.request.state,
                          account.request.number % 2 == 1 ? RequestState::served : RequestState::open);
                EXPECT_EQ(account.attempts.size(), 1u);
            }
            EXPECT_TRUE(found.damage_reports.empty());
            if (!failure_injected)
                break;
            ASSERT_LT(n, 1000);
        }
}

class LedgerWriterTest : public ::testing::Test {
protected:
    std::unique_ptr<LedgerWriter> open(const std::string& incarnation, std::size_t max_queued_rows = 1000,
                                       const std::string& vfs = "") {
        LedgerWriterSettings settings{temp.file, "front-1", incarnation, 100 * kMillisecond,
                                      retention, {},        vfs};
        settings.limits.max_queued_rows = max_queued_rows;
        return std::make_unique<LedgerWriter>(settings);
    }
    std::string poll(LedgerWriter& writer, int times = 1) {
        std::string log_lines;
        for (int i = 0; i < times; ++i) {
            now += 500 * kMillisecond;
            for (const auto& text : writer.poll(now, kWall + now))
                log_lines += text + "\n";
        }
        return log_lines;
    }
    std::uint32_t add_request(LedgerWriter& writer, RequestState state = RequestState::open) {
        auto request = make_request(0, RequestState::open, random);
        request.received_at = kWall + now;
        if (!writer.add_request(request, kWall + now))
            return 0;
        if (state != RequestState::open) {
            request.state = state;
            writer.update(request, kWall + now);
        }
        return request.number;
    }
    std::vector<std::pair<std::string, LedgerGap>> gaps(const std::string& file) {
        Ledger ledger;
        EXPECT_FALSE(ledger.open(file, {"", true}));
        std::vector<std::pair<std::string, LedgerGap>> all;
        EXPECT_FALSE(ledger.gaps(all));
        return all;
    }
    TempLedgerFile temp{"writer"};
    Random random{5};
    Micros now = 0, retention = 0;
};

TEST_F(LedgerWriterTest, KillMarksOpenRequestsInterruptedAndRecordsGap) {
    auto first = open(kFirstIncarnation);
    for (int i = 0; i < 10; ++i) {
        const auto number = add_request(*first, i < 4 ? RequestState::served : RequestState::open);
        if (i >= 4)
            first->update(make_attempt(number, AttemptState::in_flight, random), kWall);
    }
    poll(*first);
    const Micros committed = kWall + now;
    add_request(*first);  // never handed to the writer
    first.reset();        // killed
    now += 3 * kSecondMicros;
    auto second = open(kSecondIncarnation);
    EXPECT_NE(poll(*second).find("6 requests and 6 attempts"), std::string::npos);
    add_request(*second, RequestState::shed);
    second->finish(now, kWall + now);
    const auto found = read_ledger(temp.file);
    ASSERT_EQ(found.accounts.size(), 11u);
    int interrupted = 0;
    for (const auto& [name, account] : found.accounts) {
        interrupted += account.request.state == RequestState::interrupted;
        for (const auto& a : account.attempts)
            EXPECT_EQ(a.state, AttemptState::interrupted);
    }
    EXPECT_EQ(interrupted, 6);
    const auto all = gaps(temp.file);
    ASSERT_EQ(all.size(), 1u);
    EXPECT_EQ(all[0].second.cause, StoreError::killed);
    EXPECT_EQ(all[0].second.from, committed);
    EXPECT_EQ(all[0].second.to, kWall + now);
}

TEST_F(LedgerWriterTest, FullDiskIsLoggedAndRecordedAsGapWithBoundedQueue) {
    FaultVfs vfs("full", 1);
    auto writer = open(kFirstIncarnation, 1000, "full");
    for (int i = 0; i < 10; ++i)
        add_request(*writer, RequestState::served);
    poll(*writer);
    vfs.fail_at = vfs.operations, vfs.failures = 1'000'000, vfs.code = SQLITE_FULL;
    int rejected = 0;
    std::string log_lines;
    for (int i = 0; i < 2000; ++i) {
        rejected += add_request(*writer) == 0;
        if (i % 100 == 0)
            log_lines += poll(*writer);
        EXPECT_LE(writer->status().queued_rows, 1000u);
    }
    EXPECT_NE(log_lines.find("NOT WRITTEN (disk full)"), std::string::npos) << log_lines;
    EXPECT_GT(rejected, 1000);
    vfs.stop_failing();
    log_lines = poll(*writer, 30);
    EXPECT_NE(log_lines.find("writing resumed"), std::string::npos) << log_lines;
    EXPECT_EQ(writer->status().queued_rows, 0u);
    writer->finish(now, kWall + now);
    EXPECT_EQ(read_ledger(temp.file).accounts.size(), static_cast<std::size_t>(2010 - rejected));
    const auto all = gaps(temp.file);
    ASSERT_EQ(all.size(), 1u);
    EXPECT_EQ(all[0].second.cause, StoreError::full);
    EXPECT_EQ(all[0].second.requests, rejected);
}

TEST_F(LedgerWriterTest, SecondWriterIsLockedOutAndLogsTheLock) {
    auto first = open(kFirstIncarnation);
    poll(*first);
    auto second = open(kSecondIncarnation);
    add_request(*second);
    EXPECT_NE(poll(*second).find("another process"), std::string::npos);
    add_request(*first);
    poll(*first);
    first->finish(now, kWall + now);
    poll(*second, 30);
    EXPECT_EQ(second->status().error, StoreError::none);
    second->finish(now, kWall + now);
    EXPECT_EQ(read_ledger(temp.file).accounts.size(), 2u);
}

TEST_F(LedgerWriterTest, ForeignFileIsNeverModified) {
    std::ofstream(temp.file) << std::string(5000, 'x');
    auto writer = open(kFirstIncarnation);
    add_request(*writer);
    EXPECT_NE(poll(*writer, 5).find("not a ledger"), std::string::npos);
    writer.reset();
    EXPECT_EQ(std::filesystem::file_size(temp.file), 5000u);
    std::filesystem::remove(temp.file);
    Db other;
    ASSERT_FALSE(other.open(temp.file, {}));
    ASSERT_FALSE(other.exec("CREATE TABLE x(y)"));
    writer = open(kSecondIncarnation);
    EXPECT_NE(poll(*writer, 2).find("another program"), std::string::npos);
}

// Pages of the file are overwritten. The front continues with a new file; the readable rows of the old one
// are read, and unreadable ranges are reported.
TEST_F(LedgerWriterTest, CorruptFileIsQuarantinedAndItsReadableRowsAreRead) {
    auto writer = open(kFirstIncarnation);
    for (int i = 0; i < 900; ++i)
        add_request(*writer, RequestState::served);
    poll(*writer);
    writer->finish(now, kWall + now);
    writer.reset();
    std::int64_t page = 0;
    {
        Db db;
        ASSERT_FALSE(db.open(temp.file, {}));
        page = *db.query_int64("SELECT rootpage FROM sqlite_master WHERE name='requests'");
    }
    // Corrupts the header of every fifth page except the first ones, like torn blocks.
    const auto size = static_cast<std::int64_t>(std::filesystem::file_size(temp.file));
    {
        std::fstream stream(temp.file, std::ios::in | std::ios::out | std::ios::binary);
        for (std::int64_t index = std::max<std::int64_t>(page + 8, 20); index < size / 4096; index += 5) {
            stream.seekp(index * 4096);
            stream.write("torn!torn!torn!torn!", 20);
        }
    }
    const auto readable = read_ledger(temp.file);
    EXPECT_GT(readable.accounts.size(), 100u);
    EXPECT_LT(readable.accounts.size(), 900u);
    EXPECT_FALSE(readable.damage_reports.empty());
    writer = open(kSecondIncarnation);
    std::string log_lines;
    for (int i = 0; i < 900; ++i) {
        add_request(*writer, RequestState::served);
        if (i % 100 == 0)
            log_lines += poll(*writer);
    }
    log_lines += poll(*writer, 20);
    EXPECT_EQ(writer->status().error, StoreError::none) << log_lines;
    writer->finish(now, kWall + now);
    // Every new row is present, whether or not a write met the damage.
    const auto after = read_ledger(temp.file);
    EXPECT_EQ(std::count_if(after.accounts.begin(), after.accounts.end(),
                            [](const auto& row) {
                                return row.first.starts_with(kSecondIncarnation);
                            }),
              900)
        << log_lines;
}

TEST_F(LedgerWriterTest, ReportsRowThatDoesNotMatchItsChecksum) {
    auto writer = open(kFirstIncarnation);
    for (int i = 0; i < 3; ++i)
        add_request(*writer, RequestState::served);
    poll(*writer);
    writer->finish(now, kWall + now);
    {
        Db db;
        ASSERT_FALSE(db.open(temp.file, {}));
        ASSERT_FALSE(db.exec("UPDATE requests SET taken=taken+1 WHERE row%4294967296=2"));
    }
    const auto found = read_ledger(temp.file);
    EXPECT_EQ(found.accounts.size(), 2u);
    ASSERT_EQ(found.damage_reports.size(), 1u);
    EXPECT_NE(found.damage_reports[0].find(kFirstIncarnation + ".2 does not match"), std::string::npos);
}

TEST_F(LedgerWriterTest, ExpiryExtendsASingleGap) {
    retention = 10 * kSecondMicros;
    auto writer = open(kFirstIncarnation);
    for (int i = 0; i < 60; ++i) {
        add_request(*writer, RequestState::served);
        poll(*writer);
    }
    writer->finish(now, kWall + now);
    const auto remaining = read_ledger(temp.file).accounts.size();
    EXPECT_GE(remaining, 18u);
    EXPECT_LE(remaining, 22u);
    const auto all = gaps(temp.file);
    ASSERT_EQ(all.size(), 1u);
    EXPECT_EQ(all[0].second.cause, StoreError::none);
    EXPECT_EQ(all[0].second.requests, static_cast<std::int64_t>(60 - remaining));
}

TEST_F(LedgerWriterTest, ExpiryFreesDiskSpace) {
    auto writer = open(kFirstIncarnation);
    for (int i = 0; i < 6000; ++i) {
        add_request(*writer, RequestState::served);
        if (i % 300 == 0)
            poll(*writer);
    }
    poll(*writer);
    writer->finish(now, kWall + now);
    const auto before = std::filesystem::file_size(temp.file);
    retention = 10 * kSecondMicros;
    writer = open(kSecondIncarnation);
    for (int i = 0; i < 40; ++i) {
        add_request(*writer, RequestState::served);
        poll(*writer);
    }
    writer->finish(now, kWall + now);
    EXPECT_LT(std::filesystem::file_size(temp.file), before / 3);
    EXPECT_LT(read_ledger(temp.file).accounts.size(), 50u);
}

TEST_F(LedgerWriterTest, SnapshotWhileWritingIsCompleteAndRestorable) {
    auto writer = open(kFirstIncarnation);
    for (int i = 0; i < 50; ++i)
        add_request(*writer, i % 2 ? RequestState::served : RequestState::open);
    poll(*writer);
    Ledger reader;
    ASSERT_FALSE(reader.open(temp.file, {"", true}));
    ASSERT_FALSE(reader.snapshot(temp.folder + "/copy"));
    add_request(*writer);
    poll(*writer);
    EXPECT_EQ(read_ledger(temp.folder + "/copy", false).accounts.size(), 50u);
    // Restore: the copy replaces the file, and the next incarnation continues with it.
    writer.reset();
    reader.close();
    for (const char* part : {"", "-wal", "-shm"})
        std::filesystem::remove(temp.file + part);
    std::filesystem::rename(temp.folder + "/copy", temp.file);
    writer = open(kSecondIncarnation);
    EXPECT_NE(poll(*writer).find("25 requests"), std::string::npos);
}

TEST_F(LedgerWriterTest, MigratesOlderSchemaVersionAndRejectsLaterOne) {
    {
        auto writer = open(kFirstIncarnation);
        add_request(*writer, RequestState::served);
        poll(*writer);
        writer->finish(now, kWall + now);
    }
    Db db;
    ASSERT_FALSE(db.open(temp.file, {}));
    // The schema of version 1.
    ASSERT_FALSE(db.exec("DROP TABLE events; DROP TABLE versions; PRAGMA user_version=1"));
    db.close();
    EXPECT_EQ(read_ledger(temp.file, false).accounts.size(), 1u);
    ASSERT_FALSE(db.open(temp.file, {}));
    EXPECT_EQ(*db.query_int64("PRAGMA user_version"), kSchemaVersion);
    EXPECT_EQ(*db.query_int64("SELECT count(*) FROM events"), 0);
    ASSERT_FALSE(db.exec("PRAGMA user_version=99"));
    db.close();
    auto writer = open(kSecondIncarnation);
    EXPECT_NE(poll(*writer).find("version 99"), std::string::npos);
}

TEST_F(LedgerWriterTest, ClockStepIsRecorded) {
    auto writer = open(kFirstIncarnation);
    poll(*writer);
    now += 100 * kMillisecond;
    const auto log_lines = writer->poll(now, kWall + now - 2 * kSecondMicros);
    ASSERT_EQ(log_lines.size(), 1u);
    EXPECT_NE(log_lines[0].find("-2000 ms"), std::string::npos);
    writer->finish(now, kWall + now - 2 * kSecondMicros);
    Ledger ledger;
    ASSERT_FALSE(ledger.open(temp.file, {"", true}));
    std::vector<std::pair<Micros, Micros>> steps;
    ASSERT_FALSE(ledger.clock_steps(steps));
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].second, -2 * kSecondMicros);
}

}  // namespace
}  // namespace gatetiller::store
