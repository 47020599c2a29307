// Tables of cases for the parsers: RESP2, commands, replies, HTTP, endpoint lists, the configuration. Also
// the outcome of an attempt and the timing wheel.
#include <gtest/gtest.h>

#include "net/http/http_message.h"
#include "net/timing_wheel.h"
#include "proxy/attempt_result.h"
#include "proxy/resp/command.h"
#include "server/config.h"

namespace linnetlead {
namespace {

using policy::Outcome;
using resp::Parsed;
using namespace std::chrono_literals;

TEST(Resp, ParsesMessageAtStartOfBuffer) {
    const std::string big(resp::kMaxBulk + 1, 'x');
    const struct {
        std::string in;
        Parsed parsed;
        std::size_t size, items;
    } cases[] = {
        {"+PONG\r\n", Parsed::kWhole, 7, 1},
        {"-BUSY\r\nrest", Parsed::kWhole, 7, 1},
        {"$3\r\na\r\n\r\n", Parsed::kWhole, 9, 1},
        {"$-1\r\n", Parsed::kWhole, 5, 1},
        {"*3\r\n$1\r\nv\r\n$-1\r\n:4\r\n", Parsed::kWhole, 20, 3},
        {"*0\r\n", Parsed::kWhole, 4, 0},
        {"", Parsed::kPartial, 0, 0},
        {"*2\r\n$1\r\na\r\n", Parsed::kPartial, 0, 0},
        {"$5\r\nab", Parsed::kPartial, 0, 0},
        {"+no end", Parsed::kPartial, 0, 0},
        {"$2\r\nabc\r\n", Parsed::kMalformed, 0, 0},
        {"$x\r\n", Parsed::kMalformed, 0, 0},
        {"$-2\r\n", Parsed::kMalformed, 0, 0},
        {"*1\r\n*1\r\n", Parsed::kMalformed, 0, 0},
        {"*1000\r\n", Parsed::kMalformed, 0, 0},
        {"PING\r\n", Parsed::kMalformed, 0, 0},
        {"+bare\n", Parsed::kMalformed, 0, 0},
        {"\n", Parsed::kMalformed, 0, 0},
        {"\xb6 noise without an end", Parsed::kMalformed, 0, 0},
        {"*3\r\nx", Parsed::kMalformed, 0, 0},
        {std::string(resp::kMaxLine + 1, '+'), Parsed::kMalformed, 0, 0},
        {"$" + std::to_string(big.size()) + "\r\n" + big + "\r\n", Parsed::kLongBulk, 0, 0},
        {"*3\r\n$4194304\r\n", Parsed::kLongBulk, 0, 0},
        {"$4194305\r\n", Parsed::kMalformed, 0, 0},
        {"$3221225472\r\n", Parsed::kMalformed, 0, 0},
        // Each value is within its bound, but together they exceed kMaxMessage.
        {"*2\r\n$65536\r\n" + big.substr(1) + "\r\n$65536\r\n", Parsed::kMalformed, 0, 0},
    };
    for (const auto& c : cases) {
        resp::Message message;
        EXPECT_EQ(resp::parse(c.in, message), c.parsed) << c.in.substr(0, 30);
        if (c.parsed != Parsed::kWhole) continue;
        EXPECT_EQ(message.size, c.size) << c.in;
        EXPECT_EQ(message.items.size(), c.items) << c.in;
        for (std::size_t cut = 0; cut < c.size; ++cut) {
            EXPECT_EQ(resp::parse(c.in.substr(0, cut), message), Parsed::kPartial)
                << c.in << " cut at " << cut;
        }
    }
}

policy::Settings three_classes() {
    policy::Settings s;
    s.classes.resize(3);
    s.classes[2].name = "create";
    s.classes[2].idempotency = policy::Idempotency::kKeyed;
    s.classes[0].name = "read";
    s.classes[0].idempotency = policy::Idempotency::kIdempotent;
    s.classes[1].name = "hold";
    s.plans.resize(1);
    s.plans[0].name = "team";
    s.max_units = 4;
    s.gateways = 3;
    return s;
}

std::string command(const std::vector<std::string>& words) {
    std::string out;
    resp::write_array(out, words.size());
    for (const auto& word : words) resp::write_bulk(out, word);
    return out;
}

TEST(Resp, ParsesRequestsAndForwardsThemWithTheGatewaysWait) {
    const std::string tenant = "00000000b4d65521", id = "9b1f03aa5c7e2d41";
    const struct {
        std::vector<std::string> words;
        const char* error;
        std::vector<std::string> sent_on;
    } cases[] = {
        {{"Q.ASK", tenant, id, "c=read,t=team,d=480,units=2,spread=3,first=1"},
         nullptr,
         {"Q.ASK", tenant, id, "c=read,t=team,d=77,units=2,spread=3,first=1"}},
        {{"Q.DO", tenant, id, "d=9,c=hold,t=team,k=5c,units=2,new=x", "BODY"},
         nullptr,
         {"Q.DO", tenant, id, "d=77,c=hold,t=team,k=5c,units=2,new=x", "BODY"}},
        {{"Q.DO", tenant, id}, "wrong number of arguments", {}},
        {{"Q.DO", "b4d65521", id, "c=hold,t=team,d=9"}, "customer is not 16 hex digits below 2^33", {}},
        {{"Q.DO", "0000000200000000", id, "c=hold,t=team,d=9"},
         "customer is not 16 hex digits below 2^33",
         {}},
        {{"Q.DO", tenant, id, "c=create,t=team,d=9"}, "no key", {}},
        {{"Q.DO", tenant, "no id, no hex ..", "c=hold,t=team,d=9"}, "id is not 16 hex digits", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team"}, "bad d", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=-1"}, "bad d", {}},
        {{"Q.DO", tenant, id, "c=none,t=team,d=9"}, "unknown class", {}},
        {{"Q.DO", tenant, id, "c=hold,t=none,d=9"}, "unknown plan", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=9,units=nan"}, "bad number", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=9,spread=0"}, "bad number", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=9,spread=4"}, "bad number", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=9,spread=2.5"}, "bad number", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=9,first=3"}, "bad number", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=9,first=99999999999999999999"}, "bad number", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=9,units=0"}, "bad number", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=9,units=1e12"}, "bad number", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=9,units=-40"}, "bad number", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=0"}, "bad d", {}},
        {{"Q.DO", tenant, id, "c=hold,t=team,d=99999999999999999999"}, "bad d", {}},
        {{"Q.DO", tenant, id, "c=create,t=team,d=9,k=5c"}, "no key", {}},
        {{"Q.DO", tenant, id, "c=hold,,d=9"}, "malformed names and values", {}},
        {{"Q.ASK", tenant, id, "c=hold,t=team,d=9"}, "class does not go with this command", {}},
    };
    const resp::Names names(three_classes());
    for (const auto& c : cases) {
        resp::Message message;
        const std::string in = command(c.words);
        ASSERT_EQ(resp::parse(in, message), Parsed::kWhole);
        proxy::DownstreamRequest request;
        const char* error = resp::read_request(message, names, 100s, request);
        EXPECT_STREQ(error, c.error);
        if (error || c.error) continue;
        std::string out;
        resp::write_request(out, request.payload, 76500us);
        EXPECT_EQ(out, command(c.sent_on));
        EXPECT_GT(request.request.due, 100s);
        EXPECT_LT(request.request.due,
                  100s + 480ms);  // less than the client's wait, since the answer needs time to arrive
    }
}

