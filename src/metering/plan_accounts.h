// Which rate plan a request of an account is under, what is charged to a prepaid balance, and what is counted
// as usage, for the requests of one gateway. No I/O.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/error.h"
#include "metering/plan_schedule.h"
#include "metering/prepaid_balances.h"
#include "metering/usage_lease.h"
#include "metering/usage_ledger.h"
#include "proxy/ports.h"

namespace linnetlead::metering {

// Looks up accounts' terms one by one, where there are too many for a schedule. The plans that it names are
// the schedule's or the platform's; a request of an account without a known plan is under the plan that it
// names itself.
class TermSource {
public:
    struct Lookup {
        std::optional<std::string> plan;  // active; none: there is no term of the account now
        std::optional<std::string> next;  // once all that is known is active
        bool uncertain = false;           // the account's terms cannot be read here
        bool restricted = false;          // as under PlanAccounts::restrict(), of this request
    };
    virtual ~TermSource() = default;
    virtual Lookup lookup(AccountId account, Timestamp now) const = 0;
};

class PlanAccounts final : public proxy::AccountingPort {
public:
    // `site`: with the plans that the decision module has from the platform's settings. `lease_block`: as
    // UsageLease's. `add`: for prepaid balances; where the platform's settings forbid the counter, there are
    // none.
    PlanAccounts(const policy::Settings& site, Duration period, UsageLedger::Limits limits,
                 double lease_block, CounterAdd add);

    // Makes a schedule active. Returns the plans that the decision module has to learn, which it keeps behind
    // those it has. kResourceExhausted: it would have to hold too many over the process's life; the schedule
    // before stands.
    Result<std::vector<policy::RatePlanSettings>> apply_schedule(
        std::shared_ptr<const PlanSchedule> schedule);
    // While it is not known which of two schedules is active, an account has the lesser of its two plans, and
    // nothing is charged to a prepaid balance. `other`: null where there is only the one. Returns and fails
    // as above, but after a failure the restriction stands without the other schedule.
    Result<std::vector<policy::RatePlanSettings>> restrict(bool on,
                                                           std::shared_ptr<const PlanSchedule> other);
    // Terms come from there and not from the schedule; it outlives this. An account whose terms are uncertain
    // has the least of the plans that are known here.
    void use_term_source(const TermSource* source) { term_source_ = source; }
    // Nothing is charged to a prepaid balance.
    void suspend_balances(bool on) { balances_suspended_ = on; }
    // Null before the first one.
    const PlanSchedule* schedule() const { return schedule_.get(); }

    void taken(Timestamp now, proxy::Handle request_handle, policy::Request& request) override;
    void charge(Timestamp now, proxy::Handle request_handle, policy::Request& request) override;
    void sending(proxy::Handle request_handle, double units) override;
    void sent_on(Timestamp now, proxy::Handle request_handle, double units) override;
    void settled(proxy::Handle request_handle, double difference) override;
    void rejected(Timestamp now, proxy::Handle request_handle) override;
    void over(proxy::Handle request_handle) override;
    bool counted(Timestamp now, const std::string& name, policy::CounterStatus status, double total) override;

    UsageLedger& ledger() { return ledger_; }
    UsageLease& lease() { return lease_; }
    PrepaidBalances& balances() { return balances_; }
    // False: nobody writes a ledger, and no request pays for counting.
    void count_usage(bool on) { counts_usage_ = on; }
    std::size_t open_requests() const { return open_requests_; }

private:
    // Plans that the decision module holds, over the process's life: it never forgets one.
    static constexpr std::size_t kMaxPositions = 4096;
    struct OpenRequest {
        AccountId account = 0;
        std::int32_t plan = 0;    // position in the decision module
        bool counted = false;     // it was forwarded
        bool restricted = false;  // nothing is charged to a balance
        double leased = 0;        // units, counted in the usage lease
        PrepaidBalances::Charge charge;
        UsageKey key;
    };
    using PositionByName = std::unordered_map<std::string, std::int32_t>;

    PositionByName by_name(const PlanSchedule& schedule, const std::vector<std::int32_t>& positions) const;
    // `named`: the plan that the request names. `restricted`: set to whether the request is.
    std::int32_t looked_up_position(AccountId account, Timestamp now, std::int32_t named,
                                    bool& restricted) const;
    std::int32_t scheduled_position(AccountId account, Timestamp now, std::int32_t named) const;
    // The lesser of two positions' plans, by rate, then burst.
    std::int32_t lesser(std::int32_t a, std::int32_t b) const;
    // The position of a plan, which is appended to `added` if it has none.
    std::int32_t position_of(const policy::RatePlanSettings& plan,
                             std::vector<policy::RatePlanSettings>& added) const;
    bool fits(const std::vector<policy::RatePlanSettings>& added) const {
        return positions_.size() + added.size() <= kMaxPositions;
    }
    void learn(const std::vector<policy::RatePlanSettings>& added);
    void charge_to_balance(OpenRequest& open, const PrepaidBalances::Charge& charge,
                           policy::Request& request);
    std::int32_t row_name_of(const OpenRequest& open);

    UsageLedger ledger_;
    UsageLease lease_;
    PrepaidBalances balances_;
    bool counts_usage_ = true;
    bool may_use_counter_;

    std::shared_ptr<const PlanSchedule> schedule_;
    std::vector<std::int32_t> schedule_positions_;  // in the module, of each plan of the schedule
    PositionByName position_by_name_;               // of the schedule's plans and the platform's
    std::size_t platform_plans_;
    std::int32_t least_position_ = 0;
    const TermSource* term_source_ = nullptr;

    bool restricted_ = false, balances_suspended_ = false;
    std::shared_ptr<const PlanSchedule> other_schedule_;
    std::vector<std::int32_t> other_positions_;
    PositionByName other_position_by_name_;

    std::vector<policy::RatePlanSettings> positions_;          // all plans the module holds
    std::vector<std::int32_t> row_names_;                      // in the ledger, of each position
    std::unordered_map<int, std::int32_t> balance_positions_;  // by a balance's max_concurrent
    std::vector<OpenRequest> open_;                            // by the index of the request's slot
    std::size_t open_requests_ = 0;
};

}  // namespace linnetlead::metering
