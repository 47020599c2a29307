// Long lists and long changes are parsed on a thread and passed on in slices, so that requests are not
// delayed. Guards against a wrong order of slices, by which an endpoint would keep an outdated state.
#include "discovery/list_update_slicer.h"

#include <time.h>

#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>

#include "discovery/discovery_watch.h"
#include "net/background.h"
#include "rig.h"

namespace linnetlead::tests {
namespace {

using policy::EndpointState;

struct RecordingListPort : proxy::EndpointListPort {
    void listed(EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) override {
        updates.push_back({kind, entries});
        if (on_listed) on_listed();
    }
    std::vector<DiscoveredEndpoint> all() const {
        std::vector<DiscoveredEndpoint> all;
        for (const auto& [kind, entries] : updates) all.insert(all.end(), entries.begin(), entries.end());
        return all;
    }
    std::vector<std::pair<EndpointListKind, std::vector<DiscoveredEndpoint>>> updates;
    std::function<void()> on_listed;
};

std::string id_of(int number) { return "worker-with-a-long-name-" + std::to_string(number); }

std::vector<DiscoveredEndpoint> endpoints(int from, int to, EndpointState state = EndpointState::kInService) {
    std::vector<DiscoveredEndpoint> all;
    for (int i = from; i < to; ++i) {
        const std::string address =
            "127.0." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":1";
        all.push_back(listed(id_of(i), address, state));
    }
    return all;
}

// An answer in the format of the discovery service.
std::string list_answer(int version, bool full, const std::vector<DiscoveredEndpoint>& entries) {
    nlohmann::json root{{"version", version}, {"full", full}, {"servers", nlohmann::json::array()}};
    for (const DiscoveredEndpoint& one : entries) {
        const char* state = one.entry.state == EndpointState::kInService  ? "in_service"
                            : one.entry.state == EndpointState::kDraining ? "terminating"
                                                                          : "terminated";
        root["servers"].push_back({{"id", one.entry.id}, {"addr", one.address}, {"state", state}});
    }
    const std::string body = root.dump();
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct ListUpdateSlicerTest : testing::Test {
    ~ListUpdateSlicerTest() override {
        slicer.discard();
        loop.drain();
    }
    bool until(const std::function<bool()>& condition) {
        loop.turn_until(condition, kPatience);
        return condition();
    }
    net::Loop loop;
    RecordingListPort port;
    net::ListUpdateSlicer slicer{loop, port};
};

TEST_F(ListUpdateSlicerTest, PassesAShortChangeOnAtOnceInOrder) {
    std::vector<DiscoveredEndpoint> change = endpoints(0, 200);
    change.push_back(listed("gone", "127.0.0.1:1", EndpointState::kRemoved));
    slicer.pass_changes(change);
    ASSERT_EQ(port.updates.size(), 1u);
    EXPECT_EQ(port.updates[0].first, EndpointListKind::kChanges);
    EXPECT_EQ(port.updates[0].second.size(), 201u);
    EXPECT_EQ(port.updates[0].second.back().entry.id, "gone");
    EXPECT_FALSE(slicer.pending());
}

TEST_F(ListUpdateSlicerTest, PassesALongChangeOnInSlicesDrainingAndRemovedFirst) {
    int turns = 0, turns_at_last = 0;
    loop.arm(loop.now(), [&] { ++turns; });
    std::vector<DiscoveredEndpoint> change = endpoints(0, 1000);
    for (const DiscoveredEndpoint& one : endpoints(1000, 1100, EndpointState::kDraining))
        change.push_back(one);
    for (const DiscoveredEndpoint& one : endpoints(1100, 1300, EndpointState::kRemoved))
        change.push_back(one);
    std::function<void()> turn = [&] {
        ++turns;
        loop.arm(loop.now() + 1ms, turn);
    };
    loop.arm(loop.now(), turn);
    port.on_listed = [&] { turns_at_last = turns; };
    slicer.pass_changes(change);
    EXPECT_EQ(port.updates.size(), 1u) << "the first slice is passed on at once";
    EXPECT_TRUE(slicer.pending());
    ASSERT_TRUE(until([&] { return !slicer.pending(); }));
    EXPECT_EQ(port.updates.size(), 6u) << "1,300 endpoints in slices of 256";
    EXPECT_GE(turns_at_last, 5) << "other timers ran in between";
    for (const auto& [kind, entries] : port.updates) {
        EXPECT_EQ(kind, EndpointListKind::kChanges);
        EXPECT_LE(entries.size(), net::ListUpdateSlicer::kMinSliceSize);
    }
    const std::vector<DiscoveredEndpoint> all = port.all();
    ASSERT_EQ(all.size(), 1300u);
    for (std::size_t i = 0; i < all.size(); ++i) {
        EXPECT_EQ(all[i].entry.state != EndpointState::kInService, i < 300) << i;
    }
    EXPECT_EQ(all[0].entry.id, id_of(1000)) << "otherwise in the original order";
    EXPECT_EQ(all[300].entry.id, id_of(0));
}

TEST_F(ListUpdateSlicerTest, LimitsTheNumberOfSlices) {
    slicer.pass_changes(endpoints(0, 20000));
    ASSERT_TRUE(until([&] { return !slicer.pending(); }));
    EXPECT_EQ(port.updates.size(), net::ListUpdateSlicer::kMaxSlices);
    EXPECT_EQ(port.all().size(), 20000u);
}

TEST_F(ListUpdateSlicerTest, AppliesTheLastEntryOfARepeatedId) {
    std::vector<DiscoveredEndpoint> change = endpoints(0, 400);
    change[10].entry.state = EndpointState::kDraining;
    DiscoveredEndpoint again = change[10];
    again.entry.state = EndpointState::kInService;
    again.entry.started = 5s;
    change.insert(change.begin() + 5, again);  // a new process that drains afterwards
    slicer.pass_changes(change);
    ASSERT_TRUE(until([&] { return !slicer.pending(); }));
    EndpointState last = EndpointState::kRemoved;
    for (const DiscoveredEndpoint& one : port.all()) {
        if (one.entry.id == id_of(10)) last = one.entry.state;
    }
    EXPECT_EQ(last, EndpointState::kDraining);
}

TEST_F(ListUpdateSlicerTest, PassesTheRestOnBeforeALaterUpdate) {
    slicer.pass_changes(endpoints(0, 1000));
    slicer.pass_changes(endpoints(0, 1, EndpointState::kRemoved));
    EXPECT_FALSE(slicer.pending());
    ASSERT_EQ(port.updates.size(), 3u);
    EXPECT_EQ(port.all().size(), 1001u);
    EXPECT_EQ(port.all().back().entry.state, EndpointState::kRemoved);
    slicer.pass_changes(endpoints(0, 1000));
    slicer.pass_complete_list(endpoints(7, 8));
    EXPECT_EQ(port.updates.back().first, EndpointListKind::kComplete);
    EXPECT_EQ(port.all().size(), 2002u);
    // A consumer may pass a list in while it receives a slice.
    port.on_listed = [&] {
        port.on_listed = nullptr;
        slicer.pass_complete_list({});
    };
    slicer.pass_changes(endpoints(0, 600));
    ASSERT_TRUE(until([&] { return !slicer.pending(); }));
    loop.turn();
    EXPECT_EQ(port.all().size(), 2602u) << "no entry is passed on twice";
}

TEST_F(ListUpdateSlicerTest, DiscardsTheRest) {
    slicer.pass_changes(endpoints(0, 1000));
    slicer.discard();
    EXPECT_FALSE(slicer.pending());
    loop.turn_until([] { return false; }, 20ms);
    EXPECT_EQ(port.all().size(), net::ListUpdateSlicer::kMinSliceSize);
}

TEST(BackgroundWork, RunsOnAThreadAndCompletesOnTheLoopUnlessDropped) {
    net::Loop loop;
    net::Background work(loop);
    const auto here = std::this_thread::get_id();
    std::thread::id there, completed_on;
    work.run([&] { there = std::this_thread::get_id(); },
             [&] {
                 completed_on = std::this_thread::get_id();
                 EXPECT_FALSE(work.busy()) << "the next job may be started from here";
             });
    EXPECT_TRUE(work.busy());
    loop.turn_until([&] { return !work.busy(); }, kPatience);
    EXPECT_NE(there, here);
    EXPECT_EQ(completed_on, here);
    const auto ran = std::make_shared<std::atomic<bool>>(false);
    bool heard = false;
    {
        net::Background short_lived(loop);
        short_lived.run([ran] { *ran = true; }, [&] { heard = true; });
    }
    loop.drain();
    EXPECT_TRUE(*ran) << "a running job completes";
    EXPECT_FALSE(heard);
}

// ---- The watch ------------------------------------------------------------------------------------------

struct WatchFixture {
    WatchFixture() : watch(rig.loop, port, discovery.address(), 41, 7, net::DiscoveryWatch::kAsked) {
        EXPECT_TRUE(watch.start());
        peer = rig.accepted(discovery);
        EXPECT_TRUE(rig.until([&] { return peer->has("index=41&"); }));
        peer->got.clear();
    }
    ~WatchFixture() {
        watch.close();
        rig.loop.turn();
    }
    Rig rig;
    Listener discovery;
    RecordingListPort port;
    net::DiscoveryWatch watch;
    std::unique_ptr<SocketPeer> peer;
};

TEST(LongLists, AreParsedOnAThreadAndTheWatchContinuesFromThem) {
    WatchFixture fixture;
    const std::string answer = list_answer(42, false, endpoints(0, 3000, EndpointState::kRemoved));
    ASSERT_GT(answer.size(), 200u * 1024);
    fixture.peer->write(answer);
    ASSERT_TRUE(fixture.rig.until([&] { return fixture.peer->has("index=42&wait=3000 "); }))
        << "on the same connection";
    ASSERT_TRUE(fixture.rig.until([&] { return fixture.port.all().size() == 3000; }));
    EXPECT_GT(fixture.port.updates.size(), 8u);
    // A later change is requested and applied while the rest is still passed on.
    fixture.peer->got.clear();
    fixture.peer->write(list_answer(43, false, endpoints(0, 3000)) + "");
    ASSERT_TRUE(fixture.rig.until([&] { return fixture.peer->has("index=43&"); }));
    fixture.peer->write(list_answer(44, false, endpoints(2999, 3000, EndpointState::kDraining)));
    ASSERT_TRUE(fixture.rig.until([&] { return fixture.port.all().size() == 6001; }));
    EXPECT_EQ(fixture.port.all().back().entry.state, EndpointState::kDraining);
    // A complete list is passed on in one piece.
    ASSERT_TRUE(fixture.rig.until([&] { return fixture.peer->has("index=44&"); }));
    fixture.peer->write(list_answer(45, true, endpoints(0, 3000)));
    ASSERT_TRUE(
        fixture.rig.until([&] { return fixture.port.updates.back().first == EndpointListKind::kComplete; }));
    EXPECT_EQ(fixture.port.updates.back().second.size(), 3000u);
}

TEST(LongLists, ThatAreInvalidOrEndTheirConnectionLeadToANewConnection) {
    WatchFixture fixture;
    std::string bad = list_answer(42, false, endpoints(0, 3000));
    bad[bad.size() - 1] = ',';
    fixture.peer->write(bad);
    auto second = fixture.rig.accepted(fixture.discovery);
    ASSERT_TRUE(fixture.rig.until([&] { return second->has("GET /api/targets HTTP/1.1\r\n"); }))
        << "the complete list, since changes may have been missed";
    EXPECT_TRUE(fixture.rig.until([&] { return fixture.peer->is_over(); }));
    EXPECT_TRUE(fixture.port.updates.empty());
    // An answer without a length ends with its connection.
    const std::string whole = list_answer(50, true, endpoints(0, 3000));
    second->write("HTTP/1.1 200 OK\r\n\r\n" + whole.substr(whole.find("\r\n\r\n") + 4));
    second->close();
    auto third = fixture.rig.accepted(fixture.discovery);
    ASSERT_TRUE(fixture.rig.until([&] { return third->has("index=50&"); }));
    EXPECT_EQ(fixture.port.all().size(), 3000u);
    // If the connection ends right after an answer, the answer is accepted and the watch continues on a new
    // one.
    third->write(list_answer(51, false, endpoints(0, 3000)));
    third->close();
    auto fourth = fixture.rig.accepted(fixture.discovery);
    ASSERT_TRUE(fixture.rig.until([&] { return fourth->has("GET /api/targets"); }));
    ASSERT_TRUE(fixture.rig.until([&] { return fixture.port.all().size() == 6000; }));
}

TEST(LongLists, OfAFormerRegistryAreDiscardedAfterParsing) {
    WatchFixture fixture;
    Listener other;
    fixture.peer->write(list_answer(42, true, endpoints(0, 20000)));
    // Waits until the answer is complete and being parsed.
    ASSERT_TRUE(fixture.rig.until([&] { return fixture.watch.is_reading(); }));
    ASSERT_TRUE(fixture.watch.move(other.address()));
    auto there = fixture.rig.accepted(other);
    ASSERT_TRUE(fixture.rig.until([&] { return there->has("GET /api/targets HTTP/1.1\r\n"); }));
    there->write(list_answer(7, true, endpoints(0, 3)));
    ASSERT_TRUE(fixture.rig.until([&] { return there->has("index=7&"); }));
    ASSERT_EQ(fixture.port.updates.size(), 1u);
    EXPECT_EQ(fixture.port.updates[0].second.size(), 3u);
}

TEST(LongLists, DoNotDelayShutdownWhileParsedOrPassedOn) {
    {
        WatchFixture fixture;
        fixture.peer->write(list_answer(42, true, endpoints(0, 20000)));
        ASSERT_TRUE(fixture.rig.until([&] { return fixture.watch.is_reading(); }));
    }
    WatchFixture fixture;
    fixture.peer->write(list_answer(42, false, endpoints(0, 20000)));
    ASSERT_TRUE(fixture.rig.until([&] { return !fixture.port.updates.empty(); }));
    EXPECT_LT(fixture.port.all().size(), 20000u);
}

// Compares how long the removal of a third of ten thousand endpoints blocks the loop, in slices and in one
// piece. Measures this thread's processor time, so that other processes have no influence.
TEST(LongLists, BlockTheLoopForLessTimeInSlicesThanInOnePiece) {
    const auto spent = [] {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    };
    const std::vector<DiscoveredEndpoint> leaving = endpoints(0, 3333, EndpointState::kRemoved);
    const std::string answer = list_answer(42, false, leaving);
    const std::string body = answer.substr(answer.find("\r\n\r\n") + 4);
    Rig rig;
    rig.gateway.listed(EndpointListKind::kComplete, endpoints(0, 10000));
    auto begun = spent();
    rig.gateway.listed(EndpointListKind::kChanges, http::read_list(body)->entries);
    const auto whole = spent() - begun;
    rig.gateway.listed(EndpointListKind::kComplete, endpoints(0, 10000));
    net::ListUpdateSlicer slicer(rig.loop, rig.gateway);
    begun = spent();
    slicer.pass_changes(leaving);
    auto most = spent() - begun;
    while (slicer.pending()) {
        begun = spent();
        rig.loop.turn();
        most = std::max(most, spent() - begun);
    }
    EXPECT_LT(most * 3, whole);
}

}  // namespace
}  // namespace linnetlead::tests
