// The second address: one HTTP/1.1 call to a connection, for the operators' staff.
#pragma once

#include <functional>

#include "admin/admin_command.h"
#include "common/slot_map.h"
#include "net/listener.h"

namespace linnetlead::net {

class AdminServer {
public:
    using Carry = std::function<admin::Reply(const admin::Command&)>;
    // Connections at once; where a further one comes, the oldest gives way.
    static constexpr std::size_t kMaxCallers = 16;

    AdminServer(Loop& loop, Carry carry);
    ~AdminServer();
    // Returns libuv's error, or 0.
    int listen(const sockaddr_storage& address);
    int port() const { return listener_.port(); }
    std::size_t callers() const { return callers_.size(); }
    void close();

private:
    class Caller;
    void on_connection(uv_stream_t* listener, int status);

    Loop& loop_;
    Carry carry_;
    Listener listener_;
    proxy::SlotMap<Caller> callers_;
};

}  // namespace linnetlead::net
