#include "metering/ledger_schema.h"

#include "metering/plan_schedule.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace linnetlead::metering {

std::int64_t row_checksum(AccountId account, const std::string& row_name, std::int64_t period_ms,
                          const Usage& usage, const Usage& exported) {
    std::string text = write_account(account) + row_name;
    for (const std::int64_t number : {period_ms, usage.requests, usage.estimated, usage.corrected,
                                      exported.requests, exported.estimated, exported.corrected}) {
        text += ',' + std::to_string(number);
    }
    return static_cast<std::int64_t>(XXH64(text.data(), text.size(), 0));
}

}  // namespace linnetlead::metering
