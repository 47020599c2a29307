// Sends health-check probes, and keeps the endpoints that have answered one recently.
//
// One of hundreds of gateways sends too few attempts to each endpoint to detect a full, slow or dead one
// before the list reports it. It therefore probes endpoints drawn at random and prefers those that answer.
// This is harmful if endpoints answer probes while their request queues are full.
#pragma once

#include <cstddef>
#include <deque>

#include "linnetlead/policy.h"
#include "policy/concurrency_limiter.h"
#include "policy/endpoint_pools.h"
#include "policy/endpoint_set.h"
#include "policy/random_source.h"
#include "policy/slow_start.h"

namespace linnetlead::policy {

struct ProbedEndpoint {
    EndpointId id;
    Timestamp answered_at{};
    int attempts_left = 0;
};

class ProbePool {
public:
    struct Context {
        const Settings& settings;
        const ConcurrencyLimiter& limiter;
        const SlowStart& slow_start;
        EndpointSet& endpoints;
        EndpointPools& pools;
        RandomSource& random;
        Actions& actions;
    };
    explicit ProbePool(const Context& context) : context_(context) {}

    // Must be called for each attempt sent. Probes a random endpoint with a fixed probability.
    void on_attempt_sent(Timestamp now);
    void on_result(Timestamp now, const EndpointId& id, Outcome outcome);

    // Endpoints with a recent successful probe, oldest first.
    const std::deque<ProbedEndpoint>& healthy_endpoints(Timestamp now);
    // Counts an attempt against the entry with this index in healthy_endpoints().
    void consume(std::size_t index);

private:
    Context context_;
    std::deque<ProbedEndpoint> healthy_endpoints_;
};

}  // namespace linnetlead::policy
