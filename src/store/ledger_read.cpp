// Read operations of Ledger.
#include <algorithm>
#include <map>

#include "store/ledger.hpp"

namespace gatetiller::store {
namespace {

// "INCARNATION.NUMBER": the request name shown to operators.
std::string request_name(const Incarnation& incarnation, std::int64_t key) {
    return incarnation.name + "." + std::to_string(request_number_of(key));
}

void report_orphan(const Incarnation& incarnation, std::int64_t key, const DamageReporter& report_damage) {
    report_damage("attempts: a row of " + request_name(incarnation, key) + " has no request");
}

StoreError cause_from(std::int64_t number) {
    static constexpr int kCauseCount = static_cast<int>(StoreError::foreign) + 1;
    return number >= 0 && number < kCauseCount ? static_cast<StoreError>(number) : StoreError::none;
}

}  // namespace

StoreFailure Ledger::incarnations(std::vector<Incarnation>& result) {
    auto rows = db_.prepare("SELECT row,name,front,began,last,ended FROM lives ORDER BY row");
    while (rows.step())
        result.push_back({rows.column_int64(0), rows.column_text(1), rows.column_text(2),
                          rows.column_int64(3), rows.column_int64(4), rows.column_int64(5)});
    return rows.failure();
}

StoreFailure Ledger::gaps(std::vector<std::pair<std::string, LedgerGap>>& result) {
    auto rows = db_.prepare(
        "SELECT coalesce(front,''),cause,since,until,requests,updates FROM gaps "
        "LEFT JOIN lives ON lives.row=life ORDER BY since, until, cause, 1");
    while (rows.step()) {
        const LedgerGap gap{cause_from(rows.column_int64(1)), rows.column_int64(2), rows.column_int64(3),
                            rows.column_int64(4), rows.column_int64(5)};
        result.emplace_back(rows.column_text(0), gap);
    }
    return rows.failure();
}

StoreFailure Ledger::clock_steps(std::vector<std::pair<Micros, Micros>>& result) {
    auto rows = db_.prepare("SELECT at,by FROM clock_steps ORDER BY at,by");
    while (rows.step())
        result.emplace_back(rows.column_int64(0), rows.column_int64(1));
    return rows.failure();
}

StoreFailure Ledger::work_samples_since(Micros since, Micros step, std::vector<WorkSample>& samples) {
    const Micros positive_step = std::max<Micros>(1, step);
    // Selects by the time of each row: after clock steps, row keys may not follow the order of time.
    auto rows = db_.prepare(
        "SELECT who, taken/?2, sum(work) FROM requests JOIN attempts ON request=requests.row "
        "WHERE taken>=?1 GROUP BY 1, 2 ORDER BY 2, 1");
    rows.bind(0, since).bind(1, positive_step);
    while (rows.step())
        samples.push_back({codec_.requester_at(rows.column_int64(0)), rows.column_int64(1) * positive_step,
                           rows.column_int64(2)});
    return rows.failure();
}

// Reads the attempts of one request from the cursor. Attempts before them belong to no request and are
// reported.
std::vector<AttemptRow> Ledger::read_attempts(TableCursor& attempts, const Incarnation& incarnation,
                                              std::int64_t request, const DamageReporter& report_damage) {
    std::vector<AttemptRow> found;
    for (; attempts.valid() && attempts.key() <= request; attempts.next()) {
        if (attempts.key() < request) {
            report_orphan(incarnation, attempts.key(), report_damage);
            continue;
        }
        AttemptRow row;
        if (codec_.read(attempts.row(), row))
            found.push_back(std::move(row));
        else
            report_damage("attempts: a row of " + request_name(incarnation, request) +
                          " does not match its checksum");
    }
    return found;
}

StoreFailure Ledger::for_each_request(const std::function<void(const RequestAccount&)>& visit,
                                      const DamageReporter& report_damage) {
    std::vector<Incarnation> by_name;
    if (auto failure = incarnations(by_name))
        return failure;
    std::sort(by_name.begin(), by_name.end(), [](const Incarnation& left, const Incarnation& right) {
        return left.name < right.name;
    });
    TableCursor requests(db_, "requests", "row", report_damage);
    TableCursor attempts(db_, "attempts", "request", report_damage);
    RequestAccount account;
    for (const Incarnation& incarnation : by_name) {
        account.incarnation = &incarnation;
        attempts.start(incarnation);
        for (requests.start(incarnation); requests.valid(); requests.next()) {
            const std::int64_t key = requests.key();
            const bool intact = codec_.read(requests.row(), account.request);
            account.attempts = read_attempts(attempts, incarnation, key, report_damage);
            if (intact)
                visit(account);
            else
                report_damage("requests: the row of " + request_name(incarnation, key) +
                              " does not match its checksum");
        }
        for (; attempts.valid(); attempts.next())
            report_orphan(incarnation, attempts.key(), report_damage);
    }
    return {};
}

StoreFailure Ledger::for_each_request_with_key(
    const std::function<void(const Incarnation&, const RequestRow&)>& visit) {
    std::vector<Incarnation> all;
    if (auto failure = incarnations(all))
        return failure;
    std::map<std::int64_t, const Incarnation*> by_row;
    for (const Incarnation& incarnation : all)
        by_row[incarnation.row] = &incarnation;
    auto rows = db_.prepare("SELECT * FROM requests WHERE key_window>0");
    RequestRow request;
    while (rows.step()) {
        const auto incarnation = by_row.find(incarnation_row_of(rows.column_int64(0)));
        if (codec_.read(rows, request) && incarnation != by_row.end())
            visit(*incarnation->second, request);
    }
    // Damaged pages are reported by for_each_request(), which skips them.
    return rows.failure().error == StoreError::corrupt ? StoreFailure{} : rows.failure();
}

}  // namespace gatetiller::store
