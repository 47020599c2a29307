// The configuration file and the environment over it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.h"
#include "net/http/http_message.h"

namespace linnetlead::server {

struct Config {
    std::string name;
    std::string listen;
    std::string discovery;
    std::string mgmt;                    // the second address; empty: there is none
    std::string counter;                 // empty: there is none
    std::string peer_listen, peers_all;  // empty: there is none
    std::vector<std::string> peers;
    bool among_peers = false;  // counts are kept by the gateways themselves
    std::uint64_t seed = 0;
    std::size_t memory_mb = 192;
    std::size_t sockets = 1024;
    http::List known;
    config::Site site;
    std::string fixed;  // the text of what only a restart changes
};

// Throws std::runtime_error, saying in one line what is wrong.
Config read_config(const std::string& json);
Config load_file();  // the one that the environment names
Config load_file(const std::string& path);
// Of the environment; empty: not set.
std::string variable(const char* name);
// For the start. Read again later, the file is the newer of the two, and what changes in it stands.
void override_by_environment(Config& config);

}  // namespace linnetlead::server
