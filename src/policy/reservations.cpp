#include "policy/reservations.h"

namespace linnetlead::policy {

namespace {

constexpr double kReservedPart =
    0.5;                             // of the bucket: what is left of it then is reserved request by request
constexpr int kMinTimeoutsLeft = 2;  // a request with less time than so many counter timeouts doesn't wait

}  // namespace

// Whether all that is known of what the others spent before this interval is presumed.
bool Reservations::is_just_met(const Tenant& tenant) { return tenant.first_interval == tenant.interval; }

bool Reservations::reserve(Tenant& tenant, OpenRequest& request, RequestId id, Timestamp now) {
    if (!context_.schedule.has_shared_bucket(tenant) || context_.counter.is_unreachable(now) ||
        request.due - now < context_.settings.counter_timeout * kMinTimeoutsLeft) {
        return false;
    }
    if (context_.random.uniform() > context_.counter.sampling_share()) return false;
    const double left = context_.bucket.available(tenant, now) - request.units;
    const double reserved = kReservedPart * context_.schedule.plan_of(tenant).burst;
    const double unreported = tenant.current.spent - tenant.current.reported_spent + request.units;
    const bool is_plenty = left >= reserved && unreported <= reserved / tenant.gateway_set_size;
    request.capacity_found = left >= 0 && context_.hard_cap.allows(tenant, request.units, now) &&
                             context_.limiter.has_capacity(request.traffic_class);
    if (!request.capacity_found) {
        request.quota_decision = QuotaDecision::kRejected;
        return false;
    }
    if (is_plenty && context_.admission.admits_by_share(tenant, request.units, false, now)) {
        request.quota_decision = QuotaDecision::kAdmitted;
        return false;
    }
    const bool previous_known = tenant.read_done >= tenant.interval - 1;
    const Timestamp start = context_.schedule.start_of(tenant, tenant.interval);
    if (!previous_known && now - start > context_.settings.counter_timeout) {
        context_.reports.read_total(request.tenant, tenant, now);
    } else if (!previous_known && is_just_met(tenant)) {
        // Against a bucket that is presumed full twice: what the others spent before this interval began is
        // told once their reports of it are in.
        request.quota_decision = QuotaDecision::kRejected;
        return false;
    }
    context_.bucket.spend(tenant, request.units, now);
    request.holds_units = true;
    if (context_.reports.report(request.tenant, tenant, now, id)) return true;
    context_.bucket.return_units(tenant, request, now);
    return false;
}

// Without an answer the request is admitted within this gateway's share, or decided on as if it had reserved
// nothing while the counter is unreachable.
void Reservations::on_reply(Tenant& tenant, OpenRequest& request, CounterStatus status, Timestamp now) {
    const bool fits = context_.bucket.available(tenant, now) >= 0 &&
                      (status == CounterStatus::kOk || tenant.current.spent <= tenant.quota_share);
    if (!fits) {
        request.quota_decision = QuotaDecision::kRejected;
    } else if (context_.counter.is_unreachable(now)) {
        request.quota_decision = QuotaDecision::kOpen;
    } else {
        request.quota_decision = QuotaDecision::kAdmitted;
    }
    if (request.quota_decision != QuotaDecision::kAdmitted)
        context_.bucket.return_units(tenant, request, now);
    if (!fits) context_.reports.report(request.tenant, tenant, now);
}

}  // namespace linnetlead::policy
