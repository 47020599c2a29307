// The last good endpoint list, for a cold start while service discovery is unreachable: a checksummed file of
// JSON lines, first a header with the time, then an endpoint a line.
#pragma once

#include <string>
#include <vector>

#include "common/error.h"
#include "proxy/ports.h"

namespace linnetlead::discovery {

struct Snapshot {
    policy::Timestamp created_at{};
    std::vector<proxy::DiscoveredEndpoint> entries;
};
// The bytes of a checksummed file of the snapshot.
std::string encode_snapshot(const Snapshot& snapshot);
// kDataLoss or kInvalidArgument: the file is damaged, incomplete or of another kind; kFailedPrecondition: the
// snapshot is older than `max_age` at `now`.
Result<Snapshot> decode_snapshot(const std::string& bytes, policy::Timestamp now, policy::Duration max_age);

}  // namespace linnetlead::discovery
