#include "store/accounting_store.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

#include "base/text.hpp"
#include "statement/completed.hpp"

namespace gatetiller::store {
namespace {

using decide::AttemptState;
using decide::LoggedQuery;
using decide::RequestState;

constexpr int kRowsAtOnce = 20'000;  // of a transaction

// Commits every so many rows, so that a large journal needs no large log beside the file.
class Portions {
public:
    explicit Portions(Db& db) : db_(db) {
        failure_ = db_.exec("BEGIN IMMEDIATE");
    }
    ~Portions() {
        if (!failure_ && open_)
            (void)db_.exec("ROLLBACK");
    }
    StoreFailure one_more() {
        if (++rows_ % kRowsAtOnce != 0)
            return failure_;
        if (!(failure_ = db_.exec("COMMIT")))
            failure_ = db_.exec("BEGIN IMMEDIATE");
        return failure_;
    }
    StoreFailure end() {
        open_ = false;
        return failure_ ? failure_ : db_.exec("COMMIT");
    }
    const StoreFailure& failure() const {
        return failure_;
    }

private:
    Db& db_;
    StoreFailure failure_;
    bool open_ = true;
    std::int64_t rows_ = 0;
};

LoggedQuery logged_of(const statement::Completed& c) {
    LoggedQuery q;
    std::vector<std::string> tags;
    for (const auto& tag : c.tags) {
        if (auto name = decide::attempt_of_tag(tag))
            q.name = std::move(name);
        else
            tags.push_back(tag);
    }
    q.engine = c.server, q.id = c.id, q.user = c.user, q.source = c.source;
    q.tags = decide::tags_without(std::move(tags), "");
    q.error = c.error_name;
    q.created = c.created, q.ended = c.ended, q.work = c.cpu;
    q.peak_bytes = c.peak_memory_bytes, q.spilled_bytes = c.spilled_bytes, q.row_bytes = c.output_bytes;
    return q;
}

// Goes through the journals' queries in the order of their names.
class Queries {
public:
    explicit Queries(Db& db)
        : statement_(db.prepare("SELECT life,request,attempt,engine,id,user,source,tags,created,ended,work,"
                                "peak_bytes,spilled_bytes,row_bytes,error FROM events "
                                "ORDER BY life,request,attempt,engine,id")) {
        next();
    }
    bool more() const {
        return more_;
    }
    const LoggedQuery& now() const {
        return now_;
    }
    void next() {
        more_ = statement_.step();
        if (!more_)
            return;
        Statement& s = statement_;
        now_ = {};
        if (auto life = s.text(0); !life.empty())
            now_.name = {std::move(life), static_cast<std::uint32_t>(s.number(1)),
                         static_cast<std::uint32_t>(s.number(2))};
        now_.engine = s.text(3), now_.id = s.text(4), now_.user = s.text(5), now_.source = s.text(6);
        now_.tags = s.text(7), now_.created = s.number(8), now_.ended = s.number(9), now_.work = s.number(10);
        now_.peak_bytes = s.number(11), now_.spilled_bytes = s.number(12), now_.row_bytes = s.number(13);
        now_.error = s.text(14);
    }
    const StoreFailure& failure() const {
        return statement_.failure();
    }

private:
    Statement statement_;
    LoggedQuery now_;
    bool more_ = false;
};

}  // namespace

StoreFailure AccountingStore::open(const std::string& file, bool read_only) {
    if (auto f = ledger_.open(file, {"", read_only}))
        return f;
    // AccountingStore can be collected again, so a loss of power may cost the last portions.
    return read_only ? StoreFailure{}
                     : ledger_.db().exec("PRAGMA synchronous=NORMAL; PRAGMA cache_size=-64000");
}

Result<CollectResult> AccountingStore::collect_ledger(const std::string& file) {
    Ledger from;
    if (auto f = from.open(file, {"", true}))
        return Error{f.text};
    // One view of the ledger for all that follows, while its front goes on writing.
    if (auto f = from.db().exec("BEGIN"))
        return Error{f.text};
    CollectResult c;
    std::vector<Incarnation> lives;
    if (auto f = from.incarnations(lives))
        return Error{f.text};
    Db& db = ledger_.db();
    Portions portions(db);
    if (portions.failure())
        return Error{portions.failure().text};
    std::map<std::string, std::int64_t> rows;
    std::map<std::int64_t, std::string> names;
    for (const Incarnation& l : lives) {
        if (auto f = ledger_.adopt(l, rows[l.name]))
            return Error{f.text};
        names[l.row] = l.name;
    }
    auto state_of = db.prepare("SELECT state FROM requests WHERE row=?");
    auto attempt_state = db.prepare("SELECT state FROM attempts WHERE request=? AND number=?");
    StoreFailure failed;
    const auto take = [&](const RequestAccount& w) {
        if (failed)
            return;
        const std::int64_t life = rows.at(w.incarnation->name), row = life << 32 | w.request.number;
        const bool there = state_of.bind(0, row).step();
        const auto before = there ? static_cast<RequestState>(state_of.number(0)) : RequestState::open;
        state_of.reset();
        if (there)
            ++c.known;
        if (!there || decide::further(w.request.state, before)) {
            if ((failed = ledger_.put(life, w.request)))
                return;
            ++c.requests;
        }
        for (const AttemptRow& a : w.attempts) {
            const bool known = attempt_state.bind(0, row).bind(1, a.number).step();
            const auto old =
                known ? static_cast<AttemptState>(attempt_state.number(0)) : AttemptState::in_flight;
            attempt_state.reset();
            if (known && !decide::further(a.state, old))
                continue;
            if ((failed = ledger_.put(life, a)))
                return;
            ++c.attempts;
        }
        failed = portions.one_more();
    };
    if (auto f = from.for_each(take, [&](std::string text) {
            c.problems.push_back(file + ": " + std::move(text));
        }))
        return Error{f.text};
    if (failed)
        return Error{failed.text};
    // Gaps of its own; and where rows could not be read, the whole of its lives is not sure.
    auto put_gap = db.prepare(
        "INSERT OR REPLACE INTO gaps(life,cause,since,until,requests,updates) VALUES(?,?,?,?,?,?)");
    auto old_gap = db.prepare("DELETE FROM gaps WHERE cause=0 AND since=?");
    auto gaps = from.db().prepare("SELECT life,cause,since,until,requests,updates FROM gaps");
    while (gaps.step()) {
        const auto name = names.find(gaps.number(0));
        if (gaps.number(1) == static_cast<int>(StoreError::none)) {  // removed by age: the same gap, grown
            old_gap.bind(0, gaps.number(2));
            if (auto f = old_gap.run())
                return Error{f.text};
        }
        put_gap.bind(0, name == names.end() ? 0 : rows[name->second]);
        for (int i = 1; i < 6; ++i)
            put_gap.bind(i, gaps.number(i));
        if (auto f = put_gap.run())
            return Error{f.text};
    }
    if (!c.problems.empty())
        for (const Incarnation& l : lives) {
            put_gap.bind(0, rows[l.name]).bind(1, static_cast<int>(StoreError::corrupt));
            put_gap.bind(2, l.began).bind(3, l.last).bind(4, -1).bind(5, -1);
            if (auto f = put_gap.run())
                return Error{f.text};
        }
    auto steps = from.db().prepare("SELECT life,at,by FROM clock_steps");
    auto put_step = db.prepare("INSERT OR IGNORE INTO clock_steps VALUES(?,?,?)");
    while (steps.step()) {
        put_step.bind(0, rows[names[steps.number(0)]]).bind(1, steps.number(1)).bind(2, steps.number(2));
        if (auto f = put_step.run())
            return Error{f.text};
    }
    if (auto f = portions.end())
        return Error{f.text};
    return c;
}

StoreFailure AccountingStore::put_event(Statement& put, const LoggedQuery& q, std::int64_t& fresh) {
    const auto name = q.name.value_or(decide::AttemptTag{});
    put.bind(0, name.life).bind(1, name.request).bind(2, name.attempt).bind(3, q.engine).bind(4, q.id);
    put.bind(5, q.user).bind(6, q.source).bind(7, q.tags).bind(8, q.created).bind(9, q.ended);
    put.bind(10, q.work).bind(11, q.peak_bytes).bind(12, q.spilled_bytes).bind(13, q.row_bytes);
    put.bind(14, q.error);
    auto f = put.run();
    fresh = f ? 0 : ledger_.db().changed();
    return f;
}

Result<CollectResult> AccountingStore::collect_journal(const std::string& name, std::istream& lines) {
    CollectResult c;
    Db& db = ledger_.db();
    Portions portions(db);
    if (portions.failure())
        return Error{portions.failure().text};
    auto put = db.prepare("INSERT OR IGNORE INTO events VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)");
    if (put.failure())
        return Error{put.failure().text};
    std::string line;
    for (std::int64_t n = 1; std::getline(lines, line); ++n) {
        if (lines.eof())
            break;  // its end is missing: the engine was killed in the middle of it, or is at it
        if (trimmed(line).empty())
            continue;
        const auto event = statement::read_completed(line);
        if (!event) {
            c.problems.push_back(name + ":" + std::to_string(n) +
                                 ": not a query-completed event: " + event.error());
            continue;
        }
        std::int64_t fresh = 0;
        if (auto f = put_event(put, logged_of(*event), fresh))
            return Error{f.text};
        (fresh > 0 ? c.events : c.events_known) += 1;
        if (auto f = portions.one_more())
            return Error{f.text};
    }
    if (auto f = portions.end())
        return Error{f.text};
    return c;
}

StoreFailure AccountingStore::incarnations(std::map<std::string, decide::IncarnationRecord>& to) {
    std::vector<Incarnation> all;
    if (auto f = ledger_.incarnations(all))
        return f;
    std::map<std::int64_t, decide::IncarnationRecord*> by_row;
    for (const Incarnation& l : all)
        by_row[l.row] = &to[l.name];
    auto gaps = ledger_.db().prepare("SELECT life,cause,since,until,requests,updates FROM gaps");
    while (gaps.step()) {
        const LedgerGap g{static_cast<StoreError>(gaps.number(1)), gaps.number(2), gaps.number(3),
                          gaps.number(4), gaps.number(5)};
        if (const auto life = by_row.find(gaps.number(0)); life != by_row.end())
            life->second->gaps.push_back(g);
        else
            for (auto& [row, record] : by_row)
                record->gaps.push_back(g);  // of the whole file: let go by age
    }
    if (gaps.failure())
        return gaps.failure();
    // A life without an end, and with no later one that marked it: running still, or killed for good. What
    // came after its last write is not here.
    for (const Incarnation& l : all) {
        auto& gaps_of = by_row[l.row]->gaps;
        const bool marked = std::any_of(gaps_of.begin(), gaps_of.end(), [](const LedgerGap& g) {
            return g.cause == StoreError::killed;
        });
        if (l.ended == 0 && !marked)
            gaps_of.push_back({StoreError::killed, l.last, std::numeric_limits<Micros>::max() / 2, -1, -1});
    }
    auto steps = ledger_.db().prepare("SELECT life,by FROM clock_steps");
    while (steps.step())
        if (const auto life = by_row.find(steps.number(0)); life != by_row.end())
            life->second->clock_slack += std::abs(steps.number(1));
    return steps.failure();
}

StoreFailure AccountingStore::for_each(const std::function<void(const AccountEntry&)>& entry,
                                       const std::function<void(std::string)>& damaged) {
    // Both sides are walked in the order of (life, number), once. Lives are walked in the order of their
    // names, which is that of the queries' index.
    std::vector<Incarnation> lives;
    if (auto f = ledger_.incarnations(lives))
        return f;
    Queries queries(ledger_.db());
    const auto alone = [&] {
        AccountEntry e;
        e.logged.push_back({queries.now()});
        entry(e);
        queries.next();
    };
    // Untagged queries stand first in the index.
    while (queries.more() && !queries.now().name)
        alone();
    AccountEntry e;
    const auto take = [&](const RequestAccount& w) {
        const auto before = [&](const decide::AttemptTag& n) {
            return std::tie(n.life, n.request) < std::tie(w.incarnation->name, w.request.number);
        };
        while (queries.more() && before(*queries.now().name))
            alone();
        e.account = &w;
        e.logged.assign(w.attempts.size(), {});
        e.unmatched.clear();
        for (; queries.more() && queries.now().name->life == w.incarnation->name &&
               queries.now().name->request == w.request.number;
             queries.next()) {
            const auto of = std::find_if(w.attempts.begin(), w.attempts.end(), [&](const AttemptRow& a) {
                return a.number == queries.now().name->attempt;
            });
            if (of == w.attempts.end())
                e.unmatched.push_back(queries.now());
            else
                e.logged[static_cast<std::size_t>(of - w.attempts.begin())].push_back(queries.now());
        }
        entry(e);
    };
    if (auto f = ledger_.for_each(take, damaged))
        return f;
    while (queries.more())
        alone();
    return queries.failure();
}

}  // namespace gatetiller::store
