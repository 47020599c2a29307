// The request manager connects the downstream server, the upstream pool and the decision module. It owns the
// table of open requests, carries out the module's actions and enforces the rules on attempts.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

#include "config/settings.h"
#include "proxy/event_log.h"
#include "proxy/new_tenant_limiter.h"
#include "proxy/ports.h"
#include "proxy/recent_requests.h"

namespace linnetlead::proxy {

// A request as the downstream server hands it over.
struct DownstreamRequest {
    policy::Request request;  // the request manager assigns its id
    std::uint64_t name = 0;   // the id that the client gave
    Payload payload;
};

// Numbers of answers since the start.
struct Counts {
    struct OfClass {
        std::uint64_t served = 0, rejected = 0, failed = 0;
    };
    std::vector<OfClass> classes;
    std::size_t in_progress = 0;  // requests taken and not answered
};

class RequestManager final : public EndpointListPort, private policy::Actions {
public:
    struct Limits {
        std::size_t calls = 0;     // concurrently open requests
        std::size_t bytes = 0;     // of their payloads
        std::size_t accounts = 0;  // recently seen; 0: no bound
    };

    RequestManager(const config::Site& site, std::uint64_t seed, Limits limits, Timers& timers);
    ~RequestManager() override;
    // Both must be set before the first event.
    void attach(UpstreamPort& endpoints, CounterPort& counter);
    // Null: every request may go to all endpoints.
    void attach(RoutingPort* routes) { routes_ = routes; }
    // Null: requests use the plan that they name.
    void attach(AccountingPort* accounts) { accounts_ = accounts; }
    // Null: no body names a prepared statement.
    void attach(StatementPort* statements) { statements_ = statements; }
    // For a request that the statement port holds: release() passes it to the decision module, answer_held()
    // answers it.
    void release(Handle request);
    void answer_held(Handle request, const Answer& answer);
    // Appends plans that are not in the settings.
    void add_plans(std::vector<policy::RatePlanSettings> more);
    // Names of all plans, by number. If two have the same name, the later one applies.
    const std::vector<std::string>& plan_names() const { return plan_names_; }

    // ---- For the downstream server.
    // Takes a request. The answer may arrive before take() returns; the handle is then null. A request fails
    // if another one with the same client id is open, or lately was and may have run.
    Handle take(DownstreamRequest incoming, DownstreamPort& downstream, Ticket ticket);
    // The client no longer waits for the request.
    void withdraw(Handle request);
    // The gateway shuts down: answers all open requests now, except those whose values are being streamed.
    void answer_all();
    void limit(Limits limits) { limits_ = limits; }
    // Reserves memory for a body that is still to arrive. It has to be given back before take().
    bool reserve(std::size_t bytes);
    // Reserves memory that requests do not need now, for something else. It has to be given back.
    bool reserve_spare(std::size_t bytes);
    void give_back(std::size_t bytes) { bytes_ -= bytes; }
    // Counts a request that the downstream server itself rejected, for lack of memory or because it drains.
    void turned_away(const DownstreamRequest& request, Event reason) {
        note_turned_away(request, Verdict::kRejected, reason);
    }
    // Much of the answers waits to be read by clients: long values are read in small pieces.
    void set_output_congested(bool congested) { output_congested_ = congested; }
    bool output_congested() const { return output_congested_; }
    // The client can take more of a long value.
    void go_on(Handle request);
    std::size_t open_calls() const { return requests_.size(); }
    // Memory of open requests, and reserved for bodies that are still to arrive.
    std::size_t request_bytes() const { return bytes_; }
    const proxy::NewTenantLimiter& crowd() const { return new_tenant_limiter_; }
    // Quota states for the gateway process that takes over; handed_over() then drops them here.
    std::vector<policy::QuotaState> accounts() const { return policy_->quota_states(); }
    void take_over(const policy::QuotaState& state);
    void handed_over() { policy_->on_handed_over(); }
    // The process that took over is gone.
    void hand_over_failed() { policy_->on_hand_over_failed(timers_.now()); }
    const Counts& counts() const { return counts_; }
    EventLog& events() { return events_; }
    const EventLog& events() const { return events_; }
    // Client ids of requests that may have run here and must not run at another process, newest last. From
    // then on `started` is told of each further one before its attempt is sent; null: no longer.
    std::vector<std::uint64_t> unrepeatable_ids();
    void tell_started(std::function<void(std::uint64_t client_id)> started) { started_ = std::move(started); }
    // Such requests of another process.
    void remember(const std::vector<std::uint64_t>& client_ids);
    // Number of listed endpoints that the decision module currently ejects.
    std::size_t left_out() const;

