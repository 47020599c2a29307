// Datagrams between the gateways of a tier, where the settings allow them: late or never, 256 bytes at most,
// heard only from the addresses of the tier.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"

namespace linnetlead::net {

class DatagramLink {
public:
    static constexpr std::size_t kMaxBytes = 256;
    using Heard = std::function<void(int from, std::string_view)>;  // `from`: its place among the peers

    DatagramLink(Loop& loop, Heard heard);
    ~DatagramLink() { close(); }
    DatagramLink(const DatagramLink&) = delete;
    DatagramLink& operator=(const DatagramLink&) = delete;

    // libuv's error, or 0.
    int listen(const sockaddr_storage& address);
    int port() const;
    // Whom to tell, and whom to believe, by their numbers in the tier; the one at `self` is this gateway.
    // Where there is an address for all, what is told goes there alone.
    void peers(std::vector<sockaddr_storage> addresses, std::optional<std::size_t> self,
               const sockaddr_storage* all);
    // One that cannot be sent at once is lost.
    void tell(std::string_view text);
    void tell(int to, std::string_view text);
    void close();

private:
    void received(ssize_t size, const sockaddr* from);

    Loop& loop_;
    Heard heard_;
    uv_udp_t* udp_ = nullptr;
    void send(const sockaddr_storage& to, std::string_view text);
    std::vector<sockaddr_storage> peers_, to_;
    std::optional<std::size_t> self_;
    char buffer_[kMaxBytes + 1];
};

}  // namespace linnetlead::net
