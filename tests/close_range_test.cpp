// Events that cross: a close, a reset, a signal or a byte between two steps of the gateway's. Each crossing
// is forced by a peer that holds its part until told, or by a point at which the program stops.
#include <sys/resource.h>

#include <csignal>

#include "discovery/discovery_watch.h"
#include "rig.h"
#include "server/drain.h"

namespace linnetlead {
namespace {

using namespace tests;
using std::chrono::steady_clock;

const std::string kPing = "*1\r\n$4\r\nPING\r\n";

// An endpoint to which connections neither come up nor fail, until it accepts: its backlog is full.
struct Unreachable {
    Unreachable() {
        for (int i = 0; i < 2; ++i) fillers.push_back(connect_to(listener.port()));
        usleep(20000);  // the kernel takes both before any connection of the gateway's
    }
    // What it hears until `end`, when connections have come up late.
    std::string hears_until(Rig& rig, steady_clock::time_point end) {
        std::vector<std::unique_ptr<SocketPeer>> taken;
        std::string heard;
        while (steady_clock::now() < end) {
            rig.loop.turn();
            if (auto peer = listener.accept()) taken.push_back(std::move(peer));
            usleep(500);
        }
        for (auto& peer : taken) heard += peer->read();
        return heard;
    }
    Listener listener{0};
    std::vector<SocketPeer> fillers;
};
constexpr auto kSynAgain = 1500ms;  // by then the kernel has asked for a connection once more

// A call of any class, with its verb and its key as its effect wants them.
std::string call_of(const std::string& traffic_class, policy::Idempotency effect, proxy::Duration deadline) {
    static unsigned long long next_id = 0xf000000000000000;
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx", ++next_id);
    std::string out;
    resp::write_array(out, 4);
    resp::write_bulk(out, effect == policy::Idempotency::kIdempotent ? "Q.ASK" : "Q.DO");
    resp::write_bulk(out, "00000000b4d65521");
    resp::write_bulk(out, id);
    const std::string key = effect == policy::Idempotency::kKeyed ? ",k=" + std::string(id) : "";
    resp::write_bulk(out, "c=" + traffic_class + ",t=team,d=" + std::to_string(deadline / 1ms) +
                              ",units=1,spread=1,first=0" + key);
    return out;
}

// ---- Clients that leave ---------------------------------------------------------------------------------

enum class Leaving { kClose, kReset, kHalfClose };

class ClientsThatLeave : public testing::TestWithParam<Leaving> {
protected:
    static void leave(SocketPeer& client) {
        if (GetParam() == Leaving::kClose) client.close();
        if (GetParam() == Leaving::kReset) client.reset();
        if (GetParam() == Leaving::kHalfClose) client.shut();
    }
    static config::Site patient() {
        config::Site with = site();
        with.connect_timeout = 60s;
        for (auto& traffic_class : with.settings.classes)
            traffic_class.latency_objective = traffic_class.deadline = 60s;
        return with;
    }
};

TEST_P(ClientsThatLeave, AnAttemptWhoseConnectionComesUpLaterCarriesNothing) {
    Rig rig(patient());
    Unreachable endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.listener.address())});
    SocketPeer client = rig.client();
    client.write(call("read", 60000));
    ASSERT_TRUE(rig.until([&] { return rig.pool.connections() == 1; }));
    leave(client);
    EXPECT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0 && rig.pool.connections() == 0; }));
    EXPECT_EQ(endpoint.hears_until(rig, steady_clock::now() + kSynAgain), "");
}

TEST_P(ClientsThatLeave, ACallWhoseLastByteHasNotLeftIsDropped) {
    Rig rig(patient());
    Listener endpoint;
    endpoint.shrink_receive_buffers();
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    // Over what the kernel takes while the endpoint reads nothing.
    const std::string command = call("hold", 60000, std::string(3900 * 1024, 'x'));
    std::size_t written = 0;
    std::unique_ptr<SocketPeer> peer;
    ASSERT_TRUE(rig.until([&] {
        written += client.write_some(std::string_view(command).substr(written));
        return written == command.size() && (peer || (peer = endpoint.accept()));
    }));
    rig.loop.turn();
    ASSERT_EQ(rig.pool.tries(), 0u) << "the kernel has taken all of it";
    leave(client);
    EXPECT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0; }));
    EXPECT_TRUE(rig.until([&] { return peer->is_over(); }));
    EXPECT_LT(peer->got.size(), command.size()) << "a worker that has all of it begins";
    EXPECT_EQ(rig.pool.tries(), 0u);
}

