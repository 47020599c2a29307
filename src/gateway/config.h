// The configuration file and the environment over it.
#pragma once

#include <cstdint>
#include <string>

#include "http/message.h"
#include "settings/settings.h"

namespace linnetlead::gateway {

struct Config {
    std::string name;
    std::string listen;
    std::string discovery;
    std::string counter;  // empty: there is none
    std::uint64_t seed = 0;
    std::size_t memory_mb = 192;
    std::size_t sockets = 1024;
    http::List known;
    settings::Site site;
};

// Throws std::runtime_error, saying in one line what is wrong.
Config read_config(const std::string& json);
Config load_config();  // from the environment and the file it names

}  // namespace linnetlead::gateway
