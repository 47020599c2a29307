// Tests whether the new pool (target) of a rollout serves worse than the old pool (source). It compares first
// attempts of the same traffic class and size within the same second. The test is sequential: it may be
// evaluated at any time and any number of times. CanaryRollout owns one per rollout.
//
// Latencies are compared by the Mann-Whitney statistic U of each time slice and stratum, where a failed or
// rejected attempt ranks as the longest. If both pools serve equally, U of n and m attempts is sub-Gaussian
// with variance nm(n+m+1)/12 (its generating function is a product of ratios of sinh; Mann and Whitney, "On a
// test of whether one of two random variables is stochastically larger than the other", 1947). So with T the
// sum of (U - nm/2)/(n+m+1) and V the sum of nm/(12(n+m+1)), exp(lT - l^2 V/2) is a supermartingale for every
// l. Its mixture over a half-normal l exceeds 1/a at any time with a probability of at most a (Robbins,
// "Statistical methods related to the law of the iterated logarithm", 1970; Howard, Ramdas, McAuliffe and
// Sekhon, "Time-uniform, nonparametric, nonasymptotic confidence sequences", 2021). T and V are sums, so the
// values of all gateways add up to the evidence of the gateway group.
//
// Failures are compared by a likelihood ratio over the pool in which each bad attempt was.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::traffic {

using policy::Duration;
using policy::Timestamp;

enum class Side { kSource, kTarget };

// The limits of a rollout, as the operators configure them.
struct Tolerance {
    double slower = 1.1;  // tolerated latency of the new pool, as a multiple of the old pool's
    double shown = 1.35;  // the next stage needs proof that the new pool's latency is below this multiple
    double failures = 2;  // tolerated odds of failure in the new pool, as a multiple of the old pool's
    // Share of the new pool's last attempts that failed: at or above it the rollout rolls back at once, if
    // the old pool's share is below half of it.
    double gross = 0.5;
    std::size_t least = 50;  // first attempts in the new pool before the next stage
};

// The evidence of one gateway, or the sum over all of them, in a stage. Every member is a sum.
struct Evidence {
    double weight = 0;        // V of the current epoch
    double slower = 0;        // T of the current epoch against the old latency times Tolerance::slower
    double failing = 0;       // log likelihood ratio of failures in the current epoch
    double stage_weight = 0;  // V of the stage
    double shown = 0;         // T of the stage against the old latency times Tolerance::shown; < 0: faster
    double attempts = 0;      // first attempts in the new pool during the stage
};
Evidence operator+(const Evidence& a, const Evidence& b);

// Returns the log of the evidence (e-value) that the mean of T is above 0.
double log_evidence(double t, double v);

class CanaryAnalysis {
public:
    static constexpr Duration kSlice = std::chrono::seconds(1);
    // Limits how long good evidence from the past can hide a pool that turns bad.
    static constexpr Duration kEpoch = std::chrono::seconds(30);

    CanaryAnalysis(std::size_t classes, Tolerance tolerance, std::uint64_t seed);

    // Records the end of a first attempt. `latency_s` is used only if it was served; an attempt that was
    // served but missed its latency objective counts as bad in the comparison of failures.
    void record_attempt(Side side, int traffic_class, double units, double latency_s, bool served,
                        bool met_objective);
    // Closes slices and epochs that are over; true if there is new evidence.
    bool tick(Timestamp now);
    void restart(Timestamp now);  // starts a new stage: discards all evidence

    const Evidence& evidence() const { return evidence_; }
    std::int64_t epoch_number() const { return epoch_number_; }
    // Whether the new pool fails as Tolerance::gross forbids.
    bool has_gross_failure() const;

private:
    static constexpr std::size_t kSizes = 8;         // strata of a class, by units
    static constexpr std::size_t kMaxSamples = 256;  // of a side, in a stratum
    static constexpr int kMaxWaitSlices = 8;  // a side without attempts of the other side is discarded then
    static constexpr std::size_t kRecentAttempts = 20;
    static constexpr std::size_t kMinRecentAttempts = 10;
    struct Sample {
        std::vector<double> latencies;  // infinite: not served
        std::size_t seen = 0;           // attempts, including those beyond kMaxSamples
        int bad = 0;
        void clear();  // keeps the allocated memory for the next slice
    };
    struct Stratum {
        Sample side[2];
        int waited_slices = 0;
    };
    // Adds a stratum's slice to the evidence; false if one of the sides has no attempts.
    bool close_slice(Stratum& stratum);
    static void clear(Stratum& stratum);
    void add_sample(Sample& sample, double latency);

    Tolerance tolerance_;
    std::mt19937_64 random_;
    std::vector<Stratum> strata_;
    Evidence evidence_;
    struct Recent {  // the last attempts, one bit each: 1 is bad
        std::uint32_t bad = 0;
        std::size_t count = 0;
    };
    Recent recent_[2];
    std::int64_t slice_number_ = -1;
    std::int64_t epoch_number_ = -1;
};

// Returns the Mann-Whitney U of two sorted samples: the number of pairs in which the first value divided by
// `allowed` exceeds the second, where a tie counts as half.
double rank_sum_u(const std::vector<double>& first, const std::vector<double>& second, double allowed = 1);

}  // namespace linnetlead::traffic