TEST_P(ClientsThatLeave, ACallThatAEndpointMayBeAtGoesOn) {
    Rig rig(patient());
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    client.write(call("read", 60000));
    auto peer = rig.accepted(endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=read"); }));
    leave(client);
    ASSERT_TRUE(rig.until([&] { return rig.gateway.counts().in_progress == 0; }));
    EXPECT_FALSE(peer->is_over());
    peer->write(served("v"));
    EXPECT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0; }));
    EXPECT_EQ(rig.pool.connections(), 1u) << "it rests";
}

// 64 commands wait, more are unread, and the end stands behind them.
TEST_P(ClientsThatLeave, TheEndOfOneThatIsNotReadIsNoticed) {
    Rig rig(patient());
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    std::string all;
    for (int i = 0; i < 200; ++i) all += call("read", 60000);
    client.write(all);
    auto peer = rig.accepted(endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=read"); }));
    for (int i = 0; i < 50; ++i) rig.loop.turn();
    const std::size_t before = rig.gateway.counts().in_progress;
    ASSERT_GT(before, 0u);
    leave(client);
    const auto left = steady_clock::now();
    EXPECT_TRUE(rig.until([&] { return rig.gateway.counts().in_progress == 0; }));
    EXPECT_LT(steady_clock::now() - left, 100ms) << "what is begun 0.1 s later breaks the rule";
}

TEST_P(ClientsThatLeave, CommandsThatAreReadBehindTheEndAreNotSentOn) {
    Rig rig(patient());
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    rig.loop.turn();
    std::string all;
    for (int i = 0; i < 200; ++i) all += call("read", 60000);
    client.write(all);
    leave(client);
    const auto end = steady_clock::now() + 100ms;
    while (steady_clock::now() < end) rig.loop.turn();
    EXPECT_LE(rig.pool.tries(), 1u) << "the first may be begun before the end is looked for";
    EXPECT_EQ(rig.gateway.counts().in_progress, 0u);
}

class ReplacedEndpoint : public testing::TestWithParam<bool> {};

TEST_P(ReplacedEndpoint, IsNotAskedOnAConnectionToTheProcessBefore) {
    const bool is_gone_between = GetParam();
    Rig rig;
    Listener old_process, new_process;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", old_process.address())});
    SocketPeer client = rig.client();
    client.write(call("read"));
    auto old_peer = rig.accepted(old_process);
    ASSERT_TRUE(rig.until([&] { return old_peer->has("c=read"); }));
    if (is_gone_between) {
        rig.gateway.listed(EndpointListKind::kChanges,
                           {listed("w", old_process.address(), policy::EndpointState::kRemoved)});
    }
    rig.gateway.listed(EndpointListKind::kChanges, {listed("w", new_process.address())});
    old_peer->write(served("old"));
    ASSERT_TRUE(rig.until([&] { return client.has("old"); }));
    EXPECT_TRUE(rig.until([&] { return old_peer->is_over(); }))
        << "its connection rests for further requests";
    usleep(10'000);
    client.write(call("read"));
    auto new_peer = rig.accepted(new_process);
    ASSERT_TRUE(new_peer);
    EXPECT_TRUE(rig.until([&] { return new_peer->has("c=read"); }));
}
INSTANTIATE_TEST_SUITE_P(GoneBetween, ReplacedEndpoint, testing::Bool());

class Predecessor : public testing::TestWithParam<policy::EndpointState> {};

TEST_P(Predecessor, ThatIsListedAgainGetsNothingAtTheAddressOfItsSuccessor) {
    Rig rig;
    Listener address;
    DiscoveredEndpoint old_one = listed("old", address.address());
    DiscoveredEndpoint new_one = listed("new", address.address());
    old_one.entry.started = 1000s;
    new_one.entry.started = 2000s;
    rig.gateway.listed(EndpointListKind::kComplete, {old_one});
    rig.gateway.listed(EndpointListKind::kChanges, {new_one});
    new_one.entry.state = GetParam();
    rig.gateway.listed(EndpointListKind::kChanges, {new_one});
    old_one.entry.weight = 2;
    rig.gateway.listed(EndpointListKind::kChanges, {old_one});
    EXPECT_FALSE(rig.pool.start({}, "old", {}, {rig.loop.now() + 1s, rig.loop.now() + 1s}));
}
INSTANTIATE_TEST_SUITE_P(Successor, Predecessor,
                         testing::Values(policy::EndpointState::kInService,
                                         policy::EndpointState::kDraining));

// The counter is silent, and its call waits: nothing may go to an endpoint when that is over.
TEST_P(ClientsThatLeave, WhatWaitsForItsQuotaIsNotSent) {
    config::Site with = patient();
    with.settings.may_use_counter = true;
    with.settings.gateways = 8;
    with.settings.counter_timeout = 300ms;
    with.settings.plans[0].rate = 4;
    with.settings.plans[0].burst = 8;
    Rig rig(with);
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    std::string waits = call("read", 60000);
    waits.replace(waits.find("spread=1"), 8, "spread=8");
    client.write(waits);
    auto counting = rig.accepted(rig.counting);
    ASSERT_TRUE(rig.until([&] { return counting->has("TALLY"); }));
    ASSERT_EQ(rig.gateway.open_calls(), 1u);
    leave(client);
    EXPECT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0; }));
    counting->write("$1\r\n1\r\n");
    const auto end = steady_clock::now() + 500ms;
    while (steady_clock::now() < end) rig.loop.turn();
    EXPECT_EQ(endpoint.accept(), nullptr);
}

