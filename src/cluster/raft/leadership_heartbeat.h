// The proof of leadership that the leader of a Raft group sends, for readers that act on committed entries
// under a lease.
#pragma once

#include "cluster/raft/raft_types.h"

namespace linnetlead::raft {

// At time `at` of the leader's clock, a majority of the voters accepted it as leader, and `committed` was its
// commit index. No entry after `committed` was committed before `at`. So a reader that has all entries up to
// `committed` may act on them until `at` plus the lease, whatever happens in the group meanwhile.
struct LeadershipHeartbeat {
    Term term = 0;
    Timestamp at{};  // Unix time
    LogIndex committed = 0;
    friend bool operator==(const LeadershipHeartbeat& a, const LeadershipHeartbeat& b) {
        return a.term == b.term && a.at == b.at && a.committed == b.committed;
    }
};

}  // namespace linnetlead::raft
