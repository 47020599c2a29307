// Counter calls for tenants whose even quota share is below one request (QuotaSchedule::is_sampled).
//
// A request adds its tenant's demand to the counter and waits for the total, from which every gateway
// computes the same admission probability. Requests skip this while the last total is recent, and a part of
// them while the counter is slow.
#pragma once

#include <string>

#include "linnetlead/policy.h"
#include "policy/open_request.h"
#include "policy/quota_schedule.h"
#include "policy/random_source.h"
#include "policy/shared_counter.h"

namespace linnetlead::policy {

class SampledReads {
public:
    SampledReads(const Settings& settings, const QuotaSchedule& schedule, SharedCounter& counter,
                 RandomSource& random)
        : settings_(settings), schedule_(schedule), counter_(counter), random_(random) {}

    // Reports the demand and reads the total. Returns true if a call was made; the request then waits for the
    // reply.
    bool read(const std::string& name, Tenant& tenant, RequestId id, Timestamp due, Timestamp now);
    // Updates the admission probability from the total of such a call.
    void on_total(Tenant& tenant, const CounterCall& call, double total, Timestamp now) const;
    // Subtracts the report of a request that was rejected after its read, under a limit on concurrent
    // attempts.
    void withdraw(const OpenRequest& request, const Tenant& tenant, Timestamp now);

private:
    const Settings& settings_;
    const QuotaSchedule& schedule_;
    SharedCounter& counter_;
    RandomSource& random_;
};

}  // namespace linnetlead::policy
