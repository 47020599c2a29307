#include "net/datagram_link.h"

#include <arpa/inet.h>

#include <algorithm>
#include <utility>

namespace linnetlead::net {

namespace {

bool same(const sockaddr* a, const sockaddr_storage& b) {
    if (a->sa_family != AF_INET || b.ss_family != AF_INET) return false;
    const auto& one = reinterpret_cast<const sockaddr_in&>(*a);
    const auto& other = reinterpret_cast<const sockaddr_in&>(b);
    return one.sin_port == other.sin_port && one.sin_addr.s_addr == other.sin_addr.s_addr;
}

}  // namespace

DatagramLink::DatagramLink(Loop& loop, Heard heard) : loop_(loop), heard_(std::move(heard)) {}

int DatagramLink::listen(const sockaddr_storage& address) {
    close();
    udp_ = new uv_udp_t;
    uv_udp_init(loop_.uv(), udp_);
    udp_->data = this;
    // Shared with the process that this one takes over from: from now on datagrams come here.
    int error = uv_udp_bind(udp_, reinterpret_cast<const sockaddr*>(&address), UV_UDP_REUSEADDR);
    if (error == 0) {
        error = uv_udp_recv_start(
            udp_,
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                auto& self = *static_cast<DatagramLink*>(handle->data);
                *buffer = uv_buf_init(self.buffer_, sizeof(self.buffer_));
            },
            [](uv_udp_t* udp, ssize_t size, const uv_buf_t*, const sockaddr* from, unsigned) {
                if (udp->data) static_cast<DatagramLink*>(udp->data)->received(size, from);
            });
    }
    return error;
}

int DatagramLink::port() const {
    sockaddr_storage address{};
    int size = sizeof(address);
    uv_udp_getsockname(udp_, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

void DatagramLink::peers(std::vector<sockaddr_storage> addresses, std::optional<std::size_t> self,
                         const sockaddr_storage* all) {
    peers_ = std::move(addresses);
    self_ = self;
    to_.clear();
    if (all) to_.push_back(*all);
    for (std::size_t i = 0; !all && i < peers_.size(); ++i) {
        if (i != self_) to_.push_back(peers_[i]);
    }
}

void DatagramLink::send(const sockaddr_storage& to, std::string_view text) {
    if (!udp_ || text.size() > kMaxBytes) return;
    uv_buf_t bytes = uv_buf_init(const_cast<char*>(text.data()), static_cast<unsigned>(text.size()));
    uv_udp_try_send(udp_, &bytes, 1, reinterpret_cast<const sockaddr*>(&to));
}

void DatagramLink::tell(std::string_view text) {
    for (const sockaddr_storage& to : to_) send(to, text);
}

void DatagramLink::tell(int to, std::string_view text) {
    const auto place = static_cast<std::size_t>(to);
    if (place < peers_.size() && place != self_) send(peers_[place], text);
}

void DatagramLink::received(ssize_t size, const sockaddr* from) {
    // One that is longer than may be has been cut, and is no message.
    if (size <= 0 || !from || static_cast<std::size_t>(size) > kMaxBytes) return;
    const auto peer =
        std::find_if(peers_.begin(), peers_.end(), [&](const auto& one) { return same(from, one); });
    const auto place = static_cast<std::size_t>(peer - peers_.begin());
    if (peer != peers_.end() && place != self_) {
        heard_(static_cast<int>(place), {buffer_, static_cast<std::size_t>(size)});
    }
}

void DatagramLink::close() {
    if (!udp_) return;
    udp_->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(udp_, nullptr)),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_udp_t*>(handle); });
}

}  // namespace linnetlead::net
