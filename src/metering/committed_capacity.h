// Checks that prepaid balances fit into the fleet's capacity as the operators state it. The reader of plan
// schedules calls it.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::metering {

// A committed rate in units a second, from `since` and before `until`.
struct Commitment {
    double rate = 0;
    policy::Timestamp since{}, until{};
};

struct Overcommitment {
    std::size_t index = 0;  // in `requested`, of the first that does not fit
    policy::Timestamp at{};
    double rate = 0;  // units a second committed at that instant, including this one
};

// Finds the first requested commitment that exceeds `capacity`, in units a second. The standing commitments
// take precedence; the requested ones are added in their order.
std::optional<Overcommitment> find_overcommitment(double capacity, const std::vector<Commitment>& standing,
                                                  const std::vector<Commitment>& requested);

}  // namespace linnetlead::metering
