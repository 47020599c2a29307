// The end of a process that is killed at the earliest moment that the platform allows: 0.7 s and the longest
// deadline after SIGTERM, a deadline of over 3 s counted as 3 s.
#include <fcntl.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <functional>
#include <ostream>
#include <thread>

#include "rig.h"
#include "server/drain.h"

namespace linnetlead {
namespace {

using namespace tests;
using std::chrono::steady_clock;

constexpr auto kEarliestKill = 3700ms;  // after SIGTERM, for the deadline of 5 s
constexpr auto kMayBeHeldUp = 150ms;    // a gateway, at any moment
constexpr auto kServesUntil = 3350ms;   // whoever can still be served is not cut off before
constexpr auto kFirstBefore = 200ms;    // SIGTERM: then the first request comes

// A gateway of one endpoint, which takes requests and never answers.
struct HangingSite {
    HangingSite() : folder(test_support::temporary_path("early")) {
        std::filesystem::create_directory(folder);
    }
    ~HangingSite() {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
    std::string config() const {
        return R"({"listen":"127.0.0.1:)" + std::to_string(port) + R"(","mgmt":"127.0.0.1:)" +
               std::to_string(admin_port) + R"(","discovery":")" + discovery.address() + R"(","counter":")" +
               discovery.address() + R"(","known":{"version":1,"full":true,"servers":[{"id":"w","addr":")" +
               endpoint.address() + R"("}]},"settings":{"classes":[{"name":"hold","idempotency":"fragile",
               "aim":5000000000,"deadline":5000000000,"late_worth":0.5}],
               "tariffs":[{"name":"team","units_per_s":100,"most_at_once":100}],
               "limits":{"connect_timeout":250000000,"conn_idle":30000000000,"max_attempts":3}}})";
    }
    std::unique_ptr<test_support::Process> start() {
        auto made =
            std::make_unique<test_support::Process>(LINNETLEAD_PROGRAM, config(), std::vector<std::string>{},
                                                    std::vector<std::string>{"TMPDIR=" + folder});
        made->listening();
        return made;
    }
    // All that has come, on connections that the endpoint has left waiting until now.
    std::string seen_by_endpoint() {
        std::string seen;
        while (const auto peer = endpoint.accept()) seen += peer->read();
        return seen;
    }
    void drain() {
        SocketPeer caller = connect_to(admin_port);
        caller.write("PUT /v1/gateway/drain HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_TRUE(wait_for([&] { return caller.has("200"); }));
    }
    const std::string folder;
    Listener discovery, endpoint{64};
    const std::uint16_t port = test_support::free_port();
    std::uint16_t admin_port = test_support::free_port();
    std::unique_ptr<test_support::Process> newer;  // beside the one under test; null: there is none
};

// A port on which another program listens, for itself alone.
class HeldAddress {
public:
    explicit HeldAddress(std::uint16_t port) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
        EXPECT_EQ(::listen(fd_, 1), 0);
    }
    ~HeldAddress() { ::close(fd_); }
    HeldAddress(const HeldAddress&) = delete;
    HeldAddress& operator=(const HeldAddress&) = delete;

private:
    int fd_;
};

// The request's id, the second text of 16 bytes in a command.
std::string id_of(const std::string& command) {
    constexpr std::string_view kHead = "$16\r\n";
    constexpr std::size_t kDigits = 16;
    return command.substr(command.rfind(kHead) + kHead.size(), kDigits);
}

// A client that has a request open at SIGTERM, and writes another one on the same connection.
struct Caller {
    SocketPeer peer;
    std::chrono::milliseconds late;  // the second request, behind SIGTERM
    std::string first, second{};     // commands
    steady_clock::time_point answered{};
    static constexpr std::size_t kRequests = 2;

    std::size_t answers() {
        std::size_t lines = 0;
        for (const char c : peer.read()) lines += c == '\n' ? 1 : 0;
        return lines;
    }
};

struct Way {
    const char* name;
    // Ends the process that has the clients; returns when SIGTERM was sent.
    std::function<steady_clock::time_point(HangingSite&, test_support::Process&)> end;
};

// Names the test in CTest.
std::ostream& operator<<(std::ostream& out, const Way& way) { return out << way.name; }

steady_clock::time_point send_term(test_support::Process& process) {
    const auto now = steady_clock::now();
    process.signal(SIGTERM);
    return now;
}

class EarlyKill : public testing::TestWithParam<Way> {};

