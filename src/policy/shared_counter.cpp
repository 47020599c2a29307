#include "policy/shared_counter.h"

#include <algorithm>
#include <utility>

namespace linnetlead::policy {

namespace {

using namespace std::chrono_literals;

constexpr int kFailuresToBackOff = 3;
constexpr Duration kTrialCallInterval = 1s;  // while the counter is unreachable
// The sampling share falls by a factor for each call that fails or is slow, and grows by a step for each
// other one (additive increase, multiplicative decrease), so that the gateways converge to the rate that the
// counter can handle.
constexpr double kSamplingDecrease = 0.9;
constexpr double kSamplingIncrease = 0.01;
constexpr double kMinSamplingShare = 0.02;
// Lifetime of a count on the counter, in intervals. It is read until the end of the next interval.
constexpr int kCountLifeIntervals = 3;

}  // namespace

// A recent success means that there is no outage: a counter that fails only some calls is still used.
bool SharedCounter::is_unreachable(Timestamp now) const {
    return consecutive_failures_ >= kFailuresToBackOff &&
           now - last_success_at_ > 2 * settings_.counter_timeout;
}

// While the counter is unreachable, only one trial call is made per interval. Otherwise all gateways together
// would overload it when it comes back.
bool SharedCounter::call(const std::string& name, const Tenant& tenant, Timestamp now, CounterCallKind kind,
                         double amount, RequestId waiting_request) {
    if (is_unreachable(now)) {
        if (now < next_trial_call_at_) return false;
        next_trial_call_at_ = now + kTrialCallInterval;
    }
    const bool is_read = kind == CounterCallKind::kRead;
    const std::int64_t interval = tenant.interval - (is_read ? 1 : 0);
    const IntervalReport& report = is_read ? tenant.previous : tenant.current;
    const std::string count =
        std::to_string(tenant.hash) + schedule_.plan_of(tenant).tag + ':' + std::to_string(interval);
    outstanding_[count].push_back(
        {name, interval, kind, waiting_request, amount, report.reported, report.reported_spent, now});
    actions_.add_to_counter(count, amount, kCountLifeIntervals * schedule_.interval(tenant));
    return true;
}

std::optional<CounterCall> SharedCounter::take_reply(const std::string& count, CounterStatus status,
                                                     Timestamp now) {
    const auto it = outstanding_.find(count);
    if (it == outstanding_.end() || it->second.empty()) return std::nullopt;
    CounterCall answered = it->second.front();
    it->second.pop_front();
    if (it->second.empty()) outstanding_.erase(it);
    record(status, now - answered.sent_at, now);
    return answered;
}

void SharedCounter::record(CounterStatus status, Duration latency, Timestamp now) {
    const bool success = status == CounterStatus::kOk;
    // Slower than three quarters of the timeout.
    const bool slow = !success || latency * 4 > settings_.counter_timeout * 3;
    const double share = slow ? sampling_share_ * kSamplingDecrease : sampling_share_ + kSamplingIncrease;
    sampling_share_ = std::clamp(share, kMinSamplingShare, 1.0);
    consecutive_failures_ = success ? 0 : consecutive_failures_ + 1;
    if (success) last_success_at_ = now;
}

}  // namespace linnetlead::policy
