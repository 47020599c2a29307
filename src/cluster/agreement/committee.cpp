#include "cluster/agreement/committee.h"

#include <algorithm>
#include <functional>

namespace linnetlead::agreement {

Committee::Committee(int gateways, Duration lease, Duration max_clock_skew)
    : lease_(lease), max_clock_skew_(max_clock_skew) {
    const int size = std::min(gateways, kMaxMembers);
    for (int seat = 0; seat < size; ++seat) members_.push_back(seat * gateways / size);
    statements_.resize(members_.size());
}

std::optional<int> Committee::seat_of(int gateway) const {
    const auto at = std::find(members_.begin(), members_.end(), gateway);
    if (at == members_.end()) return std::nullopt;
    return static_cast<int>(at - members_.begin());
}

bool Committee::record_statement(Timestamp now, int seat, const LeaseStatement& statement) {
    if (seat < 0 || seat >= size() || statement.at > now + max_clock_skew_) return false;
    LeaseStatement& last = statements_[static_cast<std::size_t>(seat)];
    if (statement.at <= last.at) return false;
    last = statement;
    return true;
}

bool Committee::supports(Timestamp now, const LeaseStatement& statement, const ConfigFingerprint& own) const {
    const bool is_valid = statement.at > valid_after_ && statement.at + lease_ > now;
    return is_valid &&
           (statement.fingerprint.planned == own.planned || statement.fingerprint.active == own.active);
}

std::optional<Timestamp> Committee::lease_end(Timestamp now, const ConfigFingerprint& own) const {
    std::vector<Timestamp> lease_ends;
    for (const LeaseStatement& statement : statements_) {
        if (supports(now, statement, own)) lease_ends.push_back(statement.at + lease_);
    }
    const auto needed = static_cast<std::size_t>(majority());
    if (lease_ends.size() < needed) return std::nullopt;
    std::sort(lease_ends.begin(), lease_ends.end(), std::greater<>());
    return lease_ends[needed - 1];
}

}  // namespace linnetlead::agreement
