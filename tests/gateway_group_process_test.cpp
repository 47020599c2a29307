// Agreement between several real gateway processes under faults: lossy links, partitions, stalls, crashes,
// old settings files and state files, and faults injected at numbered points of a process.
#include <gtest/gtest.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <set>

#include "testing/fake_platform.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using test_support::FakePlatform;
using test_support::FakePlatformSettings;

std::string settings_file(int version, const std::string& more = "") {
    return "accord(" + std::to_string(version) + more + ")\n" + "plan(\"p" + std::to_string(version) +
           "\", rate = per_second(" + std::to_string(100 + version) +
           "), burst = 200)\naccount(\"0000000000000001\", plan = \"p" + std::to_string(version) + "\")\n";
}

struct GatewayGroupProcesses {
    explicit GatewayGroupProcesses(int gateways, const std::string& operators,
                                   const std::function<void(FakePlatformSettings&)>& with = {},
                                   int endpoints = 4)
        : platform([&] {
              FakePlatformSettings settings;
              settings.program = LINNETLEAD_PROGRAM;
              settings.gateways = gateways;
              settings.calls_per_s = 90;
              settings.operators = operators;
              settings.peers = settings.relays = settings.second_address = true;
              if (with) with(settings);
              return settings;
          }()) {
        for (int i = 0; i < endpoints; ++i)
            platform.add_endpoint("w" + std::to_string(i), "std", {}).figures.cores = 4;
        for (int i = 0; i < gateways; ++i) {
            for (int j = 0; j < gateways; ++j) {
                if (platform.settings().peers) platform.peers().link(i, j).lost = 0.07;
            }
        }
    }
    json state(int gateway) {
        test_support::SocketPeer client = test_support::connect_to(platform.second_address(gateway));
        client.write("GET /v1/accord HTTP/1.1\r\nHost: x\r\n\r\n");
        if (!platform.run_until([&] { return client.is_over(); }, 2s)) return {};
        const auto body = client.got.find("\r\n\r\n");
        return body == std::string::npos ? json() : json::parse(client.got.substr(body), nullptr, false);
    }
    // The version that a gateway last logged as active, and when.
    std::pair<int, proxy::Timestamp> active_version(int gateway, proxy::Timestamp since = {}) const {
        std::pair<int, proxy::Timestamp> last{0, {}};
        for (const auto& logged : platform.log()) {
            if (logged.gateway != gateway || logged.at < since) continue;
            const json line = json::parse(logged.line, nullptr, false);
            if (!line.is_object() || line.value("what", "") != "in force") continue;
            if (line["text"].get<std::string>().rfind("settings ", 0) != 0) continue;
            last = {std::stoi(line["text"].get<std::string>().substr(std::string("settings ").size())),
                    logged.at};
        }
        return last;
    }
    bool reaches_version(int version, std::set<int> gateways, proxy::Duration within = 10s) {
        return platform.run_until(
            [&] {
                return std::all_of(gateways.begin(), gateways.end(),
                                   [&](int one) { return active_version(one).first == version; });
            },
            within);
    }
    int logged(const std::string& text, int gateway = -1, proxy::Timestamp since = {}) const {
        int lines = 0;
        for (const auto& one : platform.log()) {
            const bool here = (gateway < 0 || one.gateway == gateway) && one.at >= since;
            lines += here && one.line.find(text) != std::string::npos ? 1 : 0;
        }
        return lines;
    }
    void finish() {
        platform.load(false);
        platform.run_for(6s);
        EXPECT_EQ(platform.audit.broken(), "");
        EXPECT_GT(platform.audit.served, 0u);
    }
    FakePlatform platform;
};

