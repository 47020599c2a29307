// Tests of relay and gateway processes under load: links cut in one or both directions, stalls, SIGKILL,
// restarts with old state, garbage on connections, and faults injected at numbered points of a process.
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <nlohmann/json.hpp>

#include "metering/tenant_terms.h"
#include "server/distribution_client.h"
#include "testing/fake_relay_platform.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using distribution::Change;
using distribution::LogIndex;
using distribution::Rejection;
using nlohmann::json;
using test_support::FakePlatformSettings;
using test_support::FakeRelayPlatform;

constexpr metering::AccountId kAccount = 5000;
const std::vector<FakeRelayPlatform::Place> kThreeRelays{
    {"r0", "eu", "eu-a"}, {"r1", "us", "us-a"}, {"r2", "ap", "ap-a"}};
const std::vector<std::string> kFiveZones{"eu-a", "eu-a", "us-a", "ap-a", "ap-a"};

std::string plan_value(double rate) {
    return json{{"rate", {{"unit", "rate"}, {"value", rate}}}, {"burst", std::max(4.0, rate)}}.dump();
}
std::string on_plan(const std::string& plan) {
    return metering::encode_tenant_terms({{plan, {}, metering::kForever}});
}

struct RelayFleet : FakeRelayPlatform {
    explicit RelayFleet(const std::vector<Place>& relays = kThreeRelays,
                        const std::vector<std::string>& zones = kFiveZones,
                        const std::string& more = ", lead = ms(400), patience = ms(500)")
        : FakeRelayPlatform(
              [] {
                  FakePlatformSettings settings;
                  settings.program = LINNETLEAD_PROGRAM;
                  settings.calls_per_s = 60;
                  return settings;
              }(),
              relays, zones, more) {
        for (int i = 0; i < 4; ++i) town.add_endpoint("w" + std::to_string(i), "std", {}).figures.cores = 4;
    }
    // Submits a change until it is committed, and returns its revision. Retries with the same id while no
    // leader is known.
    LogIndex submit_until_committed(int relay_number, std::vector<distribution::Edit> edits) {
        Change change;
        change.id = "c" + std::to_string(++submitted_changes_);
        change.edits = std::move(edits);
        std::optional<distribution::Answer> answer;
        for (const proxy::Timestamp until = town.now() + 12s; town.now() < until; town.run_for(200ms)) {
            answer = submit(relay_number, change, 3s);
            if (answer && answer->rejection == Rejection::kNone) return answer->revision;
            if (answer && answer->rejection != Rejection::kNoLeader && answer->rejection != Rejection::kBusy)
                break;
        }
        ADD_FAILURE() << change.id << ": "
                      << (answer ? rejection_message(answer->rejection) + (": " + answer->message)
                                 : "no answer")
                      << '\n'
                      << describe();
        return 0;
    }
    // The state and logs of all processes, for failure messages.
    std::string describe() {
        std::string text;
        for (int i = 0; i < 3; ++i) text += relay_state(i).dump() + '\n' + relay_log(i);
        for (const json& one : states()) text += one.dump() + '\n';
        return text;
    }
    // Creates a plan of so many units per second and puts the account on it, in one change.
    LogIndex set_rate_limit(double rate, int at = 0) {
        const std::string plan = "p" + std::to_string(++submitted_changes_);
        return submit_until_committed(
            at, {{"plan/" + plan, plan_value(rate)}, {metering::tenant_key(kAccount), on_plan(plan)}});
    }
    // Units per second of the account's requests that reached endpoints during that time; retries do not
    // count.
    double sent_units_per_s(proxy::Duration time) {
        const double before = sent_units();
        const proxy::Timestamp begun = town.now();
        town.run_for(time);
        return (sent_units() - before) / std::chrono::duration<double>(town.now() - begun).count();
    }
    double sent_units() { return metering::units_of(town.seen[kAccount].estimated); }
    // Share of the units requested for the account during that time that reached endpoints.
    double admitted_share(proxy::Duration time) {
        const double sent_before = sent_units(), asked_before = town.asked_units[kAccount];
        town.run_for(time);
        return (sent_units() - sent_before) / std::max(1.0, town.asked_units[kAccount] - asked_before);
    }
    void stop_load_and_verify() {
        town.ask_much(kAccount, 0);
        town.load(false);
        const test_support::Audit& seen = town.audit;
        town.run_until(
            [&] { return seen.asked <= seen.served + seen.rejected + seen.failed + seen.lost_with_gateway; },
            6s);
        town.run_for(200ms);
        EXPECT_EQ(town.audit.broken(), "");
        EXPECT_GT(town.audit.served, 0u);
    }
    int submitted_changes_ = 0;
};

