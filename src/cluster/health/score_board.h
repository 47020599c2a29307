// A keeper's reports from the gateways on one endpoint, and the opinion that it forms from them. SharedHealth
// has one for each endpoint that its gateway keeps. Each gateway has one entry, so that repeated and late
// reports count once. What only a minority of the gateways observes does not make an endpoint bad, since
// their own links or hosts may be at fault. No I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cluster/health/health_evidence.h"

namespace linnetlead::health {

// The numbers are part of the opinion's record.
enum class Opinion { kGood, kDoubtful, kBad };
const char* to_string(Opinion opinion);

// One gateway's report on an endpoint.
struct Report {
    int gateway = 0;
    std::uint16_t gateway_process = 0;   // changes with each start of the gateway
    std::uint16_t endpoint_process = 0;  // a hash of the endpoint's start time
    DecayingStats stats;
    bool outlier = false;  // the gateway considers itself at fault, so its report is ignored
};

// Slowness is a multiple of the usual latency, failure rates are shares of attempts, confidences are in
// standard errors.
struct ScoreThresholds {
    double bad_slowness = 1.8;
    double good_slowness = 1.35;  // upper limit for an endpoint that recovers
    double bad_failure_rate = 0.2;
    double good_failure_rate = 0.08;
    double min_slowness_confidence = 4;
    double min_attempts = 2;  // recent attempts that a recovery takes; a bad endpoint gets only few
    // Share of the weight of all gateways that has to observe a slowness; the failure rate is averaged over
    // the lowest such share.
    double quorum = 0.6;
    double doubtful_confidence = 3;  // of slowness; a doubtful endpoint is reported with priority
    Duration min_doubtful = std::chrono::seconds(3);
    Duration min_bad = std::chrono::seconds(5);  // doubles with each relapse within flap_window
    Duration max_bad = std::chrono::minutes(1);
    Duration flap_window = std::chrono::seconds(30);
    Duration retry_unreported = std::chrono::seconds(10);  // retries a bad endpoint without reports
    double latency_noise = 0.7;                            // standard deviation of ln(latency)
    // Each disables a safeguard, so that a test can show the failure it prevents. Never set in a gateway.
    struct TestSeams {
        bool plain_mean = false;         // the mean of all reports, without quorum and weight limit
        bool entry_per_process = false;  // one entry for each process of a gateway, not for each gateway
    };
    TestSeams test_seams;
};

// The reports of all gateways combined.
struct Assessment {
    int gateways = 0;  // with recent attempts
    double attempts = 0;
    double slowness = 1;
    double failure_rate = 0;
    double slowness_confidence = 0;  // that it is slower than usual
    double failure_confidence = 0;   // that it fails more often than good_failure_rate
};

class ScoreBoard {
public:
    explicit ScoreBoard(const ScoreThresholds& thresholds) : thresholds_(thresholds) {}

    // Stores a gateway's report. One on another process of the endpoint discards all earlier reports.
    void add_report(Timestamp now, const Report& report);
    // Combines the recent reports. With fewer than `min_gateways` it sets only `gateways` and `attempts`.
    Assessment assess(Timestamp now, int min_gateways) const;
    // Updates the opinion; returns true if it has changed.
    bool update_opinion(Timestamp now, int min_gateways);

    Opinion opinion() const { return opinion_; }
    Timestamp opinion_since() const { return since_; }
    const Assessment& assessment() const { return assessment_; }
    std::size_t report_count() const { return reports_.size(); }

private:
    std::vector<DecayingStats> recent_stats(Timestamp now) const;
    bool shows_bad(const Assessment& seen) const;
    bool shows_doubtful(const Assessment& seen) const;
    bool shows_good(const Assessment& seen, int min_gateways) const;
    void update_good_or_doubtful(Timestamp now);
    void update_bad(Timestamp now, int min_gateways);
    void set_opinion(Timestamp now, Opinion opinion);

    ScoreThresholds thresholds_;
    std::map<int, Report> reports_;  // by gateway; decayed ones are removed
    std::uint16_t endpoint_process_ = 0;
    Opinion opinion_ = Opinion::kGood;
    Assessment assessment_;
    Timestamp since_{}, last_bad_at_{}, last_reported_at_{};
    Duration min_bad_time_{};  // of the current or last bad period
};

}  // namespace linnetlead::health
