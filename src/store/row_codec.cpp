#include "store/row_codec.hpp"

#include <initializer_list>
#include <string_view>
#include <tuple>

#include "base/text.hpp"

namespace gatetiller::store {
namespace {

using decide::AttemptState;
using decide::RequestState;

// Stored with each row: changing the algorithm makes all existing rows look damaged.
std::int64_t checksum(std::initializer_list<std::int64_t> numbers,
                      std::initializer_list<std::string_view> texts) {
    static constexpr std::uint64_t kSeed = 0x9e3779b97f4a7c15ULL;
    static constexpr std::uint64_t kMultiplier = 0xff51afd7ed558ccdULL;
    static constexpr int kShift = 29;
    std::uint64_t sum = kSeed;
    for (const std::int64_t number : numbers) {
        sum = (sum ^ static_cast<std::uint64_t>(number)) * kMultiplier;
        sum ^= sum >> kShift;
    }
    for (const auto text : texts)
        sum = fnv1a_hash(text, sum);
    return static_cast<std::int64_t>(sum);
}

std::int64_t checksum(std::int64_t key, std::int64_t requester, const RequestRow& row) {
    return checksum({key, requester, row.key_window, row.received_at, static_cast<int>(row.state), row.error,
                     row.attempts, row.ended_after, row.closed_after},
                    {row.id, row.key});
}

std::int64_t checksum(std::int64_t request, std::int64_t endpoint, const AttemptRow& row) {
    return checksum(
        {request, row.number, endpoint, static_cast<int>(row.state), row.sent_after, row.ended_after,
         row.grant_bytes, row.work, row.peak_bytes, row.spilled_bytes, row.row_bytes, row.is_final},
        {row.engine_id});
}

template <typename State>
State state_from(std::int64_t number, int count) {
    return number >= 0 && number < count ? static_cast<State>(number) : State{};
}

}  // namespace

StoreFailure RowCodec::prepare() {
    write_request_ = db_.prepare("INSERT OR REPLACE INTO requests VALUES(?,?,?,?,?,?,?,?,?,?,?,?)");
    if (write_request_.failure())
        return write_request_.failure();
    write_attempt_ = db_.prepare("INSERT OR REPLACE INTO attempts VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?,?)");
    if (write_attempt_.failure())
        return write_attempt_.failure();
    return name_cache_.prepare();
}

void RowCodec::close() {
    write_request_ = {};
    write_attempt_ = {};
    name_cache_.close();
}

StoreFailure RowCodec::write(std::int64_t incarnation_row, const RequestRow& request) {
    StoreFailure failure;
    const std::int64_t key = request_key(incarnation_row, request.number);
    const std::int64_t requester = name_cache_.requester_row(*request.requester, failure);
    if (failure)
        return failure;
    write_request_.bind(0, key)
        .bind(1, requester)
        .bind(2, request.id)
        .bind(3, request.key)
        .bind(4, request.key_window)
        .bind(5, request.received_at)
        .bind(6, static_cast<int>(request.state))
        .bind(7, static_cast<int>(request.error))
        .bind(8, request.attempts)
        .bind(9, request.ended_after)
        .bind(10, request.closed_after)
        .bind(11, checksum(key, requester, request));
    return write_request_.run();
}

StoreFailure RowCodec::write(std::int64_t incarnation_row, const AttemptRow& attempt) {
    StoreFailure failure;
    const std::int64_t request = request_key(incarnation_row, attempt.request);
    const std::int64_t endpoint = name_cache_.endpoint_row(attempt.engine, attempt.kind, failure);
    if (failure)
        return failure;
    write_attempt_.bind(0, request)
        .bind(1, attempt.number)
        .bind(2, endpoint)
        .bind(3, attempt.engine_id)
        .bind(4, static_cast<int>(attempt.state))
        .bind(5, attempt.sent_after)
        .bind(6, attempt.ended_after)
        .bind(7, attempt.grant_bytes)
        .bind(8, attempt.work)
        .bind(9, attempt.peak_bytes)
        .bind(10, attempt.spilled_bytes)
        .bind(11, attempt.row_bytes)
        .bind(12, static_cast<int>(attempt.is_final))
        .bind(13, checksum(request, endpoint, attempt));
    return write_attempt_.run();
}

bool RowCodec::read(Statement& statement, RequestRow& request) {
    const std::int64_t key = statement.column_int64(0);
    const std::int64_t requester = statement.column_int64(1);
    request.number = request_number_of(key);
    request.requester = name_cache_.requester_at(requester);
    request.id = statement.column_text(2);
    request.key = statement.column_text(3);
    request.key_window = statement.column_int64(4);
    request.received_at = statement.column_int64(5);
    request.state = state_from<RequestState>(statement.column_int64(6), decide::kRequestStates);
    request.error = statement.column_int64(7) != 0;
    request.attempts = static_cast<std::uint32_t>(statement.column_int64(8));
    request.ended_after = statement.column_int64(9);
    request.closed_after = statement.column_int64(10);
    return statement.column_int64(11) == checksum(key, requester, request);
}

bool RowCodec::read(Statement& statement, AttemptRow& attempt) {
    const std::int64_t request = statement.column_int64(0);
    const std::int64_t endpoint = statement.column_int64(2);
    attempt.request = request_number_of(request);
    attempt.number = static_cast<std::uint32_t>(statement.column_int64(1));
    std::tie(attempt.engine, attempt.kind) = name_cache_.endpoint_at(endpoint);
    attempt.engine_id = statement.column_text(3);
    attempt.state = state_from<AttemptState>(statement.column_int64(4), decide::kAttemptStates);
    attempt.sent_after = statement.column_int64(5);
    attempt.ended_after = statement.column_int64(6);
    attempt.grant_bytes = statement.column_int64(7);
    attempt.work = statement.column_int64(8);
    attempt.peak_bytes = statement.column_int64(9);
    attempt.spilled_bytes = statement.column_int64(10);
    attempt.row_bytes = statement.column_int64(11);
    attempt.is_final = statement.column_int64(12) != 0;
    return statement.column_int64(13) == checksum(request, endpoint, attempt);
}

}  // namespace gatetiller::store
