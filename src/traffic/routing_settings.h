// What the operators' document says of pools and moves, checked for what a schema cannot say.
#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "config/operator_config/document.h"
#include "config/settings.h"
#include "traffic/canary_rollout.h"

namespace linnetlead::traffic {

// An endpoint belongs to the first pool whose every list names it; an empty list says nothing.
struct Pool {
    std::string name;
    std::vector<std::string> kinds, zones, ids;
    std::vector<int> cells;

    bool holds(const policy::EndpointInfo& entry) const;
};

struct RoutingSettings {
    std::vector<Pool> pools;
    std::vector<RolloutSettings> moves;  // one at most
    // The pool that calls go to first, by their account (16 hex digits) or else by their class's name.
    std::map<std::string, std::string> routes;
};

// `site`: the platform's settings, whose classes, kinds and zones are the only ones, and whose plans are the
// only ones beside those of the document's own schedule; none: not checked.
std::variant<RoutingSettings, operator_config::Problem> read_routing(const operator_config::Value& document,
                                                                     const std::string& file,
                                                                     const config::Site* site);

}  // namespace linnetlead::traffic
