#include "metering/balance_lease.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace linnetlead::metering {

namespace {

using namespace std::chrono_literals;

constexpr Duration kNameLifetime = 60s;  // the longest that the counter keeps a name
// No add to an epoch's names this close to its end: gateways that have read the final total would miss a late
// add.
constexpr Duration kQuietBeforeEpochEnd = 250ms;
// An epoch's totals are final this long after its end, when all gateways' clocks have passed it.
constexpr Duration kCloseAfter = 350ms;
// A gateway that has just started reads the published sum this long after an epoch's start. The gateways that
// know the sum have published it by then.
constexpr Duration kReadSumAfter = 900ms;
constexpr Duration kRetryAfter = 200ms;
constexpr Duration kReadInterval = 1s;
constexpr Duration kIdleReadInterval = 5s;  // without demand
constexpr double kDemandWindowS = 2;        // a lease holds units for the demand of this window
constexpr double kMinDemandUnits = 0.05;    // less demand counts as none
// Shares of the target: below kReserveBelow units are reserved; above kReturnAbove the surplus is returned.
constexpr double kReserveBelow = 0.5;
constexpr double kReserveBelowBeforeStart = 0.95;
constexpr double kReturnAbove = 1.5;
constexpr double kRateBurstS = 2;  // seconds of the balance's rate that may be used at once
// Share of the target that one reservation asks for; a lost reply can cost that much.
constexpr double kReservationShare = 0.25;
constexpr double kRounding = 1e-6;         // tolerance of sums of units; units on the counter are whole
constexpr double kCounterTolerance = 0.5;  // a larger decrease of a total means that the counter was reset

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

BalanceLease::BalanceLease(PrepaidBalance balance, int gateways, double max_units, CounterAdd add)
    : balance_(std::move(balance)), gateways_(gateways), max_units_(max_units), add_(std::move(add)) {
    // Names on the counter have 64 bytes at most, ids 40. The start is part of the name, because a balance
    // with another start is another balance.
    char begins[24];
    std::snprintf(begins, sizeof(begins), ".%llx", static_cast<long long>(balance_.since / 1s));
    id_ = balance_.id + begins;
}

std::string BalanceLease::counter_name(Name name, std::int64_t epoch) const {
    return std::string(kNamePrefix) + id_ + '.' + static_cast<char>(name) + std::to_string(epoch);
}

void BalanceLease::add(Operation operation, Name name, std::int64_t epoch, double amount) {
    const std::string full_name = counter_name(name, epoch);
    pending_[full_name].push_back({operation, amount, epoch});
    add_(full_name, amount, kNameLifetime);
}

// Publishes the sum before the number of publishers: a reader in between sees too much reserved, never too
// little.
void BalanceLease::publish_sum() {
    add(Operation::kPublishSum, Name::kSum, epoch_, std::max(0.0, std::round(reserved_before_epoch_)));
}

// What the owner could still use at max_rate until the end of the balance is kept for the owner; the rest may
// be lent. What the owner could use falls by max_rate per second, so the rest grows no faster than that, and
// lending does not start with a jump.
double BalanceLease::lendable(Timestamp now) const {
    if (!balance_.lend || balance_.max_rate <= 0 || !active(now)) return 0;
    const double usable_by_owner = balance_.max_rate * (seconds(balance_.until - now) + kRateBurstS);
    return std::max(0.0, unreserved() - usable_by_owner);
}

void BalanceLease::record_demand(Timestamp now, double units) {
    demand_ = demand(now) + units;
    demand_at_ = now;
}

double BalanceLease::demand(Timestamp now) const {
    return demand_ * std::exp(-seconds(now - demand_at_) / kDemandWindowS);
}

double BalanceLease::lent_demand(Timestamp now) const {
    return lent_demand_ * std::exp(-seconds(now - lent_demand_at_) / kDemandWindowS);
}

// The units that should be available at this gateway. Until kDemandWindowS after the balance's start: half of
// the units that are left, divided by the gateways, or the recent demand if that is more. Later: the recent
// demand, within limits.
double BalanceLease::target(Timestamp now) const {
    const double part = std::max(0.0, unreserved() + available_) / (2 * gateways_);
    const bool starting = now < balance_.since + std::chrono::duration_cast<Duration>(
                                                     std::chrono::duration<double>(kDemandWindowS));
    const double recent = demand(now);
    if (starting) return std::max(part, recent);
    if (recent < kMinDemandUnits) return 0;
    return std::min(recent, std::max(part, max_units_)) + max_units_;
}

void BalanceLease::tick(Timestamp now) {
    if (now < balance_.since - kReserveAhead || now >= balance_.until) return;
    const std::int64_t epoch = now / kEpochLength;
    advance_epoch(now, epoch);
    if (epoch_ != epoch) return;
    read_totals(now);
    // While the counter does not reply, only totals are read: units of a lost reservation are usable by
    // nobody.
    if (counter_silent_ || kEpochLength * (epoch + 1) - now < kQuietBeforeEpochEnd) return;
    reserve(now);
    return_surplus(now);
    reserve_to_lend(now);
}

void BalanceLease::read_totals(Timestamp now) {
    const bool in_demand = demand(now) >= kMinDemandUnits || now < balance_.since;
    const Duration interval = counter_silent_ ? kRetryAfter : in_demand ? kReadInterval : kIdleReadInterval;
    if (reading_ || now - last_read_ < interval) return;
    reading_ = true;
    last_read_ = now;
    add(Operation::kReadReturned, Name::kReturned, epoch_, 0);
    add(Operation::kReadReserved, Name::kReserved, epoch_, 0);
}

void BalanceLease::reserve(Timestamp now) {
    const double wanted = target(now);
    const double enough = wanted * (now < balance_.since ? kReserveBelowBeforeStart : kReserveBelow);
    if (reserving_ || counter_silent_ || available_ > enough || unreserved() < 1) return;
    const double part = std::max(wanted * kReservationShare, 2 * max_units_) + std::max(0.0, -available_);
    const double amount =
        std::floor(std::min({std::ceil(wanted - available_), std::ceil(part), unreserved()}));
    if (amount < 1) return;
    reserving_ = true;
    add(Operation::kReserve, Name::kReserved, epoch_, amount);
}

void BalanceLease::return_surplus(Timestamp now) {
    const double wanted = target(now);
    const double surplus = std::floor(available_ - wanted);
    if (returning_ || surplus < 1 || available_ <= wanted * kReturnAbove + 1) return;
    returning_ = true;
    available_ -= surplus;
    add(Operation::kReturn, Name::kReturned, epoch_, surplus);
}

void BalanceLease::reserve_to_lend(Timestamp now) {
    const double lendable_units = lendable(now);
    const double demand_of_borrowers = lent_demand(now);
    if (reserving_to_lend_ || demand_of_borrowers <= kMinDemandUnits || lendable_units < 1 ||
        lent_available_ >= demand_of_borrowers)
        return;
    // Divided by the gateways, since each may need a share.
    const double part =
        std::ceil(std::min(lendable_units / gateways_, demand_of_borrowers - lent_available_ + max_units_));
    reserving_to_lend_ = true;
    add(Operation::kReserveToLend, Name::kReserved, epoch_, part);
}

// Moves to the next epoch. A gateway that has just started reads the sum that the others have published.
void BalanceLease::advance_epoch(Timestamp now, std::int64_t epoch) {
    if (epoch_ >= epoch || advancing_) return;
    const std::int64_t first = (balance_.since - kReserveAhead) / kEpochLength;
    if (epoch <= first) {  // no gateway can have reserved anything yet
        epoch_ = epoch;
        reserved_before_epoch_ = reserved_in_epoch_ = returned_in_epoch_ = 0;
        return;
    }
    const Duration since_start = now - kEpochLength * epoch;
    if (epoch_ < 0 && epoch - 1 <= first) {
        // The preceding epoch was the first, and the counter still has its totals.
        epoch_ = first;
        reserved_before_epoch_ = reserved_in_epoch_ = returned_in_epoch_ = 0;
    }
    if (now - last_advance_ < kRetryAfter) return;
    if (epoch_ >= 0) {
        if (since_start < kCloseAfter) return;
        last_advance_ = now;
        advancing_ = true;
        closing_reserved_.reset();
        closing_returned_.reset();
        add(Operation::kCloseReserved, Name::kReserved, epoch_, 0);
        add(Operation::kCloseReturned, Name::kReturned, epoch_, 0);
        return;
    }
    if (since_start < kReadSumAfter) return;
    last_advance_ = now;
    advancing_ = true;
    published_sum_.reset();
    add(Operation::kReadSum, Name::kSum, epoch, 0);
}

// Called once both final totals of the old epoch are known.
void BalanceLease::close_epoch() {
    reserved_before_epoch_ = reserved_before_epoch_ + std::max(*closing_reserved_, reserved_in_epoch_) -
                             std::max(*closing_returned_, returned_in_epoch_);
    reserved_in_epoch_ = returned_in_epoch_ = 0;
    ++epoch_;
    advancing_ = false;
    last_advance_ = {};
    last_read_ = {};
    publish_sum();
}

void BalanceLease::on_closing_total(const PendingAdd& pending, bool ok, double total) {
    if (!ok || pending.epoch != epoch_) {
        advancing_ = false;
        return;
    }
    (pending.operation == Operation::kCloseReserved ? closing_reserved_ : closing_returned_) = total;
    if (closing_reserved_ && closing_returned_) close_epoch();
}

// The sum is the total of the published values divided by the number of publishers.
void BalanceLease::on_published_count(const PendingAdd& pending, bool ok, double total) {
    advancing_ = false;
    if (!ok || total < 1 - kCounterTolerance || !published_sum_ || epoch_ >= 0) return;
    epoch_ = pending.epoch;
    reserved_before_epoch_ = std::ceil(*published_sum_ / std::round(total) - kRounding);
    reserved_in_epoch_ = returned_in_epoch_ = 0;
    last_read_ = {};
}

// A decreased total means that the counter has restarted empty; without this check all units would be granted
// a second time. The totals known so far are then added to reserved_before_epoch_.
void BalanceLease::observe_total(double& known_total, double total) {
    if (total < known_total - kCounterTolerance) {
        ++counter_resets_;
        reserved_before_epoch_ += reserved_in_epoch_ - returned_in_epoch_;
        reserved_in_epoch_ = returned_in_epoch_ = 0;
        publish_sum();
    }
    known_total = total;
}

void BalanceLease::on_reserved(const PendingAdd& pending, double total, Timestamp now) {
    observe_total(reserved_in_epoch_, total);
    const double before = reserved_by_all() - pending.amount;
    const double left = std::floor(balance_.units - before + kRounding);
    const double granted = std::clamp(left, 0.0, pending.amount);
    if (const double surplus = pending.amount - granted; surplus > 0 && epoch_ == pending.epoch) {
        add(Operation::kReturn, Name::kReturned, epoch_, surplus);
        returning_ = true;
    }
    // Units reserved to lend go to the owner if the owner can use them after all.
    const bool lent = pending.operation == Operation::kReserveToLend &&
                      unreserved() >= balance_.max_rate * seconds(balance_.until - now);
    (lent ? lent_available_ : available_) += granted;
}

void BalanceLease::on_reservation_reply(const PendingAdd& pending, bool ok, double total, Timestamp now) {
    (pending.operation == Operation::kReserve ? reserving_ : reserving_to_lend_) = false;
    if (!ok) {
        ++lost_reservations_;
    } else if (pending.epoch == epoch_) {
        on_reserved(pending, total, now);
    }  // else the units count as reserved in an epoch that has ended, and no gateway can use them
}

bool BalanceLease::charge(Timestamp now, double units) {
    if (!active(now)) return false;
    record_demand(now, units);
    if (balance_.max_rate > 0) {
        const double gained = rate_tokens_at_ == Timestamp{}
                                  ? balance_.max_rate * kRateBurstS
                                  : balance_.max_rate * seconds(now - rate_tokens_at_);
        rate_tokens_ = std::min(rate_tokens_ + gained, balance_.max_rate * kRateBurstS);
        rate_tokens_at_ = now;
        if (rate_tokens_ < units) return false;
    }
    if (available_ < units) {
        const bool may_reserve =
            epoch_ == now / kEpochLength && kEpochLength * (epoch_ + 1) - now >= kQuietBeforeEpochEnd;
        if (may_reserve) reserve(now);
        return false;
    }
    available_ -= units;
    charged_ += units;
    rate_tokens_ -= units;
    return true;
}

bool BalanceLease::lend(Timestamp now, double units) {
    if (!active(now) || !balance_.lend) return false;
    lent_demand_ = lent_demand(now) + units;
    lent_demand_at_ = now;
    if (lent_available_ < units) return false;
    lent_available_ -= units;
    lent_ += units;
    return true;
}

bool BalanceLease::on_counter_reply(Timestamp now, const std::string& name, bool ok, double total) {
    const auto at = pending_.find(name);
    if (at == pending_.end()) return false;
    const PendingAdd pending = at->second.front();
    at->second.pop_front();
    if (at->second.empty()) pending_.erase(at);
    ok = ok && std::isfinite(total);
    counter_silent_ = !ok;
    const bool current = pending.epoch == epoch_;
    switch (pending.operation) {
        case Operation::kReserve:
        case Operation::kReserveToLend:
            on_reservation_reply(pending, ok, total, now);
            break;
        case Operation::kReturn:
            returning_ = false;
            if (ok && current) observe_total(returned_in_epoch_, total);
            break;
        case Operation::kReadReturned:
            if (ok && current) observe_total(returned_in_epoch_, total);
            break;
        case Operation::kReadReserved:
            reading_ = false;
            if (ok && current) observe_total(reserved_in_epoch_, total);
            break;
        case Operation::kCloseReserved:
        case Operation::kCloseReturned:
            on_closing_total(pending, ok, total);
            break;
        case Operation::kPublishSum:
            if (ok) add(Operation::kPublishCount, Name::kPublishers, pending.epoch, 1);
            break;
        case Operation::kPublishCount:
            break;
        case Operation::kReadSum:
            if (!ok) {
                advancing_ = false;
                break;
            }
            published_sum_ = total;
            add(Operation::kReadCount, Name::kPublishers, pending.epoch, 0);
            break;
        case Operation::kReadCount:
            on_published_count(pending, ok, total);
            break;
    }
    return true;
}

BalanceLease::State BalanceLease::state() const {
    return {epoch_ >= 0, reserved_by_all(),  available_,     lent_available_, charged_,
            lent_,       lost_reservations_, counter_resets_};
}

}  // namespace linnetlead::metering
