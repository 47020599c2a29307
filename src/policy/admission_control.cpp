#include "policy/admission_control.h"

#include <algorithm>

#include "policy/seconds.h"

namespace linnetlead::policy {

bool AdmissionControl::admits(Tenant& tenant, const OpenRequest& request, Timestamp now) {
    if (!hard_cap_.allows(tenant, request.units, now) || !concurrency_.has_capacity(tenant)) return false;
    if (request.quota_decision != QuotaDecision::kUndecided) {
        return request.quota_decision == QuotaDecision::kAdmitted;
    }
    return admits_by_share(tenant, request.units, request.reported, now);
}

bool AdmissionControl::admits_by_share(const Tenant& tenant, double units, bool reported, Timestamp now) {
    if (tenant.is_sampled) return admits_sampled(tenant, reported, now);
    if (schedule_.plan_of(tenant).rate <= 0) return true;
    const double left = tenant.quota_share - tenant.current.spent;
    const Timestamp end = schedule_.start_of(tenant, tenant.interval + 1);
    const double remaining_part = to_seconds(end - now) / to_seconds(schedule_.interval(tenant));
    const double expected = tenant.last_demand * remaining_part;
    const double fits = std::clamp(left / units, 0.0, 1.0);  // less than one request left: admitted at random
    return random_.uniform() < (expected > 0 ? std::min(fits, left / expected) : fits);
}

// Under a limit on concurrent attempts, a request that was not reported to the counter is rejected: the other
// gateways would not see its attempt, and its client may retry.
bool AdmissionControl::admits_sampled(const Tenant& tenant, bool reported, Timestamp now) {
    const bool has_concurrency_limit = schedule_.plan_of(tenant).max_concurrent > 0;
    if (has_concurrency_limit && tenant.sampled_at == now) return tenant.has_capacity;
    const bool is_unreported = has_concurrency_limit && !reported && !counter_.is_unreachable(now);
    return !is_unreported && random_.uniform() < tenant.admit_probability;
}

}  // namespace linnetlead::policy
