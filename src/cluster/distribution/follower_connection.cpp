#include "cluster/distribution/follower_connection.h"

#include <algorithm>
#include <utility>

namespace linnetlead::distribution {

namespace {

constexpr int kMaxBackoffDoublings = 10;
constexpr int kMaxAvoidanceDoublings = 4;
constexpr int kMaxHeartbeatDoublings = 3;
// A follower that so many relays have recently asked to leave tries relays beyond the nearest at once.
constexpr std::ptrdiff_t kManyLeaveRequests = 2;
// Size of the first group of relays beyond the nearest. Each further group is twice as large, so that the
// followers of a lost relay spread over many others.
constexpr std::size_t kMinWiderGroup = 4;
constexpr double kTokensToReturn = 2;  // one remains for an attempt to go back

}  // namespace

FollowerConnection::FollowerConnection(const FollowerSettings& settings, const FollowerCallbacks& callbacks,
                                       std::function<void()> on_lost)
    : settings_(settings),
      callbacks_(callbacks),
      on_lost_(std::move(on_lost)),
      random_(settings.seed),
      tokens_(settings.attempt_burst) {}

// ---- selection of a relay ----

FollowerConnection::Preference FollowerConnection::preference_of(Timestamp now, std::size_t relay) const {
    const auto found = backoffs_.find(relay);
    if (found == backoffs_.end()) return kHealthy;
    const Backoff& backoff = found->second;
    if (backoff.until <= now) return now < backoff.suspect_until ? kSuspect : kHealthy;
    if (backoff.is_requested) return kDelayRequested;
    return backoff.failures == 0 ? kWithoutHeartbeat : kFailed;
}

std::optional<std::size_t> FollowerConnection::choose_relay(Timestamp now) {
    const std::size_t count = settings_.relays.size();
    Preference best = kDelayRequested;
    for (std::size_t i = 0; i < count; ++i) best = std::min(best, preference_of(now, i));
    if (best == kDelayRequested) return std::nullopt;
    if (best < kWithoutHeartbeat) return choose_by_distance(now, best);
    // All are in backoff: select the one whose backoff ends first.
    std::optional<std::size_t> first;
    for (std::size_t i = 0; i < count; ++i) {
        if (preference_of(now, i) != best) continue;
        if (!first || backoffs_[i].until < backoffs_[*first].until) first = i;
    }
    return first;
}

// Selects any of the nearest relays with this preference; if there is none, any of the next, wider group.
std::size_t FollowerConnection::choose_by_distance(Timestamp now, Preference best) {
    const std::size_t count = settings_.relays.size();
    std::size_t begin = 0;
    std::size_t size = std::clamp<std::size_t>(settings_.nearest_count, 1, count);
    const auto leave_requests = std::count_if(backoffs_.begin(), backoffs_.end(), [now](const auto& each) {
        return each.second.until > now && each.second.failures == 0 && !each.second.is_requested;
    });
    if (left_relay_ && leave_requests >= kManyLeaveRequests) size = count;
    std::vector<std::size_t> candidates;
    while (candidates.empty()) {
        const std::size_t end = std::min(count, begin + size);
        for (std::size_t i = begin; i < end; ++i) {
            if (preference_of(now, i) == best) candidates.push_back(i);
        }
        begin = end;
        size = std::max<std::size_t>(size * 2, kMinWiderGroup);
    }
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random_)];
}

// ---- attempts ----

// Each call draws a random number: one call a statement, since compilers evaluate arguments in different
// orders.
Duration FollowerConnection::jittered(Duration max) {
    if (max <= Duration{}) return Duration{};
    return Duration(std::uniform_int_distribution<Duration::rep>(0, max.count())(random_));
}

Duration FollowerConnection::backoff() const {
    const Duration max = std::max(settings_.max_backoff, settings_.min_backoff);
    return std::min<Duration>(settings_.min_backoff * (1 << std::min(failures_, kMaxBackoffDoublings)), max);
}

double FollowerConnection::tokens(Timestamp now) const {
    return tokens_ + std::chrono::duration<double>(now - tokens_at_).count() * settings_.attempts_per_s;
}

void FollowerConnection::start_attempt(Timestamp now) {
    tokens_ = std::min(settings_.attempt_burst, tokens(now));
    tokens_at_ = now;
    if (tokens_ < 1) return;
    const auto relay = relay_to_rejoin_ ? std::exchange(relay_to_rejoin_, std::nullopt) : choose_relay(now);
    if (!relay) return;
    tokens_ -= 1;
    ++attempts_;
    position_ = relay;
    state_ = State::kConnecting;
    last_frame_ = now;
    schedule_return(now);
    callbacks_.connect(settings_.relays[*relay]);
}

void FollowerConnection::schedule_return(Timestamp now) {
    return_at_ = now + settings_.return_to_nearest_after + jittered(settings_.return_to_nearest_after);
}

void FollowerConnection::end_connection(Timestamp now, Duration delay, Duration avoid) {
    if (position_ && avoid > Duration{}) {
        backoffs_[*position_].until = now + avoid;
        backoffs_[*position_].is_requested = false;
    }
    state_ = State::kWaiting;
    position_.reset();
    on_lost_();
    next_attempt_ = now + delay;
    if (!left_relay_) return;
    relay_to_rejoin_ = std::exchange(left_relay_, std::nullopt);
    backoffs_.erase(*relay_to_rejoin_);
    next_attempt_ = now;
}

