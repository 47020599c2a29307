// A play in words, for whoever has to find out why it failed.
#pragma once

#include <string>

#include "testing/soak/judge.h"

namespace linnetlead::test_support::soak {

// One line: the seed, the counts, and the first broken promise.
std::string summary_of(const Scenario& scenario, const Verdict& verdict);
// The seed, the broken promises with both ends' record of their requests, the processes with their logs, and
// the command that plays it again.
std::string report_of(const Scenario& scenario, const Record& record, const Verdict& verdict);

}  // namespace linnetlead::test_support::soak