TEST(DistributionProcess, ChangeFromAFileActivatesEverywhereAtOnceAndIsEnforced) {
    RelayFleet fleet;
    fleet.start();
    fleet.town.load(true);
    fleet.town.ask_much(kAccount, 40);
    const std::string account_text = metering::tenant_key(kAccount).substr(7);
    const auto file = [&](const std::string& name, int rate, int burst) {
        const std::string at = fleet.path(name);
        test_support::write_file(at, "plan(\"held\", rate = per_second(" + std::to_string(rate) +
                                         "), burst = " + std::to_string(burst) + ")\naccount(\"" +
                                         account_text + "\", plan = \"held\")\n");
        return at;
    };
    const std::string wide = file("wide.star", 400, 400), tight = file("tight.star", 8, 10);
    ASSERT_EQ(fleet.command({"change", "apply", "--relay", fleet.address(1), wide}), 0);
    const LogIndex first = fleet.relay_state(1)["committed"];
    ASSERT_TRUE(fleet.wait_for_revision(1, fleet.all_gateways(), 8s)) << fleet.describe();
    ASSERT_TRUE(fleet.wait_for_fenced(false, fleet.all_gateways(), 3s));
    EXPECT_GT(fleet.admitted_share(1500ms), 0.8) << "about 100 units per second are requested, 400 allowed";
    const proxy::Timestamp submitted_at = fleet.town.now();
    ASSERT_EQ(fleet.command({"change", "apply", "--relay", fleet.address(2), "--old", wide, tight}), 0);
    ASSERT_TRUE(fleet.wait_for_revision(first + 1, fleet.all_gateways(), 8s)) << fleet.describe();
    // Times of the log lines, which are read every 20 ms.
    proxy::Timestamp earliest = proxy::Timestamp::max(), latest{};
    int settings_lines = 0;
    for (const auto& one : fleet.town.log()) {
        if (one.at < submitted_at || one.line.find("\"what\":\"settings\"") == std::string::npos) continue;
        earliest = std::min(earliest, one.at);
        latest = std::max(latest, one.at);
        ++settings_lines;
    }
    EXPECT_EQ(settings_lines, 5);
    EXPECT_LE(latest - earliest, 150ms);
    fleet.town.run_for(1s);
    EXPECT_LT(fleet.sent_units_per_s(2s), 30);
    for (const json& state : fleet.states()) {
        EXPECT_EQ(state["way"], "relays");
        EXPECT_EQ(state["distribution"]["longest_contradiction_ms"], 2350);
        EXPECT_EQ(state["distribution"]["pending"], false);
    }
    // Submits a list of edits that routes the account's requests to one endpoint of four.
    const std::string edits = fleet.path("edits.json");
    test_support::write_file(edits, R"([{"key":"pool/one","value":{"ids":["w0"]}},
        {"key":"route/)" + account_text +
                                        R"(","value":{"pool":"one"}},
        {"key":")" + metering::tenant_key(kAccount) +
                                        R"(","value":null}])");
    ASSERT_EQ(fleet.command({"change", "apply", "--relay", fleet.address(0), "--id", "routed", edits}), 0);
    ASSERT_EQ(fleet.command({"change", "apply", "--relay", fleet.address(1), "--id", "routed", edits}), 0)
        << "submitting it again is the same change";
    const LogIndex routed = fleet.relay_state(0)["committed"];
    ASSERT_TRUE(fleet.wait_for_revision(first + 2, fleet.all_gateways(), 8s)) << fleet.describe();
    ASSERT_TRUE(fleet.town.run_until([&] { return fleet.relay_state(0)["in_force"] >= routed; }, 8s));
    const auto one = fleet.town.calls_of("w0"), other = fleet.town.calls_of("w1");
    fleet.town.run_for(2s);
    EXPECT_GT(fleet.town.calls_of("w0") - one, 2 * (fleet.town.calls_of("w1") - other));
    test_support::write_file(edits, R"([{"key":"plan/none","value":null}])");
    EXPECT_EQ(fleet.command({"change", "apply", "--relay", fleet.address(0), edits}), 1)
        << "removes a key that does not exist";
    test_support::write_file(edits, R"([{"key":"plan/none"}])");
    EXPECT_EQ(fleet.command({"change", "apply", "--relay", fleet.address(0), edits}), 1) << "not an edit";
    const std::string nobody = "127.0.0.1:" + std::to_string(test_support::free_port());
    EXPECT_EQ(fleet.command({"change", "apply", "--relay", nobody, "--within", "1", tight}), 2)
        << "no answer";
    EXPECT_EQ(fleet.command({"change", "state", "--relay", nobody}), 2);
    fleet.stop_load_and_verify();
}

