// Carries out what the operators' staff ask at the second address.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "core/gateway.h"
#include "drain.h"
#include "mgmt/command.h"
#include "mgmt/suspensions.h"
#include "net/worker_pool.h"

namespace linnetlead::gateway {

class Desk {
public:
    struct Parts {
        const core::Gateway& gateway;
        const net::WorkerPool& pool;
        mgmt::Suspensions& suspensions;
        Drain& drain;
        std::vector<std::string> classes;                // their names, by number
        std::function<void(const mgmt::Command&)> done;  // a command that has changed something
        std::function<std::string()> accord;             // what the tier agrees on; empty: nothing is agreed
    };
    explicit Desk(Parts parts) : parts_(std::move(parts)) {}

    mgmt::Reply carry(const mgmt::Command& command);
    // The listener is up, and all that is taken over is here.
    void set_up() { up_ = true; }

private:
    mgmt::Reply carried(const mgmt::Command& command);
    std::string figures() const;

    Parts parts_;
    bool up_ = false;
};

}  // namespace linnetlead::gateway
