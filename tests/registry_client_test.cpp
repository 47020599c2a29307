// The registry client: the endpoint set and its differences, the state machines of both protocols under
// faults in virtual time, and the complete client on sockets with real gateways.
#include "discovery/registry_client.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>

#include "discovery/endpoint_set.h"
#include "discovery/registry_snapshot.h"
#include "testing/fake_platform.h"
#include "testing/registry_workload.h"
#include "testing/socket_peer.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using discovery::EndpointSet;
using discovery::Source;
using policy::EndpointState;
using test_support::endpoint_value;
using test_support::KvProtocol;
using test_support::KvServer;
using test_support::KvStore;

proxy::DiscoveredEndpoint endpoint(const std::string& id, EndpointState state = EndpointState::kInService,
                                   int port = 80) {
    proxy::DiscoveredEndpoint one;
    one.entry.id = id;
    one.entry.state = state;
    one.address = "127.0.0.1:" + std::to_string(port);
    return one;
}
std::string ids_of(const std::vector<proxy::DiscoveredEndpoint>& entries) {
    std::string all;
    for (const auto& one : entries) {
        all += one.entry.id + (one.entry.state == EndpointState::kInService  ? " "
                               : one.entry.state == EndpointState::kDraining ? "~ "
                                                                             : "- ");
    }
    return all;
}

TEST(EndpointSet, YieldsOnlyChangesInSlicesDrainsFirst) {
    EndpointSet endpoint_set({0.9, 30s, 4});
    endpoint_set.whole(0s, {endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d"),
                            endpoint("b", EndpointState::kInService, 81)});
    EXPECT_EQ(endpoint_set.duplicates(), 1u);
    EXPECT_EQ(ids_of(endpoint_set.next(3)), "b a c ");  // the second entry of b has another address
    endpoint_set.whole(1s, {endpoint("a"), endpoint("b", EndpointState::kInService, 81),
                            endpoint("c", EndpointState::kDraining), endpoint("e"), endpoint("d")});
    EXPECT_EQ(ids_of(endpoint_set.next(2)), "c~ d ");  // a drain overtakes earlier changes
    EXPECT_EQ(ids_of(endpoint_set.next(9)), "e ");
    endpoint_set.whole(
        2s, {endpoint("a"), endpoint("b", EndpointState::kInService, 82), endpoint("e"), endpoint("d")});
    EXPECT_EQ(ids_of(endpoint_set.next(9)), "b c- ");  // another address, and a removal
    endpoint_set.whole(
        3s, {endpoint("a"), endpoint("b", EndpointState::kInService, 82), endpoint("e"), endpoint("d")});
    EXPECT_FALSE(endpoint_set.pending());
    endpoint_set.changes(4s, {endpoint("f"), endpoint("f", EndpointState::kRemoved)});  // in one message
    EXPECT_EQ(ids_of(endpoint_set.next(9)), "f- ");
}

TEST(EndpointSet, RetainsEndpointsAfterDataLossButAppliesDrains) {
    EndpointSet endpoint_set({0.5, 30s, 4});
    std::vector<proxy::DiscoveredEndpoint> all;
    for (int i = 0; i < 10; ++i) all.push_back(endpoint(std::to_string(i)));
    endpoint_set.whole(0s, all);
    endpoint_set.next(100);
    endpoint_set.whole(10s, {});
    EXPECT_EQ(endpoint_set.held(), 10u);
    EXPECT_FALSE(endpoint_set.pending());
    endpoint_set.changes(11s, {endpoint("3", EndpointState::kDraining)});
    EXPECT_EQ(ids_of(endpoint_set.next(9)), "3~ ");
    EXPECT_FALSE(endpoint_set.tick(39s));
    endpoint_set.whole(39s, {all[0], all[1], all[2]});  // some return
    EXPECT_TRUE(endpoint_set.tick(41s));
    EXPECT_EQ(endpoint_set.size(), 4u);  // these, and the one reported as draining meanwhile
    // The limit also applies to single removals within a few seconds.
    for (int i = 0; i < 10; ++i) all[static_cast<std::size_t>(i)].entry.id = "x" + std::to_string(i);
    endpoint_set.changes(60s, all);
    endpoint_set.next(100);
    endpoint_set.tick(80s);
    endpoint_set.next(100);
    const auto size = endpoint_set.size();
    for (int i = 0; i < 10; ++i)
        endpoint_set.changes(100s + 10ms * i, {endpoint("x" + std::to_string(i), EndpointState::kRemoved)});
    EXPECT_GT(endpoint_set.held(), 2u);
    EXPECT_GE(endpoint_set.size(), size / 2);
    endpoint_set.tick(131s);
    EXPECT_EQ(endpoint_set.held(), 0u);
}

