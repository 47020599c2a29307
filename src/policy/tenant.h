// What this gateway knows of one tenant.
#pragma once

#include <cstdint>

#include "linnetlead/policy.h"

namespace linnetlead::policy {

struct Tenant : QuotaState {
    std::uint64_t hash = 0;            // of its name: the same at every gateway
    std::int64_t first_interval = -1;  // in which this gateway met it; of one that was handed over, -1
    std::int64_t read_sent = -1;       // the last interval whose total was read after its end
    std::int64_t read_done = -1;       // the last interval whose total was received
    Timestamp plan_changed_at{};       // where a change of plan cut the current interval short; else 0
    bool is_sampled = false;           // demand is reported with single requests, not once an interval
};

}  // namespace linnetlead::policy
