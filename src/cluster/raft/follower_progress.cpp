#include "cluster/raft/follower_progress.h"

#include <algorithm>
#include <utility>

namespace linnetlead::raft {

bool FollowerProgress::record_response(std::uint64_t round, Timestamp now) {
    last_response_at_ = now;
    if (round <= answered_round_) return false;
    answered_round_ = round;
    return true;
}

void FollowerProgress::advance_match_index(LogIndex index) {
    is_probing_ = false;
    match_index_ = std::max(match_index_, index);
    next_index_ = std::max(next_index_, match_index_ + 1);
}

bool FollowerProgress::on_append_response(const AppendResponse& response, LogIndex snapshot_index) {
    if (response.matched) {
        // A response to a heartbeat during a transfer does not state how far the log matches.
        if (transfer_ && response.match_index < transfer_->snapshot->get().index) return false;
        transfer_.reset();
        advance_match_index(response.match_index);
        return true;
    }
    const bool is_outdated =
        response.previous_index <= match_index_ || response.previous_index >= next_index_;
    if (transfer_ || is_outdated) return false;
    next_index_ = std::max(match_index_ + 1, std::min(response.previous_index, response.match_index + 1));
    is_probing_ = next_index_ > snapshot_index;  // otherwise it needs the snapshot
    if (is_probing_) is_heartbeat_due_ = true;
    return false;
}

bool FollowerProgress::on_snapshot_response(const SnapshotResponse& response, Timestamp now) {
    if (!transfer_ || transfer_->snapshot->get().index != response.snapshot_index ||
        transfer_->snapshot->checksum() != response.checksum) {
        return false;
    }
    if (response.complete) {
        transfer_.reset();
        next_index_ = response.snapshot_index + 1;
        advance_match_index(response.snapshot_index);
        return true;
    }
    if (response.next_offset > transfer_->snapshot->get().state.size()) return false;
    transfer_->requested_offset = response.next_offset;
    if (response.next_offset > transfer_->acknowledged_bytes) {
        transfer_->acknowledged_bytes = response.next_offset;
        // The follower may hold more bytes from an earlier transfer.
        transfer_->sent_bytes = std::max(transfer_->sent_bytes, response.next_offset);
        transfer_->progressed_at = now;
    }
    return false;
}

void FollowerProgress::cancel_unresponsive_transfer(Timestamp now, Duration silence) {
    if (!transfer_ || now - last_response_at_ < silence) return;
    transfer_.reset();
    is_probing_ = true;
}

std::optional<Message> FollowerProgress::next_message(const RaftLog& log, const LeaderState& leader,
                                                      const Limits& limits, Timestamp now) {
    if (!transfer_ && !is_probing_ && next_index_ <= log.snapshot_index()) {
        transfer_.emplace();
        transfer_->snapshot = log.snapshot();
        transfer_->progressed_at = now;
    }
    return transfer_ ? next_chunk(leader, limits, now) : next_append(log, leader, limits);
}

std::optional<Message> FollowerProgress::next_append(const RaftLog& log, const LeaderState& leader,
                                                     const Limits& limits) {
    // A probe before the log's first index is moved up to it; the response tells whether a snapshot is
    // needed.
    next_index_ = std::max(next_index_, log.snapshot_index() + 1);
    const LogIndex first_unsent = next_index_;
    const LogIndex sendable_commit_index = std::min(log.commit_index(), first_unsent - 1);
    LogIndex up_to = log.last_index();
    if (is_probing_) up_to = is_first_message_ ? leader.first_index : 0;
    const std::uint64_t inflight_bytes = log.bytes_up_to(first_unsent - 1) - log.bytes_up_to(match_index_);
    const bool may_send_entries = first_unsent <= up_to && inflight_bytes < limits.max_inflight_bytes;
    const bool has_new_commit_index = !is_probing_ && sendable_commit_index > sent_commit_index_;
    if (!may_send_entries && !is_heartbeat_due_ && !has_new_commit_index) return std::nullopt;

    AppendRequest request;
    request.term = leader.term;
    request.round = leader.round;
    request.heartbeat = leader.heartbeat;
    request.previous_index = first_unsent - 1;
    request.previous_term = log.term_at(request.previous_index);
    request.commit_index = log.commit_index();
    std::size_t bytes = 0;
    while (may_send_entries && next_index_ <= up_to && request.entries.size() < kMaxMessageEntries) {
        bytes += log.entry(next_index_).body.size() + kEntryOverheadBytes;
        if (!request.entries.empty() && bytes > limits.max_message_bytes) break;
        request.entries.push_back(log.entry(next_index_++));
    }
    sent_commit_index_ = std::max(sent_commit_index_, std::min(log.commit_index(), next_index_ - 1));
    is_heartbeat_due_ = is_first_message_ = false;
    return request;
}

std::optional<Message> FollowerProgress::next_chunk(const LeaderState& leader, const Limits& limits,
                                                    Timestamp now) {
    if (std::exchange(is_heartbeat_due_, false)) {  // with previous index 0, which matches every log
        AppendRequest heartbeat;
        heartbeat.term = leader.term;
        heartbeat.round = leader.round;
        heartbeat.heartbeat = leader.heartbeat;
        return heartbeat;
    }
    const LogSnapshot& snapshot = transfer_->snapshot->get();
    // Chunks were lost, or the follower restarted the transfer.
    if (now - transfer_->progressed_at > limits.snapshot_retry) {
        transfer_->acknowledged_bytes = transfer_->sent_bytes = transfer_->requested_offset;
        transfer_->is_started = false;
        transfer_->progressed_at = now;
    }
    const bool has_more = transfer_->sent_bytes < snapshot.state.size();
    const std::uint64_t inflight_bytes = transfer_->sent_bytes - transfer_->acknowledged_bytes;
    if (transfer_->is_started && !(has_more && inflight_bytes < limits.max_inflight_bytes))
        return std::nullopt;

    SnapshotChunk chunk;
    chunk.term = leader.term;
    chunk.round = leader.round;
    chunk.heartbeat = leader.heartbeat;
    chunk.snapshot_index = snapshot.index;
    chunk.snapshot_term = snapshot.term;
    chunk.total_bytes = snapshot.state.size();
    chunk.checksum = transfer_->snapshot->checksum();
    chunk.offset = transfer_->sent_bytes;
    chunk.bytes = std::string_view(snapshot.state).substr(chunk.offset, limits.snapshot_chunk_bytes);
    transfer_->sent_bytes += chunk.bytes.size();
    transfer_->is_started = true;
    return chunk;
}

}  // namespace linnetlead::raft
