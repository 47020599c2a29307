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

// The finisher of SplitMix64 (Steele, Lea and Flood, 2014), so that accounts fall evenly.
std::uint64_t mixed(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

std::uint64_t hash_of(const std::string& text) {
    std::uint64_t hash = 0;
    for (const char c : text) hash = mixed(hash ^ static_cast<unsigned char>(c));
    return hash;
}

// Whether a rollout that names these is for one of this name: where it names none, it is for all.
bool is_named(const std::vector<std::string>& named, const std::string& name) {
    return named.empty() || std::find(named.begin(), named.end(), name) != named.end();
}

}  // namespace

Router::Router(const policy::Settings& site, std::uint64_t seed, Outside outside)
    : site_(site), seed_(seed), outside_(std::move(outside)), random_(seed) {
    for (const policy::RatePlanSettings& plan : site_.plans) plan_names_.push_back(plan.name);
}

std::size_t Router::place(const EndpointInfo& entry) const {
    const auto at = std::find_if(settings_.pools.begin(), settings_.pools.end(),
                                 [&](const Pool& pool) { return pool.holds(entry); });
    return at == settings_.pools.end() ? 0 : static_cast<std::size_t>(at - settings_.pools.begin()) + 1;
}

std::size_t Router::number_of(const std::string& name) const {
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
        endpoint.pool = place(endpoint.entry);
        const PoolSet pools = pools_of(endpoint);
        // Most files change no pools, and each endpoint that is told again costs the loop.
        if (pools == endpoint.entry.pools) continue;
        endpoint.entry.pools = pools;
        changed.push_back(endpoint.entry);
    }
    if (settings_.moves.empty()) {
        move_.reset();
        ++generation_;
    } else {
        const RolloutSettings& next = settings_.moves.front();
        source_ = number_of(next.source);
        target_ = number_of(next.target);
        // The same move goes on where it is; any other begins anew, its traffic in the old pool.
        if (move_ && move_->settings().id() == next.id()) {
            move_->ordered(now, next.order);
        } else {
            start(now, next);
        }
    }
    tell_endpoints(now);
    if (outside_.marked && !changed.empty()) outside_.marked(std::move(changed));
}

void Router::start(Timestamp now, const RolloutSettings& settings) {
    ++generation_;
    CanaryRollout::Site site;
    site.gateways = site_.gateways;
    site.self = site_.self;
    site.classes = site_.classes.size();
    site.seed = seed_ + generation_;
    site.cold = {site_.slow_start_min_share, site_.slow_start_window, site_.overload_multiple,
                 site_.overload_window, settings.headroom};
    move_ =
        std::make_unique<CanaryRollout>(settings, site, now, static_cast<Counting&>(*this), outside_.event);
    account_salt_ = hash_of(settings.id());
    classes_.clear();
    for (const auto& traffic_class : site_.classes) {
        classes_.push_back(is_named(settings.classes, traffic_class.name));
    }
    plans_.clear();
    for (const std::string& plan : plan_names_) plans_.push_back(is_named(settings.plans, plan));
}

void Router::plans_added(const std::vector<policy::RatePlanSettings>& more) {
    for (const policy::RatePlanSettings& plan : more) {
        plan_names_.push_back(plan.name);
        if (move_) plans_.push_back(is_named(move_->settings().plans, plan.name));
    }
}

bool Router::is_for(const policy::Request& request) const {
    const auto plan = static_cast<std::size_t>(request.plan);
    const bool for_plan = plan < plans_.size() ? plans_[plan] : move_->settings().plans.empty();
    return for_plan && classes_[static_cast<std::size_t>(request.traffic_class)];
}

void Router::tell_endpoints(Timestamp now) {
    std::vector<SlowStartBudget::Endpoint> source, target;
    others_serve_ = false;
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint.entry.state != EndpointState::kInService) continue;
        if (move_ && endpoint.pool == target_) {
            target.push_back({endpoint.entry.weight, endpoint.entry.started});
        } else {
            others_serve_ = true;
            if (endpoint.pool == source_) source.push_back({endpoint.entry.weight, endpoint.entry.started});
        }
    }
    if (move_) move_->endpoints(now, source, target);
}

void Router::tick(Timestamp now) {
    if (move_) move_->tick(now);
}

void Router::set_aside(const std::unordered_set<EndpointId>& endpoints) {
    aside_ = endpoints;
    mark(aside_, &Known::aside);
}

void Router::set_apart(const std::unordered_set<EndpointId>& endpoints, PoolSet bit_of) {
    apart_ = endpoints;
    apart_bit_ = bit_of;
    mark(apart_, &Known::apart);
}

void Router::mark(const std::unordered_set<EndpointId>& endpoints, bool Known::*what) {
    std::vector<EndpointInfo> changed;
    for (auto& [id, endpoint] : endpoints_) {
        const bool is = endpoints.count(id) > 0;
        if (is == endpoint.*what) continue;
        endpoint.*what = is;
        endpoint.entry.pools = pools_of(endpoint);
        changed.push_back(endpoint.entry);
    }
    if (outside_.marked && !changed.empty()) outside_.marked(std::move(changed));
}

