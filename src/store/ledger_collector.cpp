#include "store/ledger_collector.hpp"

namespace gatetiller::store {
namespace {

using decide::AttemptState;
using decide::RequestState;

}  // namespace

Result<CollectResult> LedgerCollector::collect() {
    if (auto failure = source_.open(file_, {"", true}))
        return Error{failure.text};
    // One consistent snapshot for all reads, while the front continues to write.
    if (auto failure = source_.db().exec("BEGIN"))
        return Error{failure.text};
    if (auto failure = source_.incarnations(incarnations_))
        return Error{failure.text};
    ChunkedTransaction transaction(target_.db());
    if (transaction.failure())
        return Error{transaction.failure().text};
    if (auto failure = adopt_incarnations())
        return Error{failure.text};
    if (auto failure = collect_accounts(transaction))
        return Error{failure.text};
    if (auto failure = collect_gaps())
        return Error{failure.text};
    if (auto failure = add_damage_gaps())
        return Error{failure.text};
    if (auto failure = collect_clock_steps())
        return Error{failure.text};
    if (auto failure = transaction.finish())
        return Error{failure.text};
    return std::move(result_);
}

StoreFailure LedgerCollector::adopt_incarnations() {
    for (const Incarnation& incarnation : incarnations_)
        if (auto failure = target_.upsert_incarnation(incarnation, target_rows_[incarnation.row]))
            return failure;
    return {};
}

StoreFailure LedgerCollector::collect_accounts(ChunkedTransaction& transaction) {
    find_request_ = target_.db().prepare("SELECT state FROM requests WHERE row=?");
    find_attempt_ = target_.db().prepare("SELECT state FROM attempts WHERE request=? AND number=?");
    StoreFailure failed;
    const auto collect_account = [&](const RequestAccount& account) {
        if (failed)
            return;
        const std::int64_t row = target_rows_.at(account.incarnation->row);
        failed = collect_request(row, account.request);
        for (auto attempt = account.attempts.begin(); !failed && attempt != account.attempts.end(); ++attempt)
            failed = collect_attempt(row, *attempt);
        if (!failed)
            failed = transaction.on_row_written();
    };
    const auto failure = source_.for_each_request(collect_account, [&](std::string text) {
        result_.problems.push_back(file_ + ": " + std::move(text));
    });
    return failure ? failure : failed;
}

StoreFailure LedgerCollector::collect_request(std::int64_t incarnation_row, const RequestRow& request) {
    find_request_.bind(0, request_key(incarnation_row, request.number));
    const bool known = find_request_.step();
    const auto known_state =
        known ? static_cast<RequestState>(find_request_.column_int64(0)) : RequestState::open;
    find_request_.reset();
    if (known)
        ++result_.known_requests;
    if (known && !decide::supersedes(request.state, known_state))
        return {};
    if (auto failure = target_.put(incarnation_row, request))
        return failure;
    ++result_.requests;
    return {};
}

StoreFailure LedgerCollector::collect_attempt(std::int64_t incarnation_row, const AttemptRow& attempt) {
    find_attempt_.bind(0, request_key(incarnation_row, attempt.request)).bind(1, attempt.number);
    const bool known = find_attempt_.step();
    const auto known_state =
        known ? static_cast<AttemptState>(find_attempt_.column_int64(0)) : AttemptState::in_flight;
    find_attempt_.reset();
    if (known && !decide::supersedes(attempt.state, known_state))
        return {};
    if (auto failure = target_.put(incarnation_row, attempt))
        return failure;
    ++result_.attempts;
    return {};
}

StoreFailure LedgerCollector::collect_gaps() {
    static constexpr int kColumns = 6;
    insert_gap_ = target_.db().prepare(
        "INSERT OR REPLACE INTO gaps(life,cause,since,until,requests,updates) VALUES(?,?,?,?,?,?)");
    auto remove_expired = target_.db().prepare("DELETE FROM gaps WHERE cause=0 AND since=?");
    auto gaps = source_.db().prepare("SELECT life,cause,since,until,requests,updates FROM gaps");
    while (gaps.step()) {
        // The gap of requests removed by age replaces the smaller one of an earlier collection.
        if (gaps.column_int64(1) == static_cast<int>(StoreError::none)) {
            remove_expired.bind(0, gaps.column_int64(2));
            if (auto failure = remove_expired.run())
                return failure;
        }
        const auto row = target_rows_.find(gaps.column_int64(0));
        insert_gap_.bind(0, row == target_rows_.end() ? 0 : row->second);
        for (int column = 1; column < kColumns; ++column)
            insert_gap_.bind(column, gaps.column_int64(column));
        if (auto failure = insert_gap_.run())
            return failure;
    }
    return {};
}

// If rows are unreadable, any request of the ledger may be missing.
StoreFailure LedgerCollector::add_damage_gaps() {
    if (result_.problems.empty())
        return {};
    for (const Incarnation& incarnation : incarnations_) {
        insert_gap_.bind(0, target_rows_[incarnation.row]).bind(1, static_cast<int>(StoreError::corrupt));
        insert_gap_.bind(2, incarnation.started_at)
            .bind(3, incarnation.last_commit_at)
            .bind(4, -1)
            .bind(5, -1);
        if (auto failure = insert_gap_.run())
            return failure;
    }
    return {};
}

StoreFailure LedgerCollector::collect_clock_steps() {
    auto steps = source_.db().prepare("SELECT life,at,by FROM clock_steps");
    auto insert_step = target_.db().prepare("INSERT OR IGNORE INTO clock_steps VALUES(?,?,?)");
    while (steps.step()) {
        insert_step.bind(0, target_rows_[steps.column_int64(0)])
            .bind(1, steps.column_int64(1))
            .bind(2, steps.column_int64(2));
        if (auto failure = insert_step.run())
            return failure;
    }
    return {};
}

}  // namespace gatetiller::store
