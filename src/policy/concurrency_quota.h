// A rate plan's limit on concurrent attempts, over all gateways. Checked by AdmissionControl and
// SampledReads.
#pragma once

#include "linnetlead/policy.h"
#include "policy/quota_schedule.h"
#include "policy/random_source.h"
#include "policy/traffic_statistics.h"

namespace linnetlead::policy {

// An attempt is admitted if its limit has capacity with at least this probability.
constexpr double kMinCapacityProbability = 0.7;

// Probability that at most `free` attempts are in flight if the mean is `expected` (Poisson distribution).
double capacity_probability(double expected, int free);

class ConcurrencyQuota {
public:
    ConcurrencyQuota(const QuotaSchedule& schedule, const TrafficStatistics& statistics, RandomSource& random)
        : schedule_(schedule), statistics_(statistics), random_(random) {}

    // Whether one more attempt of the tenant is within its limit now. Draws a random number if this depends
    // on the attempts of other gateways.
    bool has_capacity(const Tenant& tenant);

private:
    double others_in_flight(const Tenant& tenant) const;

    const QuotaSchedule& schedule_;
    const TrafficStatistics& statistics_;
    RandomSource& random_;
};

}  // namespace linnetlead::policy
