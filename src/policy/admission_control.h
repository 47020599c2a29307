// Decides whether a request is within its tenant's quotas: the hard cap, the limit on concurrent attempts and
// the gateway's share of the rate. Called by RequestLifecycle and Reservations.
#pragma once

#include "linnetlead/policy.h"
#include "policy/concurrency_quota.h"
#include "policy/hard_cap.h"
#include "policy/open_request.h"
#include "policy/quota_schedule.h"
#include "policy/random_source.h"
#include "policy/shared_counter.h"

namespace linnetlead::policy {

class AdmissionControl {
public:
    AdmissionControl(const QuotaSchedule& schedule, const HardCap& hard_cap, ConcurrencyQuota& concurrency,
                     const SharedCounter& counter, RandomSource& random)
        : schedule_(schedule),
          hard_cap_(hard_cap),
          concurrency_(concurrency),
          counter_(counter),
          random_(random) {}

    // Checks all quotas. Where a reservation has already decided on the rate quota, its decision is used.
    bool admits(Tenant& tenant, const OpenRequest& request, Timestamp now);
    // Probabilistic admission: the probability is the units left divided by the units expected in the rest of
    // the interval. Rejections are thereby spread over the interval and over all clients, and do not all fall
    // on the end of the interval. reported: this request was added to the shared counter.
    bool admits_by_share(const Tenant& tenant, double units, bool reported, Timestamp now);

private:
    bool admits_sampled(const Tenant& tenant, bool reported, Timestamp now);

    const QuotaSchedule& schedule_;
    const HardCap& hard_cap_;
    ConcurrencyQuota& concurrency_;
    const SharedCounter& counter_;
    RandomSource& random_;
};

}  // namespace linnetlead::policy
