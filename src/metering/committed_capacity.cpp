#include "metering/committed_capacity.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace linnetlead::metering {

std::optional<Overcommitment> find_overcommitment(double capacity, const std::vector<Commitment>& standing,
                                                  const std::vector<Commitment>& requested) {
    constexpr double kRelativeTolerance = 1e-9;  // of the capacity: sums of rates are not exact
    // The rate's changes by instant. Each requested window is checked against the standing commitments and
    // the requested ones before it.
    std::map<policy::Timestamp, double> rate_changes;
    const auto commit = [&rate_changes](const Commitment& one) {
        rate_changes[one.since] += one.rate;
        rate_changes[one.until] -= one.rate;
    };
    for (const Commitment& one : standing) commit(one);
    for (std::size_t i = 0; i < requested.size(); ++i) {
        commit(requested[i]);
        double rate = 0;
        for (auto change = rate_changes.begin(); change != rate_changes.end(); ++change) {
            if (change->first >= requested[i].until) break;
            rate += change->second;
            const auto next = std::next(change);
            const bool within = next == rate_changes.end() || next->first > requested[i].since;
            if (!within || rate <= capacity * (1 + kRelativeTolerance)) continue;
            return Overcommitment{i, std::max(change->first, requested[i].since), rate};
        }
    }
    return std::nullopt;
}

}  // namespace linnetlead::metering
