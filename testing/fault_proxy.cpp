#include "testing/fault_proxy.h"

#include <algorithm>
#include <utility>

#include "testing/service_models.h"

namespace linnetlead::test_support {

using proxy::Duration;
using proxy::Handle;
using namespace std::chrono_literals;

// ---- Connections ----------------------------------------------------------------------------------------

// The side that was taken; it opens the other.
class TcpRelay::Near final : public net::Stream {
public:
    Near(net::Loop& loop, TcpRelay& relay) : Stream(loop), relay_(relay) {}
    Handle self, other;
    bool over = false;  // the other end is, behind a cut
    void open();

private:
    std::size_t on_bytes(std::string_view bytes) override;
    void on_end(int error) override;
    void on_released() override { relay_.server_.connections.remove(self); }
    TcpRelay& relay_;
};

class TcpRelay::End final : public net::Stream {
public:
    End(net::Loop& loop, TcpRelay& relay, Handle near) : Stream(loop), other(near), relay_(relay) {}
    Handle self, other;
    bool over = false;

private:
    std::size_t on_bytes(std::string_view bytes) override {
        if (relay_.cut_down_) return 0;
        Near* near = relay_.server_.connections.find(other);
        if (near && !near->closing()) near->to_write().append(bytes);
        return bytes.size();
    }
    void on_end(int) override {
        Near* near = relay_.server_.connections.find(other);
        if (!near) return;
        if (relay_.cut_down_) {
            near->over = true;
        } else if (!near->closing()) {
            near->finish();
        }
    }
    void on_released() override { relay_.ends_.remove(self); }
    TcpRelay& relay_;
};

void TcpRelay::Near::open() {
    const Handle handle = relay_.ends_.add(loop(), relay_, self);
    End& end = *relay_.ends_.find(handle);
    end.self = other = handle;
    if (end.connect(address_of(relay_.to_)) != 0) end.close();
}

std::size_t TcpRelay::Near::on_bytes(std::string_view bytes) {
    if (relay_.cut_up_) return 0;
    if (!other) open();
    End* end = relay_.ends_.find(other);
    if (end && !end->closing()) end->to_write().append(bytes);
    return bytes.size();
}

void TcpRelay::Near::on_end(int) {
    End* end = relay_.ends_.find(other);
    if (!end) return;
    if (relay_.cut_up_) {
        end->over = true;
    } else if (!end->closing()) {
        end->close();  // as a client that goes
    }
}

TcpRelay::TcpRelay(net::Loop& loop, std::uint16_t to) : to_(to), server_(loop, *this) {}
TcpRelay::~TcpRelay() = default;

void TcpRelay::cut(bool up, bool down) {
    cut_up_ = up;
    cut_down_ = down;
    server_.connections.for_each([up](Handle, Near& near) {
        if (near.closing() || up) return;
        near.take_rest();
        if (near.over) near.close();
    });
    ends_.for_each([down](Handle, End& end) {
        if (end.closing() || down) return;
        end.take_rest();
        if (end.over) end.close();
    });
}

void TcpRelay::reset() {
    server_.connections.for_each([](Handle, Near& near) { near.close(); });
    ends_.for_each([](Handle, End& end) { end.close(); });
}

void TcpRelay::close() {
    server_.close();
    ends_.for_each([](Handle, End& end) { end.close(); });
}

// ---- Datagrams ------------------------------------------------------------------------------------------

PeerRelays::PeerRelays(net::Loop& loop, int gateways, std::uint64_t seed)
    : loop_(loop), gateways_(gateways), random_(seed), links_(static_cast<std::size_t>(gateways * gateways)) {
    const sockaddr_storage any = address_of(0);
    const auto port_of = [](uv_udp_t* udp) {
        sockaddr_storage at{};
        int size = sizeof(at);
        uv_udp_getsockname(udp, reinterpret_cast<sockaddr*>(&at), &size);
        return ntohs(reinterpret_cast<const sockaddr_in&>(at).sin_port);
    };
    for (int i = 0; i < gateways * gateways; ++i) {
        auto door = std::make_unique<Door>();
        door->all = this;
        door->of = i / gateways;
        door->as = i % gateways;
        door->udp = new uv_udp_t;
        uv_udp_init(loop.uv(), door->udp);
        door->udp->data = door.get();
        uv_udp_bind(door->udp, reinterpret_cast<const sockaddr*>(&any), 0);
        door->port = port_of(door->udp);
        uv_udp_recv_start(
            door->udp,
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                auto& all = *static_cast<Door*>(handle->data)->all;
                *buffer = uv_buf_init(all.buffer_, sizeof(all.buffer_));
            },
            [](uv_udp_t* udp, ssize_t size, const uv_buf_t*, const sockaddr* from, unsigned) {
                const auto& at = *static_cast<Door*>(udp->data);
                if (size > 0 && from) {
                    at.all->pass(at.of, at.as, {at.all->buffer_, static_cast<std::size_t>(size)});
                }
            });
        doors_.push_back(std::move(door));
    }
    // Ports for the gateways themselves: free now, and theirs by the time that they start.
    for (int i = 0; i < gateways; ++i) {
        auto* probe = new uv_udp_t;
        uv_udp_init(loop.uv(), probe);
        uv_udp_bind(probe, reinterpret_cast<const sockaddr*>(&any), 0);
        ports_.push_back(port_of(probe));
        uv_close(reinterpret_cast<uv_handle_t*>(probe),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_udp_t*>(handle); });
    }
    loop.turn();
}

PeerRelays::~PeerRelays() { close(); }

void PeerRelays::close() {
    if (std::exchange(closed_, true)) return;
    for (auto& door : doors_) {
        uv_udp_recv_stop(door->udp);
        uv_close(reinterpret_cast<uv_handle_t*>(door->udp),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_udp_t*>(handle); });
    }
}

std::string PeerRelays::listen_of(int gateway) const {
    return "127.0.0.1:" + std::to_string(ports_[static_cast<std::size_t>(gateway)]);
}

std::vector<std::string> PeerRelays::peers_of(int gateway) const {
    std::vector<std::string> all;
    for (int i = 0; i < gateways_; ++i) {
        all.push_back("127.0.0.1:" + std::to_string(doors_[index(gateway, i)]->port));
    }
    return all;
}

void PeerRelays::part(const std::vector<int>& side, bool on) {
    for (int i = 0; i < gateways_; ++i) {
        if (std::find(side.begin(), side.end(), i) != side.end()) continue;
        for (const int j : side) link(i, j).cut = link(j, i).cut = on;
    }
}

void PeerRelays::pass(int from, int to, std::string datagram) {
    const Link& by = link(from, to);
    std::uniform_real_distribution<double> chance;
    if (by.cut || chance(random_) < by.lost) return;
    const int copies = chance(random_) < by.repeated ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const Duration late = by.late + span_of(chance(random_) * seconds(by.spread)) + copy * 50ms;
        if (late <= Duration{0}) {
            send(from, to, datagram);
        } else {
            loop_.arm(loop_.now() + late, [this, from, to, datagram] { send(from, to, datagram); });
        }
    }
}

void PeerRelays::send(int from, int to, const std::string& datagram) {
    if (closed_) return;
    ++datagrams;
    bytes += datagram.size();
    const sockaddr_storage at = address_of(ports_[static_cast<std::size_t>(to)]);
    uv_buf_t buffer = uv_buf_init(const_cast<char*>(datagram.data()), static_cast<unsigned>(datagram.size()));
    uv_udp_try_send(doors_[index(to, from)]->udp, &buffer, 1, reinterpret_cast<const sockaddr*>(&at));
}

}  // namespace linnetlead::test_support
