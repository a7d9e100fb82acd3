#include "store/accounting_store.hpp"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <tuple>

#include "base/text.hpp"
#include "statement/completed.hpp"

namespace gatetiller::store {
namespace {

using decide::LoggedQuery;

LoggedQuery logged_query(const statement::Completed& event) {
    LoggedQuery query;
    std::vector<std::string> tags;
    for (const auto& tag : event.tags) {
        if (auto attempt_tag = decide::parse_attempt_tag(tag))
            query.attempt_tag = std::move(attempt_tag);
        else
            tags.push_back(tag);
    }
    query.engine = event.server;
    query.id = event.id;
    query.user = event.user;
    query.source = event.source;
    query.tags = decide::join_tags_without_key(std::move(tags), "");
    query.error = event.error_name;
    query.created = event.created;
    query.ended = event.ended;
    query.work = event.cpu;
    query.peak_bytes = event.peak_memory_bytes;
    query.spilled_bytes = event.spilled_bytes;
    query.row_bytes = event.output_bytes;
    return query;
}

// Merge join of requests and events: both are ordered by incarnation and request number, so each is read
// once.
class EntryJoin {
public:
    EntryJoin(EventCursor& events, const std::function<void(const AccountEntry&)>& visit)
        : events_(events), visit_(visit) {}

    void visit_untagged_events() {
        while (events_.valid() && !events_.event().attempt_tag)
            visit_event();
    }
    void visit_request(const RequestAccount& account) {
        while (events_.valid() && id_of_event() < id_of(account))
            visit_event();
        entry_.account = &account;
        entry_.events_by_attempt.assign(account.attempts.size(), {});
        entry_.unmatched_events.clear();
        for (; events_.valid() && id_of_event() == id_of(account); events_.next())
            add_event(account);
        visit_(entry_);
    }
    void visit_remaining_events() {
        while (events_.valid())
            visit_event();
    }

private:
    using RequestId = std::tuple<const std::string&, std::uint32_t>;

    static RequestId id_of(const RequestAccount& account) {
        return {account.incarnation->name, account.request.number};
    }
    RequestId id_of_event() const {
        return {events_.event().attempt_tag->incarnation, events_.event().attempt_tag->request};
    }
    void visit_event() {
        AccountEntry entry;
        entry.events_by_attempt.push_back({events_.event()});
        visit_(entry);
        events_.next();
    }
    void add_event(const RequestAccount& account) {
        const LoggedQuery& event = events_.event();
        const auto attempt =
            std::find_if(account.attempts.begin(), account.attempts.end(), [&](const AttemptRow& row) {
                return row.number == event.attempt_tag->attempt;
            });
        if (attempt == account.attempts.end())
            entry_.unmatched_events.push_back(event);
        else
            entry_.events_by_attempt[static_cast<std::size_t>(attempt - account.attempts.begin())].push_back(
                event);
    }

