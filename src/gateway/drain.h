// Whether this gateway is there for clients: serving, draining (empty, but it goes on), or leaving for good.
// The one place that asks clients to go.
//
//              drain()           activate()           leave()
//   serving    draining: yes     serving: yes         leaving
//   draining   draining: yes     serving: yes         leaving
//   leaving    leaving: yes      leaving: no          leaving
#pragma once

#include <functional>

#include "net/acceptor.h"

namespace linnetlead::gateway {

class Drain {
public:
    enum class State { serving, draining, leaving };
    // `gone`: called once, when a gateway that leaves has answered all, or `longest` has passed.
    Drain(core::Timers& timers, net::Acceptor& acceptor, core::Span longest, std::function<void()> gone);

    // False: not in this state.
    bool drain();
    bool activate();
    void leave();
    State state() const { return state_; }

private:
    void retire();
    void wait_for_answers();

    core::Timers& timers_;
    net::Acceptor& acceptor_;
    core::Span longest_;
    std::function<void()> gone_;
    State state_ = State::serving;
    core::Handle timer_;
    core::Time leaves_at_{};
};

}  // namespace linnetlead::gateway
