// A monotonic clock for timeouts, derived from the wall-clock times that the driver passes in.
#pragma once

#include <optional>

#include "cluster/raft/raft_types.h"

namespace linnetlead::raft {

// Adds up the increases of the wall clock between calls, so it never goes back when the wall clock does.
class MonotonicClock {
public:
    void advance(Timestamp wall_clock) {
        if (last_ && wall_clock > *last_) now_ += wall_clock - *last_;
        last_ = wall_clock;
    }
    Timestamp now() const { return now_; }

private:
    std::optional<Timestamp> last_;
    Timestamp now_{};
};

}  // namespace linnetlead::raft
