#include "policy/attempt_rules.h"

#include <algorithm>

namespace linnetlead::policy {

const TrafficClassSettings& AttemptRules::class_of(const OpenRequest& request) const {
    return settings_.classes[static_cast<std::size_t>(request.traffic_class)];
}

bool AttemptRules::may_send(const OpenRequest& request, const Endpoint& target, Timestamp now) const {
    if (request.answered) return false;
    if (static_cast<int>(request.attempts.size()) >= settings_.max_attempts) return false;
    if (now >= request.due) return false;
    if (request.in_flight > 0 && !settings_.may_hedge) return false;
    const TrafficClassSettings& traffic_class = class_of(request);
    return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& earlier) {
        return may_repeat(earlier, traffic_class, target, now);
    });
}

bool AttemptRules::may_repeat(const Attempt& earlier, const TrafficClassSettings& traffic_class,
                              const Endpoint& target, Timestamp now) const {
    if (!earlier.may_have_run || traffic_class.idempotency == Idempotency::kIdempotent) return true;
    if (traffic_class.idempotency == Idempotency::kNonIdempotent) return false;
    // A retry arrives later than it is sent, so one clock tick and a tenth of the window are kept as a
    // margin.
    const bool key_expires = now + settings_.tick - earlier.sent_at >= traffic_class.key_window * 9 / 10;
    return !key_expires && knows_key(earlier, traffic_class.key_scope, target);
}

// Whether the target knows the keys of the endpoint of the earlier attempt. This is unknown, and taken as
// false, if that endpoint has left the list.
bool AttemptRules::knows_key(const Attempt& earlier, KeyScope scope, const Endpoint& target) const {
    if (scope == KeyScope::kAll) return true;
    const Endpoint* const first = endpoints_.find(earlier.endpoint);
    if (!first || first->info.zone != target.info.zone) return false;
    return scope != KeyScope::kCell || first->info.cell == target.info.cell;
}

bool AttemptRules::may_reject(const OpenRequest& request) const {
    if (request.answered) return false;
    const TrafficClassSettings& traffic_class = class_of(request);
    return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
        if (!attempt.may_have_run || traffic_class.idempotency == Idempotency::kIdempotent) return true;
        // If every endpoint knows the key, a retry by the client is deduplicated wherever it goes.
        return traffic_class.idempotency == Idempotency::kKeyed && traffic_class.key_scope == KeyScope::kAll;
    });
}

}  // namespace linnetlead::policy
