#include "store/ledger.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>

#include "base/text.hpp"

namespace gatetiller::store {
namespace {

using decide::AttemptState;
using decide::Requester;
using decide::RequestState;

constexpr std::int64_t kApplication = 0x67744c31;  // in the file's head: this is a ledger
// A flush, a commit, and the steps of a clock that are too small to be noticed.
constexpr Micros kTail = 300 * kMillisecond;
constexpr std::size_t kNamesHeld = 20'000;
constexpr int kLifeShift = 32;
constexpr int kPagesBack = 1000;

// Each step brings a file from the version before; a step that has been published is never changed.
constexpr const char* kSteps[kSchemaVersion] = {
    R"(CREATE TABLE lives(row INTEGER PRIMARY KEY, name TEXT NOT NULL UNIQUE, front TEXT NOT NULL,
         began INTEGER NOT NULL, last INTEGER NOT NULL, ended INTEGER NOT NULL);
       CREATE TABLE who(row INTEGER PRIMARY KEY, user TEXT, source TEXT, tags TEXT, class TEXT, tenant TEXT,
         UNIQUE(user, source, tags, class, tenant));
       CREATE TABLE engines(row INTEGER PRIMARY KEY, name TEXT, kind TEXT, UNIQUE(name, kind));
       CREATE TABLE requests(row INTEGER PRIMARY KEY, who INTEGER, id TEXT, key TEXT, key_window INTEGER,
         taken INTEGER, state INTEGER, error INTEGER, attempts INTEGER, ended_after INTEGER,
         closed_after INTEGER, sum INTEGER);
       CREATE INDEX open_requests ON requests(row) WHERE state = 0;
       CREATE TABLE attempts(request INTEGER, number INTEGER, engine INTEGER, engine_id TEXT, state INTEGER,
         sent_after INTEGER, ended_after INTEGER, grant_bytes INTEGER, work INTEGER, peak_bytes INTEGER,
         spilled_bytes INTEGER, row_bytes INTEGER, whole INTEGER, sum INTEGER,
         PRIMARY KEY(request, number)) WITHOUT ROWID;
       CREATE INDEX out_attempts ON attempts(request, number) WHERE state = 0;
       CREATE TABLE gaps(row INTEGER PRIMARY KEY, life INTEGER, cause INTEGER, since INTEGER, until INTEGER,
         requests INTEGER, updates INTEGER, UNIQUE(life, cause, since, until));
       CREATE TABLE clock_steps(life INTEGER, at INTEGER, by INTEGER, UNIQUE(life, at, by)))",
    R"(CREATE TABLE events(life TEXT, request INTEGER, attempt INTEGER, engine TEXT, id TEXT, user TEXT,
         source TEXT, tags TEXT, created INTEGER, ended INTEGER, work INTEGER, peak_bytes INTEGER,
         spilled_bytes INTEGER, row_bytes INTEGER, error TEXT,
         PRIMARY KEY(life, request, attempt, engine, id)) WITHOUT ROWID;
       CREATE TABLE versions(row INTEGER PRIMARY KEY, period TEXT, made INTEGER, digest TEXT, report TEXT))",
};

std::int64_t sum_of(std::initializer_list<std::int64_t> numbers,
                    std::initializer_list<std::string_view> texts) {
    std::uint64_t sum = 0x9e3779b97f4a7c15ULL;
    for (const std::int64_t n : numbers)
        sum = (sum ^ static_cast<std::uint64_t>(n)) * 0xff51afd7ed558ccdULL, sum ^= sum >> 29;
    for (const auto t : texts)
        sum = hash_of(t, sum);
    return static_cast<std::int64_t>(sum);
}

std::int64_t sum_of(std::int64_t row, std::int64_t who, const RequestRow& r) {
    return sum_of({row, who, r.key_window, r.taken, static_cast<int>(r.state), r.error, r.attempts,
                   r.ended_after, r.closed_after},
                  {r.id, r.key});
}

