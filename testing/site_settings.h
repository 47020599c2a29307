// The platform's settings as a gateway's configuration names them.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "linnetlead/policy.h"

namespace linnetlead::test_support {

// `peers`: datagrams between gateways are allowed. Whether the list is pushed or asked for, the settings say.
nlohmann::json settings_json(const policy::Settings& settings, bool peers);

}  // namespace linnetlead::test_support
