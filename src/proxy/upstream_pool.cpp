#include "proxy/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "proxy/upstream_connection.h"

namespace linnetlead::net {

using policy::Outcome;
using proxy::Duration;
using proxy::Ending;
using proxy::EndpointId;
using proxy::Handle;
using proxy::Stage;
using proxy::Timestamp;

namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
constexpr Duration kMinIdleTime =
    std::chrono::milliseconds(5);  // idle time before a connection takes its next request

}  // namespace

UpstreamPool::UpstreamPool(Loop& loop, proxy::RequestManager& gateway, Bounds bounds)
    : loop_(loop), gateway_(gateway), bounds_(bounds), max_reuse_idle_(bounds.idle) {}
UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::close() {
    connections_.for_each([](Handle, Connection& connection) { connection.close(); });
}

void UpstreamPool::retire(bool on) {
    retiring_ = on;
    if (on) close_idle_above(0);
}

void UpstreamPool::limit(std::size_t connections) {
    bounds_.connections = connections;
    close_idle_above(connections);
}

// Closes the longest idle connections until at most this many connections remain or none is idle.
void UpstreamPool::close_idle_above(std::size_t max_connections) {
    std::size_t surplus = connections_.size() > max_connections ? connections_.size() - max_connections : 0;
    for (auto at = idle_by_age_.begin(); at != idle_by_age_.end() && surplus > 0; ++at) {
        Connection* const longest = connections_.find(*at);
        if (!longest || longest->closing()) continue;
        longest->close();
        --surplus;
    }
}

Handle UpstreamPool::start(Handle request, const EndpointId& endpoint, const proxy::Payload& payload,
                           const Limits& limits) {
    Connection* connection = connection_to(endpoint);
    if (!connection) {
        gateway_.attempt_ended(request, {});
        return {};
    }
    connection->begin(request, &payload, limits);
    return connection->self;
}

void UpstreamPool::give_up(Handle attempt) {
    Connection* connection = connections_.find(attempt);
    if (connection && connection->busy())
        connection->end({Stage::kUnconnected, Ending::kGivenUp, {}, 0, {}, {}});
}

void UpstreamPool::client_gone(Handle attempt) {
    const Connection* connection = connections_.find(attempt);
    if (connection && connection->is_pointless_without_client()) give_up(attempt);
}

bool UpstreamPool::is_unsent(Handle attempt) {
    const Connection* connection = connections_.find(attempt);
    return connection && connection->is_request_unsent();
}

void UpstreamPool::go_on(Handle attempt) {
    Connection* connection = connections_.find(attempt);
    if (connection && connection->busy()) connection->go_on();
}

void UpstreamPool::probe(const EndpointId& endpoint) {
    if (Connection* connection = connection_to(endpoint)) {
        const Timestamp until = loop_.now() + kProbeTimeout;
        connection->begin({}, nullptr, {until, until, Timestamp::max()});
    } else {
        gateway_.probed(endpoint, Outcome::kConnectFailed, {});
    }
}

// Returns the most recently used idle connection, or a new one.
UpstreamPool::Connection* UpstreamPool::connection_to(const EndpointId& id) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end() || !at->second.is_usable) return nullptr;
    Endpoint& endpoint = at->second;
    // Surplus bytes after a reply would be taken for the next reply. A connection is therefore reused only
    // after a short time and if nothing is unread on it.
    const Timestamp now = loop_.now();
    for (std::size_t i = endpoint.idle.size(); i-- > 0;) {
        Connection* idle = connections_.find(endpoint.idle[i]);
        if (idle && !idle->closing() && now - idle->idle_since() < kMinIdleTime) continue;
        endpoint.idle.erase(endpoint.idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (!idle || idle->closing()) continue;
        if (idle->is_quiet() && now - idle->idle_since() < max_reuse_idle_) return idle;
        idle->close();
    }
    if (!make_room()) return nullptr;
    const Handle handle = connections_.add(loop_, *this, id, endpoint.process);
    Connection* connection = connections_.find(handle);
    connection->self = handle;
    endpoint.open.push_back(handle);
    if (connection->connect(endpoint.to) != 0) {
        connection->close();
        return nullptr;
    }
    return connection;
}