std::int64_t sum_of(std::int64_t request, std::int64_t engine, const AttemptRow& a) {
    return sum_of({request, a.number, engine, static_cast<int>(a.state), a.sent_after, a.ended_after,
                   a.grant_bytes, a.work, a.peak_bytes, a.spilled_bytes, a.row_bytes, a.whole},
                  {a.engine_id});
}

std::string name_key(const Requester& w) {
    std::string key;
    for (const std::string* part : {&w.user, &w.source, &w.tags, &w.cls, &w.tenant})
        (key += *part) += '\0';
    return key;
}

template <typename State>
State state_from(std::int64_t n, int count) {
    return n >= 0 && n < count ? static_cast<State>(n) : State{};
}

std::int64_t row_of(std::int64_t life, std::uint32_t number) {
    return life << kLifeShift | number;
}

}  // namespace

bool looks_like_ledger(const std::string& file) {
    // SQLite's file format: the application's number stands at offset 68, big-endian.
    std::ifstream in(file, std::ios::binary);
    unsigned char head[72] = {};
    if (!in.read(reinterpret_cast<char*>(head), sizeof head))
        return false;
    std::int64_t id = 0;
    for (int i = 68; i < 72; ++i)
        id = id << 8 | head[i];
    return id == kApplication;
}

// ---- Opening

StoreFailure Ledger::open(const std::string& file, const LedgerOptions& o) {
    close();
    if (auto f = db_.open(file, {o.read_only, !o.read_only, o.vfs}))
        return f;
    if (!o.read_only)
        // Full: a batch that was committed is on the disk, whatever the machine does next.
        if (auto f = db_.exec("PRAGMA auto_vacuum=INCREMENTAL; PRAGMA journal_mode=WAL; PRAGMA "
                              "synchronous=FULL; PRAGMA temp_store=MEMORY;"
                              "PRAGMA wal_autocheckpoint=2000; PRAGMA cache_size=-16000;"
                              "PRAGMA journal_size_limit=67108864"))
            return f;
    if (auto f = migrate(o.read_only))
        return f;
    return o.read_only ? StoreFailure{} : prepare();
}

StoreFailure Ledger::migrate(bool read_only) {
    const auto application = db_.number("PRAGMA application_id"), version = db_.number("PRAGMA user_version"),
               tables = db_.number("SELECT count(*) FROM sqlite_master");
    for (const auto* n : {&application, &version, &tables})
        if (!*n)
            return {StoreError::corrupt, n->error()};
    const auto foreign = [&](const std::string& what) {
        return StoreFailure{StoreError::foreign, db_.file() + ": " + what};
    };
    if (*tables > 0 && *application != kApplication)
        return foreign("is a database of another program; name another file for the ledger");
    if (*version > kSchemaVersion)
        return foreign("is a ledger of version " + std::to_string(*version) + ", this program knows " +
                       std::to_string(kSchemaVersion) + ": use the newer program, or name another file");
    if (*version == kSchemaVersion)
        return {};
    if (read_only) {
        if (*version == 0)
            return foreign("is empty, not a ledger");
        return {};
    }
    Transaction whole(db_);
    if (whole.begun())
        return whole.begun();
    if (auto f = db_.exec("PRAGMA application_id=" + std::to_string(kApplication)))
        return f;
    for (auto step = *version; step < kSchemaVersion; ++step)
        if (auto f = db_.exec(kSteps[step]))
            return f;
    if (auto f = db_.exec("PRAGMA user_version=" + std::to_string(kSchemaVersion)))
        return f;
    return whole.commit();
}

StoreFailure Ledger::prepare() {
    const std::pair<Statement*, const char*> all[] = {
        {&put_request_, "INSERT OR REPLACE INTO requests VALUES(?,?,?,?,?,?,?,?,?,?,?,?)"},
        {&put_attempt_, "INSERT OR REPLACE INTO attempts VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?,?)"},
        {&put_gap_,
         "INSERT OR IGNORE INTO gaps(life,cause,since,until,requests,updates) VALUES(?,?,?,?,?,?)"},
        {&put_step_, "INSERT OR IGNORE INTO clock_steps VALUES(?,?,?)"},
        {&touch_, "UPDATE lives SET last=? WHERE row=?"},
        {&find_who_, "SELECT row FROM who WHERE user=? AND source=? AND tags=? AND class=? AND tenant=?"},
        {&add_who_, "INSERT INTO who(user,source,tags,class,tenant) VALUES(?,?,?,?,?)"},
        {&find_engine_, "SELECT row FROM engines WHERE name=? AND kind=?"},
        {&add_engine_, "INSERT INTO engines(name,kind) VALUES(?,?)"}};
    for (const auto& [statement, sql] : all) {
        *statement = db_.prepare(sql);
        if (statement->failure())
            return statement->failure();
    }
    return {};
}

