#include "policy/reservations.h"

namespace linnetlead::policy {

namespace {

// Share of the burst. With less than this left in the bucket, each request reserves its units on the counter.
constexpr double kReservedShareOfBurst = 0.5;
constexpr int kMinTimeoutsLeft = 2;  // counter timeouts; a request with less time left doesn't wait

}  // namespace

// Whether the tenant's first request at this gateway arrived in the current interval. What the other
// gateways spent before is then only assumed, until the total of their reports has been read.
bool Reservations::is_new_tenant(const Tenant& tenant) {
    return tenant.first_seen_interval == tenant.interval;
}

bool Reservations::reserve(Tenant& tenant, OpenRequest& request, RequestId id, Timestamp now) {
    if (!context_.schedule.has_shared_bucket(tenant) || context_.counter.is_unreachable(now) ||
        request.due - now < context_.settings.counter_timeout * kMinTimeoutsLeft) {
        return false;
    }
    // While the counter is slow, only a part of the requests may wait for it.
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
        // The total of the previous interval may still lack reports of other gateways. If the bucket were
        // assumed full before then, units that the others have already spent would be granted again.
        request.quota_decision = QuotaDecision::kRejected;
        return false;
    }
    context_.bucket.spend(tenant, request.units, now);
    request.holds_units = true;
    if (context_.reports.report(request.tenant, tenant, now, id)) return true;
    // No call was made, because the counter is unreachable.
    context_.bucket.return_units(tenant, request, now);
    return false;
}

// Rejects the request if the bucket lacks its units, or if the counter call failed and the tenant has spent
// more than this gateway's quota share. Otherwise admits it, unless the counter is unreachable:
// AdmissionControl then decides as for a request without a reservation.
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
