#include "policy/token_bucket.h"

#include <algorithm>
#include <utility>

#include "policy/seconds.h"

namespace linnetlead::policy {

// Units admitted beyond the quota are not charged to later requests: the debt is limited to the units of one
// request.
void TokenBucket::refill(Tenant& tenant, Timestamp now) const {
    const double gained = schedule_.plan_of(tenant).rate * to_seconds(now - tenant.bucket_updated_at);
    tenant.bucket_level = std::max(tenant.bucket_level, -settings_.max_units) + gained;
    tenant.bucket_updated_at = now;
}

double TokenBucket::available(const Tenant& tenant, Timestamp now) const {
    const RatePlanSettings& plan = schedule_.plan_of(tenant);
    return std::min(tenant.bucket_level + plan.rate * to_seconds(now - tenant.bucket_updated_at), plan.burst);
}

void TokenBucket::spend(Tenant& tenant, double units, Timestamp now) const {
    refill(tenant, now);
    const bool others_known = tenant.last_known_interval >= tenant.interval - 1;
    if (others_known) tenant.bucket_level = std::min(tenant.bucket_level, schedule_.plan_of(tenant).burst);
    tenant.bucket_level -= units;
    tenant.current.spent += units;
}

void TokenBucket::return_units(Tenant& tenant, OpenRequest& request, Timestamp now) const {
    if (std::exchange(request.holds_units, false)) spend(tenant, -request.units, now);
}

}  // namespace linnetlead::policy
