// The gateway between its fronts and the decision module: the table of calls, the module's actions, the
// rules.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_set>

#include "config/settings.h"
#include "proxy/new_tenant_limiter.h"
#include "proxy/ports.h"

namespace linnetlead::proxy {

// What a front hands over.
struct DownstreamRequest {
    policy::Request request;  // its id is the core's to give
    std::uint64_t name = 0;   // the client's own id
    Payload payload;
};

// Since the start.
struct Counts {
    struct OfClass {
        std::uint64_t served = 0, rejected = 0, failed = 0;
    };
    std::vector<OfClass> classes;
    std::size_t in_progress = 0;  // calls taken and not ended
};

class RequestManager final : public EndpointListPort, private policy::Actions {
public:
    struct Limits {
        std::size_t calls = 0;     // open at once
        std::size_t bytes = 0;     // of their payloads
        std::size_t accounts = 0;  // of late; 0: no bound
    };

    RequestManager(const config::Site& site, std::uint64_t seed, Limits limits, Timers& timers);
    ~RequestManager() override;
    // Both must be set before the first event.
    void attach(UpstreamPort& endpoints, CounterPort& counter);
    // Nothing: every call goes to all endpoints.
    void attach(RoutingPort* routes) { routes_ = routes; }
    // Nothing: calls are under the plan that they name.
    void attach(AccountingPort* accounts) { accounts_ = accounts; }
    // Nothing: no body names a form.
    void attach(StatementPort* forms) { forms_ = forms; }
    // A call that the forms have held: the module decides now, or it has its answer.
    void release(Handle call);
    void answer_held(Handle call, const Answer& answer);
    // Plans that the settings do not have, behind those that there are.
    void add_plans(std::vector<policy::RatePlanSettings> more);
    // Of all plans, by number. Two may have one name; the later one holds.
    const std::vector<std::string>& plan_names() const { return plan_names_; }

    // From the fronts. The answer may come before take() returns; a null handle says that it has. A second
    // call under an open one's name fails.
    Handle take(DownstreamRequest call, DownstreamPort& front, Ticket ticket);
    void withdraw(Handle call);
    // The gateway ends: what is open gets its answer now, but for values that are on their way to clients.
    void answer_all();
    void limit(Limits limits) { limits_ = limits; }
    // Room for a body that is still to come, by its length: to be given back, before take() at the latest.
    bool reserve(std::size_t bytes);
    void give_back(std::size_t bytes) { bytes_ -= bytes; }
    // A call whose body found no room: rejected by the downstream server itself.
    void turned_away(int traffic_class) { count_end(traffic_class, Verdict::kRejected); }
    // The front takes more of a long value.
    void go_on(Handle call);
    std::size_t open_calls() const { return calls_.size(); }
    const proxy::NewTenantLimiter& crowd() const { return crowd_; }
    // What quotas need in another process of this gateway; once it is told, this one knows it no more.
    std::vector<policy::QuotaState> accounts() const { return policy_->quota_states(); }
    void take_over(const policy::QuotaState& told);
    void handed_over() { policy_->on_handed_over(); }
    const Counts& counts() const { return counts_; }
    // Listed endpoints that the module leaves out for now by its own choice.
    std::size_t left_out() const;

    // From the endpoints, the counter and the registry.
    void attempt_ended(Handle call, const AttemptEnd& end);
    // An attempt's long value: its first bytes are here; pieces of it; its last byte is here. Of the first
    // two, what the front wants: more, a pause until UpstreamPort::go_on(), or nothing, since nobody waits
    // for it.
    enum class Wanted { kMore, kPause, kNothing };
    Wanted value_begins(Handle call, std::size_t size);
    Wanted value_piece(Handle call, std::string_view piece);
    void value_ends(Handle call);
    void probed(const EndpointId& endpoint, policy::Outcome outcome, const policy::LoadReport& report);
    void counted(const std::string& name, policy::CounterStatus status, double total);
    void listed(policy::EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) override;
    // Entries whose pools are others now, though nothing else of them has changed.
    void marked(std::vector<policy::EndpointInfo> entries);

private:
    struct Open {
        DownstreamPort* front = nullptr;
        Ticket ticket;
        std::uint64_t name = 0;
        Payload payload;
        Timestamp due{};
        int traffic_class = 0;
        float units = 0;
        std::uint32_t mark = 0;  // of the routes, for the first attempt
        bool sent_on = false;    // an attempt has reached an endpoint whole
        int attempts = 0;
        bool out = false;
        bool may_have_run = false;
        Timestamp run_from{};  // the first attempt that may have run was sent then
        bool answered = false;
        bool form = false;                      // names a form
        std::unique_ptr<policy::Request> held;  // by the forms
        Payload changed;       // what goes out in place of the payload; empty: the payload does
        bool passing = false;  // first bytes of a long value have gone to the front
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
    void watch_endpoints() override {}  // the registry is watched all the time
    void log(const std::string& text) override;

    template <typename Event>
    void tell(Event event);
    template <typename Event>
    void guarded(const Event& event);
    bool is_harmless(const Open& call) const;
    void abandon(Handle handle, Handle attempt);
    Timestamp write_by(const Open& call) const;
    void settle(Handle handle, Open& call);
    void note_use(Handle handle, Open& call, const AttemptEnd& end, const policy::AttemptResult& result);
    void conclude(Handle handle, Open& call, const Answer& answer);
    void overdue(Handle handle);
    void drop_if_done(Handle handle);
    void count_end(int traffic_class, Verdict verdict);

    Timers& timers_;
    UpstreamPort* endpoints_ = nullptr;
    CounterPort* counter_ = nullptr;
    RoutingPort* routes_ = nullptr;
    AccountingPort* accounts_ = nullptr;
    StatementPort* forms_ = nullptr;
    Limits limits_;
    std::vector<policy::TrafficClassSettings> classes_;
    std::vector<std::string> plan_names_;
    int max_attempts_;
    double max_units_;
    SlotMap<Open> calls_;
    std::unordered_set<std::uint64_t> names_;  // of those
    std::size_t bytes_ = 0;
    Counts counts_;
    proxy::NewTenantLimiter crowd_;
    Duration come_back_;  // told to those that the new-tenant limiter rejects; 0: nothing is to be told
    Handle wake_;
    Timestamp wake_at_ = Timestamp::max();
    bool telling_ = false;
    std::deque<std::function<void()>> later_;
    std::unique_ptr<policy::Policy> policy_;
};

}  // namespace linnetlead::proxy
