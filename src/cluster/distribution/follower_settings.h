// Settings of a follower, and the callbacks by which it uses the connections and the log of its
// process. The gateway and the relay program fill both in and pass them to Follower.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cluster/distribution/event.h"
#include "cluster/distribution/history.h"

namespace linnetlead::distribution {

struct FollowerSettings {
    Role role = Role::kGateway;
    std::string name;         // the name by which relays report it
    std::vector<int> relays;  // numbers, nearest first: those of its zone, of its region, all others
    // The first so many of `relays` are equally near; one of them is tried first.
    std::size_t nearest_count = 1;
    std::uint64_t seed = 0;
    // How long a heartbeat allows acting on the active state.
    Duration lease = std::chrono::milliseconds(2000);
    // Largest difference between the clocks of two machines.
    Duration max_clock_skew = std::chrono::milliseconds(350);
    // The connection is closed after so long without any frame.
    Duration frame_timeout = std::chrono::milliseconds(2500);
    // Limit on connecting, and then on each wait for a frame until the relay's welcome.
    Duration greeting_timeout = std::chrono::milliseconds(1500);
    // Between attempts: drawn from zero to a limit (full jitter) that doubles with each failure.
    Duration min_backoff = std::chrono::milliseconds(200);
    Duration max_backoff = std::chrono::milliseconds(2000);
    // Token bucket that limits connection attempts.
    double attempts_per_s = 0.7;
    double attempt_burst = 3;
    // Least time before a changed acknowledgement; longest time without any.
    Duration ack_interval = std::chrono::milliseconds(200);
    Duration max_ack_interval = std::chrono::milliseconds(2000);
    // After so long without a newer heartbeat, although frames arrive, the follower tries another relay, and
    // avoids this one for as long again plus jitter. Doubles with each successive change of relay that did
    // not help, up to eight times this.
    Duration heartbeat_timeout = std::chrono::milliseconds(4000);
    // How long it stays at a relay that is not among the nearest before it tries one of those; jitter adds up
    // to as much again.
    Duration return_to_nearest_after = std::chrono::seconds(120);
    // Limit on records that are not active yet; beyond it the follower closes the connection.
    std::size_t max_pending_bytes = 16 * 1024 * 1024;
    // For a relay: applied records that it keeps for its own followers.
    History::Retention retention;
};

// All run within calls of the follower's methods. Those marked optional may be empty.
struct FollowerCallbacks {
    std::function<void(int relay)> connect;  // answered by on_connected() or on_disconnected()
    // Closes the current connection or attempt; on_disconnected() need not follow.
    std::function<void()> disconnect;
    std::function<void(const Frame&)> send;  // on the current connection
    // Positions of the change's edits that this gateway does not support. Optional; a relay leaves it empty.
    std::function<std::vector<std::size_t>(const Change&)> unsupported_edits;
    // The values of these keys in store() have changed; with `all_keys`, any may have. Optional.
    std::function<void(Revision revision, const std::vector<std::string>& keys, bool all_keys)> on_active;
    std::function<void(bool fenced)> on_fenced;  // on each change; optional
    // The next four are for a relay that forwards what it receives; all optional. The record or heartbeat is
    // new.
    std::function<void(const Record&)> on_record;
    std::function<void(const Heartbeat&)> on_heartbeat;
    // store() has been replaced, and the records before it are void.
    std::function<void()> on_state_replaced;
    // The acknowledgements of the relay's own followers, combined; empty for a gateway.
    std::function<Ack()> downstream_acknowledgements;
    std::function<void(EventKind kind, const std::string& text)> on_event;  // optional
};

}  // namespace linnetlead::distribution
