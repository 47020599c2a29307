// The state that this gateway keeps for one tenant.
#pragma once

#include <cstdint>

#include "linnetlead/policy.h"

namespace linnetlead::policy {

struct Tenant : QuotaState {
    std::uint64_t hash = 0;                 // of its name; the same at every gateway
    std::int64_t first_seen_interval = -1;  // of its first request here; -1 after a hot restart
    std::int64_t last_read_interval = -1;   // the last interval whose total was requested after its end
    std::int64_t last_known_interval = -1;  // the last interval whose total was received
    Timestamp plan_changed_at{};            // within the current interval; 0 if the plan did not change in it
    bool is_sampled = false;                // see QuotaSchedule::is_sampled
};

}  // namespace linnetlead::policy
