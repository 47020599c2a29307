// Tests of a gateway in a fleet of hundreds, each of which sees little of the traffic.
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "harness.h"

namespace linnetlead::policy::testing {
namespace {

std::vector<EndpointInfo> many_endpoints(int n) {
    std::vector<EndpointInfo> endpoints;
    for (int i = 0; i < n; ++i) endpoints.push_back(make_endpoint("s" + std::to_string(i)));
    return endpoints;
}

TEST(LoadBalancer, ManyGatewaysDrawByWeightAndNotOnlyTheLargest) {
    // Guards against gateways that all select the few endpoints with the greatest weight while no attempts
    // are in flight; the busiest then got 4.6 times the mean.
    Settings s = make_settings();
    s.gateways = 200;
    auto endpoints = many_endpoints(40);
    for (int i = 0; i < 10; ++i) endpoints[static_cast<std::size_t>(i)].weight = 1.3;
    int to_largest = 0;
    int all = 0;
    for (int gateway = 0; gateway < 200; ++gateway) {
        s.self = gateway;
        Gateway g(s, endpoints, 100s + gateway * 1ms, static_cast<std::uint64_t>(gateway));
        g.submit();
        for (const auto& sent : g.out.sent) {
            ++all;
            to_largest += sent.endpoint.size() == 2 ? 1 : 0;
        }
    }
    EXPECT_GE(all, 100);
    EXPECT_LE(to_largest, all / 2) << "ten of forty endpoints, 30% of the weight";
}

TEST(SlowStart, ShareHoldsOverManyGateways) {
    // A single attempt from each of 300 gateways would overload the endpoint, so the share is applied at
    // random.
    Settings s = make_settings();
    s.gateways = 300;
    int sent = 0;
    for (int gateway = 0; gateway < 300; ++gateway) {
        s.self = gateway;
        Gateway g(s, {make_endpoint("warming", "z1", 0, 100s)}, 100s, static_cast<std::uint64_t>(gateway));
        for (int i = 0; i < 10; ++i) {
            const auto id = g.submit();
            if (g.sends(id) == 1) g.resolve(id, Outcome::kOk, 1ms);
        }
        sent += static_cast<int>(g.out.sent.size());
    }
    EXPECT_GT(sent, 0) << "the endpoint has to get some attempts";
    EXPECT_LE(sent, 3000 * 0.3)
        << "the only endpoint is in slow start at a quarter, which bounds what is admitted";
}

TEST(SampledReads, RequestReportsDemandAndWaitsForTheTotal) {
    Settings s = make_settings();
    s.gateways = 100;
    s.plans[0].rate = s.plans[0].burst = 5;  // an even share, a 50th of this, is far below one request
    Gateway g(s, many_endpoints(80));
    g.now = 102s;
    const auto light = g.submit(1, "light", 50);
    EXPECT_EQ(g.sends(light), 0);
    EXPECT_TRUE(g.out.rejected.empty()) << "it waits for the reply";
    for (const auto& c : std::vector<Recorder::Counted>(g.out.counted)) {
        g.policy.on_counter_reply(g.now, c.name, CounterStatus::kOk, c.amount);
    }
    EXPECT_EQ(g.sends(light), 1) << "the demand of all gateways is far below the quota";
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        g.run_to(g.now + 50ms);
        const auto before = g.out.counted.size();
        const auto id = g.submit(1, "heavy", 50);
        for (std::size_t k = before; k < g.out.counted.size(); ++k) {
            const auto c =
                g.out.counted[k];  // the demand of all gateways is 100 units per second, 20 times the rate
            g.policy.on_counter_reply(g.now, c.name, CounterStatus::kOk, 200);
        }
        EXPECT_TRUE(g.sends(id) == 1 || !g.out.rejected.empty());
        if (g.sends(id) == 1) {
            ++admitted;
            g.resolve(id, Outcome::kOk, 1ms);
        }
    }
    EXPECT_GT(admitted, 0);
    EXPECT_LE(admitted, 20) << "the quota is five percent of the demand";
}

// Each of a hundred gateways gets few requests of the tenant, and can't know from them what the others have
// in flight.
TEST(SampledReads, ConcurrencyQuotaHoldsOverAHundredGateways) {
    Settings s = make_settings();
    s.gateways = 100;
    s.retry_after = true;
    s.max_retry_after = 1s;
    s.plans[0].rate = 0;
    s.plans[0].max_concurrent = 2;
    std::vector<std::unique_ptr<Gateway>> fleet;
    for (std::uint64_t i = 0; i < 100; ++i) {
        fleet.push_back(std::make_unique<Gateway>(s, many_endpoints(60), 100s, i));
    }
    std::map<std::string, double> counter;
    std::mt19937_64 random(11);
    std::uniform_real_distribution<double> chance;
    std::multimap<Timestamp, std::pair<Gateway*, RequestId>> out;  // by end of the attempt
    int sent = 0;
    int over_limit = 0;
    int without_retry_after = 0;
    for (Timestamp now = 100s; now < 160s; now += 5ms) {
        while (!out.empty() && out.begin()->first <= now) {
            auto [g, id] = out.begin()->second;
            out.erase(out.begin());
            g->now = now;
            g->resolve_now(id, Outcome::kOk, 200ms);
        }
        if (chance(random) > 0.05) continue;  // ten requests per second, of 0.2 s on average
        Gateway& g = *fleet[random() % fleet.size()];
        g.now = now;
        const auto id = g.submit(1, "u", 100);
        for (std::size_t k = 0; k < g.out.counted.size(); ++k) {
            const auto c = g.out.counted[k];
            g.policy.on_counter_reply(now, c.name, CounterStatus::kOk, counter[c.name] += c.amount);
        }
        g.out.counted.clear();
        if (g.sends(id) == 0) {
            without_retry_after += g.out.advised.back() <= Duration{0};
            continue;
        }
        ++sent;
        over_limit += out.size() >= 2;
        out.emplace(now + std::chrono::milliseconds(static_cast<int>(-std::log(1 - chance(random)) * 200)),
                    std::pair(&g, id));
    }
    EXPECT_GT(sent, 150) << "of about 600 requests, 200 of which would arrive while two are in flight";
    EXPECT_LT(over_limit, sent * 0.2);
    EXPECT_EQ(without_retry_after, 0) << "a rejection by a concurrency quota says when to retry";
}

TEST(SampledReads, ReportThatTheCounterRejectedIsNotWithdrawn) {
    Settings s = make_settings();
    s.gateways = 100;
    s.plans[0].max_concurrent = 2;
    s.plans[0].rate = 0;
    Gateway g(s, many_endpoints(60));
    // First the count shows no capacity, so that some requests are rejected; then the counter rejects every
    // second call.
    for (int i = 0; i < 300; ++i) {
        g.run_to(g.now + 20ms);
        g.out.counted.clear();
        const auto id = g.submit(1, "u", 100);
        if (g.out.counted.empty()) continue;
        const std::string name = g.out.counted[0].name;
        const bool is_rejected = i >= 20 && i % 2 == 0;
        g.policy.on_counter_reply(g.now, name, is_rejected ? CounterStatus::kOverloaded : CounterStatus::kOk,
                                  1e6);
        // The report is withdrawn only if it was added and the request was rejected. Withdrawing more than
        // was added would hide attempts in flight from the other gateways.
        EXPECT_EQ(g.out.counted.size(), is_rejected ? 1U : 2U);
        if (g.out.counted.size() == 2) g.policy.on_counter_reply(g.now, name, CounterStatus::kOk, 1e6);
        if (g.sends(id) == 1) g.resolve(id, Outcome::kOk, 1ms);
    }
}

TEST(SampledReads, UnreachableCounterDelaysNothing) {
    Settings s = make_settings();
    s.gateways = 100;
    s.plans[0].rate = s.plans[0].burst = 5;
    Gateway g(s, many_endpoints(80));
    int answered = 0;
    for (int i = 0; i < 30; ++i) {
        g.run_to(g.now + 100ms);
        const auto before = g.out.counted.size();
        const auto id = g.submit(1, "u" + std::to_string(i), 50);
        g.now += 50ms;
        for (std::size_t k = before; k < g.out.counted.size(); ++k) {
            g.policy.on_counter_reply(g.now, g.out.counted[k].name, CounterStatus::kTimeout, 0);
        }
        answered += g.sends(id);
        if (g.sends(id) == 1) g.resolve(id, Outcome::kOk, 5ms);
    }
    EXPECT_EQ(answered, 30) << "unknown tenants are admitted";
    EXPECT_LE(g.out.counted.size(), 20U) << "and an unreachable counter gets few calls";
    const auto short_deadline = g.submit(1, "v", 50, 0, 60ms);
    EXPECT_EQ(g.sends(short_deadline), 1) << "it does not wait, since the reply might come too late";
}

TEST(OutlierDetector, FailureDomainIsAvoidedAsAWhole) {
    // All endpoints of one kind do not answer a class (incident ifbbcc9). A gateway sends too few attempts to
    // each endpoint to detect this separately for each.
    Settings s = make_settings(Idempotency::kNonIdempotent);
    s.gateways = 4;
    auto endpoints = many_endpoints(200);
    std::set<EndpointId> failing;
    for (std::size_t i = 0; i < endpoints.size(); i += 2) {
        endpoints[i].kind = "other";
        failing.insert(endpoints[i].id);
    }
    Gateway g(s, endpoints);
    int recent_to_failing = 0;
    for (int i = 0; i < 90; ++i) {
        const auto id = g.submit();
        ASSERT_EQ(g.sends(id), 1);
        const bool fails = failing.count(g.out.sent.back().endpoint) > 0;
        if (i >= 60 && fails) ++recent_to_failing;
        g.resolve(id, fails ? Outcome::kTimeout : Outcome::kOk, fails ? 990ms : 20ms);
    }
    EXPECT_LE(recent_to_failing, 8) << "of thirty attempts, while half of the endpoints fail";
    g.now += 60s;
    int to_failing_later = 0;
    for (int i = 0; i < 30; ++i) {
        const auto id = g.submit();
        to_failing_later += failing.count(g.out.sent.back().endpoint) > 0 ? 1 : 0;
        g.resolve(id, Outcome::kOk, 20ms);
    }
    EXPECT_GE(to_failing_later, 8) << "failures are forgotten after some time";
}

TEST(RetryBudget, ManyGatewaysTogetherRetryFewRequestsAtTheStart) {
    // With ten tokens at each of hundreds of gateways, thousands of retries would be sent at once when
    // endpoints fail together.
    Settings s = make_settings(Idempotency::kIdempotent);
    s.gateways = 300;
    int retries = 0;
    for (int gateway = 0; gateway < 300; ++gateway) {
        s.self = gateway;
        Gateway g(s, many_endpoints(300), 100s, static_cast<std::uint64_t>(gateway));
        for (int i = 0; i < 5; ++i) {
            const auto id = g.submit();
            if (g.sends(id) == 1) g.resolve(id, Outcome::kError, 5ms);
            if (g.sends(id) == 2) {
                ++retries;
                g.resolve(id, Outcome::kOk, 5ms);
            }
        }
    }
    EXPECT_GE(retries, 150);
    EXPECT_LE(retries, 600) << "about one at each, not five";
}

TEST(ConcurrencyLimiter, OverloadedEndpointsGetFewAttemptsAndCanRecover) {
    // Endpoints full of requests that have timed out answer nothing in time. If gateways keep even their
    // minimum limits in flight, the endpoints stay full (incidents i40db91 and i56a7ff).
    const auto sent_of_100 = [](bool answers) {
        Settings s = make_settings(Idempotency::kNonIdempotent);
        s.gateways = 50;
        Gateway g(s, many_endpoints(60));
        std::size_t before = 0;
        std::deque<std::pair<RequestId, Timestamp>> unanswered;
        for (int i = 0; i < 200; ++i) {
            if (i == 100) before = g.out.sent.size();
            const auto id = g.submit();
            if (g.sends(id) == 1 && answers) g.resolve(id, Outcome::kOk, 20ms);
            if (g.sends(id) == 1 && !answers) unanswered.emplace_back(id, g.now + 950ms);
            g.now += 50ms;
            for (; !unanswered.empty() && unanswered.front().second <= g.now; unanswered.pop_front()) {
                g.resolve_now(unanswered.front().first, Outcome::kTimeout, 950ms);
            }
        }
        return g.out.sent.size() - before;
    };
    EXPECT_GE(sent_of_100(true), 90U);
    // An attempt that timed out occupies its endpoint for as long again, which halves the attempts sent.
    EXPECT_LE(sent_of_100(false), 18U);
    EXPECT_GE(sent_of_100(false), 1U) << "trial attempts are needed to detect the recovery";
}

Settings probing_settings() {
    Settings s = make_settings(Idempotency::kNonIdempotent);
    s.gateways = 250;
    s.may_probe = true;
    return s;
}

TEST(ProbePool, OverloadedEndpointsGetAlmostNothing) {
    // Half of the endpoints are full of requests that have timed out (issue 11). Each of hundreds of gateways
    // sends too few attempts to detect them without probes, and the trial attempts of all gateways together
    // would keep them full.
    const auto is_overloaded = [](const EndpointId& id) { return std::hash<std::string>()(id) % 2 == 0; };
    Gateway g(probing_settings(), many_endpoints(80));
    int to_overloaded = 0;
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto id = g.submit();
        g.now += 200ms;
        for (const auto& endpoint : std::exchange(g.out.probed, {})) {
            g.policy.on_probe_result(g.now, endpoint,
                                     is_overloaded(endpoint) ? Outcome::kTimeout : Outcome::kOk, {});
        }
        if (g.sends(id) == 0) continue;
        const bool overloaded = is_overloaded(g.out.sent.back().endpoint);
        g.resolve(id, overloaded ? Outcome::kTimeout : Outcome::kOk, overloaded ? 500ms : 20ms);
        sent += i >= 200 ? 1 : 0;
        to_overloaded += i >= 200 && overloaded ? 1 : 0;
    }
    EXPECT_GT(sent, 400);
    EXPECT_LE(to_overloaded * 8, sent)
        << "half of the endpoints are overloaded; without probes it is one in five";
}

