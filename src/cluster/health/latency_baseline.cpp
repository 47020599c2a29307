#include "cluster/health/latency_baseline.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>

namespace linnetlead::health {

namespace {

// Bounds the weight of a single very slow request (ln of the ratio).
constexpr double kMaxLogSlowness = 2.5;
constexpr double kMinLatencyS = 1e-4;
constexpr double kMaxSizeUnits = 8;  // larger requests share the median of this size

// Step sizes of the running median (in ln of latency): large at first, then it follows some hundred requests.
constexpr double kFirstStep = 0.5;
constexpr double kMinStep = 0.01;
constexpr double kStepDecay = 0.96;

// With fewer endpoints a shared deviation can't be told from a fault of one.
constexpr std::ptrdiff_t kMinEndpoints = 3;

}  // namespace

LatencyBaseline::Median* LatencyBaseline::median_for(const std::string& kind, int traffic_class,
                                                     double units) {
    const auto size = static_cast<int>(std::lround(std::min(std::max(units, 0.0), kMaxSizeUnits)));
    auto at = medians_.find({kind, traffic_class, size});
    if (at == medians_.end()) {
        if (medians_.size() >= kMaxMedians) return nullptr;
        at = medians_.emplace(std::tuple(kind, traffic_class, size), Median{}).first;
    }
    return &at->second;
}

double LatencyBaseline::log_slowness(const std::string& kind, int traffic_class, double units,
                                     double latency_s, const EndpointId& endpoint) {
    Median* const median = median_for(kind, traffic_class, units);
    if (!median) return 0;
    const double value = std::log(std::max(latency_s, kMinLatencyS));
    if (median->requests++ == 0) {
        median->value = value;
        median->step = kFirstStep;
        return 0;
    }
    const double slowness = std::clamp(value - median->value, -kMaxLogSlowness, kMaxLogSlowness);
    const int direction = slowness > 0 ? 1 : slowness < 0 ? -1 : 0;
    median->value += direction * median->step;
    median->step = std::max(kMinStep, median->step * kStepDecay);
    add_recent({slowness, std::hash<EndpointId>{}(endpoint)});
    if (++requests_since_update_ >= kCommonUpdateRequests) update_common();
    return slowness - common_;
}

void LatencyBaseline::add_recent(const Recent& recent) {
    if (recent_.size() < kRecentRequests) {
        recent_.push_back(recent);
    } else {
        recent_[next_recent_] = recent;
        next_recent_ = (next_recent_ + 1) % kRecentRequests;
    }
}

// Sets the shared deviation to the median of the recent requests, if they went to enough endpoints. It is
// never negative: when all endpoints are faster than usual, one at its usual latency is not slow.
void LatencyBaseline::update_common() {
    requests_since_update_ = 0;
    common_ = 0;
    if (recent_.size() < kRecentRequests / 4) return;
    std::array<double, kRecentRequests> slowness{};
    std::array<std::size_t, kRecentRequests> endpoints{};
    for (std::size_t i = 0; i < recent_.size(); ++i) {
        slowness[i] = recent_[i].log_slowness;
        endpoints[i] = recent_[i].endpoint_hash;
    }
    const auto end = static_cast<std::ptrdiff_t>(recent_.size());
    std::sort(endpoints.begin(), endpoints.begin() + end);
    const auto distinct = std::unique(endpoints.begin(), endpoints.begin() + end) - endpoints.begin();
    if (distinct < kMinEndpoints) return;
    const auto middle = slowness.begin() + end / 2;
    std::nth_element(slowness.begin(), middle, slowness.begin() + end);
    common_ = std::max(0.0, *middle);
}

}  // namespace linnetlead::health
