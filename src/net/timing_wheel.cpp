#include "net/timing_wheel.h"

#include <algorithm>
#include <utility>

namespace linnetlead::net {

using proxy::Handle;

Handle TimingWheel::arm(Tick at, std::function<void()> action) {
    at = std::max(at, now_ + 1);
    const Handle handle = timers_.add();
    Timer& timer = *timers_.find(handle);
    timer.at = at;
    timer.action = std::move(action);
    const std::size_t spoke = spoke_of(at);
    timer.after = first_[spoke];
    if (Timer* next = timers_.find(timer.after)) next->before = handle;
    first_[spoke] = handle;
    used_[spoke / kWordBits] |= std::uint64_t{1} << spoke % kWordBits;
    return handle;
}

void TimingWheel::disarm(Handle handle) {
    const Timer* timer = timers_.find(handle);
    if (!timer) return;
    unlink(*timer);
    timers_.remove(handle);
}

void TimingWheel::unlink(const Timer& timer) {
    const std::size_t spoke = spoke_of(timer.at);
    if (Timer* after = timers_.find(timer.after)) after->before = timer.before;
    if (Timer* before = timers_.find(timer.before)) {
        before->after = timer.after;
    } else {
        first_[spoke] = timer.after;
        if (!timer.after) used_[spoke / kWordBits] &= ~(std::uint64_t{1} << spoke % kWordBits);
    }
}

void TimingWheel::turn(Tick to) {
    while (now_ < to) {
        const auto at = next();
        if (!at || *at > to) {
            now_ = to;
            return;
        }
        now_ = *at;
        run_spoke(spoke_of(now_));
    }
}

void TimingWheel::run_spoke(std::size_t spoke) {
    // Looked for anew after each action, which may have disarmed any other.
    for (Handle at = first_[spoke]; at;) {
        Timer* timer = timers_.find(at);
        if (timer->at > now_) {
            at = timer->after;
            continue;
        }
        const auto action = std::move(timer->action);
        disarm(at);
        action();
        at = first_[spoke];
    }
}

std::optional<TimingWheel::Tick> TimingWheel::next() const {
    for (Tick ahead = 1; ahead <= static_cast<Tick>(kSpokes);) {
        const std::size_t spoke = spoke_of(now_ + ahead);
        const std::uint64_t word = used_[spoke / kWordBits] >> spoke % kWordBits;
        if (word & 1) return now_ + ahead;
        // On to the next used spoke of this word, or to the next word.
        const std::size_t rest = kWordBits - spoke % kWordBits;
        std::size_t skip = 1;
        while (skip < rest && !(word >> skip & 1)) ++skip;
        ahead += static_cast<Tick>(word == 0 ? rest : skip);
    }
    return std::nullopt;
}

}  // namespace linnetlead::net
