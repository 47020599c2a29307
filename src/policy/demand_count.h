// Encoding of a tenant's demand and use in one interval as a single number on the shared counter.
//
// The counter only adds numbers, and returns totals with seven digits. So the demand and the use of all
// gateways share one number: the integer part is the demand, the fraction is the units spent, both scaled by
// the most units that an interval can grant. Once per interval, one gateway adds 0.5 together with the token
// bucket's deficit at the start of the interval; from then on the fraction describes the bucket itself. All
// gateways add to the same number, so the encoding can't change while releases are mixed. All amounts are in
// units, except for the number itself.
#pragma once

#include <algorithm>
#include <cmath>

namespace linnetlead::policy {

class DemandCount {
public:
    // max_units: the most that an interval can grant.
    explicit DemandCount(double max_units) : max_units_(max_units) {}

    // This gateway's part of the number. bucket_deficit: units missing from the bucket at the start of the
    // interval; negative if another gateway reports it.
    double encode(double demand, double spent, double bucket_deficit) const {
        const double spent_parts =
            round_half_up(std::max(0.0, spent + std::max(0.0, bucket_deficit)) / max_units_ * kSpentParts);
        return std::max(1.0, round_half_up(demand / max_units_ * kDemandParts)) +
               (bucket_deficit < 0 ? 0 : kBucketDeficitFlag) +
               std::min(spent_parts / kFractionSteps, kBucketDeficitFlag - 1 / kFractionSteps);
    }

    // Compares two numbers, allowing for rounding by the counter.
    static bool is_at_most(double number, double limit) { return number < limit + kHalfStep; }
    static bool includes_bucket_deficit(double total) { return fraction(total) >= kBucketDeficitFlag; }
    // The bucket's deficit without the refill of the interval. Requires includes_bucket_deficit().
    double bucket_deficit(double total) const {
        return (fraction(total) - kBucketDeficitFlag) * units_per_fraction();
    }
    // Units spent by the other gateways. Requires that includes_bucket_deficit() is false.
    double others_spent(double total, double own) const {
        return std::max(0.0, fraction(total) - fraction(std::min(own, total))) * units_per_fraction();
    }
    // Demand at the other gateways.
    double others_demand(double total, double own) const {
        return std::max(0.0, std::floor(total + kHalfStep) - std::floor(own + kHalfStep)) / kDemandParts *
               max_units_;
    }

private:
    static constexpr double kDemandParts = 100;
    static constexpr double kSpentParts = 2000;
    static constexpr double kFractionSteps = 10000;  // four of the seven digits are decimals
    static constexpr double kHalfStep = 0.5 / kFractionSteps;
    static constexpr double kBucketDeficitFlag = 0.5;

    // For numbers that are not negative. Unlike std::round(), it rounds halves up under valgrind on arm64
    // too.
    static double round_half_up(double number) {
        const double whole = std::floor(number);
        return number - whole >= 0.5 ? whole + 1 : whole;
    }
    static double fraction(double number) { return number - std::floor(number + kHalfStep); }
    double units_per_fraction() const { return max_units_ * kFractionSteps / kSpentParts; }

    double max_units_;
};

}  // namespace linnetlead::policy