// Guards against requests that a gateway has read and that SIGKILL finds unanswered: the gateway waited for a
// deadline of 5 s where the platform counts 3 s.
TEST_P(EarlyKill, FindsNothingThatWasReadUnanswered) {
    HangingSite site;
    const auto process = site.start();
    std::vector<Caller> callers;
    for (const auto late : {300ms, 1000ms, 2500ms}) {
        callers.push_back({connect_to(site.port), late, call("hold", 5000)});
        callers.back().peer.write(callers.back().first);
    }
    std::this_thread::sleep_for(kFirstBefore);
    const auto term = GetParam().end(site, *process);
    const auto answered_by = term + kEarliestKill - kMayBeHeldUp;
    std::size_t waiting = callers.size();
    while (waiting > 0 && steady_clock::now() < answered_by) {
        usleep(2000);
        waiting = 0;
        for (Caller& caller : callers) {
            if (steady_clock::now() >= term + caller.late && caller.second.empty()) {
                caller.second = call("hold", 5000);
                caller.peer.write(caller.second);
            }
            if (caller.answers() < Caller::kRequests) {
                ++waiting;
            } else if (caller.answered == steady_clock::time_point{}) {
                caller.answered = steady_clock::now();
            }
        }
    }
    const std::string seen = site.seen_by_endpoint();
    const auto answer_to = [&seen](const std::string& command) {
        const bool may_have_run = seen.find(id_of(command)) != std::string::npos;
        return may_have_run ? "-ERR failed\r\n" : "-BUSY\r\n";
    };
    for (Caller& caller : callers) {
        EXPECT_EQ(caller.peer.got, std::string(answer_to(caller.first)) + answer_to(caller.second))
            << caller.late.count() << " ms behind SIGTERM";
        EXPECT_GT(caller.answered - term, kServesUntil);
    }
}

std::string name_of(const testing::TestParamInfo<Way>& info) { return info.param.name; }