// The end and the attempt's failure come in one turn.
TEST_P(ClientsThatLeave, NoFurtherAttemptFollowsInTheTurnInWhichTheFirstFails) {
    Rig rig(patient());
    Listener one, other;
    rig.gateway.listed(EndpointListKind::kComplete,
                       {listed("a", one.address()), listed("b", other.address())});
    SocketPeer client = rig.client();
    client.write(call("read", 60000));
    std::unique_ptr<SocketPeer> got;
    ASSERT_TRUE(rig.until([&] { return (got = one.accept()) || (got = other.accept()); }));
    ASSERT_TRUE(rig.until([&] { return got->has("c=read"); }));
    leave(client);
    got->reset();
    EXPECT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0; }));
    const auto end = steady_clock::now() + 300ms;
    std::unique_ptr<SocketPeer> second;
    while (steady_clock::now() < end && !second) {
        rig.loop.turn();
        (second = one.accept()) || (second = other.accept());
    }
    EXPECT_EQ(second ? second->read() : "", "");
}

INSTANTIATE_TEST_SUITE_P(Each, ClientsThatLeave,
                         testing::Values(Leaving::kClose, Leaving::kReset, Leaving::kHalfClose));

// ---- Shutdown -------------------------------------------------------------------------------------------

// One that always has a call open would never be asked to go, and would meet the end of the process.
TEST(Shutdown, WhatComesBehindAnOpenCallIsTurnedAwayAndTheConnectionEnds) {
    Rig rig;
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    client.write(call("read"));
    auto peer = rig.accepted(endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=read"); }));
    rig.acceptor.retire(true);
    client.write(call("read") + call("hold"));
    for (int i = 0; i < 50; ++i) rig.loop.turn();
    peer->write(served("v"));
    // Another is on its way when the answers to all three go out.
    ASSERT_TRUE(rig.until([&] { return client.has("\r\nv\r\n"); }));
    EXPECT_TRUE(rig.until([&] { return client.is_over(); }));
    EXPECT_EQ(client.got, "$1\r\nv\r\n-BUSY\r\n-BUSY\r\n");
    EXPECT_EQ(endpoint.accept(), nullptr);
}

TEST(Shutdown, OneThatGoesOnAskingIsShutInOrderAllTheSame) {
    Rig rig;
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    client.write(call("read"));
    auto peer = rig.accepted(endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=read"); }));
    rig.acceptor.retire(true);
    bool answered = false;
    EXPECT_TRUE(rig.until([&] {
        if (!client.is_over()) client.write_some(call("read"));
        if (!answered && (answered = client.got.empty())) peer->write(served("v"));
        return client.is_over();
    }));
    EXPECT_EQ(client.got.substr(0, 7), "$1\r\nv\r\n");
    EXPECT_EQ(endpoint.accept(), nullptr) << "what is read after the first is not sent on";
}

// A command that has begun to come is waited for, and has its answer before the end.
TEST(Shutdown, HalfACommandIsWaitedForAndAnswered) {
    Rig rig;
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    const std::string whole = call("read");
    client.write(whole.substr(0, 20));
    for (int i = 0; i < 20; ++i) rig.loop.turn();
    rig.acceptor.retire(true);
    rig.acceptor.stop_listening();
    for (int i = 0; i < 20; ++i) rig.loop.turn();
    ASSERT_FALSE(client.is_over());
    client.write(whole.substr(20));
    auto peer = rig.accepted(endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=read"); }));
    peer->write(served("v"));
    EXPECT_TRUE(rig.until([&] { return client.is_over(); }));
    EXPECT_EQ(client.got, "$1\r\nv\r\n");
}

// Connected and asked, but not accepted when listening ends.
TEST(Shutdown, WhoHasConnectedBeforeListeningEndsIsServed) {
    Rig rig;
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    for (int i = 0; i < 20; ++i) rig.loop.turn();
    std::vector<SocketPeer> clients;
    for (int i = 0; i < 3; ++i) {
        clients.push_back(rig.client());
        clients.back().write(kPing);
    }
    rig.acceptor.stop_listening();
    rig.acceptor.retire(true);
    for (SocketPeer& client : clients) {
        EXPECT_TRUE(rig.until([&] { return client.is_over(); }));
        EXPECT_EQ(client.got, "+PONG\r\n");
    }
}

// The order that a close would break: answer, end, and what the client sent meanwhile is left.
TEST(Shutdown, ARequestThatCrossesTheEndIsNotSentOnAndDestroysNoAnswer) {
    Rig rig;
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    client.write(call("read"));
    auto peer = rig.accepted(endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=read"); }));
    rig.acceptor.retire(true);
    peer->write(served("v"));
    // The client's next call is written before it has read anything, and after the gateway has shut.
    ASSERT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0; }));
    for (int i = 0; i < 5; ++i) rig.loop.turn();
    client.write(call("read"));
    EXPECT_TRUE(rig.until([&] { return client.is_over(); }));
    EXPECT_EQ(client.got, "$1\r\nv\r\n");
    EXPECT_EQ(endpoint.accept(), nullptr);
}

// A call that comes whole long after SIGTERM is open when the time is over.
TEST(Shutdown, WhatIsOpenWhenTheTimeIsOverIsAnsweredBeforeTheEnd) {
    Rig rig;
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    bool gone = false;
    server::Drain drain(rig.loop, rig.acceptor, 200ms, [&] { gone = true; });
    SocketPeer client = rig.client();
    client.write(call("hold", 8000));
    auto peer = rig.accepted(endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=hold"); }));
    drain.leave();
    ASSERT_TRUE(rig.until([&] { return gone; }));
    rig.acceptor.close();
    EXPECT_TRUE(rig.until([&] { return client.is_over(); }));
    EXPECT_EQ(client.got, "-ERR failed\r\n") << "it may have run";
}

// The longest answer there is, of which what the client has not taken fills the system's buffers, and a
// client that takes its time.
struct SlowReader {
    static constexpr std::size_t kAtOnce = 32 * 1024;

    SlowReader() : value(resp::kMaxLong, ' ') {
        for (std::size_t i = 0; i < value.size(); ++i)
            value[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
        left = answer = served(value);
        resp::write_bulk(expected, value);
    }
    // The endpoint gives what is taken of it, and the client takes a little; false: it is over.
    bool step(SocketPeer& endpoint, SocketPeer& client) {
        left.remove_prefix(endpoint.write_some(left.substr(0, 2 * kAtOnce)));
        client.read_some(kAtOnce);
        return !client.ended;
    }
    std::string value, answer, expected;
    std::string_view left;
};

TEST(Shutdown, AnAnswerThatItsClientTakesSlowlyComesWholeBeforeTheEnd) {
    Rig rig;
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    client.write(call("read"));
    auto peer = rig.accepted(endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=read"); }));
    SlowReader slow;
    ASSERT_TRUE(rig.until([&] {
        slow.step(*peer, client);
        return client.got.size() > 1 << 20;
    }));
    ASSERT_FALSE(slow.left.empty()) << "half of it is still to come";
    rig.acceptor.stop_listening();
    rig.acceptor.retire(true);
    EXPECT_TRUE(rig.until([&] { return !slow.step(*peer, client); }));
    EXPECT_EQ(client.got.size(), slow.expected.size());
    EXPECT_TRUE(client.got == slow.expected) << "in order, and shut behind it";
    EXPECT_TRUE(rig.until([&] { return rig.acceptor.empty(); }));
}

TEST(Shutdown, AProgramThatIsToldToEndStaysForAClientThatTakesItsAnswerSlowly) {
    Listener endpoint, discovery;
    Program program(config_of(discovery, discovery, endpoint.address()));
    SocketPeer client = program.client();
    client.write(call("read", 8000));
    std::unique_ptr<SocketPeer> peer;
    ASSERT_TRUE(wait_for([&] { return peer || (peer = endpoint.accept()); }));
    ASSERT_TRUE(wait_for([&] { return peer->has("c=read"); }));
    SlowReader slow;
    ASSERT_TRUE(wait_for([&] {
        slow.step(*peer, client);
        return client.got.size() > 1 << 20;
    }));
    program.signal(SIGTERM);
    ASSERT_FALSE(slow.left.empty()) << "half of it is still to come";
    // Nothing more is taken until it no longer listens; then little by little.
    usleep(700'000);
    EXPECT_FALSE(program.has_ended());
    EXPECT_TRUE(wait_for([&] { return !slow.step(*peer, client); }));
    EXPECT_TRUE(client.got == slow.expected) << client.got.size() << " of " << slow.expected.size();
    EXPECT_EQ(program.exit_code(), 0);
}

// The program listens, clients come, and its handlers are not there yet.
TEST(Shutdown, ASignalBetweenListeningAndItsHandlerIsHeard) {
    Listener discovery;
    const std::uint16_t port = test_support::free_port();
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) {
        std::string config = config_of(discovery, discovery, "127.0.0.1:1");
        config.replace(config.find("127.0.0.1:0"), 11, "127.0.0.1:" + std::to_string(port));
        test_support::Process program(LINNETLEAD_PROGRAM, config, {}, {"LINNETLEAD_POINT=1:stall"});
        ASSERT_TRUE(wait_for([&] { return program.is_stopped(); }));
        SocketPeer client = connect_to(port);
        client.write(kPing);
        program.signal(number);
        program.signal(SIGCONT);
        EXPECT_TRUE(wait_for([&] { return client.has("+PONG\r\n"); })) << number;
        if (number == SIGHUP || number == SIGUSR1) program.signal(SIGTERM);
        program.signal(SIGTERM);  // a second one ends nothing
        EXPECT_EQ(program.exit_code(), 0) << number;
        EXPECT_TRUE(client.is_over());
    }
}

// ---- Idle connections -----------------------------------------------------------------------------------

// Both crossings of a sweep and a call: the call lies unread when it is looked at, or comes after the end.
TEST(IdleClients, OneWhoseCallLiesUnreadIsNotTheOneToGiveWay) {
    Rig rig(site(), 3);
    std::vector<SocketPeer> clients;
    for (int i = 0; i < 3; ++i) {
        clients.push_back(rig.client());
        clients.back().write(kPing);
        ASSERT_TRUE(rig.until([&] { return clients.back().has("+PONG"); }));
    }
    // The oldest asks, and in the same turn a fourth comes: it is accepted first.
    SocketPeer fourth = rig.client();
    clients[0].write(kPing);
    EXPECT_TRUE(rig.until([&] { return clients[1].is_over(); }));
    EXPECT_TRUE(rig.until([&] { return clients[0].has("+PONG\r\n+PONG\r\n"); }));
    EXPECT_FALSE(clients[0].is_over() || clients[2].is_over() || fourth.is_over());
}

TEST(IdleClients, OneAmidACommandStaysWhereAnIdleOneCanGo) {
    Rig rig(site(), 3);
    std::vector<SocketPeer> clients;
    for (int i = 0; i < 3; ++i) {
        clients.push_back(rig.client());
        clients.back().write(call("read"));
        ASSERT_TRUE(rig.until([&] { return clients.back().has("-BUSY"); }));
    }
    const std::string whole = call("read");
    clients[0].write(whole.substr(0, 30));
    for (int i = 0; i < 20; ++i) rig.loop.turn();
    SocketPeer fourth = rig.client();
    EXPECT_TRUE(rig.until([&] { return clients[1].is_over(); }));
    clients[0].got.clear();
    clients[0].write(whole.substr(30));
    EXPECT_TRUE(rig.until([&] { return clients[0].has("-BUSY"); }));
}

TEST(IdleClients, NearTheLimitOneIsAskedToGoAndItsCrossingCallResetsNothing) {
    Rig rig(site(), 32);
    std::vector<SocketPeer> clients;
    for (int i = 0; i < 31; ++i) {
        clients.push_back(rig.client());
        clients.back().write(call("read"));
        ASSERT_TRUE(rig.until([&] { return clients.back().has("-BUSY"); }));
    }
    // Its end is sent, and its call comes behind it.
    for (int i = 0; i < 20; ++i) rig.loop.turn();
    clients[0].write_some(call("read"));
    for (int i = 0; i < 20; ++i) rig.loop.turn();
    EXPECT_TRUE(rig.until([&] { return clients[0].is_over(); }));
    EXPECT_EQ(clients[0].got.substr(0, 5), "-BUSY") << "a reset would have taken it along";
    EXPECT_FALSE(clients[1].is_over());
}

// ---- Lists ----------------------------------------------------------------------------------------------

std::string whole_list(int version) {
    const std::string json = R"({"version":)" + std::to_string(version) + R"(,"full":true,"servers":[]})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(json.size()) + "\r\n\r\n" + json;
}

struct Failing {
    const char* name;
    std::function<void(SocketPeer&)> how;  // a call that waits for news
};

class EndpointListPort : public testing::TestWithParam<Failing> {};

// Whatever became of it, the next call does not wait: its silence would come on top of what was missed.
TEST_P(EndpointListPort, AnyCallThatBroughtNoListIsFollowedByOneForTheWholeList) {
    for (const net::DiscoveryWatch::Pace& pace :
         {net::DiscoveryWatch::Pace{300ms, 150ms, 0ms, 1s}, net::DiscoveryWatch::Pace{300ms, 150ms, 80ms, 1s},
          net::DiscoveryWatch::Pace{300ms, 150ms, 80ms, 1s, 300ms}}) {
        // Where all gateways ask one registry, what it refused did not begin, and nothing was missed.
        const bool only_rejected = pace.max_rejection_pause > 0ms && std::string(GetParam().name) == "error";
        Rig rig;
        Listener discovery;
        net::DiscoveryWatch watch(rig.loop, rig.gateway, discovery.address(), 41, 7, pace);
        ASSERT_TRUE(watch.start());
        auto first = rig.accepted(discovery);
        ASSERT_TRUE(rig.until([&] { return first->has("index=41&"); }));
        first->write(whole_list(42));
        ASSERT_TRUE(rig.until([&] { return first->has("index=42&"); }));
        const auto failed = steady_clock::now();
        GetParam().how(*first);
        auto second = rig.accepted(discovery);
        ASSERT_TRUE(rig.until([&] { return second->read().find("HTTP/1.1\r\n") != std::string::npos; }));
        EXPECT_EQ(
            second->got.substr(0, second->got.find("\r\n")),
            only_rejected ? "GET /api/targets?index=42&wait=150 HTTP/1.1" : "GET /api/targets HTTP/1.1");
        EXPECT_LT(steady_clock::now() - failed, 300ms + 150ms + 500ms + 80ms + 200ms);
        // And again, until it is here.
        second->reset();
        auto third = rig.accepted(discovery);
        ASSERT_TRUE(rig.until([&] { return third->has("GET /api/targets HTTP/1.1\r\n"); }));
        third->write(whole_list(40));  // versions may go back
        ASSERT_TRUE(rig.until([&] { return third->has("index=40&"); }));
        watch.close();
        rig.loop.turn();
    }
}

INSTANTIATE_TEST_SUITE_P(
    Each, EndpointListPort,
    testing::Values(
        Failing{"reset", [](SocketPeer& to) { to.reset(); }},
        Failing{"end", [](SocketPeer& to) { to.close(); }}, Failing{"silence", [](SocketPeer&) {}},
        Failing{"drip", [](SocketPeer& to) { to.write("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n{"); }},
        Failing{"nonsense",
                [](SocketPeer& to) { to.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"); }},
        Failing{"no_message", [](SocketPeer& to) { to.write("SSH-2.0\r\n\r\n"); }},
        Failing{"error", [](SocketPeer& to) { to.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); }},
        Failing{"reset_without_length",
                [](SocketPeer& to) {
                    to.write("HTTP/1.1 200 OK\r\n\r\n{\"version\":43,\"full\":true,\"servers\":[]}");
                    usleep(20000);
                    to.reset();
                }}),
    [](const auto& one) { return std::string(one.param.name); });

TEST(EndpointListPort, TwoMovesInARowAndOneAmidAnAnswerAskTheLastAddressAlone) {
    Rig rig;
    Listener one, other, last;
    net::DiscoveryWatch watch(rig.loop, rig.gateway, one.address(), 41, 7, net::DiscoveryWatch::kAsked);
    ASSERT_TRUE(watch.start());
    auto first = rig.accepted(one);
    ASSERT_TRUE(rig.until([&] { return first->has("index=41&"); }));
    first->write(whole_list(42).substr(0, 60));
    for (int i = 0; i < 20; ++i) rig.loop.turn();
    ASSERT_TRUE(watch.move(other.address()));
    ASSERT_TRUE(watch.move(last.address()));
    auto now = rig.accepted(last);
    ASSERT_TRUE(rig.until([&] { return now->has("GET /api/targets HTTP/1.1\r\n"); }));
    EXPECT_TRUE(rig.until([&] { return first->is_over(); }));
    if (auto passed = other.accept()) {
        EXPECT_TRUE(rig.until([&] { return passed->is_over(); }));
        EXPECT_EQ(passed->got, "");
    }
    now->write(whole_list(3));
    ASSERT_TRUE(rig.until([&] { return now->has("index=3&"); }));
    watch.close();
    rig.loop.turn();
}

// A write waits for the end of the turn; the drain is told between.
TEST(EndpointListPort, ACallTakenInTheTurnInWhichItsEndpointDrainsIsNotWritten) {
    Rig rig;
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    client.write(call("hold"));
    auto peer = rig.accepted(endpoint);
    rig.answer_hold(*peer, served("v"));
    ASSERT_TRUE(rig.until([&] { return client.has("\r\nv\r\n"); }));
    usleep(20000);  // its connection has rested long enough to be taken again
    rig.loop.turn();
    client.got.clear();
    client.write(call("hold"));
    while (rig.gateway.open_calls() == 0) rig.loop.turn();  // read and chosen, and not flushed
    using policy::EndpointState;
    rig.gateway.listed(EndpointListKind::kChanges,
                       {listed("w", endpoint.address(), EndpointState::kDraining)});
    EXPECT_TRUE(rig.until([&] { return client.has("-BUSY"); })) << "it never ran";
    EXPECT_TRUE(rig.until([&] { return peer->is_over(); }));
    EXPECT_EQ(peer->got, "");
}

// ---- Repeats --------------------------------------------------------------------------------------------

// The first attempt may have run; the second is chosen in time, but its connection comes up after the window.
TEST(Repeats, OneWhoseConnectionComesUpAfterTheWindowIsNotSent) {
    config::Site with = site();
    with.connect_timeout = 8s;
    with.settings.classes[1].key_window = 400ms;
    with.settings.classes[1].latency_objective = with.settings.classes[1].deadline = 8s;
    Rig rig(with);
    Listener first;
    Unreachable second;
    SocketPeer client = rig.client();
    rig.gateway.listed(EndpointListKind::kComplete, {listed("a", first.address())});
    client.write(call_of("create", policy::Idempotency::kKeyed, 8s));
    auto peer = rig.accepted(first);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=create"); }));
    const auto sent = steady_clock::now();
    rig.gateway.listed(EndpointListKind::kChanges, {listed("b", second.listener.address())});
    peer->reset();
    EXPECT_TRUE(rig.until([&] { return !client.read().empty(); }));
    EXPECT_LT(steady_clock::now() - sent, 600ms) << "nothing more can come of it: it is told at once";
    EXPECT_EQ(client.got.substr(0, 1), "-");
    EXPECT_EQ(second.hears_until(rig, sent + kSynAgain + 500ms), "");
}

// Every effect under every tenant's own names, order and number of classes.
struct Tenant {
    const char* name;
    std::vector<std::pair<const char*, policy::Idempotency>> classes;
    proxy::Duration deadline, window;
};

class Effects : public testing::TestWithParam<Tenant> {};

TEST_P(Effects, WhatMayHaveRunGoesOutAgainAsItsClassAllowsAndNotElse) {
    using policy::Idempotency;
    for (const auto& [name, effect] : GetParam().classes) {
        config::Site with = site();
        with.settings.classes.resize(GetParam().classes.size());
        for (std::size_t i = 0; i < GetParam().classes.size(); ++i) {
            auto& traffic_class = with.settings.classes[i];
            traffic_class.name = GetParam().classes[i].first;
            traffic_class.idempotency = GetParam().classes[i].second;
            traffic_class.key_window = GetParam().window;
            traffic_class.deadline = traffic_class.latency_objective = GetParam().deadline;
        }
        Rig rig(with);
        Listener one, other;
        rig.gateway.listed(EndpointListKind::kComplete,
                           {listed("a", one.address()), listed("b", other.address())});
        SocketPeer client = rig.client();
        client.write(call_of(name, effect, GetParam().deadline));
        const auto next = [&](std::unique_ptr<SocketPeer>& peer) {
            return peer || (peer = one.accept()) || (peer = other.accept());
        };
        std::unique_ptr<SocketPeer> first, second;
        ASSERT_TRUE(rig.until([&] { return next(first) && first->has(name); })) << name;
        first->write("*3\r\n$9\r\nhal");  // an answer that is cut
        for (int i = 0; i < 20; ++i) rig.loop.turn();
        first->reset();
        if (effect == Idempotency::kNonIdempotent) {
            EXPECT_TRUE(rig.until([&] { return client.has("\r\n"); }));
            EXPECT_EQ(client.got, "-ERR failed\r\n") << name;
            EXPECT_FALSE(next(second));
            continue;
        }
        ASSERT_TRUE(rig.until([&] { return next(second) && second->has(name); })) << name;
        second->write(served("v"));
        EXPECT_TRUE(rig.until([&] { return client.has("\r\n"); }));
        EXPECT_EQ(client.got, "$1\r\nv\r\n") << name;
    }
}

INSTANTIATE_TEST_SUITE_P(Each, Effects,
                         testing::Values(Tenant{"usual",
                                                {{"read", policy::Idempotency::kIdempotent},
                                                 {"create", policy::Idempotency::kKeyed},
                                                 {"hold", policy::Idempotency::kNonIdempotent}},
                                                4s,
                                                10s},
                                         Tenant{"turned_round",
                                                {{"shelf-view", policy::Idempotency::kNonIdempotent},
                                                 {"order-place", policy::Idempotency::kKeyed},
                                                 {"stock-count", policy::Idempotency::kIdempotent}},
                                                2500ms,
                                                1500ms},
                                         Tenant{"two_classes",
                                                {{"route-plan", policy::Idempotency::kKeyed},
                                                 {"parcel-book", policy::Idempotency::kNonIdempotent}},
                                                2s,
                                                1200ms},
                                         Tenant{"four_classes",
                                                {{"a", policy::Idempotency::kNonIdempotent},
                                                 {"b", policy::Idempotency::kIdempotent},
                                                 {"c", policy::Idempotency::kNonIdempotent},
                                                 {"d", policy::Idempotency::kKeyed}},
                                                8s,
                                                3s}),
                         [](const auto& one) { return std::string(one.param.name); });

// ---- Readiness ------------------------------------------------------------------------------------------

// Restarted while discovery cannot be heard, and while the process before it still answers what it has taken.
TEST(Readiness, ANewProcessAnswersAtOnceWhateverDiscoveryDoesAndThoughTheOldOneDrains) {
    enum class Discovery { kDown, kSilent, kDripping };
    for (const Discovery mood : {Discovery::kDown, Discovery::kSilent, Discovery::kDripping}) {
        Listener endpoint, discovery;
        const std::string address = "127.0.0.1:" + std::to_string(test_support::free_port());
        std::string config = config_of(discovery, discovery, endpoint.address());
        config.replace(config.find("127.0.0.1:0"), 11, address);
        if (mood == Discovery::kDown) discovery.close();
        Program old(config);
        SocketPeer busy = old.client();
        busy.write(call("read", 8000));
        std::unique_ptr<SocketPeer> peer, asking;
        ASSERT_TRUE(wait_for([&] { return peer || (peer = endpoint.accept()); }));
        ASSERT_TRUE(wait_for([&] { return peer->has("c=read"); }));
        old.signal(SIGTERM);
        const auto begun = steady_clock::now();
        Program young(config);
        const std::uint16_t port = young.listening();
        SocketPeer client = connect_to(port);
        client.write(kPing);
        EXPECT_TRUE(wait_for([&] {
            if (mood == Discovery::kDripping && !asking && (asking = discovery.accept())) {
                asking->write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{");
            }
            if (client.is_over() && !client.has("+PONG")) {  // the old one took it in its last moments
                client = connect_to(port);
                client.write(kPing);
            }
            return client.has("+PONG");
        }));
        EXPECT_LT(steady_clock::now() - begun, 3s);
        peer->write(served("v"));
        EXPECT_TRUE(wait_for([&] { return busy.has("\r\nv\r\n"); }));
        EXPECT_EQ(old.exit_code(), 0);
    }
}

// ---- Descriptors ----------------------------------------------------------------------------------------

// Idle clients hold what descriptors they can get, while discovery is down. The system gives fewer than the
// configuration says.
TEST(Descriptors, WhereIdleClientsFillThemDiscoveryIsReachedAndCallsAreServed) {
    rlimit usual{};
    getrlimit(RLIMIT_NOFILE, &usual);
    for (const rlim_t few : {rlim_t{64}, rlim_t{128}}) {
        Listener endpoint(64);
        auto discovery = std::make_unique<Listener>(64);
        std::string config = config_of(*discovery, *discovery, endpoint.address());
        config.insert(1, R"("limits":{"memory_mb":32,"sockets":512},)");
        rlimit small = usual;
        small.rlim_cur = few;
        setrlimit(RLIMIT_NOFILE, &small);
        Program program(config);
        setrlimit(RLIMIT_NOFILE, &usual);
        const std::uint16_t port = program.listening();
        std::vector<SocketPeer> idle;
        for (int i = 0; i < 300; ++i) {
            idle.push_back(connect_to(port));
            if (i % 2 == 0) idle.back().write_some(kPing);
        }
        SocketPeer client = connect_to(port);
        client.write(kPing);
        EXPECT_TRUE(wait_for([&] { return client.has("+PONG"); }));
        const double before = program.cpu_seconds();
        usleep(500000);
        EXPECT_LT(program.cpu_seconds() - before, 0.25) << "accepting without descriptors spins";
        std::unique_ptr<SocketPeer> asked;
        const auto back = steady_clock::now();
        while (discovery->accept()) {  // what it has not heard while it was down
        }
        ASSERT_TRUE(wait_for([&] { return asked || (asked = discovery->accept()); }));
        EXPECT_LT(steady_clock::now() - back, 2s);
        SocketPeer active = connect_to(port);
        active.write(call("read", 8000));
        std::unique_ptr<SocketPeer> peer;
        ASSERT_TRUE(wait_for([&] { return peer || (peer = endpoint.accept()); }));
        ASSERT_TRUE(wait_for([&] { return peer->has("c=read"); }));
        peer->write(served("v"));
        EXPECT_TRUE(wait_for([&] { return active.has("\r\nv\r\n"); }));
        program.signal(SIGTERM);
        EXPECT_EQ(program.exit_code(), 0);
    }
}

}  // namespace
}  // namespace linnetlead
