#include "decide/account.hpp"

#include <algorithm>

#include "base/text.hpp"

namespace gatetiller::decide {
namespace {

// A final state stands; an interrupted one may turn out to be final in another copy of the ledger.
template <typename State>
int knowledge(State s) {
    return s == State{} ? 0 : s == State::interrupted ? 1 : 2;
}

}  // namespace

const char* name_of(RequestState s) {
    constexpr const char* kNames[kRequestStates] = {"open",   "interrupted", "served",    "refused",
                                                    "failed", "cut",         "cancelled", "abandoned"};
    return kNames[static_cast<int>(s)];
}

const char* name_of(AttemptState s) {
    constexpr const char* kNames[kAttemptStates] = {"out",         "interrupted", "answered", "error",
                                                    "turned_away", "unreachable", "lost",     "late",
                                                    "called_off",  "not_sent"};
    return kNames[static_cast<int>(s)];
}

const char* name_of(Waste w) {
    constexpr const char* kNames[kWastes] = {"none", "failed",    "lost", "late",        "called_off",
                                             "left", "unfetched", "cut",  "interrupted", "unrecorded"};
    return kNames[static_cast<int>(w)];
}

std::string tags_without(std::vector<std::string> tags, const std::string& key) {
    std::sort(tags.begin(), tags.end());
    std::string out;
    for (const auto& tag : tags)
        if ((key.empty() || !tag.ends_with("=" + key)) && !tag.starts_with(kAttemptTag))
            out += (out.empty() ? "" : ",") + tag;
    return out;
}

bool further(RequestState a, RequestState b) {
    return knowledge(a) > knowledge(b);
}
bool further(AttemptState a, AttemptState b) {
    return knowledge(a) > knowledge(b);
}

AttemptState state_of(const AttemptFacts& f) {
    if (f.for_client)
        return AttemptState::answered;
    switch (f.outcome) {
        case Outcome::done:
        case Outcome::err:
            return f.document ? AttemptState::error : AttemptState::lost;
        case Outcome::busy:
            return AttemptState::turned_away;
        case Outcome::econnrefused:
            return AttemptState::unreachable;
        case Outcome::econnreset:
            return f.document ? AttemptState::error : AttemptState::lost;
        case Outcome::etimedout:
            return f.connected ? AttemptState::late : AttemptState::unreachable;
        case Outcome::ecanceled:
            return AttemptState::called_off;
        case Outcome::skipped:
            return AttemptState::not_sent;
    }
    return AttemptState::lost;
}

Waste waste_of(const RequestRow& r, const AttemptRow& a) {
    const bool left = r.state == RequestState::cancelled || r.state == RequestState::abandoned;
    switch (a.state) {
        case AttemptState::answered:
            return left ? Waste::unfetched : Waste::none;
        case AttemptState::error:
            return r.state == RequestState::cut ? Waste::cut : Waste::failed;
        case AttemptState::lost:
            return r.state == RequestState::cut ? Waste::cut : Waste::lost;
        case AttemptState::late:
            return r.state == RequestState::cut ? Waste::cut : Waste::late;
        // An attempt that outlived its request's end was left behind by the client, whatever called it off.
        case AttemptState::called_off:
            return left && a.ended_after >= r.ended_after ? Waste::left : Waste::called_off;
        case AttemptState::out:
        case AttemptState::interrupted:
            return left ? Waste::left : Waste::interrupted;
        case AttemptState::turned_away:
        case AttemptState::unreachable:
        case AttemptState::not_sent:
            return Waste::failed;
    }
    return Waste::failed;
}

std::string tag_of(const AttemptName& n) {
    return kAttemptTag + n.life + "." + std::to_string(n.request) + "." + std::to_string(n.attempt);
}

std::optional<AttemptName> attempt_of_tag(std::string_view tag) {
    const std::string_view prefix = kAttemptTag;
    if (!tag.starts_with(prefix))
        return std::nullopt;
    const auto parts = split(tag.substr(prefix.size()), '.');
    if (parts.size() != 3 || parts[0].size() != 16)
        return std::nullopt;
    const auto request = to_number<std::uint32_t>(parts[1]), attempt = to_number<std::uint32_t>(parts[2]);
    if (!request || !attempt)
        return std::nullopt;
    return AttemptName{std::string(parts[0]), *request, *attempt};
}

}  // namespace gatetiller::decide
