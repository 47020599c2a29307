// Reserves the units of single requests on the shared counter.
//
// While enough of the token bucket is left, requests within the gateway's quota share are admitted without a
// counter call. When less is left, or a request does not fit the share, its units are reserved on the counter
// before it is admitted. So units that one gateway leaves unused can be used at another. RequestLifecycle
// calls reserve() when a request arrives and on_reply() when the counter has replied.
#pragma once

#include "linnetlead/policy.h"
#include "policy/admission_control.h"
#include "policy/concurrency_limiter.h"
#include "policy/demand_reports.h"
#include "policy/hard_cap.h"
#include "policy/open_request.h"
#include "policy/quota_schedule.h"
#include "policy/random_source.h"
#include "policy/shared_counter.h"
#include "policy/token_bucket.h"

namespace linnetlead::policy {

class Reservations {
public:
    struct Context {
        const Settings& settings;
        const QuotaSchedule& schedule;
        const TokenBucket& bucket;
        const HardCap& hard_cap;
        SharedCounter& counter;
        DemandReports& reports;
        AdmissionControl& admission;
        ConcurrencyLimiter& limiter;
        RandomSource& random;
    };
    explicit Reservations(const Context& context) : context_(context) {}

    // Called for a newly arrived request. Returns true if it has to wait for the counter's reply; it then
    // holds its units. Returns false if it need not wait: quota_decision is then set, or still kUndecided,
    // and AdmissionControl decides.
    bool reserve(Tenant& tenant, OpenRequest& request, RequestId id, Timestamp now);
    // Sets quota_decision after the reply to the request's reservation.
    void on_reply(Tenant& tenant, OpenRequest& request, CounterStatus status, Timestamp now);

private:
    static bool is_new_tenant(const Tenant& tenant);

    Context context_;
};

}  // namespace linnetlead::policy
