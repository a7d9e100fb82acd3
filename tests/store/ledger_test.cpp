// The ledger's file through crashes, failing disks and damage. Seeds are printed with every failure.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "store/fault_vfs.hpp"
#include "store/ledger_writer.hpp"

namespace gatetiller::store {
namespace {

using decide::AttemptState;
using decide::RequestState;
using testing::FaultVfs;

const std::string kFirstLife = "00000000000000a1", kSecondLife = "00000000000000a2";
constexpr Micros kWall = 1'790'000'000'000'000;

struct Temp {  // a file's name in a folder of its own
    std::string folder, file;
    explicit Temp(const std::string& name)
        : folder(::testing::TempDir() + "ledger-" + std::to_string(::getpid()) + "-" + name),
          file(folder + "/front.ledger") {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
    }
    ~Temp() {
        std::filesystem::remove_all(folder);
    }
};

RequestRow request(std::uint32_t number, RequestState state, Random& random) {
    RequestRow r;
    r.number = number;
    r.who = std::make_shared<const decide::Requester>(
        decide::Requester{"user-" + std::to_string(random.below(5)), "s",
                          "t=" + std::to_string(random.below(3)), "short", "x"});
    r.id = "id-" + std::to_string(number), r.taken = kWall + number, r.state = state;
    r.ended_after = static_cast<Micros>(random.below(1000));
    return r;
}

AttemptRow attempt(std::uint32_t of, AttemptState state, Random& random) {
    AttemptRow a;
    a.request = of, a.engine = "e" + std::to_string(random.below(4)), a.kind = "std", a.state = state;
    a.work = static_cast<Micros>(random.below(1'000'000));
    return a;
}

struct Read {
    std::map<std::string, RequestAccount> all;  // "life.number"
    std::vector<std::string> damaged;
};
Read read(Ledger& ledger) {
    Read r;
    const auto f = ledger.for_each(
        [&](const RequestAccount& w) {
            const bool fresh =
                r.all.emplace(w.incarnation->name + "." + std::to_string(w.request.number), w).second;
            EXPECT_TRUE(fresh) << "twice: " << w.request.number;
        },
        [&](std::string text) {
            r.damaged.push_back(std::move(text));
        });
    EXPECT_FALSE(f) << f.text;
    return r;
}
Read read(const std::string& file, bool read_only = true) {
    Ledger ledger;
    const auto f = ledger.open(file, {"", read_only});
    EXPECT_FALSE(f) << f.text;
    return f ? Read{} : read(ledger);
}

// What a ledger should hold after a number of batches, of which the last may have failed.
struct Model {
    std::map<std::uint32_t, std::pair<RequestState, Micros>> requests, with_last;
    std::map<std::uint32_t, Micros> work, work_with_last;

