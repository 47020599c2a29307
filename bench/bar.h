// What a measurement holds its figures to.
#pragma once

#include <cstdio>
#include <string>

namespace linnetlead::bench {

inline bool good = true;  // all bars so far were met

inline void bar(const std::string& name, double value, double most) {
    const bool met = value <= most;
    good = good && met;
    std::printf("%-52s %10.3f  at most %8.3f  %s\n", name.c_str(), value, most, met ? "good" : "MISSED");
    std::fflush(stdout);
}

}  // namespace linnetlead::bench
