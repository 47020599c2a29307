// Routes the requests of one gateway: assigns endpoints to pools, selects the pools that each request may go
// to, and runs the current rollout. The request manager calls it through proxy::RoutingPort; the server
// configures it. It does no I/O itself: counts and messages go out through callbacks.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "proxy/ports.h"
#include "traffic/routing_settings.h"

namespace linnetlead::traffic {

class Router final : public proxy::RoutingPort, private GroupChannel {
public:
    using PoolSet = policy::PoolSet;
    struct Outside {
        std::function<void(const std::string& name, double amount, Duration life)> count;
        std::function<void(const Event&)> event;
        std::function<void(const std::string& text)> tell_peers;  // empty: no datagrams to the others
        // Endpoints whose pools have changed, for RequestManager::marked.
        std::function<void(std::vector<policy::EndpointInfo>)> marked;
        // The next three belong to the agreement and to endpoint health; empty: neither is configured.
        std::function<bool(Timestamp now, const std::string& name, policy::CounterStatus status,
                           double total)>
            counted;
        std::function<void(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries)>
            listed;
        std::function<void(Timestamp now, const proxy::EndpointId& endpoint, int traffic_class, double units,
                           policy::Outcome outcome, Duration latency)>
            tried;
    };
    Router(const policy::Settings& site, std::uint64_t seed, Outside outside);

    // Call it at start and after each change of the operators' file.
    void configure(Timestamp now, RoutingSettings settings);
    // Looks up the pool that the requests of an account or class go to first, if the settings have no route
    // for it; used where there are too many routes for the settings. Empty: all pools.
    using RouteOf = std::function<std::optional<std::string>(std::string_view name)>;
    void look_up_in(RouteOf routes) { route_lookup_ = std::move(routes); }
    void tick(Timestamp now);
    // While fenced, the router does only what both the old and the new version of the settings allow: no
    // request goes to the new pool of a rollout, and no route applies.
    void fence(bool on) { is_fenced_ = on; }
    // These endpoints get a request only if no other can take it.
    void set_aside(const std::unordered_set<proxy::EndpointId>& endpoints);
    // These endpoints form a pool set of their own, `bit`, which requests can exclude.
    void set_apart(const std::unordered_set<proxy::EndpointId>& endpoints, PoolSet bit);

    void plans_added(const std::vector<policy::RatePlanSettings>& more) override;
    std::uint32_t route(Timestamp now, policy::Request& request) override;
    void listed(Timestamp now, policy::EndpointListKind kind,
                std::vector<policy::EndpointInfo>& entries) override;
    std::uint32_t sent(Timestamp now, std::uint32_t mark, int traffic_class,
                       const proxy::EndpointId& endpoint) override;
    void ended(std::uint32_t mark, int traffic_class, double units, policy::Outcome outcome,
               Duration latency) override;
    void tried(Timestamp now, const proxy::EndpointId& endpoint, int traffic_class, double units,
               policy::Outcome outcome, Duration latency) override;
    bool counted(Timestamp now, const std::string& name, policy::CounterStatus status, double total) override;

    // Handles a message that another gateway sent through notify_peers().
    void heard(Timestamp now, std::string_view text);

    const CanaryRollout* move() const { return rollout_.get(); }
    std::string pool_of(const proxy::EndpointId& endpoint) const;

private:
    struct RoutedEndpoint {
        policy::EndpointInfo entry;
        std::size_t pool = 0;  // number in the settings, from 1; 0: in no pool
        bool is_set_aside = false, is_set_apart = false;
    };
    // A mark combines the rollout's generation with the side that a request was assigned to.
    enum Assignment : std::uint32_t { kNotInRollout, kToSource, kToTarget };
    static constexpr std::uint32_t kAssignmentBits = 2;
    static constexpr std::uint32_t kAssignmentMask = 3;
    std::uint32_t select_pools(Timestamp now, policy::Request& request);
    // The number of the pool that the request goes to first by a route; 0: no route applies.
    std::size_t routed_pool(const policy::Request& request) const;
    std::optional<std::string> route_of(const std::string& name) const;
    std::uint32_t make_mark(Assignment assignment) const {
        return generation_ << kAssignmentBits | assignment;
    }

    void count(const std::string& name, double amount, Duration life) override;
    void notify_peers(const std::string& text) override;
    std::size_t find_pool(const policy::EndpointInfo& entry) const;
    PoolSet bit(std::size_t pool) const { return PoolSet{1} << pool; }
    // Above the bits of the pools, of which there are at most 29.
    static constexpr PoolSet kSetAsideBit = PoolSet{1} << 31;
    PoolSet pools_of(const RoutedEndpoint& endpoint) const {
        return endpoint.is_set_aside   ? kSetAsideBit
               : endpoint.is_set_apart ? set_apart_bit_
                                       : bit(endpoint.pool);
    }
    // Sets a flag of exactly these endpoints and reports those whose pools have changed.
    void update_flag(const std::unordered_set<proxy::EndpointId>& endpoints, bool RoutedEndpoint::*flag);
    std::size_t pool_number(const std::string& name) const;
    void update_rollout_endpoints(Timestamp now);
    void start_rollout(Timestamp now, const RolloutSettings& settings);
    // Whether the rollout covers the class and plan of the request.
    bool is_in_scope(const policy::Request& request) const;

    policy::Settings site_;
    std::uint64_t seed_;
    Outside outside_;
    std::mt19937_64 random_;
    RoutingSettings settings_;
    RouteOf route_lookup_;  // empty: all routes are in the settings
    std::unordered_map<proxy::EndpointId, RoutedEndpoint> endpoints_;
    std::unique_ptr<CanaryRollout> rollout_;
    std::uint32_t generation_ = 0;         // of the rollout; changes when one starts or is removed
    std::vector<std::string> plan_names_;  // by plan number of the decision module
    std::vector<bool> class_in_scope_, plan_in_scope_;  // of the rollout, by number
    std::size_t source_ = 0, target_ = 0;               // pool numbers of the rollout
    bool is_fenced_ = false;
    std::unordered_set<proxy::EndpointId> set_aside_, set_apart_;
    PoolSet set_apart_bit_ = 0;
    bool others_serve_ = false;  // an endpoint outside the new pool is in service
    std::uint64_t account_salt_ = 0;
};

}  // namespace linnetlead::traffic
