#include "cluster/raft/raft_log.h"

#include <algorithm>
#include <utility>

#include "cluster/raft/flat_codec.h"

namespace linnetlead::raft {

std::uint64_t SharedSnapshot::checksum() {
    if (!checksum_) checksum_ = checksum_of(snapshot_.state);
    return *checksum_;
}

RaftLog::RaftLog(LogSnapshot snapshot, std::vector<LogEntry> entries)
    : snapshot_index_(snapshot.index), snapshot_term_(snapshot.term) {
    snapshot_ = std::make_shared<SharedSnapshot>(std::move(snapshot));
    for (LogEntry& entry : entries) {
        if (entry.index == last_index() + 1) append(std::move(entry));
    }
    commit_index_ = delivered_index_ = snapshot_index_;
    persisted_index_ = taken_index_ = last_index();
}

Term RaftLog::term_at(LogIndex index) const {
    return index == snapshot_index_ ? snapshot_term_ : entry(index).term;
}

std::uint64_t RaftLog::bytes_up_to(LogIndex index) const {
    if (index <= snapshot_index_) return snapshot_bytes_up_to_;
    return entries_[index - snapshot_index_ - 1].bytes_up_to;
}

bool RaftLog::is_candidate_up_to_date(LogIndex candidate_last_index, Term candidate_last_term) const {
    if (candidate_last_term != last_term()) return candidate_last_term > last_term();
    return candidate_last_index >= last_index();
}

void RaftLog::append(LogEntry entry) {
    const std::uint64_t bytes = bytes_up_to(last_index()) + entry.body.size() + kEntryOverheadBytes;
    entries_.push_back({std::move(entry), bytes});
}

void RaftLog::truncate_from(LogIndex from) {
    if (from <= taken_index_) {
        truncate_from_ = truncate_from_ ? std::min(truncate_from_, from) : from;
        taken_index_ = from - 1;
        persisted_index_ = std::min(persisted_index_, taken_index_);
        persisting_up_to_ = std::min(persisting_up_to_, taken_index_);
    }
    entries_.resize(from - snapshot_index_ - 1);
}

void RaftLog::commit_up_to(LogIndex index) { commit_index_ = std::max(commit_index_, index); }

void RaftLog::install(LogSnapshot snapshot, std::uint64_t checksum) {
    entries_.clear();
    snapshot_index_ = snapshot.index;
    snapshot_term_ = snapshot.term;
    snapshot_bytes_up_to_ = 0;
    snapshot_ = std::make_shared<SharedSnapshot>(std::move(snapshot), checksum);
    commit_index_ = delivered_index_ = persisted_index_ = taken_index_ = snapshot_index_;
    persisting_up_to_ = 0;
    truncate_from_ = 0;
    is_compaction_due_ = false;
    is_install_due_ = true;
}

void RaftLog::compact(LogSnapshot snapshot) {
    if (snapshot.index <= snapshot_index_ || snapshot.index > delivered_index_) return;
    snapshot.term = term_at(snapshot.index);
    snapshot_bytes_up_to_ = bytes_up_to(snapshot.index);
    snapshot_term_ = snapshot.term;
    const auto dropped = static_cast<std::ptrdiff_t>(snapshot.index - snapshot_index_);
    entries_.erase(entries_.begin(), entries_.begin() + dropped);
    snapshot_index_ = snapshot.index;
    snapshot_ = std::make_shared<SharedSnapshot>(std::move(snapshot));
    is_compaction_due_ = !is_install_due_;  // a pending install writes this newer snapshot instead
}

void RaftLog::take_unpersisted(Ready& ready) {
    if (std::exchange(is_install_due_, false)) ready.install = snapshot_->get();
    if (std::exchange(is_compaction_due_, false)) ready.compact = snapshot_->get();
    ready.truncate_from = std::exchange(truncate_from_, 0);
    while (taken_index_ < last_index()) ready.append.push_back(entry(++taken_index_));
}

void RaftLog::take_committed(Ready& ready, std::size_t max_bytes) {
    std::size_t bytes = 0;
    while (delivered_index_ < commit_index_ && bytes < max_bytes) {
        ready.committed.push_back(entry(++delivered_index_));
        bytes += ready.committed.back().body.size() + kEntryOverheadBytes;
    }
}

void RaftLog::end_persisting() { persisted_index_ = std::max(persisted_index_, persisting_up_to_); }

}  // namespace linnetlead::raft
