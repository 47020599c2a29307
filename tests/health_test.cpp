// Shared health of endpoints: latency baseline, score board, and simulated gateways in virtual time, with
// faulty endpoints, links and gateways and with faults injected at numbered points.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

#include "cluster/health/shared_health.h"
#include "testing/health_workload.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using namespace health;
using test_support::Fault;
using test_support::HealthWorkload;
using test_support::HealthWorkloadSettings;
using test_support::SimulatedCluster;

constexpr Timestamp kStart = std::chrono::hours(500000);

Report report_of(int gateway, double weight, double failures, double slow, Timestamp at = kStart) {
    Report report;
    report.gateway = gateway;
    report.stats = {at, weight, failures, weight - failures, slow * (weight - failures)};
    return report;
}

TEST(ScoreBoard, CountsARepeatedOrLateReportOnce) {
    ScoreBoard one{ScoreThresholds{}}, other{ScoreThresholds{}};
    const Report old = report_of(1, 3, 0, 0.1), now = report_of(1, 8, 1, 0.2, kStart + 1s);
    one.add_report(kStart + 1s, now);
    for (int i = 0; i < 5; ++i) other.add_report(kStart + 1s, now);
    other.add_report(kStart + 1s, old);
    EXPECT_DOUBLE_EQ(one.assess(kStart + 1s, 1).attempts, other.assess(kStart + 1s, 1).attempts);
    EXPECT_DOUBLE_EQ(one.assess(kStart + 1s, 1).slowness, other.assess(kStart + 1s, 1).slowness);
}

TEST(ScoreBoard, MinorityWithManyAttemptsDoesNotMakeAnEndpointBad) {
    for (const int gateways : {3, 5, 9, 40}) {
        ScoreBoard board{ScoreThresholds{}};
        for (int i = 0; i < gateways; ++i) {
            const bool lies = i < (gateways - 1) / 3;
            board.add_report(kStart, report_of(i, lies ? 4000 : 10, lies ? 4000 : 0, 0));
        }
        board.update_opinion(kStart, 2);
        EXPECT_NE(board.opinion(), Opinion::kBad) << gateways;
    }
}

TEST(ScoreBoard, FaultMakesAnEndpointBadOnlyIfMostGatewaysReportIt) {
    ScoreBoard slow{ScoreThresholds{}}, failing{ScoreThresholds{}}, alone{ScoreThresholds{}};
    for (int i = 0; i < 5; ++i) {
        slow.add_report(kStart, report_of(i, 10, 0, 1.6));
        failing.add_report(kStart, report_of(i, 10, 5, 0));
    }
    alone.add_report(kStart, report_of(0, 100, 100, 0));
    for (ScoreBoard* board : {&slow, &failing, &alone}) board->update_opinion(kStart, 2);
    EXPECT_EQ(slow.opinion(), Opinion::kBad);
    EXPECT_EQ(failing.opinion(), Opinion::kBad);
    EXPECT_EQ(alone.opinion(), Opinion::kGood);
}

TEST(ScoreBoard, NewEndpointProcessStartsWithAGoodOpinion) {
    ScoreBoard board{ScoreThresholds{}};
    for (int i = 0; i < 5; ++i) board.add_report(kStart, report_of(i, 10, 10, 0));
    board.update_opinion(kStart, 2);
    ASSERT_EQ(board.opinion(), Opinion::kBad);
    Report fresh = report_of(0, 1, 0, 0, kStart + 1s);
    fresh.endpoint_process = 7;
    board.add_report(kStart + 1s, fresh);
    EXPECT_EQ(board.opinion(), Opinion::kGood);
    board.add_report(kStart + 1s,
                     report_of(1, 10, 10, 0, kStart + 1s));  // a late report on the previous process
    board.update_opinion(kStart + 1s, 1);
    EXPECT_EQ(board.report_count(), 1u);
}

RC_GTEST_PROP(LatencyBaseline, SubtractsSlownessSharedByAllEndpoints, ()) {
    LatencyBaseline baseline;
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::normal_distribution<double> noise(0, 0.5);
    std::uniform_int_distribution<int> which(0, 7);
    double max_slowness = 0, sum = 0;
    int seen = 0;
    for (int i = 0; i < 1200; ++i) {
        const double slow = i < 600 ? 1 : 5;
        const std::string endpoint = "w" + std::to_string(which(random));
        const double work_s = 0.1 * slow * std::exp(noise(random));
        const double one = baseline.log_slowness("std", 0, 1, work_s, endpoint);
        if (i >= 640) sum += one, ++seen;
        max_slowness = std::max(max_slowness, one);
    }
    RC_ASSERT(std::abs(sum / seen) < 0.25);
}

