// Real processes and a voter whose state cannot be read at the start: a loop of links in its place, which no
// right of this process opens.
#include <filesystem>
#include <functional>

#include "cluster/raft/raft_log_store.h"
#include "rig.h"

namespace linnetlead {
namespace {

using namespace tests;

struct Folder {
    Folder() : path(test_support::temporary_path("unreadable")) { std::filesystem::create_directory(path); }
    ~Folder() {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    // One that leads to itself: opening it fails, and not as for one that is not there.
    std::string loop(const std::string& name) const {
        const std::string at = path + '/' + name;
        std::filesystem::create_symlink(at, at);
        return at;
    }
    const std::string path;
};

// Guards against a voter that takes a log that it cannot read for none: it would begin with an empty one, and
// could vote again in a term in which it has voted.
TEST(UnreadableState, AVoterDoesNotStart) {
    Folder folder;
    const std::string log = folder.loop("log");
    const auto opened = raft::RaftLogStore::open({folder.path, 1});
    ASSERT_FALSE(opened);
    EXPECT_NE(opened.error().message.find(log), std::string::npos) << opened.error().message;
    EXPECT_TRUE(std::filesystem::is_symlink(log));
}

// Guards against a gateway that says nothing, and whose next save replaces what it could not read.
void expect_told(const std::string& settings, const std::string& state,
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
    const bool is_told = wait_for([&] {
        log += program.errors_so_far();
        return log.find("not restored") != std::string::npos;
    });
    EXPECT_TRUE(is_told) << log;
    EXPECT_NE(log.find(state + " cannot be opened"), std::string::npos) << log;
    sockaddr_storage to{};
    net::read_address(admin, to);
    const auto answer_to = [&to](const std::string& path) {
        SocketPeer caller = connect_to(ntohs(reinterpret_cast<const sockaddr_in&>(to).sin_port));
        caller.write("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_TRUE(wait_for([&] { return caller.is_over(); }));
        return caller.got;
    };
    EXPECT_NE(answer_to("/v1/accord").find("state_not_restored"), std::string::npos);
    EXPECT_NE(answer_to("/v1/metrics").find("edge_balancer.unusable_state_files=1\n"), std::string::npos);
    while_it_runs();
    unlink(file.c_str());
}

TEST(UnreadableState, AnAgreementTellsItAndKeepsItAside) {
    Folder folder;
    const std::string state = folder.loop("n0.accord");
    expect_told("accord(version = 1, snapshot = \"" + folder.path + "/{gateway}.accord\")\n", state, [&] {
        EXPECT_TRUE(wait_for([&] {
            return std::filesystem::is_regular_file(std::filesystem::symlink_status(state));
        })) << "it saves all the same";
        EXPECT_TRUE(std::filesystem::is_symlink(state + ".unusable.1"));
    });
}

TEST(UnreadableState, AFollowerOfRelaysTellsItAndTouchesNothingBeforeItHasSomethingToSave) {
    Folder folder;
    const std::string state = folder.loop("n0.state");
    expect_told(
        "distribution(relays = [\"127.0.0.1:1\"], snapshot = \"" + folder.path + "/{gateway}.state\")\n",
        state, [] {});
    EXPECT_TRUE(std::filesystem::is_symlink(state) || std::filesystem::is_symlink(state + ".unusable.1"));
}

}  // namespace
}  // namespace linnetlead
