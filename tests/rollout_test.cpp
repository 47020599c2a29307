// Rollouts between pools, without sockets: the canary analysis, the slow-start budget, the coordination of
// the gateways, and complete rollouts in virtual time with the failures that they have to handle.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "testing/simulated_gateways.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using namespace traffic;
using test_support::EndpointFigures;
using test_support::SimulatedGateways;

// ---- Canary analysis ------------------------------------------------------------------------------------

// The results that the analysis gives at any time during 60 s with 100 attempts per second. `ratio`: latency
// of the new pool as a multiple of the old pool's. `share`: of attempts in the new pool. `failing`: its error
// rate.
struct AnalysisResult {
    bool worse = false, good = false;
};
AnalysisResult analyze(double ratio, double share, std::uint64_t seed, double failing = 0) {
    CanaryAnalysis analysis(1, {}, seed);
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> latency(0, 0.5);
    std::uniform_real_distribution<double> chance;
    AnalysisResult result;
    analysis.restart(0s);
    for (int ms = 0; ms < 60000; ms += 10) {
        const Side side = chance(random) < share ? Side::kTarget : Side::kSource;
        const bool served = side == Side::kSource || chance(random) >= failing;
        analysis.record_attempt(side, 0, 1, latency(random) * (side == Side::kTarget ? ratio : 1), served,
                                true);
        analysis.tick(Timestamp(ms * 1ms));
        const Evidence& evidence = analysis.evidence();
        result.worse |= log_evidence(evidence.slower, evidence.weight) > std::log(1000) ||
                        evidence.failing > std::log(1000) || analysis.has_gross_failure();
        result.good |= log_evidence(-evidence.shown, evidence.stage_weight) > std::log(20);
    }
    return result;
}

TEST(CanaryAnalysis, DistinguishesWorsePoolFromEqualOneUnderContinuousEvaluation) {
    int alike_worse = 0, alike_good = 0, slow_worse = 0, slow_good = 0, errors = 0;
    constexpr int kRuns = 200;
    for (int seed = 1; seed <= kRuns; ++seed) {
        const AnalysisResult alike = analyze(1, 0.05, seed), slow = analyze(1.6, 0.05, seed);
        alike_worse += alike.worse;
        alike_good += alike.good;
        slow_worse += slow.worse;
        slow_good += slow.good;
        errors += analyze(1, 0.05, seed, 0.3).worse;
    }
    EXPECT_LE(alike_worse, 1);
    EXPECT_GE(alike_good, kRuns * 9 / 10);
    EXPECT_GE(slow_worse, kRuns * 9 / 10);
    EXPECT_LE(slow_good, kRuns / 20);
    EXPECT_GE(errors, kRuns * 9 / 10);
}

TEST(CanaryAnalysis, RaisesFewFalseAlarmsAtToleratedLatency) {
    int alarms = 0;
    for (int seed = 1; seed <= 300; ++seed) alarms += analyze(Tolerance().slower, 0.3, seed).worse;
    EXPECT_LE(alarms, 3);  // the bound is 1 in 1000 per epoch, for two epochs
}

TEST(CanaryAnalysis, RankSumCountsPairsAndHalfOfTies) {
    EXPECT_DOUBLE_EQ(rank_sum_u({1, 2, 3}, {2}), 1.5);
    EXPECT_DOUBLE_EQ(rank_sum_u({HUGE_VAL}, {1, HUGE_VAL}), 1.5);
    EXPECT_DOUBLE_EQ(log_evidence(0, 0), 0);
    EXPECT_LT(log_evidence(-30, 10), 0);
    EXPECT_GT(log_evidence(30, 10), 20);
}

// Errors that affect both pools must not count against the new one.
TEST(CanaryAnalysis, GrossFailureRequiresHealthyOldPool) {
    for (const bool both : {false, true}) {
        CanaryAnalysis analysis(1, {}, 1);
        analysis.restart(0s);
        for (int i = 0; i < 20; ++i) {
            analysis.record_attempt(Side::kTarget, 0, 1, 1, false, false);
            analysis.record_attempt(Side::kSource, 0, 1, 1, !both, !both);
        }
        EXPECT_EQ(analysis.has_gross_failure(), !both);
    }
}

