// Checks open attempts and their endpoints on each timer tick. Ejects silent endpoints, and cancels attempts
// whose response is lost or overdue or whose endpoint is silent, provided that the request may get another
// attempt. Also advances the slow-start windows and slowdown averages of all endpoints.
#pragma once

#include "policy/policy_state.hpp"

namespace gatetiller::policy {

void monitor_attempts(PolicyState& state);

}  // namespace gatetiller::policy
