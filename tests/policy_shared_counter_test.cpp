// Quotas over several gateways: shares, demand reports, reservations, and the shared counter's failures.
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
    offer(g, 3s, "u", 1);
    EXPECT_TRUE(g.out.counted.empty());
}

// The other gateway asks for three times as much and uses its share; then the counter stops answering.
TEST(QuotaShares, FollowDemandAndStandWhileTheCounterIsUnreachable) {
    Gateway g(quota_settings());
    const DemandCount form(20);  // the bucket, and an interval's refill
    std::size_t answered = 0;
    std::map<std::string, double> own;  // by count: what this gateway has added
    std::map<std::string, Timestamp> begun;
    int reads = 0;
    bool silent = false;
    const auto answer = [&] {
        for (; answered < g.out.counted.size(); ++answered) {
            const auto call = g.out.counted[answered];
            own[call.name] += call.amount;
            const Timestamp first = begun.try_emplace(call.name, g.now).first->second;
            if (call.amount == 0 && answered > 0) {  // the very first asks for the time before it started
                ++reads;
                EXPECT_GT(own[call.name], 60) << "rejected requests are reported too, and before the read";
            }
            const double part = std::min(1.0, std::chrono::duration<double>(g.now - first).count());
            const double others = form.encode(150 * part, 7.5 * part, -1);
            g.policy.on_counter_reply(g.now, call.name, silent ? CounterStatus::kTimeout : CounterStatus::kOk,
                                      own[call.name] + others);
        }
    };
    const auto passed_in = [&](Duration time) {
        int passed = 0;
        for (const Timestamp end = g.now + time; g.now < end;) {
            g.run_to(g.now + 20ms);
            answer();
            const auto id = g.submit(1, "u", 2);
            answer();
            if (g.sends(id) != 1) continue;
            ++passed;
            g.resolve_now(id, Outcome::kOk, 5ms, 0);
        }
        return passed;
    };
    passed_in(8s);
    const int share = passed_in(4s);
    EXPECT_GE(share, 6);  // a quarter of ten units a second
    EXPECT_LE(share, 14);
    EXPECT_GE(reads, 5);
    silent = true;
    const int last = passed_in(8s);
    EXPECT_GE(last, 12) << "by the last share";
    EXPECT_LE(last, 28);
}

TEST(Reservations, AllGatewaysTogetherUseTheBucketAndNoMore) {
    SharedTenant shared(3, quota_settings());
    int passed = 0;
    for (int i = 0; i < 1000; ++i)
        passed += shared.offer(static_cast<std::size_t>(i % 7 % 3), 100s + i * 10ms);
    EXPECT_LE(passed, 10 + 100 + 3) << "the bucket, ten seconds' refill, and a request each";
    EXPECT_GE(passed, 100);
}

// The weakness of shares by past demand: the traffic of a tenant moves to another gateway, whose share is
// small.
TEST(Reservations, UnusedShareOfOneGatewayIsUsedByAnother) {
    SharedTenant shared(2, quota_settings());
    int i = 0;
    for (; i < 300; ++i) shared.offer(0, 100s + i * 10ms);
    int passed = 0;
    for (const int end = i + 100; i < end; ++i) passed += shared.offer(1, 100s + i * 10ms);
    EXPECT_GE(passed, 9) << "ten units refill in that second";
    EXPECT_LE(passed, 12);
}

// A gateway restarts while the others have emptied the bucket. It must not admit a full burst again.
TEST(DemandReports, RestartedGatewayLearnsWhatTheBucketHolds) {
    SharedTenant shared(2, quota_settings());
    int i = 0;
    for (; i < 500; ++i) shared.offer(0, 100s + i * 10ms);
    Settings settings = quota_settings();
    settings.self = 1;
    shared.all[1] = std::make_unique<Gateway>(settings, shared.servers, 100s + i * 10ms, 99);
    shared.answered[1] = 0;
    int passed = 0;
    for (const int end = i + 100; i < end; ++i) passed += shared.offer(1, 100s + i * 10ms);
    EXPECT_LE(passed, 16)
        << "ten refilled; half of an even part of the bucket is admitted without a reservation";
}

TEST(QuotaShares, AddUpToTheQuotaWhenTheCounterBecomesUnreachable) {
    SharedTenant shared(3, quota_settings());
    int i = 0;
    for (; i < 600; ++i) shared.offer(static_cast<std::size_t>(i % 3), 100s + i * 10ms);
    int passed = 0;
    for (const int end = i + 1000; i < end; ++i) {
        passed += shared.offer(static_cast<std::size_t>(i % 3), 100s + i * 10ms, CounterStatus::kTimeout);
    }
    EXPECT_LE(passed, 100 + 20) << "ten seconds' refill, and what was not reported before the outage";
    EXPECT_GE(passed, 60);
}

TEST(DemandReports, TenantOfLittleDemandCostsFewCalls) {
    SharedTenant shared(2, quota_settings());
    for (int i = 0; i < 30; ++i) EXPECT_TRUE(shared.offer(static_cast<std::size_t>(i % 2), 100s + i * 1s));
    EXPECT_LE(shared.calls, 60) << "a report and a read for each request";
}

// Calls that an overloaded counter rejects were not added. Their amount has to be added with the next call,
// or the gateways admit it twice.
TEST(DemandReports, ReportThatTheCounterRejectedIsSentAgain) {
    SharedTenant shared(2, quota_settings());
    int i = 0;
    for (; i < 200; ++i) shared.offer(0, 100s + i * 10ms);
    for (; i < 210; ++i) shared.offer(0, 100s + i * 10ms, CounterStatus::kOverloaded);
    int passed = 0;
    for (const int end = i + 1000; i < end; ++i) passed += shared.offer(0, 100s + i * 10ms);
    EXPECT_NEAR(passed, 100, 12);
}