TEST(Registry, RejectsInvalidValuesAndDecodesBase64) {
    proxy::DiscoveredEndpoint into;
    EXPECT_EQ(discovery::read_value("a", R"({"addr":"127.0.0.1:80","state":"terminating","cell":3})", into),
              "");
    EXPECT_EQ(into.entry.state, EndpointState::kDraining);
    for (const char* bad :
         {"", "{", "[]", R"({"zone":"a"})", R"({"addr":7})", R"({"addr":"x:1","state":"on"})",
          R"({"addr":"x:1","weight":0})", R"({"addr":"x:1","cell":"b"})"}) {
        EXPECT_NE(discovery::read_value("a", bad, into), "") << bad;
    }
    std::string bytes;
    for (const std::string& text : std::vector<std::string>{"", "a", "ab", "abc", std::string("\0\xff", 2)}) {
        ASSERT_TRUE(discovery::from_base64(discovery::to_base64(text), bytes));
        EXPECT_EQ(bytes, text);
    }
    EXPECT_FALSE(discovery::from_base64("a*c=", bytes));
    EXPECT_FALSE(discovery::from_base64("abc", bytes));
}

// Faults: connections lost during answers, compactions during and between them, a second server that lags
// behind, and invalid values that are corrected later.
TEST(Registry, MissesNoChangeThroughDisconnectsAndCompactions) {
    for (const KvProtocol protocol : {KvProtocol::kConsul, KvProtocol::kEtcd}) {
        std::uint64_t compactions = 0, changes = 0;
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            test_support::KvRunSettings settings;
            settings.protocol = protocol;
            settings.seed = seed;
            const auto result = test_support::run_kv(settings);
            EXPECT_TRUE(result.equal) << seed;
            EXPECT_LT(result.to_equal_s, 12) << seed;
            EXPECT_EQ(result.drains_missed, 0u) << seed;
            compactions += result.compactions;
            changes += result.changes;
        }
        if (protocol == KvProtocol::kEtcd) {
            EXPECT_GT(compactions, 5u);
            EXPECT_GT(changes, 1000u);
        }
    }
}

TEST(Registry, AcceptsAStoreThatLostItsDataWithinSeconds) {
    for (const KvProtocol protocol : {KvProtocol::kConsul, KvProtocol::kEtcd}) {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            test_support::KvRunSettings settings;
            settings.protocol = protocol;
            settings.seed = seed;
            settings.resets_per_s = 0.1;
            const auto result = test_support::run_kv(settings);
            EXPECT_TRUE(result.equal) << seed << ' ' << static_cast<int>(protocol);
            EXPECT_LT(result.to_equal_s, 20) << seed;
        }
    }
}

// ---- On sockets -----------------------------------------------------------------------------------------

