// The decision module of a rate-limiting gateway: which requests are admitted, where each attempt goes, what
// is retried, and what is rejected.
//
// One Policy makes the decisions of one gateway. It does no I/O and reads no clock: the host program reports
// each event with its time, and carries out the Actions that the module calls in return. The same settings,
// seed and events give the same actions. Each rule has its own files in src/policy/.
//
// Time: all timestamps count from one epoch that the gateways share, since quota intervals of all gateways
// have to coincide. Units: the quota's measure of a request's cost, 1 by default.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace linnetlead::policy {

using Duration = std::chrono::nanoseconds;
using Timestamp = std::chrono::nanoseconds;  // since the epoch shared by all gateways
using RequestId = std::uint64_t;             // unique among unfinished requests
using EndpointId = std::string;              // opaque to the module

// A set of endpoint pools, one bit per pool.
using PoolSet = std::uint32_t;
constexpr PoolSet kAllPools = ~PoolSet{0};

// Which requests may be retried after an attempt that may have run.
enum class Idempotency {
    kIdempotent,     // always
    kKeyed,          // within the key window, at endpoints that know the key (KeyScope)
    kNonIdempotent,  // never
};
// The endpoints that recognise a key: all, those in the zone of the first attempt's endpoint, or those in its
// zone and cell.
enum class KeyScope { kAll, kZone, kCell };
// How endpoints report their load: never, with each answer, or with the answer to a probe.
enum class ReportSource { kNone, kAnswers, kProbe };
// kDraining: gets no new attempts and finishes its current ones. kRemoved: no longer listed.
enum class EndpointState { kInService, kDraining, kRemoved };
// How an attempt, or a probe, ended.
enum class Outcome {
    kOk,
    kError,          // answered with an error
    kRejected,       // by the endpoint, before it ran
    kTimeout,        // no answer within the timeout passed to send()
    kConnectFailed,  // not sent completely, so it has not run
    kReset,          // the connection broke
    kCancelled,      // by this gateway
    kNotSent,        // dropped before it was sent, because it was no longer needed
};
// Whether the outcome proves that the attempt has not run. After any other outcome it may have run.
constexpr bool proves_not_run(Outcome outcome) {
    return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
           outcome == Outcome::kNotSent;
}
// Result of a call to the shared counter. After a timeout the amount may have been added.
enum class CounterStatus { kOk, kOverloaded, kConnectFailed, kTimeout };
// The contents of a notification of the endpoint list.
enum class EndpointListKind {
    kChanges,   // new and changed entries
    kComplete,  // all entries; endpoints that are missing are removed
    kCached,    // all entries, possibly out of date
    kFailed,    // no entries: the subscription has failed, and the last list stays valid
};

// Settings of a traffic class.
struct TrafficClassSettings {
    std::string name;
    Duration latency_objective{};  // an answer within it has the full weight; must be above 0
    Duration deadline{};           // at least the objective
    Idempotency idempotency = Idempotency::kNonIdempotent;
    KeyScope key_scope = KeyScope::kAll;  // of a keyed class
    Duration key_window{};                // of a keyed class: how long an endpoint recognises a key
    double priority_weight = 1;  // of an answer within the objective; used to choose what is rejected first
    double late_priority_weight = 0;  // of an answer after the objective; 0: attempts end at the objective
};

// A rate plan. Its quotas apply to each tenant, over all gateways together.
struct RatePlanSettings {
    std::string name;
    std::string tag;   // part of the names of its counts; unique among the plans, the same at all gateways
    double rate = 0;   // units per second; 0: no quota on the rate
    double burst = 0;  // units: capacity of the token bucket
    int max_concurrent = 0;     // attempts in flight; 0: no limit
    double hard_cap_rate = 0;   // units per second, never exceeded; 0: no hard cap
    double hard_cap_burst = 0;  // units
    // For accounting only; no decision depends on the following fields.
    double hard_cap_slack = 0;
    double price = 1;
    double over_quota_weight = 0;
    double over_quota_cost = 0;
};

struct Settings {
    std::vector<TrafficClassSettings> classes;  // at least one
    std::vector<RatePlanSettings> plans;        // at least one
    int gateways = 1;                           // number of gateways that share limits and budgets
    int self = 0;                               // index of this gateway, from 0
    std::string zone;  // of this gateway; endpoints of the same zone are preferred slightly

    // Resolution of the clock. Used as a margin before keys expire and for forwarding answers.
    Duration tick{};

