// Moving averages over this gateway's traffic, shared by several rules.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/seconds.h"

namespace linnetlead::policy {

class TrafficStatistics {
public:
    explicit TrafficStatistics(std::size_t traffic_classes) : latency_s_(traffic_classes, 0.0) {}

    // Mean latency of a class's successful attempts in seconds; 0 before the first one.
    double latency_s(int traffic_class) const { return latency_s_[static_cast<std::size_t>(traffic_class)]; }
    void add_latency(int traffic_class, Duration latency) {
        double& mean = latency_s_[static_cast<std::size_t>(traffic_class)];
        mean += (mean <= 0 ? 1 : kGain) * (to_seconds(latency) - mean);
    }

    // Mean time that an attempt is in flight, in seconds, for all outcomes.
    double attempt_duration_s() const { return attempt_duration_s_; }
    void add_attempt(Duration duration) {
        attempt_duration_s_ += kGain * (to_seconds(duration) - attempt_duration_s_);
    }

    // Mean quota units of a request.
    double units() const { return units_; }
    void add_request(double units) { units_ += kGain * (units - units_); }

private:
    static constexpr double kGain = 0.02;  // of the moving averages, about fifty samples
    static constexpr double kInitialAttemptDurationS = 0.1;

    std::vector<double> latency_s_;
    double attempt_duration_s_ = kInitialAttemptDurationS;
    double units_ = 1;
};

}  // namespace linnetlead::policy
