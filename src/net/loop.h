// The event loop: libuv, the clock, the wheel, and the writes gathered until the end of a turn.
#pragma once

#include <uv.h>

#include <array>
#include <string>
#include <vector>

#include "net/buffer_gauge.h"
#include "net/timing_wheel.h"
#include "proxy/ports.h"

namespace linnetlead::net {

class Stream;

class Loop final : public proxy::Timers {
public:
    Loop();
    ~Loop() override;
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    uv_loop_t* uv() { return &loop_; }
    void run();
    // What is ready now, without a wait.
    void turn() { uv_run(&loop_, UV_RUN_NOWAIT); }
    // Turns until it is done, or the time has passed. Not from within a turn.
    void turn_until(const std::function<bool()>& done, proxy::Duration within);
    void stop() { uv_stop(&loop_); }
    // At the end, once every stream is being closed: waits until libuv has let go of them.
    void drain();

    proxy::Timestamp now() const override;
    proxy::Handle arm(proxy::Timestamp at, std::function<void()> action) override;
    void disarm(proxy::Handle timer) override { wheel_.disarm(timer); }

    void flush_later(Stream& stream) { to_flush_.push_back(&stream); }
    void flush_no_more(const Stream& stream);
    BufferGauge& buffers() { return buffers_; }
    // One read's bytes for all connections: what is left of them, each keeps for itself.
    uv_buf_t scratch() { return uv_buf_init(scratch_.data(), static_cast<unsigned>(scratch_.size())); }

private:
    TimingWheel::Tick tick_of(proxy::Timestamp at) const;
    void on_timer();
    void before_wait();

    uv_loop_t loop_{};
    uv_timer_t timer_{};
    uv_prepare_t prepare_{};
    proxy::Timestamp unix_at_start_;
    std::uint64_t clock_at_start_;
    TimingWheel wheel_;
    TimingWheel::Tick timer_set_to_ = 0;  // 0: not set
    std::vector<Stream*> to_flush_;
    BufferGauge buffers_;
    std::array<char, 64 * 1024> scratch_{};
};

// "host:port" in figures, as the environment, the configuration and the registry give it.
bool read_address(const std::string& text, sockaddr_storage& address);

}  // namespace linnetlead::net
