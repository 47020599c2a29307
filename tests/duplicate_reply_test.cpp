// Second copies of replies that come while another request is open on the connection: alone, in pieces, with
// values of any size, at any time after the reply; and endpoints whose values repeat.
#include <gtest/gtest.h>

#include "proxy/duplicate_reply_detector.h"
#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;
using proxy::DuplicateReplyDetector;
using proxy::ReplyFingerprint;
using proxy::ReplyVerdict;

// ---- The rule ------------------------------------------------------------------------------------------

TEST(DuplicateReplyDetector, ACopyComesSoonerThanTheEndpointCanAnswer) {
    DuplicateReplyDetector detector;
    EXPECT_EQ(detector.judge(1ms, false), ReplyVerdict::kGenuine) << "nothing is known of the endpoint";
    EXPECT_EQ(detector.judge(0ms, false), ReplyVerdict::kDuplicate) << "the request was not written yet";
    detector.on_genuine_reply(40ms);
    detector.on_genuine_reply(300ms);
    EXPECT_EQ(detector.judge(19ms, false), ReplyVerdict::kDuplicate);
    EXPECT_EQ(detector.judge(21ms, false), ReplyVerdict::kGenuine);
    EXPECT_EQ(detector.judge(90ms, true), ReplyVerdict::kDuplicate)
        << "the request's own reply came behind it";
    detector.on_genuine_reply(10ms);
    EXPECT_EQ(detector.judge(6ms, false), ReplyVerdict::kGenuine) << "the endpoint can answer in less";
    detector.on_genuine_reply(4ms);
    EXPECT_EQ(detector.judge(1ms, false), ReplyVerdict::kGenuine) << "the way may take as long as the work";
}

TEST(DuplicateReplyDetector, FollowsAnEndpointThatBecomesSlower) {
    DuplicateReplyDetector detector;
    detector.on_genuine_reply(200us);
    for (int i = 0; i < 1000; ++i) detector.on_genuine_reply(20ms);
    EXPECT_EQ(detector.judge(5ms, false), ReplyVerdict::kDuplicate);
    EXPECT_EQ(detector.judge(11ms, false), ReplyVerdict::kGenuine);
}

TEST(DuplicateReplyDetector, WhereValuesRepeatTheySayNothing) {
    DuplicateReplyDetector detector;
    detector.on_genuine_reply(40ms);
    detector.on_duplicate_unconfirmed();
    EXPECT_EQ(detector.judge(1ms, false), ReplyVerdict::kDuplicate) << "the endpoint may have hung";
    detector.on_duplicate_confirmed();
    detector.on_duplicate_unconfirmed();
    EXPECT_EQ(detector.judge(1ms, false), ReplyVerdict::kDuplicate);
    detector.on_duplicate_unconfirmed();
    EXPECT_EQ(detector.judge(1ms, false), ReplyVerdict::kGenuine);
}

TEST(DuplicateReplyDetector, WhereValuesNeverRepeatAnEqualOneIsSuspectedHoweverLateItComes) {
    DuplicateReplyDetector detector;
    for (int i = 0; i < 99; ++i) {
        detector.on_genuine_reply(i % 2 == 0 ? 10ms : 40ms);
        detector.on_other_value();
    }
    EXPECT_EQ(detector.judge(30ms, false), ReplyVerdict::kGenuine);
    detector.on_genuine_reply(40ms);
    detector.on_other_value();
    EXPECT_EQ(detector.judge(30ms, false), ReplyVerdict::kSuspected);
    EXPECT_EQ(detector.judge(30ms, true), ReplyVerdict::kDuplicate);
    EXPECT_EQ(detector.judge(1ms, false), ReplyVerdict::kDuplicate);
    EXPECT_GT(detector.max_hold(), 80ms);
}

