// Client connections that give way at the limit, with answers or commands of theirs on the way.
#include "proxy/client_eviction.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <uv.h>

#include <set>

#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;
using std::chrono::steady_clock;

constexpr std::size_t kMaxClients = 8;
constexpr std::string_view kPartOfCommand = "*4\r\n$5\r\nQ.ASK\r\n$2000\r\n0000";

struct FullRig : Rig {
    explicit FullRig(proxy::Duration stall = 15s) : Rig(site(), kMaxClients, stall) {
        gateway.listed(EndpointListKind::kComplete, {listed("w", endpoint.address())});
    }
    // Clients that go on writing a command, in as many places as are left.
    void fill_with_slow_writers() {
        while (acceptor.connections() < kMaxClients) {
            const std::size_t before = acceptor.connections();
            slow_writers.push_back(client());
            slow_writers.back().write(kPartOfCommand);
            ASSERT_TRUE(until([&] { return acceptor.connections() > before; }));
        }
        write_on();
    }
    void write_on() {
        for (SocketPeer& one : slow_writers) one.write_some("0");
        settle();
        for (SocketPeer& one : slow_writers) one.write_some("0");
        settle();
    }
    void settle() {
        for (int i = 0; i < 20; ++i) {
            loop.turn();
            usleep(500);
        }
    }
    // What the kernel does not take stays with the gateway.
    void shrink_kernel_buffers() {
        uv_os_fd_t fd = -1;
        const int bytes = 4096;
        ASSERT_EQ(uv_fileno(reinterpret_cast<uv_handle_t*>(acceptor.listening()), &fd), 0);
        ASSERT_EQ(setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes)), 0);
        ASSERT_EQ(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)), 0);
    }
    SocketPeer client_with_small_buffer() {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int bytes = 4096;
        sockaddr_storage address{};
        net::read_address("127.0.0.1:" + std::to_string(acceptor.port()), address);
        EXPECT_EQ(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)), 0);
        EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(sockaddr_in)), 0);
        fcntl(fd, F_SETFL, O_NONBLOCK);
        return SocketPeer(fd);
    }
    std::uint64_t cut_answers() const { return gateway.events().count(proxy::Event::kClientAnswerCut); }

    Listener endpoint;
    std::vector<SocketPeer> slow_writers;
};

// ---- The order -------------------------------------------------------------------------------------------

TEST(EvictionRank, IsNoneForAClientThatWaitsForAnAnswerAlsoWhileItsConnectionCloses) {
    proxy::ClientActivity client;
    client.is_waiting_for_answers = true;
    EXPECT_FALSE(proxy::eviction_rank(client, 100s));
    client.is_closing = true;
    EXPECT_FALSE(proxy::eviction_rank(client, 100s));
}

TEST(EvictionRank, GoesFromThoseThatLoseNothingToThoseThatWriteSlowly) {
    proxy::ClientActivity silent, abandoned, idle, receiving;
    silent.last_used = idle.last_used = 90s;
    idle.has_asked = true;
    abandoned.is_receiving = receiving.is_receiving = true;
    abandoned.reads_of_command = 1;
    abandoned.last_bytes = 10s;
    receiving.reads_of_command = 2;
    receiving.last_bytes = 10s;
    const proxy::ClientActivity* const order[] = {&silent, &abandoned, &idle, &receiving};
    for (std::size_t i = 1; i < std::size(order); ++i)
        EXPECT_TRUE(*proxy::eviction_rank(*order[i - 1], 100s) < *proxy::eviction_rank(*order[i], 100s)) << i;
    proxy::ClientActivity older = idle;
    older.last_used = 80s;
    EXPECT_TRUE(*proxy::eviction_rank(older, 100s) < *proxy::eviction_rank(idle, 100s));
}

// ---- A server at its limit -------------------------------------------------------------------------------

TEST(ClientEviction, InTheLoopTurnOfAnAnswerDoesNotCutIt) {
    FullRig rig;
    SocketPeer asking = rig.client();
    asking.write(call("hold"));
    auto peer = rig.accepted(rig.endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=hold"); }));
    rig.fill_with_slow_writers();
    peer->write(served("v"));
    SocketPeer next = rig.client();
    EXPECT_TRUE(rig.until([&] { return asking.read() == "$1\r\nv\r\n" || asking.ended; }));
    EXPECT_EQ(asking.got, "$1\r\nv\r\n");
    EXPECT_EQ(rig.cut_answers(), 0u);
}

TEST(ClientEviction, OfASlowReaderDoesNotCutItsAnswer) {
    FullRig rig;
    rig.shrink_kernel_buffers();
    const std::string value(60'000, 'v');
    SocketPeer reader = rig.client_with_small_buffer();
    reader.write(call("hold"));
    auto peer = rig.accepted(rig.endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=hold"); }));
    peer->write(served(value));
    ASSERT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0; }));
    rig.fill_with_slow_writers();
    ASSERT_GT(rig.acceptor.pending_bytes(), 0u);
    for (std::size_t i = 0; i < kMaxClients; ++i) {
        SocketPeer next = rig.client();
        rig.write_on();
    }
    std::string expected;
    resp::write_bulk(expected, value);
    EXPECT_TRUE(rig.until([&] { return reader.read().size() >= expected.size() || reader.ended; }));
    EXPECT_TRUE(reader.got == expected) << reader.got.size();
    EXPECT_EQ(rig.cut_answers(), 0u);
}

