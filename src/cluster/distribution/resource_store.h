// A compact key-value store for the state that the records make up: each key has its value and the index of
// the record that last set it. History holds one; gateways look up resources in it. 760,000 keys of 25 bytes
// with values of 60 bytes must take well under 128 MB. No I/O.
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "cluster/distribution/change.h"

namespace linnetlead::distribution {

class ResourceStore {
public:
    // Removed keys that are remembered; beyond this, the oldest are forgotten.
    static constexpr std::size_t kMaxTombstones = 65536;

    ResourceStore();
    ResourceStore(ResourceStore&&) = default;
    ResourceStore& operator=(ResourceStore&&) = default;
    void clear();
    // The result is valid until the store changes.
    std::optional<std::string_view> find(std::string_view key) const;
    LogIndex revision_of(std::string_view key) const;  // 0: never set, or its removal is forgotten
    // No value: removes the key. A key or value over the limits of a change is ignored.
    void set(std::string_view key, std::optional<std::string_view> value, LogIndex index);

    std::size_t size() const;   // keys that have a value
    std::size_t bytes() const;  // of memory, approximately
    // Calls `visit` for each key with this prefix, in no particular order.
    void for_each(std::string_view prefix,
                  const std::function<void(std::string_view key, std::string_view value)>& visit) const;
    // Reads the entries that changed after `since` in slices of about `max_bytes`, starting at `position`;
    // removed keys have no value. Returns the position of the next slice; 0: there is none. The store may
    // change between slices: an entry that is set meanwhile is visited (again) before the end, so that the
    // last visit of each key gives the state at the end. Positions become invalid only by clear(), or when
    // tombstones_since() has grown.
    std::size_t read_slice(
        std::size_t position, LogIndex since, std::size_t max_bytes,
        const std::function<void(std::string_view key, std::optional<std::string_view> value,
                                 LogIndex index)>& visit) const;
    // All removals after this index are remembered. A copy that is older needs a full state.
    LogIndex tombstones_since() const { return tombstones_since_; }
    void forget_tombstones(LogIndex through_index);  // removals up to it may be incomplete
    std::uint64_t hash() const { return hash_; }     // of all keys and values, independent of their order
    // The share of a key and its value in hash(), which is the sum of all.
    static std::uint64_t entry_hash(std::string_view key, std::string_view value);

private:
    // Entries are stored contiguously in chunks; a new value is appended to the last chunk, and the old entry
    // becomes garbage. When there is too much garbage, the live entries of the chunk with the most are moved
    // to the end, one chunk at a time.
    static constexpr std::size_t kChunkSize = 256 * 1024;
    // Values of Slot::entry for an empty slot and for that of a forgotten key. kFirstOffset keeps references
    // to entries above them.
    static constexpr std::size_t kFirstOffset = 8;
    static constexpr std::uint32_t kNoEntry = 0, kForgottenEntry = 1;
    struct Chunk {
        std::unique_ptr<char[]> bytes;
        std::uint64_t sequence = 0;
        std::size_t used = kFirstOffset, live = 0;  // bytes
        LogIndex newest_index = 0;
    };
    struct Slot {
        std::uint32_t hash = 0, entry = kNoEntry;
    };
    struct Entry;
    Entry entry_at(std::uint32_t reference) const;
    Entry read(const Chunk& chunk, std::size_t offset) const;
    std::optional<std::size_t> slot_of(std::string_view key, std::uint64_t hash) const;
    std::uint32_t append(std::string_view key, std::optional<std::string_view> value, LogIndex index);
    void insert_slot(std::uint32_t hash, std::uint32_t entry);
    void mark_garbage(std::uint32_t reference);
    void grow_slots();
    void compact_chunks();
    void limit_tombstones();

    std::vector<Chunk> chunks_;         // indexed by the upper half of a reference; without bytes: free
    std::vector<std::uint32_t> order_;  // chunks in use by sequence; entries are appended to the last
    std::vector<Slot> slots_;
    std::size_t used_slots_ = 0;  // slots that are not empty
    std::size_t entries_ = 0;     // including removed keys that are remembered
    std::size_t size_ = 0;
    std::size_t live_bytes_ = 0;  // in entries that are not garbage
    std::uint64_t last_sequence_ = 0;
    std::uint64_t hash_ = 0;
    std::deque<std::pair<LogIndex, std::uint64_t>> tombstones_;  // index and key hash; some are outdated
    LogIndex tombstones_since_ = 0;
};

}  // namespace linnetlead::distribution
