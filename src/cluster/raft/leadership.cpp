#include "cluster/raft/leadership.h"

#include <algorithm>

#include "cluster/raft/quorum.h"

namespace linnetlead::raft {

namespace {

constexpr std::size_t kMaxUnansweredRounds = 256;  // beyond this, the oldest is dropped

}  // namespace

Leadership::Leadership(const Settings& settings, Term term, LogIndex first_index, Timestamp now)
    : settings_(settings), term_(term), first_index_(first_index), confirmed_at_(now) {
    followers_.fill(FollowerProgress(first_index, now));
}

void Leadership::begin_round(Timestamp wall_clock, Timestamp now, LogIndex commit_index) {
    if (rounds_.size() >= kMaxUnansweredRounds) rounds_.pop_front();
    rounds_.push_back({++round_, wall_clock, now, commit_index});
    next_round_at_ = now + settings_.heartbeat_interval;
    for (FollowerProgress& follower : followers_) follower.request_heartbeat();
    confirm_rounds();
}

void Leadership::confirm_rounds() {
    std::array<std::uint64_t, kMaxVoters> answered{};
    for (int voter = 0; voter < settings_.voters; ++voter) {
        answered[voter] = voter == settings_.self ? round_ : followers_[voter].answered_round();
    }
    const std::uint64_t confirmed = reached_by_majority(answered, settings_.voters);
    while (!rounds_.empty() && rounds_.front().number <= confirmed) {
        answered_round_ = rounds_.front();
        confirmed_at_ = std::max(confirmed_at_, answered_round_->began_at);
        rounds_.pop_front();
    }
}

// Everything that older terms committed precedes the own term's first entry, and the own term commits nothing
// before that entry. So once it is committed, a round that began earlier is also valid, with at least that
// entry's index as its commit index.
std::optional<LeadershipHeartbeat> Leadership::heartbeat(LogIndex commit_index) const {
    if (!answered_round_ || commit_index < first_index_) return std::nullopt;
    return LeadershipHeartbeat{term_, answered_round_->wall_clock,
                               std::max(answered_round_->commit_index, first_index_)};
}

LogIndex Leadership::committable_index(LogIndex persisted_index) const {
    std::array<LogIndex, kMaxVoters> held{};
    for (int voter = 0; voter < settings_.voters; ++voter) {
        held[voter] = voter == settings_.self ? persisted_index : followers_[voter].match_index();
    }
    const LogIndex on_majority = reached_by_majority(held, settings_.voters);
    return on_majority < first_index_ ? 0 : on_majority;
}

void Leadership::cancel_unresponsive_transfers(Timestamp now, Duration silence) {
    for (FollowerProgress& follower : followers_) follower.cancel_unresponsive_transfer(now, silence);
}

std::optional<Message> Leadership::next_message(int voter, const RaftLog& log,
                                                const std::optional<LeadershipHeartbeat>& heartbeat,
                                                Timestamp now) {
    return followers_[voter].next_message(log, {term_, round_, first_index_, heartbeat}, settings_.limits,
                                          now);
}

}  // namespace linnetlead::raft
