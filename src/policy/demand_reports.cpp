#include "policy/demand_reports.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/seconds.h"

namespace linnetlead::policy {

namespace {

constexpr double kMinReportedShare = 0.1;  // of the even share; less demand is not reported
// Of the quota; with less total demand no share is exceeded, so the total is not read.
constexpr double kMinReadShare = 0.5;
// Scale of the count of a plan without a rate, per attempt of its limit.
constexpr double kConcurrencyParts = 100;
constexpr double kMinAttemptMarginS = 1e-3;  // plus a clock tick: lower bound of the mean attempt duration

}  // namespace

// The total is read one counter timeout later, when the report of every gateway has arrived or timed out; an
// earlier read would miss reports.
void DemandReports::report_interval(const std::string& name, Tenant& tenant, Timestamp now) {
    const double quota = interval_quota(tenant);
    const bool reported = tenant.current.reported > 0;
    if (!context_.settings.may_use_counter) return;
    if (!reported && tenant.demand <= kMinReportedShare * quota / tenant.gateway_set_size) return;
    if (!report(name, tenant, now)) return;
    const bool read_wanted =
        reported || !tenant.others_known || tenant.demand + tenant.others_demand > kMinReadShare * quota;
    if (read_wanted) {
        context_.tasks.schedule(now + context_.settings.counter_timeout, {TaskKind::kReadCount, name});
    }
}

bool DemandReports::report(const std::string& name, Tenant& tenant, Timestamp now,
                           RequestId waiting_request) {
    IntervalReport& current = tenant.current;
    const double reported = count_of(tenant).encode(tenant.demand, current.spent, current.bucket_deficit);
    const double before = std::exchange(current.reported, reported);
    current.reported_spent = current.spent;
    const CounterCallKind kind = waiting_request ? CounterCallKind::kReserve : CounterCallKind::kReport;
    const bool called = context_.counter.call(name, tenant, now, kind, reported - before, waiting_request);
    if (!called) current.reported = before;
    return called;
}

void DemandReports::read_total(const std::string& name, Tenant& tenant, Timestamp now) {
    if (tenant.last_read_interval >= tenant.interval - 1) return;
    if (context_.counter.call(name, tenant, now, CounterCallKind::kRead, 0))
        tenant.last_read_interval = tenant.interval - 1;
}

// A plan without a rate is counted in requests. Its quota is the number of requests that the limit on
// concurrent attempts lets through in an interval.
double DemandReports::interval_quota(const Tenant& tenant) const {
    const RatePlanSettings& plan = context_.schedule.plan_of(tenant);
    if (plan.rate > 0) return context_.schedule.refill_per_interval(tenant);
    const double shortest_s = to_seconds(context_.settings.tick) + kMinAttemptMarginS;
    return plan.max_concurrent * to_seconds(context_.schedule.interval(tenant)) /
           std::max(context_.statistics.attempt_duration_s(), shortest_s);
}

DemandCount DemandReports::count_of(const Tenant& tenant) const {
    const RatePlanSettings& plan = context_.schedule.plan_of(tenant);
    return DemandCount{plan.rate > 0 ? plan.burst + context_.schedule.refill_per_interval(tenant)
                                     : kConcurrencyParts * plan.max_concurrent};
}

void DemandReports::on_total(Tenant& tenant, const CounterCall& call, CounterStatus status, double total,
                             Timestamp now) {
    const bool is_previous_interval = call.interval == tenant.interval - 1;
    if (tenant.is_sampled || (call.interval != tenant.interval && !is_previous_interval)) return;
    IntervalReport& report = is_previous_interval ? tenant.previous : tenant.current;
    if (!is_complete(tenant, report, call, status, total)) return;
    update_bucket(tenant, report, call, total, now);
    if (call.kind != CounterCallKind::kRead) return;
    tenant.others_demand = count_of(tenant).others_demand(total, call.reported);
    tenant.others_known = true;
    context_.shares.grant(tenant, now);
}

// Whether the total can be used: the call succeeded, and the count includes all that this gateway reported.
// The amount of a failed call, and amounts that the counter lost, are reported again with the next call.
// After a timeout it is unknown whether the amount was added; it is assumed so until a later total shows
// otherwise.
bool DemandReports::is_complete(Tenant& tenant, IntervalReport& report, const CounterCall& call,
                                CounterStatus status, double total) const {
    const bool is_read = call.kind == CounterCallKind::kRead;
    const bool succeeded = status == CounterStatus::kOk;
    if (!succeeded && status != CounterStatus::kTimeout) report.reported -= call.amount;
    if (!succeeded && is_read) tenant.last_read_interval = -1;
    if (!succeeded || !std::isfinite(total)) return false;
    if (is_read) tenant.last_known_interval = call.interval;
    if (total <= 0) return false;
    const double lost = DemandCount::is_at_most(call.reported, total) ? 0 : call.reported - total;
    report.reported -= lost;
    return lost <= 0;
}

void DemandReports::update_bucket(Tenant& tenant, IntervalReport& report, const CounterCall& call,
                                  double total, Timestamp now) {
    const bool is_previous_interval = call.interval == tenant.interval - 1;
    const RatePlanSettings& plan = context_.schedule.plan_of(tenant);
    const DemandCount count = count_of(tenant);
    // The level of a bucket that was full at the start of the interval.
    const double full_level =
        plan.burst + plan.rate * to_seconds(now - context_.schedule.start_of(tenant, tenant.interval));
    context_.bucket.refill(tenant, now);
    if (DemandCount::includes_bucket_deficit(total)) {  // the same for all gateways
        const double spent_since = is_previous_interval
                                       ? tenant.current.spent + tenant.current.spent_by_others -
                                             context_.schedule.refill_per_interval(tenant)
                                       : 0;
        tenant.bucket_level =
            full_level - count.bucket_deficit(total) - (report.spent - call.reported_spent) - spent_since;
    } else {
        const double others_spent = count.others_spent(total, call.reported);
        tenant.bucket_level -= others_spent - std::exchange(report.spent_by_others, others_spent);
    }
    tenant.bucket_level = std::min(tenant.bucket_level, plan.burst);
    // The first gateway to report also reports the bucket's deficit at the start of the interval, if it knows
    // the final total of the previous interval.
    const bool is_first =
        !is_previous_interval && report.bucket_deficit < 0 && DemandCount::is_at_most(total, call.reported);
    if (is_first && context_.schedule.has_shared_bucket(tenant) &&
        tenant.last_known_interval >= tenant.interval - 1) {
        report.bucket_deficit = std::max(0.0, full_level - tenant.bucket_level - report.spent);
        this->report(call.tenant, tenant, now);
    }
}

}  // namespace linnetlead::policy
