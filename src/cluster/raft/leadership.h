// The state that a voter has only while it leads: the progress of its followers and the heartbeat rounds.
// From them it derives the commit index, the evidence that it still leads (check-quorum), and the
// LeadershipHeartbeat that it sends. RaftNode owns it.
//
// Once a majority has answered a heartbeat round, that round proves that a majority accepted this voter as
// leader when the round began: none of them had voted in a later term when it answered.
#pragma once

#include <array>
#include <deque>

#include "cluster/raft/follower_progress.h"

namespace linnetlead::raft {

class Leadership {
public:
    struct Settings {
        int voters = 1;
        int self = 0;
        Duration heartbeat_interval{};
        FollowerProgress::Limits limits;
    };
    // `first_index`: of the term's first entry, which the caller appends next. `now`, here and below, is on
    // the node's monotonic clock.
    Leadership(const Settings& settings, Term term, LogIndex first_index, Timestamp now);

    FollowerProgress& follower(int voter) { return followers_[voter]; }
    std::uint64_t round() const { return round_; }

    bool is_round_due(Timestamp now) const { return now >= next_round_at_; }
    // `wall_clock`: the time that the round's LeadershipHeartbeat carries.
    void begin_round(Timestamp wall_clock, Timestamp now, LogIndex commit_index);
    // Updates the newest confirmed round; called after a follower answers a newer round and after a round
    // begins.
    void confirm_rounds();
    // The latest instant at which a majority is known to have accepted this voter as leader.
    Timestamp confirmed_at() const { return confirmed_at_; }
    // The heartbeat of the newest round that a majority has answered; nothing until an entry of the term is
    // committed.
    std::optional<LeadershipHeartbeat> heartbeat(LogIndex commit_index) const;

    // The highest index that a majority has persisted, or 0 while that entry is of an older term: such
    // entries are committed together with the first entry of the own term, never by counting replicas
    // (section 5.4.2 of the paper).
    LogIndex committable_index(LogIndex persisted_index) const;

    void cancel_unresponsive_transfers(Timestamp now, Duration silence);
    // See FollowerProgress::next_message().
    std::optional<Message> next_message(int voter, const RaftLog& log,
                                        const std::optional<LeadershipHeartbeat>& heartbeat, Timestamp now);

private:
    struct Round {
        std::uint64_t number = 0;
        Timestamp wall_clock{};
        Timestamp began_at{};
        LogIndex commit_index = 0;
    };

    const Settings settings_;
    const Term term_;
    const LogIndex first_index_;
    std::array<FollowerProgress, kMaxVoters> followers_;
    std::deque<Round> rounds_;  // not yet answered by a majority
    std::uint64_t round_ = 0;
    Timestamp next_round_at_{};
    Timestamp confirmed_at_{};
    std::optional<Round> answered_round_;  // the newest that a majority has answered
};

}  // namespace linnetlead::raft
