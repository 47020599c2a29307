// Rules for what may be retried and what may be rejected. No other file decides this.
//
// A request of a non-idempotent class must not run twice. A request that may have run is rejected only if a
// retry by the client does no harm; otherwise it fails. A keyed request may run again within its key window,
// and within the zone or cell where its key is known.
#pragma once

#include "linnetlead/policy.h"
#include "policy/endpoint_set.h"
#include "policy/open_request.h"

namespace linnetlead::policy {

class AttemptRules {
public:
    AttemptRules(const Settings& settings, const EndpointSet& endpoints)
        : settings_(settings), endpoints_(endpoints) {}

    // Whether an attempt may be sent to this endpoint now.
    bool may_send(const OpenRequest& request, const Endpoint& target, Timestamp now) const;
    // Whether the request may be answered with a rejection. Otherwise it has to fail.
    bool may_reject(const OpenRequest& request) const;

private:
    const TrafficClassSettings& class_of(const OpenRequest& request) const;
    bool may_repeat(const Attempt& earlier, const TrafficClassSettings& traffic_class, const Endpoint& target,
                    Timestamp now) const;
    bool knows_key(const Attempt& earlier, KeyScope scope, const Endpoint& target) const;

    const Settings& settings_;
    const EndpointSet& endpoints_;
};

}  // namespace linnetlead::policy