// Adapts to endpoints or middleboxes that drop idle connections sooner than the settings say and reset the
// next request on them: a non-idempotent request that may have run cannot be retried, while a new connection
// is cheap. A reset halves the idle time allowed for reuse; each served request lengthens it slightly.
void UpstreamPool::adapt_reuse_limit(Duration idle_time, bool good) {
    constexpr int kGrowthDivisor = 400;
    const Duration next =
        good ? max_reuse_idle_ + max_reuse_idle_ / kGrowthDivisor : std::min(max_reuse_idle_, idle_time) / 2;
    max_reuse_idle_ = std::clamp(next, kMinIdleTime, bounds_.idle);
}

bool UpstreamPool::make_room() {
    if (connections_.size() < bounds_.connections) return true;
    for (const Handle idle : idle_by_age_) {
        Connection* const longest = connections_.find(idle);
        if (!longest || longest->closing()) continue;  // already closing
        longest->close();
        return true;
    }
    return false;
}

// Takes time proportional to the number of entries, and for a whole list to the number of known endpoints.
void UpstreamPool::told(const std::vector<proxy::DiscoveredEndpoint>& entries, bool whole) {
    ++update_number_;
    for (const proxy::DiscoveredEndpoint& listed : entries) {
        Endpoint& endpoint = endpoints_[listed.entry.id];
        const bool fresh = endpoint.address != listed.address || endpoint.started != listed.entry.started;
        if (fresh) {
            release_connections(endpoint);
            update_address_index(listed.entry.id, endpoint.address, listed.address);
            endpoint.address = listed.address;
            endpoint.started = listed.entry.started;
            endpoint.process = ++last_process_;
        }
        endpoint.last_update = update_number_;
        endpoint.is_usable = listed.entry.state == policy::EndpointState::kInService &&
                             read_address(listed.address, endpoint.to);
    }
    // Removes endpoints that are gone, on a whole list as on a change, so that new ids cannot grow the table.
    for (const proxy::DiscoveredEndpoint& listed : entries) {
        const auto at = endpoints_.find(listed.entry.id);
        if (at == endpoints_.end() || at->second.is_usable) continue;
        release_connections(at->second);
        if (listed.entry.state == policy::EndpointState::kRemoved) remove_endpoint(listed.entry.id);
    }
    if (whole) remove_unlisted();
    for (const proxy::DiscoveredEndpoint& listed : entries) drop_predecessors(listed.address);
}

void UpstreamPool::remove_unlisted() {
    std::vector<EndpointId> gone;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint.last_update != update_number_) gone.push_back(id);
    }
    for (const EndpointId& id : gone) remove_endpoint(id);
}

void UpstreamPool::remove_endpoint(const EndpointId& id) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end()) return;
    at->second.is_usable = false;
    release_connections(at->second);
    update_address_index(id, at->second.address, {});
    endpoints_.erase(id);
}

void UpstreamPool::update_address_index(const EndpointId& id, const std::string& from,
                                        const std::string& to) {
    if (const auto at = ids_by_address_.find(from); at != ids_by_address_.end()) {
        auto& ids = at->second;
        ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
        if (ids.empty()) ids_by_address_.erase(at);
    }
    if (!to.empty()) ids_by_address_[to].push_back(id);
}

// Of the endpoints that are listed at an address, only the one that started last is there: requests for an
// earlier one would reach it without its slow start and its drain.
void UpstreamPool::drop_predecessors(const std::string& address) {
    const auto at = ids_by_address_.find(address);
    if (at == ids_by_address_.end() || at->second.size() < 2) return;
    proxy::Timestamp last_start{};
    for (const EndpointId& id : at->second) last_start = std::max(last_start, endpoints_.at(id).started);
    for (const EndpointId& id : at->second) {
        Endpoint& endpoint = endpoints_.at(id);
        if (!endpoint.is_usable || endpoint.started >= last_start) continue;
        endpoint.is_usable = false;
        release_connections(endpoint);
    }
}

// Closes the idle connections and ends the attempts that are not written yet: on a connection that comes up
// later they would reach an endpoint that no longer accepts requests.
void UpstreamPool::release_connections(Endpoint& endpoint) {
    for (const Handle idle : std::exchange(endpoint.idle, {})) {
        if (Connection* connection = connections_.find(idle)) connection->close();
    }
    const std::vector<Handle> open = endpoint.open;  // end() removes them from endpoint.open
    for (const Handle one : open) {
        Connection* const connection = connections_.find(one);
        if (connection && connection->is_request_unsent()) connection->end({});
    }
}

}  // namespace linnetlead::net
