#include "admin/maintenance_overrides.h"

#include <algorithm>
#include <functional>

namespace linnetlead::admin {

using policy::EndpointListKind;
using policy::EndpointState;
using proxy::DiscoveredEndpoint;
using proxy::EndpointId;

void MaintenanceOverrides::listed(EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) {
    if (kind != EndpointListKind::kFailed) has_list_ = true;
    if (listing_) listing_(kind, entries);
    if (kind == EndpointListKind::kComplete || kind == EndpointListKind::kCached) {
        std::unordered_set<EndpointId> named;
        for (const DiscoveredEndpoint& one : entries) named.insert(one.entry.id);
        const auto kept = std::count_if(told_.begin(), told_.end(),
                                        [&](const auto& one) { return named.count(one.first) > 0; });
        // Where much of the list is missing at once, it may be the registry that has lost it: no news for
        // others.
        constexpr std::size_t kMaxMissing = 4;
        const bool is_news = (told_.size() - static_cast<std::size_t>(kept)) * kMaxMissing <= told_.size();
        for (auto at = told_.begin(); at != told_.end();) {
            const bool stays = named.count(at->first) > 0;
            if (!stays) forget(at->first);
            if (!stays && is_news && change_) change_(at->first, at->second.entry.started, false);
            at = stays ? std::next(at) : told_.erase(at);
        }
    }
    std::vector<DiscoveredEndpoint> as_seen;
    as_seen.reserve(entries.size());
    for (const DiscoveredEndpoint& one : entries) {
        if (change_) change_(one.entry.id, one.entry.started, one.entry.state == EndpointState::kInService);
        if (one.entry.state == EndpointState::kRemoved) {
            if (told_.erase(one.entry.id) > 0) forget(one.entry.id);
        } else {
            told_[one.entry.id] = one;
        }
        as_seen.push_back(seen(one));
    }
    beyond_.listed(kind, as_seen);
}

DiscoveredEndpoint MaintenanceOverrides::seen(DiscoveredEndpoint listed) const {
    const auto warned = warned_.find(listed.entry.id);
    // A process that began later is another one.
    const bool is_warned = warned != warned_.end() && listed.entry.started <= warned->second;
    const bool banned = banned_.count(listed.entry.id) > 0 || is_warned;
    if (banned && listed.entry.state == EndpointState::kInService)
        listed.entry.state = EndpointState::kDraining;
    return listed;
}

void MaintenanceOverrides::forget(const EndpointId& id) {
    const std::size_t hash = std::hash<EndpointId>{}(id);
    if (!gone_.insert(hash).second) return;
    gone_order_.push_back(hash);
    if (gone_order_.size() <= kMaxGone) return;
    gone_.erase(gone_order_.front());
    gone_order_.pop_front();
}

bool MaintenanceOverrides::was_listed(const EndpointId& id) const {
    return told_.count(id) > 0 || banned_.count(id) > 0 || gone_.count(std::hash<EndpointId>{}(id)) > 0;
}

void MaintenanceOverrides::tell(const EndpointId& id) {
    const auto at = told_.find(id);
    if (at != told_.end()) beyond_.listed(EndpointListKind::kChanges, {seen(at->second)});
}

bool MaintenanceOverrides::suspend(const EndpointId& id) {
    if (!was_listed(id)) return false;
    adopt(id);
    return true;
}

bool MaintenanceOverrides::resume(const EndpointId& id) {
    if (!was_listed(id)) return false;
    release(id);
    return true;
}

void MaintenanceOverrides::warn(const EndpointId& id, proxy::Timestamp started) {
    warned_[id] = started;
    tell(id);
}

void MaintenanceOverrides::unwarn(const EndpointId& id) {
    if (warned_.erase(id) > 0) tell(id);
}

void MaintenanceOverrides::adopt(const EndpointId& id) {
    if (banned_.insert(id).second) tell(id);
}

void MaintenanceOverrides::release(const EndpointId& id) {
    if (banned_.erase(id) > 0) tell(id);
    // Still known as one that was listed, though a ban was all that named it.
    if (told_.count(id) == 0) forget(id);
}

std::vector<EndpointId> MaintenanceOverrides::listed_ids() const {
    std::vector<EndpointId> ids;
    ids.reserve(told_.size());
    for (const auto& [id, listed] : told_) ids.push_back(id);
    return ids;
}

const DiscoveredEndpoint* MaintenanceOverrides::find(const EndpointId& id) const {
    const auto at = told_.find(id);
    return at == told_.end() ? nullptr : &at->second;
}

std::size_t MaintenanceOverrides::skipped() const {
    return static_cast<std::size_t>(std::count_if(
        banned_.begin(), banned_.end(), [this](const EndpointId& id) { return told_.count(id) > 0; }));
}

}  // namespace linnetlead::admin
