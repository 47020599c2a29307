// The only source of random numbers of a Policy. All rules draw from it, so the seed and the sequence of
// events determine every decision. A rule that draws more or fewer numbers changes the decisions of all
// others.
#pragma once

#include <cstdint>
#include <random>

namespace linnetlead::policy {

class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

    // Uniform in [0, 1), with the 53 bits that a double holds.
    double uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

private:
    std::mt19937_64 engine_;
};

}  // namespace linnetlead::policy
