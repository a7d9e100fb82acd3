// The account of one request, as the ledger holds it: what became of it, what each attempt cost, and which of
// that work served its client. Plain rows, and pure functions over them.
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

// What became of a request. The order is that of knowledge: of two rows of the same request the one further
// down is the later one (see later_of).
enum class RequestState : std::uint8_t {
    open,         // still in hand
    interrupted,  // its front died with it in hand; what became of it then, its front never knew
    served,       // rows, or an error of the statement's own, from an engine
    shed,         // by the front; asking again was harmless
    failed,       // by the front; it may have run
    truncated,    // rows had begun when the engine failed
    cancelled,    // by the client
    abandoned,    // the client stopped asking
};
constexpr int kRequestStates = 8;
const char* name_of(RequestState state);

enum class AttemptState : std::uint8_t {
    in_flight,
    interrupted,      // its front died while it was out
    answered,         // the engine's last document came and was the client's answer
    error,            // the engine's own error; not the client's answer
    rejected,         // the engine took it not, or threw it out of its queue before it ran
    unreachable,      // no connection: it never arrived
    connection_lost,  // the connection or the answer was lost: it may have run
    timed_out,        // no answer in time: it may have run
    cancelled,        // by the front, as the client had left or another attempt was to be made
    not_sent,         // given up before anything went out
};
constexpr int kAttemptStates = 10;
const char* name_of(AttemptState state);

// Whose request it is: the same for many, so rows share it.
struct Requester {
    std::string user, source, tags, cls, tenant;  // tags: sorted, with commas, without keys
    friend bool operator==(const Requester&, const Requester&) = default;
};

// A client's tags as one text, sorted; the one that carries its key is left out, as each request has its own.
std::string join_tags_without_key(std::vector<std::string> tags, const std::string& key);

// A request is known everywhere by the life of the front that took it and its number in that life.
struct RequestRow {
    std::uint32_t number = 0;  // 1 and up, in the order of taking
    std::shared_ptr<const Requester> requester;
    std::string id, key;     // the statement's id; the client's key, empty: none
    Micros key_window = 0;   // so long its repeats are dropped; 0: not by key
    Micros received_at = 0;  // wall clock, since 1970
    RequestState state = RequestState::open;
    bool error = false;  // served with an error of the statement's own
    std::uint32_t attempts = 0;
    Micros ended_after = 0;   // from taken to the final answer or the leaving, by the monotonic clock
    Micros closed_after = 0;  // to where the client had its final document; 0: not yet
};

struct AttemptRow {
    std::uint32_t request = 0, number = 0;
    std::string engine, kind, engine_id;  // engine_id: the engine's name for it; empty: never learnt
    AttemptState state = AttemptState::in_flight;
    Micros sent_after = 0, ended_after = 0;  // from the request's taking
    std::int64_t grant_bytes = 0;            // 0: the engine's own choice
    // What the engine had told of it when last it was heard of.
    Micros work = 0;  // of cores
    std::int64_t peak_bytes = 0, spilled_bytes = 0, row_bytes = 0;
    bool is_final = false;  // its last document came: the figures are final
};

bool supersedes(RequestState a, RequestState b);  // a tells more than b, of the same request
bool supersedes(AttemptState a, AttemptState b);

// How an attempt's end is written down.
struct AttemptEndRecord {
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    bool for_client = false;         // its document was the client's answer
    bool ended_by_document = false;  // it ended by a document of the engine
    bool connected = true;           // false: it never got to the engine
};
AttemptState state_of(const AttemptEndRecord& facts);

// Why the work of an attempt served nobody.
enum class WastedWork : std::uint8_t {
    none,                 // it served
    failed,               // the engine failed it
    lost,                 // its answer was lost
    timed_out,            // it came too late
    cancelled,            // for another attempt's sake, or for none
    client_disconnected,  // the client left while it ran
    unfetched,            // it was answered, and the client never came for the answer
    truncated,            // rows had gone out when it broke
    interrupted,          // its front died
    unrecorded,           // no front's ledger has it
};
constexpr int kWastedWorkKinds = 10;
const char* name_of(WastedWork waste);
WastedWork classify_waste(const RequestRow& request, const AttemptRow& attempt);

// What one attempt's name is in the tag that engines write into their journals.
struct AttemptTag {
    std::string incarnation;  // 16 hex digits
    std::uint32_t request = 0, attempt = 0;
    friend bool operator==(const AttemptTag&, const AttemptTag&) = default;
};
constexpr const char* kAttemptTagPrefix = "gatetiller-attempt=";
std::string format_attempt_tag(const AttemptTag& name);
std::optional<AttemptTag> parse_attempt_tag(std::string_view tag);

}  // namespace gatetiller::decide
