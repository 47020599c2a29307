// Accepts a relay's incoming connections: those of followers, other voters and command-line tools. A session
// that sends garbage or incomplete frames, stays silent or does not read what it is sent is closed; others
// are not affected. The relay program owns one.
#pragma once

#include <functional>

#include "cluster/transport/frame_link.h"
#include "net/listener.h"

namespace linnetlead::transport {

class RelayServer {
public:
    using Session = std::uint64_t;
    struct Limits {
        std::size_t max_sessions = 600;
        std::size_t max_unsent_bytes = 8 * 1024 * 1024;  // a session with more is closed
        // Closes a session after so long without a byte from a voter, or from a peer that has not sent a
        // complete frame.
        proxy::Duration receive_timeout = std::chrono::seconds(5);
        // Time for sending the last frames before a connection is closed.
        proxy::Duration close_timeout = std::chrono::seconds(2);
    };
    struct Callbacks {
        std::function<void(Session)> opened;  // on its first frame, which is passed next
        std::function<void(Session, const Frame&)> frame_received;
        std::function<void(int from, const std::string& message)> voter_message_received;
        std::function<void(Session, Rejection)> malformed;
        std::function<void(Session)> closed;  // once for each opened session
    };
    RelayServer(Loop& loop, Limits limits, Callbacks callbacks);
    ~RelayServer();
    RelayServer(const RelayServer&) = delete;
    RelayServer& operator=(const RelayServer&) = delete;

    // Returns 0 or a libuv error code.
    int listen(const sockaddr_storage& address);
    int port() const { return listener_.port(); }
    void send(Session session, const Frame& frame);
    std::size_t unsent(Session session);
    void hang_up(Session session);    // after the pending bytes have been sent
    void tick(proxy::Timestamp now);  // about every second
    void close();
    std::size_t sessions() const;

private:
    class Connection;
    Connection* find(Session session);

    Loop& loop_;
    Limits limits_;
    Callbacks callbacks_;
    net::Listener listener_;
    proxy::SlotMap<Connection> connections_;
    bool closed_ = false;
};

}  // namespace linnetlead::transport
