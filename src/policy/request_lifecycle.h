// The lifecycle of a request in the decision module: arrival, admission, attempts, answer. Called by Policy.
#pragma once

#include <string>
#include <unordered_map>

#include "linnetlead/policy.h"
#include "policy/admission_control.h"
#include "policy/attempt_result_recorder.h"
#include "policy/attempt_rules.h"
#include "policy/attempt_timeouts.h"
#include "policy/concurrency_limiter.h"
#include "policy/demand_reports.h"
#include "policy/endpoint_set.h"
#include "policy/hard_cap.h"
#include "policy/load_balancer.h"
#include "policy/open_request.h"
#include "policy/probe_pool.h"
#include "policy/quota_manager.h"
#include "policy/quota_schedule.h"
#include "policy/reservations.h"
#include "policy/retry_after.h"
#include "policy/retry_budget.h"
#include "policy/sampled_reads.h"
#include "policy/shared_counter.h"
#include "policy/task_queue.h"
#include "policy/token_bucket.h"
#include "policy/traffic_statistics.h"

namespace linnetlead::policy {

class RequestLifecycle {
public:
    struct Context {
        const Settings& settings;
        const QuotaSchedule& schedule;
        const TokenBucket& bucket;
        const HardCap& hard_cap;
        const AttemptRules& rules;
        const AttemptTimeouts& timeouts;
        TrafficStatistics& statistics;
        SharedCounter& counter;
        DemandReports& reports;
        SampledReads& sampled_reads;
        Reservations& reservations;
        AdmissionControl& admission;
        QuotaManager& tenants;
        EndpointSet& endpoints;
        ConcurrencyLimiter& limiter;
        LoadBalancer& balancer;
        ProbePool& probes;
        AttemptResultRecorder& results;
        RetryBudget& retry_budget;
        RetryAfter& retry_after;
        TaskQueue& tasks;
        Actions& actions;
    };
    explicit RequestLifecycle(const Context& context) : context_(context) {}

    void on_request(const Request& request, Timestamp now);
    void on_counter_reply(const std::string& count, CounterStatus status, double total, Timestamp now);
    void on_stream_started(RequestId id, int attempt);
    void on_result(const AttemptResult& result, Timestamp now);
    void on_client_disconnected(RequestId id, Timestamp now);

private:
    OpenRequest* find(RequestId id);
    Attempt* find_attempt(OpenRequest& request, int attempt) const;
    bool is_valid(const Request& request) const;
    // Reports the request to the counter if its tenant's plan requires it. Returns true if the request waits
    // for the reply.
    bool ask_counter(Tenant& tenant, OpenRequest& request, RequestId id, Timestamp now);
    // Admits or rejects a request that does not wait for the counter.
    void decide(RequestId id, OpenRequest& request, Timestamp now);
    void send(RequestId id, OpenRequest& request, Endpoint& endpoint, Timestamp now);
    void release_endpoint(const Attempt& attempt, bool timed_out_under_load, Timestamp now);
    void apply_actual_units(const OpenRequest& request, const AttemptResult& result, Tenant& tenant,
                            Timestamp now);
    // Sends another attempt if that is allowed and useful, else answers the request. is_exempt_from_budget:
    // the retry takes no token from the retry budget.
    void retry_or_answer(RequestId id, OpenRequest& request, bool is_exempt_from_budget, Timestamp now);
    void answer(RequestId id, OpenRequest& request, bool by_concurrency_quota);
    // Removes a request that is answered and has no attempt in flight.
    void forget_if_finished(RequestId id, OpenRequest& request, Timestamp now);

    Context context_;
    std::unordered_map<RequestId, OpenRequest> requests_;
};

}  // namespace linnetlead::policy
