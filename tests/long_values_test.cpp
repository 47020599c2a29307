// Long values both ways on real sockets: passed on in pieces, at bounded memory, whole or visibly cut.
#include <gtest/gtest.h>

#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;

std::string pattern(std::size_t size) {
    std::string made(size, ' ');
    for (std::size_t i = 0; i < size; ++i) made[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
    return made;
}

struct LongRig : Rig {
    LongRig() { gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())}); }
    // As fast as the other side takes it.
    bool write_all(SocketPeer& peer, std::string_view text) {
        return until([&] {
            text.remove_prefix(peer.write_some(text));
            return text.empty();
        });
    }
    // The endpoint's end of a call that the client has just sent.
    std::unique_ptr<SocketPeer> asked(const std::string& text) {
        EXPECT_TRUE(write_all(client, text));
        auto peer = accepted(endpoint);
        EXPECT_TRUE(until([&] { return peer->has("c="); }));
        peer->got.clear();
        return peer;
    }
    bool gets(SocketPeer& peer, const std::string& text) {
        until([&] { return peer.read().size() >= text.size() || peer.ended; });
        return peer.got == text;
    }
    Listener endpoint;
    SocketPeer client = Rig::client();
};

std::string bulk(const std::string& value) {
    std::string out;
    resp::write_bulk(out, value);
    return out;
}

TEST(LongValue, ComesWholeInPiecesOfAnySizeAndItsConnectionServesOn) {
    LongRig rig;
    const std::string value = pattern(1 << 20), text = served(value);
    auto peer = rig.asked(call("read"));
    const std::size_t head = 40, tail = text.size() - 30;
    for (std::size_t i = 0; i < head; ++i) ASSERT_TRUE(rig.write_all(*peer, text.substr(i, 1)));
    ASSERT_TRUE(rig.write_all(*peer, text.substr(head, tail - head)));
    for (std::size_t i = tail; i < text.size(); ++i) ASSERT_TRUE(rig.write_all(*peer, text.substr(i, 1)));
    EXPECT_TRUE(rig.gets(rig.client, bulk(value)));
    EXPECT_EQ(rig.gateway.counts().classes[0].served, 1u);
    ASSERT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0; }));
    usleep(10'000);
    rig.client.got.clear();
    rig.client.write(call("read"));
    ASSERT_TRUE(rig.until([&] { return peer->has("c=read"); })) << "on the same connection";
    peer->write(served("short"));
    EXPECT_TRUE(rig.gets(rig.client, bulk("short")));
}

// A client that does not read holds back the endpoint, and not the gateway's memory.
TEST(LongValue, IsReadNoFasterThanItsClientTakesIt) {
    LongRig rig;
    const std::string value = pattern(resp::kMaxLong), text = served(value);
    auto peer = rig.asked(call("read"));
    std::size_t given = 0;
    const auto end = std::chrono::steady_clock::now() + 500ms;
    while (std::chrono::steady_clock::now() < end) {
        given += peer->write_some(std::string_view(text).substr(given));
        rig.loop.turn();
    }
    const std::size_t stuck = given;
    for (int i = 0; i < 100; ++i) rig.loop.turn();
    given += peer->write_some(std::string_view(text).substr(given));
    // Where the kernel takes it all there is nothing to see here; the gateway's own share is bounded below.
    EXPECT_LE(given - stuck, 128u * 1024);
    ASSERT_TRUE(rig.until([&] {
        given += peer->write_some(std::string_view(text).substr(given));
        rig.client.read();
        return given == text.size();
    }));
    EXPECT_TRUE(rig.gets(rig.client, bulk(value)));
}