TEST(DistributionProcess, DisconnectedGatewayIsFencedKeepsServingAndCatchesUp) {
    RelayFleet fleet;
    fleet.start();
    fleet.town.load(true);
    const LogIndex first = fleet.set_rate_limit(300);
    ASSERT_TRUE(fleet.wait_for_revision(first, fleet.all_gateways(), 8s)) << fleet.describe();
    ASSERT_TRUE(fleet.wait_for_fenced(false, fleet.all_gateways(), 3s));
    fleet.partition({}, {4}, true);
    // Gateway 3 can send to its relays but receives nothing from them.
    for (int relay = 0; relay < 3; ++relay) fleet.gateway_link(3, relay).cut(false, true);
    ASSERT_TRUE(fleet.wait_for_fenced(true, {3, 4}, 3500ms)) << "one lease after the last heartbeat";
    const LogIndex second = fleet.set_rate_limit(5);
    ASSERT_TRUE(fleet.wait_for_revision(second, {0, 1, 2}, 8s))
        << fleet.describe() << "activation does not wait for disconnected gateways";
    ASSERT_TRUE(fleet.wait_for_fenced(false, {0, 1, 2}, 1s));
    for (const int cut : {3, 4}) {
        const json state = fleet.state(cut);
        EXPECT_EQ(state["fenced"], true) << cut;
        EXPECT_EQ(state["distribution"]["revision"], first) << cut;
    }
    const auto served = fleet.town.audit.served;
    fleet.town.run_for(1s);
    EXPECT_GT(fleet.town.audit.served, served + 25) << "fenced gateways keep serving";
    fleet.partition({}, {4}, false);
    for (int relay = 0; relay < 3; ++relay) fleet.gateway_link(3, relay).cut(false);
    ASSERT_TRUE(fleet.wait_for_revision(second, {3, 4}, 8s)) << fleet.describe();
    ASSERT_TRUE(fleet.wait_for_fenced(false, {3, 4}, 3s));
    fleet.stop_load_and_verify();
}

TEST(DistributionProcess, PartitionedRegionIsFencedAndOneWayLinksDoNotBlockChanges) {
    RelayFleet fleet;
    fleet.start();
    fleet.town.load(true);
    const LogIndex first = fleet.set_rate_limit(300);
    ASSERT_TRUE(fleet.wait_for_revision(first, fleet.all_gateways(), 8s)) << fleet.describe();
    // r2 first receives from the others but cannot send to them; then r2 and its region's gateways are cut
    // off entirely.
    fleet.link(2, 0).cut(true);
    fleet.link(2, 1).cut(true);
    const LogIndex second = fleet.set_rate_limit(200);
    ASSERT_TRUE(fleet.wait_for_revision(second, fleet.all_gateways(), 8s)) << fleet.describe();
    fleet.link(2, 0).cut(false);
    fleet.link(2, 1).cut(false);
    fleet.partition({2}, {3, 4}, true);
    ASSERT_TRUE(fleet.wait_for_fenced(true, {3, 4}, 6s));
    const LogIndex third = fleet.set_rate_limit(100, 1);
    ASSERT_TRUE(fleet.wait_for_revision(third, {0, 1, 2}, 8s)) << fleet.describe();
    Change minority_change;
    minority_change.id = "minority";
    minority_change.edits = {{"plan/minority", plan_value(1)}};
    const auto rejected = fleet.submit(2, minority_change, 15s);
    ASSERT_TRUE(rejected.has_value());
    EXPECT_EQ(rejected->rejection, Rejection::kNoLeader) << "one region of three cannot commit";
    fleet.partition({2}, {3, 4}, false);
    const proxy::Timestamp healed = fleet.town.now();
    ASSERT_TRUE(fleet.wait_for_revision(third, {3, 4}, 8s)) << fleet.describe();
    ASSERT_TRUE(fleet.wait_for_fenced(false, {3, 4}, 8s - (fleet.town.now() - healed)));
    fleet.stop_load_and_verify();
}

