// Endpoints that the operators have taken out, or of which another gateway's list says that they drain or are
// gone, as an overlay on the list: such a one is told on as draining, whatever the registry says; what it
// says is kept beneath, and a resume tells that. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "proxy/ports.h"

namespace linnetlead::admin {

class MaintenanceOverrides final : public proxy::EndpointListPort {
public:
    explicit MaintenanceOverrides(proxy::EndpointListPort& beyond) : beyond_(beyond) {}

    void listed(policy::EndpointListKind kind,
                const std::vector<proxy::DiscoveredEndpoint>& entries) override;

    // False where the id was never listed: nothing is kept of it then. Twice is once.
    bool suspend(const proxy::EndpointId& id);
    bool resume(const proxy::EndpointId& id);
    // The word of another process, which knew what was listed.
    void adopt(const proxy::EndpointId& id);
    void release(const proxy::EndpointId& id);
    std::vector<proxy::EndpointId> all() const { return {banned_.begin(), banned_.end()}; }

    // The list of another gateway says that this process of the endpoint drains or is gone.
    void warn(const proxy::EndpointId& id, proxy::Timestamp started);
    void unwarn(const proxy::EndpointId& id);
    // Hears what the list itself says of each endpoint that it names or drops: whether it is wanted any more.
    using Change = std::function<void(const proxy::EndpointId&, proxy::Timestamp started, bool wanted)>;
    void on_change(Change change) { change_ = std::move(change); }
    // Hears the list itself, before it is told on.
    using Listing =
        std::function<void(policy::EndpointListKind, const std::vector<proxy::DiscoveredEndpoint>&)>;
    void on_list(Listing listing) { listing_ = std::move(listing); }

    bool has_list() const { return has_list_; }
    // What the list itself says; find() returns null for an endpoint that is not listed.
    std::vector<proxy::EndpointId> listed_ids() const;
    const proxy::DiscoveredEndpoint* find(const proxy::EndpointId& id) const;
    std::size_t known() const { return told_.size(); }  // endpoints in the list
    std::size_t skipped() const;                        // of them, suspended ones

    // So many ids that are gone are remembered, the latest; a ban stays until its resume in any case.
    static constexpr std::size_t kMaxGone = 16384;

private:
    bool was_listed(const proxy::EndpointId& id) const;
    void tell(const proxy::EndpointId& id);
    void forget(const proxy::EndpointId& id);
    proxy::DiscoveredEndpoint seen(proxy::DiscoveredEndpoint listed) const;

    proxy::EndpointListPort& beyond_;
    std::unordered_map<proxy::EndpointId, proxy::DiscoveredEndpoint> told_;
    std::unordered_set<proxy::EndpointId> banned_;
    std::unordered_map<proxy::EndpointId, proxy::Timestamp>
        warned_;  // by when the process began that they are of
    Change change_;
    Listing listing_;
    std::unordered_set<std::size_t> gone_;  // by hash: a long day's ids are many
    std::deque<std::size_t> gone_order_;
    bool has_list_ = false;
};

}  // namespace linnetlead::admin
