// An endpoint list that exceeds the size limit of the gateway.
#include "net/http/http_message.h"
#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;

// Guards against a gateway that keeps an old list without a message and so misses drains.
TEST(LongList, AnswerOverTheSizeLimitIsReported) {
    Listener endpoint, discovery;
    Program program(config_of(discovery, discovery, endpoint.address()));
    program.listening();
    const std::string body =
        R"({"version":2,"full":true,"servers":[],"filler":")" + std::string(http::kMaxBody, 'x') + "\"}";
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::unique_ptr<SocketPeer> peer;
    std::string_view left;
    std::string log;
    EXPECT_TRUE(wait_for([&] {
        if (!peer || peer->is_over()) {
            peer = discovery.accept();
            left = {};
        }
        if (peer && peer->has("GET /api/targets")) {
            peer->got.clear();
            left = answer;
        }
        if (peer && !left.empty()) left.remove_prefix(peer->write_some(left));
        log += program.errors_so_far();
        return log.find("its answer is over 4194304 bytes") != std::string::npos;
    })) << log;
}

}  // namespace
}  // namespace linnetlead
