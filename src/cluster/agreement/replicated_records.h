// A store of records that converges on all gateways of a group. A record has a key, a version stamp, and a
// value or a tombstone. Of two records with one key, the one with the higher stamp wins; the order does not
// depend on clocks. Merging is idempotent and commutative, so lost, repeated, reordered and old datagrams do
// not change the final state. Filled by AntiEntropy, ConfigAgreement and TopicAgreement. No I/O and no clock.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/agreement/hash.h"
#include "linnetlead/policy.h"

namespace linnetlead::agreement {

using policy::Duration;
using policy::Timestamp;

// Orders two records with one key: by number, then a tombstone above a value, then by a hash of origin,
// expiry and value, which makes the order total.
struct Stamp {
    std::uint64_t number = 0;
    bool deleted = false;
    std::uint32_t tie_break = 0;

    friend bool operator<(const Stamp& a, const Stamp& b) {
        if (a.number != b.number) return a.number < b.number;
        if (a.deleted != b.deleted) return b.deleted;
        return a.tie_break < b.tie_break;
    }
    friend bool operator==(const Stamp& a, const Stamp& b) { return !(a < b) && !(b < a); }
};

struct Record {
    std::string key;
    std::uint64_t number = 0;  // increases with each change of the record
    int origin = 0;            // the gateway that wrote it
    bool deleted = false;      // a tombstone
    Timestamp expires_at{};    // Unix time from which no gateway keeps it; 0: never
    std::string value;

    Stamp stamp() const;
};

constexpr std::size_t kMaxKeyBytes = 48;
constexpr std::size_t kMaxValueBytes = 32 * 1024;

class ReplicatedRecords {
public:
    struct Limits {
        std::size_t records = 2048;
        std::size_t bytes = 2 * 1024 * 1024;  // of keys and values
    };
    explicit ReplicatedRecords(Limits limits) : limits_(limits) {}
    ReplicatedRecords() : ReplicatedRecords(Limits{}) {}

    enum class MergeResult {
        kApplied,   // stored
        kNotNewer,  // the record held here has the same or a higher stamp
        kRejected,  // invalid key, expired, too large, or over the limits
    };
    MergeResult merge(Timestamp now, Record record);
    // Null if there is none. Pointers stay valid until the record is replaced or erased.
    const Record* find(const std::string& key) const;
    // Finds a record by the short hash of its key; if two keys collide, the first in key order.
    const Record* find_by_short_hash(std::uint32_t key_hash) const;
    // Erases expired records; true if there were any.
    bool remove_expired(Timestamp now);
    void erase(const std::string& key);
    void clear();
    // In key order.
    void for_each(const std::function<void(const Record&)>& visit) const;
    void for_each_with_prefix(const std::string& prefix,
                              const std::function<void(const Record&)>& visit) const;

    // Equal sets of records have equal hashes, regardless of the order of merging.
    std::uint64_t hash() const { return hash_; }
    static constexpr std::size_t kBuckets = 16;
    const std::array<std::uint32_t, kBuckets>& bucket_hashes() const { return bucket_hashes_; }
    static std::size_t bucket_of(std::uint32_t key_hash) { return key_hash % kBuckets; }
    std::vector<const Record*> records_in_bucket(std::size_t bucket) const;

    std::size_t size() const { return records_.size(); }
    std::size_t bytes() const { return bytes_; }
    std::uint64_t rejected() const { return rejected_; }  // records rejected because of the limits

private:
    // Adds a record to the hashes or removes it: both are the same operation, since the hashes are XORs.
    void toggle_in_hashes(const Record& record);

    Limits limits_;
    std::map<std::string, Record> records_;
    std::uint64_t hash_ = 0;
    std::array<std::uint32_t, kBuckets> bucket_hashes_{};
    std::size_t bytes_ = 0;
    std::uint64_t rejected_ = 0;
};

}  // namespace linnetlead::agreement