    // The shared counter. Without it, each gateway assumes that the others spend their quota shares.
    bool may_use_counter = false;
    // Timeout of one counter call. A request with less than two of them left doesn't wait for the counter.
    Duration counter_timeout{};
    double max_units = 1;  // largest number of units of one request

    bool may_probe = false;       // whether Actions::probe() may be called
    bool may_hedge = false;       // whether the rules allow concurrent attempts; none are sent at present
    int max_attempts = 1;         // per request, including the first one
    bool retry_after = false;     // whether a rejection may tell the client how long to wait
    Duration max_retry_after{};   // upper bound of that time
    bool list_is_polled = false;  // watch_endpoints() must be called at the start and after each failure

    // Slow start: the share of its capacity that an endpoint gets when it starts. It grows to 1 over the
    // window.
    double slow_start_min_share = 1;  // above 0, at most 1
    Duration slow_start_window{};     // 0: no slow start
    // Multiple of its capacity at which an endpoint fails. Below 3 the initial share is smaller.
    double overload_multiple = 1;

    // Used by host programs only; no decision depends on the following fields.
    double counter_call_price = 0;
    bool may_cancel = false;
    Duration list_ask_within{};
    ReportSource reports = ReportSource::kNone;
    Duration overload_window{};
    double waste_price = 0;
    double late_fail_price = 0;
    double cross_zone_price = 0;
};

// Throws std::invalid_argument that names the invalid setting.
void check_settings(const Settings& settings);

struct Request {
    RequestId id = 0;
    int traffic_class = 0;  // index in Settings::classes
    int plan = 0;           // index in Settings::plans
    std::string tenant;
    Timestamp due{};  // deadline for the answer
    double units = 1;
    int gateway_set_size = 1;      // number of gateways that receive this tenant's requests
    int gateway_set_start = 0;     // index of the first of them; no decision depends on it
    bool is_client_retry = false;  // no decision depends on it
    PoolSet pools = kAllPools;     // for the first attempt
    // For further attempts, and for the first if no endpoint of `pools` is usable.
    PoolSet fallback = kAllPools;
};

// Load metrics reported by an endpoint. No decision depends on them at present.
struct LoadReport {
    std::optional<double> in_flight;
    std::optional<double> queued;
    std::optional<double> utilisation;  // 0 to 1
    std::optional<double> service_ms;
    std::optional<double> per_second;
    std::optional<double> errors_per_second;
};

struct AttemptResult {
    RequestId id = 0;
    int attempt = 0;  // from 0, in the order of send()
    EndpointId endpoint;
    Outcome outcome = Outcome::kOk;
    bool concluded = false;   // the request has been answered to the client
    Duration latency{};       // since the attempt was sent
    double actual_units = 0;  // stated by the answer; 0: not stated
    LoadReport report;
};

struct EndpointInfo {
    EndpointId id;
    std::string zone;     // a failure domain
    std::string kind;     // another failure domain
    int cell = 0;         // within the zone; see KeyScope
    double weight = 1;    // relative share of the attempts
    Timestamp started{};  // start of its process; 0: long ago
    EndpointState state = EndpointState::kInService;
    PoolSet pools = kAllPools;  // pools of this endpoint
};

// One gateway's view of a tenant's count on the shared counter in one interval. In units, unless noted
// otherwise.
struct IntervalReport {
    double reported = 0;         // this gateway's part of the count, in the counter's encoding
    double spent = 0;            // at this gateway; negative if answers state fewer units than announced
    double reported_spent = 0;   // part of `spent` that is included in the count
    double spent_by_others = 0;  // by the other gateways, as last read
    // The bucket's deficit at the interval's start, if this gateway reports it; else -1.
    double bucket_deficit = -1;
};

// A gateway's state of a tenant's quota, transferred to the next process in a hot restart. In units, unless
// noted otherwise.
struct QuotaState {
    std::string tenant;
    int plan = 0;  // index in Settings::plans
    int gateway_set_size = 1;
    std::int64_t interval = 0;  // index of the current one
    double demand = 0;          // at this gateway in the current interval, including rejected requests
    double last_demand = 0;     // in the previous interval; expected again in the current one
    double others_demand = 0;   // of the other gateways, as last read
    bool others_known = false;
    double unreported_demand = 0;  // of a sampled tenant; not added to the counter yet
    IntervalReport current;
    IntervalReport previous;
    double admit_probability = 1;  // of a sampled tenant, as last read
    bool has_capacity = true;      // of a sampled tenant under its limit on concurrent attempts, as last read
    Timestamp sampled_at{};        // time of the last read
    // Token bucket shared by all gateways. May exceed the burst until the other gateways' use is known.
    double bucket_level = 0;
    Timestamp bucket_updated_at{};
    double granted = 0;          // to all gateways in the current interval
    double quota_share = 0;      // this gateway's share of `granted`
    int attempts_in_flight = 0;  // from this gateway
    int idle_intervals = 0;      // in a row
    double hard_cap_left = 0;    // in this gateway's part of the hard cap's bucket
    Timestamp hard_cap_updated_at{};
};

