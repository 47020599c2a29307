#include "metering/plan_accounts.h"

#include <limits>
#include <utility>

namespace linnetlead::metering {

namespace {

bool is_same(const policy::RatePlanSettings& a, const policy::RatePlanSettings& b) {
    return a.name == b.name && a.tag == b.tag && a.rate == b.rate && a.burst == b.burst &&
           a.max_concurrent == b.max_concurrent && a.price == b.price &&
           a.over_quota_weight == b.over_quota_weight && a.over_quota_cost == b.over_quota_cost;
}

std::size_t index_of(const policy::RatePlanSettings& plan,
                     const std::vector<policy::RatePlanSettings>& among) {
    std::size_t at = 0;
    while (at < among.size() && !is_same(among[at], plan)) ++at;
    return at;
}

// A request charged to a balance must not also count against a quota, so the decision module sees it under a
// plan without one.
policy::RatePlanSettings plan_without_quota(int max_concurrent) {
    policy::RatePlanSettings plan;
    plan.name = "reserve";
    plan.tag = "rv" + std::to_string(max_concurrent);
    plan.max_concurrent = max_concurrent;
    return plan;
}

tl::unexpected<Error> too_many_plans() {
    return fail(ErrorCode::kResourceExhausted, "too many different plans since the process started");
}

}  // namespace

PlanAccounts::PlanAccounts(const policy::Settings& platform, Duration period, UsageLedger::Limits limits,
                           double lease_block, CounterAdd add)
    : ledger_(period, limits),
      lease_(lease_block),
      balances_(platform.gateways, platform.max_units, std::move(add)),
      may_use_counter_(platform.may_use_counter),
      platform_plans_(platform.plans.size()),
      positions_(platform.plans) {
    for (const auto& plan : positions_) row_names_.push_back(ledger_.name_index(plan.name));
    position_by_name_ = index_by_name({}, {});
}

// A plan of the schedule takes precedence over one of the platform with the same name.
PlanAccounts::PositionByName PlanAccounts::index_by_name(const PlanSchedule& schedule,
                                                         const std::vector<std::int32_t>& positions) const {
    PositionByName index;
    for (std::size_t i = 0; i < schedule.plans.size(); ++i)
        index.emplace(schedule.plans[i].name, positions[i]);
    for (std::size_t i = 0; i < platform_plans_; ++i) {
        index.emplace(positions_[i].name, static_cast<std::int32_t>(i));
    }
    return index;
}

std::int32_t PlanAccounts::lesser(std::int32_t a, std::int32_t b) const {
    const auto quota_of = [this](std::int32_t position) {
        const auto& plan = positions_[static_cast<std::size_t>(position)];
        constexpr double kNoQuota = std::numeric_limits<double>::infinity();
        return std::pair(plan.rate > 0 ? plan.rate : kNoQuota, plan.burst);
    };
    return quota_of(b) < quota_of(a) ? b : a;
}

std::int32_t PlanAccounts::position_from_terms(AccountId account, Timestamp now, std::int32_t named,
                                               bool& restricted) const {
    const auto position = [named](const PositionByName& among, const std::optional<std::string>& plan) {
        const auto at = plan ? among.find(*plan) : among.end();
        return at == among.end() ? named : at->second;
    };
    const TermSource::Lookup found = term_source_->lookup(account, now);
    restricted = restricted_ || found.restricted;
    if (found.uncertain) return lesser(named, least_position_);
    const std::int32_t active = position(position_by_name_, found.plan);
    if (!restricted) return active;
    return lesser(active,
                  position(other_schedule_ ? other_position_by_name_ : position_by_name_, found.next));
}

std::int32_t PlanAccounts::position_from_schedule(AccountId account, Timestamp now,
                                                  std::int32_t named) const {
    std::int32_t position = named;
    if (schedule_) {
        const auto plan = schedule_->plan_at(account, now);
        if (plan) position = schedule_positions_[static_cast<std::size_t>(*plan)];
    }
    if (other_schedule_) {
        const auto plan = other_schedule_->plan_at(account, now);
        position = lesser(position, plan ? other_positions_[static_cast<std::size_t>(*plan)] : named);
    }
    return position;
}

std::int32_t PlanAccounts::position_of(const policy::RatePlanSettings& plan,
                                       std::vector<policy::RatePlanSettings>& added) const {
    std::size_t at = index_of(plan, positions_);
    if (at == positions_.size()) {
        const std::size_t added_at = index_of(plan, added);
        if (added_at == added.size()) added.push_back(plan);
        at += added_at;
    }
    return static_cast<std::int32_t>(at);
}

void PlanAccounts::append_plans(const std::vector<policy::RatePlanSettings>& added) {
    for (const auto& plan : added) {
        positions_.push_back(plan);
        row_names_.push_back(ledger_.name_index(plan.name));
    }
}

Result<std::vector<policy::RatePlanSettings>> PlanAccounts::apply_schedule(
    std::shared_ptr<const PlanSchedule> schedule) {
    std::vector<policy::RatePlanSettings> added;
    std::vector<std::int32_t> positions;
    std::unordered_map<int, std::int32_t> balance_positions;
    for (const auto& plan : schedule->plans) positions.push_back(position_of(plan, added));
    for (const PrepaidBalance& balance : schedule->balances) {
        const int limit = balance.max_concurrent;
        balance_positions[limit] = position_of(plan_without_quota(limit), added);
    }
    if (!fits(added)) return too_many_plans();
    append_plans(added);
    position_by_name_ = index_by_name(*schedule, positions);
    least_position_ = 0;
    for (const auto& [name, at] : position_by_name_) least_position_ = lesser(least_position_, at);
    schedule_positions_ = std::move(positions);
    balance_positions_ = std::move(balance_positions);
    if (may_use_counter_) balances_.update(schedule->balances);
    schedule_ = std::move(schedule);
    return added;
}

Result<std::vector<policy::RatePlanSettings>> PlanAccounts::restrict(
    bool on, std::shared_ptr<const PlanSchedule> other) {
    std::vector<policy::RatePlanSettings> added;
    std::vector<std::int32_t> positions;
    if (on && other) {
        for (const auto& plan : other->plans) positions.push_back(position_of(plan, added));
    }
    restricted_ = on;
    if (!fits(added)) {
        other_schedule_.reset();
        return too_many_plans();
    }
    append_plans(added);
    other_schedule_ = on ? std::move(other) : nullptr;
    other_position_by_name_ = other_schedule_ ? index_by_name(*other_schedule_, positions) : PositionByName();
    other_positions_ = std::move(positions);
    return added;
}

void PlanAccounts::taken(Timestamp now, proxy::Handle request_handle, policy::Request& request) {
    const auto account = read_account(request.tenant);
    bool restricted = restricted_;
    if (account) {
        request.plan = term_source_ ? position_from_terms(*account, now, request.plan, restricted)
                                    : position_from_schedule(*account, now, request.plan);
    }
    if (request_handle.index >= open_.size()) open_.resize(request_handle.index + 1);
    OpenRequest& open = open_[request_handle.index] = {};
    open.account = account.value_or(UsageLedger::kNoAccount);
    open.plan = request.plan;
    open.restricted = !account || restricted;
    ++open_requests_;
}

void PlanAccounts::charge(Timestamp now, proxy::Handle request_handle, policy::Request& request) {
    OpenRequest& open = open_[request_handle.index];
    if (open.restricted || balances_suspended_) return;
    const auto charge = balances_.charge(now, open.account, request.units);
    if (charge) charge_to_balance(open, *charge, request);
}

void PlanAccounts::charge_to_balance(OpenRequest& open, const PrepaidBalances::Charge& charge,
                                     policy::Request& request) {
    open.charge = charge;
    const int limit = balances_.find(charge.lease)->balance().max_concurrent;
    request.plan = balance_positions_.at(limit);
    request.tenant += '+';                         // a tenant of its own, so the account's quota is not used
    if (limit == 0) request.gateway_set_size = 1;  // nothing is shared, so no demand is reported
}

// In the ledger, usage of a prepaid balance has a row named after the account's plan and the balance.
std::int32_t PlanAccounts::row_name_of(const OpenRequest& open) {
    const std::int32_t plan = row_names_[static_cast<std::size_t>(open.plan)];
    const BalanceLease* lease = open.charge.lease ? balances_.find(open.charge.lease) : nullptr;
    if (!lease) return plan;
    return ledger_.name_index(encode_row_name(
        {ledger_.names()[static_cast<std::size_t>(plan)], lease->balance().id, open.charge.lent}));
}

void PlanAccounts::sent_on(Timestamp now, proxy::Handle request_handle, double units) {
    OpenRequest& open = open_[request_handle.index];
    open.counted = true;
    if (counts_usage_) open.key = ledger_.count(now, open.account, row_name_of(open), units);
}

void PlanAccounts::sending(proxy::Handle request_handle, double units) {
    open_[request_handle.index].leased = units;
    lease_.count(units);
}

void PlanAccounts::settled(proxy::Handle request_handle, double difference) {
    const OpenRequest& open = open_[request_handle.index];
    if (!open.counted) return;
    if (counts_usage_) ledger_.correct(open.key, difference);
    if (open.charge.lease) balances_.correct(open.charge, difference);
}

void PlanAccounts::rejected(Timestamp now, proxy::Handle request_handle) {
    const OpenRequest& open = open_[request_handle.index];
    if (!open.charge.lease && open.account != UsageLedger::kNoAccount) {
        balances_.on_rejected(now, open.account);
    }
}

bool PlanAccounts::counted(Timestamp now, const std::string& name, policy::CounterStatus status,
                           double total) {
    return balances_.on_counter_reply(now, name, status == policy::CounterStatus::kOk, total);
}

void PlanAccounts::over(proxy::Handle request_handle) {
    --open_requests_;
    const OpenRequest& open = open_[request_handle.index];
    if (open.counted) return;
    // The request never reached an endpoint.
    if (open.leased > 0) lease_.count(-open.leased);
    if (open.charge.lease) balances_.refund(open.charge);
}

}  // namespace linnetlead::metering