// ---- Slow-start budget ------------------------------------------------------------------------------------

TEST(SlowStartBudget, GrowsWithAgeAndEndpointsUpToLoadOfOldPool) {
    SlowStartBudget budget({0.2, 20s, 4, 1s, 1.5}, 1);
    const std::vector<SlowStartBudget::Endpoint> old(4), young(2, {1, 1000s});
    budget.update_endpoints(1000s, old, young);
    EXPECT_LT(budget.rate(1000s), 0);
    EXPECT_FALSE(budget.try_take(1000s, 0));  // no load has been measured yet
    for (int ms = 0; ms < 30000; ms += 25)
        budget.record_request(980s + ms * 1ms, 0, false);  // 4 s of work per second
    EXPECT_FALSE(budget.try_take(1000s, 1 - 1) && budget.rate(1000s) > 4.0);
    const double at_start = budget.rate(1000s), half = budget.rate(1010s), warm = budget.rate(1020s);
    EXPECT_NEAR(at_start, 2 * 0.2 * 1.5, 0.15);  // each old endpoint carried 1
    EXPECT_NEAR(half / at_start, 3, 0.1);
    EXPECT_NEAR(warm / at_start, 5, 0.1);
    budget.update_endpoints(1020s, old, {{1, 1020s}});
    EXPECT_LT(budget.rate(1020s), half);
    int admitted = 0;
    for (int ms = 0; ms < 10000; ms += 5) {
        budget.tick(1040s + ms * 1ms);
        admitted += budget.try_take(1040s + ms * 1ms, 0);
    }
    EXPECT_NEAR(admitted * 0.1, 10 * budget.rate(1045s), 1.0);
}

// ---- Complete rollouts in virtual time ------------------------------------------------------------------

RoutingSettings rollout_settings() {
    RoutingSettings settings;
    settings.pools = {{"old", {"std"}, {}, {}, {}}, {"new", {"fast"}, {}, {}, {}}};
    RolloutSettings rollout;
    rollout.name = "tender";
    rollout.source = "old";
    rollout.target = "new";
    for (const double share : {0.05, 0.25, 0.5, 1.0}) rollout.stages.push_back({share, 10s});
    rollout.deadline = 10min;
    settings.moves = {rollout};
    return settings;
}

struct SimulatedRollout {
    explicit SimulatedRollout(std::uint64_t seed = 1, const EndpointFigures& fresh = {},
                              Timestamp started = 0s, int gateways = 3, Duration skew = 300ms,
                              bool peers = false)
        : simulation([&] {
              test_support::SimulatedGatewaysSettings settings;
              settings.seed = seed;
              settings.gateways = gateways;
              settings.calls_per_s = 90;
              settings.max_skew = skew;
              settings.peers = peers;
              return settings;
          }()) {
        simulation.target_kind = "fast";
        const Timestamp start = started > 0s ? simulation.now() + 8s : 0s;
        for (int i = 0; i < 8; ++i) {
            simulation.add_endpoint("old" + std::to_string(i), "std", {});
            simulation.add_endpoint("new" + std::to_string(i), "fast", fresh, start);
        }
        simulation.tell_list();
        simulation.run_for(8s);
        simulation.configure(rollout_settings());
    }
    ~SimulatedRollout() {
        simulation.load(false);
        simulation.run_for(10s);
        const test_support::Tally& tally = simulation.tally;
        EXPECT_EQ(tally.answered_twice, 0u);
        EXPECT_EQ(tally.late_answers, 0u);
        EXPECT_EQ(tally.two_out, 0u);
        EXPECT_EQ(tally.ran_again, 0u);
        EXPECT_EQ(tally.sent_to_unwanted, 0u);
        EXPECT_EQ(tally.taken, tally.answered + tally.lost);
    }
    bool all_in_state(State state) {
        for (int i = 0; i < 3; ++i) {
            if (simulation.alive(i) && simulation.move(i) && simulation.move(i)->state() != state)
                return false;
        }
        return true;
    }
    bool reaches_state(State state, Duration within) {
        for (Duration waited{}; waited < within && !all_in_state(state); waited += 100ms)
            simulation.run_for(100ms);
        return all_in_state(state);
    }
    bool reaches_stage(int stage, Duration within) {
        for (Duration waited{}; waited < within && simulation.move(0)->stage() < stage; waited += 100ms) {
            simulation.run_for(100ms);
        }
        return simulation.move(0)->stage() == stage;
    }
    void change_new_endpoints(const std::function<void(test_support::EndpointModel&)>& change) {
        for (int i = 0; i < 8; ++i) change(simulation.endpoint("new" + std::to_string(i)));
    }
    SimulatedGateways simulation;
};

