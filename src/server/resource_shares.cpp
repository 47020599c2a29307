#include "server/resource_shares.h"

#include <sys/resource.h>

#include <algorithm>
#include <stdexcept>
#include <string>

#include "admin/admin_server.h"

namespace linnetlead::server {

namespace {

constexpr std::size_t kMinSockets = 120;  // that a configuration may name
constexpr std::size_t kMinGiven = 48;     // by the system
constexpr std::size_t kForTheRest = 24;   // descriptors
constexpr int kMaxCalls = 4096;           // open at once
constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kProcessMegabytes = 8;  // without clients, requests and tenants

}  // namespace

ResourceShares::ResourceShares(const Config& config) {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    const std::size_t given = files.rlim_cur;
    if (given < kMinGiven) {
        throw std::runtime_error("the system gives " + std::to_string(given) + " descriptors, and " +
                                 std::to_string(kMinGiven) + " are needed");
    }
    const auto sockets = std::min(given, std::max<std::size_t>(config.sockets, kMinSockets));
    // Where the system gives fewer than any configuration may name, the second address's callers share.
    const std::size_t kept = sockets < kMinSockets
                                 ? kForTheRest
                                 : std::max(sockets / 8, net::AdminServer::kMaxCallers + kForTheRest);
    clients = std::min(sockets / 3 + sockets / 8, (sockets - kept) * 6 / 10);
    const std::size_t memory =
        std::max(config.memory_mb, 2 * kProcessMegabytes) * kMegabyte - kProcessMegabytes * kMegabyte;
    unsent = buffers = memory / 8;
    endpoints = sockets - clients - kept;
    calls.bytes = memory / 3;
    calls.accounts = memory / 4 / proxy::NewTenantLimiter::kBytesEach;
    calls.calls = std::max(
        1, config.site.max_concurrent > 0 ? std::min(config.site.max_concurrent, kMaxCalls) : kMaxCalls);
}

}  // namespace linnetlead::server
