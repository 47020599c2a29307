// Routes events to the rules of the decision module. Each rule has its own files in this directory.
#include "linnetlead/policy.h"

#include <utility>

#include "policy/admission_control.h"
#include "policy/attempt_result_recorder.h"
#include "policy/attempt_rules.h"
#include "policy/attempt_timeouts.h"
#include "policy/concurrency_limiter.h"
#include "policy/concurrency_quota.h"
#include "policy/demand_reports.h"
#include "policy/endpoint_list.h"
#include "policy/endpoint_pools.h"
#include "policy/endpoint_set.h"
#include "policy/hard_cap.h"
#include "policy/load_balancer.h"
#include "policy/outlier_detector.h"
#include "policy/probe_pool.h"
#include "policy/quota_manager.h"
#include "policy/quota_schedule.h"
#include "policy/quota_shares.h"
#include "policy/random_source.h"
#include "policy/request_lifecycle.h"
#include "policy/reservations.h"
#include "policy/retry_after.h"
#include "policy/retry_budget.h"
#include "policy/sampled_reads.h"
#include "policy/shared_counter.h"
#include "policy/slow_start.h"
#include "policy/task_queue.h"
#include "policy/token_bucket.h"
#include "policy/traffic_statistics.h"

namespace linnetlead::policy {

namespace {

Settings checked(Settings settings) {
    check_settings(settings);
    return settings;
}

}  // namespace

// Owns the rules and their shared state. Members are declared in the order of their dependencies.
class Policy::Impl {
public:
    Impl(Settings settings, std::uint64_t seed, Timestamp now, Actions& actions)
        : settings_(checked(std::move(settings))), actions_(actions), random_(seed), started_(now) {
        if (settings_.list_is_polled) actions_.watch_endpoints();
    }
    ~Impl() = default;
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    // Runs the due tasks, then handles the event, then requests the next wake-up.
    template <typename Event>
    void handle(Timestamp now, Event event) {
        while (const auto task = tasks_.take_due(now)) run(*task, now);
        event();
        if (const auto wake = tasks_.next_wake(now)) actions_.wake(*wake);
    }

    void add_plans(const std::vector<RatePlanSettings>& more) {
        settings_.plans.insert(settings_.plans.end(), more.begin(), more.end());
        check_settings(settings_);
    }

    RequestLifecycle& requests() { return requests_; }
    QuotaManager& tenants() { return tenants_; }
    EndpointList& endpoint_list() { return endpoint_list_; }
    ProbePool& probes() { return probes_; }
    std::size_t ejected_count(Timestamp now) const { return detector_.ejected_count(endpoints_, now); }

private:
    void run(const Task& task, Timestamp now) {
        switch (task.kind) {
            case TaskKind::kEndInterval:
                return tenants_.on_interval_end(task.name, now);
            case TaskKind::kReadCount:
                return tenants_.on_read_due(task.name, now);
            case TaskKind::kWatchEndpoints:
                return actions_.watch_endpoints();
            case TaskKind::kReleaseEndpoint:
                return endpoints_.release(task.name, task.sent_at);
            case TaskKind::kReleaseInheritedAttempt:
                return tenants_.on_inherited_attempt_end(task.name);
        }
    }

    Settings settings_;
    Actions& actions_;
    RandomSource random_;
    Timestamp started_;
    TaskQueue tasks_;
    TrafficStatistics statistics_{settings_.classes.size()};

    QuotaSchedule schedule_{settings_};
    TokenBucket bucket_{settings_, schedule_};
    HardCap hard_cap_{schedule_};
    QuotaShares shares_{schedule_, bucket_};
    SharedCounter counter_{settings_, schedule_, actions_};
    DemandReports reports_{{settings_, schedule_, bucket_, shares_, statistics_, counter_, tasks_}};
    SampledReads sampled_reads_{settings_, schedule_, counter_, random_};
    ConcurrencyQuota concurrency_quota_{schedule_, statistics_, random_};
    AdmissionControl admission_{schedule_, hard_cap_, concurrency_quota_, counter_, random_};
    QuotaManager tenants_{{settings_, schedule_, bucket_, hard_cap_, shares_, statistics_, counter_, reports_,
                           tasks_, started_}};

