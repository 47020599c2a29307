// Long values that break off while their client has sent further commands: each command gets its answer.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <utility>

#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;
using std::chrono::steady_clock;

constexpr std::size_t kRoom = 1 << 22;     // of the rig, for requests
constexpr std::size_t kSpare = kRoom / 4;  // of it, kept for requests alone
constexpr const char* kFailed = "-ERR failed\r\n";

std::string bulk(const std::string& value) {
    std::string out;
    resp::write_bulk(out, value);
    return out;
}

// An endpoint whose test answers each command by itself, whatever connection it came on.
struct PipeliningRig : Rig {
    PipeliningRig() { gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())}); }
    void step() {
        const auto now = steady_clock::now();
        longest_gap = std::max(longest_gap, now - std::exchange(stepped_at, now));
        if (auto peer = endpoint.accept()) peers.push_back(std::move(peer));
        for (auto& peer : peers) {
            resp::Message message;
            if (resp::parse(peer->read(), message) != resp::Parsed::kWhole) continue;
            taken[std::string(message.items.back().text)] = peer.get();
            peer->got.erase(0, message.size);
        }
    }
    template <typename Condition>
    bool plays_until(Condition condition) {
        return until([&] {
            step();
            return condition();
        });
    }
    void plays_for(std::chrono::milliseconds time) {
        const auto end = steady_clock::now() + time;
        plays_until([&] { return steady_clock::now() >= end; });
    }
    // The endpoint's connection that has the command with this body.
    SocketPeer& peer_of(const std::string& body) {
        EXPECT_TRUE(plays_until([&] { return taken.count(body) > 0; })) << body;
        return *taken.at(body);
    }
    bool gives(SocketPeer& peer, std::string_view text) {
        return plays_until([&] {
            text.remove_prefix(peer.write_some(text));
            client_.read();
            return text.empty();
        });
    }
    bool gets(const std::string& text) {
        plays_until([&] { return client_.read().size() >= text.size() || client_.is_over(); });
        return client_.got == text;
    }
    bool has_all_room() {
        const bool has = gateway.reserve(kRoom);
        if (has) gateway.give_back(kRoom);
        return has;
    }

    Listener endpoint;
    std::vector<std::unique_ptr<SocketPeer>> peers;
    std::map<std::string, SocketPeer*> taken;
    SocketPeer client_ = client();
    steady_clock::time_point stepped_at = steady_clock::now();
    steady_clock::duration longest_gap{};  // between two steps: both ends were held up
};

struct Break {
    std::size_t value_bytes;
    std::size_t given_bytes;
};
std::ostream& operator<<(std::ostream& out, const Break& one) {
    return out << one.given_bytes << " of " << one.value_bytes << " bytes";
}
class BrokenValue : public testing::TestWithParam<Break> {};

// Guards against: the connection is closed for the value, and commands behind it that have run get no answer.
TEST_P(BrokenValue, FailsInItsPlaceAndTheCommandsBehindItAreAnswered) {
    PipeliningRig rig;
    rig.client_.write(call("hold", 3000, "long") + call("hold", 3000, "one") + call("hold", 3000, "two"));
    SocketPeer& value = rig.peer_of("long");
    const std::string text = served(std::string(GetParam().value_bytes, 'v'));
    ASSERT_TRUE(rig.gives(rig.peer_of("one"), served("1")));
    ASSERT_TRUE(rig.gives(value, text.substr(0, text.find('v') + GetParam().given_bytes)));
    rig.plays_for(30ms);
    value.close();
    rig.plays_for(30ms);
    ASSERT_TRUE(rig.gives(rig.peer_of("two"), served("2")));
    EXPECT_TRUE(rig.gets(kFailed + bulk("1") + bulk("2")));
    rig.client_.got.clear();
    rig.client_.write(call("hold", 3000, "three"));
    ASSERT_TRUE(rig.gives(rig.peer_of("three"), served("3")));
    EXPECT_TRUE(rig.gets(bulk("3"))) << "the connection serves on";
    EXPECT_EQ(rig.gateway.open_calls(), 0u);
    EXPECT_TRUE(rig.has_all_room());
}
INSTANTIATE_TEST_SUITE_P(Sizes, BrokenValue,
                         testing::Values(Break{65'537, 1}, Break{65'537, 65'537}, Break{300'000, 1000},
                                         Break{300'000, 299'999}, Break{1 << 20, 1 << 19},
                                         Break{3'000'000, 64 * 1024}, Break{3'000'000, 2'999'999}));

