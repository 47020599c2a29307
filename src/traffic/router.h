// The routes of one gateway: which pool each endpoint is in, which pools each call may go to, and the move
// under way. Decides without I/O; what it counts and tells goes out through what it is given.
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

class Router final : public proxy::RoutingPort, private Counting {
public:
    using PoolSet = policy::PoolSet;
    struct Outside {
        std::function<void(const std::string& name, double amount, Duration life)> count;
        std::function<void(const Event&)> event;
        std::function<void(const std::string& text)> tell_peers;  // none: there is no way to them
        // Endpoints that are in other pools now, for RequestManager::marked.
        std::function<void(std::vector<policy::EndpointInfo>)> marked;
        // Of the accord's and of the endpoints' health; none: there is none.
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

    // At start, and whenever the operators' file has changed.
    void configure(Timestamp now, RoutingSettings settings);
    // The pool that an account's or a class's calls go to first, where there are too many routes for the
    // settings. Nothing: they go to all.
    using RouteOf = std::function<std::optional<std::string>(std::string_view name)>;
    void look_up_in(RouteOf routes) { more_routes_ = std::move(routes); }
    void tick(Timestamp now);
    // Acts on what the versions before and after allow alike: nothing goes to a move's new pool, and no
    // route is followed.
    void fence(bool on) { fenced_ = on; }
    // These get what no other can take.
    void set_aside(const std::unordered_set<proxy::EndpointId>& endpoints);
    // These are in a set of their own, which calls may be told to leave out.
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

    // What another gateway's tell_peers() said.
    void heard(Timestamp now, std::string_view text);

    const CanaryRollout* move() const { return move_.get(); }
    std::string pool_of(const proxy::EndpointId& endpoint) const;

private:
    struct Known {
        policy::EndpointInfo entry;
        std::size_t pool = 0;  // 0: of none; else its number in the file, from 1
        bool aside = false, apart = false;
    };
    // A mark: the move's generation, and what the call was meant for or its attempt went to.
    enum Meant : std::uint32_t { kForNothing, kForSource, kForTarget };
    std::uint32_t choose(Timestamp now, policy::Request& request);
    // The number of the pool that the call goes to first; 0: there is no route.
    std::size_t routed(const policy::Request& request) const;
    std::optional<std::string> route_of(const std::string& name) const;
    std::uint32_t mark(Meant meant) const { return generation_ << 2 | meant; }

    void count(const std::string& name, double amount, Duration life) override;
    void tell_peers(const std::string& text) override;
    std::size_t place(const policy::EndpointInfo& entry) const;
    PoolSet bit(std::size_t pool) const { return PoolSet{1} << pool; }
    // Beside the pools, of which there are 29 at most.
    static constexpr PoolSet kAside = PoolSet{1} << 31;
    PoolSet pools_of(const Known& endpoint) const {
        return endpoint.aside ? kAside : endpoint.apart ? apart_bit_ : bit(endpoint.pool);
    }
    void mark(const std::unordered_set<proxy::EndpointId>& endpoints, bool Known::*what);
    std::size_t number_of(const std::string& pool) const;
    void tell_endpoints(Timestamp now);
    void start(Timestamp now, const RolloutSettings& settings);
    bool is_for(const policy::Request& request) const;

    policy::Settings site_;
    std::uint64_t seed_;
    Outside outside_;
    std::mt19937_64 random_;
    RoutingSettings settings_;
    RouteOf more_routes_;                                     // none: all are in the settings
    std::unordered_map<proxy::EndpointId, Known> endpoints_;  // as long as the list
    std::unique_ptr<CanaryRollout> move_;
    std::uint32_t generation_ = 0;
    std::vector<std::string> plan_names_;  // of each plan that the decision module has, by its number
    std::vector<bool> classes_, plans_;    // by number: whether the move is for it
    std::size_t source_ = 0, target_ = 0;
    bool fenced_ = false;
    std::unordered_set<proxy::EndpointId> aside_, apart_;
    PoolSet apart_bit_ = 0;
    bool others_serve_ = false;  // some endpoint outside the new pool may be sent to
    std::uint64_t account_salt_ = 0;
};

}  // namespace linnetlead::traffic