// The registry client alone, and one end of its conversation with etcd, played by the test.
struct EtcdConversation final : proxy::EndpointListPort {
    EtcdConversation()
        : client(loop, *this, settings(listener.address()), 1,
                 [](const std::string&, const std::string&) {}) {
        client.start();
    }
    ~EtcdConversation() override {
        client.close();
        loop.drain();
    }
    static net::RegistryClient::Settings settings(const std::string& address) {
        net::RegistryClient::Settings made;
        made.kind = "etcd";
        made.endpoints = {address};
        made.source.prefix = "w/";
        return made;
    }
    void listed(policy::EndpointListKind, const std::vector<proxy::DiscoveredEndpoint>& entries) override {
        for (const auto& one : entries) states[one.entry.id] = one.entry.state;
    }
    bool until(const std::function<bool()>& condition) {
        loop.turn_until(
            [&] {
                if (auto next = listener.accept()) peer = std::move(next);
                return condition();
            },
            5s);
        return condition();
    }
    static std::string pair(const std::string& id, int revision, const std::string& state,
                            const std::string& note = {}) {
        const std::string value =
            R"({"addr":"127.0.0.1:80","state":")" + state + R"(","note":")" + note + "\"}";
        return R"({"key":")" + discovery::to_base64("w/" + id) + R"(","value":")" +
               discovery::to_base64(value) + R"(","mod_revision":")" + std::to_string(revision) + "\"}";
    }
    static std::string header(int revision) {
        return R"({"cluster_id":"7","revision":")" + std::to_string(revision) + "\"}";
    }
    // A message of the watch, as a chunk of the answer.
    static std::string message(int revision, const std::string& rest) {
        const std::string text = R"({"result":{"header":)" + header(revision) + ',' + rest + "}}\n";
        char size[20];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        return size + text + "\r\n";
    }
    static std::string put(int revision, const std::string& pairs) {
        return message(revision, R"("events":[{"kv":)" + pairs + "}]");
    }
    // Answers the list, and the watch as far as that it has begun.
    void begin(const std::string& pairs) {
        ASSERT_TRUE(until([&] { return peer && peer->has("/v3/kv/range"); }));
        const std::string list = R"({"header":)" + header(5) + R"(,"kvs":[)" + pairs + "]}";
        peer->got.clear();
        peer->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
        ASSERT_TRUE(until([&] { return peer && peer->has("/v3/watch"); }));
        peer->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    message(5, R"("created":true)"));
    }
    net::Loop loop;
    test_support::Listener listener;
    std::unique_ptr<test_support::SocketPeer> peer;
    std::map<std::string, EndpointState> states;
    net::RegistryClient client;
};

// Guards against: of several messages behind one that is parsed on a thread, all but the first wait until the
// stream says something more, and a drain among them is learnt up to the watch's silence (20 s) late.
TEST(RegistryStream, MessagesBehindALongOneAreProcessedWithIt) {
    EtcdConversation etcd;
    etcd.begin(EtcdConversation::pair("a", 3, "in_service") + ',' +
               EtcdConversation::pair("b", 4, "in_service"));
    ASSERT_TRUE(etcd.until([&] { return etcd.states.size() == 2; }));
    const std::string note(64 * 1024, 'x');
    etcd.peer->write(EtcdConversation::put(6, EtcdConversation::pair("a", 6, "in_service", note)) +
                     EtcdConversation::put(7, EtcdConversation::pair("a", 7, "in_service")) +
                     EtcdConversation::put(8, EtcdConversation::pair("b", 8, "terminating")));
    EXPECT_TRUE(etcd.until([&] { return etcd.states["b"] == EndpointState::kDraining; }));
    etcd.peer->write(EtcdConversation::put(9, EtcdConversation::pair("a", 9, "terminating")));
    EXPECT_TRUE(etcd.until([&] { return etcd.states["a"] == EndpointState::kDraining; })) << "it is read on";
}

