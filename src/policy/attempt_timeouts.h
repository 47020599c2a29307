// Timeouts of attempts, and the time until which another attempt is worthwhile.
#pragma once

#include "linnetlead/policy.h"
#include "policy/open_request.h"
#include "policy/traffic_statistics.h"

namespace linnetlead::policy {

class AttemptTimeouts {
public:
    AttemptTimeouts(const Settings& settings, const TrafficStatistics& statistics)
        : settings_(settings), statistics_(statistics) {}

    // Whether an answer to the request still has a value now.
    bool is_in_time(const OpenRequest& request, Timestamp now) const;
    // The timeout of an attempt sent now. may_retry_early: this is a first attempt, and a retry is allowed,
    // so the timeout may be shorter.
    Duration timeout(const OpenRequest& request, bool may_retry_early, Timestamp now) const;
    // Whether an attempt has lasted so much longer than the mean of its class that no answer is to be
    // expected.
    bool is_beyond_tail(int traffic_class, Duration latency) const;

private:
    const TrafficClassSettings& class_of(const OpenRequest& request) const {
        return settings_.classes[static_cast<std::size_t>(request.traffic_class)];
    }

    const Settings& settings_;
    const TrafficStatistics& statistics_;
};

}  // namespace linnetlead::policy
