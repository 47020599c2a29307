// Carries out what the operators' staff ask at the second address.
#pragma once

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
        std::vector<std::string> classes;  // their names, by number
    };
    explicit Desk(Parts parts) : parts_(std::move(parts)) {}

    mgmt::Reply carry(const mgmt::Command& command);
    // The listener is up, and all that is taken over is here.
    void set_up() { up_ = true; }

private:
    std::string figures() const;

    Parts parts_;
    bool up_ = false;
};

}  // namespace linnetlead::gateway
