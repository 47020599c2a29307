#include "discovery/list_update_slicer.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace linnetlead::net {

using policy::EndpointListKind;
using policy::EndpointState;
using proxy::DiscoveredEndpoint;

namespace {

// If an id occurs twice, the later entry applies, so entries must not be reordered.
bool has_unique_ids(const std::vector<DiscoveredEndpoint>& entries) {
    std::unordered_set<std::string_view> ids;
    return std::all_of(entries.begin(), entries.end(),
                       [&](const DiscoveredEndpoint& one) { return ids.insert(one.entry.id).second; });
}

}  // namespace

void ListUpdateSlicer::pass_complete_list(const std::vector<DiscoveredEndpoint>& entries) {
    pass_slice(entries_.size());
    lists_.listed(EndpointListKind::kComplete, entries);
}

void ListUpdateSlicer::pass_changes(std::vector<DiscoveredEndpoint> entries) {
    pass_slice(entries_.size());
    if (entries.size() > kMinSliceSize && has_unique_ids(entries)) {
        std::stable_partition(entries.begin(), entries.end(), [](const DiscoveredEndpoint& one) {
            return one.entry.state != EndpointState::kInService;
        });
    }
    entries_ = std::move(entries);
    slice_size_ = std::max(kMinSliceSize, (entries_.size() + kMaxSlices - 1) / kMaxSlices);
    pass_next_slice();
}

void ListUpdateSlicer::discard() {
    loop_.disarm(std::exchange(timer_, {}));
    entries_ = {};
    passed_count_ = 0;
}

// Passes the next entries on, at most `most`; frees the memory after the last one.
void ListUpdateSlicer::pass_slice(std::size_t most) {
    if (!pending()) return;
    const auto begin = entries_.begin() + static_cast<std::ptrdiff_t>(passed_count_);
    const std::size_t size = std::min(most, entries_.size() - passed_count_);
    const std::vector<DiscoveredEndpoint> slice(
        std::make_move_iterator(begin), std::make_move_iterator(begin + static_cast<std::ptrdiff_t>(size)));
    passed_count_ += size;
    if (!pending()) discard();
    lists_.listed(EndpointListKind::kChanges, slice);
}

void ListUpdateSlicer::pass_next_slice() {
    pass_slice(slice_size_);
    if (pending()) timer_ = loop_.arm(loop_.now() + kSliceInterval, [this] { pass_next_slice(); });
}

}  // namespace linnetlead::net
