#include "metering/prepaid_balances.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace linnetlead::metering {

namespace {

// An account may borrow for this long after a rejection: lending is for tenants that are short of units.
constexpr Duration kBorrowWindow = std::chrono::seconds(1);

bool is_same(const PrepaidBalance& a, const PrepaidBalance& b) {
    return a.id == b.id && a.since == b.since && a.account == b.account;
}

}  // namespace

PrepaidBalances::PrepaidBalances(int gateways, double max_units, CounterAdd add)
    : gateways_(gateways), max_units_(max_units), add_(std::move(add)) {}

void PrepaidBalances::update(const std::vector<PrepaidBalance>& balances) {
    std::vector<proxy::Handle> updated;
    std::vector<bool> known(balances.size());
    for (const proxy::Handle handle : by_end_) {
        BalanceLease& lease = *leases_.find(handle);
        const auto same = std::find_if(balances.begin(), balances.end(), [&](const PrepaidBalance& one) {
            return is_same(one, lease.balance());
        });
        if (same == balances.end()) {
            leases_.remove(handle);
            continue;
        }
        lease.update(*same);
        known[static_cast<std::size_t>(same - balances.begin())] = true;
        updated.push_back(handle);
    }
    for (std::size_t i = 0; i < balances.size(); ++i) {
        if (!known[i]) updated.push_back(leases_.add(balances[i], gateways_, max_units_, add_));
    }
    std::sort(updated.begin(), updated.end(), [this](proxy::Handle a, proxy::Handle b) {
        const PrepaidBalance& one = leases_.find(a)->balance();
        const PrepaidBalance& other = leases_.find(b)->balance();
        return std::tie(one.until, one.id) < std::tie(other.until, other.id);
    });
    by_end_ = std::move(updated);
    of_account_.clear();
    for (const proxy::Handle handle : by_end_) {
        of_account_[leases_.find(handle)->balance().account].push_back(handle);
    }
}

void PrepaidBalances::tick(Timestamp now) {
    for (const proxy::Handle handle : by_end_) leases_.find(handle)->tick(now);
    if (now - rejected_cleared_ < kBorrowWindow) return;
    rejected_cleared_ = now;
    for (auto at = rejected_.begin(); at != rejected_.end();) {
        at = now - at->second >= kBorrowWindow ? rejected_.erase(at) : std::next(at);
    }
}

std::optional<PrepaidBalances::Charge> PrepaidBalances::charge(Timestamp now, AccountId account,
                                                               double units) {
    if (by_end_.empty()) return std::nullopt;
    if (const auto own = of_account_.find(account); own != of_account_.end()) {
        for (const proxy::Handle handle : own->second) {
            if (leases_.find(handle)->charge(now, units)) return Charge{handle, false, units};
        }
    }
    const auto rejected = rejected_.find(account);
    if (rejected == rejected_.end() || now - rejected->second >= kBorrowWindow) return std::nullopt;
    for (const proxy::Handle handle : by_end_) {
        if (leases_.find(handle)->lend(now, units)) return Charge{handle, true, units};
    }
    return std::nullopt;
}

void PrepaidBalances::on_rejected(Timestamp now, AccountId account) {
    if (by_end_.empty() || (rejected_.size() >= kMaxRejected && rejected_.count(account) == 0)) return;
    rejected_[account] = now;
}

void PrepaidBalances::refund(const Charge& charge) {
    if (BalanceLease* lease = leases_.find(charge.lease)) lease->refund(charge.units, charge.lent);
}

void PrepaidBalances::correct(const Charge& charge, double difference) {
    if (BalanceLease* lease = leases_.find(charge.lease)) lease->correct(difference, charge.lent);
}

bool PrepaidBalances::on_counter_reply(Timestamp now, const std::string& name, bool ok, double total) {
    if (name.compare(0, BalanceLease::kNamePrefix.size(), BalanceLease::kNamePrefix) != 0) return false;
    for (const proxy::Handle handle : by_end_) {
        if (leases_.find(handle)->on_counter_reply(now, name, ok, total)) break;
    }
    return true;  // also for a balance that was removed
}

std::vector<const BalanceLease*> PrepaidBalances::leases() {
    std::vector<const BalanceLease*> all;
    for (const proxy::Handle handle : by_end_) all.push_back(leases_.find(handle));
    return all;
}

}  // namespace linnetlead::metering
