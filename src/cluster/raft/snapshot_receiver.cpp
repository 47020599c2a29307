#include "cluster/raft/snapshot_receiver.h"

#include <utility>

#include "cluster/raft/flat_codec.h"

namespace linnetlead::raft {

bool SnapshotReceiver::is_of(const SnapshotChunk& chunk) const {
    return index_ == chunk.snapshot_index && term_ == chunk.snapshot_term && checksum_ == chunk.checksum &&
           total_bytes_ == chunk.total_bytes;
}

SnapshotReceiver::Progress SnapshotReceiver::add(const SnapshotChunk& chunk) {
    Progress progress;
    const bool is_same = is_of(chunk);
    if (!is_same && chunk.offset != 0) return progress;
    if (!is_same) {
        index_ = chunk.snapshot_index;
        term_ = chunk.snapshot_term;
        checksum_ = chunk.checksum;
        total_bytes_ = chunk.total_bytes;
        state_.clear();
        state_.reserve(total_bytes_);
    }
    if (chunk.offset == state_.size()) state_ += chunk.bytes;
    progress.next_offset = state_.size();
    if (state_.size() != total_bytes_) return progress;
    if (checksum_of(state_) == checksum_) {
        progress.complete = LogSnapshot{index_, term_, std::move(state_)};
    } else {
        progress.is_corrupt = true;
        progress.next_offset = 0;
    }
    reset();
    return progress;
}

}  // namespace linnetlead::raft
