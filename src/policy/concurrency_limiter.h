// Adaptive limit on attempts in flight, per endpoint and over all endpoints.
//
// Prevents congestion collapse: endpoints that get more than they can answer in time answer everything late,
// and their work is wasted. Each late answer lowers a limit. Each other answer raises it, if the limit is in
// use. The limit settles where a small share of the answers is late. All limits are for attempts of this
// gateway alone.
#pragma once

#include "linnetlead/policy.h"
#include "policy/endpoint.h"
#include "policy/endpoint_set.h"
#include "policy/random_source.h"
#include "policy/traffic_statistics.h"

namespace linnetlead::policy {

class ConcurrencyLimiter {
public:
    ConcurrencyLimiter(const Settings& settings, const EndpointSet& endpoints,
                       const TrafficStatistics& statistics, RandomSource& random)
        : settings_(settings), endpoints_(endpoints), statistics_(statistics), random_(random) {}

    // Sets the endpoint's limit to the initial one.
    void reset(Endpoint& endpoint) const;
    // Must be called after endpoints have entered or left service.
    void on_endpoints_changed();

    // Whether there is capacity for one more request of this class. Must be called once for each request,
    // since it also updates the moving average of attempts in flight. Draws a random number if that average
    // exceeds the limit.
    bool has_capacity(int traffic_class);
    // Adapts the limits to an answer, or to an attempt that failed because of overload.
    void adapt(Endpoint& endpoint, bool late);
    // Whether an answer is slow enough to lower the limits. This is well before it misses its objective.
    bool is_late(int traffic_class, Duration latency) const;

    // Limit on attempts in flight at the endpoint, and at all endpoints together.
    double limit(const Endpoint& endpoint) const { return endpoint.concurrency_limit * fleet_multiplier_; }
    double total_limit() const { return sum_of_limits_ * fleet_multiplier_; }
    // Whether the demand exceeds the limit by so much that a retry would hardly find capacity either.
    bool is_overloaded() const;

private:
    double relative_value(int traffic_class);
    bool is_used(const Endpoint& endpoint) const;

    const Settings& settings_;
    const EndpointSet& endpoints_;
    const TrafficStatistics& statistics_;
    RandomSource& random_;
    double fleet_multiplier_ = 1;  // applied to the limits of all endpoints
    double sum_of_limits_ = 0;     // endpoints in service, without the multiplier
    double mean_in_flight_ = 0;    // moving average over requests of the attempts in flight
    double mean_value_per_s_ = 0;  // moving average of priority weight per second of endpoint time
};

}  // namespace linnetlead::policy
