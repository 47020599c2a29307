// The usual latency of requests, with which HealthEvidence compares each attempt: a running median for each
// endpoint kind, traffic class and request size, and the current deviation that all endpoints share. The
// shared deviation is subtracted, since a slowdown of all endpoints is no fault of one of them. No I/O and no
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::health {

using EndpointId = policy::EndpointId;

class LatencyBaseline {
public:
    // Returns ln(latency / usual latency) of this request, less the deviation that all endpoints share; 0 if
    // no usual latency is known yet. Adds the request to the baseline.
    double log_slowness(const std::string& kind, int traffic_class, double units, double latency_s,
                        const EndpointId& endpoint);

private:
    static constexpr std::size_t kMaxMedians = 256;
    static constexpr std::size_t kRecentRequests = 48;
    static constexpr int kCommonUpdateRequests = 8;  // between updates of common_
    struct Median {
        double value = 0;  // of ln(latency in seconds)
        double step = 0;   // change by the next request
        std::uint64_t requests = 0;
    };
    struct Recent {
        double log_slowness = 0;
        std::size_t endpoint_hash = 0;
    };
    Median* median_for(const std::string& kind, int traffic_class, double units);
    void add_recent(const Recent& recent);
    void update_common();

    std::map<std::tuple<std::string, int, int>, Median> medians_;  // by kind, class and size
    std::vector<Recent> recent_;                                   // ring buffer, over all endpoints
    std::size_t next_recent_ = 0;
    int requests_since_update_ = 0;
    double common_ = 0;  // log slowness that all endpoints share, as of the last update
};

}  // namespace linnetlead::health
