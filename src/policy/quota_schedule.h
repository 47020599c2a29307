// Derives a tenant's quota intervals, their refill and the way of reporting demand from its rate plan.
//
// Quotas are divided among the gateways once per interval. The boundaries depend only on the plan and the
// tenant's name, so all gateways compute the same ones without communication.
#pragma once

#include <cstdint>
#include <string>

#include "linnetlead/policy.h"
#include "policy/tenant.h"

namespace linnetlead::policy {

// 64-bit FNV-1a hash, the same at every gateway and in every build.
std::uint64_t hash_of(const std::string& text);

class QuotaSchedule {
public:
    explicit QuotaSchedule(const Settings& settings) : settings_(settings) {}

    bool has_plan(int plan) const;
    const RatePlanSettings& plan_of(const Tenant& tenant) const;

    // Length of the tenant's intervals.
    Duration interval(const Tenant& tenant) const;
    // First instant of the interval with this index.
    Timestamp start_of(const Tenant& tenant, std::int64_t index) const;
    // Index of the interval that contains `now`.
    std::int64_t index_at(const Tenant& tenant, Timestamp now) const;
    // Units that the plan's rate adds to the bucket in one interval, over all gateways.
    double refill_per_interval(const Tenant& tenant) const;

    // Whether demand is reported with single requests and not once per interval. This applies if the even
    // share of a gateway is below one request, since nearly every gateway's share per interval would then be
    // zero or one request.
    bool is_sampled(const RatePlanSettings& plan, int gateway_set_size) const;
    // Whether the gateways share one token bucket for this tenant through the counter.
    bool has_shared_bucket(const Tenant& tenant) const;

    // Time in which the count of a sampled tenant decays by a factor of e: the approximate duration of an
    // attempt under a limit on concurrent attempts, else the plan's interval.
    Duration count_decay(const RatePlanSettings& plan) const;
    // Weight of a request at `now` in the count of a sampled tenant's current interval. The counter can only
    // add, so newer amounts get larger weights instead of older ones decaying (forward decay, Cormode et al.,
    // 2009).
    double count_weight(const Tenant& tenant, Timestamp now) const;

private:
    const Settings& settings_;
};

}  // namespace linnetlead::policy
