// Answers that cannot be written yet: held back behind an unanswered request, or not taken by a client that
// reads slowly. Sizes are those of the protocol; no test depends on how much the kernel buffers.
#include <gtest/gtest.h>
#include <uv.h>

#include <array>
#include <map>

#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;

constexpr std::size_t kPipelined = 64;  // commands that a client may have open

// Read commands and answer each, save those that a test withholds, with a value that begins with its body.
// There are as many as a client may have commands, so that none waits for another.
class AnsweringEndpoints {
public:
    explicit AnsweringEndpoints(std::size_t value_size) : value_size_(value_size) {}
    std::vector<DiscoveredEndpoint> list() const {
        std::vector<DiscoveredEndpoint> all;
        for (const Listener& one : listeners_) all.push_back(listed("w" + one.address(), one.address()));
        return all;
    }

    static std::string value_of(const std::string& body, std::size_t size) {
        std::string value = body + ' ';
        value.resize(size, 'v');
        return value;
    }
    void step() {
        for (Listener& listener : listeners_) {
            while (auto peer = listener.accept()) conversations_.push_back({std::move(peer), {}});
        }
        for (Conversation& one : conversations_) {
            read_command(one);
            one.left.erase(0, one.peer->write_some(one.left));
        }
    }
    // Bodies of commands whose answers wait until this is cleared.
    std::map<std::string, bool> withheld;
    std::size_t asked = 0;

private:
    struct Conversation {
        std::unique_ptr<SocketPeer> peer;
        std::string left;  // of an answer
    };
    void read_command(Conversation& one) {
        resp::Message message;
        constexpr std::size_t kItems = 5;
        if (resp::parse(one.peer->read(), message) != resp::Parsed::kWhole) return;
        ASSERT_EQ(message.items.size(), kItems);
        const std::string body(message.items.back().text);
        const auto waits = withheld.find(body);
        if (waits != withheld.end() && waits->second) return;
        one.left += served(value_of(body, value_size_));
        one.peer->got.erase(0, message.size);
        ++asked;
    }
    std::array<Listener, kPipelined> listeners_;
    const std::size_t value_size_;
    std::vector<Conversation> conversations_;
};

std::string body_of(std::size_t number) { return "N" + std::to_string(number); }

std::string commands(std::size_t first, std::size_t count) {
    std::string all;
    for (std::size_t i = first; i < first + count; ++i) all += call("hold", 60'000, body_of(i));
    return all;
}

std::string answers(std::size_t first, std::size_t count, std::size_t value_size) {
    std::string all;
    for (std::size_t i = first; i < first + count; ++i) {
        resp::write_bulk(all, AnsweringEndpoints::value_of(body_of(i), value_size));
    }
    return all;
}

// Of the answers to these commands, in their order, those that are errors; each other one has to be whole.
std::size_t failed_answers(std::string_view text, std::size_t first, std::size_t count,
                           std::size_t value_size) {
    constexpr std::string_view kError = "-ERR failed\r\n";
    std::size_t failed = 0;
    for (std::size_t i = first; i < first + count; ++i) {
        const std::string value = answers(i, 1, value_size);
        const bool is_whole = text.substr(0, value.size()) == value;
        EXPECT_TRUE(is_whole || text.substr(0, kError.size()) == kError) << "answer " << i;
        text.remove_prefix(std::min(text.size(), is_whole ? value.size() : kError.size()));
        failed += is_whole ? 0 : 1;
    }
    EXPECT_TRUE(text.empty());
    return failed;
}

config::Site wide_site() {
    config::Site with = site();
    for (auto& traffic_class : with.settings.classes) {
        traffic_class.latency_objective = traffic_class.deadline = 60s;
    }
    return with;
}

struct PendingAnswersRig : Rig {
    explicit PendingAnswersRig(std::size_t value_size, proxy::Duration stall = 15s)
        : Rig(wide_site(), 64, stall), endpoints(value_size), size(value_size) {
        acceptor.limit_unsent(8 << 20);
        gateway.listed(EndpointListKind::kComplete, endpoints.list());
    }
    // Small buffers in the kernel, so that what a client does not read stays with the gateway.
    void shrink_kernel_buffers() {
        uv_os_fd_t fd = -1;
        const int bytes = 4096;
        ASSERT_EQ(uv_fileno(reinterpret_cast<uv_handle_t*>(acceptor.listening()), &fd), 0);
        ASSERT_EQ(setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes)), 0);
        ASSERT_EQ(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)), 0);
    }
    template <typename Condition>
    bool plays_until(Condition condition) {
        return until([&] {
            endpoints.step();
            return condition();
        });
    }
    bool gets(SocketPeer& client, const std::string& text) {
        plays_until([&] { return client.read().size() >= text.size() || client.ended; });
        return client.got == text;
    }
    // Reads until every request is answered and every answer written.
    bool read_all(std::vector<SocketPeer>& clients) {
        std::size_t got = 0;
        const auto read = [&] {
            std::size_t now = 0;
            for (SocketPeer& client : clients) now += client.read().size();
            return std::exchange(got, now) == now;
        };
        const bool is_written = plays_until([&] {
            read();
            return gateway.open_calls() == 0 && acceptor.pending_bytes() == 0;
        });
        return is_written && plays_until([&] {
                   usleep(10'000);  // what the kernel still has
                   return read();
               });
    }
    AnsweringEndpoints endpoints;
    const std::size_t size;
};

