#include "cluster/raft/election.h"

#include <algorithm>
#include <utility>

#include "cluster/raft/quorum.h"

namespace linnetlead::raft {

namespace {

constexpr std::uint64_t kSeedMultiplier = 0x9e3779b97f4a7c15U;  // 2^64 / golden ratio: spreads adjacent seeds

}  // namespace

Election::Election(const Settings& settings)
    : settings_(settings),
      random_(settings.seed * kSeedMultiplier + static_cast<std::uint64_t>(settings.self)) {
    deadline_ = random_deadline(Timestamp{}, settings_.election_timeout, 2 * settings_.election_timeout);
}

Timestamp Election::random_deadline(Timestamp now, Duration min_delay, Duration max_delay) {
    std::uniform_int_distribution<Duration::rep> spread(0, (max_delay - min_delay).count());
    return now + min_delay + Duration(spread(random_));
}

bool Election::is_majority(VoterSet voters) const {
    int count = 0;
    for (int voter = 0; voter < settings_.voters; ++voter) count += (voters & bit_of(voter)) ? 1 : 0;
    return count >= majority_of(settings_.voters);
}

bool Election::has_won() const { return is_majority(votes_); }

bool Election::has_leader(Timestamp now) const {
    if (role_ == Role::kLeader) return true;
    // Less than the election timeout, because the first voter to time out is ahead of the others by the link
    // delays.
    const Duration leader_timeout = std::max(settings_.election_timeout / 2,
                                             settings_.election_timeout - 2 * settings_.heartbeat_interval);
    return leader_ >= 0 && now - leader_seen_at_ < leader_timeout;
}

void Election::follow(int leader, Timestamp now) {
    role_ = Role::kFollower;
    leader_ = leader;
    has_yielded_ = false;
    leader_seen_at_ = now;
    deadline_ = random_deadline(now, settings_.election_timeout, 2 * settings_.election_timeout);
}

void Election::enter_later_term(Timestamp now) {
    if (role_ != Role::kFollower) {
        deadline_ = random_deadline(now, settings_.election_timeout, 2 * settings_.election_timeout);
    }
    role_ = Role::kFollower;
    leader_ = -1;
    has_yielded_ = false;
}

void Election::step_down(Timestamp now) {
    role_ = Role::kFollower;
    leader_ = -1;
    deadline_ = random_deadline(now, settings_.election_timeout, 2 * settings_.election_timeout);
}

void Election::begin_pre_vote(Timestamp now) {
    role_ = Role::kPreCandidate;
    leader_ = -1;
    votes_ = bit_of(settings_.self);
    rejections_ = 0;
    pre_vote_grants_ = ~VoterSet{0};
    // A pre-vote does not disturb a working leader, so it is retried soon: after a round trip between
    // regions.
    deadline_ = random_deadline(now, settings_.election_timeout / 4, settings_.election_timeout / 2);
}

void Election::begin_vote(Timestamp now) {
    pre_vote_grants_ = votes_;
    role_ = Role::kCandidate;
    votes_ = bit_of(settings_.self);
    rejections_ = 0;
    deadline_ = random_deadline(now, settings_.election_timeout / 2, settings_.election_timeout);
}

void Election::become_leader() {
    role_ = Role::kLeader;
    leader_ = settings_.self;
}

void Election::add_vote(int from) { votes_ |= bit_of(from); }

// When a majority among the voters that granted the pre-vote is out of reach, retries after a short random
// delay, so that competing candidates do not all retry at the same time.
void Election::add_rejection(int from, Timestamp now) {
    rejections_ |= bit_of(from);
    if (is_majority(votes_ | (pre_vote_grants_ & ~rejections_))) return;
    deadline_ = std::min(deadline_, random_deadline(now, Duration{}, settings_.election_timeout / 4));
}

// Gives the candidate time to win. Of two voters that request pre-votes at the same time, the one with the
// lower number goes first. Yields only once, so that a candidate that cannot win does not block the others.
void Election::yield_to(int candidate, Timestamp now) {
    const bool is_competing = role_ == Role::kPreCandidate && candidate < settings_.self;
    if (role_ != Role::kFollower && !is_competing) return;
    if (std::exchange(has_yielded_, true)) return;
    role_ = Role::kFollower;
    deadline_ =
        std::max(deadline_, random_deadline(now, settings_.election_timeout / 2, settings_.election_timeout));
}

void Election::on_vote_granted(Timestamp now) {
    deadline_ = random_deadline(now, settings_.election_timeout, 2 * settings_.election_timeout);
}

}  // namespace linnetlead::raft
