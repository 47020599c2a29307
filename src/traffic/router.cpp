#include "traffic/router.h"

#include <algorithm>
#include <utility>

namespace linnetlead::traffic {

using policy::EndpointInfo;
using policy::EndpointListKind;
using policy::EndpointState;
using policy::Outcome;
using proxy::EndpointId;

namespace {

double fraction(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }

// The output function of SplitMix64 (Steele, Lea and Flood, 2014); spreads accounts evenly over [0, 1).
std::uint64_t mix(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

std::uint64_t hash_of(const std::string& text) {
    std::uint64_t hash = 0;
    for (const char c : text) hash = mix(hash ^ static_cast<unsigned char>(c));
    return hash;
}

// Whether the scope of a rollout includes a name. An empty scope includes all.
bool is_named(const std::vector<std::string>& named, const std::string& name) {
    return named.empty() || std::find(named.begin(), named.end(), name) != named.end();
}

}  // namespace

Router::Router(const policy::Settings& site, std::uint64_t seed, Outside outside)
    : site_(site), seed_(seed), outside_(std::move(outside)), random_(seed) {
    for (const policy::RatePlanSettings& plan : site_.plans) plan_names_.push_back(plan.name);
}

std::size_t Router::find_pool(const EndpointInfo& entry) const {
    const auto at = std::find_if(settings_.pools.begin(), settings_.pools.end(),
                                 [&](const Pool& pool) { return pool.holds(entry); });
    return at == settings_.pools.end() ? 0 : static_cast<std::size_t>(at - settings_.pools.begin()) + 1;
}

std::size_t Router::pool_number(const std::string& name) const {
    const auto at = std::find_if(settings_.pools.begin(), settings_.pools.end(),
                                 [&](const Pool& pool) { return pool.name == name; });
    return at == settings_.pools.end() ? 0 : static_cast<std::size_t>(at - settings_.pools.begin()) + 1;
}

std::string Router::pool_of(const EndpointId& endpoint) const {
    const auto at = endpoints_.find(endpoint);
    return at == endpoints_.end() || at->second.pool == 0 ? "" : settings_.pools[at->second.pool - 1].name;
}

void Router::configure(Timestamp now, RoutingSettings settings) {
    settings_ = std::move(settings);
    std::vector<EndpointInfo> changed;
    for (auto& [id, endpoint] : endpoints_) {
        endpoint.pool = find_pool(endpoint.entry);
        const PoolSet pools = pools_of(endpoint);
        // Most changes of the settings leave the pools as they are, and each reported endpoint costs time on
        // the event loop.
        if (pools == endpoint.entry.pools) continue;
        endpoint.entry.pools = pools;
        changed.push_back(endpoint.entry);
    }
    if (settings_.moves.empty()) {
        rollout_.reset();
        ++generation_;
    } else {
        const RolloutSettings& next = settings_.moves.front();
        source_ = pool_number(next.source);
        target_ = pool_number(next.target);
        // The same rollout continues in its stage. A different one starts with all traffic in the old pool.
        if (rollout_ && rollout_->settings().id() == next.id()) {
            rollout_->set_order(now, next.order);
        } else {
            start_rollout(now, next);
        }
    }
    update_rollout_endpoints(now);
    if (outside_.marked && !changed.empty()) outside_.marked(std::move(changed));
}

void Router::start_rollout(Timestamp now, const RolloutSettings& settings) {
    ++generation_;
    CanaryRollout::Site site;
    site.gateways = site_.gateways;
    site.self = site_.self;
    site.classes = site_.classes.size();
    site.seed = seed_ + generation_;
    site.slow_start = {site_.slow_start_min_share, site_.slow_start_window, site_.overload_multiple,
                       site_.overload_window, settings.headroom};
    rollout_ = std::make_unique<CanaryRollout>(settings, site, now, static_cast<GroupChannel&>(*this),
                                               outside_.event);
    account_salt_ = hash_of(settings.id());
    class_in_scope_.clear();
    for (const auto& traffic_class : site_.classes) {
        class_in_scope_.push_back(is_named(settings.classes, traffic_class.name));
    }
    plan_in_scope_.clear();
    for (const std::string& plan : plan_names_) plan_in_scope_.push_back(is_named(settings.plans, plan));
}

void Router::plans_added(const std::vector<policy::RatePlanSettings>& more) {
    for (const policy::RatePlanSettings& plan : more) {
        plan_names_.push_back(plan.name);
        if (rollout_) plan_in_scope_.push_back(is_named(rollout_->settings().plans, plan.name));
    }
}

bool Router::is_in_scope(const policy::Request& request) const {
    const auto plan = static_cast<std::size_t>(request.plan);
    const bool for_plan =
        plan < plan_in_scope_.size() ? plan_in_scope_[plan] : rollout_->settings().plans.empty();
    return for_plan && class_in_scope_[static_cast<std::size_t>(request.traffic_class)];
}

void Router::update_rollout_endpoints(Timestamp now) {
    std::vector<SlowStartBudget::Endpoint> source, target;
    others_serve_ = false;
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint.entry.state != EndpointState::kInService) continue;
        if (rollout_ && endpoint.pool == target_) {
            target.push_back({endpoint.entry.weight, endpoint.entry.started});
        } else {
            others_serve_ = true;
            if (endpoint.pool == source_) source.push_back({endpoint.entry.weight, endpoint.entry.started});
        }
    }
    if (rollout_) rollout_->update_endpoints(now, source, target);
}

