// What the parts of a gateway may have of its descriptors and its memory.
#pragma once

#include <cstddef>

#include "proxy/request_manager.h"
#include "server/config.h"

namespace linnetlead::server {

// Usual clients hold a third of the sockets at most. Beside them there is room for some that never ask, for
// the endpoints, and for everything else (listeners, callers of the admin endpoint, discovery, counter, the
// loop's own), which does not shrink with the limit.
struct ResourceShares {
    // Throws std::runtime_error where the system gives too few descriptors.
    explicit ResourceShares(const Config& config);

    std::size_t clients = 0;    // connections
    std::size_t endpoints = 0;  // connections
    std::size_t unsent = 0;     // bytes, to all clients
    std::size_t buffers = 0;    // bytes in the buffers of all connections, from where on they are high
    proxy::RequestManager::Limits calls;
};

}  // namespace linnetlead::server
