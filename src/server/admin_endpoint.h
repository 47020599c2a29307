// Carries out what the operators' staff ask at the second address.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "admin/admin_command.h"
#include "admin/maintenance_overrides.h"
#include "proxy/downstream_server.h"
#include "proxy/request_manager.h"
#include "proxy/upstream_pool.h"
#include "server/drain.h"

namespace linnetlead::server {

class AdminEndpoint {
public:
    struct Parts {
        const proxy::RequestManager& gateway;
        const net::UpstreamPool& pool;
        const net::DownstreamServer& clients;
        admin::MaintenanceOverrides& suspensions;
        Drain& drain;
        std::vector<std::string> classes;                 // their names, by number
        std::function<void(const admin::Command&)> done;  // a command that has changed something
        std::function<std::string()> agreement;           // what the tier agrees on; empty: nothing is agreed
        std::function<std::size_t()> unusable_states = nullptr;  // of this process; none: it keeps none
    };
    explicit AdminEndpoint(Parts parts) : parts_(std::move(parts)) {}

    admin::Reply carry(const admin::Command& command);
    // The listener is up, and all that is taken over is here.
    void set_up() { up_ = true; }

private:
    admin::Reply carried(const admin::Command& command);
    std::string figures() const;

    Parts parts_;
    bool up_ = false;
};

}  // namespace linnetlead::server