// ---- Held back behind an unanswered request ------------------------------------------------------------

class HeldBackAnswers : public testing::TestWithParam<std::size_t> {};

// Guards against: the answers behind a slow request come to more than 1 MiB, and the client that reads all at
// once is closed with every request on its connection unanswered.
TEST_P(HeldBackAnswers, AreAllWrittenOnceTheFirstRequestHasItsAnswer) {
    PendingAnswersRig rig(GetParam());
    rig.endpoints.withheld[body_of(0)] = true;
    SocketPeer client = rig.client();
    client.write(commands(0, kPipelined));
    ASSERT_TRUE(rig.plays_until([&] { return rig.gateway.open_calls() == 1 && rig.endpoints.asked == 63; }))
        << rig.gateway.open_calls() << " " << rig.endpoints.asked << " " << rig.pool.connections() << " "
        << rig.pool.tries() << client.read();
    EXPECT_EQ(client.read(), "");
    rig.endpoints.withheld[body_of(0)] = false;
    EXPECT_TRUE(rig.gets(client, answers(0, kPipelined, rig.size)));
    client.got.clear();
    client.write(commands(kPipelined, 1));
    EXPECT_TRUE(rig.gets(client, answers(kPipelined, 1, rig.size))) << "the connection serves on";
}
INSTANTIATE_TEST_SUITE_P(Sizes, HeldBackAnswers, testing::Values(200, 20'000, 60'000, resp::kMaxBulk));

// Guards against: answers that are held back take memory without a bound, or close their client at the bound.
TEST(HeldBackAnswers, OverTheLimitAreToldAsFailedInTheirOrderAndTheConnectionServesOn) {
    constexpr std::size_t kSize = 60'000, kKept = 3;
    PendingAnswersRig rig(kSize);
    rig.acceptor.limit_unsent(kKept * (kSize + 100));
    rig.endpoints.withheld[body_of(0)] = true;
    std::vector<SocketPeer> clients;
    clients.push_back(rig.client());
    clients[0].write(commands(0, kPipelined));
    ASSERT_TRUE(
        rig.plays_until([&] { return rig.gateway.open_calls() == 1 && rig.endpoints.asked > kKept; }));
    EXPECT_LE(rig.acceptor.pending_bytes(), kKept * (kSize + 100) + kPipelined * 20);
    rig.endpoints.withheld[body_of(0)] = false;
    ASSERT_TRUE(rig.read_all(clients));
    EXPECT_FALSE(clients[0].ended);
    const std::size_t failed = failed_answers(clients[0].got, 0, kPipelined, kSize);
    EXPECT_EQ(failed, rig.acceptor.shed_answers());
    EXPECT_GT(failed, 0u);
    EXPECT_LT(failed, kPipelined - kKept);
    EXPECT_EQ(rig.acceptor.pending_bytes(), 0u);
}

// Guards against: many clients that pipeline behind slow requests take more memory than all clients may have.
TEST(HeldBackAnswers, OfManyClientsStayWithinTheLimitTogether) {
    constexpr std::size_t kSize = 60'000, kLimit = 1 << 20, kClients = 6, kEach = 10;
    PendingAnswersRig rig(kSize);
    rig.acceptor.limit_unsent(kLimit);
    std::vector<SocketPeer> clients;
    for (std::size_t i = 0; i < kClients; ++i) {
        rig.endpoints.withheld[body_of(i * kEach)] = true;
        clients.push_back(rig.client());
        clients.back().write(commands(i * kEach, kEach));
    }
    std::size_t peak = 0;
    ASSERT_TRUE(rig.plays_until([&] {
        peak = std::max(peak, rig.acceptor.pending_bytes());
        return rig.gateway.open_calls() == kClients && rig.acceptor.shed_answers() > 0;
    }));
    EXPECT_LE(peak, kLimit);
    rig.endpoints.withheld.clear();
    ASSERT_TRUE(rig.read_all(clients));
    std::size_t failed = 0;
    for (std::size_t i = 0; i < kClients; ++i) {
        EXPECT_FALSE(clients[i].ended);
        failed += failed_answers(clients[i].got, i * kEach, kEach, kSize);
    }
    EXPECT_EQ(failed, rig.acceptor.shed_answers());
}