TEST(CanaryRollout, TakesHealthyPoolThroughAllStagesOnAllGateways) {
    SimulatedRollout rollout;
    EXPECT_TRUE(rollout.reaches_state(State::kDone, 4min))
        << rollout.simulation.move(0)->verdict(rollout.simulation.now());
    const auto before = rollout.simulation.tally.attempts_in_target;
    const auto taken = rollout.simulation.tally.taken;
    rollout.simulation.run_for(5s);
    EXPECT_NEAR(static_cast<double>(rollout.simulation.tally.attempts_in_target - before),
                static_cast<double>(rollout.simulation.tally.taken - taken), 5);
    int max_stage_difference = 0;
    std::vector<int> stages(3, 0);
    for (const auto& logged : rollout.simulation.events) {
        stages[static_cast<std::size_t>(logged.gateway)] = logged.event.stage;
        max_stage_difference =
            std::max(max_stage_difference, *std::max_element(stages.begin(), stages.end()) -
                                               *std::min_element(stages.begin(), stages.end()));
    }
    EXPECT_LE(max_stage_difference, 1);
}

struct PoolFault {
    const char* name;
    EndpointFigures figures;
    Duration within;
};
EndpointFigures with(const std::function<void(EndpointFigures&)>& change) {
    EndpointFigures figures;
    change(figures);
    return figures;
}

class BadPool : public ::testing::TestWithParam<int> {};
TEST_P(BadPool, IsRolledBackOnAllGatewaysWithAllRequestsAnswered) {
    static const std::vector<PoolFault> kPoolFaults{
        {"twice as slow", with([](auto& f) { f.slow = 2; }), 40s},
        {"fails fast", with([](auto& f) { f.errors = 0.7; }), 20s},
        {"rejects all requests", with([](auto& f) { f.turns_away = true; }), 25s},
        {"does not answer", with([](auto& f) { f.silent = true; }), 25s},
        {"slow under load only", with([](auto& f) { f.cores = 1, f.speed = 1.3, f.slow_under_load = 1; }),
         4min},
    };
    const PoolFault& fault = kPoolFaults[static_cast<std::size_t>(GetParam())];
    SCOPED_TRACE(fault.name);
    SimulatedRollout rollout(static_cast<std::uint64_t>(GetParam()) + 10, fault.figures);
    EXPECT_TRUE(rollout.reaches_state(State::kUndone, fault.within))
        << rollout.simulation.move(0)->verdict(rollout.simulation.now());
    Timestamp first = Timestamp::max();
    for (const auto& logged : rollout.simulation.events) {
        if (logged.event.to == State::kRollingBack) first = std::min(first, logged.event.at);
    }
    EXPECT_LE(rollout.simulation.tally.last_in_target, first + 3s);
    rollout.simulation.run_for(20s);
    EXPECT_TRUE(rollout.all_in_state(State::kUndone));
}
INSTANTIATE_TEST_SUITE_P(CanaryRollout, BadPool, ::testing::Range(0, 5));

// A slowdown of both pools must not count against the new one.
TEST(CanaryRollout, DoesNotRollBackWhenBothPoolsSlowDown) {
    SimulatedRollout rollout(3);
    ASSERT_TRUE(rollout.reaches_stage(2, 2min));
    const auto slow = [&](double times) {
        for (int i = 0; i < 8; ++i)
            rollout.simulation.endpoint("old" + std::to_string(i)).figures.slow = times;
        rollout.change_new_endpoints([&](auto& endpoint) { endpoint.figures.slow = times; });
    };
    slow(2.2);
    rollout.simulation.run_for(12s);
    slow(1);
    EXPECT_TRUE(rollout.reaches_state(State::kDone, 4min))
        << rollout.simulation.move(0)->verdict(rollout.simulation.now());
}

