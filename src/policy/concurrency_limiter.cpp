#include "policy/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

#include "policy/seconds.h"

namespace linnetlead::policy {

namespace {

// Limits on attempts in flight at one endpoint, summed over all gateways.
constexpr double kInitialLimit = 3;  // before the first answers
constexpr double kMinLimit = 2;      // with fewer, an answer is late because of its own work and not of load
constexpr double kMaxLimit = 64;

constexpr double kLateShareOfObjective = 0.45;  // a slower answer counts as late
constexpr double kTargetLateShare = 0.06;       // share of late answers at which the limit settles
constexpr double kLimitGain = 0.1;              // largest relative change of a limit by one answer
constexpr double kInFlightGain = 0.1;           // of the moving average of attempts in flight
constexpr double kValueGain = 0.02;             // of the moving average of values
constexpr double kMaxRelativeValue = 5;
constexpr double kMaxSpread = 2;       // standard deviations above the limit that random variation explains
constexpr double kRejectionPower = 4;  // how steeply the admission probability falls above the limit
constexpr double kOverloadedMultiple = 1.5;  // of the limit: one request in five finds capacity

}  // namespace

void ConcurrencyLimiter::reset(Endpoint& endpoint) const {
    endpoint.concurrency_limit = kInitialLimit / settings_.gateways / fleet_multiplier_;
}

void ConcurrencyLimiter::on_endpoints_changed() {
    sum_of_limits_ = 0;
    for (const auto& [id, endpoint] : endpoints_.all()) {
        if (endpoint.is_in_service()) sum_of_limits_ += endpoint.concurrency_limit;
    }
}

bool ConcurrencyLimiter::is_late(int traffic_class, Duration latency) const {
    const TrafficClassSettings& settings = settings_.classes[static_cast<std::size_t>(traffic_class)];
    return to_seconds(latency) > kLateShareOfObjective * to_seconds(settings.latency_objective);
}

// An unused limit does not grow, since nothing shows that it is too low.
bool ConcurrencyLimiter::is_used(const Endpoint& endpoint) const {
    return static_cast<double>(endpoint.in_flight.size()) >= limit(endpoint) / 2 &&
           mean_in_flight_ + 1 >= total_limit() / 2;
}

// With few attempts in flight, an answer changes the limits of all endpoints through the multiplier, since a
// single endpoint gets too few attempts to adapt its own limit.
void ConcurrencyLimiter::adapt(Endpoint& endpoint, bool late) {
    const bool used = is_used(endpoint);
    if (!endpoint.is_in_service() || (!late && !used)) return;
    const double factor = late ? 1 - kLimitGain * (1 - kTargetLateShare) : 1 + kLimitGain * kTargetLateShare;
    const double min_limit = kMinLimit / settings_.gateways;
    sum_of_limits_ -= endpoint.concurrency_limit;
    endpoint.concurrency_limit = std::clamp(endpoint.concurrency_limit * factor,
                                            min_limit / fleet_multiplier_, kMaxLimit / fleet_multiplier_);
    sum_of_limits_ += endpoint.concurrency_limit;
    const double mean = sum_of_limits_ / endpoints_.in_service_count();
    const double attempts = std::max(1.0, endpoints_.attempts_in_flight());
    const double multiplier = fleet_multiplier_ * std::pow(factor, 1 / attempts);
    fleet_multiplier_ = std::clamp(multiplier, min_limit / mean, kMaxLimit / mean);
}

// Probabilistic admission keeps the limit on average: with a strict limit of about one, every second request
// would be rejected if requests arrive in pairs. At any instant the attempts in flight exceed the limit by no
// more than random variation explains. Requests with the least value per endpoint time are rejected first.
bool ConcurrencyLimiter::has_capacity(int traffic_class) {
    const double value = relative_value(traffic_class);
    const double in_flight = endpoints_.attempts_in_flight();
    const double limit = total_limit();
    mean_in_flight_ += kInFlightGain * (in_flight - mean_in_flight_);
    if (in_flight >= limit + kMaxSpread * value * std::sqrt(limit)) return false;
    return mean_in_flight_ <= limit ||
           random_.uniform() < std::pow(limit / mean_in_flight_, kRejectionPower / value / value);
}

// Priority weight per second of endpoint time of this class, relative to the mean over all requests.
double ConcurrencyLimiter::relative_value(int traffic_class) {
    const double latency_s = statistics_.latency_s(traffic_class);
    if (latency_s <= 0) return 1;
    const TrafficClassSettings& settings = settings_.classes[static_cast<std::size_t>(traffic_class)];
    const double value = settings.priority_weight / latency_s;
    mean_value_per_s_ =
        mean_value_per_s_ <= 0 ? value : mean_value_per_s_ + kValueGain * (value - mean_value_per_s_);
    return std::min(value / mean_value_per_s_, kMaxRelativeValue);
}

bool ConcurrencyLimiter::is_overloaded() const {
    return mean_in_flight_ >= kOverloadedMultiple * total_limit();
}

}  // namespace linnetlead::policy
