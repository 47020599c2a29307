// The hash that gateways use to compare their state. It is part of the datagram and record formats, so it is
// the same on every machine and in every release.
#pragma once

#include <cstdint>
#include <string_view>

namespace linnetlead::agreement {

// XXH64 of the bytes.
std::uint64_t hash_of(std::string_view bytes, std::uint64_t seed = 0);

// Folds a 64-bit hash into 32 bits, to save bytes in datagrams.
inline std::uint32_t short_hash(std::uint64_t hash) {
    return static_cast<std::uint32_t>(hash ^ (hash >> 32));
}

}  // namespace linnetlead::agreement
