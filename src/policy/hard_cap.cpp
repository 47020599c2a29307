#include "policy/hard_cap.h"

#include <algorithm>

#include "policy/seconds.h"

namespace linnetlead::policy {

void HardCap::refill(Tenant& tenant, Timestamp now) const {
    const double gained = schedule_.plan_of(tenant).hard_cap_rate / tenant.gateway_set_size *
                          to_seconds(now - tenant.hard_cap_updated_at);
    tenant.hard_cap_left = std::min(burst(tenant), tenant.hard_cap_left + gained);
    tenant.hard_cap_updated_at = now;
}

bool HardCap::allows(Tenant& tenant, double units, Timestamp now) const {
    if (schedule_.plan_of(tenant).hard_cap_rate <= 0) return true;
    refill(tenant, now);
    return tenant.hard_cap_left >= units;
}

}  // namespace linnetlead::policy