TEST(GatewayGroupProcessTest, FileGivenToOneGatewayIsActivatedOnAllAtOnce) {
    for (const int gateways : {3, 5}) {
        GatewayGroupProcesses group(gateways, settings_file(1));
        group.platform.start();
        group.platform.load(true);
        std::set<int> all;
        for (int i = 0; i < gateways; ++i) all.insert(i);
        ASSERT_TRUE(group.reaches_version(1, all)) << gateways;
        group.platform.operate(settings_file(2), gateways - 1);
        ASSERT_TRUE(group.reaches_version(2, all)) << gateways;
        proxy::Timestamp first = proxy::Timestamp::max(), last{};
        for (const int one : all) {
            first = std::min(first, group.active_version(one).second);
            last = std::max(last, group.active_version(one).second);
        }
        EXPECT_LE(last - first, 150ms) << "the logs are read every 20 ms";
        const json state = group.state(0);
        EXPECT_EQ(state["in_force"]["version"], 2);
        EXPECT_EQ(state["fenced"], false);
        EXPECT_EQ(state["way"], "datagrams");
        EXPECT_EQ(state["present"], gateways);
        group.platform.operate(settings_file(1), 0);  // an older version has no effect
        EXPECT_TRUE(group.platform.run_until([&] { return group.logged("is older than", 0) > 0; }, 3s));
        EXPECT_EQ(group.state(0)["in_force"]["version"], 2);
        group.finish();
    }
}

TEST(GatewayGroupProcessTest, RejectsConflictingFilesOfOneVersionAndReportsInvalidFile) {
    GatewayGroupProcesses group(3, settings_file(1));
    group.platform.start();
    ASSERT_TRUE(group.reaches_version(1, {0, 1, 2}));
    group.platform.operate(settings_file(2), 0);
    group.platform.operate(settings_file(2) + "# the other shift's\n", 2);
    EXPECT_TRUE(group.platform.run_until([&] { return group.logged("\"conflict\"") == 3; }, 5s));
    group.platform.run_for(2s);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(group.active_version(i).first, 1) << i;
    group.platform.operate("accord(3)\npool(\n", 1);
    EXPECT_TRUE(group.platform.run_until([&] { return group.logged("\"taken\":false", 1) > 0; }, 3s));
    group.platform.operate(settings_file(3), 1);
    EXPECT_TRUE(group.reaches_version(3, {0, 1, 2}));
}

TEST(GatewayGroupProcessTest, MinorityOfPartitionIsFencedKeepsServingAndRejoins) {
    GatewayGroupProcesses group(5, settings_file(1));
    group.platform.start();
    group.platform.load(true);
    ASSERT_TRUE(group.reaches_version(1, {0, 1, 2, 3, 4}));
    group.platform.run_for(1s);
    const proxy::Timestamp partitioned_at = group.platform.now();
    group.platform.peers().part({3, 4}, true);
    ASSERT_TRUE(group.platform.run_until(
        [&] {
            return group.logged("\"fenced\"", 3, partitioned_at) > 0 &&
                   group.logged("\"fenced\"", 4, partitioned_at) > 0;
        },
        4s));
    EXPECT_EQ(group.state(4)["fenced"], true);
    group.platform.operate(settings_file(2), 0);
    EXPECT_TRUE(group.reaches_version(2, {0, 1, 2}));
    EXPECT_EQ(group.active_version(3).first, 1);
    // The three are a bare majority on lossy links, so one of them may be fenced for a moment, but not for
    // long.
    EXPECT_TRUE(group.platform.run_until(
        [&] { return group.state(0)["fenced"] == false && group.state(1)["fenced"] == false; }, 1s));
    const auto served = group.platform.audit.served;
    group.platform.run_for(1s);
    EXPECT_GT(group.platform.audit.served, served + 30) << "fenced gateways keep serving";
    group.platform.peers().part({3, 4}, false);
    EXPECT_TRUE(group.reaches_version(2, {0, 1, 2, 3, 4}));
    EXPECT_TRUE(group.platform.run_until([&] { return group.state(3)["fenced"] == false; }, 3s));
    group.finish();
}

