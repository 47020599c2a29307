// The plan schedule: the rate plan of each account over time, and the prepaid balances. read_plan_schedule()
// builds it; it is immutable afterwards, so a reload exchanges a pointer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlead/policy.h"
#include "metering/prepaid_balance.h"

namespace linnetlead::metering {

constexpr Timestamp kForever = Timestamp::max();

// An account is on a plan from `since` and before `until`.
struct Term {
    AccountId account = 0;
    std::int32_t plan = 0;  // position in PlanSchedule::plans
    Timestamp since{};      // Unix time; 0: always
    Timestamp until = kForever;
};

struct PlanSchedule {
    std::vector<policy::RatePlanSettings> plans;  // the document's own, then the platform's that it uses
    std::vector<Term> terms;                      // sorted by account, then start; no two overlap
    std::vector<PrepaidBalance> balances;         // in the document's order; they fit the capacity
    double capacity = 0;                          // of the fleet, in units a second; 0: not stated

    // The active plan's position, or nothing if the schedule has no term for the account at `now`.
    std::optional<std::int32_t> plan_at(AccountId account, Timestamp now) const;
};

// 16 hex digits of a number below 2^33, as requests name their tenant.
std::optional<AccountId> read_account(std::string_view text);
std::string write_account(AccountId account);
// "2026-12-01T10:00:00Z", optionally with fractions of a second; to the millisecond.
std::optional<Timestamp> read_instant(std::string_view text);
std::string write_instant(Timestamp time);
// From seconds of Unix time, to the millisecond.
Timestamp time_of_seconds(double seconds);

}  // namespace linnetlead::metering
