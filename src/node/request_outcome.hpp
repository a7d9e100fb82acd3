// How requests end at a front node, and how often each end came.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "policy/gateway_policy.hpp"

namespace gatetiller::node {

enum class RequestOutcome : std::uint8_t {
    served,            // the client got its result
    failed,            // it may have run, and no attempt is left
    shed,              // the policy rejected it; it never ran
    malformed,         // its fields can't be accepted
    duplicate,         // a request of the same id is active
    at_capacity,       // past the node's limits
    shutting_down,     // rejected because the node ends
    client_cancelled,  // the client cancelled it or left: no response is owed
};

// The names in logs and in the status line.
const char* name_of(RequestOutcome outcome);
const char* name_of(TerminationReason reason);
// Both, as in "shed:objective_missed".
std::string name_of(RequestOutcome outcome, TerminationReason reason);

class RequestCounters {
public:
    // `reason`: the policy's, where it gave the request up.
    void count(RequestOutcome outcome, std::optional<TerminationReason> reason = std::nullopt);
    // "served=3 shed=2 shed:objective_missed=1": those that came at all, parted by spaces.
    std::string text() const;

private:
    std::map<std::pair<RequestOutcome, std::optional<TerminationReason>>, std::uint64_t> counts_;
};

}  // namespace gatetiller::node
