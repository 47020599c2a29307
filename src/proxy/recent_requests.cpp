#include "proxy/recent_requests.h"

#include <algorithm>

namespace linnetlead::proxy {

void RecentRequests::add(std::uint64_t client_id, policy::Timestamp now) {
    forget_expired(now);
    if (!ids_.insert(client_id).second) return;
    by_age_.push_back({client_id, now});
    if (by_age_.size() <= kMaxIds) return;
    ids_.erase(by_age_.front().client_id);
    by_age_.pop_front();
}

bool RecentRequests::contains(std::uint64_t client_id, policy::Timestamp now) {
    forget_expired(now);
    return ids_.count(client_id) > 0;
}

std::vector<std::uint64_t> RecentRequests::newest(std::size_t max_ids, policy::Timestamp now) {
    forget_expired(now);
    std::vector<std::uint64_t> found;
    const std::size_t count = std::min(max_ids, by_age_.size());
    for (std::size_t i = by_age_.size() - count; i < by_age_.size(); ++i)
        found.push_back(by_age_[i].client_id);
    return found;
}

void RecentRequests::forget_expired(policy::Timestamp now) {
    while (!by_age_.empty() && now - by_age_.front().added_at > kLifetime) {
        ids_.erase(by_age_.front().client_id);
        by_age_.pop_front();
    }
}

}  // namespace linnetlead::proxy
