#include "policy/reservations.h"

namespace linnetlead::policy {

namespace {

constexpr double kReservedShareOfBurst = 0.5;  // with less in the bucket, each request reserves its units
constexpr int kMinTimeoutsLeft = 2;            // counter timeouts; a request with less time left doesn't wait

}  // namespace

// Whether the tenant's first request here arrived in the current interval, so that the others' earlier use is
// only assumed.
bool Reservations::is_new_tenant(const Tenant& tenant) {
    return tenant.first_seen_interval == tenant.interval;
}

bool Reservations::reserve(Tenant& tenant, OpenRequest& request, RequestId id, Timestamp now) {
    if (!context_.schedule.has_shared_bucket(tenant) || context_.counter.is_unreachable(now) ||
        request.due - now < context_.settings.counter_timeout * kMinTimeoutsLeft) {
        return false;
    }
    if (context_.random.uniform() > context_.counter.sampling_share()) return false;
    const double left = context_.bucket.available(tenant, now) - request.units;
    const double reserved = kReservedShareOfBurst * context_.schedule.plan_of(tenant).burst;
    const double unreported_units = tenant.current.spent - tenant.current.reported_spent + request.units;
    const bool has_ample_units = left >= reserved && unreported_units <= reserved / tenant.gateway_set_size;
    request.has_capacity = left >= 0 && context_.hard_cap.allows(tenant, request.units, now) &&
                           context_.limiter.has_capacity(request.traffic_class);
    if (!request.has_capacity) {
        request.quota_decision = QuotaDecision::kRejected;
        return false;
    }
    if (has_ample_units && context_.admission.admits_by_share(tenant, request.units, false, now)) {
        request.quota_decision = QuotaDecision::kAdmitted;
        return false;
    }
    const bool previous_known = tenant.last_known_interval >= tenant.interval - 1;
    const Timestamp start = context_.schedule.start_of(tenant, tenant.interval);
    if (!previous_known && now - start > context_.settings.counter_timeout) {
        context_.reports.read_total(request.tenant, tenant, now);
    } else if (!previous_known && is_new_tenant(tenant)) {
        // The bucket must not be assumed full a second time: what the others spent before this interval
        // becomes known only when their reports have arrived.
        request.quota_decision = QuotaDecision::kRejected;
        return false;
    }
    context_.bucket.spend(tenant, request.units, now);
    request.holds_units = true;
    if (context_.reports.report(request.tenant, tenant, now, id)) return true;
    context_.bucket.return_units(tenant, request, now);
    return false;
}

// Without a successful reply the request is admitted only within this gateway's share. While the counter is
// unreachable, the decision is left to AdmissionControl as for a request without a reservation.
void Reservations::on_reply(Tenant& tenant, OpenRequest& request, CounterStatus status, Timestamp now) {
    const bool fits = context_.bucket.available(tenant, now) >= 0 &&
                      (status == CounterStatus::kOk || tenant.current.spent <= tenant.quota_share);
    if (!fits) {
        request.quota_decision = QuotaDecision::kRejected;
    } else if (context_.counter.is_unreachable(now)) {
        request.quota_decision = QuotaDecision::kUndecided;
    } else {
        request.quota_decision = QuotaDecision::kAdmitted;
    }
    if (request.quota_decision != QuotaDecision::kAdmitted)
        context_.bucket.return_units(tenant, request, now);
    if (!fits) context_.reports.report(request.tenant, tenant, now);
}

}  // namespace linnetlead::policy
