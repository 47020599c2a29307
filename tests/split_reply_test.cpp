// Replies of endpoints that come in parts with pauses between them, before real gateway processes.
#include <algorithm>
#include <string>

#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;
using std::chrono::steady_clock;

constexpr auto kObjective = 1000ms;  // half of it is a first attempt's timeout
constexpr auto kDeadline = 2500ms;
constexpr std::size_t kLongValue = 295'109;  // bytes

std::string ns(std::chrono::nanoseconds time) { return std::to_string(time.count()); }

// One gateway process before endpoints that the test plays. An answer after the objective has no weight.
struct SplitReplySite {
    explicit SplitReplySite(std::size_t endpoint_count) {
        std::string servers;
        for (std::size_t i = 0; i < endpoint_count; ++i) {
            endpoints.push_back(std::make_unique<Listener>());
            servers += std::string(i == 0 ? "" : ",") + R"({"id":"w)" + std::to_string(i) + R"(","addr":")" +
                       endpoints[i]->address() + R"("})";
        }
        const std::string times =
            R"("aim":)" + ns(kObjective) + R"(,"deadline":)" + ns(kDeadline) + R"(,"late_worth":0)";
        program = std::make_unique<Program>(
            R"({"listen":"127.0.0.1:0","discovery":")" + discovery.address() + R"(","counter":")" +
            counter.address() + R"(","known":{"version":1,"full":true,"servers":[)" + servers +
            R"(]},"settings":{"classes":[{"name":"read","idempotency":"retryable",)" + times +
            R"(},{"name":"create","idempotency":"dedup","dedup_window":3000000000,)" + times +
            R"(}],"tariffs":[{"name":"team","units_per_s":100,"most_at_once":100}],
               "limits":{"connect_timeout":250000000,"conn_idle":30000000000,"max_attempts":3}}})");
        client = std::make_unique<SocketPeer>(program->client());
    }
    // The next connection on which the gateway has sent a request, and when the request was there.
    std::unique_ptr<SocketPeer> next_attempt(std::chrono::milliseconds within = kPatience) {
        std::unique_ptr<SocketPeer> peer;
        const auto end = steady_clock::now() + within;
        while (steady_clock::now() < end) {
            for (auto& endpoint : endpoints) {
                if (!peer) peer = endpoint->accept();
            }
            if (peer && peer->has("c=")) return peer;
            usleep(500);
        }
        return nullptr;
    }
    // What the client has got once it has `size` bytes or its connection has ended.
    const std::string& received(std::size_t size) {
        wait_for([&] { return client->read().size() >= size || client->ended; });
        return client->got;
    }

    Listener discovery, counter;
    std::vector<std::unique_ptr<Listener>> endpoints;
    std::unique_ptr<Program> program;
    std::unique_ptr<SocketPeer> client;
};

bool write_all(SocketPeer& peer, std::string_view text) {
    wait_for([&] {
        text.remove_prefix(peer.write_some(text));
        return text.empty() || peer.is_over();
    });
    return text.empty();
}

// A keyed class wants a key.
std::string call_of(const std::string& traffic_class) {
    const std::string named = traffic_class == "create" ? "create,k=5c0f6e1a2b3d4c59" : traffic_class;
    return call(named, 2450);
}

std::string head_of(std::size_t size) { return "*3\r\n$" + std::to_string(size) + "\r\n"; }
std::string bulk_of(const std::string& value) {
    return "$" + std::to_string(value.size()) + "\r\n" + value + "\r\n";
}

// Gives the value in two parts, `pause` behind the head and once more in its middle.
void give_slowly(SocketPeer& endpoint, const std::string& value, std::chrono::milliseconds pause) {
    const std::size_t first = value.size() / 8;
    usleep(static_cast<useconds_t>(pause.count() * 1000));
    ASSERT_TRUE(write_all(endpoint, value.substr(0, first)));
    usleep(static_cast<useconds_t>(pause.count() * 1000));
    ASSERT_TRUE(write_all(endpoint, value.substr(first) + "\r\n$-1\r\n$-1\r\n"));
}

class LongReply : public testing::TestWithParam<const char*> {};

TEST_P(LongReply, IsNotCutOffBetweenItsHeadAndItsValueAtTheAttemptTimeout) {
    SplitReplySite site(2);
    const std::string value(kLongValue, 'v');
    site.client->write(call_of(GetParam()));
    auto endpoint = site.next_attempt();
    ASSERT_TRUE(endpoint);
    endpoint->write(head_of(value.size()));
    give_slowly(*endpoint, value, 900ms);
    EXPECT_TRUE(site.received(bulk_of(value).size()) == bulk_of(value))
        << site.client->got.substr(0, 40) << site.program->errors_so_far();
    EXPECT_FALSE(endpoint->is_over());
    EXPECT_FALSE(site.next_attempt(50ms)) << "a second attempt";
}

