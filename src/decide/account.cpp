#include "decide/account.hpp"

#include <algorithm>

#include "base/text.hpp"

namespace gatetiller::decide {
namespace {

// Rank for supersedes(): an interrupted state may be final in another copy of the ledger.
template <typename State>
int knowledge(State s) {
    return s == State{} ? 0 : s == State::interrupted ? 1 : 2;
}

}  // namespace

const char* name_of(RequestState s) {
    static constexpr const char* kNames[kRequestStates] = {"open",   "interrupted", "served",    "refused",
                                                           "failed", "cut",         "cancelled", "abandoned"};
    return kNames[static_cast<int>(s)];
}

const char* name_of(AttemptState s) {
    static constexpr const char* kNames[kAttemptStates] = {"out",         "interrupted", "answered", "error",
                                                           "turned_away", "unreachable", "lost",     "late",
                                                           "called_off",  "not_sent"};
    return kNames[static_cast<int>(s)];
}

const char* name_of(WastedWork w) {
    static constexpr const char* kNames[kWastedWorkKinds] = {"none",        "failed",    "lost",      "late",
                                                             "called_off",  "left",      "unfetched", "cut",
                                                             "interrupted", "unrecorded"};
    return kNames[static_cast<int>(w)];
}

std::string join_tags_without_key(std::vector<std::string> tags, const std::string& key) {
    std::sort(tags.begin(), tags.end());
    std::string out;
    for (const auto& tag : tags)
        if ((key.empty() || !tag.ends_with("=" + key)) && !tag.starts_with(kAttemptTagPrefix))
            out += (out.empty() ? "" : ",") + tag;
    return out;
}

bool supersedes(RequestState a, RequestState b) {
    return knowledge(a) > knowledge(b);
}
bool supersedes(AttemptState a, AttemptState b) {
    return knowledge(a) > knowledge(b);
}

AttemptState state_of(const AttemptEndRecord& f) {
    if (f.for_client)
        return AttemptState::answered;
    switch (f.outcome) {
        case AttemptOutcome::succeeded:
        case AttemptOutcome::failed:
            return f.ended_by_document ? AttemptState::error : AttemptState::connection_lost;
        case AttemptOutcome::rejected:
            return AttemptState::rejected;
        case AttemptOutcome::connection_refused:
            return AttemptState::unreachable;
        case AttemptOutcome::connection_reset:
            return f.ended_by_document ? AttemptState::error : AttemptState::connection_lost;
        case AttemptOutcome::timed_out:
            return f.connected ? AttemptState::timed_out : AttemptState::unreachable;
        case AttemptOutcome::cancelled:
            return AttemptState::cancelled;
        case AttemptOutcome::not_sent:
            return AttemptState::not_sent;
    }
    return AttemptState::connection_lost;
}

WastedWork classify_waste(const RequestRow& r, const AttemptRow& a) {
    const bool left = r.state == RequestState::cancelled || r.state == RequestState::abandoned;
    switch (a.state) {
        case AttemptState::answered:
            return left ? WastedWork::unfetched : WastedWork::none;
        case AttemptState::error:
            return r.state == RequestState::truncated ? WastedWork::truncated : WastedWork::failed;
        case AttemptState::connection_lost:
            return r.state == RequestState::truncated ? WastedWork::truncated : WastedWork::lost;
        case AttemptState::timed_out:
            return r.state == RequestState::truncated ? WastedWork::truncated : WastedWork::timed_out;
        // The client's disconnecting is the reason where the attempt ended no earlier than the request,
        // whatever cancelled it.
        case AttemptState::cancelled:
            return left && a.ended_after >= r.ended_after ? WastedWork::client_disconnected
                                                          : WastedWork::cancelled;
        case AttemptState::in_flight:
        case AttemptState::interrupted:
            return left ? WastedWork::client_disconnected : WastedWork::interrupted;
        case AttemptState::rejected:
        case AttemptState::unreachable:
        case AttemptState::not_sent:
            return WastedWork::failed;
    }
    return WastedWork::failed;
}

std::string format_attempt_tag(const AttemptTag& n) {
    return kAttemptTagPrefix + n.incarnation + "." + std::to_string(n.request) + "." +
           std::to_string(n.attempt);
}

std::optional<AttemptTag> parse_attempt_tag(std::string_view tag) {
    const std::string_view prefix = kAttemptTagPrefix;
    if (!tag.starts_with(prefix))
        return std::nullopt;
    const auto parts = split(tag.substr(prefix.size()), '.');
    if (parts.size() != 3 || parts[0].size() != 16)
        return std::nullopt;
    const auto request = to_number<std::uint32_t>(parts[1]);
    const auto attempt = to_number<std::uint32_t>(parts[2]);
    if (!request || !attempt)
        return std::nullopt;
    return AttemptTag{std::string(parts[0]), *request, *attempt};
}

}  // namespace gatetiller::decide