TEST(DistributionProcess, ChangeSurvivesALeaderKilledBeforeItsActivation) {
    // One relay does not vote, and is the only one in the zone of one gateway.
    std::vector<FakeRelayPlatform::Place> relays = kThreeRelays;
    relays.push_back({"r3", "ap", "ap-b", false});
    RelayFleet fleet(relays, {"eu-a", "eu-a", "us-a", "ap-a", "ap-b"});
    fleet.start();
    fleet.town.load(true);
    const LogIndex first = fleet.set_rate_limit(300, 3);  // which forwards it to the leader
    ASSERT_TRUE(fleet.wait_for_revision(first, fleet.all_gateways(), 8s)) << fleet.describe();
    EXPECT_EQ(fleet.state(4)["distribution"]["relay"], "r3");
    EXPECT_EQ(fleet.relay_state(3)["role"], "follows");
    const auto leader = fleet.leader();
    ASSERT_TRUE(leader.has_value());
    const LogIndex second = fleet.set_rate_limit(7, *leader);
    fleet.kill_relay(*leader);
    const proxy::Timestamp killed = fleet.town.now();
    ASSERT_TRUE(fleet.wait_for_revision(second, fleet.all_gateways(), 8s)) << fleet.describe();
    ASSERT_TRUE(fleet.wait_for_fenced(false, fleet.all_gateways(), 8s - (fleet.town.now() - killed)));
    fleet.start_relay(*leader);  // with the state on its disk
    const LogIndex third = fleet.set_rate_limit(9, (*leader + 1) % 3);
    ASSERT_TRUE(fleet.wait_for_revision(third, fleet.all_gateways(), 8s)) << fleet.describe();
    ASSERT_TRUE(fleet.town.run_until(
        [&] {
            const json state = fleet.relay_state(*leader);
            return state.is_object() && state["revision"] == third && state["fault"] == false;
        },
        5s));
    fleet.stop_load_and_verify();
}

TEST(DistributionProcess, ResumedProcessesDoNotActOnOutdatedState) {
    RelayFleet fleet;
    fleet.start();
    const LogIndex first = fleet.set_rate_limit(300);
    ASSERT_TRUE(fleet.wait_for_revision(first, fleet.all_gateways(), 8s)) << fleet.describe();
    ASSERT_TRUE(fleet.wait_for_fenced(false, fleet.all_gateways(), 3s));
    const auto leader = fleet.leader();
    ASSERT_TRUE(leader.has_value());
    fleet.town.gateway(2).signal(SIGSTOP);
    fleet.relay(*leader).signal(SIGSTOP);
    ASSERT_TRUE(fleet.town.run_until([&] { return fleet.leader().has_value(); }, 8s));
    const LogIndex second = fleet.set_rate_limit(7, *fleet.leader());
    ASSERT_TRUE(fleet.wait_for_revision(second, {0, 1, 3, 4}, 10s)) << fleet.describe();
    const proxy::Timestamp on = fleet.town.now();
    fleet.town.gateway(2).signal(SIGCONT);
    fleet.relay(*leader).signal(SIGCONT);
    ASSERT_TRUE(fleet.wait_for_revision(second, {2}, 8s)) << fleet.describe();
    ASSERT_TRUE(fleet.wait_for_fenced(false, {2}, 5s));
    // The gateway logs that it is fenced before it logs the new settings, so it did not act on the old ones
    // as valid.
    EXPECT_TRUE(fleet.town.run_until([&] { return fleet.logged("\"settings\"", 2, on) > 0; }, 1s));
    std::size_t fence = 0, settings = 0, line = 0;
    for (const auto& one : fleet.town.log()) {
        ++line;
        if (one.gateway != 2 || one.at < on) continue;
        if (fence == 0 && one.line.find("\"what\":\"fenced\"") != std::string::npos) fence = line;
        if (settings == 0 && one.line.find("\"what\":\"settings\"") != std::string::npos) settings = line;
    }
    EXPECT_GT(fence, 0u);
    EXPECT_LT(fence, settings);
    const LogIndex third = fleet.set_rate_limit(9, *leader);
    ASSERT_TRUE(fleet.wait_for_revision(third, fleet.all_gateways(), 8s)) << fleet.describe();
    EXPECT_EQ(fleet.town.audit.broken(), "");
}

