// Tests that gateway processes and a voter handle unreadable state at the start. A symbolic link to itself
// takes the place of the file, which even a privileged process cannot open.
#include <filesystem>
#include <functional>

#include "cluster/raft/raft_log_store.h"
#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;

struct TemporaryDirectory {
    TemporaryDirectory() : path(test_support::temporary_path("unreadable")) {
        std::filesystem::create_directory(path);
    }
    ~TemporaryDirectory() {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    // Creates a symbolic link to itself. Opening it fails, with another error than for a missing file.
    std::string create_link_loop(const std::string& name) const {
        const std::string at = path + '/' + name;
        std::filesystem::create_symlink(at, at);
        return at;
    }
    const std::string path;
};

// Guards against a voter that treats an unreadable log as missing: it would start with an empty log and could
// vote twice in one term.
TEST(UnreadableState, AVoterDoesNotStart) {
    TemporaryDirectory directory;
    const std::string log = directory.create_link_loop("log");
    const auto opened = raft::RaftLogStore::open({directory.path, 1});
    ASSERT_FALSE(opened);
    EXPECT_NE(opened.error().message.find(log), std::string::npos) << opened.error().message;
    EXPECT_TRUE(std::filesystem::is_symlink(log));
}

// Starts a gateway with these settings and checks that it reports the unreadable state file in the log, on
// the admin endpoint and in the metrics. Guards against a gateway that ignores the file and overwrites it.
void expect_reported(const std::string& settings, const std::string& state,
                     const std::function<void()>& while_it_runs) {
    Listener endpoint, discovery;
    const std::string file = test_support::temporary_path("star");
    test_support::write_file(file, settings);
    std::string config = config_of(discovery, discovery, endpoint.address());
    const std::string admin = "127.0.0.1:" + std::to_string(test_support::free_port());
    config.insert(1, "\"name\":\"n0\",\"mgmt\":\"" + admin + "\",");
    Program program(config, {"--operators", file});
    program.listening();
    std::string log;
    const bool is_reported = wait_for([&] {
        log += program.errors_so_far();
        return log.find("not restored") != std::string::npos;
    });
    EXPECT_TRUE(is_reported) << log;
    EXPECT_NE(log.find(state + " cannot be opened"), std::string::npos) << log;
    sockaddr_storage to{};
    net::read_address(admin, to);
    const auto get = [&to](const std::string& path) {
        SocketPeer client = connect_to(ntohs(reinterpret_cast<const sockaddr_in&>(to).sin_port));
        client.write("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_TRUE(wait_for([&] { return client.is_over(); }));
        return client.got;
    };
    EXPECT_NE(get("/v1/accord").find("state_not_restored"), std::string::npos);
    EXPECT_NE(get("/v1/metrics").find("edge_balancer.unusable_state_files=1\n"), std::string::npos);
    while_it_runs();
    unlink(file.c_str());
}

TEST(UnreadableState, AnAgreementReportsItAndSetsItAside) {
    TemporaryDirectory directory;
    const std::string state = directory.create_link_loop("n0.accord");
    expect_reported("accord(version = 1, snapshot = \"" + directory.path + "/{gateway}.accord\")\n", state,
                    [&] {
                        EXPECT_TRUE(wait_for([&] {
                            return std::filesystem::is_regular_file(std::filesystem::symlink_status(state));
                        })) << "it saves nevertheless";
                        EXPECT_TRUE(std::filesystem::is_symlink(state + ".unusable.1"));
                    });
}

TEST(UnreadableState, AFollowerOfRelaysReportsItAndKeepsItUntilItHasStateToSave) {
    TemporaryDirectory directory;
    const std::string state = directory.create_link_loop("n0.state");
    expect_reported(
        "distribution(relays = [\"127.0.0.1:1\"], snapshot = \"" + directory.path + "/{gateway}.state\")\n",
        state, [] {});
    EXPECT_TRUE(std::filesystem::is_symlink(state) || std::filesystem::is_symlink(state + ".unusable.1"));
}

}  // namespace
}  // namespace linnetlead
