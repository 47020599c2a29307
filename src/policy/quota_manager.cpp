#include "policy/quota_manager.h"

#include <algorithm>
#include <utility>

#include "policy/seconds.h"

namespace linnetlead::policy {

namespace {

constexpr int kIdleIntervalsKept = 4;      // a tenant is forgotten after more intervals without requests
constexpr double kMinMeasuredPart = 0.25;  // of an interval; demand is not estimated from a shorter part
// Multiple of the mean attempt duration for which attempts of the previous process count as in flight.
constexpr double kInheritedAttemptDurations = 2;

}  // namespace

Tenant* QuotaManager::find(const std::string& name) {
    const auto it = tenants_.find(name);
    return it == tenants_.end() ? nullptr : &it->second;
}

Tenant& QuotaManager::tenant_of(const Request& request, Timestamp now) {
    const auto [it, is_new] = tenants_.try_emplace(request.tenant);
    Tenant& tenant = it->second;
    tenant.gateway_set_size = std::max(1, request.gateway_set_size);
    if (!is_new) {
        if (tenant.plan != request.plan) change_plan(request.tenant, tenant, request.plan, now);
        return tenant;
    }
    tenant.plan = request.plan;
    tenant.hash = hash_of(request.tenant);
    const RatePlanSettings& plan = context_.schedule.plan_of(tenant);
    tenant.is_sampled = context_.schedule.is_sampled(plan, tenant.gateway_set_size);
    start_interval(request.tenant, tenant, plan.burst, now);
    tenant.first_seen_interval = tenant.interval;
    // Until the total of the previous interval is known, its refill offsets what the other gateways may have
    // spent in it.
    const Timestamp previous_start = context_.schedule.start_of(tenant, tenant.interval - 1);
    tenant.bucket_level += plan.rate * to_seconds(now - previous_start);
    // Otherwise a restart would double the hard cap: its bucket counts as empty at the start of this process,
    // and has refilled since then.
    tenant.hard_cap_updated_at = context_.hard_caps_empty_at;
    return tenant;
}

void QuotaManager::begin_anew(Timestamp now) {
    tenants_.clear();
    context_.hard_caps_empty_at = now;
}

// Starts the interval that contains `now`, with this level of the token bucket.
void QuotaManager::start_interval(const std::string& name, Tenant& tenant, double level, Timestamp now) {
    tenant.interval = context_.schedule.index_at(tenant, now);
    tenant.bucket_level = std::min(level, context_.schedule.plan_of(tenant).burst);
    tenant.bucket_updated_at = now;
    context_.shares.grant(tenant, now);
    schedule_interval_end(name, tenant);
}

void QuotaManager::schedule_interval_end(const std::string& name, const Tenant& tenant) {
    const Timestamp end = context_.schedule.start_of(tenant, tenant.interval + 1);
    context_.tasks.schedule(end, {TaskKind::kEndInterval, name});
}

// Only the units left in the bucket are carried over, up to the new plan's burst. Otherwise the tenant could
// use the quotas of both plans.
void QuotaManager::change_plan(const std::string& name, Tenant& tenant, int plan, Timestamp now) {
    const double left = context_.bucket.available(tenant, now);
    const Duration old_interval = context_.schedule.interval(tenant);
    tenant.plan = plan;
    tenant.is_sampled =
        context_.schedule.is_sampled(context_.schedule.plan_of(tenant), tenant.gateway_set_size);
    const double ratio = to_seconds(context_.schedule.interval(tenant)) / to_seconds(old_interval);
    tenant.last_demand *= ratio;
    tenant.others_demand *= ratio;
    tenant.demand = 0;
    tenant.unreported_demand = 0;
    tenant.current = {};
    tenant.previous = {};
    tenant.plan_changed_at = now;
    start_interval(name, tenant, left, now);
    // A count of the new plan for the previous interval would contain no useful data.
    tenant.last_read_interval = tenant.interval - 1;
    tenant.last_known_interval = tenant.interval - 1;
    context_.hard_cap.refill(tenant, now);
}

void QuotaManager::on_interval_end(const std::string& name, Timestamp now) {
    const auto it = tenants_.find(name);
    if (it == tenants_.end()) return;
    Tenant& tenant = it->second;
    const bool is_superseded = now < context_.schedule.start_of(tenant, tenant.interval + 1);
    if (is_superseded) return;
    close_interval(name, tenant, now);
    if (tenant.idle_intervals > kIdleIntervalsKept && context_.hard_cap.is_full(tenant)) {
        tenants_.erase(it);
        return;
    }
    const bool is_only_gateway = tenant.gateway_set_size < 2;  // then no counter is needed
    tenant.others_known = tenant.others_known || is_only_gateway;
    context_.shares.grant(tenant, now);
    schedule_interval_end(name, tenant);
}

void QuotaManager::close_interval(const std::string& name, Tenant& tenant, Timestamp now) {
    context_.bucket.refill(tenant, now);
    const double max_level =
        context_.schedule.plan_of(tenant).burst + context_.schedule.refill_per_interval(tenant);
    tenant.bucket_level = std::min(tenant.bucket_level, max_level);
    // The demand of an interval that a change of plan cut short is scaled to a whole one, as at the other
    // gateways. Otherwise the shares would add up to more than the quota.
    const double part =
        tenant.plan_changed_at > Timestamp{0}
            ? to_seconds(now - tenant.plan_changed_at) / to_seconds(context_.schedule.interval(tenant))
            : 1;
    if (part >= kMinMeasuredPart) tenant.last_demand = tenant.demand / std::min(part, 1.0);
    tenant.demand = tenant.last_demand;  // reported below
    tenant.plan_changed_at = {};
    if (!tenant.is_sampled && tenant.gateway_set_size > 1)
        context_.reports.report_interval(name, tenant, now);
    tenant.previous = std::exchange(tenant.current, {});
    assume_others_spending(tenant, now);
    tenant.demand = 0;
    ++tenant.interval;
    const bool is_active = tenant.last_demand > 0 || tenant.attempts_in_flight > 0;
    tenant.idle_intervals = is_active ? 0 : tenant.idle_intervals + 1;
    context_.hard_cap.refill(tenant, now);
}

// Without a reachable counter, the other gateways are assumed to have spent their demand, up to their quota
// shares.
void QuotaManager::assume_others_spending(Tenant& tenant, Timestamp now) const {
    if (context_.settings.may_use_counter && !context_.counter.is_unreachable(now)) return;
    const double others_share = std::max(0.0, tenant.granted - tenant.quota_share);
    const double assumed = tenant.others_known ? std::min(tenant.others_demand, others_share) : others_share;
    const double spent = std::max(tenant.previous.spent_by_others, assumed);
    tenant.bucket_level -= spent - std::exchange(tenant.previous.spent_by_others, spent);
}

void QuotaManager::on_read_due(const std::string& name, Timestamp now) {
    if (Tenant* const tenant = find(name)) context_.reports.read_total(name, *tenant, now);
}

void QuotaManager::on_inherited_attempt_end(const std::string& name) {
    Tenant* const tenant = find(name);
    if (tenant && tenant->attempts_in_flight > 0) --tenant->attempts_in_flight;
}

std::vector<QuotaState> QuotaManager::states() const {
    std::vector<QuotaState> all;
    for (const auto& [name, tenant] : tenants_) all.emplace_back(tenant).tenant = name;
    return all;
}

void QuotaManager::restore(const QuotaState& state, Timestamp now) {
    if (!context_.schedule.has_plan(state.plan)) return;
    Tenant& tenant = tenants_[state.tenant];
    static_cast<QuotaState&>(tenant) = state;
    tenant.hash = hash_of(state.tenant);
    tenant.is_sampled =
        context_.schedule.is_sampled(context_.schedule.plan_of(tenant), tenant.gateway_set_size);
    schedule_interval_end(state.tenant, tenant);
    // The results of the previous process's attempts are not reported to this one, so they end by a timer.
    const Timestamp expected_end =
        now + to_duration(kInheritedAttemptDurations * context_.statistics.attempt_duration_s());
    for (int i = 0; i < tenant.attempts_in_flight; ++i) {
        context_.tasks.schedule(expected_end, {TaskKind::kReleaseInheritedAttempt, state.tenant});
    }
}

}  // namespace linnetlead::policy