TEST(LongValue, WhoseFirstBytesAreInTimeIsNotGivenUpForTheDeadline) {
    LongRig rig;
    const std::string value = pattern(100'000), text = served(value);
    auto peer = rig.asked(call("hold", 300));
    peer->write(text.substr(0, 1000));
    const auto end = std::chrono::steady_clock::now() + 600ms;
    while (std::chrono::steady_clock::now() < end) rig.loop.turn();
    ASSERT_TRUE(rig.write_all(*peer, text.substr(1000)));
    EXPECT_TRUE(rig.gets(rig.client, bulk(value)));
}

TEST(LongValue, CutShortEndsItsClientsConnectionWithNoOtherAnswerAndNoOtherAttempt) {
    const std::string text = served(pattern(100'000));
    std::string spoilt = text;
    spoilt[spoilt.size() - 12] = '!';  // the end of line behind the value
    for (const std::string& given : {text.substr(0, 50'000), spoilt}) {
        LongRig rig;
        auto peer = rig.asked(call("read"));
        ASSERT_TRUE(rig.write_all(*peer, given));
        if (given.size() < text.size()) {
            ASSERT_TRUE(rig.until([&] { return rig.client.read().size() > 40'000; }));
            peer->close();
        }
        EXPECT_TRUE(rig.until([&] { return rig.client.is_over(); }));
        EXPECT_EQ(rig.client.got.find("-ERR"), std::string::npos);
        EXPECT_FALSE(rig.endpoint.accept());
        EXPECT_EQ(rig.gateway.counts().classes[0].failed, 1u);
        EXPECT_EQ(rig.gateway.open_calls(), 0u);
    }
}

TEST(LongValue, ThatBreaksBeforeItsFirstByteIsTriedElsewhere) {
    LongRig rig;
    Listener other;
    rig.gateway.listed(EndpointListKind::kChanges, {listed("x", other.address())});
    rig.client.write(call("read"));
    std::unique_ptr<SocketPeer> first, second;
    ASSERT_TRUE(rig.until([&] { return (first = rig.endpoint.accept()) || (second = other.accept()); }));
    SocketPeer& bad = first ? *first : *second;
    ASSERT_TRUE(rig.until([&] { return bad.has("c=read"); }));
    bad.write("*3\r\n$100000\r\n");
    for (int i = 0; i < 20; ++i) rig.loop.turn(), usleep(1000);
    bad.close();
    std::unique_ptr<SocketPeer> good;
    ASSERT_TRUE(
        rig.until([&] { return (good = first ? other.accept() : rig.endpoint.accept()) != nullptr; }));
    ASSERT_TRUE(rig.until([&] { return good->has("c=read"); }));
    good->write(served("v"));
    EXPECT_TRUE(rig.gets(rig.client, bulk("v")));
}

TEST(LongValue, WithSpoiltFiguresBehindItIsServedAndItsConnectionIsNotUsedAgain) {
    LongRig rig;
    const std::string value = pattern(100'000);
    auto peer = rig.asked(call("read"));
    ASSERT_TRUE(rig.write_all(*peer, "*3\r\n" + bulk(value) + "noise"));
    EXPECT_TRUE(rig.gets(rig.client, bulk(value)));
    EXPECT_TRUE(rig.until([&] { return peer->is_over(); }));
    EXPECT_FALSE(rig.client.is_over());
}

TEST(LongValue, OfAClientThatGoesAwayIsNotReadOn) {
    LongRig rig;
    auto peer = rig.asked(call("read"));
    const std::string text = served(pattern(resp::kMaxLong));
    ASSERT_TRUE(rig.write_all(*peer, std::string_view(text).substr(0, 200'000)));
    ASSERT_TRUE(rig.until([&] { return rig.client.read().size() > 100'000; }));
    rig.client.close();
    EXPECT_TRUE(rig.until([&] {
        peer->write_some("x");
        return peer->is_over();
    }));
    EXPECT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0; }));
}

TEST(LongValue, BehindAnotherAnswerWaitsForItsTurnAndHoldsNothingUp) {
    LongRig rig;
    rig.client.write(call("hold"));
    auto first = rig.accepted(rig.endpoint);
    ASSERT_TRUE(rig.until([&] { return first->has("c=hold"); }));
    const std::string value = pattern(300'000), text = served(value);
    auto second = rig.asked(call("read") + "*1\r\n$4\r\nPING\r\n");
    std::size_t given = 0;
    const auto end = std::chrono::steady_clock::now() + 200ms;
    while (std::chrono::steady_clock::now() < end) {
        given += second->write_some(std::string_view(text).substr(given));
        rig.loop.turn();
    }
    EXPECT_EQ(rig.client.read(), "");
    first->write(served("one"));
    ASSERT_TRUE(rig.until([&] {
        given += second->write_some(std::string_view(text).substr(given));
        rig.client.read();
        return given == text.size() && rig.client.has("+PONG\r\n");
    }));
    EXPECT_EQ(rig.client.got, bulk("one") + bulk(value) + "+PONG\r\n");
}

// ---- Bodies ---------------------------------------------------------------------------------------------

TEST(LongBody, ComesWholeToTheEndpointAndAgainToTheNext) {
    LongRig rig;
    Listener other;
    rig.gateway.listed(EndpointListKind::kChanges, {listed("x", other.address())});
    const std::string body = pattern(1 << 20), text = call("hold", 3000, body);
    // A byte at a time at first, and then at once.
    for (std::size_t i = 0; i < 150; ++i) ASSERT_TRUE(rig.write_all(rig.client, text.substr(i, 1)));
    EXPECT_FALSE(rig.endpoint.accept() || other.accept()) << "not taken before it is whole";
    ASSERT_TRUE(rig.write_all(rig.client, text.substr(150)));
    std::unique_ptr<SocketPeer> first, second;
    ASSERT_TRUE(rig.until([&] { return (first = rig.endpoint.accept()) || (second = other.accept()); }));
    SocketPeer& busy = first ? *first : *second;
    const auto whole = [&](SocketPeer& peer) { return peer.has(body + "\r\n"); };
    ASSERT_TRUE(rig.until([&] { return busy.read().size() > body.size() && whole(busy); }));
    busy.write("-BUSY\r\n");
    std::unique_ptr<SocketPeer> good;
    ASSERT_TRUE(
        rig.until([&] { return (good = first ? other.accept() : rig.endpoint.accept()) != nullptr; }));
    ASSERT_TRUE(rig.until([&] { return good->read().size() > body.size() && whole(*good); }));
    EXPECT_EQ(good->got.find("*5\r\n$4\r\nQ.DO\r\n"), 0u);
    EXPECT_EQ(rig.pool.tries(), 2u);
    good->write(served("v"));
    EXPECT_TRUE(rig.gets(rig.client, bulk("v")));
}

TEST(LongBody, WithoutRoomIsSkippedAndRejectedAndTheRoomComesBack) {
    LongRig rig;  // its gateway has room for 4 MiB
    const std::string body = pattern(3 << 20);
    const std::string text = call("hold", 3000, body);
    SocketPeer other = rig.Rig::client();
    ASSERT_TRUE(rig.write_all(rig.client, text.substr(0, 1000)));
    rig.loop.turn();
    ASSERT_TRUE(rig.write_all(other, call("hold", 3000, body) + "*1\r\n$4\r\nPING\r\n"));
    EXPECT_TRUE(rig.gets(other, "-BUSY\r\n+PONG\r\n"));
    EXPECT_EQ(rig.gateway.counts().classes[2].rejected, 1u);
    // The one that has the room stops half way: it is told so, and others have room again.
    EXPECT_TRUE(rig.until([&] { return rig.client.has("-ERR command is not whole\r\n"); }));
    ASSERT_TRUE(rig.write_all(other, text));
    auto peer = rig.accepted(rig.endpoint);
    EXPECT_TRUE(rig.until([&] { return peer->read().size() > body.size(); }));
    EXPECT_EQ(rig.gateway.open_calls(), 1u);
}

TEST(LongBody, ThatComesAByteNowAndThenDoesNotKeepItsRoom) {
    LongRig rig;
    net::DownstreamServer acceptor(rig.loop, rig.gateway, site().settings, {8, 1 << 20, 500ms});
    sockaddr_storage any{};
    net::read_address("127.0.0.1:0", any);
    ASSERT_EQ(acceptor.listen(any), 0);
    SocketPeer drip = connect_to(static_cast<std::uint16_t>(acceptor.port()));
    const std::string text = call("hold", 3000, pattern(3 << 20));
    std::size_t given = 0;
    EXPECT_TRUE(rig.until([&] {
        given += drip.write_some(text.substr(given, given < 100 ? 100 : 1));
        usleep(10'000);
        return drip.has("-ERR command is not whole\r\n");
    }));
    EXPECT_TRUE(rig.gateway.reserve(3 << 20));
    rig.gateway.give_back(3 << 20);
    acceptor.close();
    EXPECT_TRUE(rig.until([&] { return acceptor.empty(); }));
}

TEST(LongBody, OfACommandThatCannotBeReadIsSkippedBeforeItIsToldSo) {
    LongRig rig;
    std::string text = call("hold", 3000, pattern(100'000));
    text.replace(text.find("c=hold"), 6, "c=none");
    ASSERT_TRUE(rig.write_all(rig.client, text + "*1\r\n$4\r\nPING\r\n"));
    EXPECT_TRUE(rig.gets(rig.client, "-ERR unknown class\r\n+PONG\r\n"));
}

// One partly written is ended where its endpoint drains, as one that never ran, and goes to another.
TEST(LongBody, NotWrittenWholeGoesElsewhereWhenItsEndpointDrains) {
    LongRig rig;
    rig.endpoint.shrink_receive_buffers();
    const std::string body = pattern(resp::kMaxLong - 100'000);
    ASSERT_TRUE(rig.write_all(rig.client, call("hold", 3000, body)));
    auto peer = rig.accepted(rig.endpoint);
    for (int i = 0; i < 100; ++i) rig.loop.turn();
    ASSERT_EQ(rig.pool.tries(), 0u) << "the kernel has taken all of it";
    Listener other;
    rig.gateway.listed(EndpointListKind::kChanges, {listed("x", other.address())});
    rig.gateway.listed(EndpointListKind::kChanges,
                       {listed("w", rig.endpoint.address(), policy::EndpointState::kDraining)});
    auto good = rig.accepted(other);
    ASSERT_TRUE(rig.until([&] { return good->read().size() > body.size(); }));
    good->write(served("v"));
    EXPECT_TRUE(rig.gets(rig.client, bulk("v")));
}

}  // namespace
}  // namespace linnetlead
