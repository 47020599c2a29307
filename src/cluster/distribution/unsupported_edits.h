// Tracks the edits that this gateway does not support: by change while the change is pending, by key in the
// active state. Used by Follower. No I/O.
#pragma once

#include <functional>
#include <map>
#include <unordered_set>

#include "cluster/distribution/history.h"

namespace linnetlead::distribution {

class UnsupportedEdits {
public:
    // Returns the positions of a change's edits that are not supported.
    using Check = std::function<std::vector<std::size_t>(const Change&)>;
    // If `check` is empty, everything is supported. It must outlive this object.
    explicit UnsupportedEdits(const Check& check) : check_(check) {}

    void on_pending(const Record& change);
    // The change has become active: marks its keys as supported or unsupported.
    void on_active(const Record& change);
    // Changes up to `applied_index`, and those after `last_index`, are no longer pending.
    void drop_applied(LogIndex applied_index);
    void drop_beyond(LogIndex last_index);
    void clear_pending() { pending_edits_.clear(); }
    void clear();
    // The active state was replaced: checks all of it, or only the entries of a snapshot, whose keys it
    // appends to `keys`.
    void recheck(const ResourceStore& store);
    void recheck(std::vector<SnapshotChunk::Entry> entries, std::vector<std::string>& keys);

    bool is_unsupported(const std::string& key) const { return unsupported_keys_.count(key) != 0; }
    // Newest first, for changes that are neither scheduled for activation nor withdrawn.
    std::vector<UnsupportedCount> counts(const History& history, const std::string& gateway) const;

private:
    const Check& check_;
    std::map<LogIndex, std::vector<std::size_t>> pending_edits_;  // index of the change -> sorted positions
    std::unordered_set<std::string> unsupported_keys_;            // unsupported keys of the active state
};

}  // namespace linnetlead::distribution
