// Reads a plan schedule from the operators' document and the lists of accounts that it names.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "config/operator_config/document.h"
#include "config/settings.h"
#include "metering/plan_schedule.h"

namespace linnetlead::metering {

constexpr std::size_t kMaxPlans = 256;
constexpr std::size_t kMaxTerms = 1'000'000;

// `file`: the document's path, for problems and for relative paths of lists of accounts. `site`: its platform
// plans may be named too; null: only the document's own plans. Blocks while it reads the lists, so the event
// loop must not read a long one. A problem states the file, line and column.
std::variant<std::shared_ptr<const PlanSchedule>, operator_config::Problem> read_plan_schedule(
    const operator_config::Value& document, const std::string& file, const config::Site* site);

}  // namespace linnetlead::metering
