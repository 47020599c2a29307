// Owns the tenants known to this gateway, and drives their quotas: creation on the first request, interval
// ends, plan changes, and transfer to another process in a hot restart.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "linnetlead/policy.h"
#include "policy/demand_reports.h"
#include "policy/hard_cap.h"
#include "policy/quota_schedule.h"
#include "policy/quota_shares.h"
#include "policy/shared_counter.h"
#include "policy/task_queue.h"
#include "policy/token_bucket.h"
#include "policy/traffic_statistics.h"

namespace linnetlead::policy {

class QuotaManager {
public:
    struct Context {
        const Settings& settings;
        const QuotaSchedule& schedule;
        const TokenBucket& bucket;
        const HardCap& hard_cap;
        const QuotaShares& shares;
        const TrafficStatistics& statistics;
        const SharedCounter& counter;
        DemandReports& reports;
        TaskQueue& tasks;
        Timestamp hard_caps_empty_at;  // the start of this process
    };
    explicit QuotaManager(const Context& context) : context_(context) {}

    // The tenant of a request, created or switched to the request's plan if needed. Valid until the next
    // event.
    Tenant& tenant_of(const Request& request, Timestamp now);
    // Returns nullptr if the tenant is unknown or has been forgotten.
    Tenant* find(const std::string& name);
    // Handles the end of an interval. Ignores an interval that a change of plan has superseded.
    void on_interval_end(const std::string& name, Timestamp now);
    // Reads the total of the previous interval.
    void on_read_due(const std::string& name, Timestamp now);
    // Releases an attempt of the previous process, which has probably ended by now.
    void on_inherited_attempt_end(const std::string& name);

    // Hot restart: export of the tenants' states, import in the next process, and the end of the hand-over.
    std::vector<QuotaState> states() const;
    void restore(const QuotaState& state, Timestamp now);
    // The hard caps are the next process's.
    void hand_over() { begin_anew(Timestamp::max()); }
    // Forgets all tenants; their hard caps count as spent at this time.
    void begin_anew(Timestamp now);

private:
    void start_interval(const std::string& name, Tenant& tenant, double level, Timestamp now);
    void change_plan(const std::string& name, Tenant& tenant, int plan, Timestamp now);
    void close_interval(const std::string& name, Tenant& tenant, Timestamp now);
    void assume_others_spending(Tenant& tenant, Timestamp now) const;
    void schedule_interval_end(const std::string& name, const Tenant& tenant);

    Context context_;
    std::unordered_map<std::string, Tenant> tenants_;
};

}  // namespace linnetlead::policy
