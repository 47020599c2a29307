#include "admin/hot_restart/hot_restart_accounts.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace linnetlead::hot_restart {

namespace {

using nlohmann::json;
using policy::QuotaState;

constexpr int kMaxOpen = 4096;  // calls of a gateway

// The one list of what goes over, for both ways.
template <typename One, typename Visit>
void each_field(One& account, Visit visit) {
    visit("set", account.gateway_set_size);
    visit("index", account.interval);
    visit("demand", account.demand);
    visit("last", account.last_demand);
    visit("others", account.others_demand);
    visit("tallied", account.others_known);
    visit("untold", account.unreported_demand);
    visit("pass", account.admit_probability);
    visit("room", account.has_capacity);
    visit("level", account.bucket_level);
    visit("granted", account.granted);
    visit("slice", account.quota_share);
    visit("open", account.attempts_in_flight);
    visit("idle", account.idle_intervals);
    visit("ceiling", account.hard_cap_left);
    visit("told", account.current.reported);
    visit("spent", account.current.spent);
    visit("told_spent", account.current.reported_spent);
    visit("seen", account.current.spent_by_others);
    visit("base", account.current.bucket_deficit);
    visit("told_before", account.previous.reported);
    visit("spent_before", account.previous.spent);
    visit("told_spent_before", account.previous.reported_spent);
    visit("seen_before", account.previous.spent_by_others);
    visit("base_before", account.previous.bucket_deficit);
}

}  // namespace

std::string write_accounts(const std::vector<QuotaState>& accounts, std::size_t from,
                           const std::vector<std::string>& plans) {
    json all = json::array();
    const std::size_t to = std::min(accounts.size(), from + kAccountsInAMessage);
    for (std::size_t i = from; i < to; ++i) {
        const QuotaState& account = accounts[i];
        if (static_cast<std::size_t>(account.plan) >= plans.size()) continue;
        json one{{"account", account.tenant}, {"plan", plans[static_cast<std::size_t>(account.plan)]}};
        each_field(account, [&one](const char* name, const auto& value) { one[name] = value; });
        one["looked_at"] = account.sampled_at.count();
        one["level_at"] = account.bucket_updated_at.count();
        one["ceiling_at"] = account.hard_cap_updated_at.count();
        all.push_back(std::move(one));
    }
    return all.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<QuotaState> read_accounts(std::string_view text, const std::vector<std::string>& plans) {
    std::vector<QuotaState> made;
    const json all = json::parse(text, nullptr, false);
    if (!all.is_array()) return made;
    for (const json& one : all) {
        try {
            QuotaState account;
            // Of two plans of one name the later one holds.
            const auto plan = std::find(plans.rbegin(), plans.rend(), one.at("plan").get<std::string>());
            if (plan == plans.rend()) continue;
            account.plan = static_cast<int>(plans.rend() - plan) - 1;
            account.tenant = one.at("account").get<std::string>();
            bool good = !account.tenant.empty();
            each_field(account, [&](const char* name, auto& value) {
                one.at(name).get_to(value);
                if constexpr (std::is_floating_point_v<std::decay_t<decltype(value)>>) {
                    good = good && std::isfinite(value);
                }
            });
            account.bucket_updated_at = policy::Timestamp{one.at("level_at").get<std::int64_t>()};
            account.sampled_at = policy::Timestamp{one.at("looked_at").get<std::int64_t>()};
            account.hard_cap_updated_at = policy::Timestamp{one.at("ceiling_at").get<std::int64_t>()};
            if (good && account.gateway_set_size >= 1 && account.attempts_in_flight >= 0 &&
                account.attempts_in_flight <= kMaxOpen)
                made.push_back(std::move(account));
        } catch (const json::exception&) {
            // of another kind: it starts anew here
        }
    }
    return made;
}

}  // namespace linnetlead::hot_restart
