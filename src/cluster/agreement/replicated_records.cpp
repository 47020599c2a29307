#include "cluster/agreement/replicated_records.h"

#include <utility>

namespace linnetlead::agreement {

namespace {

// Covers the key and the whole stamp, so that sets that differ in either have different hashes.
std::uint64_t record_hash(const Record& record) {
    const Stamp stamp = record.stamp();
    return hash_of(record.key, stamp.number * 2 + (stamp.deleted ? 1 : 0)) ^
           hash_of(record.key, (std::uint64_t{stamp.tie_break} << 32) | 1);
}

bool has_expired(const Record& record, Timestamp now) {
    return record.expires_at > Timestamp{0} && record.expires_at <= now;
}

}  // namespace

Stamp Record::stamp() const {
    const auto seed = static_cast<std::uint64_t>(origin) ^ static_cast<std::uint64_t>(expires_at.count());
    return {number, deleted, short_hash(hash_of(value, seed))};
}

void ReplicatedRecords::toggle_in_hashes(const Record& record) {
    const std::uint64_t hash = record_hash(record);
    hash_ ^= hash;
    bucket_hashes_[bucket_of(short_hash(hash_of(record.key)))] ^= short_hash(hash);
}

ReplicatedRecords::MergeResult ReplicatedRecords::merge(Timestamp now, Record record) {
    if (record.key.empty() || record.key.size() > kMaxKeyBytes || record.value.size() > kMaxValueBytes ||
        has_expired(record, now)) {
        return MergeResult::kRejected;
    }
    const auto at = records_.find(record.key);
    const std::size_t size = record.key.size() + record.value.size();
    if (at != records_.end()) {
        if (!(at->second.stamp() < record.stamp())) return MergeResult::kNotNewer;
        const std::size_t before = at->second.key.size() + at->second.value.size();
        if (bytes_ - before + size > limits_.bytes) {
            ++rejected_;
            return MergeResult::kRejected;
        }
        toggle_in_hashes(at->second);
        bytes_ += size - before;
        at->second = std::move(record);
        toggle_in_hashes(at->second);
        return MergeResult::kApplied;
    }
    if (records_.size() >= limits_.records || bytes_ + size > limits_.bytes) {
        ++rejected_;
        return MergeResult::kRejected;
    }
    bytes_ += size;
    toggle_in_hashes(record);
    std::string key = record.key;
    records_.emplace(std::move(key), std::move(record));
    return MergeResult::kApplied;
}

const Record* ReplicatedRecords::find(const std::string& key) const {
    const auto at = records_.find(key);
    return at == records_.end() ? nullptr : &at->second;
}

const Record* ReplicatedRecords::find_by_short_hash(std::uint32_t key_hash) const {
    for (const auto& [name, record] : records_) {
        if (short_hash(hash_of(name)) == key_hash) return &record;
    }
    return nullptr;
}

bool ReplicatedRecords::remove_expired(Timestamp now) {
    bool removed = false;
    for (auto at = records_.begin(); at != records_.end();) {
        const auto next = std::next(at);
        if (has_expired(at->second, now)) {
            erase(std::string(at->first));
            removed = true;
        }
        at = next;
    }
    return removed;
}

void ReplicatedRecords::erase(const std::string& key) {
    const auto at = records_.find(key);
    if (at == records_.end()) return;
    toggle_in_hashes(at->second);
    bytes_ -= at->second.key.size() + at->second.value.size();
    records_.erase(at);
}

void ReplicatedRecords::clear() {
    records_.clear();
    hash_ = 0;
    bucket_hashes_ = {};
    bytes_ = 0;
}

void ReplicatedRecords::for_each(const std::function<void(const Record&)>& visit) const {
    for (const auto& [key, record] : records_) visit(record);
}

void ReplicatedRecords::for_each_with_prefix(const std::string& prefix,
                                             const std::function<void(const Record&)>& visit) const {
    for (auto at = records_.lower_bound(prefix);
         at != records_.end() && at->first.compare(0, prefix.size(), prefix) == 0; ++at) {
        visit(at->second);
    }
}

std::vector<const Record*> ReplicatedRecords::records_in_bucket(std::size_t bucket) const {
    std::vector<const Record*> found;
    for (const auto& [key, record] : records_) {
        if (bucket_of(short_hash(hash_of(key))) == bucket) found.push_back(&record);
    }
    return found;
}

}  // namespace linnetlead::agreement
