#include "policy/attempt_timeouts.h"

#include <algorithm>

#include "policy/seconds.h"

namespace linnetlead::policy {

namespace {

// Timeout of a first attempt that may be retried, as a share of the latency objective.
constexpr double kFirstAttemptShare = 0.5;
// Multiple of a class's mean latency after which hardly any answer arrives. Lower bound of the timeout of a
// first attempt.
constexpr double kTailLatencyMultiple = 6;

}  // namespace

bool AttemptTimeouts::is_in_time(const OpenRequest& request, Timestamp now) const {
    const TrafficClassSettings& traffic_class = class_of(request);
    const Timestamp end = traffic_class.late_priority_weight > 0
                              ? request.due
                              : std::min(request.due, request.arrived_at + traffic_class.latency_objective);
    return now < end;
}

Duration AttemptTimeouts::timeout(const OpenRequest& request, bool may_retry_early, Timestamp now) const {
    const TrafficClassSettings& traffic_class = class_of(request);
    Duration timeout = request.due - now;
    // Without a late priority weight an answer after the objective is worthless. Two clock ticks are left to
    // forward the answer.
    const Duration to_objective =
        request.arrived_at + traffic_class.latency_objective - settings_.tick * 2 - now;
    if (traffic_class.late_priority_weight <= 0 && to_objective > Duration{0}) {
        timeout = std::min(timeout, to_objective);
    }
    if (may_retry_early) {
        const double tail_s = kTailLatencyMultiple * statistics_.latency_s(request.traffic_class);
        const double share_s = kFirstAttemptShare * to_seconds(traffic_class.latency_objective);
        timeout = std::min(timeout, to_duration(std::max(share_s, tail_s)));
    }
    return std::max(timeout, Duration{1});
}

bool AttemptTimeouts::is_beyond_tail(int traffic_class, Duration latency) const {
    const double mean_s = statistics_.latency_s(traffic_class);
    return mean_s > 0 && to_seconds(latency) >= kTailLatencyMultiple * mean_s;
}

}  // namespace linnetlead::policy
