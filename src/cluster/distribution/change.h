// Configuration changes by operators: transactions over keyed resources (pools, plans, routes, tenants'
// terms). A change is submitted to any relay. The Raft log of the voting relays assigns it a log index, and
// the state after the change is the revision with that number. No I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/raft/raft_types.h"
#include "linnetlead/policy.h"

namespace linnetlead::distribution {

using policy::Duration;
using policy::Timestamp;

// Position of a record in the log: from 1, without gaps; 0 means none.
using raft::LogIndex;
// Log index of a change's record; identifies the state after that change.
using Revision = LogIndex;

constexpr std::size_t kMaxKeyBytes = 96;
constexpr std::size_t kMaxValueBytes = 16 * 1024;
constexpr std::size_t kMaxEdits = 8192;               // per change
constexpr std::size_t kMaxChangeBytes = 1024 * 1024;  // keys and values together
constexpr std::size_t kMaxIdBytes = 64;

struct Edit {
    std::string key;                   // KIND/NAME, such as "tenant/00000000b4d65521"
    std::optional<std::string> value;  // nullopt removes the key
};

struct Change {
    std::string id;  // chosen by the submitter; a retry with the same id and content is the same change
    // Revision that the submitter has seen. The change is rejected if one of its keys has changed since; 0
    // skips this check.
    Revision base_revision = 0;
    std::vector<Edit> edits;
};

// Why a change, a frame or a follower is rejected. The numbers are sent in frames.
enum class Rejection {
    kNone,
    kMalformed,             // not a valid frame or change; an empty change or one with a repeated key
    kTooLarge,              // exceeds one of the limits above
    kUnknownKind,           // the key is of an unknown resource kind
    kNoSuchKey,             // removes a key that does not exist
    kStaleBase,             // one of its keys has changed since the base revision
    kFutureBase,            // the base revision does not exist yet
    kIdReused,              // its id belongs to a change with other content
    kInvalidValue,          // no gateway can parse the value (Relay::Callbacks::validate_value)
    kBusy,                  // too many pending changes; retry later
    kNoLeader,              // no leader is available; retry later
    kFalseAcknowledgement,  // a follower acknowledged records that it was not sent
    kTooManyFollowers,      // the relay has the maximum number of followers
};
const char* rejection_message(Rejection rejection);

// Whether `kind` is one of "pool", "plan", "route", "tenant", "reserve", "capacity", "move".
bool is_known_resource_kind(std::string_view kind);
// Checks the change without regard to the state: format, size limits and resource kinds.
Rejection check(const Change& change);
// Hash of the change's whole content; tells whether two changes with the same id are the same.
std::uint64_t digest(const Change& change);

}  // namespace linnetlead::distribution
