// All deadlines in one ordered structure: a wheel of coarse ticks. Reads no clock itself.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>

#include "common/slot_map.h"

namespace linnetlead::net {

class TimingWheel {
public:
    using Tick = std::int64_t;

    explicit TimingWheel(Tick now) : now_(now) {}

    // Runs the action in the first turn() to reach the tick; one that has passed, in the next.
    proxy::Handle arm(Tick at, std::function<void()> action);
    void disarm(proxy::Handle timer);
    // Runs what is due in the order of its ticks. Actions may arm and disarm.
    void turn(Tick to);
    // The tick to turn to next. It may come early: timers over a round away are looked at once a round.
    std::optional<Tick> next() const;

private:
    static constexpr std::size_t kSpokes = 4096;
    static constexpr std::size_t kWordBits = 64;
    struct Timer {
        Tick at = 0;
        std::function<void()> action;
        proxy::Handle before;  // of the same spoke
        proxy::Handle after;
    };
    static std::size_t spoke_of(Tick at) { return static_cast<std::size_t>(at) % kSpokes; }
    void unlink(const Timer& timer);
    void run_spoke(std::size_t spoke);

    proxy::SlotMap<Timer> timers_;
    std::array<proxy::Handle, kSpokes> first_{};
    std::array<std::uint64_t, kSpokes / kWordBits> used_{};  // a bit for each spoke that holds timers
    Tick now_;
};

}  // namespace linnetlead::net
