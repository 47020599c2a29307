// The platform's settings as a gateway's configuration names them.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "topazcrank/policy.h"

namespace linnetlead::standin {

// `peers`: datagrams between gateways are allowed. Whether the list is pushed or asked for, the settings say.
nlohmann::json settings_json(const topazcrank::Settings& settings, bool peers);

}  // namespace linnetlead::standin
