#include "cluster/distribution/voter_reports.h"

#include <algorithm>
#include <utility>

namespace linnetlead::distribution {

using namespace std::chrono_literals;

namespace {

constexpr Duration kReportLifetime = 6s;  // an older report is ignored

}  // namespace

void VoterReports::on_report(Timestamp now, int relay, std::uint64_t led_term, const Ack& ack) {
    reports_[static_cast<std::uint64_t>(relay)] = {now, led_term, ack};
}

AcknowledgementCounts VoterReports::combined(Timestamp now, const AcknowledgementCounts& own) const {
    AcknowledgementCounts counts = own;
    for (const auto& [voter, report] : reports_) {
        // Source numbers count down from the maximum, so that they differ from session numbers.
        if (now - report.received <= kReportLifetime) counts.update(~std::uint64_t{0} - voter, report.ack);
    }
    return counts;
}

std::size_t VoterReports::voters_reported_in(std::uint64_t led_term) const {
    return static_cast<std::size_t>(
        std::count_if(reports_.begin(), reports_.end(),
                      [led_term](const auto& report) { return report.second.led_term == led_term; }));
}

bool VoterReports::may_be_due(Timestamp now, std::pair<int, std::uint64_t> leader_and_term,
                              Duration interval) const {
    return sent_to_ != leader_and_term || now - sent_at_ >= interval;
}

bool VoterReports::is_due(Timestamp now, std::pair<int, std::uint64_t> leader_and_term,
                          const std::string& ack, Duration max_interval) const {
    return sent_to_ != leader_and_term || ack != sent_report_ || now - sent_at_ >= max_interval;
}

void VoterReports::on_sent(Timestamp now, std::pair<int, std::uint64_t> leader_and_term, std::string ack) {
    sent_to_ = leader_and_term;
    sent_at_ = now;
    sent_report_ = std::move(ack);
}

}  // namespace linnetlead::distribution