// ---- Simulated gateways in virtual time -------------------------------------------------------------------

HealthWorkloadSettings workload_settings(int gateways = 3) {
    HealthWorkloadSettings settings;
    settings.fleet.gateways = gateways;
    settings.health.probation_ramp = 5s;
    return settings;
}

// Endpoints that some gateway has considered degraded since `since`.
std::set<int> ever_degraded(HealthWorkload& workload, int endpoints, Timestamp since = {}) {
    std::set<int> all;
    for (int i = 0; i < endpoints; ++i) {
        for (const Timestamp at : workload.degraded_at(i, since)) {
            if (at > Timestamp{}) all.insert(i);
        }
    }
    return all;
}

TEST(SharedHealth, SlowEndpointIsDegradedByAllGatewaysAndRecoversGradually) {
    HealthWorkload workload(workload_settings());
    workload.fleet.run_for(20s);
    EXPECT_EQ(ever_degraded(workload, 8), std::set<int>{}) << "noise degraded a healthy endpoint";
    workload.endpoint(3).slowness = 5;
    const Timestamp slow_since = workload.fleet.now();
    ASSERT_TRUE(workload.fleet.run_until([&] { return workload.gateways_degrading(3) == 3; }, 8s));
    const auto when = workload.degraded_at(3, slow_since);
    EXPECT_LE(*std::max_element(when.begin(), when.end()) - *std::min_element(when.begin(), when.end()),
              500ms);
    const auto requests_before = workload.endpoint(3).requests, total_before = workload.requests;
    workload.fleet.run_for(5s);
    const double share = static_cast<double>(workload.endpoint(3).requests - requests_before) /
                         static_cast<double>(workload.requests - total_before);
    EXPECT_LT(share, 0.03) << "its share was an eighth before";
    EXPECT_GT(workload.endpoint(3).requests, requests_before)
        << "it needs some requests, so that its recovery is noticed";
    workload.endpoint(3).slowness = 1;
    const Timestamp normal_since = workload.fleet.now();
    ASSERT_TRUE(
        workload.fleet.run_until([&] { return workload.verdicts(0, "probation", normal_since) > 0; }, 40s));
    const auto probation_before = workload.endpoint(3).requests, probation_total = workload.requests;
    workload.fleet.run_for(1s);
    EXPECT_LT(static_cast<double>(workload.endpoint(3).requests - probation_before) /
                  static_cast<double>(workload.requests - probation_total),
              0.08);
    EXPECT_TRUE(
        workload.fleet.run_until([&] { return workload.verdicts(0, "healthy", normal_since) > 0; }, 8s));
    EXPECT_EQ(ever_degraded(workload, 8), std::set<int>{3});
}

TEST(SharedHealth, FailingEndpointIsDegradedButSlownessOfAllIsNot) {
    HealthWorkload workload(workload_settings());
    workload.fleet.run_for(10s);
    for (int i = 0; i < 8; ++i) workload.endpoint(i).slowness = 4;
    workload.fleet.run_for(15s);
    for (int i = 0; i < 8; ++i) workload.endpoint(i).slowness = 1;
    workload.fleet.run_for(15s);
    EXPECT_EQ(ever_degraded(workload, 8), std::set<int>{});
    workload.endpoint(5).failure_rate = 0.6;
    EXPECT_TRUE(workload.fleet.run_until([&] { return workload.gateways_degrading(5) == 3; }, 10s));
}

TEST(SharedHealth, EndpointFailingForOneTrafficClassIsDegraded) {
    HealthWorkload workload(workload_settings());
    workload.fleet.run_for(10s);
    workload.endpoint(2).failure_rate_for = [](int, int traffic_class) {
        return traffic_class == 1 ? 1.0 : 0.0;
    };
    EXPECT_TRUE(workload.fleet.run_until([&] { return workload.gateways_degrading(2) == 3; }, 15s))
        << "a third of its requests fail";
}

