#include "policy/slow_start.h"

#include <algorithm>

#include "policy/seconds.h"

namespace linnetlead::policy {

namespace {

// Multiple of its capacity at which an endpoint usually fails. Endpoints that fail at a lower multiple start
// with a smaller share.
constexpr double kUsualOverloadMultiple = 3;

}  // namespace

double SlowStart::share(const Endpoint& endpoint, Timestamp now) const {
    const Timestamp started = endpoint.info.started;
    const Duration window = settings_.slow_start_window;
    if (started <= Timestamp{0} || window <= Duration{0}) return 1;
    const double elapsed = std::clamp(to_seconds(now - started) / to_seconds(window), 0.0, 1.0);
    const double first =
        settings_.slow_start_min_share * std::min(1.0, settings_.overload_multiple / kUsualOverloadMultiple);
    return first + (1 - first) * elapsed;
}

}  // namespace linnetlead::policy
