#include "cluster/distribution/activation.h"

#include <algorithm>

namespace linnetlead::distribution {

using namespace std::chrono_literals;

void ActivationPolicy::start_term(Timestamp) {
    first_seen_.clear();
    proposed_withdrawals_.clear();
    proposed_through_ = 0;
    last_activation_time_ = last_proposed_at_ = Timestamp{};
}

std::vector<Record> ActivationPolicy::decide(Timestamp now, const History& history,
                                             const AcknowledgementCounts& counts, bool has_all_counts) {
    std::vector<Record> decided;
    first_seen_.erase(first_seen_.begin(), first_seen_.upper_bound(history.scheduled_through()));
    proposed_withdrawals_.erase(proposed_withdrawals_.begin(),
                                proposed_withdrawals_.upper_bound(history.scheduled_through()));
    const std::uint32_t gateways = counts.gateways();
    LogIndex through = 0;
    bool is_blocked = false;
    history.for_each_pending(true, [&](const Record& change) {
        const LogIndex index = change.index;
        const Timestamp seen_at = first_seen_.emplace(index, now).first->second;
        if (is_blocked || index <= proposed_through_ || proposed_withdrawals_.count(index) != 0) return;
        const bool timed_out = now - seen_at >= settings_.acknowledgement_timeout;
        const bool is_replicated = has_all_counts && counts.replicated_through(index) >= gateways;
        const UnsupportedCount unsupported = counts.unsupported(index);
        if ((has_all_counts || timed_out) &&
            unsupported.gateways > settings_.max_unsupported_share * gateways) {
            Record withdrawal;
            withdrawal.kind = RecordKind::kWithdraw;
            withdrawal.through_index = index;
            withdrawal.reason = std::to_string(unsupported.gateways) + " of " + std::to_string(gateways) +
                                " gateways cannot take it, among them";
            for (const std::string& name : unsupported.gateway_names) withdrawal.reason += ' ' + name;
            proposed_withdrawals_.insert(index);
            decided.push_back(std::move(withdrawal));
            return;
        }
        if (is_replicated || (timed_out && !settings_.wait_for_all)) {
            through = index;
        } else {
            is_blocked = true;
        }
    });
    if (through == 0 || now - last_proposed_at_ < kMinInterval) return decided;
    Record activation;
    activation.kind = RecordKind::kActivate;
    activation.through_index = through;
    activation.activation_time =
        std::max({now + std::max(settings_.lead, settings_.max_clock_skew), last_activation_time_ + 1ms,
                  history.newest_activation_time() + 1ms});
    proposed_through_ = through;
    last_activation_time_ = activation.activation_time;
    last_proposed_at_ = now;
    decided.push_back(std::move(activation));
    return decided;
}

void ActivationPolicy::on_not_proposed(const Record& record) {
    if (record.kind == RecordKind::kWithdraw) proposed_withdrawals_.erase(record.through_index);
    if (record.kind == RecordKind::kActivate && record.through_index == proposed_through_)
        proposed_through_ = 0;
}

}  // namespace linnetlead::distribution
