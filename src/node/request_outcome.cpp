#include "node/request_outcome.hpp"

namespace gatetiller::node {

const char* name_of(RequestOutcome outcome) {
    switch (outcome) {
        case RequestOutcome::served:
            return "served";
        case RequestOutcome::failed:
            return "failed";
        case RequestOutcome::shed:
            return "shed";
        case RequestOutcome::malformed:
            return "malformed_requests";
        case RequestOutcome::duplicate:
            return "duplicate";
        case RequestOutcome::at_capacity:
            return "at_capacity";
        case RequestOutcome::shutting_down:
            return "shutting_down";
        case RequestOutcome::client_cancelled:
            return "client_cancelled";
    }
    return "unknown";
}

const char* name_of(TerminationReason reason) {
    switch (reason) {
        case TerminationReason::deadline_unreachable:
            return "deadline_unreachable";
        case TerminationReason::objective_missed:
            return "objective_missed";
        case TerminationReason::attempts_exhausted:
            return "attempts_exhausted";
    }
    return "unknown";
}

std::string name_of(RequestOutcome outcome, TerminationReason reason) {
    return std::string(name_of(outcome)) + ":" + name_of(reason);
}

void RequestCounters::count(RequestOutcome outcome, std::optional<TerminationReason> reason) {
    ++counts_[{outcome, std::nullopt}];
    if (reason)
        ++counts_[{outcome, reason}];
}

std::string RequestCounters::text() const {
    std::string text;
    for (const auto& [key, count] : counts_) {
        const auto& [outcome, reason] = key;
        text += (text.empty() ? "" : " ") +
                (reason ? name_of(outcome, *reason) : std::string(name_of(outcome))) + "=" +
                std::to_string(count);
    }
    return text;
}

}  // namespace gatetiller::node