void Ledger::close() {
    put_request_ = {}, put_attempt_ = {}, put_gap_ = {}, put_step_ = {}, touch_ = {};
    find_who_ = {}, add_who_ = {}, find_engine_ = {}, add_engine_ = {};
    forget_names();
    life_ = 0;
    db_.close();
}

void Ledger::forget_names() {
    who_rows_.clear(), engine_rows_.clear(), whos_.clear(), engines_.clear();
}

// ---- A front's life

StoreFailure Ledger::adopt(const Incarnation& l, std::int64_t& row) {
    auto add = db_.prepare("INSERT OR IGNORE INTO lives(name,front,began,last,ended) VALUES(?,?,?,?,?)");
    add.bind(0, l.name).bind(1, l.front).bind(2, l.began).bind(3, l.last).bind(4, l.ended);
    if (auto f = add.run())
        return f;
    auto grow = db_.prepare("UPDATE lives SET last=max(last,?), ended=max(ended,?) WHERE name=?");
    grow.bind(0, l.last).bind(1, l.ended).bind(2, l.name);
    if (auto f = grow.run())
        return f;
    auto find = db_.prepare("SELECT row FROM lives WHERE name=?");
    find.bind(0, l.name);
    row = find.step() ? find.number(0) : 0;
    return find.failure();
}

StoreFailure Ledger::begin_incarnation(const std::string& name, const std::string& front, Micros wall,
                                       RecoveredState& taken) {
    Transaction whole(db_);
    if (whole.begun())
        return whole.begun();
    std::vector<Incarnation> before;
    if (auto f = incarnations(before))
        return f;
    // The same life again: this front lost its file for a while, and has it back.
    const bool again = std::any_of(before.begin(), before.end(), [&](const auto& l) {
        return l.name == name;
    });
    std::int64_t row = 0;
    if (auto f = adopt({0, name, front, wall, wall, 0}, row))
        return f;
    if (!again) {
        const auto mark = [&](const char* table, const char* first, int state,
                              std::int64_t& n) -> StoreFailure {
            // The row's checksum covers its state, so that each is written by way of its reading.
            std::vector<std::variant<RequestRow, AttemptRow>> rows;
            std::vector<std::int64_t> of;
            auto s = db_.prepare(std::string("SELECT * FROM ") + table + " WHERE state=0 ORDER BY " + first);
            while (s.step()) {
                const std::int64_t key = s.number(0);
                if (table[0] == 'r') {
                    RequestRow r;
                    if (!read_request(s, r))
                        continue;
                    r.state = static_cast<RequestState>(state);
                    rows.emplace_back(std::move(r));
                } else {
                    AttemptRow a;
                    if (!read_attempt(s, a))
                        continue;
                    a.state = static_cast<AttemptState>(state);
                    rows.emplace_back(std::move(a));
                }
                of.push_back(key >> kLifeShift);
            }
            if (s.failure())
                return s.failure();
            n = static_cast<std::int64_t>(rows.size());
            for (std::size_t i = 0; i < rows.size(); ++i)
                if (auto f = std::visit(
                        [&](const auto& r) {
                            return put(of[i], r);
                        },
                        rows[i]))
                    return f;
            return {};
        };
        if (auto f = mark("requests", "row", static_cast<int>(RequestState::interrupted),
                          taken.requests_interrupted))
            return f;
        if (auto f = mark("attempts", "request", static_cast<int>(AttemptState::interrupted),
                          taken.attempts_interrupted))
            return f;
        if (!before.empty() && before.back().ended == 0) {
            const Incarnation& last = before.back();
            taken.killed = decide::gap_after_kill(last.last, wall, kTail);
            put_gap_.bind(0, last.row).bind(1, static_cast<int>(StoreError::killed));
            put_gap_.bind(2, taken.killed->from).bind(3, taken.killed->to).bind(4, -1).bind(5, -1);
            if (auto f = put_gap_.run())
                return f;
        }
    }
    if (auto f = whole.commit())
        return f;
    life_ = row;
    return {};
}

