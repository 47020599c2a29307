// The one reader of settings, for the simulator's wire and for the gateway's configuration alike.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::config {

// Path and value, as in classes.0.name=quote-read.
using Pairs = std::unordered_map<std::string, std::string>;

class SettingsError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct Site {
    policy::Settings settings;  // what the decision module takes
    std::vector<std::string> report_fields;
    std::vector<std::string> kinds, zones;  // of the endpoints
    // What only the sockets need.
    policy::Duration conn_idle{};
    policy::Duration connect_timeout{};
    int max_concurrent = 0;
    bool may_tell_peers = false;
};

// Missing keys leave the neutral values of the module's interface.
Site read_site(const Pairs& pairs);

// Sets one value of a load report; unknown names are skipped.
void set_report_field(policy::LoadReport& report, std::string_view name, double value);

}  // namespace linnetlead::config
