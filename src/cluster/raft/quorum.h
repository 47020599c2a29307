// Majorities in a group of voters.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>

#include "cluster/raft/raft_types.h"

namespace linnetlead::raft {

constexpr int majority_of(int voters) { return voters / 2 + 1; }

// The largest value that a majority of the voters has reached; `values` has one value per voter.
inline std::uint64_t reached_by_majority(std::array<std::uint64_t, kMaxVoters> values, int voters) {
    const auto middle = values.begin() + (majority_of(voters) - 1);
    std::nth_element(values.begin(), middle, values.begin() + voters, std::greater<>());
    return *middle;
}

}  // namespace linnetlead::raft