TEST(DistributionProcess, AllRelaysRestartedFromDiskContinueTheirLog) {
    RelayFleet fleet;
    fleet.start();
    fleet.town.load(true);
    const LogIndex first = fleet.set_rate_limit(300);
    ASSERT_TRUE(fleet.wait_for_revision(first, fleet.all_gateways(), 8s)) << fleet.describe();
    fleet.town.run_for(1200ms);  // by now the state has been saved
    fleet.town.kill(4);
    const LogIndex second = fleet.set_rate_limit(7);
    ASSERT_TRUE(fleet.wait_for_revision(second, {0, 1, 2, 3}, 8s)) << fleet.describe();
    const proxy::Timestamp again = fleet.town.now();
    for (int i = 0; i < 3; ++i) fleet.kill_relay(i);
    fleet.town.start_again(4);  // with the first revision saved, and no relay running
    fleet.town.run_for(1500ms);
    EXPECT_EQ(fleet.logged("\"revision\":" + std::to_string(first), 4, again), 1)
        << "restored from the saved state";
    EXPECT_EQ(fleet.state(4)["fenced"], true);
    EXPECT_EQ(fleet.state(4)["distribution"]["revision"], first);
    for (int i = 0; i < 3; ++i) fleet.start_relay(i);
    ASSERT_TRUE(fleet.wait_for_revision(second, fleet.all_gateways(), 10s)) << fleet.describe();
    ASSERT_TRUE(fleet.wait_for_fenced(false, fleet.all_gateways(), 5s));
    const LogIndex third = fleet.set_rate_limit(9, 1);
    EXPECT_GT(third, second) << "the log continues";
    ASSERT_TRUE(fleet.wait_for_revision(third, fleet.all_gateways(), 8s)) << fleet.describe();
    EXPECT_EQ(fleet.state(4)["distribution"]["snapshots"], 0) << "caught up by records, not by snapshots";
    fleet.stop_load_and_verify();
}