TEST_P(LongReply, OfASecondAttemptIsNotCutOffAtTheLatencyObjective) {
    SplitReplySite site(2);
    const std::string value(kLongValue, 'v');
    site.client->write(call_of(GetParam()));
    auto first = site.next_attempt();
    ASSERT_TRUE(first);
    auto second = site.next_attempt();  // the first one's timeout has passed
    ASSERT_TRUE(second);
    usleep(100'000);
    second->write(head_of(value.size()));
    give_slowly(*second, value, 600ms);
    EXPECT_TRUE(site.received(bulk_of(value).size()) == bulk_of(value))
        << site.client->got.substr(0, 40) << site.program->errors_so_far();
}

TEST_P(LongReply, OfTheLastOnesLengthIsNotCutOffWhileItsFirstBytesCome) {
    SplitReplySite site(1);
    const std::string earlier(kLongValue, 'u'), value(kLongValue, 'v');
    site.client->write(call_of(GetParam()));
    auto endpoint = site.next_attempt();
    ASSERT_TRUE(endpoint);
    usleep(20'000);
    ASSERT_TRUE(write_all(*endpoint, head_of(earlier.size()) + earlier + "\r\n$-1\r\n$-1\r\n"));
    ASSERT_TRUE(site.received(bulk_of(earlier).size()) == bulk_of(earlier));
    usleep(20'000);  // of rest, or the connection is not used again
    site.client->got.clear();
    endpoint->got.clear();
    site.client->write(call_of(GetParam()));
    ASSERT_TRUE(wait_for([&] { return endpoint->has("c="); })) << "another connection";
    constexpr std::size_t kFewBytes = 100;
    endpoint->write(head_of(value.size()) + value.substr(0, kFewBytes));
    usleep(900'000);
    ASSERT_TRUE(write_all(*endpoint, value.substr(kFewBytes) + "\r\n$-1\r\n$-1\r\n"));
    EXPECT_TRUE(site.received(bulk_of(value).size()) == bulk_of(value))
        << site.client->got.substr(0, 40) << site.program->errors_so_far();
}

TEST_P(LongReply, ThatBreaksBehindItsHeadPastTheAttemptTimeoutIsVisiblyCut) {
    SplitReplySite site(2);
    site.client->write(call_of(GetParam()));
    auto endpoint = site.next_attempt();
    ASSERT_TRUE(endpoint);
    endpoint->write(head_of(kLongValue));
    usleep(800'000);
    endpoint->close();
    EXPECT_TRUE(wait_for([&] { return site.client->is_over(); }));
    EXPECT_EQ(site.client->got, "$" + std::to_string(kLongValue) + "\r\n");
}

TEST_P(LongReply, OfWhichOnlyTheHeadCameByTheTimeoutIsNotReadForAClientThatHasGone) {
    SplitReplySite site(1);
    site.client->write(call_of(GetParam()));
    auto endpoint = site.next_attempt();
    ASSERT_TRUE(endpoint);
    endpoint->write(head_of(kLongValue));
    usleep(800'000);
    site.client->close();
    EXPECT_TRUE(wait_for([&] { return endpoint->is_over(); }));
}

class ShortReply : public testing::TestWithParam<const char*> {};

TEST_P(ShortReply, ThatIsStillArrivingIsNotCutOffAtTheAttemptTimeout) {
    SplitReplySite site(2);
    site.client->write(call_of(GetParam()));
    auto endpoint = site.next_attempt();
    ASSERT_TRUE(endpoint);
    const std::string value(40'000, 'v'), reply = served(value);
    constexpr std::size_t kPieces = 16;
    for (std::size_t i = 0; i < kPieces; ++i) {
        const std::size_t size = reply.size() / kPieces + 1;
        ASSERT_TRUE(write_all(*endpoint, reply.substr(i * size, size)));
        usleep(50'000);
    }
    EXPECT_TRUE(site.received(bulk_of(value).size()) == bulk_of(value))
        << site.client->got.substr(0, 40) << site.program->errors_so_far();
}

TEST_P(ShortReply, ThatStallsIsTriedElsewhere) {
    SplitReplySite site(2);
    site.client->write(call_of(GetParam()));
    auto first = site.next_attempt();
    ASSERT_TRUE(first);
    first->write(served("value").substr(0, 7));
    auto second = site.next_attempt();
    ASSERT_TRUE(second);
    second->write(served("other"));
    EXPECT_EQ(site.received(bulk_of("other").size()), bulk_of("other"));
}

INSTANTIATE_TEST_SUITE_P(Classes, ShortReply, testing::Values("read", "create"));
INSTANTIATE_TEST_SUITE_P(Classes, LongReply, testing::Values("read", "create"));

}  // namespace
}  // namespace linnetlead
