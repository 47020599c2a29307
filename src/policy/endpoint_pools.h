// Caches the endpoints in service for each set of pools, and draws random ones for the load balancer and the
// probe pool.
#pragma once

#include <unordered_map>
#include <vector>

#include "linnetlead/policy.h"
#include "policy/endpoint.h"
#include "policy/endpoint_set.h"
#include "policy/random_source.h"

namespace linnetlead::policy {

struct Candidates {
    std::vector<Endpoint*> endpoints;
    double max_weight = 0;
};

class EndpointPools {
public:
    EndpointPools(EndpointSet& endpoints, RandomSource& random) : endpoints_(endpoints), random_(random) {}

    // The endpoints in service of these pools. The reference is valid until clear().
    const Candidates& candidates(PoolSet pools);
    // Draws a candidate uniformly at random. There must be at least one.
    Endpoint& draw(const Candidates& candidates);
    // Must be called after each change of the endpoint list.
    void clear() { candidates_.clear(); }

private:
    EndpointSet& endpoints_;
    RandomSource& random_;
    std::unordered_map<PoolSet, Candidates> candidates_;
};

}  // namespace linnetlead::policy
