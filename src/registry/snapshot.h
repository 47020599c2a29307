// The last good list, for a cold start with the registry down: a line of version and checksum (XXH64, over
// all that follows), then JSON lines under zstd: the head with the time, and a worker a line.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/ports.h"

namespace linnetlead::registry {

struct Snapshot {
    topazcrank::Time made{};
    std::vector<core::Listed> entries;
};
std::string pack(const Snapshot& snapshot);
// Nothing, and in words why: it is damaged, or older than `most_age`.
std::optional<Snapshot> unpack(const std::string& bytes, topazcrank::Time now, topazcrank::Span most_age,
                               std::string& problem);
// Whole or not at all; blocks. False: it could not be written, and what was there stands.
bool write_snapshot(const std::string& path, const std::string& bytes);

}  // namespace linnetlead::registry
