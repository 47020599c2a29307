// The state that this gateway keeps for one endpoint.
#pragma once

#include <algorithm>
#include <array>
#include <set>
#include <vector>

#include "linnetlead/policy.h"
#include "policy/failure_average.h"

namespace linnetlead::policy {

struct Endpoint {
    EndpointInfo info;
    bool listed = true;
    FailureAverage failures;
    // Failure averages of its two failure domains (kind and zone), by traffic class. Owned by
    // OutlierDetector.
    std::array<std::vector<FailureAverage>*, 2> failure_domains{};
    std::multiset<Timestamp> in_flight;  // send times of the attempts that occupy it
    double concurrency_limit = 1;        // attempts from this gateway, without the fleet multiplier
    bool probe_in_flight = false;
    int consecutive_rejections = 0;  // of attempts, without a success in between
    Timestamp ejected_until{};

    bool is_in_service() const { return listed && info.state == EndpointState::kInService; }
    double weight() const {
        constexpr double kMinWeight = 1e-6;  // weights are used as divisors
        return std::max(info.weight, kMinWeight);
    }
};

}  // namespace linnetlead::policy
