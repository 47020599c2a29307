// The accounts of one gateway: which plan a call is under, by the book in force, and what is used. No I/O.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "book.h"
#include "core/ports.h"
#include "ledger.h"

namespace linnetlead::plans {

class Accounts final : public core::Accounts {
public:
    // `known`: the plans that the decision module has from the platform's settings.
    Accounts(const std::vector<topazcrank::PlanSettings>& known, Span period, Ledger::Limits limits,
             double lease_block);

    // Takes a new book. `more`: the plans that the module has to learn, behind those it has. False, and
    // nothing is taken, where the module would have to hold too many over its life.
    bool take(std::shared_ptr<const PlanBook> book, std::vector<topazcrank::PlanSettings>& more);
    const PlanBook* book() const { return book_.get(); }

    void taken(Time now, core::Handle call, topazcrank::Request& request) override;
    void sending(core::Handle call, double units) override;
    void sent_on(Time now, core::Handle call, double units) override;
    void settled(core::Handle call, double difference) override;
    void over(core::Handle call) override;

    Ledger ledger;
    Lease lease;
    std::size_t open_calls() const { return open_calls_; }

private:
    static constexpr std::size_t most_positions = 4096;  // over the process's life
    struct Open {
        AccountId account = 0;
        std::int32_t plan = 0;
        bool counted = false;
        double leased = 0;  // units
        UseKey key;
    };
    std::shared_ptr<const PlanBook> book_;
    std::vector<std::int32_t> position_;  // in the module, of each plan of the book
    std::vector<topazcrank::PlanSettings> positions_;
    std::vector<std::int32_t> name_;  // in the ledger, of each position
    std::vector<Open> open_;          // by the index of the call's slot
    std::size_t open_calls_ = 0;
};

}  // namespace linnetlead::plans
