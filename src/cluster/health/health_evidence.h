// Statistics of one gateway's own attempts at each endpoint, as decaying sums: attempts, failures, and how
// much slower than usual the successful attempts were. SharedHealth feeds it and reports it to the keepers.
// No I/O and no clock: the caller passes the time.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/health/latency_baseline.h"
#include "linnetlead/policy.h"

namespace linnetlead::health {

using policy::Duration;
using policy::Timestamp;

// Exponentially decaying sums (forward decay, Cormode et al., 2009): valid at the time `at`, halved with
// every kHalfLife after it.
struct DecayingStats {
    Timestamp at{};
    double attempts = 0;
    double failures = 0;      // failed attempts
    double answered = 0;      // successful attempts; only their latency is evaluated
    double log_slowness = 0;  // sum over the successful attempts of ln(latency / usual latency)

    // Decays the sums to `now`; does nothing if `now` is before `at`.
    void decay_to(Timestamp now);
    DecayingStats decayed_to(Timestamp now) const;
};
constexpr Duration kHalfLife = std::chrono::seconds(3);

class HealthEvidence {
public:
    // Adds or updates an endpoint of the list. A new start time resets its statistics.
    void set_endpoint(const EndpointId& endpoint, const std::string& kind, Timestamp started);
    void remove(const EndpointId& endpoint);

    // Records the end of an attempt. Rejected attempts are ignored, since they show load and not health; so
    // are attempts that were cancelled or not sent.
    void on_attempt_end(Timestamp now, const EndpointId& endpoint, int traffic_class, double units,
                        policy::Outcome outcome, Duration latency);
    // Null if the endpoint is not listed.
    const DecayingStats* stats(const EndpointId& endpoint) const;

    // Returns up to `limit` endpoints whose statistics have changed, the latest change first, and clears
    // their change marks.
    std::vector<EndpointId> take_changed(std::size_t limit);
    void mark_changed(const EndpointId& endpoint);
    std::size_t size() const { return endpoints_.size(); }
    template <typename Act>
    void for_each(Act act) const {
        for (const auto& [id, endpoint] : endpoints_) act(id, endpoint.stats);
    }

private:
    struct Endpoint {
        std::string kind;
        Timestamp started{};
        DecayingStats stats;
        bool changed = false;
    };
    std::unordered_map<EndpointId, Endpoint> endpoints_;  // the listed endpoints
    std::vector<EndpointId> changed_;  // in order of change, latest last; each endpoint once
    LatencyBaseline baseline_;
};

}  // namespace linnetlead::health