TEST(CanaryRollout, RollsBackAtLateStageAndWaitsForOutstandingAttempts) {
    SimulatedRollout rollout(4);
    ASSERT_TRUE(rollout.reaches_stage(3, 3min));
    rollout.simulation.run_for(6s);
    rollout.change_new_endpoints([](auto& endpoint) { endpoint.figures.slow = 3; });
    bool waited_for_attempts = false;
    for (int i = 0; i < 600 && !rollout.all_in_state(State::kUndone); ++i) {
        rollout.simulation.run_for(100ms);
        waited_for_attempts |= rollout.simulation.move(0)->state() == State::kRollingBack;
    }
    EXPECT_TRUE(rollout.all_in_state(State::kUndone));
    EXPECT_TRUE(waited_for_attempts);  // it waited for the outstanding attempts
}

// Without enough attempts the rollout must not advance; at its deadline it rolls back.
TEST(CanaryRollout, HoldsStageWithTooLittleTraffic) {
    SimulatedRollout rollout(5);
    RoutingSettings settings = rollout_settings();
    settings.moves[0].run = 2;
    settings.moves[0].tolerance.least = 100000;
    rollout.simulation.configure(settings);
    rollout.simulation.run_for(90s);
    EXPECT_EQ(rollout.simulation.move(0)->stage(), 1);
    EXPECT_NE(rollout.simulation.move(0)->verdict(rollout.simulation.now()).find("not enough traffic"),
              std::string::npos);
    settings.moves[0].run = 3;
    settings.moves[0].deadline = 20s;
    rollout.simulation.configure(settings);
    EXPECT_TRUE(rollout.reaches_state(State::kUndone, 40s));
    EXPECT_NE(rollout.simulation.move(0)->reason().find("deadline"), std::string::npos);
}

// The endpoints start just before the rollout, and several gateways raise the share at the same time.
TEST(CanaryRollout, KeepsColdPoolBelowOverloadMultiple) {
    double max_load = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedRollout rollout(seed, with([](auto& f) { f.ramp = 18s; }), 1s, 4);
        for (int i = 0; i < 300; ++i) {
            rollout.simulation.run_for(100ms);
            if (i == 100) {  // one endpoint restarts during a step
                rollout.simulation.change_endpoint(
                    "new0", [&](auto& entry) { entry.started = rollout.simulation.now(); });
                rollout.simulation.tell_list();
            }
        }
        rollout.change_new_endpoints(
            [&](auto& endpoint) { max_load = std::max(max_load, endpoint.max_when_cold); });
        rollout.change_new_endpoints([](auto& endpoint) { endpoint.figures.ramp = 0s; });
    }
    EXPECT_GT(max_load, 0);
    EXPECT_LT(max_load, 4);
}

// One cold endpoint gets a stage with 90 % of the traffic of 24 endpoints. The decision module's own limit
// for cold endpoints would not protect it.
TEST(CanaryRollout, LimitsStageThatWouldOverloadColdEndpoint) {
    test_support::SimulatedGatewaysSettings simulation_settings;
    simulation_settings.seed = 21;
    simulation_settings.calls_per_s = 300;
    simulation_settings.gateways = 4;
    SimulatedGateways simulation(simulation_settings);
    for (int i = 0; i < 24; ++i) simulation.add_endpoint("old" + std::to_string(i), "std", {});
    EndpointFigures figures;
    figures.ramp = 18s;
    figures.room = 1000;
    simulation.add_endpoint("new0", "fast", figures, simulation.now() + 8s);
    simulation.tell_list();
    simulation.run_for(8s);
    RoutingSettings settings = rollout_settings();
    settings.moves[0].stages = {{0.9, 10s}};
    settings.moves[0].step = 1s;
    settings.moves[0].tolerance.slower = 9;  // so that nothing rolls the stage back
    settings.moves[0].tolerance.shown = 10;
    settings.moves[0].tolerance.failures = 100;
    settings.moves[0].tolerance.gross = 1;
    simulation.configure(settings);
    simulation.run_for(22s);
    EXPECT_GT(simulation.endpoint("new0").calls, 20u);
    EXPECT_LT(simulation.endpoint("new0").max_when_cold, 4);
    EXPECT_GT(simulation.move(0)->bounded(), 100u);
}

