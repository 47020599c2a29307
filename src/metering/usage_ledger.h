// Usage of each account by plan and period: counted when a request's first attempt is forwarded, corrected by
// its first successful response. In memory and without I/O; the usage service takes the changes out in
// batches and writes them to disk. Only corrections can lower a sum. All values are of this gateway alone:
// the group's usage is the sum over its gateways.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "metering/prepaid_balance.h"

namespace linnetlead::metering {

// Thousandths of a unit, so that sums are exact.
using Milliunits = std::int64_t;
Milliunits milliunits(double units);
constexpr double units_of(Milliunits amount) { return static_cast<double>(amount) / 1000; }

// Usage charged to a prepaid balance has rows of its own. Their stored name is the plan's name, a separator
// and the balance's id. The separators are part of the stored format.
constexpr char kBalanceSeparator = '\x1f';
constexpr char kLentSeparator = '\x1e';

struct RowName {
    std::string plan;
    std::string balance;  // empty: the plan's own row
    bool lent = false;    // the balance is another tenant's
};
RowName decode_row_name(const std::string& stored);
std::string encode_row_name(const RowName& name);

struct UsageKey {
    AccountId account = 0;
    std::int32_t name = 0;    // position in UsageLedger::names()
    std::int64_t period = 0;  // periods since 1970
    bool operator==(const UsageKey& other) const {
        return account == other.account && name == other.name && period == other.period;
    }
};

struct Usage {
    std::int64_t requests = 0;  // forwarded
    Milliunits estimated = 0;   // as declared when first forwarded
    Milliunits corrected = 0;   // what true counts have added or taken off

    Usage& operator+=(const Usage& other) {
        requests += other.requests;
        estimated += other.estimated;
        corrected += other.corrected;
        return *this;
    }
    bool operator==(const Usage& other) const {
        return requests == other.requests && estimated == other.estimated && corrected == other.corrected;
    }
};

class UsageLedger {
public:
    // Stands for all further accounts once there are max_rows rows, and for requests without an account.
    static constexpr AccountId kNoAccount = ~AccountId{0};

    struct Limits {
        std::size_t max_rows = 200'000;  // not yet taken out; bounds memory while the disk fails
    };
    // `period`: the length of the periods by which usage is summed.
    UsageLedger(Duration period, Limits limits) : period_(period), limits_(limits) {}

    // The position of a row name, which is added if it is new. Positions never change.
    std::int32_t name_index(const std::string& name);
    const std::vector<std::string>& names() const { return names_; }

    // Counts a request that was first forwarded with `units` estimated units. Returns the key for correct().
    UsageKey count(Timestamp now, AccountId account, std::int32_t name, double units);
    // Corrects a request, once, to its true units: `difference` more than estimated. The correction counts
    // in the period of the request.
    void correct(const UsageKey& key, double difference);

    // Takes out all changes since the last time.
    using Changes = std::vector<std::pair<UsageKey, Usage>>;
    Changes take_changes();
    // Puts back changes that could not be written; take_changes() returns them again.
    void restore(const Changes& changes);

    std::size_t rows() const { return rows_.size(); }
    const Usage& total() const { return total_; }             // since the start
    std::uint64_t overflowed() const { return overflowed_; }  // rows summed up under kNoAccount
    Duration period() const { return period_; }

private:
    struct Hash {
        std::size_t operator()(const UsageKey& key) const {
            std::uint64_t x = key.account * 0x9e3779b97f4a7c15ULL ^
                              static_cast<std::uint64_t>(key.name) << 40 ^
                              static_cast<std::uint64_t>(key.period);
            return (x ^ x >> 31) * 0xbf58476d1ce4e5b9ULL >> 7;
        }
    };
    // May change the key's account to kNoAccount.
    Usage& row(UsageKey& key);

    Duration period_;
    Limits limits_;
    std::vector<std::string> names_;
    std::unordered_map<UsageKey, Usage, Hash> rows_;
    Usage total_;
    std::uint64_t overflowed_ = 0;
};

}  // namespace linnetlead::metering
