// One gateway: the parts of the process wired together, its signals, its start and its end.
#pragma once

#include <string>

namespace linnetlead::server {

// Serves by the configuration that BALANCER_CONFIG names until the process is told to end; returns its exit
// code. `operators`: the path of the operators' file; empty: there is none. Throws std::exception where the
// gateway cannot start.
int run_gateway(const std::string& operators);

}  // namespace linnetlead::server
