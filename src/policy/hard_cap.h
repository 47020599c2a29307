// The hard cap of a plan: a second token bucket that no request may overdraw.
//
// Each gateway owns an even part of its burst and its rate. So the cap holds through network partitions,
// gateway restarts and counter outages, which shares by demand would not. All amounts are in units.
#pragma once

#include "linnetlead/policy.h"
#include "policy/quota_schedule.h"

namespace linnetlead::policy {

class HardCap {
public:
    explicit HardCap(const QuotaSchedule& schedule) : schedule_(schedule) {}

    void refill(Tenant& tenant, Timestamp now) const;
    // Whether these units are within the cap now. True for a plan without a cap.
    bool allows(Tenant& tenant, double units, Timestamp now) const;
    void spend(Tenant& tenant, double units) const { tenant.hard_cap_left -= units; }
    // Whether the bucket is full, so that the tenant can be forgotten without changing the cap.
    bool is_full(const Tenant& tenant) const { return tenant.hard_cap_left >= burst(tenant); }

private:
    double burst(const Tenant& tenant) const {
        return schedule_.plan_of(tenant).hard_cap_burst / tenant.gateway_set_size;
    }

    const QuotaSchedule& schedule_;
};

}  // namespace linnetlead::policy