bool FollowerConnection::tick(Timestamp now) {
    if (!started_) {
        started_ = true;
        tokens_at_ = now;
        // Spreads the first attempts of processes that start at the same time.
        next_attempt_ = now + jittered(settings_.min_backoff);
    }
    if (state_ == State::kWaiting) {
        if (now >= next_attempt_) start_attempt(now);
        return false;
    }
    Duration timeout = settings_.frame_timeout;
    if (state_ != State::kFollowing) {
        // A follower that was asked to leave is not fenced yet, and must learn before its lease ends whether
        // the other relay accepts it.
        timeout = left_relay_ ? std::min(settings_.greeting_timeout, settings_.lease * 2 / 5)
                              : std::min(settings_.greeting_timeout, settings_.frame_timeout);
    }
    if (now - last_frame_ > timeout) {
        callbacks_.on_event(EventKind::kFollower, "nothing came from the relay for too long");
        callbacks_.disconnect();
        on_disconnected(now);
        return false;
    }
    if (state_ != State::kFollowing) return false;
    const Duration heartbeat_timeout =
        settings_.heartbeat_timeout * (1 << std::min(heartbeat_moves_, kMaxHeartbeatDoublings));
    if (now - last_heartbeat_ <= heartbeat_timeout || settings_.relays.size() <= 1) return true;
    ++heartbeat_moves_;
    callbacks_.on_event(EventKind::kFollower, "the relay has had no beat for too long");
    callbacks_.disconnect();
    const Duration avoid = heartbeat_timeout + jittered(heartbeat_timeout);
    const Duration delay = jittered(settings_.max_backoff);
    end_connection(now, delay, avoid);
    return false;
}

bool FollowerConnection::on_connected(Timestamp now) {
    if (state_ != State::kConnecting) return false;
    state_ = State::kGreeting;
    last_frame_ = last_heartbeat_ = now;
    return true;
}

void FollowerConnection::on_disconnected(Timestamp now) {
    if (state_ == State::kWaiting) return;
    const bool was_following = state_ == State::kFollowing;
    Duration avoid{};
    if (position_) {
        Backoff& backoff = backoffs_[*position_];
        const int doublings = std::min(backoff.failures++, kMaxAvoidanceDoublings);
        const Duration min_avoid = std::min<Duration>(kMinAvoidance * (1 << doublings), kMaxAvoidance);
        avoid = min_avoid + jittered(min_avoid);
        backoff.suspect_until = now + 2 * kMaxAvoidance + jittered(kMaxAvoidance);
    }
    if (!was_following) ++failures_;
    end_connection(now, jittered(backoff()), avoid);
}

bool FollowerConnection::on_frame(Timestamp now) {
    if (state_ != State::kGreeting && state_ != State::kFollowing) return false;
    last_frame_ = now;
    return true;
}

void FollowerConnection::on_welcome() {
    state_ = State::kFollowing;
    left_relay_.reset();
    failures_ = 0;
    backoffs_.erase(*position_);
}

void FollowerConnection::on_retry_later(Timestamp now, const Away& away) {
    const Duration after = std::chrono::milliseconds(away.after_ms);
    callbacks_.disconnect();
    const std::size_t relay = *position_;
    if (state_ == State::kFollowing) {
        // The relay asked it to leave only to balance load. It tries one other relay at once, while its lease
        // is still valid.
        end_connection(now, Duration{}, after + jittered(after));
        backoffs_[relay].failures = 0;
        backoffs_[relay].suspect_until = {};
        left_relay_ = relay;
        start_attempt(now);
        return;
    }
    // A requested delay is not a failure: another relay may have capacity sooner.
    const Duration avoid = after + jittered(after);
    const Duration delay = settings_.min_backoff + jittered(settings_.min_backoff);
    end_connection(now, delay, avoid);
    backoffs_[relay].is_requested = true;
    backoffs_[relay].failures = 0;
    backoffs_[relay].suspect_until = backoffs_[relay].until + kMaxAvoidance;
}

void FollowerConnection::on_fresh_heartbeat(Timestamp now) {
    last_heartbeat_ = now;
    heartbeat_moves_ = 0;
}

void FollowerConnection::abandon(Timestamp now, const std::string& reason, Duration avoid) {
    callbacks_.on_event(EventKind::kFollower, reason);
    callbacks_.disconnect();
    ++failures_;
    const Duration jittered_avoid = avoid > Duration{} ? avoid / 2 + jittered(avoid / 2) : Duration{};
    const Duration delay = jittered(backoff());
    end_connection(now, delay, jittered_avoid);
}

void FollowerConnection::disconnect(Timestamp now) {
    callbacks_.disconnect();
    end_connection(now, settings_.max_backoff + jittered(settings_.max_backoff), Duration{});
}

bool FollowerConnection::may_return_to_nearest(Timestamp now) const {
    return now > return_at_ && *position_ >= settings_.nearest_count;
}

bool FollowerConnection::return_to_nearest(Timestamp now) {
    schedule_return(now);
    const std::size_t nearest = std::min(settings_.nearest_count, settings_.relays.size());
    bool may_try_one = false;
    for (std::size_t i = 0; i < nearest && !may_try_one; ++i) {
        const auto backoff = backoffs_.find(i);
        may_try_one = backoff == backoffs_.end() || backoff->second.until <= now;
    }
    if (!may_try_one || tokens(now) < kTokensToReturn) return false;
    callbacks_.disconnect();
    end_connection(now, Duration{}, Duration{});
    return true;
}

std::optional<int> FollowerConnection::relay() const {
    if (state_ != State::kFollowing) return std::nullopt;
    return settings_.relays[*position_];
}

}  // namespace linnetlead::distribution
