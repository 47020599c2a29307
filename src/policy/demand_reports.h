// Reports a tenant's demand and use to the shared counter, and updates the tenant's token bucket and quota
// share from the returned totals.
#pragma once

#include <string>

#include "linnetlead/policy.h"
#include "policy/demand_count.h"
#include "policy/quota_schedule.h"
#include "policy/quota_shares.h"
#include "policy/shared_counter.h"
#include "policy/task_queue.h"
#include "policy/token_bucket.h"
#include "policy/traffic_statistics.h"

namespace linnetlead::policy {

class DemandReports {
public:
    struct Context {
        const Settings& settings;
        const QuotaSchedule& schedule;
        const TokenBucket& bucket;
        const QuotaShares& shares;
        const TrafficStatistics& statistics;
        SharedCounter& counter;
        TaskQueue& tasks;
    };
    explicit DemandReports(const Context& context) : context_(context) {}

    // Reports an interval that ends now, if its demand is large enough, and schedules the read of its total.
    void report_interval(const std::string& name, Tenant& tenant, Timestamp now);
    // Adds the unreported demand and use to the count of the current interval. Returns false if no call was
    // made.
    bool report(const std::string& name, Tenant& tenant, Timestamp now, RequestId waiting_request = 0);
    // Reads the total of the previous interval, unless that was already done.
    void read_total(const std::string& name, Tenant& tenant, Timestamp now);
    // Handles the reply to a counter call: schedules lost amounts for the next report, and updates the
    // bucket.
    void on_total(Tenant& tenant, const CounterCall& call, CounterStatus status, double total, Timestamp now);

private:
    double interval_quota(const Tenant& tenant) const;
    DemandCount count_of(const Tenant& tenant) const;
    bool is_complete(Tenant& tenant, IntervalReport& report, const CounterCall& call, CounterStatus status,
                     double total) const;
    void update_bucket(Tenant& tenant, IntervalReport& report, const CounterCall& call, double total,
                       Timestamp now);

    Context context_;
};

}  // namespace linnetlead::policy
