#include "metering/usage_settings.h"

#include <algorithm>

namespace linnetlead::metering {

UsageSettings read_usage_settings(const operator_config::Value& document) {
    // A period of 0 would divide by zero, and a batch interval of 0 would make batches without end.
    constexpr std::chrono::nanoseconds kShortestPeriod = std::chrono::seconds(1);
    constexpr std::chrono::nanoseconds kShortestBatchInterval = std::chrono::milliseconds(100);
    UsageSettings usage;
    const operator_config::Value* list = document.find("usages");
    if (!list || list->items.empty()) return usage;
    const operator_config::Value& from = list->items.front();
    usage.enabled = true;
    const auto read_text = [&](const char* name, std::string& into) {
        if (const auto* value = from.find(name)) into = value->text;
    };
    const auto read_time = [&](const char* name, std::chrono::nanoseconds& into) {
        if (const auto* value = from.find(name)) into = operator_config::time_of(*value);
    };
    read_text("ledger", usage.ledger_path);
    read_text("receiver", usage.receiver);
    read_text("files", usage.batch_directory);
    read_time("period", usage.period);
    read_time("every", usage.batch_interval);
    read_time("keep", usage.retention);
    if (const auto* lease = from.find("lease")) usage.lease_units = lease->number;
    usage.period = std::max(usage.period, kShortestPeriod);
    usage.batch_interval = std::max(usage.batch_interval, kShortestBatchInterval);
    return usage;
}

}  // namespace linnetlead::metering
