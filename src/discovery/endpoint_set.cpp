#include "discovery/endpoint_set.h"

#include <algorithm>
#include <utility>

namespace linnetlead::discovery {

namespace {

using policy::EndpointState;
constexpr Duration kRemovalWindow = std::chrono::seconds(5);

}  // namespace

bool same(const DiscoveredEndpoint& a, const DiscoveredEndpoint& b) {
    const auto &x = a.entry, &y = b.entry;
    return x.id == y.id && x.zone == y.zone && x.kind == y.kind && x.cell == y.cell && x.weight == y.weight &&
           x.started == y.started && x.state == y.state && a.address == b.address;
}

void EndpointSet::whole(Timestamp now, const std::vector<DiscoveredEndpoint>& entries) {
    remove_or_retain(now, take_whole(entries));
}

void EndpointSet::adopt_whole(const std::vector<DiscoveredEndpoint>& entries) {
    for (const std::string& id : take_whole(entries)) {
        retained_.erase(id);
        remove(id);
    }
}

void EndpointSet::adopt_changes(const std::vector<DiscoveredEndpoint>& entries) {
    for (const DiscoveredEndpoint& listed : entries) {
        if (listed.entry.state != EndpointState::kRemoved) {
            upsert(listed);
            continue;
        }
        retained_.erase(listed.entry.id);
        remove(listed.entry.id);
    }
}

std::vector<std::string> EndpointSet::take_whole(const std::vector<DiscoveredEndpoint>& entries) {
    ++list_number_;
    for (const DiscoveredEndpoint& listed : entries) {
        if (listed.entry.state == EndpointState::kRemoved) continue;
        upsert(listed);
        Endpoint& endpoint = endpoints_.at(listed.entry.id);
        if (endpoint.list_number == list_number_) ++duplicates_;
        endpoint.list_number = list_number_;
    }
    std::vector<std::string> gone;
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint.list_number != list_number_) gone.push_back(id);
    }
    std::sort(gone.begin(), gone.end());  // independent of the hash table's order
    return gone;
}

void EndpointSet::changes(Timestamp now, const std::vector<DiscoveredEndpoint>& entries) {
    std::vector<std::string> gone;
    for (const DiscoveredEndpoint& listed : entries) {
        if (listed.entry.state != EndpointState::kRemoved) {
            upsert(listed);
            gone.erase(std::remove(gone.begin(), gone.end(), listed.entry.id), gone.end());
        } else if (endpoints_.count(listed.entry.id) > 0) {
            gone.push_back(listed.entry.id);
        }
    }
    remove_or_retain(now, gone);
}

void EndpointSet::upsert(const DiscoveredEndpoint& listed) {
    retained_.erase(listed.entry.id);
    removed_.erase(listed.entry.id);
    const auto [at, fresh] = endpoints_.try_emplace(listed.entry.id);
    Endpoint& endpoint = at->second;
    if (!fresh && same(endpoint.listed, listed)) return;
    // Drains and changes that end the use of an address go first.
    const bool urgent = listed.entry.state != EndpointState::kInService ||
                        (!fresh && (endpoint.listed.address != listed.address ||
                                    endpoint.listed.entry.started != listed.entry.started));
    endpoint.listed = listed;
    enqueue(at->first, endpoint, urgent);
}

// An id may be in both queues, but is reported once, with its state at that time.
void EndpointSet::enqueue(const std::string& id, Endpoint& endpoint, bool urgent) {
    if (urgent) {
        urgent_.push_back(id);
    } else if (!endpoint.queued) {
        queue_.push_back(id);
    }
    endpoint.queued = true;
}

void EndpointSet::remove_or_retain(Timestamp now, const std::vector<std::string>& ids) {
    if (now - window_start_ >= kRemovalWindow) {
        window_start_ = now;
        size_at_window_start_ = endpoints_.size();
        removed_in_window_ = 0;
    }
    std::size_t fresh = 0;
    for (const std::string& id : ids) fresh += retained_.count(id) == 0;
    const auto most =
        static_cast<std::size_t>(settings_.max_gone * static_cast<double>(size_at_window_start_));
    const bool too_many = size_at_window_start_ > settings_.few && settings_.hold > Duration{0} &&
                          removed_in_window_ + fresh + retained_.size() > most;
    for (const std::string& id : ids) {
        if (too_many) {
            retained_.try_emplace(id, now);
        } else if (retained_.count(id) == 0) {
            ++removed_in_window_;
            remove(id);
        }
    }
}

bool EndpointSet::tick(Timestamp now) {
    std::vector<std::string> due;
    for (const auto& [id, since] : retained_) {
        if (now - since >= settings_.hold) due.push_back(id);
    }
    std::sort(due.begin(), due.end());
    for (const std::string& id : due) {
        retained_.erase(id);
        remove(id);
    }
    return !due.empty();
}

void EndpointSet::remove(const std::string& id) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end()) return;
    DiscoveredEndpoint out = std::move(at->second.listed);
    out.entry.state = EndpointState::kRemoved;
    endpoints_.erase(at);
    removed_[id] = std::move(out);
    urgent_.push_back(id);
}

std::vector<DiscoveredEndpoint> EndpointSet::next(std::size_t most) {
    std::vector<DiscoveredEndpoint> slice;
    const auto hand_over = [&](std::deque<std::string>& from) {
        while (!from.empty() && slice.size() < most) {
            const std::string id = std::move(from.front());
            from.pop_front();
            if (const auto out = removed_.find(id); out != removed_.end()) {
                slice.push_back(std::move(out->second));
                removed_.erase(out);
                continue;
            }
            const auto at = endpoints_.find(id);
            if (at == endpoints_.end() || !std::exchange(at->second.queued, false)) continue;
            slice.push_back(at->second.listed);
        }
    };
    hand_over(urgent_);
    hand_over(queue_);
    return slice;
}

std::vector<DiscoveredEndpoint> EndpointSet::all() const {
    std::vector<DiscoveredEndpoint> all;
    for (const auto& [id, endpoint] : endpoints_) all.push_back(endpoint.listed);
    std::sort(all.begin(), all.end(), [](const DiscoveredEndpoint& a, const DiscoveredEndpoint& b) {
        return a.entry.id < b.entry.id;
    });
    return all;
}

}  // namespace linnetlead::discovery
