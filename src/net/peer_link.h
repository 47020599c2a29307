// Datagrams between the gateways of a tier, where the settings allow them: late or never, 256 bytes at most,
// heard only from the addresses of the tier.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "loop.h"

namespace linnetlead::net {

class PeerLink {
public:
    static constexpr std::size_t most_bytes = 256;
    using Heard = std::function<void(std::string_view)>;

    PeerLink(Loop& loop, Heard heard);
    ~PeerLink() { close(); }
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    // libuv's error, or 0.
    int listen(const sockaddr_storage& address);
    int port() const;
    // Whom to tell, and whom to believe. Where there is an address for all, what is told goes there alone.
    void peers(std::vector<sockaddr_storage> addresses, const sockaddr_storage* all);
    // One that cannot be sent at once is lost.
    void tell(std::string_view text);
    void close();

private:
    void received(ssize_t size, const sockaddr* from);

    Loop& loop_;
    Heard heard_;
    uv_udp_t* udp_ = nullptr;
    std::vector<sockaddr_storage> peers_, to_;
    char buffer_[most_bytes + 1];
};

}  // namespace linnetlead::net
