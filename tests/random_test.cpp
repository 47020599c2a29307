// Long random sequences of valid events at three or forty gateways that share only the counter. Each action
// is checked against the rules when it is called. The seeds are fixed, so every run is the same.
#include <algorithm>
#include <deque>
#include <random>

#include "harness.h"

namespace linnetlead::policy::testing {
namespace {

struct SimulatedGateways {
    explicit SimulatedGateways(std::uint64_t seed) : random(seed) {}

    struct SentAttempt {
        EndpointId endpoint;
        Timestamp sent{};
        bool in_flight = true;
        bool may_have_run = true;
    };
    struct PendingRequest {
        int traffic_class = 0;
        Timestamp due{};
        std::string tenant;
        double units = 0;
        std::vector<SentAttempt> attempts;
        int answers = 0;
        bool withdrawn = false;
    };
    struct Node;
    struct Event {
        int gateway = 0;
        std::uint64_t incarnation = 0;
        enum class Kind { kAttemptResult, kWake, kCounterReply, kProbeResult } kind = Kind::kWake;
        RequestId id = 0;
        int attempt = 0;
        Outcome outcome = Outcome::kOk;
        std::string name;
        CounterStatus status = CounterStatus::kOk;
        double total = 0;
        Timestamp sent{};
    };
    struct HardCapBucket {
        double left = 0;
        Timestamp at{};
    };
    struct CheckingActions : Actions {
        SimulatedGateways* owner = nullptr;
        int gateway = 0;
        std::uint64_t incarnation = 0;
        std::map<RequestId, PendingRequest> pending;
        std::map<EndpointId, Timestamp> left_service_at;  // time of the notification as draining or removed
        std::map<EndpointId, EndpointInfo> list;
        int counter_calls_in_flight = 0;

