// A listening socket.
#pragma once

#include <functional>
#include <memory>

#include "net/loop.h"

namespace linnetlead::net {

class Listener {
public:
    // Called with what is to be accepted from; also where libuv tells an error, as below 0.
    using Come = std::function<void(uv_stream_t* listener, int status)>;
    explicit Listener(Loop& loop) : loop_(loop) {}
    ~Listener() { close(); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // `shared`: other processes may listen at the address too, if they say the same. Returns libuv's error.
    int open(const sockaddr_storage& address, bool shared, Come come);
    // One that another process listens on and has handed over. Accepts from start() on.
    int adopt(uv_stream_t* from);
    int start(Come come);
    // Accepts nothing more, but what comes waits as long as this or another process has the socket.
    void pause();
    int resume();
    // To be handed over; null: closed or paused.
    uv_stream_t* stream() const { return reinterpret_cast<uv_stream_t*>(tcp_); }
    // Hands over, as sockets, the connections that the system has taken and this has not accepted yet.
    void take_backlog(const std::function<void(uv_os_sock_t)>& take);
    void close();
    int port() const;

private:
    static constexpr int kBacklog = 4096;  // crowds come at once; the system cuts it down
    int listen();

    Loop& loop_;
    uv_tcp_t* tcp_ = nullptr;  // the loop's until it has closed it
    int paused_ = -1;          // the socket, kept
    Come come_;
};

}  // namespace linnetlead::net
