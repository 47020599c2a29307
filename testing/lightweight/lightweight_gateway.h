// A gateway without calls: the real control code of one, on real sockets, with as many beside it in the same
// process and loop as wanted. Each role can be switched off, so that what each costs is measured alone.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/maintenance_overrides.h"
#include "discovery/discovery_watch.h"
#include "net/datagram_link.h"
#include "net/loop.h"
#include "proxy/counter_client.h"
#include "proxy/request_manager.h"
#include "server/agreement_service.h"
#include "server/config.h"
#include "server/distribution_client.h"
#include "server/log.h"
#include "server/operator_service.h"

namespace linnetlead::test_support {

struct LightweightRoles {
    bool agreement = false;
    bool list = false;
    bool counter = false;
    const server::FleetSettings* fleet = nullptr;  // the relays that it follows; null: none
};

class LightweightGateway final : private proxy::UpstreamPort {
public:
    LightweightGateway(net::Loop& loop, const server::Config& config, LightweightRoles roles,
                       server::Log& log);
    ~LightweightGateway() override;

    // Where its datagrams come in; 0: it takes none. Told before start(), as the tier's addresses are.
    int port() const { return port_; }
    void peers(const std::vector<sockaddr_storage>& all);
    void start();
    void pace(double calls_per_s);  // of the counter
    // Once closed it may be destroyed when the loop has let go of its connections, a second later.
    void close();

    // An operators' file's text, to be agreed on. In words why not; empty: it is proposed.
    std::string propose(std::uint64_t version, const std::string& text);
    // Null: it takes no part.
    const server::AgreementService* agreement() const { return agreement_.get(); }
    const server::DistributionClient* distribution() const { return distribution_.get(); }
    bool fenced() const { return agreement_ && agreement_->fenced(); }
    // When it first had this version or a later one in force.
    std::optional<proxy::Timestamp> in_force_at(std::uint64_t version) const;
    std::uint64_t in_force() const { return in_force_; }

    struct Figures {
        std::uint64_t datagrams_sent = 0, datagram_bytes_sent = 0, datagrams_heard = 0,
                      datagram_bytes_heard = 0, held_back = 0;
        std::uint64_t counted = 0, counted_well = 0;
        std::uint64_t lists = 0, entries = 0, probes = 0;
        std::size_t endpoints = 0;
        int present = 0;
    };
    Figures figures() const;

private:
    class Tap;
    struct Reading;
    proxy::Handle start(proxy::Handle call, const proxy::EndpointId& endpoint, const proxy::Payload& payload,
                        const Limits& limits) override;
    void give_up(proxy::Handle) override {}
    void client_gone(proxy::Handle) override {}
    bool is_unsent(proxy::Handle) override { return false; }
    void go_on(proxy::Handle) override {}
    void probe(const proxy::EndpointId& endpoint) override;
    void told(const std::vector<proxy::DiscoveredEndpoint>& entries, bool whole) override;
    void check(agreement::Version version, const std::string& text);
    void count();

    net::Loop& loop_;
    const server::Config config_;
    LightweightRoles roles_;
    proxy::RequestManager gateway_;
    net::CounterClient client_;
    std::unique_ptr<Tap> tap_;  // before the core, to see the answers
    admin::MaintenanceOverrides suspensions_;
    net::DiscoveryWatch registry_;
    net::DatagramLink link_;
    std::unique_ptr<server::AgreementService> agreement_;
    std::unique_ptr<server::DistributionClient> distribution_;
    std::vector<Reading*> reading_;
    int port_ = 0;
    double calls_per_s_ = 0;
    proxy::Timestamp next_count_{};
    proxy::Handle timer_;
    std::uint64_t in_force_ = 0;
    std::map<std::uint64_t, proxy::Timestamp> in_force_at_;  // as many as were proposed
    Figures figures_;
    bool closed_ = false;
};

}  // namespace linnetlead::test_support
