// A follower's connection to a relay: which relay it tries and when, and when it leaves one. Used by
// Follower. Attempts are limited by a token bucket and spaced by exponential backoff with full jitter, so
// that many followers that lose a relay at once do not all connect to the next one at the same time. No I/O
// and no clock.
#pragma once

#include <map>
#include <optional>
#include <random>

#include "cluster/distribution/follower_settings.h"

namespace linnetlead::distribution {

class FollowerConnection {
public:
    // `on_lost` runs when the current connection or attempt has ended. All arguments must outlive this
    // object.
    FollowerConnection(const FollowerSettings& settings, const FollowerCallbacks& callbacks,
                       std::function<void()> on_lost);

    // True: it follows a relay and the connection is healthy.
    bool tick(Timestamp now);
    bool on_connected(Timestamp now);  // false: no attempt was under way
    void on_disconnected(Timestamp now);
    // To be called for each frame before it is handled; false: there is no connection, so it is to be
    // ignored.
    bool on_frame(Timestamp now);
    void on_welcome();
    void on_retry_later(Timestamp now, const Away& away);
    void on_fresh_heartbeat(Timestamp now);
    // Closes the connection because of a fault of the relay, which is not tried again for about `avoid`.
    void abandon(Timestamp now, const std::string& reason, Duration avoid = {});
    void disconnect(Timestamp now);

    // True: it has followed a relay that is not among the nearest for long enough to try one of those.
    bool may_return_to_nearest(Timestamp now) const;
    // True: it has disconnected in order to try one of the nearest.
    bool return_to_nearest(Timestamp now);

    std::optional<int> relay() const;  // the number of the relay that it follows
    std::uint64_t attempts() const { return attempts_; }

    static constexpr Duration kMinAvoidance = std::chrono::seconds(5);
    static constexpr Duration kMaxAvoidance = std::chrono::seconds(30);

private:
    enum class State { kWaiting, kConnecting, kGreeting, kFollowing };
    // For a relay that was left. One that recently failed or was at capacity is tried after all others, and
    // before `until` only if there is no other. A delay that the relay itself requested is always kept.
    struct Backoff {
        Timestamp until{};          // not tried earlier
        Timestamp suspect_until{};  // until then, tried after relays that did not fail
        int failures = 0;           // consecutive
        bool is_requested = false;  // the relay requested the delay
    };
    // Lower values are tried first.
    enum Preference { kHealthy, kSuspect, kWithoutHeartbeat, kFailed, kDelayRequested };

    Preference preference_of(Timestamp now, std::size_t relay) const;
    std::optional<std::size_t> choose_relay(Timestamp now);
    std::size_t choose_by_distance(Timestamp now, Preference best);
    void start_attempt(Timestamp now);
    double tokens(Timestamp now) const;
    Duration backoff() const;
    // Uniformly distributed from zero to `max`.
    Duration jittered(Duration max);
    // Schedules the next attempt after `delay`, and none to this relay for `avoid`.
    void end_connection(Timestamp now, Duration delay, Duration avoid);
    void schedule_return(Timestamp now);

    const FollowerSettings& settings_;
    const FollowerCallbacks& callbacks_;
    std::function<void()> on_lost_;
    std::mt19937_64 random_;
    State state_ = State::kWaiting;
    std::optional<std::size_t> position_;  // of the relay, in settings_.relays
    std::map<std::size_t, Backoff> backoffs_;
    std::optional<std::size_t> left_relay_;  // the relay that asked it to leave, while it tries one other
    std::optional<std::size_t> relay_to_rejoin_;  // that relay again, after the other did not accept it
    Timestamp next_attempt_{}, last_frame_{}, last_heartbeat_{}, return_at_{};
    int failures_ = 0;         // consecutive failed attempts
    int heartbeat_moves_ = 0;  // consecutive changes of relay without a newer heartbeat
    double tokens_ = 0;
    Timestamp tokens_at_{};
    bool started_ = false;
    std::uint64_t attempts_ = 0;
};

}  // namespace linnetlead::distribution
