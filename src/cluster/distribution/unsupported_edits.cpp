#include "cluster/distribution/unsupported_edits.h"

#include <algorithm>

namespace linnetlead::distribution {

namespace {

constexpr std::size_t kMaxCounts = 64;        // changes in an acknowledgement
constexpr std::size_t kEditsPerCheck = 4096;  // batch size when a whole state is checked

}  // namespace

void UnsupportedEdits::on_pending(const Record& change) {
    if (!check_) return;
    auto positions = check_(change.change);
    std::sort(positions.begin(), positions.end());
    if (!positions.empty()) pending_edits_[change.index] = std::move(positions);
}

void UnsupportedEdits::on_active(const Record& change) {
    const auto found = pending_edits_.find(change.index);
    for (std::size_t i = 0; i < change.change.edits.size(); ++i) {
        const std::string& key = change.change.edits[i].key;
        const bool is_unsupported = found != pending_edits_.end() &&
                                    std::binary_search(found->second.begin(), found->second.end(), i);
        if (is_unsupported) {
            unsupported_keys_.insert(key);
        } else {
            unsupported_keys_.erase(key);
        }
    }
}

void UnsupportedEdits::drop_applied(LogIndex applied_index) {
    pending_edits_.erase(pending_edits_.begin(), pending_edits_.upper_bound(applied_index));
}

void UnsupportedEdits::drop_beyond(LogIndex last_index) {
    pending_edits_.erase(pending_edits_.upper_bound(last_index), pending_edits_.end());
}

void UnsupportedEdits::clear() {
    unsupported_keys_.clear();
    pending_edits_.clear();
}

void UnsupportedEdits::recheck(const ResourceStore& store) {
    unsupported_keys_.clear();
    if (!check_) return;
    Change change;
    const auto check_batch = [&] {
        if (change.edits.empty()) return;
        for (const std::size_t position : check_(change))
            unsupported_keys_.insert(change.edits.at(position).key);
        change.edits.clear();
    };
    store.for_each({}, [&](std::string_view key, std::string_view value) {
        change.edits.push_back({std::string(key), std::string(value)});
        if (change.edits.size() == kEditsPerCheck) check_batch();
    });
    check_batch();
}

void UnsupportedEdits::recheck(std::vector<SnapshotChunk::Entry> entries, std::vector<std::string>& keys) {
    Change change;
    for (auto& entry : entries) {
        unsupported_keys_.erase(entry.key);
        keys.push_back(entry.key);
        change.edits.push_back({std::move(entry.key), std::move(entry.value)});
    }
    if (!check_ || change.edits.empty()) return;
    for (const std::size_t position : check_(change)) unsupported_keys_.insert(change.edits.at(position).key);
}

std::vector<UnsupportedCount> UnsupportedEdits::counts(const History& history,
                                                       const std::string& gateway) const {
    std::vector<UnsupportedCount> counts;
    for (auto each = pending_edits_.rbegin(); each != pending_edits_.rend() && counts.size() < kMaxCounts;
         ++each) {
        if (each->first > history.scheduled_through() && !history.is_withdrawn(each->first))
            counts.push_back({each->first, 1, {gateway}});
    }
    return counts;
}

}  // namespace linnetlead::distribution
