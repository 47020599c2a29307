// `linnetlead relay`: one relay of the fleet that a file declares, as a process of its own.
#pragma once

#include <string>

namespace linnetlead::server {

// Runs until SIGTERM or SIGINT. Throws std::runtime_error, in one line, where it cannot begin. Returns the
// process's exit code: 1 where its disk fails.
int run_relay(const std::string& file, const std::string& name);

}  // namespace linnetlead::server
