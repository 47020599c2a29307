// Applies notifications of the endpoint list to the set of known endpoints.
#pragma once

#include <vector>

#include "linnetlead/policy.h"
#include "policy/concurrency_limiter.h"
#include "policy/endpoint_pools.h"
#include "policy/endpoint_set.h"
#include "policy/outlier_detector.h"
#include "policy/task_queue.h"

namespace linnetlead::policy {

class EndpointList {
public:
    struct Context {
        const Settings& settings;
        EndpointSet& endpoints;
        EndpointPools& pools;
        OutlierDetector& detector;
        ConcurrencyLimiter& limiter;
        TaskQueue& tasks;
    };
    explicit EndpointList(const Context& context) : context_(context) {}

    void on_notification(Timestamp now, EndpointListKind kind, const std::vector<EndpointInfo>& entries);

private:
    void apply(const EndpointInfo& entry);

    Context context_;
};

}  // namespace linnetlead::policy
