// What a call costs a gateway, in instructions: a town whose gateways run under valgrind's callgrind.
#pragma once

#include <functional>

#include "testing/fake_platform.h"

namespace linnetlead::test_support {

// The difference of a run of `length` and one of a fifth of it, so that the start is in neither.
double instructions_per_call(const FakePlatformSettings& settings, Duration length,
                             const std::function<void(FakePlatform&)>& prepare);

}  // namespace linnetlead::test_support
