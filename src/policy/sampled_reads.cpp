#include "policy/sampled_reads.h"

#include <algorithm>
#include <cmath>

#include "policy/concurrency_quota.h"
#include "policy/seconds.h"

namespace linnetlead::policy {

namespace {

constexpr int kReadsPerDecay = 8;    // a total is used for an eighth of the decay time of its count
constexpr int kMinTimeoutsLeft = 2;  // counter timeouts; a request with less time left doesn't wait
// Under a limit on concurrent attempts, even if it never had capacity.
constexpr double kMinReadProbability = 0.1;
constexpr double kCapacityGain = 0.3;  // of the moving average of reads that found capacity

}  // namespace

bool SampledReads::read(const std::string& name, Tenant& tenant, RequestId id, Timestamp due, Timestamp now) {
    const RatePlanSettings& plan = schedule_.plan_of(tenant);
    const bool has_concurrency_limit = plan.max_concurrent > 0;
    const bool is_fresh = !has_concurrency_limit && tenant.others_known &&
                          now - tenant.sampled_at < schedule_.count_decay(plan) / kReadsPerDecay;
    if (is_fresh || due - now < settings_.counter_timeout * kMinTimeoutsLeft) return false;
    if (random_.uniform() > counter_.sampling_share()) return false;
    if (has_concurrency_limit && random_.uniform() > std::max(tenant.admit_probability, kMinReadProbability))
        return false;
    const double demand =
        (has_concurrency_limit ? 1 : tenant.unreported_demand) * schedule_.count_weight(tenant, now);
    if (!counter_.call(name, tenant, now, CounterCallKind::kReport, demand, id)) return false;
    tenant.unreported_demand = 0;
    return true;
}

void SampledReads::on_total(Tenant& tenant, const CounterCall& call, double total, Timestamp now) const {
    if (call.interval != tenant.interval || !std::isfinite(total) || total <= 0) return;
    const RatePlanSettings& plan = schedule_.plan_of(tenant);
    const double demand = total / schedule_.count_weight(tenant, now);
    tenant.sampled_at = now;
    tenant.others_known = true;
    if (plan.max_concurrent <= 0) {
        const double quota = plan.rate * to_seconds(schedule_.count_decay(plan));
        tenant.admit_probability = std::min(1.0, quota / demand);
        return;
    }
    const double others = std::max(0.0, demand - 1);  // the count includes this request
    tenant.has_capacity = capacity_probability(others, plan.max_concurrent - 1) > kMinCapacityProbability;
    tenant.admit_probability += kCapacityGain * ((tenant.has_capacity ? 1 : 0) - tenant.admit_probability);
}

void SampledReads::withdraw(const OpenRequest& request, const Tenant& tenant, Timestamp now) {
    const bool has_concurrency_limit = schedule_.plan_of(tenant).max_concurrent > 0;
    if (!request.reported || !has_concurrency_limit || tenant.sampled_at != now) return;
    const double demand = schedule_.count_weight(tenant, request.arrived_at);
    counter_.call(request.tenant, tenant, now, CounterCallKind::kReport, -demand);
}

}  // namespace linnetlead::policy
