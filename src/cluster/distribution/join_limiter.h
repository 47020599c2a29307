// Token bucket for followers that join a relay, with a retry delay for rejected ones; used by FanOut. When
// another relay fails, hundreds of its followers connect at once. If all were admitted together, each would
// need its missing records at the same time, and their leases would expire while they wait. Retries of
// rejected followers are spread over the time that admitting all of them takes. No I/O and no clock.
#pragma once

#include <random>

#include "cluster/distribution/change.h"

namespace linnetlead::distribution {

class JoinLimiter {
public:
    JoinLimiter(double joins_per_s, std::uint64_t seed);

    void refill(Timestamp now);
    bool has_capacity() const { return tokens_ >= 1; }
    void on_joined(Timestamp now);
    // Returns the delay in milliseconds after which the rejected follower is to retry.
    std::int64_t on_rejected(Timestamp now);
    // Many followers joined recently: admitting them has priority over balancing followers between relays.
    bool is_busy(Timestamp now) const { return now < busy_until_; }

private:
    double burst() const;

    double joins_per_s_;
    std::mt19937_64 random_;
    double tokens_;
    double rejected_ = 0;  // recently rejected followers; decays at the join rate
    Timestamp refilled_at_{}, busy_until_{};
};

}  // namespace linnetlead::distribution