std::uint32_t Router::route(Timestamp now, policy::Request& request) {
    const std::uint32_t made = choose(now, request);
    // What a move leaves no endpoint for goes to those set aside all the same.
    if (!aside_.empty()) request.pools &= ~kAside;
    return made;
}

std::optional<std::string> Router::route_of(const std::string& name) const {
    const auto at = settings_.routes.find(name);
    if (at != settings_.routes.end()) return at->second;
    return more_routes_ ? more_routes_(name) : std::nullopt;
}

std::size_t Router::routed(const policy::Request& request) const {
    if (fenced_ || (settings_.routes.empty() && !more_routes_)) return 0;
    auto pool = route_of(request.tenant);
    if (!pool) pool = route_of(site_.classes[static_cast<std::size_t>(request.traffic_class)].name);
    const std::size_t number = pool ? number_of(*pool) : 0;
    return move_ && number == target_ ? 0 : number;  // what goes there, the move decides
}

std::uint32_t Router::choose(Timestamp now, policy::Request& request) {
    if (const std::size_t pool = routed(request)) {
        if (move_ && others_serve_) request.fallback = ~bit(target_);
        request.pools = bit(pool);
        return mark(kForNothing);
    }
    if (!move_) return mark(kForNothing);
    // All but the new pool: what is not for the move, and what the move leaves.
    const PoolSet rest = others_serve_ ? ~bit(target_) : policy::kAllPools;
    request.pools = request.fallback = rest;
    if (!is_for(request) || fenced_) return mark(kForNothing);
    const double draw =
        fraction(move_->settings().by_account ? mixed(hash_of(request.tenant) ^ account_salt_) : random_());
    if (move_->to_target(now, request.traffic_class, draw)) {
        request.pools = bit(target_);
        return mark(kForTarget);
    }
    if (others_serve_) request.pools = bit(source_);
    return mark(kForSource);
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
        Known known{entry, place(entry), aside_.count(entry.id) > 0, apart_.count(entry.id) > 0};
        known.entry.pools = entry.pools = pools_of(known);
        if (entry.state == EndpointState::kRemoved) {
            endpoints_.erase(entry.id);
        } else {
            endpoints_[entry.id] = std::move(known);
        }
    }
    tell_endpoints(now);
}

// An attempt speaks of a pool where it went to the one that its call was meant for. What found no room there
// and went elsewhere says nothing of either.
std::uint32_t Router::sent(Timestamp now, std::uint32_t of_call, int traffic_class,
                           const EndpointId& endpoint) {
    if (!move_) return mark(kForNothing);
    const auto at = endpoints_.find(endpoint);
    if (at == endpoints_.end()) return mark(kForNothing);
    const std::size_t pool = at->second.pool;
    if (pool == source_) move_->carried(now, traffic_class);
    const auto meant = static_cast<Meant>(of_call & 3);
    if (meant == kForNothing || of_call >> 2 != generation_) return mark(kForNothing);
    if (pool != (meant == kForTarget ? target_ : source_)) return mark(kForNothing);
    if (meant == kForTarget) move_->sent_to_target(now, traffic_class);
    return of_call;
}

void Router::ended(std::uint32_t of_attempt, int traffic_class, double units, Outcome outcome,
                   Duration latency) {
    const auto meant = static_cast<Meant>(of_attempt & 3);
    if (!move_ || meant == kForNothing || of_attempt >> 2 != generation_) return;
    const bool served = outcome == Outcome::kOk;
    const bool counts = outcome != Outcome::kCancelled && outcome != Outcome::kNotSent;
    const bool in_aim = latency <= site_.classes[static_cast<std::size_t>(traffic_class)].latency_objective;
    move_->ended(meant == kForTarget ? Side::kTarget : Side::kSource, traffic_class, units,
                 std::chrono::duration<double>(latency).count(), served, in_aim, counts);
}

bool Router::counted(Timestamp now, const std::string& name, policy::CounterStatus status, double total) {
    if (outside_.counted && outside_.counted(now, name, status, total)) return true;
    if (name.compare(0, GatewayGroup::kPrefix.size(), GatewayGroup::kPrefix) != 0) return false;
    if (move_) move_->counted(now, name, status == policy::CounterStatus::kOk, total);
    return true;
}

void Router::heard(Timestamp now, std::string_view text) {
    if (move_ && text == std::string(GatewayGroup::kPrefix) + move_->settings().id() + " halted") {
        move_->halted_elsewhere(now);
    }
}

void Router::tell_peers(const std::string& text) {
    if (outside_.tell_peers) outside_.tell_peers(text);
}

void Router::count(const std::string& name, double amount, Duration life) {
    if (outside_.count) outside_.count(name, amount, life);
}

}  // namespace linnetlead::traffic
