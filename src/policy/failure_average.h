// Exponentially weighted moving average of the share of failed attempts.
#pragma once

#include <cmath>

#include "policy/seconds.h"

namespace linnetlead::policy {

// The average decays with time as well as with attempts. An endpoint that gets no attempts because of
// failures is therefore tried again without a timer.
struct FailureAverage {
    double share = 0;  // at `updated_at`
    Timestamp updated_at{};

    double at(Timestamp now, double decay_s) const {
        return share * std::exp(-to_seconds(now - updated_at) / decay_s);
    }
    void add(bool failed, double gain, Timestamp now, double decay_s) {
        const double before = at(now, decay_s);
        share = before + gain * ((failed ? 1 : 0) - before);
        updated_at = now;
    }
};

}  // namespace linnetlead::policy