// The actions that the host program carries out. They are called while an event is being handled. They must
// not call back into the Policy; their results are reported as later events.
class Actions {
public:
    virtual ~Actions() = default;
    // Sends an attempt. Its result is reported with on_result(), as kTimeout after the given time.
    virtual void send(RequestId id, const EndpointId& endpoint, Duration timeout) = 0;
    // Answers with a rejection; a retry by the client does no harm. retry_after: how long the client is asked
    // to wait; 0: no advice.
    virtual void reject(RequestId id, Duration retry_after) = 0;
    // Answers with a failure; the request may have run.
    virtual void fail(RequestId id) = 0;
    // Cancels an attempt. Not called at present.
    virtual void cancel(RequestId id, int attempt) = 0;
    // Checks an endpoint's health. The result is reported with on_probe_result().
    virtual void probe(const EndpointId& endpoint) = 0;
    // Adds an amount, possibly 0 or negative, to a named count. The counter keeps the count for at least
    // `life`. The total is reported with on_counter_reply(), for each count in the order of the calls.
    virtual void add_to_counter(const std::string& name, double amount, Duration life) = 0;
    // Requests a call of on_wake() at this time. Only the earliest outstanding request has to be served: the
    // module asks again after it.
    virtual void wake(Timestamp at) = 0;
    // Subscribes to the endpoint list. Called only with Settings::list_is_polled.
    virtual void watch_endpoints() = 0;
    // Writes a log line. Not called at present.
    virtual void log(const std::string& text) = 0;
};

// The decisions of one gateway. Not thread-safe; shares no state with other instances. Events must be
// reported in chronological order. Events for unknown requests, endpoints or counts are ignored.
class Policy {
public:
    // Throws std::invalid_argument for invalid settings (check_settings). The seed determines all random
    // decisions. actions must outlive the Policy.
    Policy(Settings settings, std::uint64_t seed, Timestamp now, Actions& actions);
    ~Policy();
    Policy(const Policy&) = delete;
    Policy& operator=(const Policy&) = delete;

    // A request has arrived. It is answered exactly once: by a concluded result, reject() or fail().
    void on_request(Timestamp now, const Request& request);
    // The first bytes of an attempt's answer are being sent to the client. Its result follows after the last
    // ones.
    void on_stream_started(Timestamp now, RequestId id, int attempt);
    // An attempt has ended. Reported once for each send().
    void on_result(Timestamp now, const AttemptResult& result);
    // The client has disconnected: the request needs no answer. Results of its attempts are still reported.
    void on_withdrawn(Timestamp now, RequestId id);
    // A notification of the endpoint list. Entries with kChanges replace those of the same id.
    void on_endpoint_list(Timestamp now, EndpointListKind kind, const std::vector<EndpointInfo>& entries);
    void on_probe_result(Timestamp now, const EndpointId& endpoint, Outcome outcome,
                         const LoadReport& report);
    // The reply to add_to_counter(). total: the value of the count over all gateways; ignored unless kOk.
    void on_counter_reply(Timestamp now, const std::string& name, CounterStatus status, double total);
    void on_wake(Timestamp now);
    // Appends plans; the indexes of existing plans never change. Throws std::invalid_argument for invalid
    // plans. A tenant switches plans with its first request for another plan. The units left in its bucket
    // are carried over, up to the new plan's burst; future refill of the old plan is not.
    void on_plans_added(Timestamp now, const std::vector<RatePlanSettings>& more);

    // Hot restart. The new process restores the states of all tenants. on_handed_over() then makes the old
    // process forget its tenants, so that no units are granted twice; hard caps admit nothing there any more.
    // on_hand_over_failed(): the new process is gone, and this one serves again.
    std::vector<QuotaState> quota_states() const;
    void restore_quota(Timestamp now, const QuotaState& state);
    void on_handed_over();
    void on_hand_over_failed(Timestamp now);

    // Number of endpoints in service that are currently ejected by outlier detection.
    std::size_t ejected_count(Timestamp now) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace linnetlead::policy
