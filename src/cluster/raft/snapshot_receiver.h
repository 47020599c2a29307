// Assembles a leader's snapshot from its chunks, on a voter whose log ends before the leader's begins.
// RaftNode owns it.
#pragma once

#include <string>

#include "cluster/raft/raft_message.h"

namespace linnetlead::raft {

class SnapshotReceiver {
public:
    struct Progress {
        std::uint64_t next_offset = 0;  // of the chunk expected next, bytes
        bool is_corrupt = false;        // the whole state failed its checksum; the transfer restarts
        std::optional<LogSnapshot> complete;
    };
    // A chunk that is not the next one is ignored; the result states the expected offset. A chunk of another
    // snapshot restarts the assembly if its offset is 0, and is ignored otherwise.
    Progress add(const SnapshotChunk& chunk);
    void reset() { *this = SnapshotReceiver(); }

private:
    bool is_of(const SnapshotChunk& chunk) const;

    LogIndex index_ = 0;  // 0: none
    Term term_ = 0;
    std::uint64_t checksum_ = 0;
    std::uint64_t total_bytes_ = 0;
    std::string state_;  // received so far
};

}  // namespace linnetlead::raft
