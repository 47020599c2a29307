// How late a loop's own timers are: what it sees then says nothing of others.
#pragma once

#include <algorithm>
#include <chrono>

#include "net/loop.h"

namespace linnetlead::test_support::soak {

class DelayWatch {
public:
    explicit DelayWatch(net::Loop& loop) : loop_(loop) {}
    void start() {
        due_ = loop_.now();
        look();
    }
    void stop() { loop_.disarm(timer_); }
    proxy::Duration longest() const { return longest_; }

private:
    static constexpr proxy::Duration kEvery = std::chrono::milliseconds(10);
    void look() {
        const proxy::Timestamp now = loop_.now();
        longest_ = std::max(longest_, now - due_);
        due_ = now + kEvery;
        timer_ = loop_.arm(due_, [this] { look(); });
    }

    net::Loop& loop_;
    proxy::Handle timer_;
    proxy::Timestamp due_{};
    proxy::Duration longest_{};
};

}  // namespace linnetlead::test_support::soak
