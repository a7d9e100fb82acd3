// The ledger in its file: every request's account as rows, written in batches, each batch whole or not at
// all. The same file form serves a front (one life after another) and the settlement's books (rows of many
// fronts and the engines' journals, see accounting_store.hpp). Not for use by two threads at once.
//
// A life is one run of a front, from its start to its end or its killing. A request is (life, number).
#pragma once

#include <functional>
#include <map>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "decide/account.hpp"
#include "decide/ledger_state.hpp"
#include "store/db.hpp"

namespace gatetiller::store {

using decide::AttemptRow;
using decide::LedgerGap;
using decide::RequestRow;

constexpr int kSchemaVersion = 2;

struct Batch {
    std::vector<std::variant<RequestRow, AttemptRow>> rows;  // of the same key the last one counts
    std::vector<LedgerGap> gaps;
    std::vector<std::pair<Micros, Micros>> clock_steps;  // at (after the step), by how much
    Micros wall = 0;                                     // all until here is in this batch or before
};

struct Incarnation {
    std::int64_t row = 0;
    std::string name, front;                // name: 16 hex digits
    Micros began = 0, last = 0, ended = 0;  // wall clock; last: written until; ended 0: not in order
};

struct RecoveredState {  // what a new life found
    std::int64_t requests_interrupted = 0, attempts_interrupted = 0;
    std::optional<LedgerGap>
        killed;  // the stretch at the end of the life before in which requests may be missing
};

// Rows of one request, wherever they come from.
struct RequestAccount {
    const Incarnation* incarnation = nullptr;
    RequestRow request;
    std::vector<AttemptRow> attempts;
};

struct LedgerOptions {
    std::string vfs{};
    bool read_only = false;
};

class Ledger {
public:
    // Opens or creates it, and brings an older version of it up to date.
    StoreFailure open(const std::string& file, const LedgerOptions& options);
    void close();
    bool is_open() const {
        return db_.is_open();
    }

    // Takes it for one front. Whatever earlier lives had in hand is marked as interrupted.
    StoreFailure begin_incarnation(const std::string& name, const std::string& front, Micros wall,
                                   RecoveredState& taken);
    StoreFailure write(const Batch& batch);
    StoreFailure end_incarnation(Micros wall);
    // Removes closed requests taken before `wall`, so many at most, and gives the room back; what is gone
    // stands as a gap. `removed` is 0 once none is left.
    StoreFailure expire(Micros wall, int most, std::int64_t& removed);
    // Work of requests taken since `wall`, in all, by requester and by `step` of time.
    struct WorkSample {
        std::shared_ptr<const decide::Requester> who;
        Micros taken = 0, work = 0;
    };
    StoreFailure work_samples_since(Micros wall, Micros step, std::vector<WorkSample>& to);
    StoreFailure snapshot(const std::string& file);

    // All requests in the order of their lives' names and their numbers, whatever order they came in. What
    // cannot be read (a damaged page, a row that does not match its checksum) is passed over and told to
    // `damaged` with what is known of its place.
    StoreFailure for_each(const std::function<void(const RequestAccount&)>& row,
                          const std::function<void(std::string)>& damaged);
    // Requests with a key and a window alone, without their attempts.
    StoreFailure for_each_keyed(const std::function<void(const Incarnation&, const RequestRow&)>& row);
    StoreFailure incarnations(std::vector<Incarnation>& to);
    StoreFailure gaps(std::vector<std::pair<std::string, LedgerGap>>& to);  // with the front's name
    StoreFailure clock_steps(std::vector<std::pair<Micros, Micros>>& to);
    // Puts rows of another ledger's life in, by what is known: a row that says more replaces one that says
    // less, so that taking the same rows twice, or those of a copy, changes nothing.
    StoreFailure adopt(const Incarnation& life, std::int64_t& row);
    StoreFailure put(std::int64_t life_row, const RequestRow& request);
    StoreFailure put(std::int64_t life_row, const AttemptRow& attempt);
    Db& db() {
        return db_;
    }

private:
    StoreFailure migrate(bool read_only);
    StoreFailure prepare();
    std::int64_t who_row(const decide::Requester& who, StoreFailure& failure);
    std::int64_t engine_row(const std::string& name, const std::string& kind, StoreFailure& failure);
    std::shared_ptr<const decide::Requester> who_of(std::int64_t row);
    const std::pair<std::string, std::string>& engine_of(std::int64_t row);
    bool read_request(Statement& s, RequestRow& to);
    bool read_attempt(Statement& s, AttemptRow& to);
    void forget_names();

    Db db_;
    std::int64_t life_ = 0;
    Statement put_request_, put_attempt_, put_gap_, put_step_, touch_, find_who_, add_who_, find_engine_,
        add_engine_;
    // Bounded: names are looked up again once too many are held.
    std::unordered_map<std::string, std::int64_t> who_rows_, engine_rows_;
    std::unordered_map<std::int64_t, std::shared_ptr<const decide::Requester>> whos_;
    std::map<std::int64_t, std::pair<std::string, std::string>> engines_;
};

// The lock that keeps a second front off a ledger; held as long as the object lives.
class FileLock {
public:
    FileLock() = default;
    FileLock(const FileLock&) = delete;
    FileLock& operator=(const FileLock&) = delete;
    ~FileLock() {
        release();
    }
    StoreFailure take(const std::string& file);  // file + ".lock"
    void release();

private:
    int held_ = -1;
};

// Whether the file says by its head that it is a ledger, however damaged the rest of it is.
bool looks_like_ledger(const std::string& file);

}  // namespace gatetiller::store
