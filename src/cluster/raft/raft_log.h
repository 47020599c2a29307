// The in-memory log of one voter: the snapshot that precedes its entries, the entries, and the indexes up to
// which they are committed, delivered to the driver, and persisted. RaftNode owns it. No I/O.
#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "cluster/raft/raft_types.h"

namespace linnetlead::raft {

// Bytes that each entry counts in addition to its body in all size limits on entries.
constexpr std::size_t kEntryOverheadBytes = 16;

// A snapshot that the log shares with the transfers to followers: a compaction gives the log a newer one,
// while a running transfer continues with its own.
class SharedSnapshot {
public:
    explicit SharedSnapshot(LogSnapshot snapshot) : snapshot_(std::move(snapshot)) {}
    SharedSnapshot(LogSnapshot snapshot, std::uint64_t checksum)
        : snapshot_(std::move(snapshot)), checksum_(checksum) {}
    const LogSnapshot& get() const { return snapshot_; }
    std::uint64_t checksum();  // of the state; computed on first use

private:
    LogSnapshot snapshot_;
    std::optional<std::uint64_t> checksum_;
};

class RaftLog {
public:
    // From the persisted state. Entries that do not continue the sequence from the snapshot on are skipped.
    RaftLog(LogSnapshot snapshot, std::vector<LogEntry> entries);

    LogIndex snapshot_index() const { return snapshot_index_; }
    LogIndex last_index() const { return snapshot_index_ + entries_.size(); }
    Term last_term() const { return term_at(last_index()); }
    // `index`: above snapshot_index(), at most last_index().
    const LogEntry& entry(LogIndex index) const { return entries_[index - snapshot_index_ - 1].entry; }
    // `index`: from snapshot_index() to last_index().
    Term term_at(LogIndex index) const;
    // The total size of the entries up to this index, from an arbitrary origin; use only differences.
    std::uint64_t bytes_up_to(LogIndex index) const;
    std::uint64_t uncommitted_bytes() const { return bytes_up_to(last_index()) - bytes_up_to(commit_index_); }
    // Whether a candidate's log is at least as up-to-date as this one (section 5.4.1 of the paper).
    bool is_candidate_up_to_date(LogIndex candidate_last_index, Term candidate_last_term) const;

    LogIndex commit_index() const { return commit_index_; }
    LogIndex persisted_index() const { return persisted_index_; }
    // The last committed entry that was given to the driver.
    LogIndex delivered_index() const { return delivered_index_; }
    const std::shared_ptr<SharedSnapshot>& snapshot() const { return snapshot_; }

    void append(LogEntry entry);
    void truncate_from(LogIndex from);  // `from` is above the commit index
    void commit_up_to(LogIndex index);  // a lower index changes nothing
    // Replaces the whole log by the leader's snapshot.
    void install(LogSnapshot snapshot, std::uint64_t checksum);
    // Drops the entries up to the snapshot's index, which must be delivered and newer than the current
    // snapshot; otherwise nothing changes.
    void compact(LogSnapshot snapshot);

    // Adds to `ready` the changes that are not persisted yet.
    void take_unpersisted(Ready& ready);
    // Adds to `ready` committed entries that are not delivered yet, until they reach `max_bytes`.
    void take_committed(Ready& ready, std::size_t max_bytes);
    // Enclose the driver's write of what take_unpersisted() returned. Entries that are truncated meanwhile do
    // not become persisted.
    void begin_persisting() { persisting_up_to_ = taken_index_; }
    void end_persisting();

private:
    struct HeldEntry {
        LogEntry entry;
        std::uint64_t bytes_up_to = 0;
    };

    std::deque<HeldEntry> entries_;  // from snapshot_index_ + 1 on
    std::shared_ptr<SharedSnapshot> snapshot_;
    LogIndex snapshot_index_ = 0;
    Term snapshot_term_ = 0;
    std::uint64_t snapshot_bytes_up_to_ = 0;
    LogIndex commit_index_ = 0;
    LogIndex delivered_index_ = 0;
    LogIndex taken_index_ = 0;  // last entry that was given to the driver to persist
    LogIndex persisting_up_to_ = 0;
    LogIndex persisted_index_ = 0;
    LogIndex truncate_from_ = 0;  // truncation not yet given to the driver; 0: none
    bool is_install_due_ = false;
    bool is_compaction_due_ = false;
};

}  // namespace linnetlead::raft
