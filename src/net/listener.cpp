#include "net/listener.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace linnetlead::net {

int Listener::open(const sockaddr_storage& address, bool shared, Come come) {
    close();
    come_ = std::move(come);
    tcp_ = new uv_tcp_t;
    int error = uv_tcp_init_ex(loop_.uv(), tcp_, address.ss_family);
    uv_os_fd_t fd = -1;
    const int on = 1;
    if (error == 0 && shared && uv_fileno(reinterpret_cast<uv_handle_t*>(tcp_), &fd) == 0) {
        // Where it cannot be shared, it is ours alone.
        setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    }
    if (error == 0) error = uv_tcp_bind(tcp_, reinterpret_cast<const sockaddr*>(&address), 0);
    if (error == 0) error = listen();
    if (error < 0) close();
    return error;
}

int Listener::listen() {
    tcp_->data = this;
    return uv_listen(reinterpret_cast<uv_stream_t*>(tcp_), kBacklog, [](uv_stream_t* stream, int status) {
        auto& self = *static_cast<Listener*>(stream->data);
        self.come_(stream, status);
    });
}

int Listener::adopt(uv_stream_t* from) {
    close();
    tcp_ = new uv_tcp_t;
    uv_tcp_init(loop_.uv(), tcp_);
    const int error = uv_accept(from, stream());
    if (error < 0) close();
    return error;
}

int Listener::start(Come come) {
    come_ = std::move(come);
    return listen();
}

void Listener::pause() {
    uv_os_fd_t fd = -1;
    if (!tcp_ || uv_fileno(reinterpret_cast<uv_handle_t*>(tcp_), &fd) != 0) return;
    const int kept = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    close();
    paused_ = kept;
}

int Listener::resume() {
    if (paused_ < 0) return 0;
    tcp_ = new uv_tcp_t;
    uv_tcp_init(loop_.uv(), tcp_);
    int error = uv_tcp_open(tcp_, paused_);
    if (error == 0) {
        paused_ = -1;
        error = listen();
    }
    if (error < 0) close();
    return error;
}

void Listener::take_backlog(const std::function<void(uv_os_sock_t)>& take) {
    uv_os_fd_t fd = -1;
    if (!tcp_ || uv_fileno(reinterpret_cast<uv_handle_t*>(tcp_), &fd) != 0) return;
    for (int left = kBacklog; left > 0; --left) {
        const int one = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (one >= 0) {
            take(one);
        } else if (errno != EINTR && errno != ECONNABORTED) {
            return;
        }
    }
}

void Listener::close() {
    if (paused_ >= 0) ::close(std::exchange(paused_, -1));
    if (!tcp_) return;
    uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(tcp_, nullptr)),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
}

int Listener::port() const {
    sockaddr_storage address{};
    int size = sizeof(address);
    uv_tcp_getsockname(tcp_, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

}  // namespace linnetlead::net