TEST(ClientEviction, OfASlowReaderWhoseConnectionIsClosingDoesNotCutItsAnswer) {
    FullRig rig;
    rig.shrink_kernel_buffers();
    const std::string value(60'000, 'v');
    SocketPeer reader = rig.client_with_small_buffer();
    reader.write(call("hold"));
    auto peer = rig.accepted(rig.endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=hold"); }));
    peer->write(served(value));
    ASSERT_TRUE(rig.until([&] { return rig.gateway.open_calls() == 0; }));
    ASSERT_GT(rig.acceptor.pending_bytes(), 0u);
    reader.write("nonsense\r\n");
    const auto end = steady_clock::now() + 2500ms;
    rig.until([&] { return steady_clock::now() > end; });
    std::string expected;
    resp::write_bulk(expected, value);
    EXPECT_TRUE(rig.until([&] { return reader.read().size() >= expected.size() || reader.ended; }));
    EXPECT_EQ(reader.got.substr(0, expected.size()), expected);
    EXPECT_EQ(rig.cut_answers(), 0u);
}

TEST(ClientEviction, AReaderThatTakesNothingOfAShortAnswerMeetsALimit) {
    FullRig rig(200ms);
    rig.shrink_kernel_buffers();
    SocketPeer reader = rig.client_with_small_buffer();
    reader.write(call("hold"));
    auto peer = rig.accepted(rig.endpoint);
    ASSERT_TRUE(rig.until([&] { return peer->has("c=hold"); }));
    peer->write(served(std::string(60'000, 'v')));
    EXPECT_TRUE(rig.until([&] { return rig.acceptor.empty(); }));
    EXPECT_EQ(rig.gateway.events().count(proxy::Event::kClientStalled), 1u);
    EXPECT_EQ(rig.acceptor.pending_bytes(), 0u);
}

TEST(ClientEviction, OfASlowWriterDoesNotLoseACommandWhoseLastBytesAreUnread) {
    FullRig rig;
    const std::string command = call("hold");
    SocketPeer writer = rig.client();
    writer.write(std::string_view(command).substr(0, 20));
    rig.settle();
    rig.fill_with_slow_writers();  // their last bytes are newer, so that the first one gives way
    SocketPeer next = rig.client();
    writer.write(std::string_view(command).substr(20));
    std::unique_ptr<SocketPeer> peer;
    EXPECT_TRUE(rig.until([&] { return peer || (peer = rig.endpoint.accept()) || writer.is_over(); }));
    ASSERT_FALSE(writer.ended);
    rig.answer_hold(*peer, served("v"));
    EXPECT_TRUE(rig.until([&] { return writer.has("$1\r\nv\r\n"); }));
}

// ---- A real process --------------------------------------------------------------------------------------

constexpr std::size_t kSlowWriters = 60, kAskingClients = 8;

// Endpoints that serve each command at once, with its id as the value.
class PromptEndpoint {
public:
    std::string address() const { return listener_.address(); }
    void step() {
        while (auto peer = listener_.accept()) peers_.push_back(std::move(peer));
        for (auto& peer : peers_) {
            resp::Message message;
            while (resp::parse(peer->read(), message) == resp::Parsed::kWhole) {
                const std::string id = message.items.size() > 2 ? std::string(message.items[2].text) : "";
                peer->got.erase(0, message.size);
                if (id.empty()) continue;  // a probe
                answered.insert(id);
                peer->write_some(served(id));
            }
        }
    }
    std::set<std::string> answered;

private:
    Listener listener_{128};
    std::vector<std::unique_ptr<SocketPeer>> peers_;
};

// Asks again as soon as it has its answer, on the connection that it has.
class AskingClient {
public:
    explicit AskingClient(std::uint16_t port) : port_(port), peer_(connect_to(port)) { ask(); }
    void step(const std::set<std::string>& answered) {
        std::string expected;
        resp::write_bulk(expected, id_);
        const std::string& got = peer_.read();
        const bool has_answer = got == expected || (got.substr(0, 1) == "-" && got.back() == '\n');
        if (!has_answer && !peer_.ended) return;
        has_answer ? ++answers : lost += answered.count(id_);
        if (peer_.ended) peer_ = connect_to(port_);
        peer_.got.clear();
        ask();
    }
    std::size_t answers = 0, lost = 0;

private:
    void ask() {
        const std::string command = call("read", 3000);
        resp::Message message;
        resp::parse(command, message);
        id_ = message.items[2].text;
        peer_.write_some(command);
    }
    std::uint16_t port_;
    SocketPeer peer_;
    std::string id_;
};

TEST(ClientEvictionProcess, BesideACrowdOfSlowWritersEachAnswerThatWasMadeArrives) {
    Listener discovery, counter;
    PromptEndpoint endpoint;
    std::string config = config_of(discovery, counter, endpoint.address());
    config.insert(1, R"("limits":{"memory_mb":32,"sockets":120},)");
    Program program(config);
    const std::uint16_t port = program.listening();
    std::vector<SocketPeer> writers;
    for (std::size_t i = 0; i < kSlowWriters; ++i) writers.push_back(connect_to(port));
    std::vector<std::unique_ptr<AskingClient>> clients;
    for (std::size_t i = 0; i < kAskingClients; ++i) clients.push_back(std::make_unique<AskingClient>(port));
    const auto end = steady_clock::now() + 4s;
    for (std::size_t turn = 0; steady_clock::now() < end; ++turn) {
        SocketPeer& writer = writers[turn % kSlowWriters];
        if (writer.is_over() || turn % 7 == 0) {
            writer = connect_to(port);
            writer.write_some(kPartOfCommand);
        } else {
            writer.write_some("0");
        }
        endpoint.step();
        for (auto& client : clients) client->step(endpoint.answered);
        program.errors_so_far();
    }
    std::size_t answers = 0, lost = 0;
    for (auto& client : clients) answers += client->answers, lost += client->lost;
    EXPECT_GT(answers, 100u);
    EXPECT_EQ(lost, 0u) << "of " << answers;
}

}  // namespace
}  // namespace linnetlead
