// The types that all parts of the Raft implementation share, named as in the Raft paper (Ongaro, Ousterhout
// 2014): terms, log indexes, entries, the hard state, snapshots, and the work that a node hands to its
// driver.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::raft {

using policy::Duration;
using policy::Timestamp;

using Term = std::uint64_t;      // from 1 on; 0: before the first election
using LogIndex = std::uint64_t;  // from 1 on, without gaps; 0: none

constexpr int kMaxVoters = 7;
constexpr std::size_t kMaxEntryBytes = 1536 * 1024;  // of an entry's body: fits a change of the maximum size
// Of a snapshot's state; less than storage::kMaxDecompressedBytes.
constexpr std::size_t kMaxSnapshotBytes = 240 * 1024 * 1024;
constexpr std::size_t kMaxMessageEntries = 1024;  // in one append request

// The body is opaque. An empty body marks the first entry of a term, which the leader itself appends.
struct LogEntry {
    LogIndex index = 0;
    Term term = 0;
    std::string body;
};

// The state that has to survive a crash in addition to the log.
struct HardState {
    Term term = 0;
    int vote = -1;  // the voter that received this voter's vote in that term; -1: none
    friend bool operator==(const HardState& a, const HardState& b) {
        return a.term == b.term && a.vote == b.vote;
    }
};

// The applied state at an index, which replaces all entries up to it: for a voter whose log ends before the
// leader's begins, and for this voter when it restarts.
struct LogSnapshot {
    LogIndex index = 0;  // of the last entry that it includes; 0: no snapshot
    Term term = 0;       // of that entry
    std::string state;   // opaque
};

// The work that a node hands to its driver, to be done in the order of the members.
struct Ready {
    std::optional<LogSnapshot> install;  // replaces all entries, on disk and as the applied state
    LogIndex truncate_from = 0;          // entries from this index on are dropped; 0: none
    std::vector<LogEntry> append;
    std::optional<HardState> hard;
    // Receiver and bytes; send only after the members above are on disk.
    std::vector<std::pair<int, std::string>> messages;
    // Entries to apply, in order, each delivered once per process. About
    // RaftNode::Settings::max_uncommitted_bytes at a time; the next Ready has the rest.
    std::vector<LogEntry> committed;
    // The snapshot of RaftNode::compact(), to persist: entries up to its index are dropped, later ones stay.
    std::optional<LogSnapshot> compact;

    bool to_disk() const { return install || truncate_from || !append.empty() || hard || compact; }
    bool empty() const { return !to_disk() && messages.empty() && committed.empty(); }
};

}  // namespace linnetlead::raft
