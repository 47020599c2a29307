// Conversion between durations and the seconds in which rates and averages are calculated.
#pragma once

#include "linnetlead/policy.h"

namespace linnetlead::policy {

inline double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
inline Duration to_duration(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace linnetlead::policy