StoreFailure Ledger::end_incarnation(Micros wall) {
    auto s = db_.prepare("UPDATE lives SET last=?, ended=? WHERE row=?");
    s.bind(0, wall).bind(1, wall).bind(2, life_);
    return s.run();
}

StoreFailure Ledger::write(const Batch& b) {
    Transaction whole(db_);
    if (whole.begun())
        return whole.begun();
    const auto failed = [this](StoreFailure f) {
        forget_names();  // those that this batch added go with it
        return f;
    };
    for (const auto& row : b.rows)
        if (auto f = std::visit(
                [&](const auto& r) {
                    return put(life_, r);
                },
                row))
            return failed(f);
    for (const LedgerGap& g : b.gaps) {
        put_gap_.bind(0, life_).bind(1, static_cast<int>(g.cause)).bind(2, g.from).bind(3, g.to);
        put_gap_.bind(4, g.requests).bind(5, g.updates);
        if (auto f = put_gap_.run())
            return failed(f);
    }
    for (const auto& [at, by] : b.clock_steps) {
        put_step_.bind(0, life_).bind(1, at).bind(2, by);
        if (auto f = put_step_.run())
            return failed(f);
    }
    touch_.bind(0, b.wall).bind(1, life_);
    if (auto f = touch_.run())
        return failed(f);
    if (auto f = whole.commit())
        return failed(f);
    return {};
}

StoreFailure Ledger::expire(Micros wall, int most, std::int64_t& removed) {
    removed = 0;
    Transaction whole(db_);
    if (whole.begun())
        return whole.begun();
    // Rows stand in the order of taking, so the oldest come first; an open one holds up those behind it.
    auto old = db_.prepare("SELECT row, taken, state FROM requests ORDER BY row LIMIT ?");
    old.bind(0, most);
    std::int64_t upto = 0;
    LedgerGap gap{StoreError::none, wall, 0, 0, 0};
    while (old.step()) {
        if (old.number(1) >= wall || old.number(2) == 0)
            break;
        upto = old.number(0), ++gap.requests;
        gap.from = std::min(gap.from, old.number(1)), gap.to = std::max(gap.to, old.number(1));
    }
    old.reset();
    if (old.failure())
        return old.failure();
    if (upto == 0)
        return {};
    for (const char* sql : {"DELETE FROM attempts WHERE request<=?", "DELETE FROM requests WHERE row<=?"}) {
        auto s = db_.prepare(sql);
        s.bind(0, upto);
        if (auto f = s.run())
            return f;
    }
    // One gap for all that was let go, which grows.
    auto grow = db_.prepare(
        "UPDATE gaps SET since=min(since,?), until=max(until,?), requests=requests+? "
        "WHERE cause=0");
    grow.bind(0, gap.from).bind(1, gap.to).bind(2, gap.requests);
    if (auto f = grow.run())
        return f;
    if (db_.changed() == 0) {
        put_gap_.bind(0, 0).bind(1, 0).bind(2, gap.from).bind(3, gap.to).bind(4, gap.requests).bind(5, 0);
        if (auto f = put_gap_.run())
            return f;
    }
    if (auto f = whole.commit())
        return f;
    removed = gap.requests;
    // The room goes back to the disk in portions, so that no batch waits long for it.
    return db_.exec("PRAGMA incremental_vacuum(" + std::to_string(kPagesBack) + ")");
}