    EndpointSet endpoints_;
    EndpointPools pools_{endpoints_, random_};
    OutlierDetector detector_{settings_};
    ConcurrencyLimiter limiter_{settings_, endpoints_, statistics_, random_};
    EndpointList endpoint_list_{{settings_, endpoints_, pools_, detector_, limiter_, tasks_}};
    SlowStart slow_start_{settings_};
    ProbePool probes_{{settings_, limiter_, slow_start_, endpoints_, pools_, random_, actions_}};

    AttemptRules rules_{settings_, endpoints_};
    AttemptTimeouts timeouts_{settings_, statistics_};
    LoadBalancer balancer_{
        {settings_, detector_, slow_start_, rules_, limiter_, endpoints_, pools_, probes_, random_}};
    Reservations reservations_{
        {settings_, schedule_, bucket_, hard_cap_, counter_, reports_, admission_, limiter_, random_}};
    AttemptResultRecorder results_{statistics_, timeouts_, detector_, limiter_};
    RetryBudget retry_budget_{settings_};
    RetryAfter retry_after_{settings_, limiter_, statistics_, random_};
    RequestLifecycle requests_{
        {settings_, schedule_,      bucket_,       hard_cap_,    rules_,   timeouts_,  statistics_, counter_,
         reports_,  sampled_reads_, reservations_, admission_,   tenants_, endpoints_, limiter_,    balancer_,
         probes_,   results_,       retry_budget_, retry_after_, tasks_,   actions_}};
};

Policy::Policy(Settings settings, std::uint64_t seed, Timestamp now, Actions& actions)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now, actions)) {}
Policy::~Policy() = default;

void Policy::on_request(Timestamp now, const Request& request) {
    impl_->handle(now, [&] { impl_->requests().on_request(request, now); });
}
void Policy::on_stream_started(Timestamp now, RequestId id, int attempt) {
    impl_->handle(now, [&] { impl_->requests().on_stream_started(id, attempt); });
}
void Policy::on_result(Timestamp now, const AttemptResult& result) {
    impl_->handle(now, [&] { impl_->requests().on_result(result, now); });
}
void Policy::on_withdrawn(Timestamp now, RequestId id) {
    impl_->handle(now, [&] { impl_->requests().on_client_disconnected(id, now); });
}
void Policy::on_counter_reply(Timestamp now, const std::string& name, CounterStatus status, double total) {
    impl_->handle(now, [&] { impl_->requests().on_counter_reply(name, status, total, now); });
}
void Policy::on_endpoint_list(Timestamp now, EndpointListKind kind,
                              const std::vector<EndpointInfo>& entries) {
    impl_->handle(now, [&] { impl_->endpoint_list().on_notification(now, kind, entries); });
}
void Policy::on_probe_result(Timestamp now, const EndpointId& endpoint, Outcome outcome, const LoadReport&) {
    impl_->handle(now, [&] { impl_->probes().on_result(now, endpoint, outcome); });
}
void Policy::on_wake(Timestamp now) {
    impl_->handle(now, [] {});
}
void Policy::on_plans_added(Timestamp now, const std::vector<RatePlanSettings>& more) {
    impl_->handle(now, [&] { impl_->add_plans(more); });
}
std::vector<QuotaState> Policy::quota_states() const { return impl_->tenants().states(); }
void Policy::restore_quota(Timestamp now, const QuotaState& state) {
    impl_->handle(now, [&] { impl_->tenants().restore(state, now); });
}
void Policy::on_handed_over() { impl_->tenants().hand_over(); }
void Policy::on_hand_over_failed(Timestamp now) { impl_->tenants().begin_anew(now); }
std::size_t Policy::ejected_count(Timestamp now) const { return impl_->ejected_count(now); }

}  // namespace linnetlead::policy
