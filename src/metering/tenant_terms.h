// Encodes and decodes an account's terms as one keyed resource of the distributed configuration:
// "tenant/HEX16" with the value {"terms":[{"plan":NAME,"since":S,"until":S}]}, instants in seconds of Unix
// time. There are too many accounts to hold all terms decoded, so a value is decoded whenever the account
// sends a request.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "config/operator_config/resources.h"
#include "metering/plan_schedule.h"

namespace linnetlead::metering {

constexpr std::string_view kTenantPrefix = "tenant/";
constexpr std::size_t kMaxTenantTerms = 16;

struct NamedTerm {
    std::string plan;
    Timestamp since{};
    Timestamp until = kForever;
};

std::string tenant_key(AccountId account);
// Nothing if the key is not a tenant's.
std::optional<AccountId> account_of_key(std::string_view key);
std::string encode_tenant_terms(const std::vector<NamedTerm>& terms);
// Returns the terms sorted by start; no two overlap. kInvalidArgument: the value is not a tenant's.
Result<std::vector<NamedTerm>> decode_tenant_terms(std::string_view value);
// The active plan's name; nothing if the value has no term at `now` or is not a tenant's.
std::optional<std::string> plan_at(std::string_view value, Timestamp now);

// The terms of all accounts of a schedule, including those from its lists of accounts.
operator_config::Resources tenant_resources(const PlanSchedule& schedule);

}  // namespace linnetlead::metering
