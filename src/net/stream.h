// One TCP connection. Writes are gathered until the loop's turn ends; reads hand out slices of a buffer.
#pragma once

#include <uv.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace linnetlead::net {

class Stream {
public:
    explicit Stream(Loop& loop);
    virtual ~Stream();
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    // Errors are libuv's: 0 or below. A connect that fails later ends in on_end().
    int connect(const sockaddr_storage& to);
    int accept(uv_stream_t* listener);
    int open(uv_os_sock_t connected);  // which is this one's from now on
    // To be handed to another process while nothing is read or written.
    uv_stream_t* handle() { return reinterpret_cast<uv_stream_t*>(&tcp_); }

    // What is appended goes out at the end of the loop's turn.
    std::string& to_write();
    void flush();
    // Bytes that the kernel has not taken.
    std::size_t unsent() const;
    // Bytes that the peer's machine has not received: closing before could destroy them.
    std::size_t undelivered();
    // Offers the kernel at once what is gathered. Returns the bytes that it has not taken: the peer reads
    // more slowly than this side writes. Nothing else happens before the end of the loop's turn.
    std::size_t offer();
    // Nothing has come that is not taken yet, and the peer has not ended.
    bool is_quiet() const { return rest_.empty() && is_socket_quiet(); }
    // The same, whatever on_bytes() has left.
    bool is_socket_quiet() const;
    // The longest time that can lie between the last bytes sent to the peer and the last received from it, by
    // the kernel's own record. It counts in ticks, so that the truth is up to two of them less; zero or less:
    // received before sent. None: the kernel does not say.
    std::optional<std::chrono::milliseconds> max_time_from_sent_to_received() const;
    void read_more(bool wanted);
    bool reads() const { return reading_; }
    // While nothing is read, the end is not seen: whether it has come, behind whatever lies unread. If so, it
    // is taken as read.
    bool end_if_ended();
    // Offers once more what on_bytes() has left. Not from within on_bytes().
    void take_rest();
    // At once, unsent bytes lost. on_released() follows when libuv has let go; nothing else does.
    void close();
    // Once all is written: ends the sending, drops what still comes, and closes when the peer has.
    void finish();
    bool closing() const { return closing_; }
    bool finishing() const { return finishing_; }

protected:
    static constexpr std::size_t kWholeBuffer = SIZE_MAX;  // of the loop
    Loop& loop() const { return loop_; }
    // Brings the loop's gauge up to date with this stream's buffers.
    void note_buffers();
    // Whether on_bytes() has left something.
    bool has_rest() const { return !rest_.empty(); }

private:
    virtual void on_connected() {}
    // The most that one read may hand out: what is not taken of it is kept.
    virtual std::size_t max_read_bytes() const { return kWholeBuffer; }
    // Returns how many bytes it has taken; the rest comes again, with more behind it.
    virtual std::size_t on_bytes(std::string_view bytes) = 0;
    // The connection broke or ended (UV_EOF). It is being closed.
    virtual void on_end(int error) = 0;
    virtual void on_written() {}     // all that was written, the kernel has taken
    virtual void on_released() = 0;  // the object may be destroyed

    void start();
    // libuv tells a reset that comes with the last bytes as an end.
    bool is_reset() const;
    void start_reading();
    template <typename Act>
    void guarded(Act act);
    void received(ssize_t size, const char* data);
    void broken(int error);
    int try_write();
    void written_all();

    Loop& loop_;
    uv_tcp_t tcp_{};
    uv_connect_t connect_{};
    uv_write_t write_{};
    uv_shutdown_t shutdown_{};
    std::string out_;      // gathered
    std::string writing_;  // handed to libuv
    std::string rest_;     // read, not yet taken
    std::size_t lost_ = 0;
    std::size_t noted_buffers_ = 0;  // in the loop's gauge
    std::size_t read_limit_ = 0;     // of the current read
    bool open_ = false;
    bool in_flush_list_ = false;
    bool reading_ = false;
    bool reads_next_turn_ = false;
    bool finishing_ = false;
    bool shut_ = false;
    bool closing_ = false;
    bool may_be_in_kernel_ = false;  // something written since the kernel had delivered all
};

}  // namespace linnetlead::net