struct RegistryFixture {
    explicit RegistryFixture(KvProtocol kind, int count = 2)
        : protocol(kind), platform([] {
              test_support::FakePlatformSettings settings;
              settings.program = LINNETLEAD_PROGRAM;
              settings.gateways = 2;
              settings.calls_per_s = 60;
              settings.tenants = 20;
              return settings;
          }()) {
        for (int i = 0; i < 4; ++i) {
            const std::string id = "w" + std::to_string(i);
            platform.add_endpoint(id, "std", {}).figures.cores = 4;
            store.put("sites/a/" + id, endpoint_value(platform.endpoint_address(id)));
        }
        for (int i = 0; i < count; ++i) {
            servers.push_back(std::make_unique<KvServer>(platform.loop(), store, protocol));
        }
        platform.settings().operators = operators();
    }
    ~RegistryFixture() {
        platform.load(false);
        platform.kill(0);
        platform.kill(1);
        for (auto& server : servers) server->close();
        for (auto& server : other_servers) server->close();
    }
    std::string operators() const {
        std::string text = std::string("registry(\"") + (protocol == KvProtocol::kEtcd ? "etcd" : "consul") +
                           "\", prefix = \"sites/a/\", wait = seconds(2), hold = seconds(3), endpoints = [";
        for (const auto& server : servers) text += "\"" + server->address() + "\", ";
        return text + "])\n";
    }
    void notify() {
        for (auto& server : servers) server->tell();
    }
    void drain(const std::string& id) {
        store.put("sites/a/" + id, endpoint_value(platform.endpoint_address(id), "terminating"));
        // The audit has to know the time of the drain.
        platform.list(id, test_support::FakePlatform::Stage::kTerminating);
        notify();
    }
    KvProtocol protocol;
    KvStore store;
    // The loop of the fake platform uses them until it ends, so they have to outlive it.
    std::vector<std::unique_ptr<KvServer>> servers, other_servers;
    test_support::FakePlatform platform;
};

class RegistryOnSockets : public ::testing::TestWithParam<KvProtocol> {};
INSTANTIATE_TEST_SUITE_P(Both, RegistryOnSockets, ::testing::Values(KvProtocol::kConsul, KvProtocol::kEtcd),
                         [](const auto& one) { return one.param == KvProtocol::kEtcd ? "Etcd" : "Consul"; });

TEST_P(RegistryOnSockets, AppliesDrainsAndKeepsServingThroughServerFaults) {
    RegistryFixture fixture(GetParam());
    fixture.platform.start();
    fixture.platform.run_for(600ms);
    fixture.platform.load(true);
    fixture.platform.run_for(1s);
    EXPECT_GT(fixture.platform.audit.served, 20u);
    fixture.drain("w0");
    fixture.platform.run_for(1200ms);
    using Mood = KvServer::Mood;
    for (const Mood mood :
         {Mood::kRubbish, Mood::kCut, Mood::kError, Mood::kSilent, Mood::kRefusing, Mood::kEndless}) {
        fixture.servers[0]->mood = mood;
        fixture.servers[0]->break_all();
        const auto served = fixture.platform.audit.served;
        fixture.platform.run_for(700ms);
        EXPECT_GT(fixture.platform.audit.served, served + 10) << static_cast<int>(mood);  // the list is kept
    }
    fixture.servers[0]->mood = Mood::kWell;
    // An endpoint drains and another is added while no server can be reached; the store is compacted
    // meanwhile.
    for (auto& server : fixture.servers) {
        server->mood = Mood::kRefusing;
        server->break_all();
    }
    fixture.store.put("sites/a/w1", endpoint_value(fixture.platform.endpoint_address("w1"), "terminating"));
    fixture.platform.add_endpoint("w9", "std", {}).figures.cores = 4;
    fixture.store.put("sites/a/w9", endpoint_value(fixture.platform.endpoint_address("w9")));
    fixture.store.compact();
    fixture.platform.run_for(1s);
    EXPECT_EQ(fixture.platform.calls_of("w9"), 0u);
    for (auto& server : fixture.servers) server->mood = Mood::kWell;
    ASSERT_TRUE(fixture.platform.run_until([&] { return fixture.platform.calls_of("w9") > 0; }, 12s));
    fixture.platform.run_for(600ms);  // for both gateways
    const auto last = fixture.platform.last_call_of("w1");
    fixture.platform.run_for(11s);
    EXPECT_LT(fixture.platform.last_call_of("w1") - last, 10s);  // the second gateway may have paused longer
    const auto before = fixture.platform.calls_of("w1");
    fixture.platform.run_for(1s);
    EXPECT_EQ(fixture.platform.calls_of("w1"), before);
    // The data are lost: the endpoints are retained for a while, and requests are served.
    fixture.store.reset();
    fixture.store.put("other", "1");
    fixture.notify();
    const auto served = fixture.platform.audit.served;
    fixture.platform.run_for(1s);
    EXPECT_GT(fixture.platform.audit.served, served + 20);
    fixture.platform.load(false);
    fixture.platform.run_for(2s);
    EXPECT_EQ(fixture.platform.audit.broken(), "");
}

