// Pool of connections to the endpoints, with one request at a time on each connection. The request manager
// starts attempts and probes on it; discovery's endpoint list reaches it through told().
#pragma once

#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/stream.h"
#include "proxy/duplicate_reply_detector.h"
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

    // Another process takes over: idle connections are closed and none is kept. False: normal operation.
    void retire(bool on);
    void limit(std::size_t connections);

    std::size_t endpoints() const { return endpoints_.size(); }
    std::size_t connections() const { return connections_.size(); }
    // Number of attempts written completely since the start.
    std::uint64_t tries() const { return tries_; }
    // Number of duplicate replies that came while another request was open, since the start.
    std::uint64_t duplicate_replies() const { return duplicate_replies_; }

private:
    class Connection;
    struct Endpoint {
        std::string address;
        sockaddr_storage to{};
        proxy::Timestamp started{};
        std::uint64_t process = 0;        // which process of the endpoint the list names, in the pool's count
        bool is_usable = false;           // listed, and neither draining nor removed
        std::uint32_t last_update = 0;    // number of the last list update that named it
        std::vector<proxy::Handle> idle;  // most recently used last
        std::vector<proxy::Handle> open;  // its connections, idle or not
        proxy::DuplicateReplyDetector replies;
    };

    Connection* connection_to(const proxy::EndpointId& id);
    void release_connections(Endpoint& endpoint);
    void update_address_index(const proxy::EndpointId& id, const std::string& from, const std::string& to);
    void drop_predecessors(const std::string& address);
    void remove_endpoint(const proxy::EndpointId& id);
    // Those that the last update, a whole list, did not name.
    void remove_unlisted();
    bool make_room();
    void close_idle_above(std::size_t max_connections);
    void adapt_reuse_limit(proxy::Duration idle_time, bool good);

    Loop& loop_;
    proxy::RequestManager& gateway_;
    Bounds bounds_;
    std::unordered_map<proxy::EndpointId, Endpoint> endpoints_;
    // Endpoints listed at an address: usually one, several while a new endpoint replaces an old one there.
    std::unordered_map<std::string, std::vector<proxy::EndpointId>> ids_by_address_;
    proxy::SlotMap<Connection> connections_;
    std::list<proxy::Handle> idle_by_age_;  // idle connections, longest idle first
    std::uint32_t update_number_ = 0;
    std::uint64_t last_process_ = 0;
    std::uint64_t tries_ = 0;
    std::uint64_t duplicate_replies_ = 0;
    bool retiring_ = false;
    proxy::Duration max_reuse_idle_;  // longest idle time after which a connection is reused
    resp::Message message_;           // of the reply being read
};

}  // namespace linnetlead::net
