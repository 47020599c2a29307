#include "cluster/distribution/join_limiter.h"

#include <algorithm>

namespace linnetlead::distribution {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeedMask = 0x66616e6f7574ULL;
constexpr Duration kBusyDuration = 60s;
constexpr std::int64_t kMinRetryDelayMs = 250;
constexpr double kMinSpreadMs = 500, kMaxSpreadMs = 30000;

}  // namespace

JoinLimiter::JoinLimiter(double joins_per_s, std::uint64_t seed)
    : joins_per_s_(joins_per_s), random_(seed ^ kSeedMask), tokens_(burst()) {}

// The joins of a quarter of a second.
double JoinLimiter::burst() const { return std::max(1.0, joins_per_s_ / 4); }

void JoinLimiter::refill(Timestamp now) {
    const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    if (elapsed <= 0) return;
    const double gained = elapsed * joins_per_s_;
    tokens_ = std::min(burst(), tokens_ + gained);
    rejected_ = std::max(0.0, rejected_ - gained);
    refilled_at_ = now;
}

void JoinLimiter::on_joined(Timestamp now) {
    tokens_ -= 1;
    if (tokens_ < joins_per_s_ / 8) busy_until_ = now + kBusyDuration;
}

std::int64_t JoinLimiter::on_rejected(Timestamp now) {
    const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    rejected_ = std::max(0.0, rejected_ - elapsed * joins_per_s_) + 1;
    tokens_ = std::min(burst(), tokens_ + elapsed * joins_per_s_);
    refilled_at_ = now;
    busy_until_ = now + kBusyDuration;
    const double spread_ms = std::clamp(1000 * rejected_ / joins_per_s_, kMinSpreadMs, kMaxSpreadMs);
    return std::uniform_int_distribution<std::int64_t>(kMinRetryDelayMs,
                                                       static_cast<std::int64_t>(spread_ms))(random_);
}

}  // namespace linnetlead::distribution
