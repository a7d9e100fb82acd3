// Once a tick: looks after open attempts and the endpoints that run them. Cancels attempts whose answer is
// lost or overdue and those of silent endpoints where the request may get another attempt, ejects silent
// endpoints, and keeps the endpoints' windows and averages.
#pragma once

#include "policy/policy_state.hpp"

namespace gatetiller::policy {

void monitor_attempts(PolicyState& state);

}  // namespace gatetiller::policy
