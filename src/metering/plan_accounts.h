// Decides for the requests of one gateway which rate plan they are under, which are charged to a prepaid
// balance, and what is counted as usage. The request manager calls it as its AccountingPort. No I/O.
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

// Looks up the terms of single accounts, where there are too many for a schedule. It returns names of plans
// of the schedule or the platform. A request whose account has no known plan is under the plan that the
// request names.
class TermSource {
public:
    struct Lookup {
        std::optional<std::string> plan;  // active; none: the account has no term now
        std::optional<std::string> next;  // active once the newest known configuration is
        bool uncertain = false;           // the account's terms cannot be read here
        bool restricted = false;          // this request, as under PlanAccounts::restrict()
    };
    virtual ~TermSource() = default;
    virtual Lookup lookup(AccountId account, Timestamp now) const = 0;
};

class PlanAccounts final : public proxy::AccountingPort {
public:
    // `platform`: the platform's settings, whose plans the decision module has. `lease_block`: see
    // UsageLease. `add`: for prepaid balances, of which there are none if the platform's settings forbid the
    // counter.
    PlanAccounts(const policy::Settings& platform, Duration period, UsageLedger::Limits limits,
                 double lease_block, CounterAdd add);

    // Makes a schedule active. Returns the plans that the caller has to append to those of the decision
    // module. kResourceExhausted: the process would have had too many plans; the previous schedule stays
    // active.
    Result<std::vector<policy::RatePlanSettings>> apply_schedule(
        std::shared_ptr<const PlanSchedule> schedule);
    // While it is unknown which of two schedules is active, an account has the lesser of its two plans, and
    // nothing is charged to a prepaid balance. `other`: null if there is only one schedule. Returns and fails
    // like apply_schedule(), but after a failure the restriction applies without the other schedule.
    Result<std::vector<policy::RatePlanSettings>> restrict(bool on,
                                                           std::shared_ptr<const PlanSchedule> other);
    // Reads terms from `source`, which outlives this object, instead of the schedule. An account whose terms
    // are uncertain has the least of the known plans.
    void use_term_source(const TermSource* source) { term_source_ = source; }
    // While on, nothing is charged to a prepaid balance.
    void suspend_balances(bool on) { balances_suspended_ = on; }
    // The active schedule; null before the first one.
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
    // Off: no ledger is written, and requests are spared the cost of counting.
    void count_usage(bool on) { counts_usage_ = on; }
    std::size_t open_requests() const { return open_requests_; }

private:
    // Bounds the plans that the decision module holds, since it never removes one.
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

    PositionByName index_by_name(const PlanSchedule& schedule,
                                 const std::vector<std::int32_t>& positions) const;
    // `named`: the plan that the request names. `restricted`: set to whether the request is restricted.
    std::int32_t position_from_terms(AccountId account, Timestamp now, std::int32_t named,
                                     bool& restricted) const;
    std::int32_t position_from_schedule(AccountId account, Timestamp now, std::int32_t named) const;
    // The lesser of two positions' plans, by rate, then burst.
    std::int32_t lesser(std::int32_t a, std::int32_t b) const;
    // The position of a plan, which is appended to `added` if it is new.
    std::int32_t position_of(const policy::RatePlanSettings& plan,
                             std::vector<policy::RatePlanSettings>& added) const;
    bool fits(const std::vector<policy::RatePlanSettings>& added) const {
        return positions_.size() + added.size() <= kMaxPositions;
    }
    void append_plans(const std::vector<policy::RatePlanSettings>& added);
    void charge_to_balance(OpenRequest& open, const PrepaidBalances::Charge& charge,
                           policy::Request& request);
    std::int32_t row_name_of(const OpenRequest& open);

    UsageLedger ledger_;
    UsageLease lease_;
    PrepaidBalances balances_;
    bool counts_usage_ = true;
    bool may_use_counter_;

    std::shared_ptr<const PlanSchedule> schedule_;
    std::vector<std::int32_t> schedule_positions_;  // in the decision module, of the schedule's plans
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
