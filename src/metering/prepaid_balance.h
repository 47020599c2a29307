// A prepaid balance: units set aside for a tenant between two instants, beside its rate plan.
#pragma once

#include <cstdint>
#include <string>

#include "linnetlead/policy.h"

namespace linnetlead::metering {

using policy::Duration;
using policy::Timestamp;
using AccountId = std::uint64_t;  // the 16 hex digits by which requests name their tenant

struct PrepaidBalance {
    std::string id;  // stays the same when other fields change; 40 bytes at most
    AccountId account = 0;
    double units = 0;
    Timestamp since{}, until{};  // Unix time; usable from `since` and before `until`
    double max_rate = 0;         // units a second at each gateway; 0: no such limit
    int max_concurrent = 0;      // attempts in flight at once; 0: no limit
    bool lend = true;            // what the owner cannot use up at max_rate goes to other tenants
    // Units a second of the fleet's capacity that it commits.
    double rate() const {
        const double seconds = std::chrono::duration<double>(until - since).count();
        return max_rate > 0 ? max_rate : units / seconds;
    }
    bool operator==(const PrepaidBalance& other) const {
        return id == other.id && account == other.account && units == other.units && since == other.since &&
               until == other.until && max_rate == other.max_rate && max_concurrent == other.max_concurrent &&
               lend == other.lend;
    }
};

}  // namespace linnetlead::metering
