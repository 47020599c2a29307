// Decides whether a follower may act on its active state: the lease that the leader's heartbeats renew. Used
// by Follower.
//
// A heartbeat states that at the time `at` a majority considered its sender the leader, and that `committed`
// was the index of the last committed record. No activation beyond that index was committed before `at`, so a
// follower that holds all records up to it may act until `at` + lease. A heartbeat whose records have not all
// arrived is queued here. No I/O and no clock.
#pragma once

#include <deque>
#include <optional>

#include "cluster/distribution/log_record.h"

namespace linnetlead::distribution {

class FollowerLease {
public:
    enum class Outcome {
        kStale,           // not newer than one already accepted
        kClockAhead,      // ahead of the local clock by more than the skew; it would extend the lease too far
        kForeignHistory,  // fewer records are committed than are held here: these belong to another fleet
        kAccepted,
    };
    FollowerLease(Duration lease, Duration max_clock_skew) : lease_(lease), max_clock_skew_(max_clock_skew) {}

    Outcome on_heartbeat(Timestamp now, const Heartbeat& heartbeat, LogIndex last_index);
    // The next queued heartbeat whose records are all held; it becomes the current one.
    std::optional<Heartbeat> take_usable(LogIndex last_index);
    bool is_valid(Timestamp now) const;
    // The newest heartbeat whose records are all held; `at` is zero if there is none.
    const Heartbeat& current() const { return current_; }
    void clear_current() { current_ = {}; }
    // After a restart: forgets all heartbeats received before.
    void reset(Timestamp now);

    void on_records(Timestamp now) { records_since_ = now; }   // the newest held record has changed
    void on_progress(Timestamp now) { missing_since_ = now; }  // some missing records have arrived
    // Records that a queued heartbeat requires have not arrived for longer than `limit`.
    bool is_missing_records(Timestamp now, Duration limit) const;

private:
    static constexpr std::size_t kMaxQueued = 8;

    Duration lease_, max_clock_skew_;
    Heartbeat current_;
    std::deque<Heartbeat> queued_;   // newer than current_, oldest first
    std::uint64_t newest_term_ = 0;  // of all accepted heartbeats
    Timestamp records_since_{};      // arrival of the newest record or snapshot, or the time of reset()
    Timestamp missing_since_{};      // last progress while records were missing
};

}  // namespace linnetlead::distribution