TEST(GatewayGroupProcessTest, StoppedProcessIsFencedBeforeItActsAgain) {
    GatewayGroupProcesses group(3, settings_file(1));
    group.platform.start();
    ASSERT_TRUE(group.reaches_version(1, {0, 1, 2}));
    group.platform.gateway(2).signal(SIGSTOP);
    group.platform.run_for(500ms);
    group.platform.operate(settings_file(2), 0);
    ASSERT_TRUE(group.reaches_version(2, {0, 1}));
    group.platform.run_for(1s);
    const proxy::Timestamp resumed_at = group.platform.now();
    group.platform.gateway(2).signal(SIGCONT);
    ASSERT_TRUE(group.reaches_version(2, {2}));
    EXPECT_EQ(group.logged("\"stopped\"", 2, resumed_at), 1);
    const auto line_of = [&](const std::string& text) {
        std::size_t line = 0;
        for (const auto& one : group.platform.log()) {
            ++line;
            if (one.gateway == 2 && one.at >= resumed_at && one.line.find(text) != std::string::npos)
                return line;
        }
        return std::size_t{0};
    };
    EXPECT_LT(line_of("\"fenced\""), line_of("\"in force\""))
        << "it must fence itself before it activates a version";
}

TEST(GatewayGroupProcessTest, RestartWithOldFileKeepsAgreedVersion) {
    const std::string state_path = test_support::temporary_path("{gateway}.accord");
    GatewayGroupProcesses group(3, settings_file(1, ", snapshot = \"" + state_path + "\""));
    const std::string second = settings_file(2, ", snapshot = \"" + state_path + "\"");
    group.platform.start();
    ASSERT_TRUE(group.reaches_version(1, {0, 1, 2}));
    group.platform.operate(second, 0);
    ASSERT_TRUE(group.reaches_version(2, {0, 1, 2}));
    group.platform.run_for(700ms);  // until the state is saved
    for (int i = 0; i < 3; ++i) group.platform.kill(i);
    const proxy::Timestamp restarted_at = group.platform.now();
    for (int i = 1; i < 3; ++i) group.platform.start_again(i);  // their files still have version 1
    ASSERT_TRUE(group.platform.run_until([&] { return group.state(1)["fenced"] == false; }, 5s));
    EXPECT_EQ(group.state(1)["in_force"]["version"], 2) << "restored from the saved state";
    EXPECT_EQ(group.logged("\"restored\"", 1, restarted_at), 1);
    EXPECT_EQ(group.logged("is older than", 1, restarted_at), 1) << "its file is reported and has no effect";
    group.platform.start_again(0);
    ASSERT_TRUE(group.platform.run_until([&] { return group.state(0)["fenced"] == false; }, 5s));
    EXPECT_EQ(group.state(0)["in_force"]["version"], 2);
    for (int i = 0; i < 3; ++i) {
        std::string path = state_path;
        path.replace(path.find("{gateway}"), 9, "n" + std::to_string(i));
        EXPECT_EQ(unlink(path.c_str()), 0) << path;
    }
}

TEST(GatewayGroupProcessTest, DoesNotWaitForLeavingGateway) {
    GatewayGroupProcesses group(3, settings_file(1));
    group.platform.start();
    ASSERT_TRUE(group.reaches_version(1, {0, 1, 2}));
    const proxy::Timestamp left_at = group.platform.now();
    group.platform.gateway(2).signal(SIGTERM);
    ASSERT_TRUE(group.platform.run_until([&] { return group.logged("2 is leaving", 0, left_at) > 0; }, 2s));
    group.platform.operate(settings_file(2), 0);
    ASSERT_TRUE(group.reaches_version(2, {0, 1}, 5s));
    EXPECT_EQ(group.logged("2 is suspect", 0, left_at) + group.logged("2 is suspect", 1, left_at), 0);
}

TEST(GatewayGroupProcessTest, DrainSeenByOneGatewayStopsRequestsOfAll) {
    GatewayGroupProcesses group(3, settings_file(1));
    group.platform.start();
    group.platform.load(true);
    ASSERT_TRUE(group.reaches_version(1, {0, 1, 2}));
    group.platform.run_for(1s);
    group.platform.list_late("w1", FakePlatform::Stage::kTerminating, 0);
    group.platform.run_for(3s);  // the auditor counts requests later than 0.55 s after the drain
    EXPECT_EQ(group.platform.audit.after_drain, 0u);
    const auto requests = group.platform.calls_of("w1");
    group.platform.list_late("w1", FakePlatform::Stage::kInService, 0);  // the drain is cancelled
    EXPECT_TRUE(group.platform.run_until([&] { return group.platform.calls_of("w1") > requests + 20; }, 5s));
    group.finish();
}

