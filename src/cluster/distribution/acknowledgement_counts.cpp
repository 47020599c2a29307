#include "cluster/distribution/acknowledgement_counts.h"

#include <algorithm>

namespace linnetlead::distribution {

void AcknowledgementCounts::update(std::uint64_t source, const Ack& ack) {
    sources_[source] = ack;
    total_.reset();
}

void AcknowledgementCounts::remove(std::uint64_t source) {
    if (sources_.erase(source) != 0) total_.reset();
}

void AcknowledgementCounts::clear() {
    sources_.clear();
    total_.reset();
}

const AcknowledgementCounts::Total& AcknowledgementCounts::total() const {
    if (total_) return *total_;
    total_ = Total();
    Total& total = *total_;
    for (const auto& [source, ack] : sources_) {
        total.gateways += ack.gateways;
        total.fenced += ack.fenced;
        if (ack.replicated.empty() && ack.gateways > 0) total.replicated[ack.last_index] += ack.gateways;
        for (const ReplicationCount& each : ack.replicated)
            total.replicated[each.through_index] += each.gateways;
        for (const UnsupportedCount& each : ack.unsupported) {
            UnsupportedCount& sum = total.unsupported[each.change];
            sum.change = each.change;
            sum.gateways += each.gateways;
            for (const std::string& name : each.gateway_names) {
                if (sum.gateway_names.size() < kMaxReportedNames) sum.gateway_names.push_back(name);
            }
        }
    }
    return total;
}

std::uint32_t AcknowledgementCounts::replicated_through(LogIndex index) const {
    std::uint32_t sum = 0;
    const auto& all = total().replicated;
    for (auto each = all.lower_bound(index); each != all.end(); ++each) sum += each->second;
    return sum;
}

UnsupportedCount AcknowledgementCounts::unsupported(LogIndex change) const {
    const auto found = total().unsupported.find(change);
    return found == total().unsupported.end() ? UnsupportedCount{change, 0, {}} : found->second;
}

Ack AcknowledgementCounts::aggregate(LogIndex last_index, LogIndex scheduled_through) const {
    const Total& all = total();
    Ack ack;
    ack.last_index = last_index;
    ack.gateways = all.gateways;
    ack.fenced = all.fenced;
    for (auto each = all.replicated.rbegin(); each != all.replicated.rend(); ++each) {
        // A gateway that is ahead of its relay is reported at the relay's last record.
        const LogIndex index = std::min(each->first, last_index);
        if (!ack.replicated.empty() && ack.replicated.back().through_index == index) {
            ack.replicated.back().gateways += each->second;
        } else if (ack.replicated.size() < kMaxReplicationCounts) {
            ack.replicated.push_back({index, each->second});
        } else {
            ack.replicated.back().through_index = index;
            ack.replicated.back().gateways += each->second;
        }
    }
    // An empty list means that all gateways hold every record of the relay.
    if (ack.replicated.size() == 1 && ack.replicated[0].through_index == last_index) ack.replicated.clear();
    for (auto each = all.unsupported.upper_bound(scheduled_through);
         each != all.unsupported.end() && each->first <= last_index &&
         ack.unsupported.size() < kMaxUnsupportedCounts;
         ++each)
        ack.unsupported.push_back(each->second);
    return ack;
}

}  // namespace linnetlead::distribution
