// Computes how long a rejected client is asked to wait before it retries the request.
#pragma once

#include "linnetlead/policy.h"
#include "policy/concurrency_limiter.h"
#include "policy/random_source.h"
#include "policy/traffic_statistics.h"

namespace linnetlead::policy {

class RetryAfter {
public:
    RetryAfter(const Settings& settings, const ConcurrencyLimiter& limiter,
               const TrafficStatistics& statistics, RandomSource& random)
        : settings_(settings), limiter_(limiter), statistics_(statistics), random_(random) {}

    // The delay, or 0 for none. by_quota: a limit on concurrent attempts rejected the request, which has
    // capacity again as soon as one of the tenant's attempts ends.
    Duration delay(bool by_quota);

private:
    const Settings& settings_;
    const ConcurrencyLimiter& limiter_;
    const TrafficStatistics& statistics_;
    RandomSource& random_;
};

}  // namespace linnetlead::policy
