// Chooses the keepers of an endpoint: the gateways that hold its score board, to which all others report.
// Rendezvous hashing; SharedHealth calls it when the members or the endpoint list change.
#pragma once

#include <cstdint>
#include <vector>

namespace linnetlead::health {

// Returns the `count` present gateways with the highest hash of endpoint and gateway. Gateways that know the
// same members choose the same keepers, and a member that joins or leaves changes only its own assignments.
std::vector<int> choose_keepers(std::uint32_t endpoint_hash, const std::vector<int>& present, int count);

// Hashes the endpoint with a number, for choices that every gateway has to make alike.
std::uint64_t hash_with(std::uint32_t endpoint_hash, std::uint64_t number);

}  // namespace linnetlead::health