StoreFailure Ledger::work_samples_since(Micros wall, Micros step, std::vector<WorkSample>& to) {
    // Every row is looked at by its own time: steps of the clock may have put them out of order.
    auto s = db_.prepare(
        "SELECT who, taken/?2, sum(work) FROM requests JOIN attempts ON request=requests.row "
        "WHERE taken>=?1 GROUP BY 1, 2 ORDER BY 2, 1");
    s.bind(0, wall).bind(1, std::max<Micros>(1, step));
    while (s.step())
        to.push_back({who_of(s.number(0)), s.number(1) * std::max<Micros>(1, step), s.number(2)});
    return s.failure();
}

StoreFailure Ledger::snapshot(const std::string& file) {
    return db_.copy_to(file, 500);
}

// ---- Rows

std::int64_t Ledger::who_row(const Requester& w, StoreFailure& failure) {
    if (who_rows_.size() > kNamesHeld)
        who_rows_.clear();
    const auto [held, fresh] = who_rows_.try_emplace(name_key(w), 0);
    if (!fresh)
        return held->second;
    const auto bind = [&](Statement& s) -> Statement& {
        return s.bind(0, w.user).bind(1, w.source).bind(2, w.tags).bind(3, w.cls).bind(4, w.tenant);
    };
    if (bind(find_who_).step()) {
        held->second = find_who_.number(0);
        find_who_.reset();
    } else if (!(failure = find_who_.failure()) && !(failure = bind(add_who_).run())) {
        held->second = db_.last_row();
    }
    return held->second;
}

std::int64_t Ledger::engine_row(const std::string& name, const std::string& kind, StoreFailure& failure) {
    if (engine_rows_.size() > kNamesHeld)
        engine_rows_.clear();
    const auto [held, fresh] = engine_rows_.try_emplace(name + '\0' + kind, 0);
    if (!fresh)
        return held->second;
    if (find_engine_.bind(0, name).bind(1, kind).step()) {
        held->second = find_engine_.number(0);
        find_engine_.reset();
    } else if (!(failure = find_engine_.failure()) &&
               !(failure = add_engine_.bind(0, name).bind(1, kind).run())) {
        held->second = db_.last_row();
    }
    return held->second;
}

StoreFailure Ledger::put(std::int64_t life, const RequestRow& r) {
    StoreFailure f;
    const std::int64_t row = row_of(life, r.number), who = who_row(*r.who, f);
    if (f)
        return f;
    put_request_.bind(0, row).bind(1, who).bind(2, r.id).bind(3, r.key).bind(4, r.key_window);
    put_request_.bind(5, r.taken).bind(6, static_cast<int>(r.state)).bind(7, r.error).bind(8, r.attempts);
    put_request_.bind(9, r.ended_after).bind(10, r.closed_after).bind(11, sum_of(row, who, r));
    return put_request_.run();
}

StoreFailure Ledger::put(std::int64_t life, const AttemptRow& a) {
    StoreFailure f;
    const std::int64_t request = row_of(life, a.request), engine = engine_row(a.engine, a.kind, f);
    if (f)
        return f;
    put_attempt_.bind(0, request).bind(1, a.number).bind(2, engine).bind(3, a.engine_id);
    put_attempt_.bind(4, static_cast<int>(a.state)).bind(5, a.sent_after).bind(6, a.ended_after);
    put_attempt_.bind(7, a.grant_bytes).bind(8, a.work).bind(9, a.peak_bytes).bind(10, a.spilled_bytes);
    put_attempt_.bind(11, a.row_bytes).bind(12, a.whole).bind(13, sum_of(request, engine, a));
    return put_attempt_.run();
}

std::shared_ptr<const Requester> Ledger::who_of(std::int64_t row) {
    if (whos_.size() > kNamesHeld)
        whos_.clear();
    auto& held = whos_[row];
    if (held)
        return held;
    auto s = db_.prepare("SELECT user,source,tags,class,tenant FROM who WHERE row=?");
    s.bind(0, row);
    Requester w;
    if (s.step())
        w = {s.text(0), s.text(1), s.text(2), s.text(3), s.text(4)};
    return held = std::make_shared<const Requester>(std::move(w));
}

