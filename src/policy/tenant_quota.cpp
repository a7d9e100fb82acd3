#include "policy/tenant_quota.hpp"

#include <algorithm>

namespace gatetiller::policy {

bool TenantQuota::try_consume(Micros now) {
    if (rate_ <= 0)
        return true;
    tokens_ += rate_ * static_cast<double>(now - refilled_at_) / kSecondMicros;
    refilled_at_ = now;
    tokens_ = std::min(tokens_, std::max(rate_, 1.0));
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

}  // namespace gatetiller::policy