TEST(RegistryChange, ReloadSwitchesToAnotherKindOfRegistry) {
    RegistryFixture fixture(KvProtocol::kEtcd, 1);
    fixture.other_servers.push_back(
        std::make_unique<KvServer>(fixture.platform.loop(), fixture.store, KvProtocol::kConsul));
    fixture.platform.start();
    fixture.platform.run_for(400ms);
    fixture.platform.load(true);
    fixture.platform.run_for(500ms);
    fixture.servers[0]->mood = KvServer::Mood::kSilent;
    fixture.servers[0]->break_all();  // during a repeated listing
    fixture.platform.run_for(300ms);
    fixture.platform.add_endpoint("w8", "std", {}).figures.cores = 4;
    fixture.store.put("sites/a/w8", endpoint_value(fixture.platform.endpoint_address("w8")));
    fixture.platform.operate("registry(\"consul\", prefix = \"sites/a/\", endpoints = [\"" +
                             fixture.other_servers[0]->address() + "\"])\n");
    EXPECT_TRUE(fixture.platform.run_until([&] { return fixture.platform.calls_of("w8") > 0; }, 5s));
    fixture.platform.load(false);
    fixture.platform.run_for(1s);
    EXPECT_EQ(fixture.platform.audit.broken(), "");
    fixture.platform.gateway(0).signal(SIGTERM);
    EXPECT_TRUE(fixture.platform.run_until([&] { return fixture.platform.gateway(0).has_ended(); }, 5s));
    EXPECT_EQ(fixture.platform.gateway(0).exit_code(), 0);
}

TEST(Snapshot, IsReadUnlessDamagedOrTooOld) {
    discovery::Snapshot all{5000s, {endpoint("a"), endpoint("b", EndpointState::kDraining, 81)}};
    const std::string bytes = discovery::encode_snapshot(all);
    const auto back = discovery::decode_snapshot(bytes, 6000s, 1h);
    ASSERT_TRUE(back) << back.error().message;
    EXPECT_EQ(back->created_at, proxy::Timestamp{5000s});
    ASSERT_EQ(back->entries.size(), 2u);
    EXPECT_TRUE(discovery::same(back->entries[1], all.entries[1]));
    const auto late = discovery::decode_snapshot(bytes, 9000s, 1h);
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().message, "it is too old");
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string flipped = bytes;
        flipped[i] = static_cast<char>(flipped[i] ^ 4);
        EXPECT_FALSE(discovery::decode_snapshot(flipped, 6000s, 1h)) << i;
        EXPECT_FALSE(discovery::decode_snapshot(bytes.substr(0, i), 6000s, 1h)) << i;
    }
}

TEST(Snapshot, AllowsAColdStartWhileTheRegistryIsDown) {
    RegistryFixture fixture(KvProtocol::kEtcd, 1);
    const std::string path = test_support::temporary_path("list");
    std::string with = fixture.operators();
    with.insert(with.rfind("endpoints"), "snapshot = \"" + path + ".{gateway}\", ");
    fixture.platform.settings().operators = with;
    fixture.platform.start();
    EXPECT_TRUE(fixture.platform.run_until([&] { return access((path + ".n0").c_str(), R_OK) == 0; }, 5s));
    fixture.servers[0]->mood = KvServer::Mood::kRefusing;
    fixture.servers[0]->break_all();
    fixture.platform.kill(0);
    fixture.platform.start_again(0);
    fixture.platform.load(true);
    fixture.platform.run_for(1s);
    EXPECT_GT(fixture.platform.audit.served, 30u);
    fixture.platform.load(false);
    fixture.platform.run_for(1s);
    EXPECT_EQ(fixture.platform.audit.broken(), "");
    for (const char* end : {".n0", ".n1"}) unlink((path + end).c_str());
}

}  // namespace
}  // namespace linnetlead
