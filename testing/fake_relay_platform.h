// A town whose gateways follow relays: real relay processes, and links from each to each that can be cut.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cluster/distribution/frames.h"
#include "testing/fake_platform.h"

namespace linnetlead::test_support {

class FakeRelayPlatform {
public:
    struct Place {
        std::string name, region, zone;
        bool votes = true;
    };
    // `zones`: of the gateways. `settings.program` is that of the relays too; `more` goes into
    // distribution().
    FakeRelayPlatform(FakePlatformSettings settings, std::vector<Place> relays,
                      std::vector<std::string> zones, std::string more = {});
    ~FakeRelayPlatform();

    FakePlatform town;

    void start();  // relays, until one leads; then the gateways
    void start_relay(int relay);
    void kill_relay(int relay);
    Process& relay(int number) { return *relays_[static_cast<std::size_t>(number)].process; }
    std::uint16_t port(int relay) const { return relays_[static_cast<std::size_t>(relay)].port; }
    std::string address(int relay) const { return "127.0.0.1:" + std::to_string(port(relay)); }
    std::map<int, std::vector<std::string>> environment;  // of relays that start from now on
    // Between relays: what `from` sends. From a gateway to a relay: both ways.
    TcpRelay& link(int from, int to) { return *links_.at({from, to}); }
    TcpRelay& gateway_link(int gateway, int relay) { return *gateway_links_.at({gateway, relay}); }
    // All links between these and all others, relays and gateways.
    void partition(const std::vector<int>& relays, const std::vector<int>& gateways, bool on);

    // As a tool at a relay, straight to its port. Nothing: no answer in time.
    std::optional<distribution::Answer> submit(int relay, const distribution::Change& change,
                                               Duration within = std::chrono::seconds(5));
    nlohmann::json relay_state(int relay);
    std::optional<int> leader();
    // Of the second addresses, all at once; of one that does not answer, null.
    std::vector<nlohmann::json> states();
    nlohmann::json state(int gateway) { return states()[static_cast<std::size_t>(gateway)]; }
    // All of these have this revision in force.
    bool wait_for_revision(distribution::LogIndex revision, const std::vector<int>& gateways,
                           Duration within);
    bool wait_for_fenced(bool fenced, const std::vector<int>& gateways, Duration within);
    std::vector<int> all_gateways() const;
    std::string relay_log(int relay);  // all that it has said so far
    // Lines of a gateway's log with this text since then.
    int logged(const std::string& text, int gateway, Timestamp since = {}) const;
    // A `linnetlead` command while the town goes on; its exit code.
    int command(const std::vector<std::string>& arguments, Duration within = std::chrono::seconds(15));
    std::string path(const std::string& name) const { return folder_ + "/" + name; }

private:
    struct OneRelay {
        Place place;
        std::uint16_t port = 0;
        std::unique_ptr<Process> process;
        std::string file, log;
    };
    std::string declared(const std::function<std::string(int relay)>& address, int self) const;

    std::vector<OneRelay> relays_;
    std::vector<std::string> zones_;
    std::string more_, folder_, program_;
    std::map<std::pair<int, int>, std::unique_ptr<TcpRelay>> links_, gateway_links_;
};

}  // namespace linnetlead::test_support
