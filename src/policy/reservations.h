// Reserves the units of single requests on the shared counter.
//
// While much of the token bucket is left, requests within the gateway's quota share are admitted without a
// counter call. When the bucket is nearly empty, or the share rejects a request, the units are reserved on
// the counter before the request is admitted. So units that one gateway leaves unused can be used at another.
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

    // Decides on a newly arrived request, or reserves its units. Returns true if the request has to wait for
    // the counter's reply; it then holds the units. Otherwise its quota_decision may have been set.
    bool reserve(Tenant& tenant, OpenRequest& request, RequestId id, Timestamp now);
    // Decides on a request after the reply to its reservation.
    void on_reply(Tenant& tenant, OpenRequest& request, CounterStatus status, Timestamp now);

private:
    static bool is_new_tenant(const Tenant& tenant);

    Context context_;
};

}  // namespace linnetlead::policy
