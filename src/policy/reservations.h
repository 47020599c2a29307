// Reservations of single requests' units on the shared counter.
//
// A quota share is used without asking while much of the token bucket is left. Near its end, and where the
// share rejects a request, its units are reserved on the counter before it is admitted: so what one gateway's
// share leaves unused is not rejected at another.
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

    // Decides on a request that has just arrived, or reserves its units. True where it has to wait for the
    // counter's reply; the units are then held by the request. Else its quota_decision may be set.
    bool reserve(Tenant& tenant, OpenRequest& request, RequestId id, Timestamp now);
    // Decides on a request whose reservation has been answered.
    void on_reply(Tenant& tenant, OpenRequest& request, CounterStatus status, Timestamp now);

private:
    static bool is_just_met(const Tenant& tenant);

    Context context_;
};

}  // namespace linnetlead::policy
