// A listening stand-in in a loop.
#pragma once

#include <arpa/inet.h>

#include <cstring>
#include <functional>
#include <stdexcept>
#include <string>
#include <utility>

#include "common/slot_map.h"
#include "net/stream.h"

namespace linnetlead::test_support {

inline sockaddr_storage address_of(std::uint16_t port) {
    sockaddr_storage address{};
    net::read_address("127.0.0.1:" + std::to_string(port), address);
    return address;
}

// A server in the loop: every connection is a Connection(Loop&, Owner&), in the owner's slots.
template <typename Connection>
class Server {
public:
    template <typename Owner>
    Server(net::Loop& loop, Owner& owner) : listener_(new uv_tcp_t) {
        uv_tcp_init(loop.uv(), listener_);
        const sockaddr_storage any = address_of(0);
        accept_ = [this, &loop, &owner] {
            if (holds_) return;  // libuv brings no other before this one is accepted
            const proxy::Handle handle = connections.add(loop, owner);
            Connection& connection = *connections.find(handle);
            connection.self = handle;
            if (connection.accept(reinterpret_cast<uv_stream_t*>(listener_)) != 0) connection.close();
        };
        listener_->data = this;
        uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&any), 0);
        const int error = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), kBacklog,
                                    [](uv_stream_t* stream, int status) {
                                        auto* self = static_cast<Server*>(stream->data);
                                        if (status == 0) self->accept_();
                                    });
        if (error != 0) throw std::runtime_error("a stand-in cannot listen");
        sockaddr_storage at{};
        int size = sizeof(at);
        uv_tcp_getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        port = ntohs(reinterpret_cast<const sockaddr_in&>(at).sin_port);
    }
    // From now on connections neither come up nor fail, but for one or two that the kernel has taken.
    void hold() {
        holds_ = true;
        uv_os_fd_t fd = -1;
        if (listener_ && uv_fileno(reinterpret_cast<uv_handle_t*>(listener_), &fd) == 0) listen(fd, 0);
    }
    // They come up: the ones that the kernel has taken at once, the others when they ask again.
    void release() {
        if (!std::exchange(holds_, false) || !listener_) return;
        uv_os_fd_t fd = -1;
        if (uv_fileno(reinterpret_cast<uv_handle_t*>(listener_), &fd) == 0) listen(fd, kBacklog);
        accept_();
    }
    bool holds() const { return holds_; }
    void close() {
        if (!listener_) return;
        uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(listener_, nullptr)),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
        connections.for_each([](proxy::Handle, Connection& connection) { connection.close(); });
    }
    std::uint16_t port = 0;
    proxy::SlotMap<Connection> connections;

private:
    static constexpr int kBacklog = 512;
    uv_tcp_t* listener_;
    std::function<void()> accept_;
    bool holds_ = false;
};

}  // namespace linnetlead::test_support