// At a late stage both pools have a good history; a few seconds of errors must still be enough to halt.
TEST(CanaryRollout, RollsBackWithinSecondsOnGrossFailureAtLateStage) {
    SimulatedRollout rollout(14);
    ASSERT_TRUE(rollout.reaches_stage(3, 3min));
    rollout.simulation.run_for(9s);
    const Timestamp begun = rollout.simulation.now();
    rollout.change_new_endpoints([](auto& endpoint) { endpoint.figures.errors = 0.8; });
    rollout.simulation.run_for(10s);
    Timestamp first = Timestamp::max();
    for (const auto& logged : rollout.simulation.events) {
        if (logged.event.to == State::kRollingBack) first = std::min(first, logged.event.at);
    }
    EXPECT_LE(first, begun + 2500ms);
}

TEST(CanaryRollout, FollowsEndpointsThatDrainOrChangePoolDuringStep) {
    SimulatedRollout rollout(6);
    ASSERT_TRUE(rollout.reaches_stage(2, 2min));
    rollout.simulation.change_endpoint("new0",
                                       [](auto& entry) { entry.state = policy::EndpointState::kDraining; });
    rollout.simulation.change_endpoint("old7", [](auto& entry) { entry.kind = "fast"; });
    rollout.simulation.tell_list();
    rollout.simulation.run_for(1s);
    const auto before = rollout.simulation.endpoint("new0").calls;
    const auto changed = rollout.simulation.endpoint("old7").calls;
    rollout.simulation.run_for(10s);
    EXPECT_EQ(rollout.simulation.endpoint("new0").calls, before);
    EXPECT_LT(rollout.simulation.endpoint("old7").calls,
              changed + 120);  // its share of the new pool's requests
    for (int i = 0; i < 8; ++i) {
        rollout.simulation.change_endpoint(
            "new" + std::to_string(i), [](auto& entry) { entry.state = policy::EndpointState::kDraining; });
    }
    rollout.simulation.change_endpoint("old7", [](auto& entry) { entry.kind = "std"; });
    rollout.simulation.tell_list();
    rollout.simulation.run_for(5s);
    EXPECT_TRUE(rollout.all_in_state(State::kHalted));
    rollout.simulation.change_endpoint("new1",
                                       [](auto& entry) { entry.state = policy::EndpointState::kInService; });
    rollout.simulation.tell_list();
    rollout.simulation.run_for(2s);
    EXPECT_FALSE(rollout.all_in_state(State::kHalted));
}

// Without endpoints in the old pool the new pool has to take all requests.
TEST(CanaryRollout, SendsAllRequestsToNewPoolWhenOldPoolIsGone) {
    SimulatedRollout rollout(7);
    rollout.simulation.run_for(5s);
    for (int i = 0; i < 8; ++i) {
        rollout.simulation.change_endpoint(
            "old" + std::to_string(i), [](auto& entry) { entry.state = policy::EndpointState::kDraining; });
    }
    rollout.simulation.tell_list();
    rollout.simulation.run_for(1s);
    const auto served = rollout.simulation.tally.served, taken = rollout.simulation.tally.taken;
    rollout.simulation.run_for(10s);
    EXPECT_GT(rollout.simulation.tally.served - served, (rollout.simulation.tally.taken - taken) * 9 / 10);
}

// ---- Coordination of the gateways -----------------------------------------------------------------------

