#include "cluster/health/report_outbox.h"

#include <algorithm>

namespace linnetlead::health {

void DatagramAllowance::refill(Timestamp now) {
    const double elapsed_s = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(per_s_, tokens_ + elapsed_s * per_s_);
    refilled_at_ = now;
}

void ReportOutbox::add(int keeper, const EndpointReport& report) {
    HealthReports& reports = unsent_[keeper];
    reports.reports.push_back(report);
    if (reports.reports.size() >= kReportsPerDatagram) send(keeper, reports);
}

bool ReportOutbox::has_room_for(std::size_t keepers) const {
    const auto unsent = static_cast<std::size_t>(std::count_if(
        unsent_.begin(), unsent_.end(), [](const auto& one) { return !one.second.reports.empty(); }));
    return allowance_.available() >= static_cast<double>(unsent + keepers);
}

void ReportOutbox::send(int keeper, HealthReports& reports) {
    reports.gateway_process = sender_.process;
    reports.outlier = sender_.outlier;
    reports.sent = now_;
    const std::string payload = encode_reports(reports);
    reports.reports.clear();
    allowance_.take();
    port_.send_report(keeper, payload);
}

void ReportOutbox::flush() {
    for (auto& [keeper, reports] : unsent_) {
        if (!reports.reports.empty()) send(keeper, reports);
    }
}

}  // namespace linnetlead::health
