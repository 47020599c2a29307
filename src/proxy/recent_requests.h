// Client ids of requests that may have run and must not run again, for a while after they have ended: a
// client that has left without its answer may send its request once more under the same id. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::proxy {

class RecentRequests {
public:
    static constexpr policy::Duration kLifetime = std::chrono::seconds(30);
    static constexpr std::size_t kMaxIds = 16 * 1024;  // beyond it the oldest are forgotten

    void add(std::uint64_t client_id, policy::Timestamp now);
    bool contains(std::uint64_t client_id, policy::Timestamp now);
    // The newest ones, at most so many.
    std::vector<std::uint64_t> newest(std::size_t max_ids, policy::Timestamp now);
    std::size_t size() const { return ids_.size(); }

private:
    struct Entry {
        std::uint64_t client_id = 0;
        policy::Timestamp added_at{};
    };
    void forget_expired(policy::Timestamp now);

    std::deque<Entry> by_age_;  // oldest first
    std::unordered_set<std::uint64_t> ids_;
};

}  // namespace linnetlead::proxy
