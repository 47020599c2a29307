// The operators' file in the running gateway: read at start and on SIGHUP, whole or not at all; the router
// that it sets up, the log of what happens.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>

#include "discovery/registry_client.h"
#include "net/datagram_link.h"
#include "proxy/request_manager.h"
#include "server/agreement_service.h"
#include "server/config.h"
#include "server/distribution_client.h"
#include "server/log.h"
#include "server/usage_service.h"
#include "traffic/router.h"

namespace linnetlead::server {

// All that an operators' file says.
struct OperatorSettings {
    traffic::RoutingSettings routing;
    std::shared_ptr<const metering::PlanSchedule> book;
    metering::UsageSettings usage;
    net::RegistryClient::Settings registry;
    AgreementServiceSettings agreement;
    FleetSettings fleet;

    bool wants_accounts() const {
        return usage.enabled || fleet.wanted || !book->terms.empty() || !book->balances.empty();
    }
};
// Reads and checks a file. `site`: the platform's settings that it has to fit; none: not checked. Throws
// std::runtime_error with the one line "FILE:LINE:COLUMN: WHAT".
OperatorSettings read_operators(const std::string& path, const config::Site* site);
// The same of a text that came otherwise; `path` is where it would lie.
OperatorSettings read_operators(const std::string& text, const std::string& path, const config::Site* site);

class OperatorService {
public:
    // Reads the file; throws as read_operators() does. `registry_lists`: what the operators' registry reports
    // to. Attach the router before the first list is told.
    OperatorService(std::string path, const Config& config, net::Loop& loop, proxy::RequestManager& gateway,
                    admin::MaintenanceOverrides& lists, proxy::EndpointListPort& registry_lists,
                    proxy::CounterPort& counter);
    ~OperatorService();
    OperatorService(const OperatorService&) = delete;
    OperatorService& operator=(const OperatorService&) = delete;

    // Read beside the loop, since lists of accounts are long, and then taken at once. A bad file is told in a
    // line, and the old one stays.
    void reload();
    void leave() {
        if (agreement_) agreement_->leave();
    }
    void tell_state();
    // What the tier agrees on, or the relays have told, as JSON; empty: neither.
    std::string agreement_state() const;
    // Files of an earlier process that this one could not use.
    std::size_t unusable_states() const;
    // Endpoints come from a registry of the operators' own, and the platform's discovery is not asked.
    bool has_registry() const { return registry_ != nullptr; }
    net::RegistryClient* registry() { return registry_.get(); }
    void close();

private:
    static constexpr proxy::Duration kTickEvery = std::chrono::milliseconds(100);
    struct Reading;
    void tick();
    using Shared = std::shared_ptr<const OperatorSettings>;
    void take(const OperatorSettings& settings);
    void begin(Reading* reading);
    void read_beside();
    void read_own(const Reading& reading);
    bool open_peers(const Config& config);
    // The accord's: a text to be checked beside the loop, one that is in force, and what holds while it is
    // not known whether it does.
    void check(agreement::Version version, const std::string& text);
    void in_force(agreement::Version version, const std::string& text);
    void fence(bool fenced);
    void narrow(const DistributionClient::Narrowed& narrowed);

    net::RegistryClient::Settings registry_of(const OperatorSettings& settings) const;

    std::string path_, name_;
    config::Site site_;
    net::Loop& timers_;
    proxy::RequestManager& gateway_;
    Log log_;
    net::DatagramLink peers_;
    traffic::Router router_;
    std::unique_ptr<AgreementService> agreement_;
    // Texts that were found good, by digest: what is in force, and what may come to be.
    static constexpr std::size_t kMaxReady = 4;
    std::deque<std::pair<std::uint64_t, Shared>> ready_;
    std::uint64_t in_force_ = 0;
    bool fenced_ = false;
    std::unique_ptr<UsageService> usage_;
    std::unique_ptr<net::RegistryClient> registry_;  // where the file says something of plans or use
    std::unique_ptr<DistributionClient> distribution_;
    Reading* reading_ = nullptr;             // of the own file
    std::unordered_set<Reading*> checking_;  // of proposals
    bool read_again_ = false;
    proxy::Handle timer_;
};

}  // namespace linnetlead::server
