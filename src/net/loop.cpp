#include "net/loop.h"

#include <algorithm>
#include <chrono>

#include "config/setting_words.h"
#include "net/stream.h"

namespace linnetlead::net {

using proxy::Duration;
using proxy::Timestamp;

namespace {

constexpr Duration kTick = std::chrono::milliseconds(2);

}  // namespace

Loop::Loop()
    : unix_at_start_(std::chrono::system_clock::now().time_since_epoch()),
      clock_at_start_(uv_hrtime()),
      wheel_(unix_at_start_ / kTick) {
    uv_loop_init(&loop_);
    uv_timer_init(&loop_, &timer_);
    uv_prepare_init(&loop_, &prepare_);
    timer_.data = prepare_.data = this;
    uv_prepare_start(&prepare_, [](uv_prepare_t* p) { static_cast<Loop*>(p->data)->before_wait(); });
}

Loop::~Loop() {
    drain();
    uv_loop_close(&loop_);
}

void Loop::drain() {
    for (uv_handle_t* handle :
         {reinterpret_cast<uv_handle_t*>(&timer_), reinterpret_cast<uv_handle_t*>(&prepare_)}) {
        if (!uv_is_closing(handle)) uv_close(handle, nullptr);
    }
    uv_run(&loop_, UV_RUN_DEFAULT);
}

void Loop::run() { uv_run(&loop_, UV_RUN_DEFAULT); }

void Loop::turn_until(const std::function<bool()>& done, Duration within) {
    bool late = false;
    const proxy::Handle limit = arm(now() + within, [&late] { late = true; });
    while (!late && !done()) uv_run(&loop_, UV_RUN_ONCE);
    disarm(limit);
}

Timestamp Loop::now() const {
    return unix_at_start_ + Duration{static_cast<std::int64_t>(uv_hrtime() - clock_at_start_)};
}

// Rounded up: nothing is due early.
TimingWheel::Tick Loop::tick_of(Timestamp at) const { return (at + kTick - Duration{1}) / kTick; }

proxy::Handle Loop::arm(Timestamp at, std::function<void()> action) {
    return wheel_.arm(tick_of(at), std::move(action));
}

void Loop::on_timer() {
    timer_set_to_ = 0;
    wheel_.turn(now() / kTick);
}

// Runs once a turn, just before the wait: what the turn has written goes out together, and the one libuv
// timer is set to the wheel's next tick.
void Loop::before_wait() {
    while (!to_flush_.empty()) {
        Stream* const stream = to_flush_.back();
        to_flush_.pop_back();
        stream->flush();
    }
    const auto next = wheel_.next();
    if (!next || *next == timer_set_to_) return;
    timer_set_to_ = *next;
    const Duration wait = kTick * *next - now();
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(std::max(wait, Duration{0})).count();
    uv_update_time(&loop_);
    uv_timer_start(
        &timer_, [](uv_timer_t* t) { static_cast<Loop*>(t->data)->on_timer(); },
        static_cast<std::uint64_t>(ms), 0);
}

void Loop::flush_no_more(const Stream& stream) {
    to_flush_.erase(std::remove(to_flush_.begin(), to_flush_.end(), &stream), to_flush_.end());
}

bool read_address(const std::string& text, sockaddr_storage& address) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return false;
    const auto port = config::parse<std::uint16_t>(std::string_view(text).substr(colon + 1));
    if (!port) return false;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        return uv_ip6_addr(host.c_str(), *port, reinterpret_cast<sockaddr_in6*>(&address)) == 0;
    }
    return uv_ip4_addr(host.c_str(), *port, reinterpret_cast<sockaddr_in*>(&address)) == 0;
}

}  // namespace linnetlead::net
