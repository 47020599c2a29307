#include "policy/quota_shares.h"

#include <algorithm>

#include "policy/seconds.h"

namespace linnetlead::policy {

namespace {

// Divides the granted units in proportion to demand. Units beyond the total demand are divided half by demand
// and half evenly, since new demand may arrive at any gateway. If there was no demand or that of the other
// gateways is unknown, all units are divided evenly.
void divide(Tenant& tenant) {
    const double total_demand = tenant.others_known ? tenant.last_demand + tenant.others_demand : 0;
    const double spare = std::max(0.0, tenant.granted - total_demand);
    const double even = 1.0 / tenant.gateway_set_size;
    const double share = total_demand > 0 ? tenant.last_demand / total_demand : even;
    tenant.quota_share =
        spare > 0 ? total_demand * share + spare * (share + even) / 2 : std::max(0.0, tenant.granted) * share;
}

}  // namespace

void QuotaShares::grant(Tenant& tenant, Timestamp now) const {
    const Timestamp end = schedule_.start_of(tenant, tenant.interval + 1);
    const double refill_to_come = schedule_.plan_of(tenant).rate * to_seconds(end - now);
    tenant.granted =
        std::max(0.0, bucket_.available(tenant, now)) + refill_to_come + std::max(0.0, tenant.current.spent);
    divide(tenant);
}

}  // namespace linnetlead::policy
