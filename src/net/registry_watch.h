// Watches the registry: one HTTP connection to discovery, always with a call that waits for news.
#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "core/gateway.h"
#include "http/message.h"
#include "stream.h"

namespace linnetlead::net {

class RegistryWatch {
public:
    // Goes on from the version that is known; below 0: from none.
    // The seed spreads what is asked after breaks, so that many gateways do not ask in step.
    RegistryWatch(Loop& loop, core::Lists& lists, std::string address, std::int64_t known_version,
                  std::uint64_t seed);
    ~RegistryWatch();
    // Returns false where the address is none.
    bool start();
    // Goes over to another address, and asks there for the whole list: its versions may be others.
    bool move(std::string address);
    void close();

private:
    class Connection;

    void hang_up();
    void connect();
    void connect_later();
    bool apply(int status, const std::string& body);
    std::string request() const;

    Loop& loop_;
    core::Lists& lists_;
    std::string address_;
    sockaddr_storage to_{};
    std::int64_t version_;
    core::Slots<Connection> connections_;
    core::Handle retry_;
    int failures_ = 0;  // in a row
    std::mt19937_64 random_;
    bool closed_ = false;
};

}  // namespace linnetlead::net
