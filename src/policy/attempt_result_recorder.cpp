#include "policy/attempt_result_recorder.h"

namespace linnetlead::policy {

bool AttemptResultRecorder::record(Endpoint& endpoint, int traffic_class, const AttemptResult& result,
                                   Timestamp now) {
    const Outcome outcome = result.outcome;
    const bool late = limiter_.is_late(traffic_class, result.latency);
    // An attempt far beyond the usual latency is taken as never answered (a failing class, lost answers) and
    // not as a sign of load: rejecting more requests would not help.
    const bool is_unanswered = timeouts_.is_beyond_tail(traffic_class, result.latency);
    if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) return false;
    if (outcome == Outcome::kTimeout && !late)
        return true;  // our own short timeout: no fault of the endpoint
    detector_.record(endpoint, traffic_class, outcome != Outcome::kOk, now);
    if (outcome == Outcome::kOk) {
        statistics_.add_latency(traffic_class, result.latency);
        detector_.record_success(endpoint);
    }
    if (outcome == Outcome::kRejected && detector_.record_rejection(endpoint, now)) return false;
    const bool is_overload =
        outcome == Outcome::kRejected || (outcome == Outcome::kTimeout && !is_unanswered);
    if (outcome == Outcome::kOk || is_overload) limiter_.adapt(endpoint, is_overload || late);
    return is_overload;
}

}  // namespace linnetlead::policy
