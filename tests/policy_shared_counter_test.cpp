// Tests of quotas over several gateways: shares, demand reports, reservations, and failures of the shared
// counter.
#include <algorithm>
#include <map>
#include <memory>

#include "policy/demand_count.h"
#include "policy/quota_schedule.h"
#include "quota_fixtures.h"

namespace linnetlead::policy::testing {
namespace {

TEST(DemandReports, TenantOfOneGatewayNeedsNoCounter) {
    Gateway g(quota_settings());
    offer_load(g, 3s, "u", 1);
    EXPECT_TRUE(g.out.counted.empty());
}

// The other gateway has three times the demand and uses its share; then the counter stops answering.
TEST(QuotaShares, FollowDemandAndAreKeptWhileTheCounterIsUnreachable) {
    Gateway g(quota_settings());
    const DemandCount demand_count(20);  // the burst plus an interval's refill
    std::size_t answered = 0;
    std::map<std::string, double> own;  // by count: what this gateway has added
    std::map<std::string, Timestamp> first_call_at;
    int reads = 0;
    bool is_unreachable = false;
    const auto answer = [&] {
        for (; answered < g.out.counted.size(); ++answered) {
            const auto call = g.out.counted[answered];
            own[call.name] += call.amount;
            const Timestamp first = first_call_at.try_emplace(call.name, g.now).first->second;
            if (call.amount == 0 && answered > 0) {  // the first read is of the interval before the start
                ++reads;
                EXPECT_GT(own[call.name], 60) << "rejected requests are reported too, before the read";
            }
            const double part = std::min(1.0, std::chrono::duration<double>(g.now - first).count());
            const double others = demand_count.encode(150 * part, 7.5 * part, -1);
            g.policy.on_counter_reply(g.now, call.name,
                                      is_unreachable ? CounterStatus::kTimeout : CounterStatus::kOk,
                                      own[call.name] + others);
        }
    };
    const auto admitted_in = [&](Duration time) {
        int admitted = 0;
        for (const Timestamp end = g.now + time; g.now < end;) {
            g.run_to(g.now + 20ms);
            answer();
            const auto id = g.submit(1, "u", 2);
            answer();
            if (g.sends(id) != 1) continue;
            ++admitted;
            g.resolve_now(id, Outcome::kOk, 5ms, 0);
        }
        return admitted;
    };
    admitted_in(8s);
    const int share = admitted_in(4s);
    EXPECT_GE(share, 6);  // a quarter of ten units a second
    EXPECT_LE(share, 14);
    EXPECT_GE(reads, 5);
    is_unreachable = true;
    const int last = admitted_in(8s);
    EXPECT_GE(last, 12) << "according to the last share";
    EXPECT_LE(last, 28);
}

TEST(Reservations, AllGatewaysTogetherUseTheBucketAndNoMore) {
    GatewaysWithCounter group(3, quota_settings());
    int admitted = 0;
    for (int i = 0; i < 1000; ++i)
        admitted += group.offer_request(static_cast<std::size_t>(i % 7 % 3), 100s + i * 10ms);
    EXPECT_LE(admitted, 10 + 100 + 3) << "the bucket, ten seconds' refill, and a request each";
    EXPECT_GE(admitted, 100);
}

// A tenant's traffic moves to a gateway with a small share: shares follow past demand, so reservations have
// to admit its requests.
TEST(Reservations, UnusedShareOfOneGatewayIsUsedByAnother) {
    GatewaysWithCounter group(2, quota_settings());
    int i = 0;
    for (; i < 300; ++i) group.offer_request(0, 100s + i * 10ms);
    int admitted = 0;
    for (const int end = i + 100; i < end; ++i) admitted += group.offer_request(1, 100s + i * 10ms);
    EXPECT_GE(admitted, 9) << "ten units refill in that second";
    EXPECT_LE(admitted, 12);
}

// A gateway restarts after the others have emptied the bucket. It must not admit a full burst again.
TEST(DemandReports, RestartedGatewayLearnsTheBucketLevel) {
    GatewaysWithCounter group(2, quota_settings());
    int i = 0;
    for (; i < 500; ++i) group.offer_request(0, 100s + i * 10ms);
    Settings settings = quota_settings();
    settings.self = 1;
    group.gateways[1] = std::make_unique<Gateway>(settings, group.endpoints, 100s + i * 10ms, 99);
    group.answered_calls[1] = 0;
    int admitted = 0;
    for (const int end = i + 100; i < end; ++i) admitted += group.offer_request(1, 100s + i * 10ms);
    EXPECT_LE(admitted, 16)
        << "ten refilled; half of an even part of the bucket is admitted without a reservation";
}

TEST(QuotaShares, AddUpToTheQuotaWhenTheCounterBecomesUnreachable) {
    GatewaysWithCounter group(3, quota_settings());
    int i = 0;
    for (; i < 600; ++i) group.offer_request(static_cast<std::size_t>(i % 3), 100s + i * 10ms);
    int admitted = 0;
    for (const int end = i + 1000; i < end; ++i) {
        admitted +=
            group.offer_request(static_cast<std::size_t>(i % 3), 100s + i * 10ms, CounterStatus::kTimeout);
    }
    EXPECT_LE(admitted, 100 + 20) << "ten seconds' refill, and what was not reported before the outage";
    EXPECT_GE(admitted, 60);
}

TEST(DemandReports, TenantWithLittleDemandNeedsFewCalls) {
    GatewaysWithCounter group(2, quota_settings());
    for (int i = 0; i < 30; ++i)
        EXPECT_TRUE(group.offer_request(static_cast<std::size_t>(i % 2), 100s + i * 1s));
    EXPECT_LE(group.calls, 60) << "a report and a read for each request";
}

// The amounts of calls that an overloaded counter rejects were not added. They have to be added with the next
// call, or the gateways admit those units twice.
TEST(DemandReports, ReportThatTheCounterRejectedIsSentAgain) {
    GatewaysWithCounter group(2, quota_settings());
    int i = 0;
    for (; i < 200; ++i) group.offer_request(0, 100s + i * 10ms);
    for (; i < 210; ++i) group.offer_request(0, 100s + i * 10ms, CounterStatus::kOverloaded);
    int admitted = 0;
    for (const int end = i + 1000; i < end; ++i) admitted += group.offer_request(0, 100s + i * 10ms);
    EXPECT_NEAR(admitted, 100, 12);
}

// With a full bucket, the gateway with a tenth of the demand admits at most its share while its reservations
// are not answered.
TEST(Reservations, WithoutAReplyOnlyTheShareIsAdmitted) {
    GatewaysWithCounter group(2, quota_settings());
    int i = 0;
    for (; i < 1000; ++i) group.offer_request(i % 10 == 0 ? 1 : 0, 100s + i * 10ms);
    for (i += 90; i < 1100; ++i) group.offer_request(0, 100s + i * 10ms);
    const Timestamp now = 100s + (i + 90) * 10ms;
    group.offer_request(1, now);
    int admitted = 0;
    for (int n = 0; n < 30; ++n) admitted += group.offer_request(1, now + n * 2ms, CounterStatus::kTimeout);
    EXPECT_LE(admitted, 4);
}

// If every second reply fails, fewer requests reserve units, and the shares decide on the rest.
TEST(SharedCounter, OverloadedCounterIsCalledLess) {
    Settings settings = quota_settings();
    settings.plans[0] = make_plan(100, 100);
    const auto calls_in = [&](CounterStatus status) {
        GatewaysWithCounter group(2, settings);
        int i = 0;
        for (; i < 1000; ++i) group.offer_request(static_cast<std::size_t>(i % 2), 100s + i * 2ms);
        for (const int end = i + 200; i < end; ++i) {  // only every second reply fails, so there is no outage
            group.offer_request(static_cast<std::size_t>(i % 2), 100s + i * 2ms,
                                i % 4 < 2 ? CounterStatus::kOk : status);
        }
        const int before = group.calls;
        for (const int end = i + 200; i < end; ++i) {
            group.offer_request(static_cast<std::size_t>(i % 2), 100s + i * 2ms,
                                i % 4 < 2 ? CounterStatus::kOk : status);
        }
        return group.calls - before;
    };
    EXPECT_LE(calls_in(CounterStatus::kOverloaded) * 2, calls_in(CounterStatus::kOk));
}

// Three calls in a row fail shortly after a success: the counter still counts as reachable and is called.
TEST(SharedCounter, AFewConsecutiveFailuresAreNoOutage) {
    Settings settings = quota_settings();
    settings.plans[0] = make_plan(100, 100);
    GatewaysWithCounter group(2, settings);
    int i = 0;
    for (; i < 1000; ++i) group.offer_request(0, 100s + i * 2ms);
    const int before = group.calls;
    for (const int end = i + 50; group.calls < before + 3 && i < end; ++i) {
        group.offer_request(0, 100s + i * 2ms, CounterStatus::kTimeout);
    }
    ASSERT_GE(group.calls, before + 3);
    const int calls_after_failures = group.calls;
    for (const int end = i + 50; i < end; ++i) group.offer_request(0, 100s + i * 2ms);
    EXPECT_GE(group.calls, calls_after_failures + 5) << "in the tenth of a second after them";
}

TEST(SharedCounter, UnreachableCounterIsCalledSeldomAndSharesAreKept) {
    Gateway g(quota_settings());
    std::size_t answered = 0;
    int last = 0;
    for (int second = 0; second < 20; ++second) {
        int admitted = 0;
        for (int step = 0; step < 10; ++step) {
            admitted += offer_load(g, 100ms);
            for (; answered < g.out.counted.size(); ++answered) {
                g.policy.on_counter_reply(g.now, g.out.counted[answered].name, CounterStatus::kTimeout, 0);
            }
        }
        last = admitted;
    }
    EXPECT_GE(last, 2);
    EXPECT_LE(last, 8);  // about the even half of ten
    EXPECT_LE(answered, 36U);
}

TEST(DemandReports, TotalBelowTheOwnReportsGrantsNothing) {
    Gateway g(quota_settings());
    std::size_t answered = 0;
    int last = 0;
    for (int second = 0; second < 8; ++second) {
        int admitted = 0;
        for (int step = 0; step < 10; ++step) {
            admitted += offer_load(g, 100ms);
            for (; answered < g.out.counted.size(); ++answered) {
                const auto call = g.out.counted[answered];
                g.policy.on_counter_reply(g.now, call.name, CounterStatus::kOk,
                                          call.amount > 0 ? call.amount : 0);
            }
        }
        last = admitted;
    }
    EXPECT_LE(last, 8) << "a lost count must not grant the whole quota";
}

// Guards against a bucket that is assumed full twice: one gateway has spent it, and another gateway gets its
// first request of the tenant in the next interval.
TEST(Reservations, BucketSpentBeforeAnIntervalBoundaryIsNotFullAtANewGatewayAfterIt) {
    constexpr double kBurst = 20;
    Settings settings = quota_settings();
    settings.plans[0].rate = 0.01;
    settings.plans[0].burst = kBurst;
    constexpr Duration kInterval = 2500ms;  // the longest interval, used for plans this slow
    const Duration stagger{
        static_cast<std::int64_t>(hash_of("u") % static_cast<std::uint64_t>(kInterval.count()))};
    const Timestamp boundary = kInterval * ((110s + stagger) / kInterval) - stagger;
    for (const Duration before : {10ms, 100ms, 1000ms}) {
        for (const Duration after : {0ms, 1ms, 10ms, 40ms, 60ms, 200ms, 1000ms, 2400ms}) {
            GatewaysWithCounter group(2, settings);
            int spent = 0, admitted = 0;
            for (int i = 0; i < 30; ++i) spent += group.offer_request(0, boundary - before);
            for (int i = 0; i < 30; ++i) admitted += group.offer_request(1, boundary + after);
            EXPECT_GE(spent, 15);
            EXPECT_LE(spent + admitted, kBurst + kBurst / 4)
                << "half of an even part is admitted without a reservation; " << before / 1ms
                << " ms before and " << after / 1ms << " ms after the boundary: " << spent << " and "
                << admitted;
        }
    }
}

}  // namespace
}  // namespace linnetlead::policy::testing
