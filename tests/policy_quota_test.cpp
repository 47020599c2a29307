// Tests of quotas at one gateway: token bucket, hard cap, concurrent attempts, encoding of demand counts.
#include <cmath>
#include <functional>
#include <vector>

#include "policy/demand_count.h"
#include "quota_fixtures.h"

namespace linnetlead::policy::testing {
namespace {

// Attempts of the previous process count against the limit until they have probably ended. Otherwise each hot
// restart would double a tenant's attempts in flight.
TEST(ConcurrencyQuota, HoldsAcrossAHotRestart) {
    Settings s = make_settings();
    s.plans[0].rate = 0;
    s.plans[0].max_concurrent = 2;
    Gateway old_process(s), new_process(s);
    old_process.submit();
    old_process.submit();
    const auto states = old_process.policy.quota_states();
    ASSERT_EQ(states.size(), 1U);
    EXPECT_EQ(states[0].attempts_in_flight, 2);
    new_process.policy.restore_quota(new_process.now, states[0]);
    EXPECT_EQ(new_process.sends(new_process.submit()), 0) << "the limit is reached";
    new_process.run_to(new_process.now + 1s);
    EXPECT_EQ(new_process.sends(new_process.submit()), 1);
    EXPECT_EQ(new_process.sends(new_process.submit()), 1);
    EXPECT_EQ(new_process.sends(new_process.submit()), 0);
}

TEST(HardCap, EvenPartsHoldOverAllGatewaysAndRestarts) {
    Settings s = make_settings();
    s.plans[0].hard_cap_rate = 20;
    s.plans[0].hard_cap_burst = 40;
    double admitted = 0;
    for (int run = 0; run < 2; ++run) {
        for (int gateway = 0; gateway < 2; ++gateway) {
            s.self = gateway;
            Gateway g(s, {make_endpoint("a"), make_endpoint("b")}, 100s + run * 1s);
            for (int i = 0; i < 200; ++i) {
                const auto id = g.submit(1, "u", 2);
                if (g.sends(id) == 1) {
                    admitted += 1;
                    g.resolve(id, Outcome::kOk, 5ms);
                } else {
                    g.now += 5ms;
                }
            }
        }
    }
    EXPECT_GT(admitted, 20);
    EXPECT_LE(admitted, 40 + 2 * 20);  // the burst and two seconds' refill
}

TEST(ConcurrencyQuota, HoldsWithinOneGateway) {
    Settings s = make_settings();
    s.plans[0].rate = 0;
    s.plans[0].max_concurrent = 2;
    Gateway g(s);
    g.submit();
    g.submit();
    g.submit();
    EXPECT_EQ(g.out.sent.size(), 2U);
    EXPECT_EQ(g.out.rejected.size(), 1U);
    g.resolve(1, Outcome::kOk);
    g.submit();
    EXPECT_EQ(g.out.sent.size(), 3U);
}

// Guards against: machines that round halves differently disagree about one number.
TEST(DemandCount, HalvesAreRoundedUp) {
    volatile double max_units = 64;  // known at run time only
    const DemandCount count(max_units);
    EXPECT_EQ(std::floor(count.encode(8, 0, -1)), 13) << "12.5 parts";
    EXPECT_EQ(std::floor(count.encode(7.99, 0, -1)), 12);
    EXPECT_EQ(std::floor(count.encode(24, 0, -1)), 38) << "37.5 parts";
    EXPECT_EQ(std::floor(count.encode(40, 0, -1)), 63) << "62.5 parts";
    EXPECT_EQ(std::floor(count.encode(56, 0, -1)), 88) << "87.5 parts";
}

TEST(DemandCount, EncodesDemandUseAndBucketDeficitInOneNumber) {
    const DemandCount count(20);
    const double a = count.encode(4, 3, -1), b = count.encode(10, 6, -1);
    EXPECT_FALSE(DemandCount::includes_bucket_deficit(a + b));
    EXPECT_NEAR(count.others_spent(a + b, a), 6, 0.02);
    EXPECT_NEAR(count.others_demand(a + b, a), 10, 0.2);
    EXPECT_TRUE(DemandCount::is_at_most(a, a));
    EXPECT_FALSE(DemandCount::is_at_most(a + b, a));
    const double first = count.encode(4, 3, 7);  // includes a bucket deficit of 7
    EXPECT_TRUE(DemandCount::includes_bucket_deficit(first + b));
    EXPECT_NEAR(count.bucket_deficit(first + b), 7 + 3 + 6, 0.03);
    EXPECT_NEAR(count.others_demand(first + b, first), 10, 0.2);
    for (const double spent : {-5.0, 0.0, 19.99, 1e9}) {
        const double number = count.encode(4, spent, 20);
        EXPECT_LT(number - std::floor(number), 1.0);
        EXPECT_EQ(std::floor(number), 20) << "the fraction never carries into the integer part";
    }
}

TEST(TokenBucket, ActualUnitsReplaceTheAnnouncedOnes) {
    Settings s = quota_settings();
    Gateway expensive(s);
    Gateway cheap(s);
    int admitted_expensive = 0;
    int admitted_cheap = 0;
    for (int i = 0; i < 200; ++i) {
        for (Gateway* g : {&expensive, &cheap}) {
            const auto id = g->submit();
            if (g->sends(id) == 1) {
                (g == &expensive ? admitted_expensive : admitted_cheap) += 1;
                g->resolve(id, Outcome::kOk, 5ms, g == &expensive ? 4 : 1);
            } else {
                g->now += 5ms;
            }
            g->run_to(g->now + 15ms);
        }
    }
    EXPECT_LT(admitted_expensive * 2, admitted_cheap);
}

// Number of requests admitted, of this many offered at one instant. No other gateway serves the tenant.
int admitted_now(Gateway& g, int requests) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) admitted += g.sends(g.submit()) > 0 ? 1 : 0;
    return admitted;
}

