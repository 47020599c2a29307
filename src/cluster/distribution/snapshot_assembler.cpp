#include "cluster/distribution/snapshot_assembler.h"

#include <utility>

namespace linnetlead::distribution {

namespace {

constexpr std::size_t kSmallStoreBytes = 8 * 1024 * 1024;  // beside a smaller store, a second one is built

}  // namespace

bool SnapshotAssembler::add(const SnapshotChunk& chunk, std::size_t store_bytes) {
    if (chunk.sequence == 0) {
        clear();
        since_revision_ = chunk.since_revision;
        if (chunk.since_revision == 0 && store_bytes < kSmallStoreBytes) snapshot_.store.emplace();
    }
    if (chunk.sequence != next_sequence_ || since_revision_ != chunk.since_revision) return false;
    ++next_sequence_;
    if (!snapshot_.store) {
        snapshot_.chunks.push_back(compress_entries(chunk.entries));
        return true;
    }
    for (const auto& entry : chunk.entries) {
        std::optional<std::string_view> value;
        if (entry.value) value = *entry.value;
        snapshot_.store->set(entry.key, value, entry.revision);
    }
    return true;
}

SnapshotAssembler::Snapshot SnapshotAssembler::finish() {
    Snapshot finished = std::move(snapshot_);
    clear();
    return finished;
}

void SnapshotAssembler::clear() {
    next_sequence_ = 0;
    since_revision_.reset();
    snapshot_ = {};
}

}  // namespace linnetlead::distribution
