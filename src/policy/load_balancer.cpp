#include "policy/load_balancer.h"

#include <algorithm>
#include <utility>

namespace linnetlead::policy {

namespace {

constexpr int kEndpointsCompared = 5;
constexpr int kMaxDraws = 40;  // to find that many usable ones
// An endpoint of another zone is preferred only if its expected wait is shorter by more than this factor.
constexpr double kOtherZoneFactor = 1.05;

}  // namespace

Endpoint* LoadBalancer::select(OpenRequest& request, Timestamp now) {
    const bool has_capacity = std::exchange(request.has_capacity, false);
    if (!has_capacity && !context_.limiter.has_capacity(request.traffic_class)) return nullptr;
    const PoolSet pools = request.attempts.empty() ? request.pools : request.fallback;
    Endpoint* const endpoint = select_from(request, pools, now);
    return endpoint || pools == request.fallback ? endpoint : select_from(request, request.fallback, now);
}

// An endpoint in slow start is used with the probability of its slow-start share, so that the share holds for
// any number of gateways. Otherwise another endpoint is selected, or the request is rejected.
Endpoint* LoadBalancer::select_from(const OpenRequest& request, PoolSet pools, Timestamp now) {
    if (Endpoint* const probed = select_probed(request, pools, now)) return probed;
    Endpoint* const best = select_drawn(request, pools, now, true);
    if (best && context_.random.uniform() >= context_.slow_start.share(*best, now)) {
        return select_drawn(request, pools, now, false);
    }
    return best;
}

Endpoint* LoadBalancer::select_probed(const OpenRequest& request, PoolSet pools, Timestamp now) {
    const auto& healthy = context_.probes.healthy_endpoints(now);
    Endpoint* best = nullptr;
    std::size_t best_index = 0;
    double shortest_wait = 0;
    for (std::size_t i = 0; i < healthy.size(); ++i) {
        Endpoint* const endpoint = context_.endpoints.find(healthy[i].id);
        if (!endpoint || !is_usable(*endpoint, request, now)) continue;
        if ((endpoint->info.pools & pools) == 0) continue;
        const double wait = expected_wait(*endpoint, request.traffic_class, now);
        if (!best || wait < shortest_wait) {
            best = endpoint;
            best_index = i;
            shortest_wait = wait;
        }
    }
    if (best) context_.probes.consume(best_index);
    return best;
}

Endpoint* LoadBalancer::select_drawn(const OpenRequest& request, PoolSet pools, Timestamp now,
                                     bool include_warming) {
    const Candidates& candidates = context_.pools.candidates(pools);
    if (candidates.endpoints.empty()) return nullptr;
    Endpoint* best = nullptr;
    double shortest_wait = 0;
    int compared = 0;
    for (int draws = 0; draws < kMaxDraws && compared < kEndpointsCompared; ++draws) {
        Endpoint& endpoint = context_.pools.draw(candidates);
        if (context_.random.uniform() * candidates.max_weight > endpoint.weight()) continue;
        if (!include_warming && context_.slow_start.share(endpoint, now) < 1) continue;
        if (!is_usable(endpoint, request, now)) continue;
        ++compared;
        const double wait = expected_wait(endpoint, request.traffic_class, now);
        if (!best || wait < shortest_wait) {
            best = &endpoint;
            shortest_wait = wait;
        }
    }
    return best;
}

bool LoadBalancer::is_usable(const Endpoint& endpoint, const OpenRequest& request, Timestamp now) const {
    const bool tried =
        std::any_of(request.attempts.begin(), request.attempts.end(),
                    [&](const Attempt& attempt) { return attempt.endpoint == endpoint.info.id; });
    if (tried || !endpoint.is_in_service() || context_.detector.is_ejected(endpoint, now)) return false;
    const double limit = context_.limiter.limit(endpoint) * context_.slow_start.share(endpoint, now);
    if (static_cast<double>(endpoint.in_flight.size()) >= std::max(1.0, limit)) return false;
    return context_.rules.may_send(request, endpoint, now);
}

// In multiples of the duration of one attempt. Endpoints are already drawn by weight. If the absolute weight
// were used here too, the largest endpoints would get the attempts of hundreds of gateways at once.
double LoadBalancer::expected_wait(const Endpoint& endpoint, int traffic_class, Timestamp now) const {
    const double relative_weight = endpoint.weight() / context_.endpoints.mean_weight();
    const double attempts = static_cast<double>(endpoint.in_flight.size()) / relative_weight /
                                context_.slow_start.share(endpoint, now) +
                            1;
    return attempts / context_.detector.success_probability(endpoint, traffic_class, now) *
           (endpoint.info.zone == context_.settings.zone ? 1 : kOtherZoneFactor);
}

}  // namespace linnetlead::policy