const std::pair<std::string, std::string>& Ledger::engine_of(std::int64_t row) {
    const auto found = engines_.find(row);
    if (found != engines_.end())
        return found->second;
    auto s = db_.prepare("SELECT name,kind FROM engines WHERE row=?");
    s.bind(0, row);
    std::pair<std::string, std::string> e;
    if (s.step())
        e = {s.text(0), s.text(1)};
    return engines_[row] = std::move(e);
}

// False: the row does not match its checksum.
bool Ledger::read_request(Statement& s, RequestRow& r) {
    const std::int64_t row = s.number(0), who = s.number(1);
    r.number = static_cast<std::uint32_t>(row);
    r.who = who_of(who);
    r.id = s.text(2), r.key = s.text(3), r.key_window = s.number(4), r.taken = s.number(5);
    r.state = state_from<RequestState>(s.number(6), decide::kRequestStates);
    r.error = s.number(7) != 0, r.attempts = static_cast<std::uint32_t>(s.number(8));
    r.ended_after = s.number(9), r.closed_after = s.number(10);
    return s.number(11) == sum_of(row, who, r);
}

bool Ledger::read_attempt(Statement& s, AttemptRow& a) {
    const std::int64_t request = s.number(0), engine = s.number(2);
    a.request = static_cast<std::uint32_t>(request), a.number = static_cast<std::uint32_t>(s.number(1));
    std::tie(a.engine, a.kind) = engine_of(engine);
    a.engine_id = s.text(3);
    a.state = state_from<AttemptState>(s.number(4), decide::kAttemptStates);
    a.sent_after = s.number(5), a.ended_after = s.number(6), a.grant_bytes = s.number(7),
    a.work = s.number(8);
    a.peak_bytes = s.number(9), a.spilled_bytes = s.number(10), a.row_bytes = s.number(11);
    a.whole = s.number(12) != 0;
    return s.number(13) == sum_of(request, engine, a);
}

// ---- Reading

StoreFailure Ledger::incarnations(std::vector<Incarnation>& to) {
    auto s = db_.prepare("SELECT row,name,front,began,last,ended FROM lives ORDER BY row");
    while (s.step())
        to.push_back({s.number(0), s.text(1), s.text(2), s.number(3), s.number(4), s.number(5)});
    return s.failure();
}

StoreFailure Ledger::gaps(std::vector<std::pair<std::string, LedgerGap>>& to) {
    auto s = db_.prepare(
        "SELECT coalesce(front,''),cause,since,until,requests,updates FROM gaps "
        "LEFT JOIN lives ON lives.row=life ORDER BY since, until, cause, 1");
    while (s.step())
        to.push_back({s.text(0),
                      {state_from<StoreError>(s.number(1), static_cast<int>(StoreError::foreign) + 1),
                       s.number(2), s.number(3), s.number(4), s.number(5)}});
    return s.failure();
}

StoreFailure Ledger::clock_steps(std::vector<std::pair<Micros, Micros>>& to) {
    auto s = db_.prepare("SELECT at,by FROM clock_steps ORDER BY at,by");
    while (s.step())
        to.emplace_back(s.number(0), s.number(1));
    return s.failure();
}

