#include "policy/endpoint_pools.h"

#include <algorithm>

namespace linnetlead::policy {

const Candidates& EndpointPools::candidates(PoolSet pools) {
    const auto [it, is_new] = candidates_.try_emplace(pools);
    Candidates& candidates = it->second;
    if (!is_new) return candidates;
    for (auto& [id, endpoint] : endpoints_.all()) {
        if (!endpoint.is_in_service() || (endpoint.info.pools & pools) == 0) continue;
        candidates.endpoints.push_back(&endpoint);
        candidates.max_weight = std::max(candidates.max_weight, endpoint.weight());
    }
    return candidates;
}

Endpoint& EndpointPools::draw(const Candidates& candidates) {
    const auto size = static_cast<double>(candidates.endpoints.size());
    return *candidates.endpoints[static_cast<std::size_t>(random_.uniform() * size)];
}

}  // namespace linnetlead::policy
