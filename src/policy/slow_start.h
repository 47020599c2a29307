// Slow start: limits a newly started endpoint to a growing share of its capacity.
#pragma once

#include "linnetlead/policy.h"
#include "policy/endpoint.h"

namespace linnetlead::policy {

class SlowStart {
public:
    explicit SlowStart(const Settings& settings) : settings_(settings) {}

    // Grows linearly from the initial share at the endpoint's start to 1 at the end of the slow-start window.
    // 1 if the start time is unknown or before the window.
    double share(const Endpoint& endpoint, Timestamp now) const;

private:
    const Settings& settings_;
};

}  // namespace linnetlead::policy
