// Detects endpoints that fail, alone or together with their failure domain, and ejects endpoints that reject
// everything for a limited time.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "linnetlead/policy.h"
#include "policy/endpoint.h"
#include "policy/endpoint_set.h"

namespace linnetlead::policy {

class OutlierDetector {
public:
    explicit OutlierDetector(const Settings& settings) : settings_(settings) {}

    // Clears the endpoint's failure history, because a new process has started there.
    void reset(Endpoint& endpoint) const;
    // Assigns the failure domains of the endpoint's kind and zone.
    void assign_domains(Endpoint& endpoint);

    // Records an attempt's outcome for the endpoint and for its failure domains.
    void record(Endpoint& endpoint, int traffic_class, bool failed, Timestamp now) const;
    // Records that the endpoint rejected an attempt. Returns true if this ejects the endpoint.
    bool record_rejection(Endpoint& endpoint, Timestamp now) const;
    void record_success(Endpoint& endpoint) const { endpoint.consecutive_rejections = 0; }

    // The load balancer's estimate of the probability that an attempt succeeds. It is above 0 and at most 1.
    // Failures weigh more for classes that may not be retried.
    double success_probability(const Endpoint& endpoint, int traffic_class, Timestamp now) const;
    bool is_ejected(const Endpoint& endpoint, Timestamp now) const { return now < endpoint.ejected_until; }
    // Endpoints in service that are ejected now.
    std::size_t ejected_count(const EndpointSet& endpoints, Timestamp now) const;

private:
    const Settings& settings_;
    // By name of a zone or kind, then by traffic class. Endpoints keep pointers to the values, so entries are
    // never removed.
    std::map<std::string, std::vector<FailureAverage>> domains_;
};

}  // namespace linnetlead::policy
