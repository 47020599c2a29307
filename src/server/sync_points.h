// Numbered points at which a test has this process crash or stop: "N:crash", "N:stall" in LINNETLEAD_POINT,
// the Nth of all. Only where the tests are built; what is deployed holds none.
#pragma once

#ifdef LINNETLEAD_POINTS
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>

namespace linnetlead::server {

inline void reach_point() {
    static std::uint64_t reached = 0;
    static const char* const kWanted = std::getenv("LINNETLEAD_POINT");
    if (!kWanted || ++reached != std::strtoull(kWanted, nullptr, 10)) return;
    raise(std::strstr(kWanted, ":stall") ? SIGSTOP : SIGKILL);
}

}  // namespace linnetlead::server
#else
namespace linnetlead::server {
inline void reach_point() {}
}  // namespace linnetlead::server
#endif
