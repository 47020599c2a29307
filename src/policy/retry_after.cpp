#include "policy/retry_after.h"

#include <algorithm>

#include "policy/seconds.h"

namespace linnetlead::policy {

// Under overload an early retry only adds load. Otherwise an immediate retry may succeed, and no delay is
// set. The delays are randomised, so that the clients do not retry at the same time.
Duration RetryAfter::delay(bool by_quota) {
    if (!settings_.retry_after || (!by_quota && !limiter_.is_overloaded())) return Duration{0};
    if (by_quota) {
        const double attempts = random_.uniform() + 1;  // one to two mean attempts
        return std::min(to_duration(statistics_.attempt_duration_s() * attempts), settings_.max_retry_after);
    }
    return to_duration(to_seconds(settings_.max_retry_after) * (1 + random_.uniform()) / 2);
}

}  // namespace linnetlead::policy