    // ---- For the upstream pool, the counter and discovery.
    void attempt_ended(Handle request, const AttemptEnd& end);
    // An attempt's long value: its first bytes, a piece, or its last byte have arrived. The result of the
    // first two tells the upstream pool how to go on: read more, pause until UpstreamPort::go_on(), or
    // cancel, since no client waits for the value.
    enum class Wanted { kMore, kPause, kNothing };
    Wanted value_begins(Handle request, std::size_t size);
    Wanted value_piece(Handle request, std::string_view piece);
    void value_ends(Handle request);
    void probed(const EndpointId& endpoint, policy::Outcome outcome, const policy::LoadReport& report);
    void counted(const std::string& name, policy::CounterStatus status, double total);
    void listed(policy::EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) override;
    // Entries whose pools have changed while everything else is the same.
    void marked(std::vector<policy::EndpointInfo> entries);

private:
    struct OpenRequest {
        DownstreamPort* downstream = nullptr;
        Ticket ticket;
        std::uint64_t name = 0;
        Payload payload;
        Timestamp taken_at{};
        Timestamp due{};
        int traffic_class = 0;
        float units = 0;
        std::uint32_t mark = 0;  // from the routing port, for the first attempt
        bool sent_on = false;    // an attempt has reached an endpoint completely
        int attempts = 0;
        bool attempt_pending = false;
        bool may_have_run = false;
        Timestamp first_run_at{};  // when the first attempt that may have run was sent
        bool answered = false;
        bool has_statement = false;             // its body names a prepared statement
        std::unique_ptr<policy::Request> held;  // by the statement port
        Payload changed;                        // sent in place of the payload unless empty
        bool streaming = false;  // the first bytes of a long value have been passed to the client
        Timestamp sent{};
        Timestamp first_bytes{};  // of a long value
        EndpointId endpoint;
        Handle attempt;
        Handle deadline;
    };

    void send(policy::RequestId id, const EndpointId& endpoint, Duration timeout) override;
    void reject(policy::RequestId id, Duration retry_after) override;
    void fail(policy::RequestId id) override;
    void cancel(policy::RequestId id, int attempt) override;
    void probe(const EndpointId& endpoint) override;
    void add_to_counter(const std::string& name, double amount, Duration life) override;
    void wake(Timestamp at) override;
    void watch_endpoints() override {}  // discovery runs all the time
    void log(const std::string& text) override;

    // Why a request is not taken.
    struct Refusal {
        Verdict verdict = Verdict::kRejected;
        Duration retry_after{};
        Event reason{};
    };
    // Nothing: it can be taken.
    std::optional<Refusal> refusal_of(const DownstreamRequest& incoming);
    template <typename Event>
    void dispatch(Event event);
    template <typename Event>
    void run_guarded(const Event& event);
    bool is_harmless(const OpenRequest& open) const;
    bool is_idempotent(int traffic_class) const;
    void abandon(Handle handle, Handle attempt);
    Timestamp write_by(const OpenRequest& open) const;
    void mark_answered(Handle handle, OpenRequest& open);
    void record_usage(Handle handle, OpenRequest& open, const AttemptEnd& end,
                      const policy::AttemptResult& result);
    void conclude(Handle handle, OpenRequest& open, const Answer& answer);
    // As above, and notes why the request was not served.
    void conclude(Handle handle, OpenRequest& open, const Answer& answer, Event reason);
    void note(Event event, const OpenRequest& open);
    void note_turned_away(const DownstreamRequest& request, Verdict verdict, Event reason);
    void note_unserved(const OpenRequest& open, const AttemptEnd& end);
    void fail_overdue(Handle handle);
    void drop_if_done(Handle handle);
    void count_answer(int traffic_class, Verdict verdict);

    Timers& timers_;
    UpstreamPort* endpoints_ = nullptr;
    CounterPort* counter_ = nullptr;
    RoutingPort* routes_ = nullptr;
    AccountingPort* accounts_ = nullptr;
    StatementPort* statements_ = nullptr;
    Limits limits_;
    std::vector<policy::TrafficClassSettings> classes_;
    std::vector<std::string> plan_names_;
    int max_attempts_;
    double max_units_;
    SlotMap<OpenRequest> requests_;
    std::unordered_set<std::uint64_t> client_ids_;  // client ids of the open requests
    std::function<void(std::uint64_t)> started_;    // of tell_started()
    RecentRequests recent_;                         // that may have run and are not idempotent
    std::size_t bytes_ = 0;
    Counts counts_;
    EventLog events_;
    proxy::NewTenantLimiter new_tenant_limiter_;
    Duration limiter_retry_after_;  // advice for requests that the new-tenant limiter rejects; 0: none
    Handle wake_;
    Timestamp wake_at_ = Timestamp::max();
    bool dispatching_ = false;
    bool output_congested_ = false;
    std::deque<std::function<void()>> deferred_events_;
    std::unique_ptr<policy::Policy> policy_;
};

}  // namespace linnetlead::proxy
