// Hollow gateways of one process, and the commands by which a measurement drives and asks them: a line each,
// answered by a line of JSON.
#pragma once

#include <deque>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

#include "testing/lightweight/lightweight_gateway.h"
#include "testing/lightweight/traffic_census.h"

namespace linnetlead::test_support {

class GatewayHost {
public:
    struct Settings {
        int gateways = 1;
        int first = 0;  // their numbers in the tier: `first` and those behind it
        int of = 1;     // gateways of the tier, in all processes
        std::uint64_t seed = 1;
        LightweightRoles roles;
        std::string registry, counter;  // addresses; empty: there is none
        bool list_is_polled = true;
        double pace = 0;     // calls of the counter a second, of each
        std::string relays;  // an operators' file with relay()s and distribution(); empty: none are followed
        int zones = 14;      // zone-0, zone-1, ...: gateway I is in that of I modulo so many
    };
    GatewayHost(net::Loop& loop, const Settings& settings);
    ~GatewayHost();
    // `ports`, `peers PORT...` (of all the tier), `start`, `figures`, `propose NUMBER VERSION TEXT` (JSON
    // text), `in_force VERSION`, `state NUMBER`, `revision NUMBER`, `pace CALLS_PER_S`, `restart NUMBER`.
    nlohmann::json carry(const std::string& line);
    void close();

private:
    void read_relays();
    server::Config config_of(int number) const;
    void make(std::size_t place);
    nlohmann::json figures();

    net::Loop& loop_;
    Settings settings_;
    server::FleetSettings fleet_;
    server::Log log_;
    TrafficCensus census_;
    std::vector<std::unique_ptr<LightweightGateway>> gateways_;
    std::deque<std::unique_ptr<LightweightGateway>> gone_;  // closed, until the loop has let go
    std::vector<sockaddr_storage> peers_;
    std::uint64_t restarts_ = 0;
    bool started_ = false;
};

}  // namespace linnetlead::test_support
