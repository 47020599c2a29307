// The messages between voters and their encoding. The position of a type in the variant is its kind on the
// wire: neither that order nor the order of fields may change while relays of two versions are voters of one
// group.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/raft/flat_codec.h"
#include "cluster/raft/leadership_heartbeat.h"

namespace linnetlead::raft {

// `term` is the sender's term, except in a pre-vote request.

// Asks whether the receiver would vote for the sender. The response is not binding; it avoids elections that
// the sender cannot win.
struct PreVoteRequest {
    Term term = 0;  // the term of the election that the sender would start
    LogIndex last_index = 0;
    Term last_term = 0;
};
struct PreVoteResponse {
    Term term = 0;
    Term requested_term = 0;
    bool granted = false;
};
struct VoteRequest {
    Term term = 0;
    LogIndex last_index = 0;
    Term last_term = 0;
};
struct VoteResponse {
    Term term = 0;
    bool granted = false;
};
// A heartbeat if it has no entries.
struct AppendRequest {
    Term term = 0;
    LogIndex previous_index = 0;  // of the entry before the first; 0 with term 0: the log's beginning
    Term previous_term = 0;
    LogIndex commit_index = 0;
    std::uint64_t round = 0;  // the newest heartbeat round of the leader
    std::optional<LeadershipHeartbeat> heartbeat;
    std::vector<LogEntry> entries;
};
struct AppendResponse {
    Term term = 0;
    std::uint64_t round = 0;      // of the request
    LogIndex previous_index = 0;  // of the request
    bool matched = false;
    LogIndex match_index = 0;  // matched: persisted up to here; otherwise the leader retries after this index
};
struct SnapshotChunk {
    Term term = 0;
    LogIndex snapshot_index = 0;
    Term snapshot_term = 0;
    std::uint64_t round = 0;
    std::optional<LeadershipHeartbeat> heartbeat;
    std::uint64_t total_bytes = 0;
    std::uint64_t checksum = 0;  // of the whole state
    std::uint64_t offset = 0;    // of this chunk in the state, bytes
    std::string_view bytes;      // points into the state or into the decoded message
};
struct SnapshotResponse {
    Term term = 0;
    std::uint64_t round = 0;
    LogIndex snapshot_index = 0;
    std::uint64_t checksum = 0;
    std::uint64_t next_offset = 0;  // of the chunk that the receiver expects next, bytes
    bool complete = false;          // the receiver has the whole snapshot
};

using Message = std::variant<PreVoteRequest, PreVoteResponse, VoteRequest, VoteResponse, AppendRequest,
                             AppendResponse, SnapshotChunk, SnapshotResponse>;

Term term_of(const Message& message);

std::string encode_message(const Message& message);
// A chunk's bytes point into `from`. A message that contradicts itself, such as one with decreasing entry
// terms, is malformed too.
tl::expected<Message, FlatError> decode_message(std::string_view from);

}  // namespace linnetlead::raft