TEST(TokenBucket, UnitsThatNoEndpointUsedAreReturned) {
    Settings s = quota_settings();
    s.gateways = 1;
    s.plans[0].rate = 0.001;
    const auto left_after = [&](const std::function<void(Gateway&, RequestId)>& act) {
        Gateway g(s, {make_endpoint("a"), make_endpoint("b"), make_endpoint("c"), make_endpoint("d")});
        const auto id = g.submit();
        EXPECT_EQ(g.sends(id), 1);
        act(g, id);
        return admitted_now(g, 15);
    };
    const auto withdrawn = [](Outcome outcome) {
        return [outcome](Gateway& g, RequestId id) {
            g.policy.on_withdrawn(g.now, id);
            g.resolve(id, outcome);
        };
    };
    const auto all_attempts = [](Outcome outcome) {
        return [outcome](Gateway& g, RequestId id) {
            while (g.out.rejected.empty() && g.out.failed.empty()) g.resolve(id, outcome);
        };
    };
    EXPECT_EQ(left_after(withdrawn(Outcome::kNotSent)), 10) << "it was never sent, so the bucket is full";
    EXPECT_EQ(left_after(withdrawn(Outcome::kConnectFailed)), 10);
    EXPECT_EQ(left_after(withdrawn(Outcome::kCancelled)), 9) << "it may have run";
    EXPECT_EQ(left_after(withdrawn(Outcome::kTimeout)), 9);
    EXPECT_EQ(left_after(withdrawn(Outcome::kRejected)), 9) << "an endpoint received it";
    EXPECT_EQ(left_after(withdrawn(Outcome::kOk)), 9);
    EXPECT_EQ(left_after(all_attempts(Outcome::kConnectFailed)), 10) << "rejected in the end, never received";
    EXPECT_EQ(left_after([](Gateway& g, RequestId id) {
                  g.resolve(id, Outcome::kRejected);
                  ASSERT_EQ(g.sends(id), 2);
                  g.policy.on_withdrawn(g.now, id);
                  g.resolve(id, Outcome::kNotSent);
              }),
              9)
        << "an endpoint received its first attempt";
    EXPECT_EQ(left_after([](Gateway& g, RequestId id) {
                  g.resolve(id, Outcome::kConnectFailed);
                  ASSERT_EQ(g.sends(id), 2);
                  g.resolve(id, Outcome::kOk, 10ms, 1);
              }),
              9)
        << "its second attempt was served";
}

TEST(Policy, SameSeedAndEventsGiveTheSameActions) {
    std::vector<std::vector<EndpointId>> runs;
    for (int run = 0; run < 2; ++run) {
        Gateway g(quota_settings());
        offer_load(g, 3s);
        std::vector<EndpointId> endpoints;
        for (const auto& s : g.out.sent) endpoints.push_back(s.endpoint);
        runs.push_back(endpoints);
    }
    EXPECT_EQ(runs[0], runs[1]);
}

}  // namespace
}  // namespace linnetlead::policy::testing