TEST(ProbePool, NoProbesWhereTheyAreNotAllowedOrNotNeeded) {
    Settings s = probing_settings();
    const auto probes_of_100 = [](const Settings& settings) {
        Gateway g(settings, many_endpoints(20));
        for (int i = 0; i < 100; ++i) {
            const auto id = g.submit();
            if (g.sends(id) == 1) g.resolve(id, Outcome::kOk, 10ms);
        }
        return g.out.probed.size();
    };
    EXPECT_GT(probes_of_100(s), 5U);
    s.may_probe = false;
    EXPECT_EQ(probes_of_100(s), 0U);
    s = probing_settings();
    s.gateways = 2;  // its own attempts show enough
    EXPECT_EQ(probes_of_100(s), 0U);
}

TEST(ConcurrencyLimiter, LeastValuePerEndpointTimeIsRejectedFirst) {
    // Guards against rejecting all classes alike under overload, while the class with the least weight
    // occupies the endpoints longest (issue 11).
    Settings s = make_settings(Idempotency::kNonIdempotent);
    s.classes.push_back(s.classes[0]);
    s.classes[1].priority_weight = 3;
    s.gateways = 50;
    Gateway g(s, many_endpoints(20));
    std::array<int, 2> sent{};
    std::deque<std::pair<RequestId, Timestamp>> out;
    for (int i = 0; i < 4000; ++i) {
        Request r;
        r.id = ++g.last_id;
        r.traffic_class = i % 2;
        r.tenant = "u";
        r.due = g.now + 3s;
        g.policy.on_request(g.now, r);
        if (g.sends(r.id) == 1) {
            ++sent[static_cast<std::size_t>(r.traffic_class)];
            out.emplace_back(r.id, g.now + 600ms);
        }
        g.now += 20ms;
        for (; !out.empty() && out.front().second <= g.now; out.pop_front()) {
            g.resolve_now(out.front().first, Outcome::kOk, 600ms);
        }
    }
    EXPECT_GT(sent[0], 0);
    EXPECT_GE(sent[1], 2 * sent[0]);
}

TEST(RetryAfter, IsSetUnderOverloadAndRandomised) {
    Settings s = make_settings(Idempotency::kNonIdempotent);
    s.gateways = 50;
    s.retry_after = true;
    s.max_retry_after = 2s;
    const auto delays_of = [](const Settings& settings, int requests) {
        Gateway g(settings, many_endpoints(20));
        for (int i = 0; i < requests; ++i) g.submit();
        return g.out.advised;
    };
    const auto delays = delays_of(s, 200);  // nothing is answered, so the demand far exceeds the limit
    ASSERT_FALSE(delays.empty());
    EXPECT_EQ(delays.front(), 0ns) << "there may be capacity at once";
    std::set<Duration> last_delays(delays.end() - 50, delays.end());
    EXPECT_GE(last_delays.size(), 40U) << "randomised, so that the clients do not retry at the same time";
    EXPECT_GE(*last_delays.begin(), 1s);
    EXPECT_LE(*last_delays.rbegin(), 2s);
    s.retry_after = false;
    for (const Duration wait : delays_of(s, 200)) EXPECT_EQ(wait, 0ns);
}

}  // namespace
}  // namespace linnetlead::policy::testing
