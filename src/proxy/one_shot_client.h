// Sends one command to an endpoint over a separate connection and reports the reply. Used for the commands
// that the gateway issues itself, as opposed to the requests that it forwards.
#pragma once

#include <functional>
#include <string>

#include "net/stream.h"
#include "proxy/resp/command.h"

namespace linnetlead::net {

class OneShotClient {
public:
    // Receives the result. An error reply's text is valid only during the callback.
    using Ended = std::function<void(const proxy::AttemptEnd& end)>;
    static constexpr std::size_t kMaxPending = 16;  // concurrent commands

    explicit OneShotClient(Loop& loop);
    ~OneShotClient();
    // `command` is complete. Invokes `ended` exactly once, also if too many commands are outstanding.
    void ask(const std::string& address, std::string command, proxy::Duration within, Ended ended);
    void close();

private:
    class Connection;
    Loop& loop_;
    proxy::SlotMap<Connection> connections_;
    bool closed_ = false;
};

}  // namespace linnetlead::net
