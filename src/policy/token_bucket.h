// This gateway's view of the token bucket of a tenant's rate quota.
//
// All gateways share one bucket. Its local copy refills as if the other gateways spent nothing, until the
// counter reports what they spent (DemandReports). All amounts are in units.
#pragma once

#include "linnetlead/policy.h"
#include "policy/open_request.h"
#include "policy/quota_schedule.h"

namespace linnetlead::policy {

class TokenBucket {
public:
    TokenBucket(const Settings& settings, const QuotaSchedule& schedule)
        : settings_(settings), schedule_(schedule) {}

    // Adds the refill up to `now`. The level may exceed the burst until the other gateways' use is known.
    void refill(Tenant& tenant, Timestamp now) const;
    // Units available at `now`, at most the burst.
    double available(const Tenant& tenant, Timestamp now) const;
    // Takes units, or returns them if negative. The level may become negative.
    void spend(Tenant& tenant, double units, Timestamp now) const;
    // Returns the units that the request holds, if any. The request then holds none.
    void return_units(Tenant& tenant, OpenRequest& request, Timestamp now) const;

private:
    const Settings& settings_;
    const QuotaSchedule& schedule_;
};

}  // namespace linnetlead::policy
