#include "cluster/distribution/acknowledgement_check.h"

namespace linnetlead::distribution {

namespace {

constexpr std::uint32_t kMaxGateways = 1000000;  // downstream of one relay

std::string append_number(const char* text, std::uint64_t number) { return text + std::to_string(number); }

std::string find_false_index(const Ack& ack, LogIndex max_acknowledgeable, const History& history) {
    if (ack.last_index > max_acknowledgeable)
        return append_number("acknowledges a record that it was not sent: ", ack.last_index);
    if (ack.activation_index > ack.last_index)
        return append_number("reports an active activation record beyond its last record: ",
                             ack.activation_index);
    const Record* record = history.at(ack.activation_index);
    if (record && record->kind != RecordKind::kActivate)
        return append_number("this record is not an activation: ", ack.activation_index);
    return {};
}

std::string find_false_count(const Ack& ack, Role role) {
    const std::uint32_t max_gateways = role == Role::kGateway ? 1 : kMaxGateways;
    if (ack.gateways > max_gateways || (role == Role::kGateway && ack.gateways != 1))
        return append_number("reports an impossible number of gateways: ", ack.gateways);
    if (ack.fenced > ack.gateways)
        return append_number("reports more fenced gateways than gateways: ", ack.fenced);
    std::uint64_t sum = 0;
    for (const ReplicationCount& count : ack.replicated) {
        sum += count.gateways;
        if (count.through_index > ack.last_index)
            return append_number("reports a downstream gateway ahead of its own last record: ",
                                 count.through_index);
    }
    if (sum > ack.gateways) return append_number("reports replication by more gateways than it has: ", sum);
    if (role == Role::kGateway && !ack.replicated.empty()) return "a gateway has no downstream gateways";
    return {};
}

std::string find_false_unsupported(const Ack& ack, const History& history) {
    for (const UnsupportedCount& count : ack.unsupported) {
        if (count.gateways > ack.gateways)
            return append_number("reports a change as unsupported by more gateways than it has: ",
                                 count.gateways);
        if (count.change > ack.last_index)
            return append_number("reports as unsupported a change that it does not hold: ", count.change);
        const Record* record = history.at(count.change);
        if (record && record->kind != RecordKind::kChange)
            return append_number("this record is not a change: ", count.change);
    }
    return {};
}

}  // namespace

std::string find_false_claim(const Ack& ack, Role role, LogIndex max_acknowledgeable,
                             const History& history) {
    std::string claim = find_false_index(ack, max_acknowledgeable, history);
    if (claim.empty()) claim = find_false_count(ack, role);
    return claim.empty() ? find_false_unsupported(ack, history) : claim;
}

}  // namespace linnetlead::distribution