TEST(Resp, ClassifiesEndpointReplies) {
    const struct {
        std::string in;
        proxy::Ending ending;
        std::string value;
        double units;
        double in_flight;
    } cases[] = {
        {"*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=4\r\n$18\r\ninflight=7,queue=2\r\n", proxy::Ending::kServed,
         "v", 4, 7},
        {"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", proxy::Ending::kServed, "", 0, -1},
        {"-BUSY\r\n", proxy::Ending::kTurnedAway, "", 0, -1},
        {"-BUSY 20\r\n", proxy::Ending::kTurnedAway, "", 0, -1},
        {"-ERR failed\r\n", proxy::Ending::kError, "", 0, -1},
        {"*3\r\n$-1\r\n$-1\r\n$-1\r\n", proxy::Ending::kBroken, "", 0, -1},
        {"+OK\r\n", proxy::Ending::kBroken, "", 0, -1},
        {"*0\r\n", proxy::Ending::kBroken, "", 0, -1},
        {":5\r\n", proxy::Ending::kBroken, "", 0, -1},
        {"-BUSYBODY\r\n", proxy::Ending::kBroken, "", 0, -1},
        {"-ERR bad request\r\n", proxy::Ending::kError, "", 0, -1},
        {"*2\r\n$1\r\nv\r\n$-1\r\n", proxy::Ending::kBroken, "", 0, -1},
        {"*3\r\n:1\r\n$-1\r\n$-1\r\n", proxy::Ending::kBroken, "", 0, -1},
        // Unreadable fields beside the value are ignored.
        {"*3\r\n$1\r\nv\r\n$3\r\n%,=\r\n:7\r\n", proxy::Ending::kServed, "v", 0, -1},
        {"*3\r\n$1\r\nv\r\n$8\r\ncost=nan\r\n$10\r\ninflight=x\r\n", proxy::Ending::kServed, "v", 0, -1},
    };
    for (const auto& c : cases) {
        resp::Message message;
        ASSERT_EQ(resp::parse(c.in, message), Parsed::kWhole) << c.in;
        const proxy::AttemptEnd end = resp::read_reply(message);
        EXPECT_EQ(end.ending, c.ending) << c.in;
        EXPECT_EQ(end.value, c.value) << c.in;
        EXPECT_EQ(end.actual_units, c.units) << c.in;
        EXPECT_EQ(end.report.in_flight.value_or(-1), c.in_flight) << c.in;
    }
    for (const char* invalid :
         {"*1000000000\r\n", "*3\r\n*3\r\n", "*4\r\n", "*3\r\n$3000000000\r\nab", "*3\r\n:5\r\n"}) {
        resp::Message message;
        const bool malformed = resp::parse(invalid, message) == Parsed::kMalformed;
        EXPECT_TRUE(malformed || !resp::may_become_reply(message)) << invalid;
    }
}

