#include "policy/quota_manager.h"

#include <algorithm>
#include <utility>

#include "policy/seconds.h"

namespace linnetlead::policy {

namespace {

constexpr int kIdleIntervalsKept = 4;      // a tenant without requests is forgotten after more
constexpr double kMinMeasuredPart = 0.25;  // of an interval: in less its demand can't be told
// Mean durations of an attempt for which those of the process before are held to be in flight.
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
    begin(request.tenant, tenant, plan.burst, now);
    tenant.first_interval = tenant.interval;
    // Until the total of the interval before is known, its refill stands against what may have been spent in
    // it.
    const Timestamp previous_start = context_.schedule.start_of(tenant, tenant.interval - 1);
    tenant.bucket_level += plan.rate * to_seconds(now - previous_start);
    // Against a cap that a restart doubles: it is taken to have been spent then, and has refilled since.
    tenant.hard_cap_updated_at = context_.started;
    return tenant;
}

// Starts the interval that `now` is in, with this much in the bucket.
void QuotaManager::begin(const std::string& name, Tenant& tenant, double level, Timestamp now) {
    tenant.interval = context_.schedule.index_at(tenant, now);
    tenant.bucket_level = std::min(level, context_.schedule.plan_of(tenant).burst);
    tenant.bucket_updated_at = now;
    context_.shares.grant(tenant, now);
    schedule_interval_end(name, tenant);
}

void QuotaManager::schedule_interval_end(const std::string& name, const Tenant& tenant) {
    const Timestamp end = context_.schedule.start_of(tenant, tenant.interval + 1);
    context_.agenda.schedule(end, {TaskKind::kEndInterval, name});
}

// Against the allowance of both plans together: only what is left in the bucket goes over, within the new
// burst.
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
    begin(name, tenant, left, now);
    // The new plan's count of the interval before would say nothing.
    tenant.read_sent = tenant.interval - 1;
    tenant.read_done = tenant.interval - 1;
    context_.hard_cap.refill(tenant, now);
}

void QuotaManager::on_interval_end(const std::string& name, Timestamp now) {
    const auto it = tenants_.find(name);
    if (it == tenants_.end()) return;
    Tenant& tenant = it->second;
    const bool is_replaced = now < context_.schedule.start_of(tenant, tenant.interval + 1);
    if (is_replaced) return;
    close_interval(name, tenant, now);
    if (tenant.idle_intervals > kIdleIntervalsKept && context_.hard_cap.is_full(tenant)) {
        tenants_.erase(it);
        return;
    }
    const bool is_alone = tenant.gateway_set_size < 2;  // needs no counter
    tenant.others_known = tenant.others_known || is_alone;
    context_.shares.grant(tenant, now);
    schedule_interval_end(name, tenant);
}

void QuotaManager::close_interval(const std::string& name, Tenant& tenant, Timestamp now) {
    context_.bucket.refill(tenant, now);
    const double most = context_.schedule.plan_of(tenant).burst + context_.schedule.refill(tenant);
    tenant.bucket_level = std::min(tenant.bucket_level, most);
    // Against shares that add up to more than the quota: the demand of an interval that a change of plan cut
    // short is scaled to a whole one, as the other gateways' is.
    const double part =
        tenant.plan_changed_at > Timestamp{0}
            ? to_seconds(now - tenant.plan_changed_at) / to_seconds(context_.schedule.interval(tenant))
            : 1;
    if (part >= kMinMeasuredPart) tenant.last_demand = tenant.demand / std::min(part, 1.0);
    tenant.demand = tenant.last_demand;  // so it is reported
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

// Without a counter the other gateways are taken to have spent what they ask for, and no more than their
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
    // The results of attempts that the process before has in flight are not reported here.
    const Timestamp ended =
        now + to_duration(kInheritedAttemptDurations * context_.statistics.attempt_duration_s());
    for (int i = 0; i < tenant.attempts_in_flight; ++i) {
        context_.agenda.schedule(ended, {TaskKind::kReleaseInheritedAttempt, state.tenant});
    }
}

}  // namespace linnetlead::policy
