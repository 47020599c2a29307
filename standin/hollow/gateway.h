// A gateway without calls: the real control code of one, on real sockets, with as many beside it in the same
// process and loop as wanted. Each role can be switched off, so that what each costs is measured alone.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/gateway.h"
#include "gateway/agreement.h"
#include "gateway/config.h"
#include "gateway/distribution.h"
#include "gateway/log.h"
#include "gateway/operators.h"
#include "mgmt/suspensions.h"
#include "net/counter_client.h"
#include "net/loop.h"
#include "net/peer_link.h"
#include "net/registry_watch.h"

namespace linnetlead::standin {

struct HollowRoles {
    bool accord = false;
    bool list = false;
    bool counter = false;
    const gateway::FleetSettings* fleet = nullptr;  // the relays that it follows; null: none
};

class HollowGateway final : private core::Workers {
public:
    HollowGateway(net::Loop& loop, const gateway::Config& config, HollowRoles roles, gateway::Log& log);
    ~HollowGateway() override;

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
    const gateway::Agreement* agreement() const { return agreement_.get(); }
    const gateway::Distribution* distribution() const { return distribution_.get(); }
    bool fenced() const { return agreement_ && agreement_->fenced(); }
    // When it first had this version or a later one in force.
    std::optional<core::Time> in_force_at(std::uint64_t version) const;
    std::uint64_t in_force() const { return in_force_; }

    struct Figures {
        std::uint64_t datagrams_sent = 0, datagram_bytes_sent = 0, datagrams_heard = 0,
                      datagram_bytes_heard = 0, held_back = 0;
        std::uint64_t counted = 0, counted_well = 0;
        std::uint64_t lists = 0, entries = 0, probes = 0;
        std::size_t workers = 0;
        int present = 0;
    };
    Figures figures() const;

private:
    class Tap;
    struct Reading;
    core::Handle start(core::Handle call, const core::WorkerId& worker, const core::Payload& payload,
                       const Limits& limits) override;
    void give_up(core::Handle) override {}
    void client_gone(core::Handle) override {}
    void go_on(core::Handle) override {}
    void probe(const core::WorkerId& worker) override;
    void told(const std::vector<core::Listed>& entries, bool whole) override;
    void check(accord::Version version, const std::string& text);
    void count();

    net::Loop& loop_;
    const gateway::Config config_;
    HollowRoles roles_;
    core::Gateway gateway_;
    net::CounterClient client_;
    std::unique_ptr<Tap> tap_;  // before the core, to see the answers
    mgmt::Suspensions suspensions_;
    net::RegistryWatch registry_;
    net::PeerLink link_;
    std::unique_ptr<gateway::Agreement> agreement_;
    std::unique_ptr<gateway::Distribution> distribution_;
    std::vector<Reading*> reading_;
    int port_ = 0;
    double calls_per_s_ = 0;
    core::Time next_count_{};
    core::Handle timer_;
    std::uint64_t in_force_ = 0;
    std::map<std::uint64_t, core::Time> in_force_at_;  // as many as were proposed
    Figures figures_;
    bool closed_ = false;
};

}  // namespace linnetlead::standin