TEST(DistributionProcess, InvalidFramesCloseOnlyTheirOwnConnection) {
    RelayFleet fleet;
    fleet.start();
    fleet.town.load(true);
    const LogIndex first = fleet.set_rate_limit(300);
    ASSERT_TRUE(fleet.wait_for_revision(first, fleet.all_gateways(), 8s)) << fleet.describe();
    const auto hello = [](distribution::Role role) {
        distribution::Hello made;
        made.role = role;
        made.name = "liar";
        return distribution::write(made);
    };
    distribution::Ack false_ack;
    false_ack.last_index = 1000000;
    false_ack.gateways = 5000;
    const std::vector<std::pair<const char*, std::string>> all{
        {"garbage", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
        {"a length over the limit", std::string("\xff\xff\xff\xff....", 8)},
        {"invalid CBOR", std::string("\0\0\0\4\xff\xff\xff\xff", 8)},
        {"no hello frame first", distribution::write(false_ack)},
        {"an acknowledgement of records that were never sent",
         hello(distribution::Role::kGateway) + distribution::write(false_ack)},
        {"an unknown protocol version",
         [] {
             distribution::Hello made;
             made.version = 99;
             return distribution::write(made);
         }()},
        {"a frame that only relays send",
         hello(distribution::Role::kGateway) + distribution::write(distribution::Welcome{})},
    };
    std::vector<test_support::SocketPeer> peers;
    for (const auto& [what, bytes] : all) {
        peers.push_back(test_support::connect_to(fleet.port(0)));
        peers.back().write(bytes);
    }
    test_support::SocketPeer incomplete_peer = test_support::connect_to(fleet.port(0));
    incomplete_peer.write(hello(distribution::Role::kGateway).substr(0, 9));
    for (std::size_t i = 0; i < all.size(); ++i) {
        EXPECT_TRUE(fleet.town.run_until([&] { return peers[i].is_over(); }, 5s)) << all[i].first;
        // The relay sends an error frame before it closes the connection.
        distribution::FrameReader reader;
        std::string_view bytes = peers[i].got;
        distribution::Frame frame;
        Rejection rejection{};
        bool error_received = false;
        while (reader.take(bytes, frame, rejection) == distribution::FrameReader::State::kFrame) {
            error_received = error_received || std::holds_alternative<distribution::Error>(frame);
        }
        EXPECT_TRUE(error_received) << all[i].first;
    }
    const LogIndex second = fleet.set_rate_limit(100);
    ASSERT_TRUE(fleet.wait_for_revision(second, fleet.all_gateways(), 8s)) << fleet.describe();
    const auto rejection_of = [&](std::vector<distribution::Edit> edits, LogIndex base = 0) {
        Change change;
        change.id = "bad" + std::to_string(++fleet.submitted_changes_);
        change.base_revision = base;
        change.edits = std::move(edits);
        const auto answer = fleet.submit(1, change);
        return answer ? answer->rejection : Rejection::kNone;
    };
    EXPECT_EQ(rejection_of({}), Rejection::kMalformed);
    EXPECT_EQ(rejection_of({{"cat/tom", "{}"}}), Rejection::kUnknownKind);
    EXPECT_EQ(rejection_of({{"plan/none", std::nullopt}}), Rejection::kNoSuchKey);
    EXPECT_EQ(rejection_of({{"plan/bad", "{}"}}), Rejection::kInvalidValue);
    EXPECT_EQ(rejection_of({{"plan/big", std::string(distribution::kMaxValueBytes + 1, 'x')}}),
              Rejection::kTooLarge);
    EXPECT_EQ(rejection_of({{metering::tenant_key(kAccount), on_plan("basico")}}, 1), Rejection::kStaleBase);
    EXPECT_EQ(rejection_of({{"plan/new", plan_value(1)}}, second + 1000), Rejection::kFutureBase);
    EXPECT_TRUE(fleet.town.run_until([&] { return incomplete_peer.is_over(); }, 12s))
        << "a frame that is never completed";
    fleet.stop_load_and_verify();
}

TEST(DistributionProcess, UnsupportedChangeIsWithdrawnAndOthersActivate) {
    RelayFleet fleet;
    fleet.start();
    const LogIndex first = fleet.set_rate_limit(300);
    ASSERT_TRUE(fleet.wait_for_revision(first, fleet.all_gateways(), 8s)) << fleet.describe();
    // The value is well-formed but names a plan that does not exist.
    const LogIndex bad =
        fleet.submit_until_committed(0, {{metering::tenant_key(kAccount), on_plan("nowhere")}});
    const LogIndex good = fleet.set_rate_limit(100, 1);
    ASSERT_TRUE(fleet.wait_for_revision(good, fleet.all_gateways(), 8s)) << fleet.describe();
    bool withdrawal_logged = false;
    for (int i = 0; i < 3; ++i) {
        const std::string log = fleet.relay_log(i);
        withdrawal_logged =
            withdrawal_logged || (log.find("\"withdraw\"") != std::string::npos &&
                                  log.find("change " + std::to_string(bad) + ":") != std::string::npos &&
                                  log.find("among them n") != std::string::npos);
    }
    EXPECT_TRUE(withdrawal_logged) << "no relay logged the withdrawal with gateway names\n"
                                   << fleet.describe();
    for (const json& state : fleet.states()) EXPECT_EQ(state["fenced"], false);
}

// ---- Tests without processes -----------------------------------------------------------------------------

TEST(FleetFile, ReportsErrorsWithTheirPosition) {
    const std::string relays =
        "relay(\"a\", region = \"eu\", zone = \"eu-a\", address = \"127.0.0.1:7600\", votes = True)\n";
    const auto problem = [](const std::string& text) -> std::string {
        const auto document = operator_config::read_document(text, "f");
        if (const auto* wrong = std::get_if<operator_config::Problem>(&document)) return wrong->line();
        try {
            server::read_fleet(std::get<operator_config::Value>(document), "f");
        } catch (const std::exception& e) {
            return e.what();
        }
        return "";
    };
    EXPECT_EQ(problem(relays + "distribution()\n"), "");
    EXPECT_EQ(problem("pool(\"p\", ids = [\"w\"])\n"), "") << "distribution is off unless configured";
    for (const auto& [text, line] : std::vector<std::pair<std::string, std::string>>{
             {"distribution()\n", "f:1:1: distribution() wants relays: relay(...) or relays = [...]"},
             {"distribution(relays = [\"here\"])\n", "f:1:24: no address: 'here'"},
             {relays + "distribution()\naccord(1)\n",
              "f:3:1: accord() beside distribution(): what a tier agrees on comes either way, not both"},
             {relays + "distribution()\npool(\"p\", ids = [\"w\"])\n",
              "f:3:1: pool() beside distribution(): this comes from the relays; give it by 'linnetlead "
              "change "
              "apply'"},
             {relays + "distribution(lead = ms(100))\n", "f:2:1: 'lead' must not lie below 'skew'"},
             {relays + "distribution(lease = ms(10))\n", "f:2:22: 'lease' lies between 1000 ms and 60000 ms"},
             {relays + relays, "f:2:1: there is a relay 'a' already"},
             {relays + "relay(\"b\", region = \"eu\", zone = \"eu-b\", address = \"127.0.0.1:7601\", votes = "
                       "True)\n",
              "f:1:1: 1, 3, 5 or 7 relays have to vote, not 2"},
             {relays + "relay(\"b\", region = \"us\", zone = \"eu-a\", address = \"127.0.0.1:7601\")\n",
              "f:2:1: the zone 'eu-a' is in the region 'eu'"},
             {"relay(\"a\", region = \"eu\", zone = \"eu-a\")\n",
              "f:1:1: the argument 'address' is missing"}}) {
        EXPECT_EQ(problem(text), line);
    }
}

TEST(FleetFile, GatewayPrefersRelaysOfItsZoneThenItsRegion) {
    server::FleetSettings fleet;
    for (const auto& [name, region, zone] : std::vector<std::array<const char*, 3>>{
             {"a", "us", "us-a"}, {"b", "eu", "eu-a"}, {"c", "eu", "eu-b"}, {"d", "eu", "eu-b"}}) {
        fleet.relays.push_back({name, region, zone, name, name, false});
    }
    std::vector<std::string> addresses;
    auto follows = server::follower_of(fleet, "g", "eu-b", 1, addresses);
    EXPECT_EQ(follows.relays, (std::vector<int>{2, 3, 1, 0}));
    EXPECT_EQ(follows.nearest_count, 2u);
    EXPECT_EQ(addresses, (std::vector<std::string>{"a", "b", "c", "d"}));
    follows = server::follower_of(fleet, "g", "mars-a", 1, addresses);
    EXPECT_EQ(follows.nearest_count, 4u) << "in an unknown zone, all relays are equally near";
}

TEST(Distributed, PartialResourcesAreValidatedLikeAFile) {
    const std::string move =
        R"({"source":"a","stages":[{"share":{"unit":"share","value":0.5}}],"target":"b"})";
    operator_config::Resources few{
        {"pool/a", R"({"kinds":["x"]})"}, {"pool/b", R"({"kinds":["y"]})"}, {"move/m", move}};
    EXPECT_TRUE(std::holds_alternative<server::Distributed>(server::read_few(few, nullptr)));
    few["pool/b"] = R"({"kinds":["x","y"]})";
    auto made = server::read_few(few, nullptr);
    ASSERT_TRUE(std::holds_alternative<std::string>(made));
    EXPECT_NE(std::get<std::string>(made).find("overlap"), std::string::npos);
    few.erase("pool/b");
    made = server::read_few(few, nullptr);
    EXPECT_EQ(std::get<std::string>(made), "there is no pool 'b'");
    EXPECT_EQ(server::readable({"tenant/5", R"({"terms":[{"plan":"a"}]})"}),
              "a tenant's key is tenant/ and 16 hex digits below 2^33");
    EXPECT_EQ(server::readable({"tenant/0000000000000005", R"({"terms":[{"plan":"a"}]})"}), "");
    EXPECT_EQ(server::readable({"plan/a", std::nullopt}), "") << "a removed key";
}

// A crash or stall at a numbered point of a relay or gateway process: when it sends or receives a frame or a
// vote, or before or after it writes log entries to disk. These are samples; the simulation in virtual time
// covers every point.
struct Fault {
    const char* process;
    int point;
    const char* fault;
};
void PrintTo(const Fault& of, std::ostream* out) {
    *out << of.process << ' ' << of.fault << " at " << of.point;
}
class DistributionFaultPoints : public testing::TestWithParam<Fault> {};

TEST_P(DistributionFaultPoints, OthersContinueAndTheProcessRecovers) {
    const Fault fault = GetParam();
    const bool crashes = std::string(fault.fault) == "crash", is_relay = fault.process[0] == 'r';
    const std::vector<std::string> with{"LINNETLEAD_POINT=" + std::to_string(fault.point) + ":" +
                                        fault.fault};
    RelayFleet fleet(kThreeRelays, {"eu-a", "us-a", "ap-a"});
    (is_relay ? fleet.environment : fleet.town.environment)[0] = with;
    fleet.start();
    fleet.town.load(true);
    const LogIndex first = fleet.set_rate_limit(300, 1);
    ASSERT_TRUE(fleet.wait_for_revision(first, is_relay ? fleet.all_gateways() : std::vector<int>{1, 2}, 10s))
        << fleet.describe();
    test_support::Process& process = is_relay ? fleet.relay(0) : fleet.town.gateway(0);
    ASSERT_TRUE(
        fleet.town.run_until([&] { return crashes ? process.has_ended() : process.is_stopped(); }, 15s))
        << "the process did not reach the point";
    const auto leader = [&] {
        std::optional<int> found;
        fleet.town.run_until([&] { return (found = fleet.leader()).has_value(); }, 8s);
        return found.value_or(1);
    };
    const LogIndex second = fleet.set_rate_limit(50, leader());
    ASSERT_TRUE(
        fleet.wait_for_revision(second, is_relay ? fleet.all_gateways() : std::vector<int>{1, 2}, 10s))
        << fleet.describe();
    fleet.environment.clear();
    fleet.town.environment.clear();
    if (!crashes) {
        process.signal(SIGCONT);
    } else if (is_relay) {
        fleet.kill_relay(0);
        fleet.start_relay(0);
    } else {
        fleet.town.kill(0);
        fleet.town.start_again(0);
    }
    const LogIndex third = fleet.set_rate_limit(70, 1);
    ASSERT_TRUE(fleet.wait_for_revision(third, fleet.all_gateways(), 10s)) << fleet.describe();
    ASSERT_TRUE(fleet.wait_for_fenced(false, fleet.all_gateways(), 5s));
    ASSERT_TRUE(fleet.town.run_until(
        [&] {
            const json state = fleet.relay_state(0);
            return state.is_object() && state["revision"] == third;
        },
        5s));
    fleet.town.load(false);
    fleet.town.run_for(500ms);
    EXPECT_EQ(fleet.town.audit.answered_twice + fleet.town.audit.ran_again + fleet.town.audit.two_out +
                  fleet.town.audit.wrong_value,
              0u);
}

INSTANTIATE_TEST_SUITE_P(Spread, DistributionFaultPoints,
                         testing::Values(Fault{"relay", 6, "crash"}, Fault{"relay", 45, "crash"},
                                         Fault{"relay", 90, "stall"}, Fault{"gateway", 9, "crash"},
                                         Fault{"gateway", 16, "stall"}),
                         [](const auto& of) {
                             return std::string(of.param.process) + of.param.fault +
                                    std::to_string(of.param.point);
                         });

}  // namespace
}  // namespace linnetlead