TEST(GatewayGroupProcessTest, AgreesThroughCounterWithoutDatagrams) {
    GatewayGroupProcesses group(3, settings_file(1),
                                [](FakePlatformSettings& settings) { settings.peers = false; });
    group.platform.start();
    ASSERT_TRUE(group.reaches_version(1, {0, 1, 2}, 15s));
    group.platform.operate(settings_file(2), 0);
    group.platform.operate(settings_file(2), 1);
    group.platform.run_for(5s);
    EXPECT_EQ(group.active_version(0).first, 1) << "one gateway does not have the file yet";
    EXPECT_EQ(group.state(0)["way"], "counter");
    group.platform.operate(settings_file(2), 2);
    EXPECT_TRUE(group.reaches_version(2, {0, 1, 2}, 15s));
    group.platform.counter_link(2).cut(true);
    EXPECT_TRUE(group.platform.run_until([&] { return group.state(2)["fenced"] == true; }, 8s));
    group.platform.counter_link(2).cut(false);
    EXPECT_TRUE(group.platform.run_until([&] { return group.state(2)["fenced"] == false; }, 8s));
}

TEST(GatewayGroupProcessTest, AllSetAsideSlowEndpointAndGatewayWithBadLinksDegradesNone) {
    GatewayGroupProcesses group(3, "accord(1)\nhealth(dwell = seconds(3), ramp = seconds(3))\n",
                                [](FakePlatformSettings& settings) { settings.calls_per_s = 150; });
    group.platform.start();
    group.platform.load(true);
    group.platform.run_for(8s);
    const proxy::Timestamp slow_since = group.platform.now();
    group.platform.endpoint("w2").figures.slow = 6;
    ASSERT_TRUE(group.platform.run_until(
        [&] {
            for (int i = 0; i < 3; ++i) {
                if (group.logged("w2 is degraded", i, slow_since) == 0) return false;
            }
            return true;
        },
        20s));
    const auto requests = group.platform.calls_of("w2"), all_requests = group.platform.audit.asked;
    group.platform.run_for(2s);
    EXPECT_LT(group.platform.calls_of("w2") - requests, (group.platform.audit.asked - all_requests) / 10)
        << "its share was a quarter before";
    group.platform.endpoint("w2").figures.slow = 1;
    const proxy::Timestamp cut_at = group.platform.now();
    for (int i = 0; i < 4; ++i) group.platform.endpoint_link("w" + std::to_string(i), 1).cut(true);
    EXPECT_TRUE(
        group.platform.run_until([&] { return group.logged("\"odd one out\"", 1, cut_at) > 0; }, 15s));
    for (const char* other : {"w0", "w1", "w3"}) {
        EXPECT_EQ(group.logged(std::string(other) + " is degraded", -1, cut_at), 0) << other;
    }
    for (int i = 0; i < 4; ++i) group.platform.endpoint_link("w" + std::to_string(i), 1).cut(false);
    group.finish();
}

std::string statements_file(int version, int prices) {
    return "accord(" + std::to_string(version) + ")\nforms()\nschema(\"prices\", " + std::to_string(prices) +
           ")\n";
}

