#include "accounts.h"

#include <algorithm>
#include <utility>

namespace linnetlead::plans {

namespace {

bool same(const topazcrank::PlanSettings& a, const topazcrank::PlanSettings& b) {
    return a.name == b.name && a.tag == b.tag && a.rate == b.rate && a.burst == b.burst &&
           a.max_open == b.max_open && a.price == b.price && a.over_worth == b.over_worth &&
           a.over_cost == b.over_cost;
}

}  // namespace

Accounts::Accounts(const std::vector<topazcrank::PlanSettings>& known, Span period, Ledger::Limits limits,
                   double lease_block)
    : ledger(period, limits), lease(lease_block), positions_(known) {
    for (const auto& plan : positions_) name_.push_back(ledger.plan(plan.name));
}

bool Accounts::take(std::shared_ptr<const PlanBook> book, std::vector<topazcrank::PlanSettings>& more) {
    std::vector<std::int32_t> position;
    more.clear();
    for (const auto& plan : book->plans) {
        std::size_t at = 0;
        while (at < positions_.size() && !same(positions_[at], plan)) ++at;
        if (at == positions_.size()) {
            std::size_t behind = 0;
            while (behind < more.size() && !same(more[behind], plan)) ++behind;
            if (behind == more.size()) more.push_back(plan);
            at += behind;
        }
        position.push_back(static_cast<std::int32_t>(at));
    }
    if (positions_.size() + more.size() > most_positions) return false;
    for (const auto& plan : more) {
        positions_.push_back(plan);
        name_.push_back(ledger.plan(plan.name));
    }
    position_ = std::move(position);
    book_ = std::move(book);
    return true;
}

void Accounts::taken(Time now, core::Handle call, topazcrank::Request& request) {
    const auto account = read_account(request.customer);
    if (book_ && account) {
        if (const auto plan = book_->plan_at(*account, now)) {
            request.plan = position_[static_cast<std::size_t>(*plan)];
        }
    }
    if (call.index >= open_.size()) open_.resize(call.index + 1);
    open_[call.index] = {account.value_or(Ledger::no_account), request.plan, false, 0, {}};
    ++open_calls_;
}

void Accounts::sent_on(Time now, core::Handle call, double units) {
    Open& open = open_[call.index];
    open.counted = true;
    open.key = ledger.sent(now, open.account, name_[static_cast<std::size_t>(open.plan)], units);
}

void Accounts::sending(core::Handle call, double units) {
    open_[call.index].leased = units;
    lease.sent(units);
}

void Accounts::settled(core::Handle call, double difference) {
    const Open& open = open_[call.index];
    if (open.counted) ledger.settled(open.key, difference);
}

void Accounts::over(core::Handle call) {
    --open_calls_;
    const Open& open = open_[call.index];
    if (!open.counted && open.leased > 0) lease.sent(-open.leased);  // it never reached a worker
}

}  // namespace linnetlead::plans
