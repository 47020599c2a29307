#include "policy/concurrency_quota.h"

#include <algorithm>
#include <cmath>

#include "policy/seconds.h"

namespace linnetlead::policy {

namespace {

constexpr double kReductionFactor = 0.9;  // per step, until the limit has capacity

}  // namespace

double capacity_probability(double expected, int free) {
    double term = std::exp(-expected);
    double probability = term;
    for (int in_flight = 1; in_flight <= free; ++in_flight) {
        term *= expected / in_flight;
        probability += term;
    }
    return probability;
}

bool ConcurrencyQuota::has_capacity(const Tenant& tenant) {
    const RatePlanSettings& plan = schedule_.plan_of(tenant);
    const int free_for_others = plan.max_concurrent - 1 - tenant.attempts_in_flight;
    if (plan.max_concurrent > 0 && free_for_others < 0) return false;
    if (plan.max_concurrent <= 0 || tenant.gateway_set_size < 2 || tenant.is_sampled) return true;
    // Every gateway admits with the same reduced probability, so that the total number of attempts falls
    // until there is capacity.
    const double expected = others_in_flight(tenant);
    double reduced = expected;
    while (capacity_probability(reduced, free_for_others) <= kMinCapacityProbability)
        reduced *= kReductionFactor;
    return reduced >= expected || random_.uniform() < reduced / expected;
}

// Expected attempts in flight from other gateways: their demand times the mean duration of an attempt
// (Little's law).
double ConcurrencyQuota::others_in_flight(const Tenant& tenant) const {
    const RatePlanSettings& plan = schedule_.plan_of(tenant);
    const double total = tenant.last_demand + tenant.others_demand;
    const double demand =
        tenant.others_known ? tenant.others_demand : tenant.demand * (tenant.gateway_set_size - 1);
    const double units_per_request = plan.rate > 0 ? std::max(1.0, statistics_.units()) : 1;
    const double admitted =
        plan.rate > 0 && total > 0 ? std::min(1.0, schedule_.refill_per_interval(tenant) / total) : 1;
    return admitted * demand / units_per_request / to_seconds(schedule_.interval(tenant)) *
           statistics_.attempt_duration_s();
}

}  // namespace linnetlead::policy
