// What stands between two ends on real sockets, and can be cut, stalled, slowed, and made to lose or repeat.
// In the loop of the town; times are real.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/loop.h"
#include "net/stream.h"
#include "testing/fake_server.h"

namespace linnetlead::test_support {

// A link as a script sets it.
struct Link {
    bool cut = false;          // nothing comes through: datagrams are lost, connections stay open and silent
    double lost = 0;           // share of datagrams
    double repeated = 0;       // share of them that come again, later
    proxy::Duration late{};    // of all
    proxy::Duration spread{};  // and up to so much more, so that some overtake others
};

// Connections taken at a port of its own and passed on to another: bytes both ways, as the link allows.
class TcpRelay {
public:
    TcpRelay(net::Loop& loop, std::uint16_t to);
    ~TcpRelay();
    std::uint16_t port() const { return server_.port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    // Cut: what is written stays unread and unsent until it is whole again. One way alone: `up` is from who
    // connects.
    void cut(bool on) { cut(on, on); }
    void cut(bool up, bool down);
    // All connections are reset, as when a machine restarts.
    void reset();
    void close();

private:
    class End;
    class Near;
    std::uint16_t to_;
    bool cut_up_ = false, cut_down_ = false;
    proxy::SlotMap<End> ends_;
    Server<Near> server_;
};

// Between each pair of gateways: an address by which each knows each, and a link for each direction.
class PeerRelays {
public:
    PeerRelays(net::Loop& loop, int gateways, std::uint64_t seed);
    ~PeerRelays();
    // Where a gateway listens, and under which addresses it knows all, by their numbers.
    std::string listen_of(int gateway) const;
    std::vector<std::string> peers_of(int gateway) const;
    Link& link(int from, int to) { return links_[index(from, to)]; }
    void part(const std::vector<int>& side, bool on);  // both ways, from all that are not on it
    std::uint64_t datagrams = 0, bytes = 0;
    void close();

private:
    struct Door {  // as which one gateway knows another
        PeerRelays* all = nullptr;
        int of = 0, as = 0;
        uv_udp_t* udp = nullptr;
        std::uint16_t port = 0;
    };
    std::size_t index(int from, int to) const {
        return static_cast<std::size_t>(from) * static_cast<std::size_t>(gateways_) +
               static_cast<std::size_t>(to);
    }
    void pass(int from, int to, std::string datagram);
    void send(int from, int to, const std::string& datagram);

    net::Loop& loop_;
    int gateways_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Door>> doors_;
    std::vector<Link> links_;
    std::vector<std::uint16_t> ports_;  // of the gateways themselves
    char buffer_[2048];
    bool closed_ = false;
};

}  // namespace linnetlead::test_support