TEST(SharedHealth, LinkFailuresOfHalfTheGatewaysDegradeNoEndpoint) {
    HealthWorkload workload(workload_settings(6));
    workload.fleet.run_for(10s);
    workload.endpoint(1).failure_rate_for = [](int gateway, int) { return gateway % 2 == 0 ? 1.0 : 0.0; };
    workload.fleet.run_for(20s);
    EXPECT_EQ(ever_degraded(workload, 8), std::set<int>{});
}

TEST(SharedHealth, FaultyGatewayDegradesNoEndpointAndDetectsThatItIsAnOutlier) {
    HealthWorkload workload(workload_settings());
    workload.fleet.run_for(10s);
    for (int i = 0; i < 8; ++i) {
        workload.endpoint(i).failure_rate_for = [](int gateway, int) { return gateway == 2 ? 0.9 : 0.0; };
    }
    workload.fleet.run_for(20s);
    EXPECT_EQ(ever_degraded(workload, 8), std::set<int>{});
    EXPECT_TRUE(workload.health(2).is_outlier());
    EXPECT_FALSE(workload.health(0).is_outlier());
    for (int i = 0; i < 8; ++i) workload.endpoint(i).failure_rate_for = nullptr;
    workload.fleet.run_for(15s);
    EXPECT_FALSE(workload.health(2).is_outlier());
}

TEST(SharedHealth, DegradesAtMostTheConfiguredShare) {
    HealthWorkload workload(workload_settings());
    workload.fleet.run_for(10s);
    for (int i = 0; i < 5; ++i) workload.endpoint(i).failure_rate = 0.7;
    for (int i = 0; i < 40; ++i) {
        workload.fleet.run_for(500ms);
        for (int gateway = 0; gateway < 3; ++gateway)
            ASSERT_LE(workload.health(gateway).degraded().size(), 2u);
    }
    EXPECT_EQ(workload.health(0).degraded().size(), 2u);
}

// Counts how often an endpoint is degraded that fails and recovers in turn for `interval` each.
int count_degradations(Duration min_bad, Duration interval) {
    HealthWorkloadSettings settings = workload_settings();
    settings.health.thresholds.min_bad = min_bad;
    HealthWorkload workload(settings);
    workload.fleet.run_for(10s);
    const Timestamp since = workload.fleet.now();
    for (int i = 0; i < 20; ++i) {
        workload.endpoint(4).failure_rate = i % 2 == 0 ? 0.9 : 0;
        workload.fleet.run_for(interval);
    }
    return workload.verdicts(0, "w4 is degraded", since);
}

TEST(SharedHealth, FlappingEndpointStaysDegradedLongerEachTime) {
    EXPECT_LE(count_degradations(5s, 3s), 2);
    EXPECT_LE(count_degradations(5s, 25s), 8) << "it fails ten times";
    // Without a minimum time the count has to be higher.
    EXPECT_GT(count_degradations(0s, 25s), count_degradations(5s, 25s));
}

TEST(SharedHealth, RestartedOrDrainingEndpointIsNoLongerDegraded) {
    HealthWorkload workload(workload_settings());
    workload.fleet.run_for(10s);
    workload.endpoint(3).failure_rate = 0.9;
    ASSERT_TRUE(workload.fleet.run_until([&] { return workload.gateways_degrading(3) == 3; }, 10s));
    workload.endpoint(3).failure_rate = 0;
    workload.endpoint(3).started = workload.fleet.now();
    workload.notify_list();
    workload.fleet.run_for(300ms);
    EXPECT_EQ(workload.gateways_degrading(3), 0);
    workload.fleet.run_for(10s);
    EXPECT_EQ(workload.gateways_degrading(3), 0) << "reports on the previous process have to be ignored";
    workload.endpoint(3).failure_rate = 0.9;
    ASSERT_TRUE(workload.fleet.run_until([&] { return workload.gateways_degrading(3) == 3; }, 10s));
    workload.endpoint(3).in_service = false;
    workload.notify_list();
    workload.fleet.run_for(300ms);
    EXPECT_TRUE(workload.health(0).degraded().empty()) << "a draining endpoint must not count as degraded";
}