TEST(Attempt, OutcomeDependsOnStageReached) {
    using proxy::Ending;
    using proxy::Stage;
    const struct {
        Ending ending;
        Outcome unconnected, partly_written, written, answering;
    } cases[] = {
        {Ending::kBroken, Outcome::kConnectFailed, Outcome::kConnectFailed, Outcome::kReset, Outcome::kReset},
        {Ending::kTimedOut, Outcome::kConnectFailed, Outcome::kConnectFailed, Outcome::kTimeout,
         Outcome::kTimeout},
        {Ending::kGivenUp, Outcome::kNotSent, Outcome::kNotSent, Outcome::kCancelled, Outcome::kCancelled},
    };
    for (const auto& c : cases) {
        const auto at = [&](Stage stage) { return proxy::outcome_of({stage, c.ending, {}, 0, {}}); };
        EXPECT_EQ(at(Stage::kUnconnected), c.unconnected);
        EXPECT_EQ(at(Stage::kPartlyWritten), c.partly_written);
        EXPECT_EQ(at(Stage::kWritten), c.written);
        EXPECT_EQ(at(Stage::kAnswering), c.answering);
    }
}

TEST(Http, ParsesConsecutiveResponsesSplitAtAnyPosition) {
    const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[41]";
    const std::string chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n[42]\r\n0\r\n\r\n";
    const std::string both = length + chunks;
    for (std::size_t piece = 1; piece <= both.size(); ++piece) {
        http::ResponseReader reader;
        std::vector<std::string> bodies;
        for (std::size_t at = 0; at < both.size();) {
            std::size_t taken = 0;
            const auto state = reader.take(std::string_view(both).substr(at, piece), taken);
            ASSERT_NE(state, http::ResponseReader::State::kMalformed);
            if (state == http::ResponseReader::State::kWhole) bodies.push_back(reader.body());
            at += taken;
        }
        EXPECT_EQ(bodies, (std::vector<std::string>{"[41]", "[42]"})) << piece;
    }
    std::size_t taken = 0;
    EXPECT_EQ(http::ResponseReader().take("nonsense\r\n", taken), http::ResponseReader::State::kMalformed);
}

