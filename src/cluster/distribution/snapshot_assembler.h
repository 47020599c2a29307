// Collects the chunks of a snapshot for Follower until it is complete. No I/O and no clock.
#pragma once

#include "cluster/distribution/history.h"

namespace linnetlead::distribution {

class SnapshotAssembler {
public:
    struct Snapshot {
        std::vector<std::string> chunks;     // compressed entries, in order; empty if `store` is set
        std::optional<ResourceStore> store;  // a full state, built as its chunks arrived
    };
    // False: the chunk does not follow the previous one. `store_bytes` is the size of the active state: if
    // that is large, there is no memory for a second one, and the chunks are kept compressed instead.
    bool add(const SnapshotChunk& chunk, std::size_t store_bytes);
    // After the last chunk was added: returns the snapshot and clears the assembler.
    Snapshot finish();
    void clear();

private:
    std::uint64_t next_sequence_ = 0;
    std::optional<Revision> since_revision_;  // of the snapshot in progress
    Snapshot snapshot_;
};

}  // namespace linnetlead::distribution
