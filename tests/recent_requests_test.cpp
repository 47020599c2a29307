// Requests whose ids come again after their clients have left.
#include "proxy/recent_requests.h"

#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;
using proxy::RecentRequests;

TEST(RecentRequests, AreKnownForTheirLifetimeAndUpToTheBound) {
    RecentRequests recent;
    recent.add(7, 100s);
    EXPECT_TRUE(recent.contains(7, 100s + RecentRequests::kLifetime));
    EXPECT_FALSE(recent.contains(8, 100s));
    EXPECT_FALSE(recent.contains(7, 101s + RecentRequests::kLifetime));
    for (std::uint64_t id = 0; id <= RecentRequests::kMaxIds; ++id) recent.add(id, 200s);
    EXPECT_EQ(recent.size(), RecentRequests::kMaxIds);
    EXPECT_FALSE(recent.contains(0, 200s));
    EXPECT_EQ(recent.newest(2, 200s),
              (std::vector<std::uint64_t>{RecentRequests::kMaxIds - 1, RecentRequests::kMaxIds}));
}

// A request whose client leaves while an endpoint is at it, and comes again once that has ended.
struct Repeated {
    explicit Repeated(const std::string& traffic_class) : text(call(traffic_class)) {
        rig.gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    }
    void leave_and_come_again(const std::string& reply) {
        SocketPeer first = rig.client();
        first.write(text);
        auto peer = rig.accepted(endpoint);
        ASSERT_TRUE(peer);
        ASSERT_TRUE(rig.until([&] { return peer->has("c="); }));
        first.close();
        ASSERT_TRUE(rig.until([&] { return rig.gateway.counts().in_progress == 0; }));
        peer->write(reply);
        ASSERT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0; }));
        peer->close();
        again.write(text);
    }
    Rig rig;
    Listener endpoint;
    std::string text;
    SocketPeer again = rig.client();
};

TEST(RepeatedId, OfANonIdempotentRequestThatMayHaveRunIsNotSentAgain) {
    Repeated repeated("hold");
    repeated.leave_and_come_again(served("v"));
    EXPECT_TRUE(repeated.rig.until([&] { return repeated.again.has("-ERR failed\r\n"); }));
    EXPECT_EQ(repeated.rig.pool.tries(), 1u);
    EXPECT_EQ(repeated.rig.gateway.events().count(proxy::Event::kRequestWithRecentId), 1u);
}

TEST(RepeatedId, OfARequestThatTheEndpointTurnedAwayIsServed) {
    Repeated repeated("hold");
    repeated.leave_and_come_again("-BUSY\r\n");
    auto peer = repeated.rig.accepted(repeated.endpoint);
    ASSERT_TRUE(peer);
    ASSERT_TRUE(repeated.rig.until([&] { return peer->has("c=hold"); }));
    peer->write(served("v"));
    EXPECT_TRUE(repeated.rig.until([&] { return repeated.again.has("$1\r\nv\r\n"); }));
}

TEST(RepeatedId, OfAnIdempotentRequestIsServed) {
    Repeated repeated("read");
    repeated.leave_and_come_again(served("v"));
    auto peer = repeated.rig.accepted(repeated.endpoint);
    ASSERT_TRUE(peer);
    ASSERT_TRUE(repeated.rig.until([&] { return peer->has("c=read"); }));
}

}  // namespace
}  // namespace linnetlead
