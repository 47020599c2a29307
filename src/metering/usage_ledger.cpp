#include "metering/usage_ledger.h"

#include <algorithm>
#include <cmath>

namespace linnetlead::metering {

Milliunits milliunits(double units) { return std::llround(units * 1000); }

RowName decode_row_name(const std::string& stored) {
    const auto at = stored.find_last_of("\x1e\x1f");
    if (at == std::string::npos) return {stored, {}, false};
    return {stored.substr(0, at), stored.substr(at + 1), stored[at] == kLentSeparator};
}

std::string encode_row_name(const RowName& name) {
    if (name.balance.empty()) return name.plan;
    return name.plan + (name.lent ? kLentSeparator : kBalanceSeparator) + name.balance;
}

std::int32_t UsageLedger::name_index(const std::string& name) {
    const auto at = std::find(names_.begin(), names_.end(), name);
    if (at != names_.end()) return static_cast<std::int32_t>(at - names_.begin());
    names_.push_back(name);
    return static_cast<std::int32_t>(names_.size() - 1);
}

Usage& UsageLedger::row(UsageKey& key) {
    const auto at = rows_.find(key);
    if (at != rows_.end()) return at->second;
    if (rows_.size() >= limits_.max_rows && key.account != kNoAccount) {
        ++overflowed_;
        key.account = kNoAccount;
    }
    return rows_[key];
}

UsageKey UsageLedger::count(Timestamp now, AccountId account, std::int32_t name, double units) {
    UsageKey key{account, name, now / period_};
    const Usage one{1, milliunits(units), 0};
    row(key) += one;
    total_ += one;
    return key;
}

void UsageLedger::correct(const UsageKey& key, double difference) {
    UsageKey into = key;
    const Usage one{0, 0, milliunits(difference)};
    row(into) += one;
    total_ += one;
}

UsageLedger::Changes UsageLedger::take_changes() {
    Changes changes(rows_.begin(), rows_.end());
    rows_.clear();
    return changes;
}

void UsageLedger::restore(const Changes& changes) {
    for (const auto& [key, usage] : changes) {
        UsageKey into = key;
        row(into) += usage;
    }
}

}  // namespace linnetlead::metering
