// Upgrades: a second process takes over from the first, whatever becomes of either.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>

#include "admin/hot_restart/hot_restart_accounts.h"
#include "admin/hot_restart/hot_restart_channel.h"
#include "admin/hot_restart/hot_restart_message.h"
#include "policy/quota_schedule.h"
#include "rig.h"
#include "server/hot_restart.h"

namespace linnetlead {
namespace {

using namespace tests;
using hot_restart::Kind;
using hot_restart::Message;

TEST(UpgradeMessage, ComesBackAsItWasAndNothingElseIsTaken) {
    for (const Message& one :
         {Message{Kind::kHello, "10.0.0.4:6379", false, false}, Message{Kind::kState, {}, true, true},
          Message{Kind::kBan, "a\"b\nc", true, false}, Message{Kind::kClient, {}, true, true}}) {
        const std::string line = hot_restart::write(one);
        ASSERT_EQ(line.find('\n'), line.size() - 1);
        const auto read = hot_restart::read(line);
        ASSERT_TRUE(read);
        EXPECT_EQ(read->kind, one.kind);
        EXPECT_EQ(read->text, one.text);
        EXPECT_EQ(read->on, one.on);
        EXPECT_EQ(read->with, one.with);
    }
    for (const char* bad :
         {"", "{", "[]", R"({"v":2,"t":"hello"})", R"({"v":1})", R"({"v":1,"t":"bye"})", R"({"t":"hello"})",
          R"({"v":1,"t":"ban","text":7})", R"({"v":1,"t":"ban","on":"x"})"}) {
        EXPECT_FALSE(hot_restart::read(bad)) << bad;
    }
}

TEST(UpgradeAccounts, GoOverByThePlansNamesAndBadOnesAreLeftOut) {
    std::vector<policy::QuotaState> accounts(hot_restart::kAccountsInAMessage + 1);
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        accounts[i].tenant = std::to_string(i);
        accounts[i].plan = static_cast<int>(i % 2);
        accounts[i].bucket_level = 0.1 * static_cast<double>(i);
        accounts[i].sampled_at = policy::Timestamp{1'764'000'000'000'000'001};
    }
    const std::vector<std::string> here{"a", "b"}, there{"b", "c"};
    const auto read = hot_restart::read_accounts(hot_restart::write_accounts(accounts, 0, here), there);
    ASSERT_EQ(read.size(), hot_restart::kAccountsInAMessage / 2) << "plan a is not known there";
    EXPECT_EQ(read[1].tenant, "3");
    EXPECT_EQ(read[1].plan, 0);
    EXPECT_DOUBLE_EQ(read[1].bucket_level, 0.3);
    EXPECT_EQ(read[1].sampled_at, accounts[3].sampled_at);
    const std::string rest = hot_restart::write_accounts(accounts, hot_restart::kAccountsInAMessage, here);
    EXPECT_EQ(hot_restart::read_accounts(rest, here).size(), 1u);
    const auto with = [&rest](const std::string& from, const std::string& to) {
        std::string made = rest;
        return made.replace(made.find(from), from.size(), to);
    };
    for (const std::string& bad : {std::string("7"), std::string("[7]"),
                                   with("\"level\":20.0", "\"level\":\"x\""), with("\"set\":1", "\"set\":0"),
                                   with("\"level\":20.0", "\"level\":1e999"), with("\"pass\"", "\"past\"")}) {
        EXPECT_TRUE(hot_restart::read_accounts(bad, here).empty()) << bad;
    }
}

// What one process has granted an account, the next does not grant again.
TEST(UpgradeAccounts, AQuotaSpentInTheOldProcessIsSpentInTheNewOne) {
    config::Site small = site();
    small.settings.plans[0].rate = 0.001;
    small.settings.plans[0].burst = 3;
    Rig old(small), next(small);
    Listener endpoint;
    for (Rig* rig : {&old, &next})
        rig->gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    const auto served_of = [&](Rig& rig, int calls) {
        SocketPeer client = rig.client();
        std::vector<std::unique_ptr<SocketPeer>> taken;
        for (int i = 0; i < calls; ++i) client.write(call("hold"));
        rig.until([&] {
            if (auto peer = endpoint.accept()) taken.push_back(std::move(peer));
            for (auto& peer : taken) {
                if (peer->has("c=hold")) peer->got.clear(), peer->write(served("v"));
            }
            client.read();
            return std::count(client.got.begin(), client.got.end(), '$') +
                       std::count(client.got.begin(), client.got.end(), '-') >=
                   calls;
        });
        return std::count(client.got.begin(), client.got.end(), '$');
    };
    EXPECT_EQ(served_of(old, 5), 3);
    const auto accounts = old.gateway.accounts();
    ASSERT_EQ(accounts.size(), 1u);
    const std::vector<std::string> plans{"team"};
    for (const auto& told :
         hot_restart::read_accounts(hot_restart::write_accounts(accounts, 0, plans), plans)) {
        next.gateway.take_over(told);
    }
    old.gateway.handed_over();
    EXPECT_TRUE(old.gateway.accounts().empty());
    EXPECT_EQ(served_of(next, 5), 0);
}

// Guards against: clients that stay with the old process are given a hard cap beside the new one's.
TEST(UpgradeAccounts, AHardCapIsGrantedByOneProcessAlone) {
    config::Site capped = site();
    capped.settings.plans[0].hard_cap_rate = 1000;
    capped.settings.plans[0].hard_cap_burst = 2000;
    Rig old(capped);
    Listener endpoint;
    old.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    std::vector<std::unique_ptr<SocketPeer>> peers;
    const auto answer_of_old = [&] {
        usleep(50'000);  // the cap refills
        SocketPeer client = old.client();
        client.write(call("hold"));
        EXPECT_TRUE(old.until([&] {
            if (auto peer = endpoint.accept()) peers.push_back(std::move(peer));
            for (auto& peer : peers) {
                if (peer->has("c=hold")) peer->got.clear(), peer->write(served("v"));
            }
            return client.has("\r\n");
        }));
        return client.got.substr(0, 1);
    };
    EXPECT_EQ(answer_of_old(), "$");
    old.gateway.handed_over();
    EXPECT_EQ(answer_of_old(), "-");
    old.gateway.hand_over_failed();
    EXPECT_EQ(answer_of_old(), "$");
}

TEST(UpgradePlace, IsOneForEachAddressAndNoneWhereItCannotBe) {
    EXPECT_EQ(server::meeting_place("/t", "10.0.0.4:6379"), "/t/linnetlead-10.0.0.4_6379");
    EXPECT_NE(server::meeting_place("/t", "10.0.0.4:6379"), server::meeting_place("/t", "10.0.0.5:6379"));
    EXPECT_EQ(server::meeting_place("", "10.0.0.4:6379"), "");
    EXPECT_EQ(server::meeting_place("/t", "127.0.0.1:0"), "");
    EXPECT_EQ(server::meeting_place("/" + std::string(200, 't'), "10.0.0.4:6379"), "");
}

// A folder for the processes of one test.
struct Folder {
    Folder() : path(test_support::temporary_path("upgrade")) {
        std::filesystem::create_directory(path);
        const char* old = std::getenv("TMPDIR");
        before = old ? old : "";
        setenv("TMPDIR", path.c_str(), 1);
    }
    ~Folder() {
        before.empty() ? unsetenv("TMPDIR") : setenv("TMPDIR", before.c_str(), 1);
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    std::string path, before;
};

TEST(HotRestartChannel, CarriesLinesAndSocketsAndEndsOnWhatItCannotUse) {
    Folder folder;
    net::Loop loop;
    const std::string place = folder.path + "/door";
    std::vector<std::string> lines;
    std::unique_ptr<net::HotRestartChannel> inner;
    bool inner_over = false, outer_over = false;
    std::unique_ptr<net::Listener> adopted;
    net::HotRestartListener door(loop);
    ASSERT_TRUE(door.open(place, [&](uv_stream_t* listener) {
        inner = std::make_unique<net::HotRestartChannel>(
            loop, net::HotRestartChannel::Heard{[&](std::string_view line, uv_stream_t* from) {
                                                    lines.emplace_back(line);
                                                    if (line == "socket") {
                                                        adopted = std::make_unique<net::Listener>(loop);
                                                        EXPECT_EQ(adopted->adopt(from), 0);
                                                    }
                                                    return line != "bad";
                                                },
                                                [&] { inner_over = true; }});
        EXPECT_EQ(inner->accept(listener), 0);
    }));
    struct stat at {};
    ASSERT_EQ(stat(place.c_str(), &at), 0);
    EXPECT_EQ(at.st_mode & 0777, 0600u) << "for this user alone";
    net::HotRestartChannel outer(
        loop, {[](std::string_view, uv_stream_t*) { return true; }, [&] { outer_over = true; }});
    net::Listener listener(loop);
    sockaddr_storage any{};
    net::read_address("127.0.0.1:0", any);
    ASSERT_EQ(listener.open(any, true, [](uv_stream_t*, int) {}), 0);
    outer.connect(place);
    outer.send("one\ntw");
    outer.send("o\n");
    outer.send("socket\n", listener.stream());
    const auto until = [&](const std::function<bool()>& done) {
        loop.turn_until(done, kPatience);
        return done();
    };
    ASSERT_TRUE(until([&] { return lines.size() == 3; }));
    EXPECT_EQ(lines, (std::vector<std::string>{"one", "two", "socket"}));
    EXPECT_EQ(adopted->port(), listener.port());
    outer.send("bad\n");
    EXPECT_TRUE(until([&] { return inner_over && outer_over; }));
    // A line without an end is given up.
    inner_over = outer_over = false;
    outer.connect(place);
    outer.send(std::string(hot_restart::kMaxLine + 1, 'x'));
    EXPECT_TRUE(until([&] { return inner_over; }));
    // Another door takes the place; the first leaves it alone when it closes.
    net::HotRestartListener other(loop);
    ASSERT_TRUE(other.open(place, [](uv_stream_t*) {}));
    door.close();
    EXPECT_EQ(stat(place.c_str(), &at), 0);
    other.close();
    EXPECT_NE(stat(place.c_str(), &at), 0);
    EXPECT_FALSE(other.open("/nowhere/at/all", [](uv_stream_t*) {})) << "no error, but nobody comes";
    outer.close();
    inner->close();
    listener.close();
    adopted->close();
    loop.drain();
}

// ---- Two real processes ---------------------------------------------------------------------------------

using test_support::free_port;

std::string at_port(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

struct Pair {
    Pair() : listen(free_port()) {}
    std::string config(std::uint16_t mgmt) {
        std::string made = config_of(discovery, counter, endpoint.address());
        made.replace(made.find("127.0.0.1:0"), 11, at_port(listen));
        const std::string usual = R"("name":"read","idempotency":"retryable")";
        made.replace(made.find(usual), usual.size(), traffic_class);
        return made.insert(1, "\"mgmt\":\"" + at_port(mgmt) + "\",");
    }
    // Waits until it says that it is ready.
    std::unique_ptr<Program> start(std::uint16_t mgmt) {
        auto made = std::make_unique<Program>(config(mgmt), arguments);
        made->listening();
        EXPECT_TRUE(wait_for([&] { return says_yes(mgmt, "GET", "/v1/readyz"); }));
        return made;
    }
    static std::string ask(std::uint16_t mgmt, const std::string& method, const std::string& target) {
        SocketPeer peer = connect_to(mgmt);
        peer.write(method + ' ' + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
        // Not longer: where nobody listens yet, it is asked again.
        const auto end = std::chrono::steady_clock::now() + 1s;
        while (!peer.is_over() && std::chrono::steady_clock::now() < end) usleep(1000);
        return peer.got;
    }
    static bool says_yes(std::uint16_t mgmt, const std::string& method, const std::string& target) {
        return ask(mgmt, method, target).find("HTTP/1.1 200 ") == 0;
    }
    static bool skips(std::uint16_t mgmt, int endpoints) {
        return wait_for([&] {
            return ask(mgmt, "GET", "/v1/metrics")
                       .find("skipped_quoters=" + std::to_string(endpoints) + "\n") != std::string::npos;
        });
    }
    std::string ping(SocketPeer& client) {
        client.got.clear();
        client.write("*1\r\n$4\r\nPING\r\n");
        wait_for([&] { return client.has("\r\n"); });
        return client.got;
    }
    std::unique_ptr<SocketPeer> accepted() {
        std::unique_ptr<SocketPeer> peer;
        EXPECT_TRUE(wait_for([&] { return peer || (peer = endpoint.accept()); }));
        return peer;
    }

    Folder folder;
    std::string traffic_class = R"("name":"read","idempotency":"retryable")";
    Listener endpoint, discovery, counter;
    std::uint16_t listen;
    std::vector<std::string> arguments;  // of the programs
};

// A kept connection goes over, with what lies unread in it; a call in hand is answered by the old process.
TEST(HotRestart, ClientsStayConnectedAndEveryCallIsAnswered) {
    Pair pair;
    const std::uint16_t first = free_port(), second = free_port();
    auto old = pair.start(first);
    SocketPeer idle = connect_to(pair.listen), busy = connect_to(pair.listen);
    EXPECT_EQ(pair.ping(idle), "+PONG\r\n");
    busy.write(call("read", 8000));
    auto held = pair.accepted();
    ASSERT_TRUE(wait_for([&] { return held->has("c=read"); }));
    auto next = pair.start(second);
    SocketPeer fresh = connect_to(pair.listen);
    EXPECT_EQ(pair.ping(fresh), "+PONG\r\n");
    EXPECT_EQ(pair.ping(idle), "+PONG\r\n");
    old->signal(SIGTERM);
    held->write(served("v"));
    EXPECT_TRUE(wait_for([&] { return busy.has("\r\nv\r\n"); }));
    EXPECT_EQ(old->exit_code(), 0);
    for (SocketPeer* one : {&idle, &busy, &fresh}) EXPECT_EQ(pair.ping(*one), "+PONG\r\n");
    busy.got.clear();
    busy.write(call("read", 8000));
    auto again = pair.accepted();
    ASSERT_TRUE(wait_for([&] { return again->has("c=read"); }));
    again->write(served("w"));
    EXPECT_TRUE(wait_for([&] { return busy.has("\r\nw\r\n"); }));
}

TEST(HotRestart, BansAndDrainsHoldInBothProcessesWhereverTheyAreTold) {
    Pair pair;
    const std::uint16_t first = free_port(), second = free_port(), third = free_port();
    auto old = pair.start(first);
    EXPECT_TRUE(pair.says_yes(first, "PUT", "/v1/quoters/w/suspend"));
    EXPECT_TRUE(pair.says_yes(first, "PUT", "/v1/gateway/drain"));
    auto next = pair.start(second);
    EXPECT_TRUE(pair.skips(second, 1));
    SocketPeer client = connect_to(pair.listen);
    EXPECT_EQ(pair.ping(client), "-ERR draining\r\n");
    EXPECT_TRUE(pair.says_yes(second, "PUT", "/v1/gateway/activate"));
    SocketPeer back = connect_to(pair.listen);
    EXPECT_EQ(pair.ping(back), "+PONG\r\n");
    EXPECT_TRUE(pair.says_yes(first, "PUT", "/v1/quoters/w/resume"));
    EXPECT_TRUE(pair.skips(second, 0));
    EXPECT_TRUE(pair.says_yes(second, "PUT", "/v1/quoters/w/suspend"));
    EXPECT_TRUE(pair.skips(first, 1));
    // A third takes over while the first still lives.
    auto last = pair.start(third);
    EXPECT_TRUE(pair.skips(third, 1));
    EXPECT_TRUE(pair.says_yes(first, "PUT", "/v1/quoters/w/resume"));
    EXPECT_TRUE(pair.skips(third, 0) && pair.skips(second, 0));
}

// Guards against: a process that is told to end, and outlives its successor, takes the place of that one's
// successor, and the next upgrade takes over nothing.
TEST(HotRestart, TheNextOneTakesOverFromTheNewestProcessThoughAnOlderOneStillEnds) {
    Pair pair;
    auto first = pair.start(free_port());
    SocketPeer busy = connect_to(pair.listen);
    busy.write(call("read", 8000));
    const auto held = pair.accepted();
    ASSERT_TRUE(wait_for([&] { return held->has("c=read"); }));
    auto second = pair.start(free_port());
    first->signal(SIGTERM);
    const std::uint16_t third_admin = free_port(), last_admin = free_port();
    auto third = pair.start(third_admin);
    second->signal(SIGTERM);
    EXPECT_EQ(second->exit_code(), 0);
    EXPECT_FALSE(first->has_ended());
    usleep(50'000);  // the first one sees that end
    EXPECT_TRUE(pair.says_yes(third_admin, "PUT", "/v1/quoters/w/suspend"));
    auto last = pair.start(last_admin);
    EXPECT_TRUE(pair.skips(last_admin, 1));
    held->write(served("v"));
    EXPECT_TRUE(wait_for([&] { return busy.has("\r\nv\r\n"); }));
    EXPECT_EQ(first->exit_code(), 0);
}

TEST(HotRestart, WhatADeadProcessLeftHindersNothing) {
    Pair pair;
    const std::uint16_t mgmt = free_port();
    auto old = pair.start(mgmt);
    old->signal(SIGKILL);
    EXPECT_EQ(old->exit_code(), -1);
    const auto begun = std::chrono::steady_clock::now();
    auto next = pair.start(mgmt);
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 1s);
    SocketPeer client = connect_to(pair.listen);
    EXPECT_EQ(pair.ping(client), "+PONG\r\n");
}

TEST(HotRestart, WhereEitherProcessDiesTheOtherServes) {
    Pair pair;
    const std::uint16_t first = free_port(), second = free_port(), third = free_port();
    auto old = pair.start(first);
    SocketPeer kept = connect_to(pair.listen);
    EXPECT_EQ(pair.ping(kept), "+PONG\r\n");
    auto next = pair.start(second);
    next->signal(SIGKILL);
    EXPECT_EQ(next->exit_code(), -1);
    SocketPeer again = connect_to(pair.listen);
    EXPECT_EQ(pair.ping(again), "+PONG\r\n") << "the old one accepts again";
    // It can be met once more, and dies before it is told to leave.
    auto other = pair.start(third);
    EXPECT_EQ(pair.ping(again), "+PONG\r\n");
    old->signal(SIGKILL);
    EXPECT_EQ(old->exit_code(), -1);
    EXPECT_EQ(pair.ping(again), "+PONG\r\n");
    SocketPeer fresh = connect_to(pair.listen);
    EXPECT_EQ(pair.ping(fresh), "+PONG\r\n");
}

// Somebody is there and says nothing, or what is not understood: the new process starts alone.
TEST(HotRestart, FromOneThatIsSilentOrOfAnotherVersionItStartsAlone) {
    for (const std::string& word : {std::string(), std::string("{\"v\":99,\"t\":\"state\"}\n")}) {
        Pair pair;
        const std::string place = server::meeting_place(pair.folder.path, at_port(pair.listen));
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        std::copy(place.begin(), place.end(), at.sun_path);
        const int door = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        ASSERT_EQ(bind(door, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
        ASSERT_EQ(::listen(door, 4), 0);
        const std::uint16_t mgmt = free_port();
        Program next(pair.config(mgmt));
        int met = -1;
        ASSERT_TRUE(wait_for([&] { return met >= 0 || (met = accept(door, nullptr, nullptr)) >= 0; }));
        ASSERT_EQ(write(met, word.data(), word.size()), static_cast<ssize_t>(word.size()));
        next.listening();
        SocketPeer client = connect_to(pair.listen);
        EXPECT_EQ(pair.ping(client), "+PONG\r\n");
        EXPECT_TRUE(pair.says_yes(mgmt, "GET", "/v1/readyz"));
        ::close(met);
        ::close(door);
    }
}

// One that neither hands its socket over nor shares its address is waited for.
TEST(HotRestart, FromAProgramThatKeepsTheAddressItWaitsForItsEnd) {
    Pair pair;
    auto old = std::make_unique<Listener>();
    pair.listen = old->port();
    const std::uint16_t mgmt = free_port();
    Program next(pair.config(mgmt));
    ASSERT_TRUE(wait_for([&] {
        try {
            return pair.ask(mgmt, "GET", "/v1/readyz").find("HTTP/1.1 503 ") == 0;
        } catch (const std::exception&) {
            return false;  // not yet
        }
    }));
    EXPECT_FALSE(next.has_ended());
    old->close();
    next.listening();
    EXPECT_TRUE(wait_for([&] { return pair.says_yes(mgmt, "GET", "/v1/readyz"); }));
}

// A plan's interval. At its end the units left are rationed over the demand to come, and some requests that
// they would still serve are rejected.
constexpr proxy::Duration kPlanInterval = 2500ms;

// Time since the interval of this tenant began.
proxy::Duration time_in_interval(const std::string& tenant) {
    const auto length = static_cast<std::uint64_t>(kPlanInterval.count());
    const auto now =
        std::chrono::duration_cast<proxy::Duration>(std::chrono::system_clock::now().time_since_epoch());
    return proxy::Duration{static_cast<std::int64_t>(
        (static_cast<std::uint64_t>(now.count()) + policy::hash_of(tenant) % length) % length)};
}

// Guards against a tenant on a plan of the operators' schedule being given its bucket anew by each hot
// restart.
TEST(HotRestart, ABucketOfAScheduledPlanIsHandedOver) {
    Pair pair;
    const std::string file = pair.folder.path + "/operators.star";
    test_support::write_file(file,
                             "plan(\"slow\", rate = per_second(0.01), burst = 20)\n"
                             "account(\"00000000b4d65521\", plan = \"slow\")\n");
    pair.arguments = {"--operators", file};
    std::vector<std::unique_ptr<SocketPeer>> connections;
    const auto served_of = [&](int requests) {
        SocketPeer client = connect_to(pair.listen);
        int count = 0;
        for (int i = 0; i < requests; ++i) {
            client.got.clear();
            client.write(call("read", 8000));
            EXPECT_TRUE(wait_for([&] {
                if (auto peer = pair.endpoint.accept()) connections.push_back(std::move(peer));
                for (auto& peer : connections) {
                    if (!peer->has("c=read")) continue;
                    peer->got.clear();
                    peer->write(served("v"));
                }
                return client.has("\r\n");
            }));
            count += client.got[0] == '$' ? 1 : 0;
        }
        return count;
    };
    const auto old = pair.start(free_port());
    const std::string tenant = "00000000b4d65521";
    ASSERT_TRUE(wait_for([&] { return time_in_interval(tenant) < kPlanInterval / 10; }));
    EXPECT_EQ(served_of(25), 20);
    ASSERT_LT(time_in_interval(tenant), kPlanInterval * 9 / 10) << "an interval has ended among them";
    const auto next = pair.start(free_port());
    old->signal(SIGTERM);
    EXPECT_EQ(old->exit_code(), 0);
    EXPECT_EQ(served_of(25), 0);
}

class RequestAtTheOldProcess : public testing::TestWithParam<bool> {};

TEST_P(RequestAtTheOldProcess, IsNotSentOnceMoreByTheNewOneWhenItsClientComesAgain) {
    const bool comes_before_the_upgrade = GetParam();
    Pair pair;
    pair.traffic_class = R"("name":"hold","idempotency":"fragile")";
    const auto next_attempt = [&pair] {
        std::unique_ptr<SocketPeer> peer;
        wait_for([&] { return (peer || (peer = pair.endpoint.accept())) && peer->has("c=hold"); });
        return peer;
    };
    const auto old = pair.start(free_port());
    SocketPeer client = connect_to(pair.listen);
    client.write(call("hold", 7000));
    const auto keeps_the_connection_there = next_attempt();
    const std::string text = call("hold", 7000);
    std::unique_ptr<SocketPeer> first_run;
    if (comes_before_the_upgrade) {
        client.write(text);
        first_run = next_attempt();
    }
    const auto next = pair.start(free_port());
    if (!comes_before_the_upgrade) {
        client.write(text);
        first_run = next_attempt();
    }
    ASSERT_TRUE(first_run);
    client.close();
    SocketPeer again = connect_to(pair.listen);
    again.write(text);
    EXPECT_TRUE(wait_for([&] { return again.has("\r\n"); }));
    EXPECT_EQ(again.got, "-ERR failed\r\n");
    EXPECT_FALSE(pair.endpoint.accept()) << "a second run";
}
INSTANTIATE_TEST_SUITE_P(BeforeTheUpgrade, RequestAtTheOldProcess, testing::Bool());

}  // namespace
}  // namespace linnetlead
