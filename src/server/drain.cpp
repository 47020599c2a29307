#include "server/drain.h"

#include <algorithm>
#include <utility>

namespace linnetlead::server {

using namespace std::chrono_literals;

namespace {

// The front hears of a drain by its next PING (0.1 s), and lets new connections come for 0.2 s more; after
// SIGTERM they come for up to 0.4 s.
constexpr proxy::Duration kDrainHeardWithin = 350ms;
constexpr proxy::Duration kLeaveHeardWithin = 500ms;
constexpr proxy::Duration kLookAgain = 20ms;
// SIGKILL may come this long after SIGTERM and the longest deadline. The platform counts a longer deadline as
// this one, and so a request may still have time left when the process is killed.
constexpr proxy::Duration kKillAfterDeadline = 700ms;
constexpr proxy::Duration kLongestCountedDeadline = 3s;
// Before that, open requests are answered: the process may be held up for 0.15 s.
constexpr proxy::Duration kAnswerBeforeKill = 200ms;
// Who takes an answer slowly may go on for so long, should SIGKILL come later than it may.
constexpr proxy::Duration kSlowClients = 10s;
constexpr proxy::Duration kLastWords = 150ms;  // for those answers to be written

}  // namespace

Drain::Drain(proxy::Timers& timers, net::DownstreamServer& acceptor, proxy::Duration longest,
             std::function<void()> gone)
    : timers_(timers),
      acceptor_(acceptor),
      answers_within_(std::min(longest, kLongestCountedDeadline) + kKillAfterDeadline - kAnswerBeforeKill),
      gone_(std::move(gone)) {}

bool Drain::drain() {
    if (state_ != State::kServing) return true;
    state_ = State::kDraining;
    acceptor_.answer_pings(false);
    timer_ = timers_.arm(timers_.now() + kDrainHeardWithin, [this] { acceptor_.retire(true); });
    return true;
}

bool Drain::activate() {
    if (state_ == State::kLeaving) return false;
    state_ = State::kServing;
    timers_.disarm(std::exchange(timer_, {}));
    acceptor_.answer_pings(true);
    acceptor_.retire(false);
    return true;
}

// A gateway that was draining still says no: nobody new is to come for its last moments.
void Drain::leave() {
    if (state_ == State::kLeaving) return;
    state_ = State::kLeaving;
    timers_.disarm(std::exchange(timer_, {}));
    answers_at_ = timers_.now() + answers_within_;
    timer_ = timers_.arm(timers_.now() + kLeaveHeardWithin, [this] {
        acceptor_.stop_listening();
        acceptor_.retire(true);
        wait_for_answers();
    });
}

void Drain::wait_for_answers() {
    const proxy::Timestamp now = timers_.now();
    const bool is_late = now > answers_at_ + (acceptor_.is_writing() ? kSlowClients : kLastWords);
    if (acceptor_.empty() || is_late) return gone_();
    if (now > answers_at_) acceptor_.answer_all();
    timer_ = timers_.arm(now + kLookAgain, [this] { wait_for_answers(); });
}

}  // namespace linnetlead::server
