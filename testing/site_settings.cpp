#include "testing/site_settings.h"

#include <nlohmann/json.hpp>

namespace linnetlead::test_support {

using nlohmann::json;

json settings_json(const policy::Settings& s, bool peers) {
    constexpr const char* kRepeats[] = {"retryable", "dedup", "fragile"};
    json classes = json::array();
    for (const auto& traffic_class : s.classes) {
        classes.push_back({{"name", traffic_class.name},
                           {"idempotency", kRepeats[static_cast<int>(traffic_class.idempotency)]},
                           {"key_scope", "all"},
                           {"dedup_window", traffic_class.key_window.count()},
                           {"aim", traffic_class.latency_objective.count()},
                           {"deadline", traffic_class.deadline.count()},
                           {"worth", traffic_class.priority_weight},
                           {"late_worth", traffic_class.late_priority_weight}});
    }
    const auto& plan = s.plans.front();
    return {{"balancers", s.gateways},
            {"me", s.self},
            {"zone", s.zone},
            {"quantum", s.tick.count()},
            {"discovery", s.list_is_polled ? "on_request" : "pushed"},
            {"classes", classes},
            {"tariffs", {{{"name", plan.name}, {"units_per_s", plan.rate}, {"most_at_once", plan.burst}}}},
            {"extra",
             {{"may_count", s.may_use_counter},
              {"count_limit", s.counter_timeout.count()},
              {"units_top", s.max_units}}},
            {"limits",
             {{"cancel", true},
              {"may_probe", true},
              {"retry_after", true},
              {"max_retry_after", s.max_retry_after.count()},
              {"max_attempts", s.max_attempts},
              {"peers", peers},
              {"conn_idle", 30000000000},
              {"connect_timeout", 250000000}}},
            {"report", {{"how", "probe"}, {"fields", {"concurrent", "depth"}}}},
            {"guarantees",
             {{"answer_slack", 16000000},
              {"cold_from", s.slow_start_min_share},
              {"ramp_time", s.slow_start_window.count()},
              {"fall_multiple", s.overload_multiple},
              {"fall", s.overload_window.count()},
              {"stop_sending_within", 500000000}}}};
}

}  // namespace linnetlead::test_support
