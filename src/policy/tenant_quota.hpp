// Quota of a tenant in requests per second: a token bucket with a capacity of one second's requests, but at
// least one. Each gateway has an equal share of the quota. A request over the quota is deferred, not
// rejected. Times are in microseconds.
#pragma once

#include "base/time.hpp"

namespace gatetiller::policy {

class TenantQuota {
public:
    // `rate`: this gateway's requests per second; 0: no quota.
    TenantQuota(double rate, Micros now) : rate_(rate), tokens_(rate), refilled_at_(now) {}

    // Counts a request and returns whether it is within the quota.
    bool try_consume(Micros now);

private:
    double rate_;
    double tokens_;
    Micros refilled_at_;
};

}  // namespace gatetiller::policy