TEST(GatewayGroupProcessTest, StatementIsPreparedOncePerEndpointAndSurvivesSchemaChangeAndCrash) {
    GatewayGroupProcesses group(3, statements_file(1, 7), [](FakePlatformSettings& settings) {
        settings.form = "bom";
        settings.schemas = {{"prices", 7}};
        settings.tenants = 20;
    });
    group.platform.start();
    ASSERT_TRUE(group.reaches_version(1, {0, 1, 2}));
    group.platform.run_for(500ms);
    EXPECT_NE(group.platform.call(1, "form bom\nqty=1").find("-ERR"), std::string::npos)
        << "the statement is not defined yet";
    EXPECT_EQ(group.platform.call(0, "form bom define prices\nfour sheets of steel").substr(0, 1), "$");
    ASSERT_TRUE(group.platform.run_until(
        [&] {
            for (int i = 0; i < 4; ++i) {
                if (!group.platform.prepared("w" + std::to_string(i), "bom")) return false;
            }
            return true;
        },
        5s));
    EXPECT_EQ(group.platform.prepares, 4u);
    EXPECT_EQ(group.platform.call(2, "form bom\nqty=1").substr(0, 1), "$");
    group.platform.load(true);
    group.platform.run_for(2s);
    EXPECT_EQ(group.platform.prepares_again, 0u) << "once per endpoint, not once per gateway";
    group.platform.move("w0", "prices", 8);
    group.platform.move("w1", "prices", 8);
    group.platform.run_for(500ms);
    group.platform.operate(statements_file(2, 8), 1);
    ASSERT_TRUE(group.reaches_version(2, {0, 1, 2}));
    group.platform.move("w2", "prices", 8);
    group.platform.run_for(1s);
    const auto served = group.platform.audit.served, failed = group.platform.audit.failed;
    group.platform.kill(2);
    group.platform.start_again(2);
    group.platform.move("w3", "prices", 8);
    group.platform.run_for(4s);
    EXPECT_GT(group.platform.audit.served, served + 150);
    EXPECT_LE(group.platform.audit.failed, failed + 3);
    EXPECT_EQ(group.platform.call(2, "form bom\nqty=1").substr(0, 1), "$")
        << "the restarted gateway knows the statement";
    EXPECT_EQ(group.platform.forms_audit.broken, "");
    group.finish();
}

// One process crashes or stalls at a numbered fault point (a datagram, an event, a save). This test covers a
// sample of the points on real processes; the tests in virtual time cover all of them.
class ProcessFaultPoints : public testing::TestWithParam<std::pair<int, const char*>> {};

TEST_P(ProcessFaultPoints, OthersAgreeAndRestartedProcessCatchesUp) {
    const auto [point, fault] = GetParam();
    const bool crashes = std::string(fault) == "crash";
    GatewayGroupProcesses group(3, settings_file(1));
    group.platform.environment[2] = {"LINNETLEAD_POINT=" + std::to_string(point) + ":" + fault};
    group.platform.start();
    group.platform.load(true);
    ASSERT_TRUE(group.reaches_version(1, {0, 1}));
    group.platform.run_for(300ms);
    group.platform.operate(settings_file(2), 0);
    ASSERT_TRUE(group.reaches_version(2, {0, 1}, 15s));
    if (crashes) {
        ASSERT_TRUE(group.platform.run_until([&] { return group.platform.gateway(2).has_ended(); }, 15s));
        group.platform.kill(2);
        group.platform.environment.clear();
        group.platform.start_again(2);
    } else {
        group.platform.run_for(2500ms);  // longer than its lease
        group.platform.gateway(2).signal(SIGCONT);
    }
    ASSERT_TRUE(group.reaches_version(2, {2}, 15s));
    EXPECT_TRUE(group.platform.run_until([&] { return group.state(2)["fenced"] == false; }, 5s));
    group.platform.load(false);
    group.platform.run_for(1s);
    EXPECT_EQ(group.platform.audit.answered_twice + group.platform.audit.ran_again +
                  group.platform.audit.two_out + group.platform.audit.wrong_value,
              0u);
}

INSTANTIATE_TEST_SUITE_P(Spread, ProcessFaultPoints,
                         testing::Values(std::pair(30, "crash"), std::pair(75, "crash"),
                                         std::pair(130, "crash"), std::pair(40, "stall"),
                                         std::pair(100, "stall")),
                         [](const auto& of) { return of.param.second + std::to_string(of.param.first); });

}  // namespace
}  // namespace linnetlead