// With a full bucket, the gateway with a tenth of the demand admits no more than its share while its
// reservations are not answered.
TEST(Reservations, WithoutAReplyOnlyTheShareIsAdmitted) {
    SharedTenant shared(2, quota_settings());
    int i = 0;
    for (; i < 1000; ++i) shared.offer(i % 10 == 0 ? 1 : 0, 100s + i * 10ms);
    for (i += 90; i < 1100; ++i) shared.offer(0, 100s + i * 10ms);
    const Timestamp now = 100s + (i + 90) * 10ms;
    shared.offer(1, now);
    int passed = 0;
    for (int n = 0; n < 30; ++n) passed += shared.offer(1, now + n * 2ms, CounterStatus::kTimeout);
    EXPECT_LE(passed, 4);
}

// Every second answer fails. Fewer requests reserve units then, and the shares decide on the rest.
TEST(SharedCounter, OverloadedCounterIsCalledLess) {
    Settings settings = quota_settings();
    settings.plans[0] = make_plan(100, 100);
    const auto calls_in = [&](CounterStatus status) {
        SharedTenant shared(2, settings);
        int i = 0;
        for (; i < 1000; ++i) shared.offer(static_cast<std::size_t>(i % 2), 100s + i * 2ms);
        for (const int end = i + 200; i < end; ++i) {  // every second answer: no outage
            shared.offer(static_cast<std::size_t>(i % 2), 100s + i * 2ms,
                         i % 4 < 2 ? CounterStatus::kOk : status);
        }
        const int before = shared.calls;
        for (const int end = i + 200; i < end; ++i) {
            shared.offer(static_cast<std::size_t>(i % 2), 100s + i * 2ms,
                         i % 4 < 2 ? CounterStatus::kOk : status);
        }
        return shared.calls - before;
    };
    EXPECT_LE(calls_in(CounterStatus::kOverloaded) * 2, calls_in(CounterStatus::kOk));
}

// Three answers in a row fail shortly after one has come: the counter is reachable and goes on being called.
TEST(SharedCounter, AFewFailuresInARowAreNoOutage) {
    Settings settings = quota_settings();
    settings.plans[0] = make_plan(100, 100);
    SharedTenant shared(2, settings);
    int i = 0;
    for (; i < 1000; ++i) shared.offer(0, 100s + i * 2ms);
    const int before = shared.calls;
    for (const int end = i + 50; shared.calls < before + 3 && i < end; ++i) {
        shared.offer(0, 100s + i * 2ms, CounterStatus::kTimeout);
    }
    ASSERT_GE(shared.calls, before + 3);
    const int spoilt = shared.calls;
    for (const int end = i + 50; i < end; ++i) shared.offer(0, 100s + i * 2ms);
    EXPECT_GE(shared.calls, spoilt + 5) << "in the tenth of a second after them";
}

TEST(SharedCounter, UnreachableCounterIsTriedSeldomAndSharesStand) {
    Gateway g(quota_settings());
    std::size_t answered = 0;
    int last = 0;
    for (int second = 0; second < 20; ++second) {
        int passed = 0;
        for (int step = 0; step < 10; ++step) {
            passed += offer(g, 100ms);
            for (; answered < g.out.counted.size(); ++answered) {
                g.policy.on_counter_reply(g.now, g.out.counted[answered].name, CounterStatus::kTimeout, 0);
            }
        }
        last = passed;
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
        int passed = 0;
        for (int step = 0; step < 10; ++step) {
            passed += offer(g, 100ms);
            for (; answered < g.out.counted.size(); ++answered) {
                const auto call = g.out.counted[answered];
                g.policy.on_counter_reply(g.now, call.name, CounterStatus::kOk,
                                          call.amount > 0 ? call.amount : 0);
            }
        }
        last = passed;
    }
    EXPECT_LE(last, 8) << "a lost count must not grant the whole quota";
}

// Guards against a bucket that is presumed full twice: one gateway has spent it, and the next interval has
// begun when another first meets the tenant.
TEST(Reservations, ABucketSpentJustBeforeAnIntervalsEdgeIsNotFullToAGatewayBehindIt) {
    constexpr double kBurst = 20;
    Settings settings = quota_settings();
    settings.plans[0].rate = 0.01;
    settings.plans[0].burst = kBurst;
    constexpr Duration kInterval = 2500ms;  // of so slow a plan, the longest there is
    const Duration stagger{
        static_cast<std::int64_t>(hash_of("u") % static_cast<std::uint64_t>(kInterval.count()))};
    const Timestamp edge = kInterval * ((110s + stagger) / kInterval) - stagger;
    for (const Duration before : {10ms, 100ms, 1000ms}) {
        for (const Duration behind : {0ms, 1ms, 10ms, 40ms, 60ms, 200ms, 1000ms, 2400ms}) {
            SharedTenant shared(2, settings);
            int spent = 0, passed = 0;
            for (int i = 0; i < 30; ++i) spent += shared.offer(0, edge - before);
            for (int i = 0; i < 30; ++i) passed += shared.offer(1, edge + behind);
            EXPECT_GE(spent, 15);
            EXPECT_LE(spent + passed, kBurst + kBurst / 4)
                << "half of an even part is admitted without a reservation; " << before / 1ms
                << " ms before and " << behind / 1ms << " ms behind the edge: " << spent << " and " << passed;
        }
    }
}

}  // namespace
}  // namespace linnetlead::policy::testing
