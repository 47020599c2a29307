// Computes the part of a tenant's units that this gateway may admit in an interval.
#pragma once

#include "linnetlead/policy.h"
#include "policy/quota_schedule.h"
#include "policy/token_bucket.h"

namespace linnetlead::policy {

class QuotaShares {
public:
    QuotaShares(const QuotaSchedule& schedule, const TokenBucket& bucket)
        : schedule_(schedule), bucket_(bucket) {}

    // Sets the units granted and this gateway's share for the current interval. Called at its start, and
    // again when the demand of the other gateways becomes known.
    void grant(Tenant& tenant, Timestamp now) const;

private:
    const QuotaSchedule& schedule_;
    const TokenBucket& bucket_;
};

}  // namespace linnetlead::policy
