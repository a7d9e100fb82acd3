// The ledger's record of one request: its final state, the cost of each attempt, and the reason why an
// attempt's work was wasted. Plain rows, and pure functions over them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

// The state of a request. Copies of a ledger may have different states of one request; supersedes() decides
// which of them is kept.
enum class RequestState : std::uint8_t {
    // Not finished.
    open,
    // The front was killed while the request was open; the outcome is unknown.
    interrupted,
    // An engine returned rows or an error of the statement itself.
    served,
    // Rejected by the front; a retry is safe.
    shed,
    // Failed by the front; it may have been executed.
    failed,
    // The engine failed after the first rows were sent to the client.
    truncated,
    // Cancelled by the client.
    cancelled,
    // The client stopped polling.
    abandoned,
};
// Number of values of RequestState.
constexpr int kRequestStates = 8;
// The state's name in reports.
const char* name_of(RequestState state);

// The state of an attempt.
enum class AttemptState : std::uint8_t {
    // No result was received yet.
    in_flight,
    // The front was killed while the attempt was in flight.
    interrupted,
    // The engine's last document arrived and was the client's response.
    answered,
    // The engine returned an error of its own, which was not the client's response.
    error,
    // The engine did not accept it, or removed it from its queue before it ran.
    rejected,
    // No connection was established: the engine never received it.
    unreachable,
    // The connection or the response was lost: it may have been executed.
    connection_lost,
    // No response arrived in time: it may have been executed.
    timed_out,
    // Cancelled by the front, as the client had disconnected or another attempt was to be made.
    cancelled,
    // Abandoned before anything was sent.
    not_sent,
};
// Number of values of AttemptState.
constexpr int kAttemptStates = 10;
// The state's name in reports.
const char* name_of(AttemptState state);

// The origin of a request. Many requests have the same one, so that rows share it.
struct Requester {
    // `tags`: see join_tags_without_key().
    std::string user, source, tags, cls, tenant;
    friend bool operator==(const Requester&, const Requester&) = default;
};

// A client's tags, sorted and joined with commas. The tag that ends with "=`key`" is omitted, as the key
// differs for every request, and so are attempt tags.
std::string join_tags_without_key(std::vector<std::string> tags, const std::string& key);

// One request. It is identified by the incarnation of the front that received it and by its number in that
// incarnation.
struct RequestRow {
    // From 1, in the order of arrival.
    std::uint32_t number = 0;
    std::shared_ptr<const Requester> requester;
    // `id`: of the statement; `key`: the client's idempotency key, or empty.
    std::string id, key;
    // Microseconds for which repeats of the key are not executed again; 0: the class has no keys.
    Micros key_window = 0;
    // Wall clock, microseconds since 1970.
    Micros received_at = 0;
    RequestState state = RequestState::open;
    // Served with an error of the statement itself.
    bool error = false;
    // Number of attempts.
    std::uint32_t attempts = 0;
    // Microseconds from the arrival until the final response or the client's disconnecting, by the monotonic
    // clock.
    Micros ended_after = 0;
    // Microseconds from the arrival until the client had received its final document; 0: not yet.
    Micros closed_after = 0;
};

// One attempt of a request.
struct AttemptRow {
    // The request's number, and the attempt's within the request.
    std::uint32_t request = 0, number = 0;
    // `kind`: of the engine; `engine_id`: the engine's id of the query, empty where it is not known.
    std::string engine, kind, engine_id;
    AttemptState state = AttemptState::in_flight;
    // Microseconds from the request's arrival.
    Micros sent_after = 0, ended_after = 0;
    // The memory granted to the attempt; 0: the engine's default.
    std::int64_t grant_bytes = 0;
    // Statistics from the engine's last document that arrived. `work`: core time in microseconds.
    Micros work = 0;
    std::int64_t peak_bytes = 0, spilled_bytes = 0, row_bytes = 0;
    // The engine's last document arrived: the statistics are final.
    bool is_final = false;
};

// Whether `a` is more final than `b`, a state of the same request or attempt: an interrupted state supersedes
// an open one, and any final state supersedes both.
bool supersedes(RequestState a, RequestState b);
bool supersedes(AttemptState a, AttemptState b);

// The facts about an attempt's end from which its state is derived.
struct AttemptEndRecord {
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    // The engine's document was the client's response.
    bool for_client = false;
    // The attempt ended with a document of the engine.
    bool ended_by_document = false;
    // False: no connection to the engine was established.
    bool connected = true;
};
AttemptState state_of(const AttemptEndRecord& facts);

// Why the work of an attempt was wasted.
enum class WastedWork : std::uint8_t {
    // It was not: its result served the client.
    none,
    // The engine failed it.
    failed,
    // Its response was lost.
    lost,
    // It did not finish in time.
    timed_out,
    // The front cancelled it.
    cancelled,
    // The client disconnected while it ran.
    client_disconnected,
    // It was answered, and the client never fetched the result.
    unfetched,
    // It failed after the first rows were sent to the client.
    truncated,
    // Its front was killed.
    interrupted,
    // No front's ledger contains it.
    unrecorded,
};
// Number of values of WastedWork.
constexpr int kWastedWorkKinds = 10;
// The reason's name in reports.
const char* name_of(WastedWork waste);
WastedWork classify_waste(const RequestRow& request, const AttemptRow& attempt);

// Identifies an attempt in the tag that engines write into their journals.
struct AttemptTag {
    // Of the front: 16 hexadecimal digits.
    std::string incarnation;
    std::uint32_t request = 0, attempt = 0;
    friend bool operator==(const AttemptTag&, const AttemptTag&) = default;
};
constexpr const char* kAttemptTagPrefix = "gatetiller-attempt=";
// "gatetiller-attempt=INCARNATION.REQUEST.ATTEMPT".
std::string format_attempt_tag(const AttemptTag& name);
// Nothing where `tag` is not an attempt tag or is malformed.
std::optional<AttemptTag> parse_attempt_tag(std::string_view tag);

}  // namespace gatetiller::decide
