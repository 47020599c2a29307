// Token budget for retries: each first attempt adds a part of a token, and each retry takes one, except a
// retry after a failed connect.
//
// Prevents retry storms: endpoints that fail under load would get even more load from retries. Over time at
// most a fixed share of the first attempts is retried.
#pragma once

#include <algorithm>

#include "linnetlead/policy.h"

namespace linnetlead::policy {

class RetryBudget {
public:
    explicit RetryBudget(const Settings& settings) : settings_(settings) {}

    void on_first_attempt() {
        const double capacity = std::max(1.0, kTotalCapacity / settings_.gateways);
        tokens_ = std::min(capacity, tokens_ + kTokensPerFirstAttempt);
    }
    bool has_token() const { return tokens_ >= 1; }
    void spend() { tokens_ -= 1; }

private:
    static constexpr double kTokensPerFirstAttempt = 0.1;  // one retry for ten first attempts
    // Sum over all gateways; each has at least one. A fixed capacity per gateway would allow thousands of
    // retries at once with hundreds of gateways.
    static constexpr double kTotalCapacity = 20;  // tokens

    const Settings& settings_;
    double tokens_ = 1;
};

}  // namespace linnetlead::policy