TEST(Http, ParsesEndpointLists) {
    const auto list = http::read_list(
        R"({"version":43,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.18:6379","zone":"a","kind":"m2",
        "cell":3,"state":"terminating","weight":1.5,"started_ms":7,"new":1},{"id":"s-2","state":"terminated"}]})");
    ASSERT_TRUE(list);
    EXPECT_EQ(list->version, 43);
    EXPECT_TRUE(list->full);
    ASSERT_EQ(list->entries.size(), 2u);
    EXPECT_EQ(list->entries[0].entry.id, "s-1");
    EXPECT_EQ(list->entries[0].address, "10.1.0.18:6379");
    EXPECT_EQ(list->entries[0].entry.state, policy::EndpointState::kDraining);
    EXPECT_EQ(list->entries[0].entry.started, 7ms);
    EXPECT_EQ(list->entries[1].entry.state, policy::EndpointState::kRemoved);
    for (const char* bad :
         {"", "[]", "{}", R"({"version":"x","servers":[]})", R"({"version":1,"servers":[{}]})",
          R"({"version":1,"servers":[{"id":7}]})", R"({"version":1,)"}) {
        EXPECT_FALSE(http::read_list(bad)) << bad;
    }
}

TEST(Config, ReadsNestedSettings) {
    const auto config = server::read_config(
        R"({"name":"n3","seed":"1f","limits":{"memory_mb":64},"settings":{"balancers":3,"me":2,
        "classes":[{"name":"a b","aim":1000000,"idempotency":"dedup"},{"name":"c","late_worth":0.5}],
        "limits":{"max_attempts":6,"cancel":true},"report":{"fields":["concurrent","depth"]}}})");
    EXPECT_EQ(config.seed, 0x1fu);
    EXPECT_EQ(config.memory_mb, 64u);
    EXPECT_EQ(config.known.version, -1);
    const auto& s = config.site.settings;
    EXPECT_EQ(s.gateways, 3);
    EXPECT_EQ(s.self, 2);
    ASSERT_EQ(s.classes.size(), 2u);
    EXPECT_EQ(s.classes[0].name, "a_b");
    EXPECT_EQ(s.classes[0].latency_objective, 1ms);
    EXPECT_EQ(s.classes[0].idempotency, policy::Idempotency::kKeyed);
    EXPECT_EQ(s.classes[1].late_priority_weight, 0.5);
    EXPECT_EQ(s.max_attempts, 6);
    EXPECT_TRUE(s.may_cancel);
    EXPECT_EQ(config.site.report_fields, (std::vector<std::string>{"concurrent", "depth"}));
    for (const char* bad : {"", "[]", "{}", R"({"seed":"x","settings":{}})", R"({"known":3,"settings":{}})",
                            R"({"settings":{"me":"x"}})", R"({"limits":{"sockets":"x"},"settings":{}})"}) {
        EXPECT_THROW(server::read_config(bad), std::runtime_error) << bad;
    }
}

TEST(TimingWheel, RunsTimersInTickOrderAndSkipsDisarmed) {
    net::TimingWheel wheel(1000);
    std::vector<int> ran;
    const auto note = [&ran](int n) { return [&ran, n] { ran.push_back(n); }; };
    wheel.arm(1020, note(3));
    wheel.arm(1010, note(2));
    wheel.arm(900, note(1));          // already past: runs at the next turn
    wheel.arm(1010 + 4096, note(5));  // one revolution later, in the same slot
    wheel.arm(1000 + 3 * 4096, note(6));
    const auto never = wheel.arm(1020, note(-1));
    wheel.arm(1015, [&] {
        wheel.disarm(never);
        wheel.arm(1016, note(4));
    });
    EXPECT_EQ(wheel.next(), 1001);
    wheel.turn(1001);
    EXPECT_EQ(wheel.next(), 1010);
    wheel.turn(1009);
    EXPECT_EQ(ran, (std::vector<int>{1}));
    wheel.turn(1030);
    EXPECT_EQ(ran, (std::vector<int>{1, 2, 4, 3}));
    wheel.turn(1000 + 3 * 4096 - 1);
    EXPECT_EQ(ran, (std::vector<int>{1, 2, 4, 3, 5}));
    wheel.turn(1000 + 4 * 4096);
    EXPECT_EQ(ran.back(), 6);
    EXPECT_FALSE(wheel.next());
    wheel.disarm(never);  // a stale handle has no effect
}

}  // namespace
}  // namespace linnetlead
