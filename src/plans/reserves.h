// The reservations of one gateway: which calls are paid from one instead of from the account's plan.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/slots.h"
#include "purse.h"

namespace linnetlead::plans {

class Reserves {
public:
    Reserves(int gateways, double most_units, CountUnits count);

    // Those of a new book. A reserve is known by its id and the instant it begins at: with these the same,
    // what was claimed of it stays claimed, whatever else has changed. One that is gone ends at once.
    void take(const std::vector<Reserve>& reserves);
    void tick(Time now);

    struct Paid {
        core::Handle purse;
        bool lent = false;
        double units = 0;
    };
    // From the account's own reserves, the one that ends first before the others; or, if it was refused of
    // late, from what others cannot use any more.
    std::optional<Paid> pay(Time now, AccountId account, double units);
    void refused(Time now, AccountId account);
    const Purse* find(core::Handle purse) { return purses_.find(purse); }
    void take_back(const Paid& paid);
    void settle(const Paid& paid, double difference);
    bool counted(Time now, const std::string& name, bool good, double total);

    std::vector<const Purse*> all();

private:
    static constexpr std::size_t most_refused = 4096;
    int gateways_;
    double most_units_;
    CountUnits count_;
    core::Slots<Purse> purses_;
    std::unordered_map<AccountId, std::vector<core::Handle>> of_account_;  // by end
    std::vector<core::Handle> order_;                                      // all, by end
    std::unordered_map<AccountId, Time> refused_;                          // when last; emptied every second
    Time forgotten_{};
};

}  // namespace linnetlead::plans
