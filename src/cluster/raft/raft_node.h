// One voter of a Raft group: a replicated log by the algorithm of Ongaro and Ousterhout (2014) with pre-vote
// and check-quorum as in etcd/raft. Entry bodies are opaque.
//
// No I/O and no clock of its own. The driver calls tick(), receive() and propose(), takes ready(), carries it
// out in order (first disk writes, then messages) and calls persisted(). Not thread-safe.
//
// RaftNode routes events to its components: RaftLog (entries, commit index, persisted index), Election (role,
// votes, timeouts), Leadership (progress of followers, heartbeat rounds), SnapshotReceiver.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/raft/election.h"
#include "cluster/raft/leadership.h"
#include "cluster/raft/leadership_heartbeat.h"
#include "cluster/raft/monotonic_clock.h"
#include "cluster/raft/raft_log.h"
#include "cluster/raft/raft_message.h"
#include "cluster/raft/snapshot_receiver.h"

namespace linnetlead::raft {

class RaftNode {
public:
    struct Settings {
        int voters = 1;          // 1, 3, 5 or 7; the same on all voters
        int self = 0;            // this voter's number, below `voters`
        std::uint64_t seed = 0;  // of the randomized timeouts
        Duration heartbeat_interval = std::chrono::milliseconds(150);
        // A follower starts an election after one to two times this without a message from a leader; a leader
        // steps down after this without responses from a majority.
        Duration election_timeout = std::chrono::milliseconds(700);
        std::size_t max_message_bytes = 256 * 1024;  // of entries in one message; one entry may be larger
        std::size_t max_uncommitted_bytes = 4 * 1024 * 1024;  // of entries; propose() rejects further ones
        std::size_t snapshot_chunk_bytes = 256 * 1024;
        // Of entries or of a snapshot that are sent to one voter but not yet acknowledged.
        std::size_t max_inflight_bytes = 1024 * 1024;
    };
    using Ready = raft::Ready;

    // From the persisted state. `entries` are consecutive, from the one after the snapshot's index on.
    RaftNode(const Settings& settings, const HardState& hard, LogSnapshot snapshot,
             std::vector<LogEntry> entries);
    RaftNode(const RaftNode&) = delete;
    RaftNode& operator=(const RaftNode&) = delete;

    // `now` is Unix time; it may stand still, jump or go back. Only LeadershipHeartbeat::at relies on it for
    // safety: it is never later than the `now` that was passed when the heartbeat round began.
    void tick(Timestamp now);  // call about every 20 ms
    // Handles a message from another voter. A message that is malformed or contradicts known state is counted
    // and ignored.
    void receive(Timestamp now, int from, std::string_view message);
    // Appends an entry on the leader; returns the index that it has if it is committed. 0: this voter is not
    // the leader, the body is empty or over kMaxEntryBytes, or max_uncommitted_bytes is exceeded.
    LogIndex propose(Timestamp now, std::string body);

    // After a result that needs a disk write, returns an empty one until persisted() is called.
    Ready ready();
    void persisted(Timestamp now);  // the last result of ready() is on disk

    bool is_leader() const { return election_.role() == Role::kLeader; }
    std::optional<int> leader() const;  // nothing: unknown
    Term term() const { return hard_.term; }
    LogIndex commit_index() const { return log_.commit_index(); }
    LogIndex last_index() const { return log_.last_index(); }
    // The first entry in the log; last_index() + 1: there is none.
    LogIndex first_index() const { return log_.snapshot_index() + 1; }
    // The newest one known: the leader's own, or the one received from the leader. Nothing until an entry of
    // the term is committed.
    std::optional<LeadershipHeartbeat> heartbeat() const { return heartbeat_; }

    // Drops entries up to the snapshot's index; a voter that needs them gets this snapshot. An index that
    // ready() has not delivered as committed, or that is not newer than the last snapshot, changes nothing.
    // The caller bounds memory by calling this often enough; a snapshot transfer may keep one older snapshot
    // per voter.
    void compact(LogSnapshot snapshot) { log_.compact(std::move(snapshot)); }

    // Messages that were malformed, contradicted known state or did not come from another voter.
    std::uint64_t ignored_messages() const { return ignored_messages_; }
    // Messages with another encoding version.
    std::uint64_t unknown_versions() const { return unknown_versions_; }

private:
    Timestamp now() const { return clock_.now(); }
    void send(int to, const Message& message);
    template <typename Request>
    void request_votes(Term term);

    // Changes of term and role.
    void enter_later_term(Term term);
    void begin_pre_vote(Timestamp wall_clock);
    void begin_vote(Timestamp wall_clock);
    void become_leader(Timestamp wall_clock);
    void step_down();

    // Messages of each kind.
    void on_pre_vote_request(int from, const PreVoteRequest& request);
    void on_pre_vote_response(Timestamp wall_clock, int from, const PreVoteResponse& response);
    void on_vote_request(int from, const VoteRequest& request);
    void on_vote_response(Timestamp wall_clock, int from, const VoteResponse& response);
    void on_append_request(int from, AppendRequest request);
    void on_append_response(int from, const AppendResponse& response);
    void on_snapshot_chunk(int from, const SnapshotChunk& chunk);
    void on_snapshot_response(int from, const SnapshotResponse& response);

    bool accept_leader(int from, Term term, LogIndex request_index,
                       const std::optional<LeadershipHeartbeat>& heartbeat);
    bool accept_response(int from, Term term, std::uint64_t round);
    bool reject_mismatch(int from, const AppendRequest& request);
    bool append_entries(std::vector<LogEntry> entries);

    void update_heartbeat(const std::optional<LeadershipHeartbeat>& heartbeat);
    void begin_heartbeat_round(Timestamp wall_clock);
    void advance_commit_index();

    const Settings settings_;
    HardState hard_;
    HardState persisted_hard_;  // last given to the driver
    RaftLog log_;
    Election election_;
    std::optional<Leadership> leadership_;  // while this voter leads
    SnapshotReceiver snapshot_receiver_;
    std::optional<LeadershipHeartbeat> heartbeat_;
    MonotonicClock clock_;
    std::vector<std::pair<int, std::string>> messages_;
    bool is_persisting_ = false;  // the driver is writing the last result of ready()
    std::uint64_t ignored_messages_ = 0;
    std::uint64_t unknown_versions_ = 0;
};

}  // namespace linnetlead::raft
