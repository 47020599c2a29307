// Plays one scenario with real processes of the program, and returns what both ends saw.
#pragma once

#include <string>

#include "testing/soak/record.h"
#include "testing/soak/scenario.h"

namespace linnetlead::test_support::soak {

// `program`: the path of the gateway's. Takes some 10 to 20 seconds.
Record play(const Scenario& scenario, const std::string& program);

}  // namespace linnetlead::test_support::soak
