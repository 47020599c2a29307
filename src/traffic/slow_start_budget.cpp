#include "traffic/slow_start_budget.h"

#include <algorithm>
#include <utility>

namespace linnetlead::traffic {

namespace {

constexpr double kDefaultWorkSeconds = 0.1;   // of a class without answers yet
constexpr double kWorkGain = 0.02;            // EWMA of a class's latency
constexpr double kLoadGain = 0.2;             // EWMA of a pool's work per second
constexpr double kMaxDecayPerSecond = 0.999;  // of the highest load seen
// Share of the multiple at which a cold endpoint is overloaded. The rest is a margin, because the decision
// module spreads requests over a pool's endpoints at random, and bursts spend a window's budget early.
constexpr double kSafeShare = 0.4;
constexpr double kTokenBucketWindows = 0.25;  // size of the token bucket, in overload windows
constexpr double kMinWeight = 1e-6;

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

void SlowStartBudget::update_endpoints(Timestamp now, std::vector<Endpoint> source,
                                       std::vector<Endpoint> target) {
    source_ = std::move(source);
    target_ = std::move(target);
    source_weight_ = 0;
    for (const Endpoint& endpoint : source_) source_weight_ += std::max(endpoint.weight, kMinWeight);
    tick(now);
}

double SlowStartBudget::work_of(int traffic_class) const {
    const double known = work_s_[static_cast<std::size_t>(traffic_class)];
    return known > 0 ? known : kDefaultWorkSeconds;
}

void SlowStartBudget::record_latency(int traffic_class, double latency_s) {
    double& known = work_s_[static_cast<std::size_t>(traffic_class)];
    known = known <= 0 ? latency_s : known + kWorkGain * (latency_s - known);
}

void SlowStartBudget::roll_bucket(Timestamp now) {
    const std::int64_t bucket = now / std::chrono::seconds(1);
    if (bucket == bucket_) return;
    if (bucket_ >= 0) {
        const auto passed = static_cast<int>(std::min<std::int64_t>(bucket - bucket_, 60));
        for (int i = 0; i < passed; ++i) {
            for (std::size_t side = 0; side < 2; ++side) {
                mean_work_per_s_[side] += kLoadGain * (bucket_work_[side] - mean_work_per_s_[side]);
                bucket_work_[side] = 0;
            }
            max_work_per_weight_ *= kMaxDecayPerSecond;
        }
        if (source_weight_ > 0)
            max_work_per_weight_ = std::max(max_work_per_weight_, mean_work_per_s_[0] / source_weight_);
        // Traffic that has moved no longer shows on the old pool; the new pool carries it.
        const double target_weight = warm_weight(now);
        if (target_weight > 0)
            max_work_per_weight_ = std::max(max_work_per_weight_, mean_work_per_s_[1] / target_weight);
    }
    bucket_ = bucket;
    tick(now);
}

void SlowStartBudget::record_request(Timestamp now, int traffic_class, bool target) {
    roll_bucket(now);
    bucket_work_[target ? 1 : 0] += work_of(traffic_class);
}

double SlowStartBudget::warm_share(const Endpoint& endpoint, Timestamp now) const {
    if (endpoint.started <= Timestamp{0} || settings_.slow_start_window <= Duration{0}) return 1;
    const double age =
        std::clamp(seconds(now - endpoint.started) / seconds(settings_.slow_start_window), 0.0, 1.0);
    return settings_.slow_start_min_share + (1 - settings_.slow_start_min_share) * age;
}

double SlowStartBudget::warm_weight(Timestamp now) const {
    double sum = 0;
    for (const Endpoint& endpoint : target_)
        sum += std::max(endpoint.weight, kMinWeight) * warm_share(endpoint, now);
    return sum;
}

double SlowStartBudget::full_weight() const {
    double sum = 0;
    for (const Endpoint& endpoint : target_) sum += std::max(endpoint.weight, kMinWeight);
    return sum;
}

double SlowStartBudget::rate(Timestamp now) const {
    if (max_work_per_weight_ <= 0) return -1;
    const double multiple = std::min(settings_.headroom, settings_.overload_multiple * kSafeShare);
    return max_work_per_weight_ * multiple * warm_weight(now);
}

bool SlowStartBudget::try_take(Timestamp now, int traffic_class) {
    roll_bucket(now);
    const double allowed = rate_;
    if (allowed < 0) return false;  // the capacity of an endpoint is not known yet
    const double window = std::max(seconds(settings_.overload_window), 1.0);
    const double capacity = std::max(allowed * window * kTokenBucketWindows, work_of(traffic_class));
    available_work_ =
        std::min(capacity, available_work_ + allowed * std::max(0.0, seconds(now - refilled_at_)));
    refilled_at_ = now;
    if (available_work_ < work_of(traffic_class)) return false;
    available_work_ -= work_of(traffic_class);
    return true;
}

}  // namespace linnetlead::traffic
