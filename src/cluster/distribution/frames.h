// The frames that relays, gateways and command-line tools exchange on a connection, and their encoding: a
// length (4 bytes, big-endian) followed by a CBOR array. Follower, Relay and the transport use it. A frame
// that is malformed, too large or sent by the wrong side is answered by an `error` frame that names the
// fault, and the connection is closed; nothing else is affected. No I/O.
#pragma once

#include <memory>
#include <variant>

#include "cluster/distribution/log_record.h"

namespace linnetlead::distribution {

constexpr std::size_t kMaxFrameBytes = 2 * 1024 * 1024;
constexpr int kProtocolVersion = 1;
constexpr std::size_t kMaxReportedNames = 4;  // gateways named per unsupported change

enum class Role { kGateway, kRelay, kTool };

// ---- from a follower, gateway or tool to a relay ----

// The first frame on a connection.
struct Hello {
    int version = kProtocolVersion;
    Role role = Role::kGateway;
    std::string name;
    LogIndex last_index = 0;      // of the last record held; 0: none
    std::uint64_t last_term = 0;  // of that record
    // The active state includes all records up to this index; later ones up to `last_index` are held as
    // records.
    LogIndex applied_index = 0;
    // The held state is unusable: the relay sends a full state, whatever the fields above say.
    bool needs_full_state = false;
};
// How many of the gateways at and below a follower do not support a change.
struct UnsupportedCount {
    LogIndex change = 0;
    std::uint32_t gateways = 0;              // gateways that do not support some of its edits
    std::vector<std::string> gateway_names;  // of at most kMaxReportedNames of them
};
// How many gateways hold all records up to an index, but not up to the index of the next newer entry.
struct ReplicationCount {
    LogIndex through_index = 0;
    std::uint32_t gateways = 0;
};
// What a follower, and the gateways below it, have received and activated. Counts and a few names only, so
// that its size does not depend on how many gateways there are.
struct Ack {
    LogIndex last_index = 0;
    LogIndex activation_index = 0;              // the newest activation record that took effect
    std::uint32_t gateways = 0;                 // below this follower (a gateway counts itself)
    std::uint32_t fenced = 0;                   // of these gateways
    std::vector<ReplicationCount> replicated;   // newest first, at most 64; the last includes all older ones
    std::vector<UnsupportedCount> unsupported;  // of changes that are not active yet; at most 64
};
// Submits a change; a relay forwards it to the leader.
struct Submit {
    std::uint64_t request = 0;  // chosen by the sender and repeated in the answer
    Change change;
};
// Asks for the relay's state, which the answer's message describes as JSON.
struct Ask {
    std::uint64_t request = 0;
};

// ---- from a relay to a follower, gateway or tool ----

// Accepts a follower.
struct Welcome {
    std::string relay;
    int region = 0;
};
// Refuses a follower, or asks it to leave: it may try this relay again after the delay, or another at once.
struct Away {
    std::int64_t after_ms = 0;
    Rejection reason = Rejection::kTooManyFollowers;
};
struct Records {
    std::vector<Record> records;  // contiguous, and contiguous with what the follower holds
    // If set, write() returns these bytes: the same records go to hundreds of followers.
    std::shared_ptr<const std::string> encoded;
};
// Renews the follower's lease.
struct Lease {
    Heartbeat heartbeat;
};
// Part of a snapshot for a follower that is too far behind for records: the entries that changed after
// `since_revision`. The follower installs the snapshot in one step when all chunks have arrived, and
// continues with the records after it. The state may change while chunks are being sent: index, term, hash
// and activation are those of the last chunk, and if a key occurs more than once, the last entry is the valid
// one.
struct SnapshotChunk {
    // `since_revision` 0: a full state that replaces the follower's own.
    LogIndex last_included_index = 0, since_revision = 0;
    std::uint64_t last_included_term = 0;
    std::uint64_t sequence = 0;  // from 0
    bool is_last = false;
    std::uint64_t hash = 0;  // in the last chunk: of the resulting state
    struct Entry {
        std::string key;
        std::optional<std::string> value;
        LogIndex revision = 0;
    };
    std::vector<Entry> entries;     // compressed with zstd on the wire
    Timestamp activated_at{};       // of the last activation included
    LogIndex activation_index = 0;  // of that activation
    LogIndex revision = 0;          // the newest change included
    // All removals after this index are among the entries or already known to the follower.
    LogIndex tombstones_since = 0;
    std::shared_ptr<const std::string> encoded;  // see Records
};
// Answers a Submit or Ask.
struct Answer {
    std::uint64_t request = 0;
    Rejection rejection = Rejection::kNone;
    LogIndex revision = 0;  // of the committed change, or of the reported state
    std::string message;
};

// ---- in either direction ----

// Tells the peer why the connection is being closed.
struct Error {
    Rejection rejection = Rejection::kMalformed;
    std::string message;
};

// A consensus message between voters, passed on unchanged. An empty message is a keepalive.
struct Voter {
    int from = 0;
    std::string message;
};

using Frame =
    std::variant<Hello, Ack, Submit, Ask, Welcome, Away, Records, Lease, SnapshotChunk, Answer, Error, Voter>;

// The encoded frame, including its length prefix.
std::string write(const Frame& frame);

// Decodes frames from a byte stream that arrives in parts of any size.
class FrameReader {
public:
    explicit FrameReader(std::size_t max_frame_bytes = kMaxFrameBytes) : max_frame_bytes_(max_frame_bytes) {}
    enum class State { kPartial, kFrame, kWrong };
    // Consumes the bytes of the next frame; call it until it returns kPartial. On kWrong, sets `rejection`.
    State take(std::string_view& bytes, Frame& frame, Rejection& rejection);
    std::size_t buffered_bytes() const { return buffer_.size(); }

private:
    std::size_t max_frame_bytes_;
    std::string buffer_;
};

}  // namespace linnetlead::distribution