TEST(GatewayGroup, CutOffGatewayReturnsItsTrafficAndNoGatewayAdvances) {
    SimulatedRollout rollout(8);
    ASSERT_TRUE(rollout.reaches_stage(2, 2min));
    rollout.simulation.cut_counter(0, true);
    rollout.simulation.run_for(12s);
    EXPECT_EQ(rollout.simulation.move(0)->state(), State::kHalted);
    EXPECT_EQ(rollout.simulation.move(0)->share(rollout.simulation.now()), 0);
    rollout.simulation.run_for(40s);
    EXPECT_LE(rollout.simulation.move(1)->stage(), 3);
    rollout.simulation.cut_counter(0, false);
    EXPECT_TRUE(rollout.reaches_state(State::kDone, 5min))
        << rollout.simulation.move(0)->verdict(rollout.simulation.now());
}

TEST(GatewayGroup, EmptiedCounterNeitherRestartsNorResumesRollout) {
    SimulatedRollout rollout(9);
    rollout.change_new_endpoints([](auto& endpoint) { endpoint.figures.errors = 0.9; });
    ASSERT_TRUE(rollout.reaches_state(State::kUndone, 60s));
    const auto before = rollout.simulation.tally.attempts_in_target;
    rollout.simulation.counter.mood = test_support::CounterModel::Mood::kSilent;
    rollout.simulation.run_for(15s);
    rollout.simulation.counter.forget();
    rollout.simulation.counter.mood = test_support::CounterModel::Mood::kWell;
    rollout.simulation.run_for(30s);
    EXPECT_TRUE(rollout.all_in_state(State::kUndone));
    EXPECT_EQ(rollout.simulation.tally.attempts_in_target, before);
}

TEST(GatewayGroup, RestartedGatewayRecoversStageOrHalt) {
    SimulatedRollout rollout(10);
    ASSERT_TRUE(rollout.reaches_stage(3, 3min));
    rollout.simulation.run_for(7s);
    rollout.simulation.kill(1);
    rollout.simulation.run_for(3s);
    rollout.simulation.start(1);
    EXPECT_EQ(rollout.simulation.move(1)->share(rollout.simulation.now()), 0);
    rollout.simulation.run_for(6s);
    EXPECT_GE(rollout.simulation.move(1)->stage(), 3);
    EXPECT_LE(std::abs(rollout.simulation.move(1)->stage() - rollout.simulation.move(0)->stage()), 1);
    rollout.change_new_endpoints([](auto& endpoint) { endpoint.figures.errors = 0.9; });
    ASSERT_TRUE(rollout.reaches_state(State::kUndone, 60s));
    rollout.simulation.run_for(10s);
    rollout.simulation.kill(2);
    rollout.simulation.start(2);
    rollout.simulation.run_for(6s);
    EXPECT_EQ(rollout.simulation.move(2)->state(), State::kUndone);
}

// A silent counter must not be read as "no other gateway has started".
TEST(GatewayGroup, GatewayStartedWhileCounterIsSilentWaits) {
    SimulatedRollout rollout(11);
    ASSERT_TRUE(rollout.reaches_stage(2, 2min));
    rollout.simulation.counter.mood = test_support::CounterModel::Mood::kSilent;
    rollout.simulation.run_for(9s);
    rollout.simulation.kill(0);
    rollout.simulation.start(0);
    rollout.simulation.run_for(20s);
    EXPECT_EQ(rollout.simulation.move(0)->state(), State::kWaiting);
    EXPECT_EQ(rollout.simulation.move(0)->share(rollout.simulation.now()), 0);
    rollout.simulation.counter.forget();
    rollout.simulation.counter.mood = test_support::CounterModel::Mood::kWell;
    rollout.simulation.run_for(12s);
    EXPECT_EQ(rollout.simulation.move(0)->stage(), rollout.simulation.move(1)->stage());
    EXPECT_GE(rollout.simulation.move(0)->stage(), 1);
}