// ---- Not taken by the client ---------------------------------------------------------------------------

class WholeAnswer : public testing::TestWithParam<std::size_t> {};

// Guards against: while slow readers hold more than all clients may have, a client that waits for nothing
// else is closed in place of its answer, for this one's size alone.
TEST_P(WholeAnswer, IsWrittenWhateverOthersHaveNotRead) {
    PendingAnswersRig rig(GetParam());
    rig.acceptor.limit_unsent(0);
    SocketPeer client = rig.client();
    for (std::size_t i = 0; i < 3; ++i) {
        client.write(commands(i, 1));
        EXPECT_TRUE(rig.gets(client, answers(i, 1, rig.size)));
        client.got.clear();
    }
    EXPECT_EQ(rig.acceptor.shed_answers(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Sizes, WholeAnswer,
                         testing::Values(200, 60'000, resp::kMaxBulk - 100, resp::kMaxBulk));

// Guards against: the same, where others really hold that much.
TEST(UnreadAnswers, OfSlowReadersCostOthersNothing) {
    constexpr std::size_t kSize = resp::kMaxBulk, kLimit = 256 * 1024, kSlow = 8, kEach = 4;
    PendingAnswersRig rig(kSize);
    rig.shrink_kernel_buffers();
    rig.acceptor.limit_unsent(kLimit);
    std::vector<SocketPeer> slow;
    for (std::size_t i = 0; i < kSlow; ++i) {
        slow.push_back(rig.client());
        slow.back().write(commands(1000 + i * kEach, kEach));
    }
    ASSERT_TRUE(rig.plays_until(
        [&] { return rig.endpoints.asked == kSlow * kEach && rig.gateway.open_calls() == 0; }));
    EXPECT_GT(rig.acceptor.pending_bytes(), kLimit);
    EXPECT_LE(rig.acceptor.pending_bytes(), 2 * kLimit + kSlow * (kSize + 100));
    SocketPeer client = rig.client();
    for (std::size_t i = 0; i < 10; ++i) {
        client.write(commands(i, 1));
        EXPECT_TRUE(rig.gets(client, answers(i, 1, kSize)));
        client.got.clear();
    }
    ASSERT_TRUE(rig.read_all(slow));
    std::size_t failed = 0;
    for (std::size_t i = 0; i < kSlow; ++i) {
        EXPECT_FALSE(slow[i].ended);
        failed += failed_answers(slow[i].got, 1000 + i * kEach, kEach, kSize);
    }
    EXPECT_EQ(failed, rig.acceptor.shed_answers());
}

// Guards against: a client that sends requests and reads nothing keeps the memory of its answers for good.
TEST(UnreadAnswers, OfAClientThatTakesNothingAreGivenUp) {
    PendingAnswersRig rig(60'000, 400ms);
    rig.shrink_kernel_buffers();
    SocketPeer client = rig.client();
    client.write(commands(0, kPipelined));
    ASSERT_TRUE(rig.plays_until([&] { return rig.acceptor.pending_bytes() > 1 << 20; }));
    EXPECT_TRUE(rig.plays_until([&] { return rig.acceptor.empty(); }));
    EXPECT_EQ(rig.acceptor.pending_bytes(), 0u);
    EXPECT_TRUE(rig.plays_until([&] { return rig.gateway.open_calls() == 0; }));
}

// Guards against: the limit on clients that take nothing ends one that takes its answers slowly.
TEST(UnreadAnswers, OfAClientThatReadsSlowlyComeWhole) {
    PendingAnswersRig rig(60'000, 400ms);
    rig.shrink_kernel_buffers();
    SocketPeer client = rig.client();
    constexpr std::size_t kCommands = 32;
    client.write(commands(0, kCommands));
    const std::string expected = answers(0, kCommands, rig.size);
    const auto began = std::chrono::steady_clock::now();
    ASSERT_TRUE(rig.plays_until([&] {
        usleep(500);
        client.read_some(2048);
        return client.got.size() == expected.size() || client.ended;
    }));
    EXPECT_TRUE(client.got == expected);
    EXPECT_GT(std::chrono::steady_clock::now() - began, 800ms) << "longer than the limit";
}

}  // namespace
}  // namespace linnetlead
