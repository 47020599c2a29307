// What an operators' file says of the distribution: the fleet's relays, one file for all of them, and how a
// gateway follows them.
#pragma once

#include <string>
#include <vector>

#include "cluster/distribution/relay.h"
#include "config/operator_config/document.h"
#include "proxy/ports.h"

namespace linnetlead::server {

struct FleetSettings {
    struct Place {
        std::string name, region, zone;
        std::string address;  // where others reach it
        std::string listen;   // where it listens; as a rule the same
        bool votes = false;
    };
    std::vector<Place> relays;
    bool wanted = false;  // distribution() is there: a gateway follows
    // Of a gateway alone, in place of relay()s: addresses, all equally near.
    std::vector<std::string> addresses;
    std::string region, zone;  // empty: the platform's zone, and the region of the relays that are in it
    std::string snapshot;      // a gateway's, path, with {gateway} for its name; empty: nothing is kept
    std::string directory;     // a relay's, with {relay} for its name; one that votes must have it
    proxy::Duration lease = std::chrono::milliseconds(2000);
    proxy::Duration skew = std::chrono::milliseconds(350);
    proxy::Duration lead = std::chrono::milliseconds(800);
    proxy::Duration patience = std::chrono::milliseconds(1200);
    bool wait_for_all = false;
    double max_cannot = 0.1;
    std::size_t usual_followers = 200;
};

// Throws std::runtime_error with the one line "FILE:LINE:COLUMN: WHAT".
FleetSettings read_fleet(const operator_config::Value& document, const std::string& path);

// Of the relay by this number in the file.
distribution::Relay::Settings relay_of(const FleetSettings& fleet, int self, std::uint64_t seed);
// Of a gateway in this zone, and where it reaches the relays, by the numbers that it knows them by.
distribution::Follower::Settings follower_of(const FleetSettings& fleet, const std::string& gateway,
                                             const std::string& zone, std::uint64_t seed,
                                             std::vector<std::string>& addresses);
std::string path_of(std::string path, std::string_view place, const std::string& name);

}  // namespace linnetlead::server