    Batch draw(Random& random, std::uint32_t& next) {
        requests = with_last, work = work_with_last;
        Batch b;
        b.wall = kWall + next * 1000;
        for (auto n = random.below(12) + 1; n > 0; --n) {
            const bool fresh = with_last.empty() || random.chance(0.5);
            const auto number = fresh ? ++next : static_cast<std::uint32_t>(random.below(next) + 1);
            const auto state = fresh ? RequestState::open : RequestState::served;
            auto r = request(number, state, random);
            with_last[number] = {state, r.ended_after};
            b.rows.emplace_back(std::move(r));
            auto a = attempt(number, fresh ? AttemptState::in_flight : AttemptState::answered, random);
            work_with_last[number] = a.work;
            b.rows.emplace_back(std::move(a));
        }
        return b;
    }
    bool matches(const Read& r, bool last) const {
        const auto& wanted = last ? with_last : requests;
        const auto& wanted_work = last ? work_with_last : work;
        if (r.all.size() != wanted.size())
            return false;
        for (const auto& [name, w] : r.all) {
            const auto found = wanted.find(w.request.number);
            if (found == wanted.end() || found->second.first != w.request.state ||
                found->second.second != w.request.ended_after || w.attempts.size() != 1 ||
                w.attempts[0].work != wanted_work.at(w.request.number))
                return false;
        }
        return true;
    }
};

// Power lost at a drawn write, 200 times: what was committed is there to the row, what was not is there whole
// or not at all, and nothing is there twice.
TEST(LedgerCrash, CommittedRowsSurviveALossOfPowerAtAnyWrite) {
    int hit = 0, torn_kept = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        const Temp temp("power");
        FaultVfs vfs("power", seed);
        Random random(seed);
        Model model;
        bool last = true;
        {
            Ledger ledger;
            ASSERT_FALSE(ledger.open(temp.file, {"power"}));
            RecoveredState taken;
            ASSERT_FALSE(ledger.begin_incarnation(kFirstLife, "f", kWall, taken));
            vfs.crash_at = vfs.operations + static_cast<long>(random.below(120));
            std::uint32_t next = 0;
            for (int i = 0; i < 30 && last; ++i) {
                // A checkpoint now and then, so that the file itself is also caught half written.
                if (random.chance(0.2))
                    (void)ledger.db().exec("PRAGMA wal_checkpoint(TRUNCATE)");
                last = !ledger.write(model.draw(random, next));
            }
        }
        hit += vfs.crashed;
        vfs.lose_unsynced();
        const auto found = read(temp.file, false);
        EXPECT_TRUE(found.damaged.empty()) << found.damaged.front();
        const bool with = model.matches(found, true);
        EXPECT_TRUE(with || (!last && model.matches(found, false)));
        torn_kept += with && !last;
    }
    EXPECT_GT(hit, 150);
}

// Every single I/O fails once, in turn: the writer tries again, and nothing is missing or doubled.
TEST(LedgerWriter, AFailureAtAnyWriteDelaysAndLosesNothing) {
    for (const int code : {SQLITE_IOERR_WRITE, SQLITE_FULL, SQLITE_IOERR_FSYNC})
        for (long n = 0;; n += 3) {
            SCOPED_TRACE("code " + std::to_string(code) + ", operation " + std::to_string(n));
            const Temp temp("fail");
            FaultVfs vfs("fail", 1);
            vfs.fail_at = n, vfs.failures = 2, vfs.code = code;
            Random random(static_cast<std::uint64_t>(n) + 1);
            LedgerWriter writer({temp.file, "f", kFirstLife, 100 * kMillisecond, 0, {}, "fail"});
            Micros now = 0;
            for (int i = 0; i < 12; ++i) {
                auto r = request(0, RequestState::open, random);
                ASSERT_TRUE(writer.add_request(r, kWall + now));
                writer.update(attempt(r.number, AttemptState::in_flight, random), kWall + now);
                if (i % 2 == 0) {
                    r.state = RequestState::served;
                    writer.update(r, kWall + now);
                }
                now += 100 * kMillisecond;
                (void)writer.poll(now, kWall + now);
            }
            const bool struck = vfs.failures < 2;
            for (int i = 0; i < 100 && writer.status().queued_rows > 0; ++i) {
                now += 500 * kMillisecond;
                (void)writer.poll(now, kWall + now);
            }
            (void)writer.finish(now, kWall + now);
            const auto found = read(temp.file);
            ASSERT_EQ(found.all.size(), 12u);
            for (const auto& [name, w] : found.all) {
                EXPECT_EQ(w.request.state,
                          w.request.number % 2 == 1 ? RequestState::served : RequestState::open);
                EXPECT_EQ(w.attempts.size(), 1u);
            }
            EXPECT_TRUE(found.damaged.empty());
            if (!struck)
                break;
            ASSERT_LT(n, 1000);
        }
}

class WriterTest : public ::testing::Test {
protected:
    std::unique_ptr<LedgerWriter> open(const std::string& life, std::size_t waiting = 1000,
                                       const std::string& vfs = "") {
        LedgerWriterSettings s{temp.file, "front-1", life, 100 * kMillisecond, keep, {}, vfs};
        s.limits.max_queued_rows = waiting;
        return std::make_unique<LedgerWriter>(s);
    }
    std::string look(LedgerWriter& w, int times = 1) {
        std::string words;
        for (int i = 0; i < times; ++i) {
            now += 500 * kMillisecond;
            for (const auto& text : w.poll(now, kWall + now))
                words += text + "\n";
        }
        return words;
    }
    std::uint32_t take(LedgerWriter& w, RequestState state = RequestState::open) {
        auto r = request(0, RequestState::open, random);
        r.taken = kWall + now;
        if (!w.add_request(r, kWall + now))
            return 0;
        if (state != RequestState::open) {
            r.state = state;
            w.update(r, kWall + now);
        }
        return r.number;
    }
    std::vector<std::pair<std::string, LedgerGap>> gaps(const std::string& file) {
        Ledger ledger;
        EXPECT_FALSE(ledger.open(file, {"", true}));
        std::vector<std::pair<std::string, LedgerGap>> all;
        EXPECT_FALSE(ledger.gaps(all));
        return all;
    }
    Temp temp{"writer"};
    Random random{5};
    Micros now = 0, keep = 0;
};

TEST_F(WriterTest, AKilledLifeIsMarkedAndItsGapStated) {
    auto first = open(kFirstLife);
    for (int i = 0; i < 10; ++i) {
        const auto n = take(*first, i < 4 ? RequestState::served : RequestState::open);
        if (i >= 4)
            first->update(attempt(n, AttemptState::in_flight, random), kWall);
    }
    look(*first);
    const Micros committed = kWall + now;
    take(*first);   // never handed over
    first.reset();  // killed
    now += 3 * kSecondMicros;
    auto second = open(kSecondLife);
    EXPECT_NE(look(*second).find("6 requests and 6 attempts"), std::string::npos);
    take(*second, RequestState::shed);
    second->finish(now, kWall + now);
    const auto found = read(temp.file);
    ASSERT_EQ(found.all.size(), 11u);
    int interrupted = 0;
    for (const auto& [name, w] : found.all) {
        interrupted += w.request.state == RequestState::interrupted;
        for (const auto& a : w.attempts)
            EXPECT_EQ(a.state, AttemptState::interrupted);
    }
    EXPECT_EQ(interrupted, 6);
    const auto all = gaps(temp.file);
    ASSERT_EQ(all.size(), 1u);
    EXPECT_EQ(all[0].second.cause, StoreError::killed);
    EXPECT_EQ(all[0].second.from, committed);
    EXPECT_EQ(all[0].second.to, kWall + now);
}

TEST_F(WriterTest, AFullDiskIsSaidBoundedAndStatedAsAGap) {
    FaultVfs vfs("full", 1);
    auto w = open(kFirstLife, 1000, "full");
    for (int i = 0; i < 10; ++i)
        take(*w, RequestState::served);
    look(*w);
    vfs.fail_at = vfs.operations, vfs.failures = 1'000'000, vfs.code = SQLITE_FULL;
    int refused = 0;
    std::string words;
    for (int i = 0; i < 2000; ++i) {
        refused += take(*w) == 0;
        if (i % 100 == 0)
            words += look(*w);
        EXPECT_LE(w->status().queued_rows, 1000u);
    }
    EXPECT_NE(words.find("NOT WRITTEN (disk full)"), std::string::npos) << words;
    EXPECT_GT(refused, 1000);
    vfs.well();
    words = look(*w, 30);
    EXPECT_NE(words.find("written again"), std::string::npos) << words;
    EXPECT_EQ(w->status().queued_rows, 0u);
    w->finish(now, kWall + now);
    EXPECT_EQ(read(temp.file).all.size(), static_cast<std::size_t>(2010 - refused));
    const auto all = gaps(temp.file);
    ASSERT_EQ(all.size(), 1u);
    EXPECT_EQ(all[0].second.cause, StoreError::full);
    EXPECT_EQ(all[0].second.requests, refused);
}

TEST_F(WriterTest, ASecondProcessIsKeptOffAndSaysSo) {
    auto first = open(kFirstLife);
    look(*first);
    auto second = open(kSecondLife);
    take(*second);
    EXPECT_NE(look(*second).find("another process"), std::string::npos);
    take(*first);
    look(*first);
    first->finish(now, kWall + now);
    look(*second, 30);
    EXPECT_EQ(second->status().error, StoreError::none);
    second->finish(now, kWall + now);
    EXPECT_EQ(read(temp.file).all.size(), 2u);
}

TEST_F(WriterTest, AFileOfSomethingElseIsNeverTouched) {
    std::ofstream(temp.file) << std::string(5000, 'x');
    auto w = open(kFirstLife);
    take(*w);
    EXPECT_NE(look(*w, 5).find("not a ledger"), std::string::npos);
    w.reset();
    EXPECT_EQ(std::filesystem::file_size(temp.file), 5000u);
    std::filesystem::remove(temp.file);
    Db other;
    ASSERT_FALSE(other.open(temp.file, {}));
    ASSERT_FALSE(other.exec("CREATE TABLE x(y)"));
    w = open(kSecondLife);
    EXPECT_NE(look(*w, 2).find("another program"), std::string::npos);
}

// A page of the requests' table is overwritten. The front goes on with a new file; the old one is read as far
// as it can be, and what can't is told.
TEST_F(WriterTest, ADamagedFileIsSetAsideAndReadAroundTheDamage) {
    auto w = open(kFirstLife);
    for (int i = 0; i < 900; ++i)
        take(*w, RequestState::served);
    look(*w);
    w->finish(now, kWall + now);
    w.reset();
    std::int64_t page = 0;
    {
        Db db;
        ASSERT_FALSE(db.open(temp.file, {}));
        page = *db.number("SELECT rootpage FROM sqlite_master WHERE name='requests'");
    }
    // Every page but the first few is spoilt in its head, as a torn block would leave some of them.
    const auto size = static_cast<std::int64_t>(std::filesystem::file_size(temp.file));
    {
        std::fstream f(temp.file, std::ios::in | std::ios::out | std::ios::binary);
        for (std::int64_t at = std::max<std::int64_t>(page + 8, 20); at < size / 4096; at += 5) {
            f.seekp(at * 4096);
            f.write("torn!torn!torn!torn!", 20);
        }
    }
    const auto around = read(temp.file);
    EXPECT_GT(around.all.size(), 100u);
    EXPECT_LT(around.all.size(), 900u);
    EXPECT_FALSE(around.damaged.empty());
    w = open(kSecondLife);
    std::string words;
    for (int i = 0; i < 900; ++i) {
        take(*w, RequestState::served);
        if (i % 100 == 0)
            words += look(*w);
    }
    words += look(*w, 20);
    EXPECT_EQ(w->status().error, StoreError::none) << words;
    w->finish(now, kWall + now);
    // Whether the writing met the damage or not, every new row is there.
    const auto after = read(temp.file);
    EXPECT_EQ(std::count_if(after.all.begin(), after.all.end(),
                            [](const auto& row) {
                                return row.first.starts_with(kSecondLife);
                            }),
              900)
        << words;
}

TEST_F(WriterTest, ALargerRowThanItsChecksumSaysIsTold) {
    auto w = open(kFirstLife);
    for (int i = 0; i < 3; ++i)
        take(*w, RequestState::served);
    look(*w);
    w->finish(now, kWall + now);
    {
        Db db;
        ASSERT_FALSE(db.open(temp.file, {}));
        ASSERT_FALSE(db.exec("UPDATE requests SET taken=taken+1 WHERE row%4294967296=2"));
    }
    const auto found = read(temp.file);
    EXPECT_EQ(found.all.size(), 2u);
    ASSERT_EQ(found.damaged.size(), 1u);
    EXPECT_NE(found.damaged[0].find(kFirstLife + ".2 does not match"), std::string::npos);
}

TEST_F(WriterTest, OldRowsGoWithAGapThatGrows) {
    keep = 10 * kSecondMicros;
    auto w = open(kFirstLife);
    for (int i = 0; i < 60; ++i) {
        take(*w, RequestState::served);
        look(*w);
    }
    w->finish(now, kWall + now);
    const auto left = read(temp.file).all.size();
    EXPECT_GE(left, 18u);
    EXPECT_LE(left, 22u);
    const auto all = gaps(temp.file);
    ASSERT_EQ(all.size(), 1u);
    EXPECT_EQ(all[0].second.cause, StoreError::none);
    EXPECT_EQ(all[0].second.requests, static_cast<std::int64_t>(60 - left));
}

TEST_F(WriterTest, RoomOfOldRowsIsGivenBack) {
    auto w = open(kFirstLife);
    for (int i = 0; i < 6000; ++i) {
        take(*w, RequestState::served);
        if (i % 300 == 0)
            look(*w);
    }
    look(*w);
    w->finish(now, kWall + now);
    const auto before = std::filesystem::file_size(temp.file);
    keep = 10 * kSecondMicros;
    w = open(kSecondLife);
    for (int i = 0; i < 40; ++i) {
        take(*w, RequestState::served);
        look(*w);
    }
    w->finish(now, kWall + now);
    EXPECT_LT(std::filesystem::file_size(temp.file), before / 3);
    EXPECT_LT(read(temp.file).all.size(), 50u);
}

TEST_F(WriterTest, ASnapshotWhileWritingIsWholeAndCanBeGoneOnWith) {
    auto w = open(kFirstLife);
    for (int i = 0; i < 50; ++i)
        take(*w, i % 2 ? RequestState::served : RequestState::open);
    look(*w);
    Ledger reader;
    ASSERT_FALSE(reader.open(temp.file, {"", true}));
    ASSERT_FALSE(reader.snapshot(temp.folder + "/copy"));
    take(*w);
    look(*w);
    EXPECT_EQ(read(temp.folder + "/copy", false).all.size(), 50u);
    // Restored: the copy in its place, and the next life goes on with it.
    w.reset();
    reader.close();
    for (const char* part : {"", "-wal", "-shm"})
        std::filesystem::remove(temp.file + part);
    std::filesystem::rename(temp.folder + "/copy", temp.file);
    w = open(kSecondLife);
    EXPECT_NE(look(*w).find("25 requests"), std::string::npos);
}

TEST_F(WriterTest, AnOlderVersionIsBroughtUpToDateAndALaterOneRefused) {
    {
        auto w = open(kFirstLife);
        take(*w, RequestState::served);
        look(*w);
        w->finish(now, kWall + now);
    }
    Db db;
    ASSERT_FALSE(db.open(temp.file, {}));
    ASSERT_FALSE(db.exec("DROP TABLE events; DROP TABLE versions; PRAGMA user_version=1"));  // as version 1
    db.close();
    EXPECT_EQ(read(temp.file, false).all.size(), 1u);
    ASSERT_FALSE(db.open(temp.file, {}));
    EXPECT_EQ(*db.number("PRAGMA user_version"), kSchemaVersion);
    EXPECT_EQ(*db.number("SELECT count(*) FROM events"), 0);
    ASSERT_FALSE(db.exec("PRAGMA user_version=99"));
    db.close();
    auto w = open(kSecondLife);
    EXPECT_NE(look(*w).find("version 99"), std::string::npos);
}

TEST_F(WriterTest, AStepOfTheClockIsWrittenDown) {
    auto w = open(kFirstLife);
    look(*w);
    now += 100 * kMillisecond;
    const auto words = w->poll(now, kWall + now - 2 * kSecondMicros);
    ASSERT_EQ(words.size(), 1u);
    EXPECT_NE(words[0].find("-2000 ms"), std::string::npos);
    w->finish(now, kWall + now - 2 * kSecondMicros);
    Ledger ledger;
    ASSERT_FALSE(ledger.open(temp.file, {"", true}));
    std::vector<std::pair<Micros, Micros>> steps;
    ASSERT_FALSE(ledger.clock_steps(steps));
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].second, -2 * kSecondMicros);
}

}  // namespace
}  // namespace gatetiller::store
