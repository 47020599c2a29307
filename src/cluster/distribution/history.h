// The log records that a process holds, and the state that its active changes make up. Gateways and relays
// use it alike, through Follower or VotingLog. A change waits here until the time of the activation record
// that covers it. Decided records may be retained for followers that lack them. No I/O and no clock.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "cluster/distribution/frames.h"
#include "cluster/distribution/resource_store.h"

namespace linnetlead::distribution {

class History {
public:
    // Limits for the decided records that are retained. All undecided records stay.
    struct Retention {
        std::size_t records = 0;
        std::size_t bytes = 0;
    };
    History() = default;
    explicit History(Retention retention) : retention_(retention) {}
    History(History&&) = default;
    History& operator=(History&&) = default;

    const ResourceStore& store() const { return store_; }
    // The active state reflects the log up to this index: each change up to here is active or withdrawn, and
    // each activation up to here has been applied.
    LogIndex applied_index() const { return applied_index_; }
    std::uint64_t applied_term() const { return applied_term_; }
    LogIndex last_index() const { return last_index_; }
    std::uint64_t last_term() const { return last_term_; }
    LogIndex activation_index() const { return activation_index_; }  // the newest applied activation
    LogIndex revision() const { return revision_; }                  // the newest active change
    Timestamp activated_at() const { return activated_at_; }         // the time in that activation record
    // The newest change that an activation record covers, applied or not.
    LogIndex scheduled_through() const { return scheduled_through_; }
    // The newest activation record, applied or not.
    LogIndex newest_activation() const { return newest_activation_; }
    Timestamp newest_activation_time() const { return newest_activation_time_; }

    // The oldest record held; last_index() + 1 if none is.
    LogIndex first_index() const { return last_index_ + 1 - records_.size(); }
    // nullptr if the record is not held.
    const Record* at(LogIndex index) const;
    // Known for the records held and for the last applied one.
    std::optional<std::uint64_t> term_of(LogIndex index) const;
    // Approximate size of the records held between `from` and `to`, both included.
    std::size_t bytes(LogIndex from, LogIndex to) const;
    std::size_t pending_bytes() const { return bytes(applied_index_ + 1, last_index_); }

    enum class AddResult { kAdded, kAlreadyKnown, kGap, kConflict };
    AddResult add(Record record);
    bool is_withdrawn(LogIndex change) const { return withdrawn_.count(change) != 0; }
    // Changes that are neither active nor withdrawn; with `only_unscheduled`, those that no activation record
    // covers yet.
    void for_each_pending(bool only_unscheduled, const std::function<void(const Record&)>& visit) const;
    std::size_t pending_change_count() const { return pending_change_count_; }
    // The edit of the key in the newest pending change (nullptr if there is none), and that change's index
    // (or 0).
    const Edit* pending(std::string_view key) const;
    LogIndex newest_pending_revision(std::string_view key) const;

    std::optional<Timestamp> next_activation_time() const;  // of the next activation to apply
    // Applies one activation that is due: its changes in log order, with a call of `on_applied` after each.
    // Returns false if none is due.
    bool activate_next(Timestamp now, const std::function<void(const Record&)>& on_applied);

    // Installs a snapshot from the compressed entries of its chunks; `last` gives the fields of the last
    // chunk. With kHashMismatch the resulting state would have another hash than the snapshot; nothing has
    // changed then.
    enum class SnapshotResult { kApplied, kHashMismatch, kNotContiguous, kCorrupted };
    SnapshotResult install_snapshot(const SnapshotChunk& last, const std::vector<std::string>& compressed);
    // Installs a full snapshot whose state was already built.
    SnapshotResult install_snapshot(const SnapshotChunk& last, ResourceStore&& built);
    // Removes all records and the state.
    void clear();

    // Appends one checksummed part of the saved history to `out`; returns false after the last. Parts keep
    // each step short and need no copy of the state; the history may change between two steps. `with_records`
    // includes the undecided records. `extra` supplies the caller's own data with the last part; restore()
    // returns it. If the store has dropped tombstones since the first part, `out` is cleared and the save
    // starts again.
    struct SaveCursor {
        std::size_t store_position = 0;
        std::uint64_t parts = 0;
        LogIndex tombstones_since = 0;
    };
    bool save_part(SaveCursor& cursor, bool with_records, const std::function<std::string()>& extra,
                   std::string& out) const;
    // All parts at once.
    std::string save(bool with_records, const std::string& extra) const;
    // Returns false, and leaves the history unchanged, if the data is damaged.
    bool restore(std::string_view saved, std::string& extra);

private:
    struct EditPosition {
        LogIndex index = 0;
        std::size_t edit = 0;
    };
    void rebase_on(const SnapshotChunk& last, std::deque<Record> later_records);
    void index_pending_keys(const Record& record);
    void rebuild_pending_keys();
    void advance_applied_index();
    void drop_beyond_retention();

    Retention retention_;
    ResourceStore store_;
    LogIndex applied_index_ = 0, last_index_ = 0, activation_index_ = 0, revision_ = 0,
             scheduled_through_ = 0, newest_activation_ = 0;
    std::uint64_t applied_term_ = 0, last_term_ = 0;
    Timestamp activated_at_{}, newest_activation_time_{};
    std::deque<Record> records_;                  // without gaps; the last has index last_index_
    std::deque<std::uint64_t> cumulative_bytes_;  // per record: total bytes up to and including it
    std::uint64_t total_bytes_ = 0;
    std::deque<LogIndex> pending_activations_;  // held and not applied yet
    std::set<LogIndex> withdrawn_;              // changes after applied_index_
    std::size_t pending_change_count_ = 0;
    std::unordered_map<std::string_view, EditPosition> pending_keys_;  // keys point into records_
};

// Compression of a snapshot chunk's entries; decompression returns false for damaged data.
std::string compress_entries(const std::vector<SnapshotChunk::Entry>& entries);
bool decompress_entries(std::string_view compressed, std::vector<SnapshotChunk::Entry>& entries);

}  // namespace linnetlead::distribution
