// The endpoints' side: connections to each endpoint, one call at a time on each.
#pragma once

#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/stream.h"
#include "proxy/request_manager.h"
#include "proxy/resp/parser.h"

namespace linnetlead::net {

class UpstreamPool final : public proxy::UpstreamPort {
public:
    struct Bounds {
        std::size_t connections = 256;
        proxy::Duration connect_timeout = std::chrono::milliseconds(250);
        proxy::Duration idle = std::chrono::seconds(30);  // an endpoint closes an idle connection after this
    };
    UpstreamPool(Loop& loop, proxy::RequestManager& gateway, Bounds bounds);
    ~UpstreamPool() override;
    void close();

    proxy::Handle start(proxy::Handle call, const proxy::EndpointId& endpoint, const proxy::Payload& payload,
                        const Limits& limits) override;
    void give_up(proxy::Handle attempt) override;
    void client_gone(proxy::Handle attempt) override;
    bool is_unsent(proxy::Handle attempt) override;
    void go_on(proxy::Handle attempt) override;
    void probe(const proxy::EndpointId& endpoint) override;
    void told(const std::vector<proxy::DiscoveredEndpoint>& entries, bool whole) override;

    // No connection rests any more: another process takes over. False: as usual.
    void retire(bool on);
    void limit(std::size_t connections);

    std::size_t endpoints() const { return endpoints_.size(); }
    std::size_t connections() const { return connections_.size(); }
    // Attempts written whole, since the start.
    std::uint64_t tries() const { return tries_; }

private:
    class Connection;
    struct Endpoint {
        std::string address;
        sockaddr_storage to{};
        proxy::Timestamp started{};
        bool wanted = false;              // listed, and neither draining nor gone
        std::uint32_t round = 0;          // of the list that named it last
        std::vector<proxy::Handle> idle;  // the one used last comes last
        std::vector<proxy::Handle> open;  // its connections, idle or not
    };

    Connection* connection_to(const proxy::EndpointId& id);
    void forget_connections(Endpoint& endpoint);
    void moved(const proxy::EndpointId& id, const std::string& from, const std::string& to);
    void drop_predecessors(const proxy::DiscoveredEndpoint& successor);
    void unlist(const proxy::EndpointId& id);
    bool make_room();
    void limit_resting(std::size_t most);
    void note_reuse(proxy::Duration rested, bool good);

    Loop& loop_;
    proxy::RequestManager& gateway_;
    Bounds bounds_;
    std::unordered_map<proxy::EndpointId, Endpoint> endpoints_;
    // Who has been listed at an address: one, but for a while where another has taken it over.
    std::unordered_map<std::string, std::vector<proxy::EndpointId>> at_address_;
    proxy::SlotMap<Connection> connections_;
    std::list<proxy::Handle> resting_;  // idle connections, the one that rests longest first
    std::uint32_t round_ = 0;
    std::uint64_t tries_ = 0;
    bool retiring_ = false;
    proxy::Duration reuse_within_;  // how long a connection may have rested to take another call
    resp::Message message_;         // of the reply being read
};

}  // namespace linnetlead::net
