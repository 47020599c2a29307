// Many clients at once that write or read slowly, before a real gateway process with little memory.
#include <sys/resource.h>

#include <limits>
#include <string>

#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;

constexpr int kMemoryMb = 48;
#ifdef __SANITIZE_ADDRESS__
constexpr long kMemoryKib =
    std::numeric_limits<long>::max();  // the sanitizer's own share is several times the limit
#else
constexpr long kMemoryKib = kMemoryMb * 1024L;
#endif
constexpr std::size_t kSockets = 2048;
constexpr std::size_t kClients = 850;

struct CrowdedSite {
    CrowdedSite() {
        rlimit files{};
        getrlimit(RLIMIT_NOFILE, &files);
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
        std::string config = config_of(discovery, counter, endpoint.address());
        config.insert(1, R"("limits":{"memory_mb":)" + std::to_string(kMemoryMb) + R"(,"sockets":)" +
                             std::to_string(kSockets) + "},");
        program = std::make_unique<Program>(config);
        program->listening();
    }
    // The gateway's peak while so many clients write this and stay, in KiB.
    long peak_with(const std::string& text) {
        std::vector<SocketPeer> clients;
        long peak = 0;
        for (std::size_t i = 0; i < kClients; ++i) {
            clients.push_back(connect_to(program->port));
            std::size_t written = 0;
            wait_for([&] {
                written += clients.back().write_some(std::string_view(text).substr(written));
                return written == text.size() || clients.back().is_over();
            });
            if (i % 50 == 0) peak = std::max(peak, program->resident_kib());
        }
        for (int i = 0; i < 20; ++i) {
            usleep(50'000);
            peak = std::max(peak, program->resident_kib());
        }
        return peak;
    }
    bool serves() {
        SocketPeer client = connect_to(program->port);
        client.write("*1\r\n$4\r\nPING\r\n");
        return wait_for([&] { return client.has("+PONG\r\n"); });
    }

    Listener discovery, counter, endpoint;
    std::unique_ptr<Program> program;
};

std::string many_fields(std::size_t fields, std::size_t size) {
    std::string text = "*64\r\n";
    for (std::size_t i = 0; i < fields; ++i) resp::write_bulk(text, std::string(size, 'x'));
    return text;
}

class HalfCommand : public testing::TestWithParam<std::size_t> {};

TEST_P(HalfCommand, OfManyClientsAtOnceStaysWithinTheMemoryLimit) {
    constexpr std::size_t kFields = 63;
    CrowdedSite site;
    EXPECT_LT(site.peak_with(many_fields(kFields, GetParam())), kMemoryKib);
    EXPECT_TRUE(site.serves());
}
INSTANTIATE_TEST_SUITE_P(FieldBytes, HalfCommand, testing::Values(1, 100, 1000));

TEST(HalfBody, OfManyClientsAtOnceStaysWithinTheMemoryLimit) {
    CrowdedSite site;
    const std::string whole = call("read", 3000, std::string(3 << 20, 'x'));
    EXPECT_LT(site.peak_with(whole.substr(0, 60'000)), kMemoryKib);
    EXPECT_TRUE(site.serves());
}

}  // namespace
}  // namespace linnetlead
