#include "net/stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <ctime>
#include <exception>
#include <utility>

namespace linnetlead::net {

namespace {

template <typename Request>
Stream& of(const Request* request) {
    return *static_cast<Stream*>(request->data);
}

// Guards the memory after bursts: a string keeps its capacity when it is cleared.
void emptied(std::string& text) {
    constexpr std::size_t kMuch = 4096;
    if (text.capacity() > kMuch) {
        std::string().swap(text);
    } else {
        text.clear();
    }
}

// Drops the first bytes, and the capacity that what is left does not need.
void shorten(std::string& text, std::size_t bytes) {
    constexpr std::size_t kMuch = 4096;
    if (bytes > 0 && text.capacity() > kMuch) {
        std::string(text, bytes).swap(text);
    } else {
        text.erase(0, bytes);
    }
}

// The resolution of the times in tcp_info, rounded up.
std::chrono::milliseconds kernel_tick() {
    constexpr std::chrono::milliseconds kLongestTick{10};
    timespec resolution{};
    if (clock_getres(CLOCK_MONOTONIC_COARSE, &resolution) != 0) return kLongestTick;
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::seconds(resolution.tv_sec) +
                                                        std::chrono::nanoseconds(resolution.tv_nsec));
}

}  // namespace

Stream::Stream(Loop& loop) : loop_(loop) {
    uv_tcp_init(loop.uv(), &tcp_);
    tcp_.data = connect_.data = write_.data = shutdown_.data = this;
}

Stream::~Stream() {
    if (in_flush_list_) loop_.flush_no_more(*this);
    loop_.buffers().remove(noted_buffers_);
}

void Stream::note_buffers() {
    const std::size_t bytes = out_.capacity() + writing_.capacity() + rest_.capacity();
    loop_.buffers().remove(std::exchange(noted_buffers_, bytes));
    loop_.buffers().add(bytes);
}

// Exceptions stop at the connection: none may pass through libuv, and the other connections go on.
template <typename Act>
void Stream::guarded(Act act) {
    try {
        act();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "linnetlead: a connection ends: %s\n", e.what());
        broken(UV_ECANCELED);
    }
}

int Stream::connect(const sockaddr_storage& to) {
    return uv_tcp_connect(&connect_, &tcp_, reinterpret_cast<const sockaddr*>(&to),
                          [](uv_connect_t* request, int status) {
                              Stream& self = of(request);
                              if (self.closing_) return;
                              if (status < 0) return self.broken(status);
                              self.guarded([&self] {
                                  self.start();
                                  self.on_connected();
                              });
                          });
}

int Stream::accept(uv_stream_t* listener) {
    const int error = uv_accept(listener, reinterpret_cast<uv_stream_t*>(&tcp_));
    if (error == 0) start();
    return error;
}

int Stream::open(uv_os_sock_t connected) {
    const int error = uv_tcp_open(&tcp_, connected);
    error == 0 ? start() : static_cast<void>(::close(connected));
    return error;
}

void Stream::start() {
    open_ = true;
    uv_tcp_nodelay(&tcp_, 1);
    read_more(true);
    if (!out_.empty()) to_write();
}

void Stream::read_more(bool wanted) {
    if (wanted == reading_ || closing_) return;
    reading_ = wanted;
    if (wanted) {
        start_reading();
    } else {
        uv_read_stop(reinterpret_cast<uv_stream_t*>(&tcp_));
    }
}

void Stream::start_reading() {
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&tcp_),
        [](uv_handle_t* h, std::size_t, uv_buf_t* into) {
            Stream& self = of(h);
            *into = self.loop_.scratch();
            self.read_limit_ = into->len = std::min(into->len, self.max_read_bytes());
        },
        [](uv_stream_t* s, ssize_t size, const uv_buf_t* from) {
            of(s).guarded([&] { of(s).received(size, from->base); });
        });
}

void Stream::received(ssize_t size, const char* data) {
    if (size == 0) return;  // nothing there after all
    if (size < 0) return broken(size == UV_EOF && is_reset() ? UV_ECONNRESET : static_cast<int>(size));
    if (static_cast<std::size_t>(size) == read_limit_) {
        // Guards the other connections against a peer at full speed: one read a turn.
        uv_read_stop(reinterpret_cast<uv_stream_t*>(&tcp_));
        reads_next_turn_ = true;
        to_write();
    }
    if (finishing_) return;
    const std::string_view bytes(data, static_cast<std::size_t>(size));
    if (rest_.empty()) {
        const std::size_t taken = on_bytes(bytes);
        if (!closing_ && !finishing_) rest_.assign(bytes.substr(taken));
        note_buffers();
    } else {
        rest_.append(bytes);
        take_rest();
    }
}