INSTANTIATE_TEST_SUITE_P(Each, EarlyKill,
                         testing::Values(Way{"behind_sigterm",
                                             [](HangingSite&, test_support::Process& process) {
                                                 return send_term(process);
                                             }},
                                         Way{"behind_two",
                                             [](HangingSite&, test_support::Process& process) {
                                                 const auto at = send_term(process);
                                                 usleep(100'000);
                                                 process.signal(SIGTERM);
                                                 return at;
                                             }},
                                         Way{"behind_a_new_configuration",
                                             [](HangingSite& site, test_support::Process& process) {
                                                 process.reload(site.config());
                                                 return send_term(process);
                                             }},
                                         Way{"behind_a_drain",
                                             [](HangingSite& site, test_support::Process& process) {
                                                 site.drain();
                                                 return send_term(process);
                                             }},
                                         Way{"of_the_older_process",
                                             [](HangingSite& site, test_support::Process& process) {
                                                 site.admin_port = test_support::free_port();
                                                 site.newer = site.start();
                                                 return send_term(process);
                                             }}),
                         name_of);

// The process that took over is ended like any other.
TEST(EarlyKillOfTheNewerProcess, FindsNothingThatWasReadUnanswered) {
    HangingSite site;
    const auto older = site.start();
    site.admin_port = test_support::free_port();
    const auto newer = site.start();
    older->signal(SIGTERM);
    EXPECT_EQ(older->exit_code(), 0);
    SocketPeer client = connect_to(site.port);
    client.write(call("hold", 5000));
    std::this_thread::sleep_for(kFirstBefore);
    const auto term = send_term(*newer);
    std::this_thread::sleep_for(1s);
    client.write(call("hold", 5000));
    std::this_thread::sleep_until(term + kEarliestKill - kMayBeHeldUp);
    EXPECT_EQ(client.read(), "-ERR failed\r\n-BUSY\r\n");
}

// Guards against a start that hears of SIGTERM only once it listens: what it takes then, SIGKILL finds
// unanswered, since its time runs from SIGTERM.
TEST(EarlyKillDuringTheStart, FindsNobodyLetIn) {
    HangingSite site;
    auto held = std::make_unique<HeldAddress>(site.port);
    test_support::Process program(LINNETLEAD_PROGRAM, site.config());
    usleep(500'000);
    ASSERT_FALSE(program.has_ended()) << "it waits for its address";
    program.signal(SIGTERM);
    constexpr auto kEndsWithin = 1s;
    const auto end = steady_clock::now() + kEndsWithin;
    while (!program.has_ended() && steady_clock::now() < end) usleep(2000);
    EXPECT_TRUE(program.has_ended());
    held.reset();
    usleep(200'000);
    EXPECT_EQ(program.errors_so_far().find("listening on port"), std::string::npos);
    if (program.has_ended()) {
        EXPECT_EQ(program.exit_code(), 0);
    }
}

// ---- The last answers -----------------------------------------------------------------------------------

// Guards against requests that are read behind the last answers being sent to an endpoint whose answer nobody
// waits for, and being left without one at the end of the process.
TEST(LastAnswers, ARequestReadBehindThemIsTurnedAwayAndNotSentOn) {
    Rig rig;
    Listener endpoint{128};
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    constexpr std::size_t kCommands = 74;  // more than are read before the first of them is answered
    std::string commands;
    for (std::size_t i = 0; i < kCommands; ++i) commands += call("hold");
    client.write(commands);
    ASSERT_TRUE(rig.until([&] { return rig.pool.tries() > 0; }));
    Listener idle;  // could take what comes
    rig.gateway.listed(EndpointListKind::kComplete,
                       {listed("w", endpoint.address()), listed("v", idle.address())});
    rig.acceptor.retire(true);
    const std::uint64_t sent = rig.pool.tries();
    rig.acceptor.answer_all();
    EXPECT_TRUE(rig.until([&] { return client.is_over(); }));
    EXPECT_EQ(static_cast<std::size_t>(std::count(client.got.begin(), client.got.end(), '\n')), kCommands);
    EXPECT_EQ(rig.pool.tries(), sent);
}

// Guards against a request that never left being told as failed, which forbids its caller to come again.
TEST(LastAnswers, WhatNeverLeftIsRefused) {
    config::Site patient = site();
    patient.connect_timeout = 60s;
    Rig rig(patient);
    Listener endpoint{0};
    std::vector<SocketPeer> fillers;  // its backlog is full: further connections do not come up
    for (int i = 0; i < 2; ++i) fillers.push_back(connect_to(endpoint.port()));
    usleep(20'000);
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    SocketPeer client = rig.client();
    client.write(call("hold"));
    ASSERT_TRUE(rig.until([&] { return rig.pool.connections() == 1; }));
    rig.acceptor.retire(true);
    rig.acceptor.answer_all();
    EXPECT_TRUE(rig.until([&] { return client.is_over(); }));
    EXPECT_EQ(client.got, "-BUSY\r\n");
    EXPECT_TRUE(rig.until([&] { return rig.pool.connections() == 0; })) << "nothing leaves later";
}

// A client whose system takes little for it, so that what it has not taken stays with the gateway.
SocketPeer connect_with_small_buffer(std::uint16_t port) {
    constexpr int kBytes = 16 * 1024;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kBytes, sizeof(kBytes));
    sockaddr_storage to{};
    net::read_address("127.0.0.1:" + std::to_string(port), to);
    EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(sockaddr_in)), 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return SocketPeer(fd);
}

// Guards against a long answer being cut off at the end of a process, though SIGKILL has not come and its
// client goes on taking it.
TEST(LastAnswers, ALongOneThatIsTakenSlowlyIsNotCutOff) {
    Rig rig;
    Listener endpoint;
    rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    bool gone = false;
    server::Drain drain(rig.loop, rig.acceptor, 200ms, [&] {
        gone = true;
        rig.acceptor.close();
    });
    int send_buffer = 64 * 1024;  // bytes; connections have their listener's
    uv_send_buffer_size(reinterpret_cast<uv_handle_t*>(rig.acceptor.listening()), &send_buffer);
    SocketPeer client = connect_with_small_buffer(static_cast<std::uint16_t>(rig.acceptor.port()));
    client.write(call("read"));
    auto peer = rig.accepted(endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=read"); }));
    const std::string value(resp::kMaxLong, 'v');
    const std::string answer = served(value);
    std::string_view left = answer;
    drain.leave();
    // Evenly over more than twice the time in which open requests are answered.
    constexpr std::size_t kAtOnce = 16 * 1024;
    constexpr auto kTakes = 2s;
    const auto begun = steady_clock::now();
    std::string expected;
    resp::write_bulk(expected, value);
    EXPECT_TRUE(rig.until([&] {
        left.remove_prefix(peer->write_some(left.substr(0, 4 * kAtOnce)));
        const std::chrono::duration<double> past = steady_clock::now() - begun;
        const double share = past / std::chrono::duration<double>(kTakes);
        if (static_cast<double>(client.got.size()) < share * static_cast<double>(expected.size()))
            client.read_some(kAtOnce);
        return client.got.size() >= expected.size() || client.ended;
    }));
    EXPECT_EQ(client.got.size(), expected.size());
    EXPECT_TRUE(rig.until([&] { return client.is_over() && gone; }));
}

}  // namespace
}  // namespace linnetlead