    EventCursor& events_;
    const std::function<void(const AccountEntry&)>& visit_;
    AccountEntry entry_;
};

// An incarnation that was neither ended nor marked as killed by a later one is still running, or was killed
// and not restarted: requests after its last commit are missing.
void add_open_gap(const Incarnation& incarnation, decide::IncarnationRecord& record) {
    const bool marked = std::any_of(record.gaps.begin(), record.gaps.end(), [](const LedgerGap& gap) {
        return gap.cause == StoreError::killed;
    });
    static constexpr Micros kNoEnd = std::numeric_limits<Micros>::max() / 2;
    if (incarnation.ended_at == 0 && !marked)
        record.gaps.push_back({StoreError::killed, incarnation.last_commit_at, kNoEnd, -1, -1});
}

}  // namespace

StoreFailure AccountingStore::open(const std::string& file, bool read_only) {
    if (auto failure = ledger_.open(file, {"", read_only}))
        return failure;
    if (read_only)
        return {};
    // The data can be collected again, so losing the last chunks in a power failure is acceptable.
    return ledger_.db().exec("PRAGMA synchronous=NORMAL; PRAGMA cache_size=-64000");
}

Result<CollectResult> AccountingStore::collect_ledger(const std::string& file) {
    return LedgerCollector(ledger_, file).collect();
}

StoreFailure AccountingStore::insert_event(Statement& insert, const LoggedQuery& event, bool& inserted) {
    const auto tag = event.attempt_tag.value_or(decide::AttemptTag{});
    insert.bind(0, tag.incarnation).bind(1, tag.request).bind(2, tag.attempt);
    insert.bind(3, event.engine).bind(4, event.id).bind(5, event.user).bind(6, event.source);
    insert.bind(7, event.tags).bind(8, event.created).bind(9, event.ended).bind(10, event.work);
    insert.bind(11, event.peak_bytes).bind(12, event.spilled_bytes).bind(13, event.row_bytes);
    insert.bind(14, event.error);
    auto failure = insert.run();
    inserted = !failure && ledger_.db().changed_rows() > 0;
    return failure;
}

Result<CollectResult> AccountingStore::collect_journal(const std::string& name, std::istream& lines) {
    CollectResult result;
    ChunkedTransaction transaction(ledger_.db());
    if (transaction.failure())
        return Error{transaction.failure().text};
    auto insert = ledger_.db().prepare("INSERT OR IGNORE INTO events VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)");
    if (insert.failure())
        return Error{insert.failure().text};
    std::string line;
    for (std::int64_t number = 1; std::getline(lines, line); ++number) {
        if (lines.eof())
            break;  // incomplete last line
        if (trimmed(line).empty())
            continue;
        const auto event = statement::read_completed(line);
        if (!event) {
            result.problems.push_back(name + ":" + std::to_string(number) +
                                      ": not a query-completed event: " + event.error());
            continue;
        }
        bool inserted = false;
        if (auto failure = insert_event(insert, logged_query(*event), inserted))
            return Error{failure.text};
        (inserted ? result.events : result.known_events) += 1;
        if (auto failure = transaction.on_row_written())
            return Error{failure.text};
    }
    if (auto failure = transaction.finish())
        return Error{failure.text};
    return result;
}

StoreFailure AccountingStore::incarnations(
    std::map<std::string, decide::IncarnationRecord>& records_by_name) {
    std::vector<Incarnation> all;
    if (auto failure = ledger_.incarnations(all))
        return failure;
    RecordsByRow records;
    for (const Incarnation& incarnation : all)
        records[incarnation.row] = &records_by_name[incarnation.name];
    if (auto failure = read_gaps(records))
        return failure;
    for (const Incarnation& incarnation : all)
        add_open_gap(incarnation, *records[incarnation.row]);
    return read_clock_slack(records);
}

StoreFailure AccountingStore::read_gaps(const RecordsByRow& records) {
    auto gaps = ledger_.db().prepare("SELECT life,cause,since,until,requests,updates FROM gaps");
    while (gaps.step()) {
        const LedgerGap gap{static_cast<StoreError>(gaps.column_int64(1)), gaps.column_int64(2),
                            gaps.column_int64(3), gaps.column_int64(4), gaps.column_int64(5)};
        if (const auto record = records.find(gaps.column_int64(0)); record != records.end()) {
            record->second->gaps.push_back(gap);
            continue;
        }
        // A gap without an incarnation covers the whole file: rows that were removed by age.
        for (const auto& [row, record] : records)
            record->gaps.push_back(gap);
    }
    return gaps.failure();
}

StoreFailure AccountingStore::read_clock_slack(const RecordsByRow& records) {
    auto steps = ledger_.db().prepare("SELECT life,by FROM clock_steps");
    while (steps.step())
        if (const auto record = records.find(steps.column_int64(0)); record != records.end())
            record->second->clock_slack += std::abs(steps.column_int64(1));
    return steps.failure();
}

StoreFailure AccountingStore::for_each_entry(const std::function<void(const AccountEntry&)>& visit,
                                             const DamageReporter& report_damage) {
    EventCursor events(ledger_.db());
    EntryJoin join(events, visit);
    join.visit_untagged_events();
    const auto visit_request = [&](const RequestAccount& account) {
        join.visit_request(account);
    };
    if (auto failure = ledger_.for_each_request(visit_request, report_damage))
        return failure;
    join.visit_remaining_events();
    return events.failure();
}

}  // namespace gatetiller::store