// Guards against: a value breaks off while earlier answers are still missing, and all of them are lost.
TEST(BrokenValueOrder, BeforeItsTurnLeavesTheAnswersBeforeAndBehindIt) {
    PipeliningRig rig;
    rig.client_.write(call("hold", 3000, "first") + call("hold", 3000, "long") + call("hold", 3000, "last"));
    SocketPeer& first = rig.peer_of("first");
    ASSERT_TRUE(rig.gives(rig.peer_of("last"), served("3")));
    SocketPeer& value = rig.peer_of("long");
    ASSERT_TRUE(rig.gives(value, served(std::string(100'000, 'v')).substr(0, 10'000)));
    rig.plays_for(30ms);
    value.close();
    rig.plays_for(30ms);
    ASSERT_TRUE(rig.gives(first, served("1")));
    EXPECT_TRUE(rig.gets(bulk("1") + kFailed + bulk("3")));
    EXPECT_TRUE(rig.has_all_room());
}

// Guards against: the command behind a value that passes is sent on, and lost when the value breaks off.
TEST(BrokenValueOrder, WhilePassingKeepsTheNextCommandUnsent) {
    PipeliningRig rig;
    rig.client_.write(call("hold", 3000, "long"));
    SocketPeer& value = rig.peer_of("long");
    const std::string text = served(std::string(200'000, 'v'));
    ASSERT_TRUE(rig.gives(value, text.substr(0, 100'000)));
    ASSERT_TRUE(rig.plays_until([&] { return rig.client_.read().size() > 90'000; }))
        << "it passes as it arrives";
    rig.client_.write(call("hold", 3000, "next"));
    rig.plays_for(100ms);
    EXPECT_EQ(rig.taken.count("next"), 0u);
    value.close();
    ASSERT_TRUE(rig.plays_until([&] { return rig.client_.is_over(); }));
    rig.plays_for(50ms);
    EXPECT_EQ(rig.taken.count("next"), 0u) << "its client sends it again, so that it must not run";
    EXPECT_EQ(rig.client_.got.find("-ERR"), std::string::npos);
}

TEST(BrokenValueOrder, ThatIsWholeAfterAllLetsTheNextCommandFollow) {
    PipeliningRig rig;
    rig.client_.write(call("hold", 3000, "long"));
    SocketPeer& value = rig.peer_of("long");
    const std::string whole(200'000, 'v'), text = served(whole);
    ASSERT_TRUE(rig.gives(value, text.substr(0, 100'000)));
    ASSERT_TRUE(rig.plays_until([&] { return rig.client_.read().size() > 90'000; }));
    const std::string next = call("hold", 3000, "next");
    rig.client_.write(next.substr(0, next.size() / 2));
    rig.plays_for(50ms);
    ASSERT_TRUE(rig.gives(value, std::string_view(text).substr(100'000)));
    rig.client_.write(next.substr(next.size() / 2));
    ASSERT_TRUE(rig.gives(rig.peer_of("next"), served("2")));
    EXPECT_TRUE(rig.gets(bulk(whole) + bulk("2")));
}

// Guards against: a command that waits half read behind a value that takes long is told as not whole.
TEST(BrokenValueOrder, ThatTakesLongDoesNotCountForAHalfReadCommand) {
    PipeliningRig rig;
    const std::string next = call("hold", 3000, "next"), half = next.substr(0, next.size() / 2);
    rig.client_.write(call("hold", 3000, "long") + half);
    SocketPeer& value = rig.peer_of("long");
    const std::string whole(200'000, 'v'), text = served(whole);
    ASSERT_TRUE(rig.gives(value, text.substr(0, 100'000)));
    rig.plays_for(3000ms);
    ASSERT_TRUE(rig.gives(value, std::string_view(text).substr(100'000)));
    rig.plays_for(300ms);
    rig.client_.write(next.substr(half.size()));
    ASSERT_TRUE(rig.gives(rig.peer_of("next"), served("2")));
    EXPECT_TRUE(rig.gets(bulk(whole) + bulk("2")));
}

struct Delay {
    int deadline_ms;
    std::chrono::milliseconds least, most;  // of the value's first byte
};
class KeptValue : public testing::TestWithParam<Delay> {};

// Guards against: a value is held back for 2 s, or past its deadline, because of commands behind it.
TEST_P(KeptValue, PassesInTimeThoughItIsNotWhole) {
    PipeliningRig rig;
    rig.client_.write(call("hold", GetParam().deadline_ms, "long") + call("hold", 3000, "next"));
    SocketPeer& value = rig.peer_of("long");
    const std::string whole(300'000, 'v'), text = served(whole);
    const auto given = steady_clock::now();
    ASSERT_TRUE(rig.gives(value, text.substr(0, 100'000)));
    ASSERT_TRUE(rig.gives(rig.peer_of("next"), served("2")));
    ASSERT_TRUE(rig.plays_until([&] { return !rig.client_.read().empty(); }));
    const auto delay = steady_clock::now() - given;
    EXPECT_GT(delay, GetParam().least) << "its break would have cost the next answer";
    EXPECT_LT(delay, GetParam().most + rig.longest_gap);
    ASSERT_TRUE(rig.gives(value, std::string_view(text).substr(100'000)));
    EXPECT_TRUE(rig.gets(bulk(whole) + bulk("2")));
    EXPECT_TRUE(rig.has_all_room());
}
INSTANTIATE_TEST_SUITE_P(Deadlines, KeptValue,
                         testing::Values(Delay{3000, 1500ms, 2000ms}, Delay{700, 300ms, 750ms}));

TEST(KeptValueRoom, ComesBackWhenItsClientLeaves) {
    PipeliningRig rig;
    rig.client_.write(call("hold", 3000, "long") + call("hold", 3000, "next"));
    SocketPeer& value = rig.peer_of("long");
    ASSERT_TRUE(rig.gives(value, served(std::string(1 << 20, 'v')).substr(0, 100'000)));
    rig.plays_for(30ms);
    EXPECT_FALSE(rig.gateway.reserve(kRoom - (1 << 19)));
    rig.client_.close();
    EXPECT_TRUE(rig.plays_until([&] { return rig.acceptor.connections() == 0; }));
    rig.peer_of("next").close();
    EXPECT_TRUE(rig.plays_until([&] { return rig.gateway.open_calls() == 0; }));
    EXPECT_TRUE(rig.has_all_room());
}

// Guards against: kept values take the memory that other clients' requests need.
TEST(KeptValueRoom, IsNotTakenFromWhatRequestsNeed) {
    PipeliningRig rig;
    ASSERT_TRUE(rig.gateway.reserve(kRoom - kSpare - 100'000));
    rig.client_.write(call("hold", 3000, "long") + call("hold", 3000, "next"));
    SocketPeer& value = rig.peer_of("long");
    const std::string whole(1 << 20, 'v'), text = served(whole);
    ASSERT_TRUE(rig.gives(value, text.substr(0, 100'000)));
    rig.plays_for(30ms);
    EXPECT_TRUE(rig.gateway.reserve(kSpare));
    rig.gateway.give_back(kSpare);
    // Room that becomes free is used at once.
    rig.gateway.give_back(kRoom - kSpare - 100'000);
    ASSERT_TRUE(rig.gives(value, std::string_view(text).substr(100'000)));
    ASSERT_TRUE(rig.gives(rig.peer_of("next"), served("2")));
    EXPECT_TRUE(rig.gets(bulk(whole) + bulk("2")));
    EXPECT_TRUE(rig.has_all_room());
}

}  // namespace
}  // namespace linnetlead
