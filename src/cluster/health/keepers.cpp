#include "cluster/health/keepers.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "cluster/agreement/hash.h"

namespace linnetlead::health {

std::uint64_t hash_with(std::uint32_t endpoint_hash, std::uint64_t number) {
    return agreement::hash_of({reinterpret_cast<const char*>(&endpoint_hash), sizeof(endpoint_hash)}, number);
}

std::vector<int> choose_keepers(std::uint32_t endpoint_hash, const std::vector<int>& present, int count) {
    std::vector<std::pair<std::uint64_t, int>> ranked;
    ranked.reserve(present.size());
    for (const int gateway : present) {
        ranked.emplace_back(hash_with(endpoint_hash, static_cast<std::uint64_t>(gateway)), gateway);
    }
    const auto chosen = std::min(ranked.size(), static_cast<std::size_t>(count));
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen), ranked.end(),
                      std::greater<>());
    std::vector<int> keepers;
    for (std::size_t i = 0; i < chosen; ++i) keepers.push_back(ranked[i].second);
    return keepers;
}

}  // namespace linnetlead::health
