// Reads pools, rollouts and routes from the operators' document, and checks what its schema cannot express.
// The server calls it for the operators' file and for distributed settings.
#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "config/operator_config/document.h"
#include "config/settings.h"
#include "traffic/canary_rollout.h"

namespace linnetlead::traffic {

// An endpoint belongs to the first pool of which every non-empty list contains it.
struct Pool {
    std::string name;
    std::vector<std::string> kinds, zones, ids;
    std::vector<int> cells;

    bool holds(const policy::EndpointInfo& entry) const;
};

struct RoutingSettings {
    std::vector<Pool> pools;
    std::vector<RolloutSettings> moves;  // at most one
    // The pool that requests go to first, by account (16 hex digits) or by the name of the traffic class; the
    // account takes precedence.
    std::map<std::string, std::string> routes;
};

// `site`: the platform's settings. Classes, kinds and zones must be defined there, and plans there or in the
// document's plan schedule. Null: names are not checked.
std::variant<RoutingSettings, operator_config::Problem> read_routing(const operator_config::Value& document,
                                                                     const std::string& file,
                                                                     const config::Site* site);

}  // namespace linnetlead::traffic
