// Acknowledgement counts that voting relays report to the leader, each for its downstream gateways. Relay
// uses one object for both sides: the reports received while it leads, and the timing of its own reports
// otherwise. No I/O and no clock.
#pragma once

#include <map>

#include "cluster/distribution/acknowledgement_counts.h"

namespace linnetlead::distribution {

class VoterReports {
public:
    // Leader side. `led_term` is the term in which this relay led when the report arrived, or 0.
    void on_report(Timestamp now, int relay, std::uint64_t led_term, const Ack& ack);
    // `own` plus the recent report of each voter.
    AcknowledgementCounts combined(Timestamp now, const AcknowledgementCounts& own) const;
    std::size_t voters_reported_in(std::uint64_t led_term) const;

    // Reporting side: whether to send `ack` to the leader now. may_be_due() is the cheaper check beforehand.
    bool is_due(Timestamp now, std::pair<int, std::uint64_t> leader_and_term, const std::string& ack,
                Duration max_interval) const;
    bool may_be_due(Timestamp now, std::pair<int, std::uint64_t> leader_and_term, Duration interval) const;
    void on_sent(Timestamp now, std::pair<int, std::uint64_t> leader_and_term, std::string ack);
    void on_no_leader() { sent_to_.reset(); }

private:
    struct Report {
        Timestamp received{};
        std::uint64_t led_term = 0;
        Ack ack;
    };
    std::map<std::uint64_t, Report> reports_;  // by the voter's relay number
    std::optional<std::pair<int, std::uint64_t>> sent_to_;
    std::string sent_report_;
    Timestamp sent_at_{};
};

}  // namespace linnetlead::distribution
