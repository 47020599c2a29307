// All balance leases of one gateway. PlanAccounts asks it which requests are charged to a prepaid balance
// instead of their tenant's plan.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/slot_map.h"
#include "metering/balance_lease.h"

namespace linnetlead::metering {

class PrepaidBalances {
public:
    // The parameters are those of BalanceLease.
    PrepaidBalances(int gateways, double max_units, CounterAdd add);

    // Takes over the balances of a new plan schedule. A balance with the same id, account and start is the
    // same balance: its reservations stay, whatever else has changed. A balance that is missing ends at once.
    void update(const std::vector<PrepaidBalance>& balances);
    void tick(Timestamp now);

    struct Charge {
        proxy::Handle lease;
        bool lent = false;  // from another tenant's balance
        double units = 0;
    };
    // Charges the account's own balances, the one that ends first before the others; or, if a request of the
    // account was rejected within the last second, what other tenants cannot use up. Nothing: the request is
    // under its plan.
    std::optional<Charge> charge(Timestamp now, AccountId account, double units);
    void on_rejected(Timestamp now, AccountId account);
    // Null if the balance was removed.
    const BalanceLease* find(proxy::Handle lease) { return leases_.find(lease); }
    void refund(const Charge& charge);
    void correct(const Charge& charge, double difference);
    // Handles the reply to an add. False: the name belongs to no balance.
    bool on_counter_reply(Timestamp now, const std::string& name, bool ok, double total);

    // All leases, sorted by end, then id.
    std::vector<const BalanceLease*> leases();

private:
    static constexpr std::size_t kMaxRejected = 4096;  // bounds memory; further accounts cannot borrow

    int gateways_;
    double max_units_;
    CounterAdd add_;
    proxy::SlotMap<BalanceLease> leases_;
    std::unordered_map<AccountId, std::vector<proxy::Handle>> of_account_;  // sorted by end
    std::vector<proxy::Handle> by_end_;
    std::unordered_map<AccountId, Timestamp>
        rejected_;  // last rejection; expired entries are cleared every second
    Timestamp rejected_cleared_{};
};

}  // namespace linnetlead::metering
