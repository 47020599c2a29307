// Rollouts with real gateway processes on real sockets: the operators' file, signals and logs. A fake
// platform stands in for the other services.
#include <gtest/gtest.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "testing/fake_platform.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using test_support::FakePlatform;

const std::string kPools =
    "old = pool(\"old\", kinds = [\"std\"])\nnew = pool(\"new\", kinds = [\"fast\"])\n";
std::string rollout_file(const std::string& more,
                         const std::string& stages = "[stage(percent(30), hold = seconds(2))]") {
    return kPools + "move(\"m\", source = old, target = new, step = seconds(1), stages = " + stages + more +
           ")\n";
}

struct RolloutProcesses {
    explicit RolloutProcesses(const std::string& operators, double slow = 1)
        : platform([&] {
              test_support::FakePlatformSettings settings;
              settings.program = LINNETLEAD_PROGRAM;
              settings.gateways = 2;
              settings.calls_per_s = 100;
              settings.operators = operators;
              return settings;
          }()) {
        for (int i = 0; i < 4; ++i) {
            platform.add_endpoint("old" + std::to_string(i), "std", {}).figures.cores = 4;
            auto& fresh = platform.add_endpoint("new" + std::to_string(i), "fast", {});
            fresh.figures.cores = 4;
            fresh.figures.slow = slow;
        }
        platform.start();
        platform.load(true);
    }
    // The rollout state that the gateway logged last.
    std::string state(int gateway) const {
        std::string last_state;
        for (const auto& logged : platform.log()) {
            const json line = json::parse(logged.line, nullptr, false);
            if (logged.gateway != gateway || !line.is_object()) continue;
            if (line["event"] == "move") last_state = line["to"];
        }
        return last_state;
    }
    bool reaches_state(const std::string& wanted, proxy::Duration within = 40s) {
        return platform.run_until([&] { return state(0) == wanted && state(1) == wanted; }, within);
    }
    bool logged(const std::string& text) const {
        for (const auto& one : platform.log()) {
            if (one.line.find(text) != std::string::npos) return true;
        }
        return false;
    }
    void finish() {
        platform.load(false);
        platform.run_for(6s);
        EXPECT_EQ(platform.audit.broken(), "");
        EXPECT_GT(platform.audit.served, 0u);
    }
    std::uint64_t requests_in_new_pool() {
        std::uint64_t requests = 0;
        for (int i = 0; i < 4; ++i) requests += platform.calls_of("new" + std::to_string(i));
        return requests;
    }
    FakePlatform platform;
};

TEST(RolloutProcessTest, RollsBackSlowPoolOnAllGateways) {
    RolloutProcesses rollout(rollout_file(""), 3);
    EXPECT_TRUE(rollout.reaches_state("undone"));
    const auto requests_before = rollout.requests_in_new_pool();
    EXPECT_GT(requests_before, 0u);
    rollout.platform.run_for(2s);
    EXPECT_EQ(rollout.requests_in_new_pool(), requests_before);
    rollout.finish();
}

// One test for several cases, so that the gateways start only once: an invalid operators' file is reported
// and not applied, pause, a silent registry, an endpoint that drains in a stage, a gateway that is killed and
// restarted, SIGUSR1, abort, and SIGTERM.
TEST(RolloutProcessTest, HandlesFilesSignalsDrainsAndKilledGatewayDuringRollout) {
    RolloutProcesses rollout(rollout_file(", order = \"pause\""));
    rollout.platform.run_for(2s);
    EXPECT_EQ(rollout.requests_in_new_pool(), 0u);
    rollout.platform.operate(rollout_file(", ordr = \"run\""));
    EXPECT_TRUE(
        rollout.platform.run_until([&] { return rollout.logged("there is no argument 'ordr' here"); }, 5s));
    rollout.platform.operate(rollout_file("", "[stage(percent(30), hold = minutes(5)), stage(percent(50))]"));
    ASSERT_TRUE(rollout.reaches_state("holding"));
    rollout.platform.registry_is_silent(true);  // the last endpoint list stays in use
    rollout.platform.run_for(1s);
    EXPECT_EQ(rollout.state(0), "holding");
    rollout.platform.registry_is_silent(false);
    rollout.platform.list("new0", FakePlatform::Stage::kTerminating);
    rollout.platform.run_for(1s);
    const auto requests_when_drained = rollout.platform.calls_of("new0");
    rollout.platform.kill(1);
    rollout.platform.start_again(1);
    EXPECT_TRUE(
        rollout.platform.run_until([&] { return rollout.logged("the other gateways are at stage 1"); }, 12s));
    EXPECT_EQ(rollout.platform.calls_of("new0"), requests_when_drained);
    rollout.platform.gateway(0).signal(SIGUSR1);
    EXPECT_TRUE(rollout.platform.run_until([&] { return rollout.logged("\"verdict\":"); }, 5s));
    rollout.platform.operate(
        rollout_file(", order = \"abort\"", "[stage(percent(30), hold = minutes(5)), stage(percent(50))]"),
        0);
    EXPECT_TRUE(rollout.reaches_state("undone", 10s));
    rollout.platform.gateway(0).signal(SIGTERM);
    rollout.platform.run_for(300ms);
    rollout.platform.load(false);
    EXPECT_TRUE(rollout.platform.run_until([&] { return rollout.platform.gateway(0).has_ended(); }, 8s));
    EXPECT_EQ(rollout.platform.gateway(0).exit_code(), 0);
    rollout.platform.run_for(6s);
    EXPECT_EQ(rollout.platform.audit.broken(), "");
}

TEST(RolloutProcessTest, CommandLineReportsInvalidFileWithExitCodeOne) {
    const std::string path = test_support::temporary_path("star");
    const auto run = [&](std::vector<std::string> arguments) {
        test_support::Process process(LINNETLEAD_PROGRAM,
                                      R"({"listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
        "settings":{"classes":[{"name":"a","aim":1,"deadline":2}],"tariffs":[{"name":"p"}]}})",
                                      std::move(arguments));
        std::string output = process.line();
        const int code = process.exit_code();
        return std::pair(code, output);
    };
    test_support::write_file(path, kPools + "move(\"m\")\n");
    for (const auto& arguments : {std::vector<std::string>{"check", path}, {"--operators", path}}) {
        const auto [code, output] = run(arguments);
        EXPECT_EQ(code, 1);
        EXPECT_NE(output.find(path + ":3:1: the argument '"), std::string::npos) << output;
    }
    test_support::write_file(path, kPools);
    EXPECT_EQ(run({"check", path}).first, 0);
    EXPECT_EQ(run({"--version"}).first, 0);
    EXPECT_NE(run({"serve"}).first, 0);
    unlink(path.c_str());
}

}  // namespace
}  // namespace linnetlead