TEST(DuplicateReplyDetector, EachGenuineReplyThatWasHeldMakesSuspicionRarer) {
    DuplicateReplyDetector detector;
    const auto values_until_suspicion = [&detector] {
        int values = 0;
        while (detector.judge(30ms, false) != ReplyVerdict::kSuspected) {
            detector.on_other_value();
            ++values;
        }
        return values;
    };
    EXPECT_EQ(values_until_suspicion(), 100);
    detector.on_equal_value(true);
    EXPECT_EQ(values_until_suspicion(), 200);
    detector.on_equal_value(true);
    EXPECT_EQ(values_until_suspicion(), 400);
}

TEST(ReplyFingerprint, TellsValuesApartByTheirLengthAndFirstBytes) {
    const std::string one(100'000, 'a');
    std::string other = one;
    other[200] = 'b';
    EXPECT_EQ(ReplyFingerprint(one, one.size()), ReplyFingerprint(one.substr(0, 256), one.size()));
    EXPECT_NE(ReplyFingerprint(one, one.size()), ReplyFingerprint(other, other.size()));
    EXPECT_NE(ReplyFingerprint(one, one.size()), ReplyFingerprint(one, one.size() - 1));
}

// ---- On sockets ----------------------------------------------------------------------------------------

struct DuplicateReplyRig : Rig {
    DuplicateReplyRig() { gateway.listed(EndpointListKind::kComplete, {listed("w", listener.address())}); }
    bool gets(const std::string& value) {
        std::string expected;
        resp::write_bulk(expected, value);
        until([&] { return client.read().size() >= expected.size() || client.ended; });
        const bool equal = client.got == expected;
        client.got.clear();
        return equal;
    }
    void ask(const std::string& traffic_class = "hold") { client.write(call(traffic_class)); }
    bool arrived() {
        const bool has = until([&] { return endpoint->has("c="); });
        endpoint->got.clear();
        return has;
    }
    bool write(std::string_view text) {
        return until([&] {
            text.remove_prefix(endpoint->write_some(text));
            return text.empty();
        });
    }
    void wait(proxy::Duration time) {
        const auto end = std::chrono::steady_clock::now() + time;
        until([&] { return std::chrono::steady_clock::now() >= end; });
    }
    // The endpoint answers the first request after kWork.
    void serve_first(const std::string& value) {
        ask();
        endpoint = accepted(listener);
        ASSERT_TRUE(arrived());
        wait(kWork);
        ASSERT_TRUE(write(served(value)));
        ASSERT_TRUE(gets(value));
    }
    static constexpr proxy::Duration kWork = 400ms;
    Listener listener;
    SocketPeer client = Rig::client();
    std::unique_ptr<SocketPeer> endpoint;
};

std::string value_of(std::size_t size, char letter) { return std::string(size, letter); }

struct Copy {
    const char* name;
    std::size_t size;      // of the values
    proxy::Duration late;  // behind the reply
    std::size_t piece;     // bytes of the copy that come first; 0: all at once
};

class SecondCopy : public testing::TestWithParam<Copy> {};

// Guards against: a copy of a reply crosses the next request on the connection, and that request's client is
// given the value that was made for another.
TEST_P(SecondCopy, ThatCrossesTheNextRequestIsNotTakenForItsReply) {
    const Copy& copy = GetParam();
    const std::string one = value_of(copy.size, '1'), two = value_of(copy.size, '2'), three = "three";
    DuplicateReplyRig rig;
    rig.serve_first(one);
    rig.wait(copy.late);
    rig.ask();
    ASSERT_TRUE(rig.arrived());
    const std::string text = served(one);
    ASSERT_TRUE(rig.write(text.substr(0, copy.piece)));
    rig.wait(copy.piece > 0 ? 5ms : 0ms);
    ASSERT_TRUE(rig.write(text.substr(copy.piece)));
    rig.wait(5ms);
    EXPECT_EQ(rig.client.read(), "");
    ASSERT_TRUE(rig.write(served(two)));
    EXPECT_TRUE(rig.gets(two));
    EXPECT_EQ(rig.pool.duplicate_replies(), 1u);
    rig.wait(20ms);
    rig.ask();
    ASSERT_TRUE(rig.arrived()) << "the connection serves on";
    ASSERT_TRUE(rig.write(served(three)));
    EXPECT_TRUE(rig.gets(three));
    EXPECT_EQ(rig.pool.connections(), 1u);
}
INSTANTIATE_TEST_SUITE_P(Each, SecondCopy,
                         testing::Values(Copy{"SoonBehind", 40, 6ms, 0}, Copy{"Late", 40, 60ms, 0},
                                         Copy{"ASecondLate", 40, 1s, 0}, Copy{"InPieces", 40, 20ms, 11},
                                         Copy{"OfTheLongestBufferedValue", resp::kMaxBulk, 20ms, 30'000},
                                         Copy{"OfALongValue", resp::kMaxBulk + 1, 20ms, 0},
                                         Copy{"OfALongValueInPieces", 1 << 20, 20ms, 70'000},
                                         Copy{"OfALongValueWhoseStartIsShort", 1 << 20, 20ms, 30}),
                         [](const auto& test) { return test.param.name; });

TEST(SecondCopies, SeveralInARowAreAllSkipped) {
    DuplicateReplyRig rig;
    rig.serve_first("one");
    rig.wait(10ms);
    rig.ask();
    ASSERT_TRUE(rig.arrived());
    ASSERT_TRUE(rig.write(served("one") + served("one")));
    ASSERT_TRUE(rig.write(served("one") + served("two")));
    EXPECT_TRUE(rig.gets("two"));
    EXPECT_EQ(rig.pool.duplicate_replies(), 3u);
}

// Guards against: the gateway is held up, and reads a copy when the endpoint could have answered.
TEST(SecondCopies, ReadLateByAProcessThatWasHeldUpAreSkipped) {
    DuplicateReplyRig rig;
    rig.serve_first("one");
    rig.wait(10ms);
    rig.ask();
    ASSERT_TRUE(rig.arrived());
    rig.endpoint->write(served("one"));
    usleep(300'000);  // over half of what the endpoint's replies take
    rig.wait(5ms);
    EXPECT_EQ(rig.client.read(), "");
    ASSERT_TRUE(rig.write(served("two")));
    EXPECT_TRUE(rig.gets("two"));
    EXPECT_EQ(rig.pool.duplicate_replies(), 1u);
}

TEST(SecondCopies, ReadLateWithTheReplyBehindItAreSkipped) {
    DuplicateReplyRig rig;
    rig.serve_first("one");
    rig.wait(10ms);
    rig.ask();
    ASSERT_TRUE(rig.arrived());
    rig.endpoint->write(served("one") + served("two"));
    usleep(static_cast<useconds_t>(rig.kWork / 1us));
    EXPECT_TRUE(rig.gets("two"));
}

struct EndpointWithoutRepeatsRig : DuplicateReplyRig {
    void set_up() {
        ask();
        endpoint = accepted(listener);
        for (int i = 0; i < kValues; ++i) {
            ASSERT_TRUE(arrived());
            wait(kWork);
            last_value = "value " + std::to_string(i);
            ASSERT_TRUE(write(served(last_value)));
            ASSERT_TRUE(gets(last_value));
            wait(6ms);
            ask();
        }
        ASSERT_TRUE(arrived());
    }
    static constexpr int kValues = 102;
    static constexpr proxy::Duration kWork = 20ms;
    std::string last_value;
};

// Guards against: a copy is held up on its way for as long as the endpoint works, and another request's
// client gets it.
TEST(SecondCopies, AsLateAsAReplyWhereValuesNeverRepeatAreSkippedWhenTheReplyComes) {
    EndpointWithoutRepeatsRig rig;
    rig.set_up();
    rig.wait(rig.kWork);
    ASSERT_TRUE(rig.write(served(rig.last_value)));
    rig.wait(5ms);
    EXPECT_EQ(rig.client.read(), "");
    ASSERT_TRUE(rig.write(served("two")));
    EXPECT_TRUE(rig.gets("two"));
    EXPECT_EQ(rig.pool.duplicate_replies(), 1u);
    EXPECT_EQ(rig.pool.connections(), 1u);
}

// Guards against: a genuine reply that happens to repeat the value before it is lost.
TEST(SecondCopies, AnEqualReplyThatNoneFollowsIsServedSoonAlsoWhereValuesNeverRepeat) {
    EndpointWithoutRepeatsRig rig;
    rig.set_up();
    rig.wait(rig.kWork);
    ASSERT_TRUE(rig.write(served(rig.last_value)));
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(rig.gets(rig.last_value));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 500ms);
    EXPECT_EQ(rig.pool.duplicate_replies(), 0u);
    EXPECT_EQ(rig.pool.connections(), 1u);
}

// Guards against: an endpoint that gives one value to all requests is taken for one that sends copies.
TEST(SecondCopies, EqualRepliesInTheirTimeAreServed) {
    DuplicateReplyRig rig;
    rig.serve_first("same");
    for (int i = 0; i < 3; ++i) {
        rig.wait(10ms);
        rig.ask();
        ASSERT_TRUE(rig.arrived());
        rig.wait(rig.kWork * 3 / 2);
        ASSERT_TRUE(rig.write(served("same")));
        EXPECT_TRUE(rig.gets("same"));
    }
    EXPECT_EQ(rig.pool.duplicate_replies(), 0u);
}

// Guards against: the kernel's clock ticks between a reply and its read, and the reply is taken for one that
// came before its request.
TEST(SecondCopies, EqualRepliesThatAreReadLateAreServed) {
    DuplicateReplyRig rig;
    rig.ask();
    rig.endpoint = rig.accepted(rig.listener);
    ASSERT_TRUE(rig.arrived());
    ASSERT_TRUE(rig.write(served("same")));
    ASSERT_TRUE(rig.gets("same"));
    for (int i = 0; i < 40; ++i) {
        rig.wait(10ms);
        rig.ask();
        ASSERT_TRUE(rig.arrived());
        rig.endpoint->write(served("same"));
        usleep(1'000 + 200 * i);
        ASSERT_TRUE(rig.gets("same")) << "reply " << i;
    }
    EXPECT_EQ(rig.pool.duplicate_replies(), 0u);
}

// Guards against: an endpoint that gives one value to all requests, and answers some much sooner than others,
// loses each of those.
TEST(SecondCopies, WhereNoOtherReplyFollowsEqualOnesAreServedFromThenOn) {
    DuplicateReplyRig rig;
    for (int lost = 0; lost < 2; ++lost) {
        rig.serve_first("same");
        rig.wait(10ms);
        rig.client.write(call("hold", 200));
        ASSERT_TRUE(rig.arrived());
        ASSERT_TRUE(rig.write(served("same")));
        ASSERT_TRUE(rig.until([&] { return rig.client.read() == "-ERR failed\r\n"; }));
        rig.client.got.clear();
        ASSERT_TRUE(rig.until([&] { return rig.pool.connections() == 0; }));
    }
    rig.serve_first("same");
    rig.wait(10ms);
    rig.ask();
    ASSERT_TRUE(rig.arrived());
    ASSERT_TRUE(rig.write(served("same")));
    EXPECT_TRUE(rig.gets("same"));
}

// Guards against: a copy that crosses a probe makes the endpoint look as if it failed probes.
TEST(SecondCopies, ThatCrossAProbeAreSkipped) {
    DuplicateReplyRig rig;
    rig.serve_first("one");
    rig.wait(10ms);
    rig.pool.probe("w");
    ASSERT_TRUE(rig.until([&] { return rig.endpoint->has("INFO"); }));
    rig.endpoint->got.clear();
    ASSERT_TRUE(rig.write(served("one")));
    rig.wait(5ms);
    ASSERT_TRUE(rig.write("$18\r\ninflight=0,queue=0\r\n"));
    rig.wait(20ms);
    EXPECT_EQ(rig.pool.connections(), 1u) << "the probe was answered, and the connection rests";
    EXPECT_EQ(rig.pool.duplicate_replies(), 1u);
}

}  // namespace
}  // namespace linnetlead