void Router::tick(Timestamp now) {
    if (rollout_) rollout_->tick(now);
}

void Router::set_aside(const std::unordered_set<EndpointId>& endpoints) {
    set_aside_ = endpoints;
    update_flag(set_aside_, &RoutedEndpoint::is_set_aside);
}

void Router::set_apart(const std::unordered_set<EndpointId>& endpoints, PoolSet bit) {
    set_apart_ = endpoints;
    set_apart_bit_ = bit;
    update_flag(set_apart_, &RoutedEndpoint::is_set_apart);
}

void Router::update_flag(const std::unordered_set<EndpointId>& endpoints, bool RoutedEndpoint::*flag) {
    std::vector<EndpointInfo> changed;
    for (auto& [id, endpoint] : endpoints_) {
        const bool is_listed = endpoints.count(id) > 0;
        if (is_listed == endpoint.*flag) continue;
        endpoint.*flag = is_listed;
        endpoint.entry.pools = pools_of(endpoint);
        changed.push_back(endpoint.entry);
    }
    if (outside_.marked && !changed.empty()) outside_.marked(std::move(changed));
}

std::uint32_t Router::route(Timestamp now, policy::Request& request) {
    const std::uint32_t mark = select_pools(now, request);
    // The fallback set still contains the endpoints set aside, for requests that no other endpoint can take.
    if (!set_aside_.empty()) request.pools &= ~kSetAsideBit;
    return mark;
}

std::optional<std::string> Router::route_of(const std::string& name) const {
    const auto at = settings_.routes.find(name);
    if (at != settings_.routes.end()) return at->second;
    return route_lookup_ ? route_lookup_(name) : std::nullopt;
}

std::size_t Router::routed_pool(const policy::Request& request) const {
    if (is_fenced_ || (settings_.routes.empty() && !route_lookup_)) return 0;
    auto pool = route_of(request.tenant);
    if (!pool) pool = route_of(site_.classes[static_cast<std::size_t>(request.traffic_class)].name);
    const std::size_t number = pool ? pool_number(*pool) : 0;
    return rollout_ && number == target_ ? 0 : number;  // the rollout decides which requests go there
}

std::uint32_t Router::select_pools(Timestamp now, policy::Request& request) {
    if (const std::size_t pool = routed_pool(request)) {
        if (rollout_ && others_serve_) request.fallback = ~bit(target_);
        request.pools = bit(pool);
        return make_mark(kNotInRollout);
    }
    if (!rollout_) return make_mark(kNotInRollout);
    // All pools but the new one: for requests out of scope, and those that stay in the old pool.
    const PoolSet other_pools = others_serve_ ? ~bit(target_) : policy::kAllPools;
    request.pools = request.fallback = other_pools;
    if (!is_in_scope(request) || is_fenced_) return make_mark(kNotInRollout);
    const double draw =
        fraction(rollout_->settings().by_account ? mix(hash_of(request.tenant) ^ account_salt_) : random_());
    if (rollout_->selects_target(now, request.traffic_class, draw)) {
        request.pools = bit(target_);
        return make_mark(kToTarget);
    }
    if (others_serve_) request.pools = bit(source_);
    return make_mark(kToSource);
}

