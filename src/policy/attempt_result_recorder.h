// Feeds the result of an attempt into the statistics, the outlier detector and the concurrency limiter.
#pragma once

#include "linnetlead/policy.h"
#include "policy/attempt_timeouts.h"
#include "policy/concurrency_limiter.h"
#include "policy/endpoint.h"
#include "policy/outlier_detector.h"
#include "policy/traffic_statistics.h"

namespace linnetlead::policy {

class AttemptResultRecorder {
public:
    AttemptResultRecorder(TrafficStatistics& statistics, const AttemptTimeouts& timeouts,
                          const OutlierDetector& detector, ConcurrencyLimiter& limiter)
        : statistics_(statistics), timeouts_(timeouts), detector_(detector), limiter_(limiter) {}

    // Records the result. Returns true if the outcome is a sign of overload.
    bool record(Endpoint& endpoint, int traffic_class, const AttemptResult& result, Timestamp now);

private:
    TrafficStatistics& statistics_;
    const AttemptTimeouts& timeouts_;
    const OutlierDetector& detector_;
    ConcurrencyLimiter& limiter_;
};

}  // namespace linnetlead::policy