TEST(GatewayGroup, AbortPauseAndNewRunOfOneGatewayReachAll) {
    SimulatedRollout rollout(12);
    ASSERT_TRUE(rollout.reaches_stage(2, 2min));
    RoutingSettings paused = rollout_settings();
    paused.moves[0].order = Order::kPause;
    rollout.simulation.configure(1, paused);
    const int stage = rollout.simulation.move(0)->stage();
    rollout.simulation.run_for(40s);
    EXPECT_LE(rollout.simulation.move(0)->stage(), stage);
    EXPECT_EQ(rollout.simulation.move(1)->state(), State::kHalted);
    EXPECT_GT(rollout.simulation.move(1)->share(rollout.simulation.now()), 0);
    rollout.simulation.configure(1, rollout_settings());
    rollout.simulation.run_for(10s);
    EXPECT_NE(rollout.simulation.move(1)->state(), State::kHalted);
    RoutingSettings aborted = rollout_settings();
    aborted.moves[0].order = Order::kAbort;
    rollout.simulation.configure(2, aborted);
    EXPECT_TRUE(rollout.reaches_state(State::kUndone, 5s));
    // A new run number restarts the rollout.
    RoutingSettings again = rollout_settings();
    again.moves[0].run = 2;
    rollout.simulation.configure(again);
    EXPECT_EQ(rollout.simulation.move(0)->state(), State::kWaiting);
    EXPECT_TRUE(rollout.reaches_state(State::kDone, 4min))
        << rollout.simulation.move(0)->verdict(rollout.simulation.now());
}

// Through the counter alone a halt takes up to three seconds; with datagrams, of which some are lost, a few
// ticks.
TEST(GatewayGroup, DatagramsSpeedUpHalt) {
    for (const bool peers : {false, true}) {
        SimulatedRollout rollout(13, {}, 0s, 3, 300ms, peers);
        ASSERT_TRUE(rollout.reaches_stage(1, 1min));
        rollout.simulation.run_for(2s);
        RoutingSettings aborted = rollout_settings();
        aborted.moves[0].order = Order::kAbort;
        rollout.simulation.configure(0, aborted);
        rollout.simulation.run_for(330ms);
        EXPECT_EQ(rollout.simulation.move(1)->share(rollout.simulation.now()) == 0, peers);
        rollout.simulation.run_for(2700ms);
        EXPECT_EQ(rollout.simulation.move(1)->share(rollout.simulation.now()), 0);
    }
}

// The counts of a slot give the exact number of gateways in each phase, for groups of any size.
TEST(GatewayGroup, CountsGiveNumberOfGatewaysInEachPhase) {
    struct FakeCounter final : GroupChannel {
        void count(const std::string& name, double amount, Duration) override {
            totals[name] += amount;
            asked.push_back(name);
        }
        void notify_peers(const std::string&) override {}
        std::map<std::string, double> totals;
        std::vector<std::string> asked;
    };
    for (const int gateways : {2, 3, 9, 40}) {
        FakeCounter counter;
        std::vector<std::unique_ptr<GatewayGroup>> groups;
        CanaryAnalysis analysis(1, {}, 1);
        for (int i = 0; i < gateways; ++i)
            groups.push_back(std::make_unique<GatewayGroup>("x", gateways, 11, counter));
        std::vector<int> expected(11, 0);
        for (int i = 0; i < gateways; ++i) {
            const int phase = i * 7 % 11;
            ++expected[static_cast<std::size_t>(phase)];
            groups[static_cast<std::size_t>(i)]->tick(10s + 20ms, phase, 0, analysis, false);
        }
        counter.asked.clear();
        groups[0]->tick(11s + 400ms, std::nullopt, 0, analysis, false);
        const auto asked = counter.asked;
        for (const std::string& name : asked)
            groups[0]->receive_count(11s + 410ms, name, true, counter.totals[name]);
        ASSERT_TRUE(groups[0]->take_view()) << gateways;
        EXPECT_EQ(groups[0]->view()->gateways_in_phase, expected);
        EXPECT_EQ(groups[0]->view()->reporting_gateways, gateways);
        // A count that fails, or is higher than the number of gateways allows, yields no view.
        counter.asked.clear();
        groups[0]->tick(12s + 400ms, std::nullopt, 0, analysis, false);
        for (const std::string& name : std::vector(counter.asked)) {
            groups[0]->receive_count(12s, name, name != counter.asked.front(), 9999999);
        }
        EXPECT_FALSE(groups[0]->take_view());
    }
}

}  // namespace
}  // namespace linnetlead
