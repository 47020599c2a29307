#include "cluster/health/score_board.h"

#include <algorithm>
#include <cmath>

namespace linnetlead::health {

namespace {

constexpr double kMinAttempts = 0.2;  // decayed; reports with fewer are ignored
constexpr double kMinFailureConfidence = 3;
constexpr double kDoubtfulSlowness = 1.3;
constexpr double kDoubtfulFailureConfidence = 1;
// The median is less efficient than the mean, by 2/pi for a normal distribution.
constexpr double kMedianEfficiency = 0.64;
constexpr double kMinFailureVariance = 0.04;
constexpr int kProcessEntryOffset = 10000;  // above any gateway's number

struct WeightedValue {
    double weight, value;
};

double total_weight(const std::vector<WeightedValue>& views) {
    double total = 0;
    for (const WeightedValue& view : views) total += view.weight;
    return total;
}

void sort_by_value(std::vector<WeightedValue>& views) {
    std::sort(views.begin(), views.end(),
              [](const WeightedValue& a, const WeightedValue& b) { return a.value < b.value; });
}

// The weighted mean of the lowest values that make up a `quorum` of all weight: the view of the gateways that
// observe the least fault.
double lowest_mean(std::vector<WeightedValue>& views, double quorum) {
    sort_by_value(views);
    const double total = total_weight(views);
    double sum = 0, taken = 0;
    for (const WeightedValue& view : views) {
        const double weight = std::min(view.weight, total * quorum - taken);
        if (weight <= 0) break;
        sum += weight * view.value;
        taken += weight;
    }
    return taken > 0 ? sum / taken : 0;
}

// The value that a `quorum` of all weight is at or above.
double quorum_value(std::vector<WeightedValue>& views, double quorum) {
    sort_by_value(views);
    const double total = total_weight(views);
    double taken = 0;
    for (const WeightedValue& view : views) {
        taken += view.weight;
        if (taken >= total * (1 - quorum)) return view.value;
    }
    return 0;
}

double median_attempts(const std::vector<DecayingStats>& seen) {
    std::vector<double> attempts;
    attempts.reserve(seen.size());
    for (const DecayingStats& one : seen) attempts.push_back(one.attempts);
    const auto middle = attempts.begin() + static_cast<std::ptrdiff_t>(attempts.size() / 2);
    std::nth_element(attempts.begin(), middle, attempts.end());
    return *middle;
}

}  // namespace

const char* to_string(Opinion opinion) {
    constexpr const char* kNames[] = {"well", "doubtful", "bad"};
    return kNames[static_cast<int>(opinion)];
}

void ScoreBoard::add_report(Timestamp now, const Report& report) {
    if (report.endpoint_process != endpoint_process_) {
        endpoint_process_ = report.endpoint_process;
        reports_.clear();
        if (opinion_ != Opinion::kGood) set_opinion(now, Opinion::kGood);
        min_bad_time_ = {};
    }
    const bool entry_per_process = thresholds_.test_seams.entry_per_process;
    Report& entry =
        reports_[entry_per_process ? report.gateway + kProcessEntryOffset * (1 + report.gateway_process)
                                   : report.gateway];
    const bool repeated_or_late =
        entry.gateway_process == report.gateway_process && entry.stats.at >= report.stats.at;
    if (repeated_or_late) return;
    entry = report;
    // A gateway whose clock runs ahead would otherwise keep its entry from decaying.
    entry.stats.at = std::min(entry.stats.at, now);
}

std::vector<DecayingStats> ScoreBoard::recent_stats(Timestamp now) const {
    std::vector<DecayingStats> recent;
    for (const auto& [gateway, report] : reports_) {
        const DecayingStats stats = report.stats.decayed_to(now);
        const bool counts = !report.outlier || thresholds_.test_seams.plain_mean;
        if (stats.attempts >= kMinAttempts && counts) recent.push_back(stats);
    }
    return recent;
}

Assessment ScoreBoard::assess(Timestamp now, int min_gateways) const {
    Assessment result;
    const std::vector<DecayingStats> seen = recent_stats(now);
    result.gateways = static_cast<int>(seen.size());
    for (const DecayingStats& one : seen) result.attempts += one.attempts;
    if (result.gateways < min_gateways || seen.empty()) return result;
    const bool plain_mean = thresholds_.test_seams.plain_mean;
    // No gateway weighs more than the median gateway, so that one that floods attempts or reports does not
    // dominate.
    const double max_weight = plain_mean ? 1e9 : median_attempts(seen);
    std::vector<WeightedValue> failures, slowness;
    double answered = 0, attempts = 0;
    for (const DecayingStats& one : seen) {
        const double part = std::min(1.0, max_weight / one.attempts);
        failures.push_back({one.attempts * part, one.failures / one.attempts});
        attempts += one.attempts * part;
        if (one.answered < kMinAttempts) continue;
        slowness.push_back({one.answered * part, one.log_slowness / one.answered});
        answered += one.answered * part;
    }
    result.failure_rate = lowest_mean(failures, plain_mean ? 1 : thresholds_.quorum);
    const double log_slowness =
        plain_mean ? lowest_mean(slowness, 1) : quorum_value(slowness, thresholds_.quorum);
    result.slowness = std::exp(log_slowness);
    result.slowness_confidence =
        log_slowness * std::sqrt(answered * kMedianEfficiency) / thresholds_.latency_noise;
    result.failure_confidence =
        (result.failure_rate - thresholds_.good_failure_rate) * std::sqrt(attempts * thresholds_.quorum) /
        std::sqrt(std::max(result.failure_rate * (1 - result.failure_rate), kMinFailureVariance));
    return result;
}

bool ScoreBoard::shows_bad(const Assessment& seen) const {
    const bool slow = seen.slowness >= thresholds_.bad_slowness &&
                      seen.slowness_confidence >= thresholds_.min_slowness_confidence;
    const bool failing =
        seen.failure_rate >= thresholds_.bad_failure_rate && seen.failure_confidence >= kMinFailureConfidence;
    return slow || failing;
}

bool ScoreBoard::shows_doubtful(const Assessment& seen) const {
    return (seen.slowness_confidence >= thresholds_.doubtful_confidence &&
            seen.slowness >= kDoubtfulSlowness) ||
           (seen.failure_rate >= thresholds_.good_failure_rate &&
            seen.failure_confidence >= kDoubtfulFailureConfidence);
}

bool ScoreBoard::shows_good(const Assessment& seen, int min_gateways) const {
    return seen.gateways >= min_gateways && seen.attempts >= thresholds_.min_attempts &&
           seen.slowness <= thresholds_.good_slowness && seen.failure_rate <= thresholds_.good_failure_rate;
}

void ScoreBoard::set_opinion(Timestamp now, Opinion opinion) {
    opinion_ = opinion;
    since_ = now;
}

// Limits flapping: an endpoint that relapses soon after a recovery stays bad for twice as long each time. A
// doubtful endpoint stays doubtful for min_doubtful, since each change of opinion is published and noise
// would cause many.
void ScoreBoard::update_good_or_doubtful(Timestamp now) {
    if (shows_bad(assessment_)) {
        const bool again =
            last_bad_at_ > Timestamp{} && now - last_bad_at_ < thresholds_.flap_window + min_bad_time_;
        min_bad_time_ = again ? std::min(2 * min_bad_time_, thresholds_.max_bad) : thresholds_.min_bad;
        return set_opinion(now, Opinion::kBad);
    }
    const bool doubtful = shows_doubtful(assessment_);
    if (doubtful && opinion_ == Opinion::kGood) {
        set_opinion(now, Opinion::kDoubtful);
    } else if (!doubtful && opinion_ == Opinion::kDoubtful && now - since_ >= thresholds_.min_doubtful) {
        set_opinion(now, Opinion::kGood);
    }
}

void ScoreBoard::update_bad(Timestamp now, int min_gateways) {
    if (now - since_ < min_bad_time_) return;
    const bool unreported = now - last_reported_at_ >= thresholds_.retry_unreported;
    if (!unreported && !shows_good(assessment_, min_gateways)) return;
    last_bad_at_ = now;
    set_opinion(now, Opinion::kGood);
}

bool ScoreBoard::update_opinion(Timestamp now, int min_gateways) {
    for (auto at = reports_.begin(); at != reports_.end();) {
        const bool decayed = at->second.stats.decayed_to(now).attempts < kMinAttempts / 4;
        at = decayed ? reports_.erase(at) : std::next(at);
    }
    assessment_ = assess(now, min_gateways);
    if (assessment_.gateways >= min_gateways) last_reported_at_ = now;
    const Opinion before = opinion_;
    if (opinion_ == Opinion::kBad) {
        update_bad(now, min_gateways);
    } else {
        update_good_or_doubtful(now);
    }
    return opinion_ != before;
}

}  // namespace linnetlead::health
