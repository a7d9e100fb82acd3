// A tenant's quota of requests per second: a token bucket that holds at most a second's worth. Each gateway
// has its even part of the quota. A request over it is deferred, not refused. Times are microseconds.
#pragma once

#include "base/time.hpp"

namespace gatetiller::policy {

class TenantQuota {
public:
    // `rate`: this gateway's requests per second; 0: no quota.
    TenantQuota(double rate, Micros now) : rate_(rate), tokens_(rate), filled_at_(now) {}

    // Counts a request and returns whether it is within the quota.
    bool take(Micros now);

private:
    double rate_;
    double tokens_;
    Micros filled_at_;
};

}  // namespace gatetiller::policy
