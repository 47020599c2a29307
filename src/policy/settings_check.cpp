// Validation of Settings. Errors name the setting by its external name.
#include <cmath>
#include <stdexcept>

#include "linnetlead/policy.h"

namespace linnetlead::policy {

namespace {

void require(bool is_valid, const std::string& setting) {
    if (!is_valid) throw std::invalid_argument("invalid setting: " + setting);
}

}  // namespace

void check_settings(const Settings& settings) {
    require(!settings.classes.empty() && !settings.plans.empty(), "classes, plans");
    require(settings.self >= 0 && settings.self < settings.gateways, "self, gateways");
    require(settings.max_attempts >= 1, "most_attempts");
    require(settings.slow_start_min_share > 0 && settings.slow_start_min_share <= 1, "cold_from");
    require(settings.counter_timeout >= Duration{0}, "count_timeout");
    for (const TrafficClassSettings& c : settings.classes) {
        require(c.latency_objective > Duration{0}, "classes.aim");
        require(c.deadline >= c.latency_objective, "classes.deadline");
        require(c.key_window >= Duration{0}, "classes.key_window");
    }
    for (const RatePlanSettings& p : settings.plans) {
        require(p.rate >= 0 && std::isfinite(p.rate), "plans.rate");
        require(p.burst >= 0 && std::isfinite(p.burst), "plans.burst");
        require(p.max_concurrent >= 0, "plans.max_open");
        require(p.hard_cap_rate >= 0 && std::isfinite(p.hard_cap_rate), "plans.ceiling_rate");
        require(p.hard_cap_burst >= 0, "plans.ceiling_burst");
    }
}

}  // namespace linnetlead::policy