        void send(RequestId id, const EndpointId& endpoint, Duration timeout) override {
            SimulatedGateways& simulation = *owner;
            ASSERT_EQ(pending.count(id), 1U) << "sent for a request that is not pending";
            PendingRequest& request = pending[id];
            const TrafficClassSettings& traffic_class =
                simulation.settings.classes[static_cast<std::size_t>(request.traffic_class)];
            EXPECT_EQ(request.answers, 0) << "sent after the final answer";
            EXPECT_FALSE(request.withdrawn) << "sent after the client has disconnected";
            EXPECT_EQ(list.count(endpoint), 1U) << "sent to an endpoint never listed";
            if (left_service_at.count(endpoint) > 0) {
                EXPECT_LE(simulation.now - left_service_at[endpoint], 250ms)
                    << "sent to an endpoint that has left";
            }
            EXPECT_LT(static_cast<int>(request.attempts.size()), simulation.settings.max_attempts);
            EXPECT_GT(timeout, 0ns);
            for (const SentAttempt& attempt : request.attempts) {
                if (!simulation.settings.may_hedge) {
                    EXPECT_FALSE(attempt.in_flight) << "overlapping attempts";
                }
                if (!attempt.may_have_run) continue;
                EXPECT_NE(traffic_class.idempotency, Idempotency::kNonIdempotent)
                    << "non-idempotent request retried";
                if (traffic_class.idempotency != Idempotency::kKeyed) continue;
                EXPECT_LT(simulation.now - attempt.sent, traffic_class.key_window)
                    << "keyed request retried after its window";
                if (traffic_class.key_scope != KeyScope::kAll) {
                    EXPECT_EQ(list[attempt.endpoint].zone, list[endpoint].zone);
                }
                if (traffic_class.key_scope == KeyScope::kCell) {
                    EXPECT_EQ(list[attempt.endpoint].cell, list[endpoint].cell);
                }
            }
            if (request.attempts.empty()) simulation.spend_hard_cap(request.tenant, request.units);
            request.attempts.push_back({endpoint, simulation.now});
            simulation.schedule_result(*this, id, static_cast<int>(request.attempts.size()) - 1, timeout);
        }
        void check_answer(RequestId id, bool rejection) {
            SimulatedGateways& simulation = *owner;
            ASSERT_EQ(pending.count(id), 1U);
            PendingRequest& request = pending[id];
            EXPECT_EQ(++request.answers, 1) << "a second final answer";
            EXPECT_LE(simulation.now, request.due + 20ms) << "answered late";
            const TrafficClassSettings& traffic_class =
                simulation.settings.classes[static_cast<std::size_t>(request.traffic_class)];
            for (const SentAttempt& attempt : request.attempts) {
                if (!rejection || !attempt.may_have_run) continue;
                EXPECT_NE(traffic_class.idempotency, Idempotency::kNonIdempotent)
                    << "rejected what may have run";
                if (traffic_class.idempotency == Idempotency::kKeyed) {
                    EXPECT_EQ(traffic_class.key_scope, KeyScope::kAll);
                }
            }
            ++simulation.answered;
        }
        void reject(RequestId id, Duration) override { check_answer(id, true); }
        void fail(RequestId id) override { check_answer(id, false); }
        void cancel(RequestId id, int attempt) override {
            ASSERT_LT(attempt, static_cast<int>(pending[id].attempts.size()))
                << "cancelled an attempt never made";
        }
        void probe(const EndpointId& endpoint) override {
            SimulatedGateways& simulation = *owner;
            EXPECT_TRUE(simulation.settings.may_probe) << "probed where it is not allowed";
            EXPECT_EQ(list.count(endpoint), 1U) << "probed an endpoint never listed";
            Event e;
            e.gateway = gateway;
            e.incarnation = incarnation;
            e.kind = Event::Kind::kProbeResult;
            e.name = endpoint;
            e.outcome = simulation.chance() < 0.8 ? Outcome::kOk : Outcome::kTimeout;
            simulation.events.emplace(simulation.now + std::chrono::milliseconds(1 + simulation.below(250)),
                                      e);
            ++simulation.probes;
        }
        void add_to_counter(const std::string& name, double amount, Duration) override {
            ++counter_calls_in_flight;
            owner->answer_counter_call(*this, name, amount);
        }
        void wake(Timestamp at) override {
            Event e;
            e.gateway = gateway;
            e.incarnation = incarnation;
            owner->events.emplace(std::max(at, owner->now + 1ms), e);
        }
        void watch_endpoints() override {}
        void log(const std::string&) override {}
    };

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random); }
    int below(int n) { return static_cast<int>(chance() * n); }

