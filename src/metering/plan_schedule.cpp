#include "metering/plan_schedule.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "config/operator_config/document.h"
#include "config/setting_words.h"

namespace linnetlead::metering {

std::optional<std::int32_t> PlanSchedule::plan_at(AccountId account, Timestamp now) const {
    // The last of the account's terms that has begun.
    auto at = std::upper_bound(terms.begin(), terms.end(), std::pair(account, now),
                               [](const std::pair<AccountId, Timestamp>& wanted, const Term& term) {
                                   return wanted < std::pair(term.account, term.since);
                               });
    if (at == terms.begin()) return std::nullopt;
    --at;
    if (at->account != account || now >= at->until) return std::nullopt;
    return at->plan;
}

std::optional<AccountId> read_account(std::string_view text) {
    constexpr std::size_t kDigits = 16;
    constexpr AccountId kMaxAccount = (AccountId{1} << 33) - 1;
    if (text.size() != kDigits) return std::nullopt;
    const auto number = config::parse<AccountId>(text, kDigits);
    return number && *number <= kMaxAccount ? number : std::nullopt;
}

std::string write_account(AccountId account) {
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(account));
    return text;
}

Timestamp time_of_seconds(double seconds) { return std::chrono::milliseconds(std::llround(seconds * 1e3)); }

std::optional<Timestamp> read_instant(std::string_view text) {
    const auto seconds = operator_config::read_instant(text);
    return seconds ? std::optional(time_of_seconds(*seconds)) : std::nullopt;
}

std::string write_instant(Timestamp time) {
    return operator_config::write_instant(std::chrono::duration<double>(time).count());
}

}  // namespace linnetlead::metering
