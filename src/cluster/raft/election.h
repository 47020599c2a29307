// The election state of one voter: its role, the votes and pre-votes that it has collected, and the timeout
// after which it starts an election. RaftNode owns it and handles terms, the persisted vote and messages.
// No I/O; timestamps are on the node's monotonic clock.
//
// Pre-votes keep a voter that was partitioned from ending the term of a working leader when it reconnects,
// which would cause needless elections. Randomized timeouts, and yielding once to a competing candidate, keep
// two voters that detect the loss of a leader at the same time from splitting the votes repeatedly. Safety
// depends on none of this: it rests on one persisted vote per term.
#pragma once

#include <random>

#include "cluster/raft/raft_types.h"

namespace linnetlead::raft {

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

class Election {
public:
    struct Settings {
        int voters = 1;
        int self = 0;
        std::uint64_t seed = 0;
        Duration heartbeat_interval{};
        Duration election_timeout{};
    };
    explicit Election(const Settings& settings);

    Role role() const { return role_; }
    int leader() const { return leader_; }  // -1: unknown
    bool is_timed_out(Timestamp now) const { return now >= deadline_; }
    bool has_won() const;
    // Whether this voter leads, or received a message from a leader recently enough to assume that it is
    // alive.
    bool has_leader(Timestamp now) const;

    // Called for each valid message of the leader.
    void follow(int leader, Timestamp now);
    void enter_later_term(Timestamp now);  // becomes a follower of an unknown leader
    void step_down(Timestamp now);
    void begin_pre_vote(Timestamp now);
    void begin_vote(Timestamp now);  // call after enter_later_term()
    void become_leader();

    void add_vote(int from);
    void add_rejection(int from, Timestamp now);
    // Called when a pre-vote is granted to `candidate`: delays this voter's own election, at most once until
    // it follows a leader or enters a later term.
    void yield_to(int candidate, Timestamp now);
    void on_vote_granted(Timestamp now);

private:
    using VoterSet = std::uint32_t;  // one bit for each voter
    static VoterSet bit_of(int voter) { return VoterSet{1} << voter; }
    bool is_majority(VoterSet voters) const;
    // A random instant between now + min_delay and now + max_delay.
    Timestamp random_deadline(Timestamp now, Duration min_delay, Duration max_delay);

    const Settings settings_;
    std::mt19937_64 random_;
    Role role_ = Role::kFollower;
    int leader_ = -1;
    Timestamp leader_seen_at_{};
    Timestamp deadline_{};
    VoterSet votes_ = 0;
    VoterSet rejections_ = 0;
    VoterSet pre_vote_grants_ = 0;  // the voters that granted the pre-vote
    bool has_yielded_ = false;      // to another candidate, since the last leader or term change
};

}  // namespace linnetlead::raft
