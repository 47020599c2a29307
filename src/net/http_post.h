// Posts one body after another to an HTTP/1.1 server, one at a time, a connection each. Never waits for the
// server: what it does is told by a call, within the time given.
#pragma once

#include <functional>
#include <string>

#include "common/slot_map.h"
#include "net/loop.h"

namespace linnetlead::net {

class HttpPost {
public:
    struct Answer {
        int status = 0;  // 0: none came, or none that can be read
        std::string body;
    };
    HttpPost(Loop& loop, const sockaddr_storage& to, std::string host);
    ~HttpPost();
    void close();

    // `headers`: whole lines, each with its end. False while one is under way, or where no connection can be
    // begun: `done` is then not called.
    bool post(const std::string& path, const std::string& headers, const std::string& body,
              proxy::Duration within, std::function<void(const Answer&)> done);
    bool busy() const { return static_cast<bool>(done_); }

private:
    class Connection;
    void finish(const Answer& answer);

    Loop& loop_;
    sockaddr_storage to_;
    std::string host_;
    proxy::SlotMap<Connection> connections_;
    std::function<void(const Answer&)> done_;
};

}  // namespace linnetlead::net
