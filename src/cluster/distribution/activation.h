// Decides when changes become active; the leading relay proposes the resulting records. A change that all
// gateways hold, or whose acknowledgement timeout has passed, is scheduled for activation together with all
// changes before it. A change that more than a configured share of gateways do not support is withdrawn. No
// I/O and no clock.
#pragma once

#include "cluster/distribution/acknowledgement_counts.h"
#include "cluster/distribution/history.h"

namespace linnetlead::distribution {

class ActivationPolicy {
public:
    struct Settings {
        Duration lead{}, max_clock_skew{}, acknowledgement_timeout{};
        bool wait_for_all = false;
        double max_unsupported_share = 0;
    };
    // Minimum time between two activation records, so that changes in quick succession share one.
    static constexpr Duration kMinInterval = std::chrono::milliseconds(100);

    explicit ActivationPolicy(const Settings& settings) : settings_(settings) {}
    // This relay starts to lead: changes without an activation record are decided anew.
    void start_term(Timestamp now);
    // Returns the records to propose now, in this order. `has_all_counts`: `counts` covers all gateways.
    std::vector<Record> decide(Timestamp now, const History& history, const AcknowledgementCounts& counts,
                               bool has_all_counts);
    // The log did not accept this record; decide() returns it again later.
    void on_not_proposed(const Record& record);

private:
    Settings settings_;
    std::map<LogIndex, Timestamp> first_seen_;  // changes without an activation record, by log index
    std::set<LogIndex> proposed_withdrawals_;   // withdrawals proposed in this term
    LogIndex proposed_through_ = 0;             // newest change in a proposed activation
    Timestamp last_activation_time_{}, last_proposed_at_{};
};

}  // namespace linnetlead::distribution