    void spend_hard_cap(const std::string& tenant, double units) {
        const RatePlanSettings& plan = settings.plans[0];
        auto [it, is_new] = hard_caps.try_emplace(tenant, HardCapBucket{plan.hard_cap_burst, now});
        HardCapBucket& c = it->second;
        c.left = std::min(plan.hard_cap_burst,
                          c.left + plan.hard_cap_rate * std::chrono::duration<double>(now - c.at).count());
        c.at = now;
        c.left -= units;
        EXPECT_GE(c.left, -1e-6) << "hard cap exceeded";
        lowest_hard_cap_level = std::min(lowest_hard_cap_level, c.left);
    }
    void schedule_result(CheckingActions& actions, RequestId id, int attempt, Duration timeout) {
        Event e;
        e.gateway = actions.gateway;
        e.incarnation = actions.incarnation;
        e.kind = Event::Kind::kAttemptResult;
        e.id = id;
        e.attempt = attempt;
        e.sent = now;
        const double draw = chance();
        Duration latency = std::chrono::milliseconds(5 + below(draw < 0.1 ? 900 : 80));
        e.outcome = draw < 0.6    ? Outcome::kOk
                    : draw < 0.68 ? Outcome::kError
                    : draw < 0.76 ? Outcome::kRejected
                    : draw < 0.84 ? Outcome::kConnectFailed
                    : draw < 0.92 ? Outcome::kReset
                                  : Outcome::kTimeout;
        if (e.outcome == Outcome::kTimeout || latency > timeout) {
            e.outcome = Outcome::kTimeout;
            latency = timeout;
        }
        events.emplace(now + latency, e);
    }
    void answer_counter_call(CheckingActions& actions, const std::string& name, double amount) {
        Event e;
        e.gateway = actions.gateway;
        e.incarnation = actions.incarnation;
        e.kind = Event::Kind::kCounterReply;
        e.name = name;
        const double draw = chance();
        const bool is_unreachable = (now / 3s) % 4 == 1;
        e.status = is_unreachable || draw < 0.05 ? CounterStatus::kTimeout : CounterStatus::kOk;
        if (e.status == CounterStatus::kOk || chance() < 0.5) counts[name] += amount;
        if (draw > 0.98) counts.clear();
        e.total = draw > 0.96 ? -3 : counts[name];
        Timestamp at = now + std::chrono::milliseconds(1 + below(50));
        at = std::max(at, last_reply[name + std::to_string(actions.gateway)]);
        last_reply[name + std::to_string(actions.gateway)] = at;
        events.emplace(at, e);
    }
    void start(int gateway) {
        Settings s = settings;
        s.self = gateway;
        auto& actions = all_actions[static_cast<std::size_t>(gateway)];
        actions = std::make_unique<CheckingActions>();
        actions->owner = this;
        actions->gateway = gateway;
        actions->incarnation = ++incarnations;
        policies[static_cast<std::size_t>(gateway)] = std::make_unique<Policy>(s, random(), now, *actions);
        notify(gateway, EndpointListKind::kCached, endpoints);
    }
    void notify(int gateway, EndpointListKind kind, const std::vector<EndpointInfo>& entries) {
        CheckingActions& actions = *all_actions[static_cast<std::size_t>(gateway)];
        if (kind != EndpointListKind::kChanges) {
            for (const auto& [id, e] : actions.list) actions.left_service_at.try_emplace(id, now);
        }
        for (const auto& e : entries) {
            actions.list[e.id] = e;
            if (e.state == EndpointState::kInService) {
                actions.left_service_at.erase(e.id);
            } else {
                actions.left_service_at.try_emplace(e.id, now);
            }
        }
        policies[static_cast<std::size_t>(gateway)]->on_endpoint_list(now, kind, entries);
    }
    void change_endpoint_list() {
        if (chance() < 0.2) {  // the list becomes empty, or is sent completely
            const bool is_empty = chance() < 0.3;
            for (int g = 0; g < gateways; ++g)
                notify(g, EndpointListKind::kComplete, is_empty ? std::vector<EndpointInfo>{} : endpoints);
            return;
        }
        EndpointInfo& e = endpoints[static_cast<std::size_t>(below(static_cast<int>(endpoints.size())))];
        const int draw = below(4);
        e.state = draw == 0   ? EndpointState::kDraining
                  : draw == 1 ? EndpointState::kRemoved
                              : EndpointState::kInService;
        if (draw == 2) e.started = now;
        for (int g = 0; g < gateways; ++g) notify(g, EndpointListKind::kChanges, {e});
    }
    void deliver(const Event& e) {
        const auto at = static_cast<std::size_t>(e.gateway);
        CheckingActions& actions = *all_actions[at];
        if (e.incarnation != actions.incarnation) return;
        Policy& policy = *policies[at];
        if (e.kind == Event::Kind::kWake) return policy.on_wake(now);
        if (e.kind == Event::Kind::kProbeResult) return policy.on_probe_result(now, e.name, e.outcome, {});
        if (e.kind == Event::Kind::kCounterReply) {
            --actions.counter_calls_in_flight;
            return policy.on_counter_reply(now, e.name, e.status, e.total);
        }
        PendingRequest& request = actions.pending[e.id];
        SentAttempt& attempt = request.attempts[static_cast<std::size_t>(e.attempt)];
        attempt.in_flight = false;
        attempt.may_have_run = e.outcome != Outcome::kRejected && e.outcome != Outcome::kConnectFailed;
        AttemptResult r;
        r.id = e.id;
        r.attempt = e.attempt;
        r.endpoint = attempt.endpoint;
        r.outcome = e.outcome;
        r.latency = now - e.sent;
        if (e.outcome == Outcome::kOk && request.answers == 0 && !request.withdrawn) {
            ++request.answers;
            ++answered;
            r.actual_units = 1 + below(4);
        }
        r.concluded = request.answers > 0 || request.withdrawn;
        policy.on_result(now, r);
        const bool in_flight = std::any_of(request.attempts.begin(), request.attempts.end(),
                                           [](const SentAttempt& x) { return x.in_flight; });
        EXPECT_TRUE(in_flight || request.answers == 1 || request.withdrawn)
            << "a request is pending with nothing in flight";
    }
    // A pending request waits for a counter reply or an attempt, never for a timer.
    void expect_no_request_is_stuck(int gateway) {
        const CheckingActions& actions = *all_actions[static_cast<std::size_t>(gateway)];
        int waiting = 0;
        for (const auto& [id, request] : actions.pending) {
            const bool in_flight = std::any_of(request.attempts.begin(), request.attempts.end(),
                                               [](const SentAttempt& attempt) { return attempt.in_flight; });
            if (request.answers > 0 || request.withdrawn || in_flight) continue;
            EXPECT_TRUE(request.attempts.empty()) << "request " << id << " is pending between attempts";
            ++waiting;
        }
        EXPECT_LE(waiting, actions.counter_calls_in_flight)
            << "requests wait for neither a reply nor an attempt";
    }
    void run(Duration length) {
        all_actions.resize(static_cast<std::size_t>(gateways));
        policies.resize(static_cast<std::size_t>(gateways));
        for (int g = 0; g < gateways; ++g) start(g);
        const Timestamp end = now + length;
        Timestamp next_request = now;
        Timestamp next_list = now + 1s;
        Timestamp next_restart = now + 2s;
        while (now < end || !events.empty()) {
            const Timestamp at = events.empty() ? Timestamp::max() : events.begin()->first;
            if (now < end && next_request <= std::min({at, next_list, next_restart})) {
                now = std::max(now, next_request);
                next_request += std::chrono::microseconds(200 + below(3500));
                const int g = below(gateways);
                Request r;
                r.id = ++last_id;
                r.traffic_class = below(static_cast<int>(settings.classes.size()));
                r.tenant = "u" + std::to_string(below(4));
                r.due = now + std::chrono::milliseconds(20 + below(3000));
                r.units = 1 + below(4);
                r.gateway_set_size = gateway_set_size;
                all_actions[static_cast<std::size_t>(g)]->pending[r.id] = {
                    r.traffic_class, r.due, r.tenant, r.units, {}, 0, false};
                const int calls = all_actions[static_cast<std::size_t>(g)]->counter_calls_in_flight;
                policies[static_cast<std::size_t>(g)]->on_request(now, r);
                PendingRequest& request = all_actions[static_cast<std::size_t>(g)]->pending[r.id];
                const bool called_counter =
                    all_actions[static_cast<std::size_t>(g)]->counter_calls_in_flight > calls;
                EXPECT_TRUE(request.answers == 1 || !request.attempts.empty() || called_counter)
                    << "neither sent nor answered, nor waiting for the counter";
                if (requests % 50 == 0) expect_no_request_is_stuck(g);
                if (chance() < 0.02 && request.answers == 0) {
                    request.withdrawn = true;
                    policies[static_cast<std::size_t>(g)]->on_withdrawn(now, r.id);
                }
                ++requests;
            } else if (now < end && next_list <= std::min(at, next_restart)) {
                now = std::max(now, next_list);
                next_list += std::chrono::milliseconds(50 + below(900));
                change_endpoint_list();
            } else if (now < end && next_restart <= at) {
                now = std::max(now, next_restart);
                next_restart += std::chrono::milliseconds(1000 + below(4000));
                start(below(gateways));
            } else {
                if (now >= end && at > end + 10s) break;  // only interval ends of idle tenants are left
                now = std::max(now, at);
                const Event e = events.begin()->second;
                events.erase(events.begin());
                deliver(e);
                if (++delivered % 50 == 0) expect_no_request_is_stuck(e.gateway);
            }
        }
        for (const auto& actions : all_actions) {
            for (const auto& [id, request] : actions->pending) {
                EXPECT_TRUE(request.answers == 1 || request.withdrawn) << "request " << id << " was lost";
            }
        }
    }