void Stream::take_rest() {
    if (rest_.empty() || closing_ || finishing_) return;
    const std::size_t taken = on_bytes(rest_);
    taken < rest_.size() ? shorten(rest_, taken) : emptied(rest_);
    note_buffers();
}

void Stream::broken(int error) {
    if (closing_) return;
    close();
    on_end(error);
}

std::string& Stream::to_write() {
    if (!in_flush_list_ && !closing_) {
        in_flush_list_ = true;
        loop_.flush_later(*this);
    }
    return out_;
}

void Stream::flush() {
    in_flush_list_ = false;
    if (std::exchange(reads_next_turn_, false) && reading_ && !closing_) start_reading();
    if (!open_ || closing_ || shut_ || !writing_.empty()) return;
    if (!out_.empty()) {
        if (const int error = try_write(); error != 0) return broken(error);
    }
    if (out_.empty()) {
        emptied(out_);
        note_buffers();
        return guarded([this] { written_all(); });
    }
    writing_.swap(out_);
    note_buffers();
    may_be_in_kernel_ = true;
    uv_buf_t buffer = uv_buf_init(writing_.data(), static_cast<unsigned>(writing_.size()));
    auto* const stream = reinterpret_cast<uv_stream_t*>(&tcp_);
    const int error = uv_write(&write_, stream, &buffer, 1, [](uv_write_t* request, int status) {
        Stream& self = of(request);
        if (self.closing_) return;
        if (status < 0) {
            // libuv no longer counts what it failed to write.
            self.lost_ = self.writing_.size();
            return self.broken(status);
        }
        emptied(self.writing_);
        self.flush();
    });
    if (error < 0) broken(error);
}

void Stream::written_all() {
    if (!finishing_) return on_written();
    shut_ = true;
    uv_shutdown(&shutdown_, reinterpret_cast<uv_stream_t*>(&tcp_), [](uv_shutdown_t*, int) {});
}

std::size_t Stream::unsent() const {
    return out_.size() + lost_ + uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t*>(&tcp_));
}

std::size_t Stream::undelivered() {
    if (!may_be_in_kernel_) return unsent();
    uv_os_fd_t fd = -1;
    int in_kernel = 0;
    const bool is_known = uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) == 0 &&
                          ioctl(fd, SIOCOUTQ, &in_kernel) == 0;
    if (!is_known || in_kernel <= 0) {
        in_kernel = 0;
        may_be_in_kernel_ = unsent() > 0;
    }
    return unsent() + static_cast<std::size_t>(in_kernel);
}

std::size_t Stream::offer() {
    if (open_ && !closing_ && !shut_ && writing_.empty() && !out_.empty()) static_cast<void>(try_write());
    return unsent();
}

// Returns libuv's error, or 0. Where the peer takes nothing now there is none.
int Stream::try_write() {
    uv_buf_t buffer = uv_buf_init(out_.data(), static_cast<unsigned>(out_.size()));
    const int taken = uv_try_write(reinterpret_cast<uv_stream_t*>(&tcp_), &buffer, 1);
    if (taken < 0) return taken == UV_EAGAIN ? 0 : taken;
    may_be_in_kernel_ = true;
    out_.erase(0, static_cast<std::size_t>(taken));
    return 0;
}

bool Stream::is_socket_quiet() const {
    uv_os_fd_t fd = -1;
    char byte = 0;
    return uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) == 0 &&
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool Stream::is_reset() const {
    uv_os_fd_t fd = -1;
    int error = 0;
    socklen_t size = sizeof(error);
    return uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) == 0 &&
           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
}

std::optional<std::chrono::milliseconds> Stream::max_time_from_sent_to_received() const {
    static const std::chrono::milliseconds kTick = kernel_tick();
    uv_os_fd_t fd = -1;
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool is_known = uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) == 0 &&
                          getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    if (!is_known) return std::nullopt;
    const std::chrono::milliseconds since_sent{info.tcpi_last_data_sent};
    const std::chrono::milliseconds since_received{info.tcpi_last_data_recv};
    return since_sent - since_received + kTick;
}

bool Stream::end_if_ended() {
    uv_os_fd_t fd = -1;
    if (closing_ || uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) != 0) return false;
    pollfd state{fd, POLLRDHUP, 0};
    if (poll(&state, 1, 0) < 1 || (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0) return false;
    guarded([this] { broken(UV_EOF); });
    return true;
}

void Stream::finish() {
    if (finishing_ || closing_) return;
    finishing_ = true;
    read_more(true);
    to_write();
}

void Stream::close() {
    if (closing_) return;
    closing_ = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp_), [](uv_handle_t* h) { of(h).on_released(); });
}

}  // namespace linnetlead::net
