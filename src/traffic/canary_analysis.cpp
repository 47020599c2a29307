#include "traffic/canary_analysis.h"

#include <algorithm>
#include <bitset>
#include <cmath>
#include <limits>

namespace linnetlead::traffic {

namespace {

// Scale of the half-normal mixture over l: highest power if the new pool is 20 % to 100 % slower.
constexpr double kMixtureScale = 1.5;
// The alternative hypothesis, as a multiple of the tolerated odds of failure.
constexpr double kSuspectedOddsRatio = 3;
constexpr double kNotServed = std::numeric_limits<double>::infinity();

std::size_t index_of(Side side) { return side == Side::kTarget ? 1 : 0; }

// Log of the standard normal distribution function, accurate also in the far lower tail.
double log_normal_below(double x) {
    if (x > -8) return std::log(0.5 * std::erfc(-x / std::sqrt(2.0)));
    return -x * x / 2 - std::log(-x) - 0.5 * std::log(2 * 3.14159265358979323846);
}

}  // namespace

Evidence operator+(const Evidence& a, const Evidence& b) {
    return {a.weight + b.weight,   a.slower + b.slower,
            a.failing + b.failing, a.stage_weight + b.stage_weight,
            a.shown + b.shown,     a.attempts + b.attempts};
}

double log_evidence(double t, double v) {
    if (v <= 0) return 0;
    const double s2 = kMixtureScale * kMixtureScale;
    const double variance = 1 + s2 * v;
    return std::log(2.0) - 0.5 * std::log(variance) + s2 * t * t / (2 * variance) +
           log_normal_below(kMixtureScale * t / std::sqrt(variance));
}

double rank_sum_u(const std::vector<double>& first, const std::vector<double>& second, double allowed) {
    double u = 0;
    std::size_t below = 0, up_to = 0;
    for (const double longer : first) {
        const double x = longer / allowed;
        while (below < second.size() && second[below] < x) ++below;
        while (up_to < second.size() && second[up_to] <= x) ++up_to;
        u += static_cast<double>(below) + static_cast<double>(up_to - below) / 2;
    }
    return u;
}

void CanaryAnalysis::Sample::clear() {
    latencies.clear();
    seen = 0;
    bad = 0;
}

void CanaryAnalysis::clear(Stratum& stratum) {
    for (Sample& sample : stratum.side) sample.clear();
    stratum.waited_slices = 0;
}

CanaryAnalysis::CanaryAnalysis(std::size_t classes, Tolerance tolerance, std::uint64_t seed)
    : tolerance_(tolerance), random_(seed), strata_(classes * kSizes) {}

void CanaryAnalysis::add_sample(Sample& sample, double latency) {
    ++sample.seen;
    if (sample.latencies.size() < kMaxSamples) {
        sample.latencies.push_back(latency);
    } else if (const std::size_t at = random_() % sample.seen; at < kMaxSamples) {
        sample.latencies[at] = latency;  // reservoir sampling: each attempt is kept with equal probability
    }
}

void CanaryAnalysis::record_attempt(Side side, int traffic_class, double units, double latency_s, bool served,
                                    bool met_objective) {
    const auto size = static_cast<std::size_t>(std::clamp(std::ceil(units), 1.0, double{kSizes})) - 1;
    const std::size_t at = static_cast<std::size_t>(traffic_class) * kSizes + size;
    if (at >= strata_.size()) return;
    const bool bad = !served || !met_objective;
    Sample& sample = strata_[at].side[index_of(side)];
    add_sample(sample, served ? latency_s : kNotServed);
    sample.bad += bad ? 1 : 0;
    auto& last = recent_[index_of(side)];
    last.bad = (last.bad << 1 | (bad ? 1U : 0U)) & ((1U << kRecentAttempts) - 1);
    last.count = std::min(last.count + 1, kRecentAttempts);
    if (side == Side::kTarget) evidence_.attempts += 1;
}

bool CanaryAnalysis::close_slice(Stratum& stratum) {
    Sample& source = stratum.side[0];
    Sample& target = stratum.side[1];
    if (source.seen == 0 || target.seen == 0) {
        if (source.seen + target.seen > 0 && ++stratum.waited_slices >= kMaxWaitSlices) clear(stratum);
        return false;
    }
    const double n = static_cast<double>(target.latencies.size());
    const double m = static_cast<double>(source.latencies.size());
    std::sort(target.latencies.begin(), target.latencies.end());
    std::sort(source.latencies.begin(), source.latencies.end());
    const auto statistic = [&](double allowed) {
        return (rank_sum_u(target.latencies, source.latencies, allowed) - n * m / 2) / (n + m + 1);
    };
    const double weight = n * m / (12 * (n + m + 1));
    evidence_.weight += weight;
    evidence_.slower += statistic(tolerance_.slower);
    evidence_.stage_weight += weight;
    evidence_.shown += statistic(tolerance_.shown);
    // Under the null hypothesis a bad attempt is in the new pool with its share of the attempts, weighted by
    // the tolerated odds.
    const double seen_new = static_cast<double>(target.seen) * tolerance_.failures;
    const double seen_old = static_cast<double>(source.seen);
    const double expected_share = seen_new / (seen_new + seen_old);
    const double suspected_share =
        kSuspectedOddsRatio * seen_new / (kSuspectedOddsRatio * seen_new + seen_old);
    evidence_.failing += target.bad * std::log(suspected_share / expected_share) +
                         source.bad * std::log((1 - suspected_share) / (1 - expected_share));
    clear(stratum);
    return true;
}

bool CanaryAnalysis::tick(Timestamp now) {
    const std::int64_t slice_now = now / kSlice;
    bool has_new_evidence = false;
    if (slice_now != slice_number_) {
        if (slice_number_ >= 0) {
            for (Stratum& stratum : strata_) has_new_evidence = close_slice(stratum) || has_new_evidence;
        }
        slice_number_ = slice_now;
    }
    const std::int64_t epoch_now = now / kEpoch;
    if (epoch_now != epoch_number_) {
        epoch_number_ = epoch_now;
        evidence_.weight = evidence_.slower = evidence_.failing = 0;
    }
    return has_new_evidence;
}

void CanaryAnalysis::restart(Timestamp now) {
    for (Stratum& stratum : strata_) clear(stratum);
    evidence_ = {};
    for (Recent& last : recent_) last = {};
    slice_number_ = now / kSlice;
    epoch_number_ = now / kEpoch;
}

bool CanaryAnalysis::has_gross_failure() const {
    const auto share = [](const Recent& last) {
        return static_cast<double>(std::bitset<kRecentAttempts>(last.bad).count()) /
               static_cast<double>(std::max<std::size_t>(last.count, 1));
    };
    const Recent& target = recent_[1];
    return target.bad != 0 && target.count >= kMinRecentAttempts && recent_[0].count >= kMinRecentAttempts &&
           share(target) >= tolerance_.gross && share(recent_[0]) < tolerance_.gross / 2;
}

}  // namespace linnetlead::traffic
