// Hundreds of slow clients before a gateway process with the least memory and the most descriptors that the
// pages name.
#include <fcntl.h>
#include <sys/resource.h>

#include <cstdio>
#include <deque>
#include <limits>
#include <ostream>

#include "config/setting_words.h"
#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;
using std::chrono::steady_clock;

constexpr int kMemoryMb = 32;
constexpr int kSockets = 1024;
constexpr std::size_t kClients = 450;
constexpr std::size_t kEndpoints = 60;
#ifdef __SANITIZE_ADDRESS__
constexpr long kMemoryKib =
    std::numeric_limits<long>::max();         // the sanitizer's own share is several times the limit
const std::vector<std::string> kEnvironment;  // its runtime has to be loaded first
#else
constexpr long kMemoryKib = kMemoryMb * 1024L;
const std::vector<std::string> kEnvironment{"LD_PRELOAD=" LINNETLEAD_SMALL_SEND_BUFFERS};
#endif

// Serves each command with a value as long as its body says.
class SizedEndpoint {
public:
    std::string address() const { return listener_.address(); }
    void step() {
        while (auto peer = listener_.accept()) conversations_.push_back({std::move(peer), {}});
        for (Conversation& one : conversations_) {
            resp::Message message;
            while (resp::parse(one.peer->read(), message) == resp::Parsed::kWhole) {
                constexpr std::size_t kBody = 4;
                if (message.items.size() > kBody) one.left += served(value_of(message.items[kBody].text));
                one.peer->got.erase(0, message.size);
            }
            one.left.erase(0, one.peer->write_some(one.left));
        }
    }

private:
    struct Conversation {
        std::unique_ptr<SocketPeer> peer;
        std::string left;  // of replies
    };
    static std::string value_of(std::string_view body) {
        return std::string(config::parse<std::size_t>(body.substr(0, body.find(' '))).value_or(0), 'v');
    }
    Listener listener_{256};
    std::vector<Conversation> conversations_;
};

struct LittleMemorySite {
    LittleMemorySite() {
        rlimit files{};
        getrlimit(RLIMIT_NOFILE, &files);
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
        program = std::make_unique<test_support::Process>(LINNETLEAD_PROGRAM, config(),
                                                          std::vector<std::string>{}, kEnvironment);
        program->listening();
    }
    std::string config() const {
        std::string servers;
        for (std::size_t i = 0; i < kEndpoints; ++i) {
            servers += (i == 0 ? "" : ",") + (R"({"id":"w)" + std::to_string(i)) + R"(","addr":")" +
                       endpoints[i].address() + "\"}";
        }
        return R"({"listen":"127.0.0.1:0","discovery":")" + discovery.address() + R"(","counter":")" +
               counter.address() + R"(","limits":{"memory_mb":)" + std::to_string(kMemoryMb) +
               R"(,"sockets":)" + std::to_string(kSockets) +
               R"(},"known":{"version":1,"full":true,"servers":[)" + servers +
               R"(]},"settings":{"classes":[{"name":"read","idempotency":"retryable","aim":60000000000,
               "deadline":60000000000}],"tariffs":[{"name":"team","units_per_s":100000,"most_at_once":100000}],
               "limits":{"connect_timeout":250000000,"conn_idle":30000000000,"max_attempts":3}}})";
    }
    // With little room in its own kernel, too.
    SocketPeer client() const {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        constexpr int kBytes = 4096;
        sockaddr_storage address{};
        net::read_address("127.0.0.1:" + std::to_string(program->port), address);
        EXPECT_EQ(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kBytes, sizeof(kBytes)), 0);
        EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(sockaddr_in)), 0);
        fcntl(fd, F_SETFL, O_NONBLOCK);
        return SocketPeer(fd);
    }
    void step_for(std::chrono::milliseconds time) {
        const auto end = steady_clock::now() + time;
        do {
            for (SizedEndpoint& one : endpoints) one.step();
            program->errors_so_far();
            peak_kib = std::max(peak_kib, program->resident_kib());
            usleep(500);
        } while (steady_clock::now() < end);
    }
    // So many clients, one after the other; each writes its text and stays.
    void fill(const std::vector<std::string>& texts) {
        for (std::size_t i = 0; i < kClients; ++i) {
            const std::string& text = texts[i % texts.size()];
            clients.push_back(client());
            std::size_t written = clients.back().write_some(text);
            for (int tries = 0; written < text.size() && tries < 20 && !clients.back().is_over(); ++tries) {
                step_for(1ms);
                written += clients.back().write_some(std::string_view(text).substr(written));
            }
            step_for(1ms);
        }
        step_for(1s);
    }
    bool serves() {
        SocketPeer one = connect_to(program->port);
        one.write("*1\r\n$4\r\nPING\r\n");
        return wait_for([&] { return one.has("+PONG\r\n"); });
    }

    Listener discovery, counter;
    std::deque<SizedEndpoint> endpoints{kEndpoints};
    std::unique_ptr<test_support::Process> program;
    std::vector<SocketPeer> clients;
    long peak_kib = 0;
};

std::string calls(std::size_t count, std::size_t value_bytes) {
    std::string text;
    for (std::size_t i = 0; i < count; ++i) text += call("read", 60'000, std::to_string(value_bytes) + " ");
    return text;
}

std::string half_body() { return call("read", 60'000, std::string(3 << 20, 'x')).substr(0, 60'000); }

std::string many_fields() {
    std::string text = "*64\r\n";
    for (int i = 0; i < 63; ++i) resp::write_bulk(text, std::string(100, 'x'));
    return text;
}

struct Crowd {
    const char* name;
    std::vector<std::string> (*texts)();
};
std::ostream& operator<<(std::ostream& out, const Crowd& crowd) { return out << crowd.name; }

class CrowdMemory : public testing::TestWithParam<Crowd> {};

TEST_P(CrowdMemory, OfHundredsOfSlowClientsStaysWithinTheLeastLimit) {
    LittleMemorySite site;
    site.fill(GetParam().texts());
    EXPECT_LT(site.peak_kib, kMemoryKib);
    EXPECT_TRUE(site.serves());
    std::printf("peak %ld KiB\n", site.peak_kib);
}
INSTANTIATE_TEST_SUITE_P(
    Crowds, CrowdMemory,
    testing::Values(Crowd{"WholeValues", [] { return std::vector{calls(1, resp::kMaxBulk)}; }},
                    Crowd{"TwoWholeValues", [] { return std::vector{calls(2, resp::kMaxBulk)}; }},
                    Crowd{"PipelinedValues", [] { return std::vector{calls(20, 60'000)}; }},
                    Crowd{"LongValues", [] { return std::vector{calls(1, 300'000)}; }},
                    Crowd{"LongValuesWithCommandsBehind",
                          [] { return std::vector{calls(1, 300'000) + calls(3, 100)}; }},
                    Crowd{"PipelinedLongValues", [] { return std::vector{calls(4, 300'000)}; }},
                    Crowd{"HalfBodies", [] { return std::vector{half_body()}; }},
                    Crowd{"ManyFields", [] { return std::vector{many_fields()}; }},
                    Crowd{"AllKinds",
                          [] {
                              return std::vector{
                                  calls(1, resp::kMaxBulk), half_body(),       many_fields(),
                                  calls(20, 60'000),        calls(1, 300'000), calls(4, 300'000)};
                          }}),
    [](const auto& crowd) { return crowd.param.name; });

}  // namespace
}  // namespace linnetlead
