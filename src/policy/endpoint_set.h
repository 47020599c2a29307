// The endpoints known to this gateway, and the attempts that occupy them.
#pragma once

#include <map>

#include "linnetlead/policy.h"
#include "policy/endpoint.h"

namespace linnetlead::policy {

// An endpoint that is no longer listed stays in the set while an attempt occupies it.
class EndpointSet {
public:
    // Ordered by id, since the load balancer's random draws depend on the order. Addresses are stable.
    std::map<EndpointId, Endpoint>& all() { return endpoints_; }
    const std::map<EndpointId, Endpoint>& all() const { return endpoints_; }
    // Returns nullptr for an unknown endpoint.
    Endpoint* find(const EndpointId& id);
    const Endpoint* find(const EndpointId& id) const;

    // Marks the endpoint as occupied by an attempt, until release() is called with the same send time.
    void occupy(Endpoint& endpoint, Timestamp sent_at);
    void release(const EndpointId& id, Timestamp sent_at);

    // Must be called after each change of the list: removes endpoints that are neither listed nor occupied,
    // and recomputes the totals below.
    void prune_and_recount();

    // Number of endpoints in service, and of this gateway's attempts that occupy them.
    double in_service_count() const { return in_service_count_; }
    double attempts_in_flight() const { return attempts_in_flight_; }
    // Mean weight of the endpoints in service.
    double mean_weight() const { return mean_weight_; }

private:
    std::map<EndpointId, Endpoint> endpoints_;
    double in_service_count_ = 0;
    double attempts_in_flight_ = 0;
    double mean_weight_ = 1;
};

}  // namespace linnetlead::policy
