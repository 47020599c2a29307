// Whether this gateway is there for clients: serving, draining (empty, but it goes on), or leaving for good.
// The one place that asks clients to go.
//
//              drain()           activate()           leave()
//   serving    draining: yes     serving: yes         leaving
//   draining   draining: yes     serving: yes         leaving
//   leaving    leaving: yes      leaving: no          leaving
#pragma once

#include <functional>

#include "proxy/downstream_server.h"

namespace linnetlead::server {

class Drain {
public:
    enum class State { kServing, kDraining, kLeaving };
    // `longest`: the longest deadline of all classes. `gone`: called once, when a gateway that leaves has
    // answered all; at the latest shortly before the platform may kill the process, by when all that is open
    // has been answered.
    Drain(proxy::Timers& timers, net::DownstreamServer& acceptor, proxy::Duration longest,
          std::function<void()> gone);

    // False: not in this state.
    bool drain();
    bool activate();
    void leave();
    State state() const { return state_; }

private:
    void retire();
    void wait_for_answers();

    proxy::Timers& timers_;
    net::DownstreamServer& acceptor_;
    proxy::Duration answers_within_;  // of SIGTERM
    std::function<void()> gone_;
    State state_ = State::kServing;
    proxy::Handle timer_;
    proxy::Timestamp answers_at_{};  // of what is open then
};

}  // namespace linnetlead::server
