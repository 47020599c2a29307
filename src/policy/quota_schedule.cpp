#include "policy/quota_schedule.h"

#include <algorithm>
#include <cmath>

#include "policy/seconds.h"

namespace linnetlead::policy {

namespace {

using namespace std::chrono_literals;

// Bounds of the interval, which is the time to refill the plan's burst at the plan's rate. Shorter intervals
// cost more counter calls than they save; longer ones keep a wrong share for too long.
constexpr Duration kMinInterval = 1s;
constexpr Duration kMaxInterval = 2500ms;
// Length of a sampled tenant's interval as a multiple of its count's decay time. The weights stay well within
// the range of a double.
constexpr int kDecaysPerSampledInterval = 16;
// Up to this number of gateways, each sees enough of the demand to report it once per interval.
constexpr int kMaxGatewaysForReports = 4;
// Approximate duration of an attempt, as a share of the mean latency objective.
constexpr double kInFlightShareOfObjective = 0.25;

Duration plan_interval(const RatePlanSettings& plan) {
    if (plan.rate <= 0) return kMaxInterval;
    return std::clamp(to_duration(plan.burst / plan.rate), kMinInterval, kMaxInterval);
}

// Offset of a tenant's intervals, derived from its name, so that the reports of all tenants do not arrive at
// the same time.
Duration stagger(const Tenant& tenant, Duration interval) {
    return Duration{static_cast<std::int64_t>(tenant.hash % static_cast<std::uint64_t>(interval.count()))};
}

}  // namespace

std::uint64_t hash_of(const std::string& text) {
    constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    std::uint64_t hash = kOffsetBasis;
    for (const char byte : text) hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
    return hash;
}

bool QuotaSchedule::has_plan(int plan) const {
    return plan >= 0 && plan < static_cast<int>(settings_.plans.size());
}

const RatePlanSettings& QuotaSchedule::plan_of(const Tenant& tenant) const {
    return settings_.plans[static_cast<std::size_t>(tenant.plan)];
}

Duration QuotaSchedule::interval(const Tenant& tenant) const {
    const RatePlanSettings& plan = plan_of(tenant);
    return tenant.is_sampled ? count_decay(plan) * kDecaysPerSampledInterval : plan_interval(plan);
}

Timestamp QuotaSchedule::start_of(const Tenant& tenant, std::int64_t index) const {
    const Duration length = interval(tenant);
    return length * index - stagger(tenant, length);
}

std::int64_t QuotaSchedule::index_at(const Tenant& tenant, Timestamp now) const {
    const Duration length = interval(tenant);
    return (now + stagger(tenant, length)) / length;
}

double QuotaSchedule::refill_per_interval(const Tenant& tenant) const {
    return plan_of(tenant).rate * to_seconds(interval(tenant));
}

bool QuotaSchedule::is_sampled(const RatePlanSettings& plan, int gateway_set_size) const {
    if (!settings_.may_use_counter || gateway_set_size <= kMaxGatewaysForReports) return false;
    if (plan.rate <= 0) return plan.max_concurrent > 0 && plan.max_concurrent * 2 < gateway_set_size;
    return plan.rate * to_seconds(plan_interval(plan)) / gateway_set_size < settings_.max_units;
}

bool QuotaSchedule::has_shared_bucket(const Tenant& tenant) const {
    return settings_.may_use_counter && !tenant.is_sampled && tenant.gateway_set_size > 1 &&
           plan_of(tenant).rate > 0;
}

Duration QuotaSchedule::count_decay(const RatePlanSettings& plan) const {
    if (plan.max_concurrent <= 0) return plan_interval(plan);
    double objectives_s = 0;
    for (const TrafficClassSettings& traffic_class : settings_.classes) {
        objectives_s += to_seconds(traffic_class.latency_objective);
    }
    return to_duration(kInFlightShareOfObjective * objectives_s /
                       static_cast<double>(settings_.classes.size()));
}

double QuotaSchedule::count_weight(const Tenant& tenant, Timestamp now) const {
    const Duration length = interval(tenant);
    return std::exp(to_seconds(now - start_of(tenant, tenant.interval) - length / 2) /
                    to_seconds(count_decay(plan_of(tenant))));
}

}  // namespace linnetlead::policy
