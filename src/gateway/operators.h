// The operators' file in the running gateway: read at start and on SIGHUP, whole or not at all; the router
// that it sets up, the log of what happens.
#pragma once

#include <string>

#include "config.h"
#include "core/gateway.h"
#include "log.h"
#include "routing/router.h"

namespace linnetlead::gateway {

// Reads and checks a file. `site`: the platform's settings that it has to fit; none: not checked. Throws
// std::runtime_error with the one line "FILE:LINE:COLUMN: WHAT".
routing::RoutingSettings read_operators(const std::string& path, const settings::Site* site);

class Operators {
public:
    // Reads the file; throws as read_operators() does. Attach the router before the first list is told.
    Operators(std::string path, const Config& config, core::Timers& timers, core::Gateway& gateway,
              core::Counter& counter);
    ~Operators();
    Operators(const Operators&) = delete;
    Operators& operator=(const Operators&) = delete;

    void reload();  // a bad file is told in a line, and the old one stays
    void tell_state();

private:
    static constexpr core::Span tick_every = std::chrono::milliseconds(100);
    void tick();

    std::string path_;
    settings::Site site_;
    core::Timers& timers_;
    core::Gateway& gateway_;
    Log log_;
    routing::Router router_;
    core::Handle timer_;
};

}  // namespace linnetlead::gateway
