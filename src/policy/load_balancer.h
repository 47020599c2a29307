// Selects the endpoint for each attempt.
//
// A few endpoints are drawn at random by weight, and the one with the shortest expected wait is selected. The
// cost of a selection therefore does not depend on the number of endpoints, and gateways do not all select
// the same endpoint.
#pragma once

#include "linnetlead/policy.h"
#include "policy/attempt_rules.h"
#include "policy/concurrency_limiter.h"
#include "policy/endpoint_pools.h"
#include "policy/endpoint_set.h"
#include "policy/open_request.h"
#include "policy/outlier_detector.h"
#include "policy/probe_pool.h"
#include "policy/random_source.h"
#include "policy/slow_start.h"

namespace linnetlead::policy {

class LoadBalancer {
public:
    struct Context {
        const Settings& settings;
        const OutlierDetector& detector;
        const SlowStart& slow_start;
        const AttemptRules& rules;
        ConcurrencyLimiter& limiter;
        EndpointSet& endpoints;
        EndpointPools& pools;
        ProbePool& probes;
        RandomSource& random;
    };
    explicit LoadBalancer(const Context& context) : context_(context) {}

    // Returns the endpoint for the request's next attempt, or nullptr if there is no capacity or no usable
    // endpoint. The first attempt goes to the request's pools, or to its fallback pools if no endpoint of the
    // former is usable. Further attempts go to the fallback pools.
    Endpoint* select(OpenRequest& request, Timestamp now);

private:
    Endpoint* select_from(const OpenRequest& request, PoolSet pools, Timestamp now);
    Endpoint* select_probed(const OpenRequest& request, PoolSet pools, Timestamp now);
    Endpoint* select_drawn(const OpenRequest& request, PoolSet pools, Timestamp now, bool include_warming);
    bool is_usable(const Endpoint& endpoint, const OpenRequest& request, Timestamp now) const;
    double expected_wait(const Endpoint& endpoint, int traffic_class, Timestamp now) const;

    Context context_;
};

}  // namespace linnetlead::policy
