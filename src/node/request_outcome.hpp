// The outcomes of requests at a front node and their counters.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "policy/gateway_policy.hpp"

namespace gatetiller::node {

enum class RequestOutcome : std::uint8_t {
    served,            // the client's result was sent
    failed,            // may have been executed, and no attempt remains
    shed,              // rejected by the policy; never executed
    malformed,         // has invalid fields
    duplicate,         // a request with the same id is active
    at_capacity,       // beyond the node's limits
    shutting_down,     // rejected because the node is shutting down
    client_cancelled,  // the client cancelled it or disconnected: no response is sent
};

// Returns the name used in logs and in the status line.
const char* name_of(RequestOutcome outcome);
const char* name_of(TerminationReason reason);
// Returns both names, as in "shed:objective_missed".
std::string name_of(RequestOutcome outcome, TerminationReason reason);

class RequestCounters {
public:
    // `reason`: the policy's reason, if the policy ended the request.
    void count(RequestOutcome outcome, std::optional<TerminationReason> reason = std::nullopt);
    // Returns the counters that are not 0, separated by spaces: "served=3 shed=2 shed:objective_missed=1".
    std::string text() const;

private:
    std::map<std::pair<RequestOutcome, std::optional<TerminationReason>>, std::uint64_t> counts_;
};

}  // namespace gatetiller::node