namespace {

// A cursor over one life's rows of a table in the order of its key that gets past pages which can't be read:
// it goes on behind the last key that was, further and further until rows come again.
class Cursor {
public:
    Cursor(Db& db, const std::string& table, const std::string& key,
           const std::function<void(std::string)>& damaged)
        : db_(db),
          table_(table),
          statement_(db.prepare("SELECT * FROM " + table + " WHERE " + key + ">? AND " + key +
                                "<? ORDER BY " + key + (key == "row" ? "" : ",number"))),
          damaged_(damaged) {}
    void start(const Incarnation& life) {
        life_ = &life;
        at_ = life.row << kLifeShift, end_ = (life.row + 1) << kLifeShift, step_ = 1;
        lost_from_.reset();
        from(at_);
        next();
    }
    bool there() const {
        return there_;
    }
    std::int64_t key() const {
        return at_;
    }
    Statement& row() {
        return statement_;
    }
    void next() {
        for (there_ = true;;) {
            if (statement_.step()) {
                const std::int64_t key = statement_.number(0);
                if (lost_from_)
                    tell(key);
                at_ = key, step_ = 1;
                return;
            }
            const bool failed = static_cast<bool>(statement_.failure());
            if (failed && !lost_from_)
                lost_from_ = at_;
            if (!failed || *lost_from_ + step_ >= end_) {
                if (lost_from_)
                    tell(end_);
                there_ = false;
                return;
            }
            from(*lost_from_ + step_);
            step_ *= 2;
        }
    }

private:
    void from(std::int64_t key) {
        statement_.reset();
        statement_.bind(0, key).bind(1, end_);
    }
    void tell(std::int64_t until) {
        damaged_(table_ + ": unreadable in life " + life_->name + " from behind number " +
                 std::to_string(*lost_from_ & 0xffffffff) +
                 (until == end_ ? " to its end" : " to before " + std::to_string(until & 0xffffffff)));
        lost_from_.reset();
    }
    Db& db_;
    std::string table_;
    Statement statement_;
    const std::function<void(std::string)>& damaged_;
    const Incarnation* life_ = nullptr;
    std::int64_t at_ = 0, end_ = 0, step_ = 1;
    std::optional<std::int64_t> lost_from_;
    bool there_ = false;
};

}  // namespace

StoreFailure Ledger::for_each(const std::function<void(const RequestAccount&)>& row,
                              const std::function<void(std::string)>& damaged) {
    std::vector<Incarnation> all;
    if (auto f = incarnations(all))
        return f;
    std::sort(all.begin(), all.end(), [](const Incarnation& a, const Incarnation& b) {
        return a.name < b.name;
    });
    Cursor requests(db_, "requests", "row", damaged), attempts(db_, "attempts", "request", damaged);
    RequestAccount w;
    for (const Incarnation& life : all) {
        w.incarnation = &life;
        const auto place = [&](std::int64_t key) {
            return life.name + "." + std::to_string(key & 0xffffffff);
        };
        const auto orphan = [&] {
            damaged("attempts: one of " + place(attempts.key()) + ", whose request is not there");
        };
        attempts.start(life);
        for (requests.start(life); requests.there(); requests.next()) {
            const std::int64_t key = requests.key();
            w.attempts.clear();
            const bool sound = read_request(requests.row(), w.request);
            for (; attempts.there() && attempts.key() <= key; attempts.next()) {
                AttemptRow a;
                if (attempts.key() < key)
                    orphan();
                else if (read_attempt(attempts.row(), a))
                    w.attempts.push_back(std::move(a));
                else
                    damaged("attempts: a row of " + place(key) + " does not match its checksum");
            }
            if (sound)
                row(w);
            else
                damaged("requests: the row of " + place(key) + " does not match its checksum");
        }
        for (; attempts.there(); attempts.next())
            orphan();
    }
    return {};
}

StoreFailure Ledger::for_each_keyed(const std::function<void(const Incarnation&, const RequestRow&)>& row) {
    std::vector<Incarnation> all;
    if (auto f = incarnations(all))
        return f;
    std::map<std::int64_t, const Incarnation*> by_row;
    for (const Incarnation& l : all)
        by_row[l.row] = &l;
    auto s = db_.prepare("SELECT * FROM requests WHERE key_window>0");
    RequestRow r;
    while (s.step())
        if (const auto life = by_row.find(s.number(0) >> kLifeShift);
            read_request(s, r) && life != by_row.end())
            row(*life->second, r);
    // A damaged page is told by each(), which gets past it.
    return s.failure().error == StoreError::corrupt ? StoreFailure{} : s.failure();
}

// ---- The lock

StoreFailure FileLock::take(const std::string& file) {
    release();
    const std::string name = file + ".lock";
    held_ = ::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (held_ < 0)
        return {errno == EROFS ? StoreError::read_only : StoreError::no_access,
                name + ": " + std::strerror(errno)};
    if (::flock(held_, LOCK_EX | LOCK_NB) == 0)
        return {};
    release();
    return {StoreError::locked,
            file + ": another process keeps this ledger; give each front a file of its own"};
}

void FileLock::release() {
    if (held_ >= 0)
        ::close(held_);
    held_ = -1;
}

}  // namespace gatetiller::store