TEST(SharedHealth, FalseReportsOfOneGatewayDegradeNoEndpoint) {
    HealthWorkload workload(workload_settings(5));
    workload.fleet.run_for(10s);
    for (int i = 0; i < 400; ++i) {
        for (int endpoint = 0; endpoint < 8; ++endpoint) {
            for (int attempt = 0; attempt < 3; ++attempt) {
                workload.health(1).on_attempt_end(workload.fleet.time_of(1), "w" + std::to_string(endpoint),
                                                  0, 1, policy::Outcome::kError, 20ms);
            }
        }
        workload.fleet.run_for(50ms);
    }
    EXPECT_EQ(ever_degraded(workload, 8), std::set<int>{});
}

TEST(SharedHealth, VerdictSurvivesCrashesOfTwoGateways) {
    HealthWorkload workload(workload_settings(5));
    workload.fleet.run_for(10s);
    workload.endpoint(6).failure_rate = 0.8;
    ASSERT_TRUE(workload.fleet.run_until([&] { return workload.gateways_degrading(6) == 5; }, 10s));
    for (int i = 0; i < 2; ++i) workload.fleet.crash(i);
    workload.fleet.run_for(25s);  // longer than the life of an opinion's record
    EXPECT_EQ(workload.gateways_degrading(6), 3);
}

// With a safeguard disabled the fault has to appear.
TEST(SharedHealth, WithoutAQuorumOneGatewayDegradesEndpoints) {
    HealthWorkloadSettings settings = workload_settings();
    settings.health.thresholds.test_seams.plain_mean = true;
    HealthWorkload workload(settings);
    workload.fleet.run_for(10s);
    for (int i = 0; i < 8; ++i) {
        workload.endpoint(i).failure_rate_for = [](int gateway, int) { return gateway == 2 ? 0.9 : 0.0; };
    }
    workload.fleet.run_for(20s);
    EXPECT_NE(ever_degraded(workload, 8), std::set<int>{});
}

TEST(SharedHealth, WithAnEntryPerProcessARestartingGatewayCountsManyTimes) {
    for (const bool entry_per_gateway : {true, false}) {
        ScoreThresholds thresholds;
        thresholds.test_seams.entry_per_process = !entry_per_gateway;
        ScoreBoard board{thresholds};
        for (int i = 1; i < 4; ++i) board.add_report(kStart, report_of(i, 6, 0, 0));
        for (int process = 0; process < 9; ++process) {
            Report report = report_of(0, 6, 6, 0, kStart + std::chrono::milliseconds(process));
            report.gateway_process = static_cast<std::uint16_t>(process);
            board.add_report(kStart + 1s, report);
        }
        board.update_opinion(kStart + 1s, 2);
        EXPECT_EQ(board.opinion() == Opinion::kBad, !entry_per_gateway);
    }
}

// ---- One fault at each numbered point ---------------------------------------------------------------------

// Runs gateways with one failing endpoint and an injected fault; returns what is wrong afterwards, empty if
// nothing.
std::string run_with_fault(const std::function<void(SimulatedCluster&)>& prepare) {
    HealthWorkloadSettings settings = workload_settings();
    settings.endpoints = 4;
    settings.requests_per_s = 60;
    settings.fleet.lost = 0.02;
    settings.health.max_degraded_share = 0.5;
    HealthWorkload workload(settings);
    workload.fleet.run_for(4s);
    prepare(workload.fleet);
    workload.endpoint(1).failure_rate = 0.8;
    workload.fleet.run_for(1500ms);
    workload.fleet.inject({});
    workload.fleet.run_for(4500ms);
    if (!workload.fleet.run_until([&] { return workload.gateways_degrading(1) == 3; }, 12s))
        return "the failing endpoint is not degraded by all gateways";
    for (int i = 0; i < 4; ++i) {
        if (i != 1 && workload.gateways_degrading(i) > 0) return "a healthy endpoint is degraded";
    }
    return workload.fleet.broken;
}

TEST(SharedHealthFaults, VerdictsAreRightAfterEachFaultAtEveryThirdPoint) {
    const auto all = test_support::at_each_point(
        run_with_fault, {Fault::kDrop, Fault::kLate, Fault::kCrash, Fault::kStall, Fault::kPart}, 3);
    EXPECT_GT(all.points, 60u);
    for (const std::string& failure : all.failures) ADD_FAILURE() << failure;
    std::printf("%llu points, %llu runs\n", static_cast<unsigned long long>(all.points),
                static_cast<unsigned long long>(all.runs));
}

}  // namespace
}  // namespace linnetlead