void Router::tried(Timestamp now, const EndpointId& endpoint, int traffic_class, double units,
                   Outcome outcome, Duration latency) {
    if (outside_.tried) outside_.tried(now, endpoint, traffic_class, units, outcome, latency);
}

void Router::listed(Timestamp now, EndpointListKind kind, std::vector<EndpointInfo>& entries) {
    if (kind == EndpointListKind::kFailed) return;
    if (outside_.listed) outside_.listed(kind, entries);
    if (kind != EndpointListKind::kChanges) endpoints_.clear();
    for (EndpointInfo& entry : entries) {
        RoutedEndpoint routed{entry, find_pool(entry), set_aside_.count(entry.id) > 0,
                              set_apart_.count(entry.id) > 0};
        routed.entry.pools = entry.pools = pools_of(routed);
        if (entry.state == EndpointState::kRemoved) {
            endpoints_.erase(entry.id);
        } else {
            endpoints_[entry.id] = std::move(routed);
        }
    }
    update_rollout_endpoints(now);
}

// An attempt is evidence only if it went to the pool that its request was assigned to. A request that found
// no capacity there and went elsewhere is evidence for neither pool.
std::uint32_t Router::sent(Timestamp now, std::uint32_t of_request, int traffic_class,
                           const EndpointId& endpoint) {
    if (!rollout_) return make_mark(kNotInRollout);
    const auto at = endpoints_.find(endpoint);
    if (at == endpoints_.end()) return make_mark(kNotInRollout);
    const std::size_t pool = at->second.pool;
    if (pool == source_) rollout_->record_sent_to_source(now, traffic_class);
    const auto assignment = static_cast<Assignment>(of_request & kAssignmentMask);
    if (assignment == kNotInRollout || of_request >> kAssignmentBits != generation_)
        return make_mark(kNotInRollout);
    if (pool != (assignment == kToTarget ? target_ : source_)) return make_mark(kNotInRollout);
    if (assignment == kToTarget) rollout_->record_sent_to_target(now, traffic_class);
    return of_request;
}

void Router::ended(std::uint32_t of_attempt, int traffic_class, double units, Outcome outcome,
                   Duration latency) {
    const auto assignment = static_cast<Assignment>(of_attempt & kAssignmentMask);
    if (!rollout_ || assignment == kNotInRollout || of_attempt >> kAssignmentBits != generation_) return;
    const bool served = outcome == Outcome::kOk;
    const bool is_evidence = outcome != Outcome::kCancelled && outcome != Outcome::kNotSent;
    const bool met_objective =
        latency <= site_.classes[static_cast<std::size_t>(traffic_class)].latency_objective;
    rollout_->record_attempt_end(assignment == kToTarget ? Side::kTarget : Side::kSource, traffic_class,
                                 units, std::chrono::duration<double>(latency).count(), served, met_objective,
                                 is_evidence);
}

bool Router::counted(Timestamp now, const std::string& name, policy::CounterStatus status, double total) {
    if (outside_.counted && outside_.counted(now, name, status, total)) return true;
    if (name.compare(0, GatewayGroup::kPrefix.size(), GatewayGroup::kPrefix) != 0) return false;
    if (rollout_) rollout_->receive_count(now, name, status == policy::CounterStatus::kOk, total);
    return true;
}

void Router::heard(Timestamp now, std::string_view text) {
    if (rollout_ && text == std::string(GatewayGroup::kPrefix) + rollout_->settings().id() + " halted") {
        rollout_->receive_halt(now);
    }
}

void Router::notify_peers(const std::string& text) {
    if (outside_.tell_peers) outside_.tell_peers(text);
}

void Router::count(const std::string& name, double amount, Duration life) {
    if (outside_.count) outside_.count(name, amount, life);
}

}  // namespace linnetlead::traffic
