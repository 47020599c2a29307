// The leader's state for one follower (the paper's nextIndex and matchIndex, etcd/raft's Progress), and the
// next message to it: entries within a window, or snapshot chunks if its log ends before the leader's begins.
// Leadership owns one for each voter.
//
// While the leader probes for the index up to which the logs match, it sends the follower no entry but the
// first of the term, so that an unresponsive follower costs no bandwidth. A transfer keeps the snapshot with
// which it started even if the log is compacted meanwhile; otherwise frequent compactions would restart it
// forever.
#pragma once

#include <memory>

#include "cluster/raft/raft_log.h"
#include "cluster/raft/raft_message.h"

namespace linnetlead::raft {

// The transfer of a snapshot to one follower.
struct SnapshotTransfer {
    std::shared_ptr<SharedSnapshot> snapshot;
    std::uint64_t acknowledged_bytes = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t requested_offset = 0;  // next offset in the follower's last response
    bool is_started = false;
    Timestamp progressed_at{};
};

class FollowerProgress {
public:
    struct Limits {
        std::size_t max_message_bytes = 0;  // of entries in one append request; a single entry may be larger
        // Of entries or of a snapshot that are sent but not yet acknowledged.
        std::size_t max_inflight_bytes = 0;
        std::size_t snapshot_chunk_bytes = 0;
        Duration snapshot_retry{};  // without progress for this long, sent chunks are considered lost
    };
    // The fields that the leader puts into each request.
    struct LeaderState {
        Term term = 0;
        std::uint64_t round = 0;
        LogIndex first_index = 0;  // of the term's first entry
        std::optional<LeadershipHeartbeat> heartbeat;
    };

    FollowerProgress() = default;
    FollowerProgress(LogIndex next_index, Timestamp now) : next_index_(next_index), last_response_at_(now) {}

    LogIndex match_index() const { return match_index_; }  // persisted by the follower
    std::uint64_t answered_round() const { return answered_round_; }

    void request_heartbeat() { is_heartbeat_due_ = true; }
    // Records a response to a request of this round. Returns whether the round is newer than all before.
    bool record_response(std::uint64_t round, Timestamp now);
    // Both return whether the match index may have increased.
    bool on_append_response(const AppendResponse& response, LogIndex snapshot_index);
    bool on_snapshot_response(const SnapshotResponse& response, Timestamp now);
    // Ends the transfer to a follower that has not responded for `silence`, so that it keeps no old snapshot
    // in memory and gets no more chunks. The follower keeps what it has received and may resume later.
    void cancel_unresponsive_transfer(Timestamp now, Duration silence);

    // The next message to the follower, in order. Call until it returns nothing; more follows after a
    // response, a proposal or a heartbeat request.
    std::optional<Message> next_message(const RaftLog& log, const LeaderState& leader, const Limits& limits,
                                        Timestamp now);

private:
    void advance_match_index(LogIndex index);
    std::optional<Message> next_append(const RaftLog& log, const LeaderState& leader, const Limits& limits);
    std::optional<Message> next_chunk(const LeaderState& leader, const Limits& limits, Timestamp now);

    LogIndex match_index_ = 0;
    LogIndex next_index_ = 1;       // the first entry that is not yet sent
    bool is_probing_ = true;        // the index up to which the logs match is unknown
    bool is_first_message_ = true;  // nothing was sent in this term yet
    bool is_heartbeat_due_ = false;
    LogIndex sent_commit_index_ = 0;
    std::uint64_t answered_round_ = 0;
    Timestamp last_response_at_{};
    std::optional<SnapshotTransfer> transfer_;
};

}  // namespace linnetlead::raft