    std::mt19937_64 random;
    Settings settings;
    int gateways = 3;
    int gateway_set_size = 3;  // in large sets requests wait for the counter
    Timestamp now = 1000s;
    std::vector<EndpointInfo> endpoints;
    std::vector<std::unique_ptr<CheckingActions>> all_actions;
    std::vector<std::unique_ptr<Policy>> policies;
    std::multimap<Timestamp, Event> events;
    std::map<std::string, double> counts;
    std::map<std::string, Timestamp> last_reply;
    std::map<std::string, HardCapBucket> hard_caps;
    double lowest_hard_cap_level = 1e9;
    RequestId last_id = 0;
    std::uint64_t incarnations = 0;
    int requests = 0;
    int answered = 0;
    int probes = 0;
    int delivered = 0;
};

class RandomTest : public ::testing::TestWithParam<int> {};

TEST_P(RandomTest, RulesHoldOverLongSequences) {
    const int seed = GetParam();
    SimulatedGateways simulation(static_cast<std::uint64_t>(seed));
    simulation.settings = make_settings();
    const bool is_large_fleet = seed > 6;
    simulation.gateways = simulation.gateway_set_size = is_large_fleet ? 40 : 3;
    simulation.settings.gateways = simulation.gateways;
    simulation.settings.may_probe = is_large_fleet;
    simulation.settings.may_hedge = seed % 2 == 0;
    simulation.settings.classes = {
        make_class(Idempotency::kIdempotent), make_class(Idempotency::kKeyed, KeyScope::kAll),
        make_class(Idempotency::kKeyed, KeyScope::kZone), make_class(Idempotency::kKeyed, KeyScope::kCell),
        make_class(Idempotency::kNonIdempotent)};
    simulation.settings.classes[1].late_priority_weight = 0;
    simulation.settings.classes[4].late_priority_weight = 0;
    simulation.settings.plans[0].rate = seed % 2 == 0 ? 60 : 200;  // below and above the hard cap
    simulation.settings.plans[0].burst = seed % 2 == 0 ? 90 : 300;
    simulation.settings.plans[0].max_concurrent = seed % 3 == 0 ? 6 : 0;
    simulation.settings.plans[0].hard_cap_rate = is_large_fleet ? 40 : 8;
    simulation.settings.plans[0].hard_cap_burst = is_large_fleet ? 240 : 30;
    const double nearly_spent_level =
        simulation.settings.plans[0].hard_cap_burst * (is_large_fleet ? 0.97 : 0.85);
    for (int i = 0; i < 8; ++i) {
        simulation.endpoints.push_back(
            make_endpoint("s" + std::to_string(i), i % 2 == 0 ? "z1" : "z2", i % 4));
    }
    simulation.run(25s);
    EXPECT_GT(simulation.requests, 5000);
    EXPECT_EQ(simulation.probes > 0, is_large_fleet);
    if (simulation.settings.plans[0].max_concurrent == 0) {  // else that limit is reached first
        EXPECT_LT(simulation.lowest_hard_cap_level, nearly_spent_level)
            << "the hard cap was never nearly reached, so it was not tested";
    }
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomTest, ::testing::Range(1, 10));

}  // namespace
}  // namespace linnetlead::policy::testing
