// The endpoint list in a hot restart: what one process of a gateway has been told, the other acts on.
#include "server/list_handover.h"

#include <gtest/gtest.h>
#include <sys/un.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <optional>
#include <ostream>

#include "discovery/endpoint_set.h"
#include "rig.h"
#include "server/hot_restart.h"

namespace linnetlead {
namespace {

using namespace tests;
using hot_restart::Kind;
using hot_restart::Message;
using policy::EndpointState;
using server::ListHandover;
using server::ListPosition;
using std::chrono::steady_clock;
using test_support::free_port;
using Taken = ListHandover::Taken;

// ---- One process, by itself -----------------------------------------------------------------------------

struct ListedPort : proxy::EndpointListPort {
    void listed(EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) override {
        if (kind != EndpointListKind::kChanges) states.clear();
        for (const DiscoveredEndpoint& one : entries) {
            if (one.entry.state == EndpointState::kRemoved) {
                states.erase(one.entry.id);
            } else {
                states[one.entry.id] = one.entry.state;
            }
        }
    }
    std::map<std::string, EndpointState> states;
};

struct OneProcess {
    explicit OneProcess(ListPosition start = {"registry", 3}) { lists.begin(std::move(start), {}); }
    // From its own registry.
    void hears(ListPosition position, EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) {
        reported = std::move(position);
        lists.listed(kind, entries);
    }
    // Hands all of its list over, by way of the wire.
    Taken hand_to(OneProcess& other) const {
        auto parts = lists.parts();
        Taken taken = Taken::kIgnored;
        while (const auto part = parts ? parts->next() : std::nullopt) taken = other.take(*part);
        return taken;
    }
    Taken take(const Message& message) {
        const std::string line = hot_restart::write(message);
        EXPECT_LE(line.size(), hot_restart::kMaxLine);
        longest_line = std::max(longest_line, line.size());
        const auto read = hot_restart::read(line.substr(0, line.size() - 1));
        return read ? lists.take(*read) : Taken::kMalformed;
    }

    ListedPort beyond;
    admin::MaintenanceOverrides overrides{beyond};
    std::optional<ListPosition> reported;
    ListHandover lists{overrides, [this] { return reported; }};
    std::size_t longest_line = 0;
};

DiscoveredEndpoint endpoint(const std::string& id, EndpointState state = EndpointState::kInService) {
    DiscoveredEndpoint one = listed(id, "127.0.0.1:1234", state);
    one.entry.zone = "z";
    one.entry.started = 1234ms;
    one.entry.weight = 0.5;
    one.entry.cell = 7;
    return one;
}

std::vector<DiscoveredEndpoint> many(std::size_t count) {
    std::vector<DiscoveredEndpoint> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back(endpoint("s-" + std::to_string(i),
                               i % 5 == 0 ? EndpointState::kDraining : EndpointState::kInService));
    }
    return all;
}

class HandedList : public testing::TestWithParam<std::size_t> {};

TEST_P(HandedList, OfAnySizeComesWhole) {
    OneProcess old, next;
    old.hears({"registry", 9}, EndpointListKind::kComplete, many(GetParam()));
    next.lists.listed(EndpointListKind::kCached, {endpoint("s-0"), endpoint("gone")});
    const auto begun = steady_clock::now();
    EXPECT_EQ(old.hand_to(next), Taken::kApplied);
    std::printf("%zu endpoints: %.0f ms\n", GetParam(),
                std::chrono::duration<double, std::milli>(steady_clock::now() - begun).count());
    EXPECT_EQ(next.beyond.states, old.beyond.states);
    for (const auto& id : old.overrides.listed_ids()) {
        EXPECT_TRUE(discovery::same(*old.overrides.find(id), *next.overrides.find(id))) << id;
    }
    EXPECT_EQ(next.overrides.known(), GetParam());
}
INSTANTIATE_TEST_SUITE_P(Sizes, HandedList, testing::Values(0, 1, 200, 3200, 160'000));

// Guards against: a second upgrade in the same outage starts with the list of the configuration.
TEST(HandedListOrder, IsHandedOnByAProcessThatHasItFromAnother) {
    OneProcess first, second, third;
    first.hears({"registry", 9}, EndpointListKind::kComplete, {endpoint("a", EndpointState::kDraining)});
    for (OneProcess* one : {&second, &third}) one->lists.listed(EndpointListKind::kCached, {endpoint("a")});
    EXPECT_EQ(first.hand_to(second), Taken::kApplied);
    EXPECT_EQ(second.hand_to(third), Taken::kApplied);
    EXPECT_EQ(third.beyond.states.at("a"), EndpointState::kDraining);
}

struct Claim {
    const char* what;
    std::optional<ListPosition> reported;  // by the own registry
    ListPosition handed;
    bool is_applied;
};
std::ostream& operator<<(std::ostream& out, const Claim& claim) { return out << claim.what; }
class NewsOfTheOther : public testing::TestWithParam<Claim> {};

// Guards against: old news replaces what this process's own registry has told it since.
TEST_P(NewsOfTheOther, CountsOnlyWhereItIsNewer) {
    for (const EndpointListKind kind : {EndpointListKind::kComplete, EndpointListKind::kChanges}) {
        OneProcess old, next;
        next.lists.listed(EndpointListKind::kCached, {endpoint("a")});
        if (GetParam().reported) {
            next.hears(*GetParam().reported, EndpointListKind::kComplete, {endpoint("a")});
        }
        const std::vector<DiscoveredEndpoint> drain{endpoint("a", EndpointState::kDraining)};
        if (kind == EndpointListKind::kComplete) {
            old.hears(GetParam().handed, kind, drain);
            old.hand_to(next);
        } else {
            old.lists.send_with([&](const Message& news) { next.take(news); });
            old.hears(GetParam().handed, kind, drain);
        }
        const bool drains = next.beyond.states.at("a") == EndpointState::kDraining;
        EXPECT_EQ(drains, GetParam().is_applied) << static_cast<int>(kind);
    }
}
INSTANTIATE_TEST_SUITE_P(
    Cases, NewsOfTheOther,
    testing::Values(Claim{"newer than the configuration's list", {}, {"registry", 4}, true},
                    Claim{"as old as the configuration's list", {}, {"registry", 3}, true},
                    Claim{"older than the configuration's list", {}, {"registry", 2}, false},
                    Claim{"of a registry before a move, nothing reported", {}, {"moved", 1}, true},
                    Claim{"newer than what was reported", ListPosition{"registry", 5}, {"registry", 6}, true},
                    Claim{"as was reported", ListPosition{"registry", 5}, {"registry", 5}, false},
                    Claim{
                        "older than what was reported", ListPosition{"registry", 5}, {"registry", 4}, false},
                    Claim{"of another registry than the one that reported",
                          ListPosition{"registry", 5},
                          {"moved", 9},
                          false}));

TEST(HandedListOrder, ChangesBetweenItsPartsAreNotLost) {
    OneProcess old, next;
    auto all = many(3000);
    old.hears({"registry", 9}, EndpointListKind::kComplete, all);
    auto parts = old.lists.parts();
    EXPECT_EQ(next.take(*parts->next()), Taken::kKept);
    old.lists.send_with([&](const Message& news) { EXPECT_EQ(next.take(news), Taken::kKept); });
    all.erase(all.begin() + 1);
    all[5].entry.state = EndpointState::kDraining;
    all.push_back(endpoint("new"));
    old.hears({"registry", 10}, EndpointListKind::kComplete, all);
    old.lists.send_with(nullptr);
    while (const auto part = parts->next()) next.take(*part);
    EXPECT_EQ(next.beyond.states, old.beyond.states);
    EXPECT_EQ(next.beyond.states.count("s-1"), 0u);
    EXPECT_EQ(next.beyond.states.count("new"), 1u);
}

TEST(HandedListOrder, OnlyDifferencesOfAWholeListAreSent) {
    OneProcess old, next;
    auto all = many(1000);
    old.hears({"registry", 9}, EndpointListKind::kComplete, all);
    std::size_t sent = 0;
    old.lists.send_with([&](const Message& news) {
        ++sent;
        EXPECT_LT(news.text.size(), 1000u);
        next.take(news);
    });
    old.hears({"registry", 10}, EndpointListKind::kComplete, all);
    EXPECT_EQ(sent, 0u);
    all.pop_back();
    old.hears({"registry", 11}, EndpointListKind::kComplete, all);
    EXPECT_EQ(sent, 1u);
}

TEST(HandedListOrder, ThatCannotBeReadIsMalformedAndOneThatEndsAmidItIsDropped) {
    OneProcess old, next;
    for (const char* bad : {"", "7", "{}", R"({"version":1,"servers":[{}]})"}) {
        EXPECT_EQ(next.take({Kind::kList, bad, true, false}), Taken::kMalformed) << bad;
    }
    next.lists.listed(EndpointListKind::kCached, {endpoint("a")});
    old.hears({"registry", 9}, EndpointListKind::kComplete, many(3000));
    EXPECT_EQ(next.take(*old.lists.parts()->next()), Taken::kKept);
    next.lists.drop_incomplete();
    EXPECT_EQ(next.beyond.states.size(), 1u);
    EXPECT_EQ(old.hand_to(next), Taken::kApplied);
}

TEST(HandedListOrder, AnEntryTooLongForAMessageIsLeftOut) {
    OneProcess old, next;
    old.hears({"registry", 9}, EndpointListKind::kComplete,
              {endpoint("a"), endpoint(std::string(300'000, 'x')), endpoint(std::string(15'000, '\x01'))});
    EXPECT_EQ(old.hand_to(next), Taken::kApplied);
    EXPECT_EQ(next.beyond.states.count("a"), 1u);
}

// Guards against: endpoints that the old process knows to be gone are retained by the new one.
TEST(HandedListOrder, OfAKeyValueRegistryRetainsNothingThatIsGone) {
    discovery::EndpointSet endpoints({0.5, 30s, 4});
    const auto all = many(10);
    endpoints.whole(0s, all);  // of a snapshot
    endpoints.next(100);
    endpoints.adopt_whole({all[0], all[1]});
    EXPECT_EQ(endpoints.size(), 2u);
    EXPECT_EQ(endpoints.held(), 0u);
    EXPECT_EQ(endpoints.next(100).size(), 8u);
    DiscoveredEndpoint gone = all[0];
    gone.entry.state = EndpointState::kRemoved;
    endpoints.adopt_changes({gone, endpoint("new")});
    EXPECT_EQ(endpoints.size(), 2u);
    EXPECT_EQ(endpoints.next(100).size(), 2u);
}

// ---- Real processes -------------------------------------------------------------------------------------

// Discovery's agent: answers each call with the whole list, a watch once there is something newer.
class Agent {
public:
    void tells(int version, const std::string& servers) {
        version_ = version;
        body_ = R"({"version":)" + std::to_string(version) + R"(,"full":true,"servers":[)" + servers + "]}";
    }
    void step() {
        while (auto peer = listener.accept()) peers_.push_back(std::move(peer));
        if (is_silent) return;
        for (auto& peer : peers_) answer(*peer);
    }
    Listener listener;
    bool is_silent = false;
    int answers = 0;

private:
    void answer(SocketPeer& peer) {
        const std::string& got = peer.read();
        const auto end = got.find("\r\n\r\n");
        if (end == std::string::npos) return;
        const auto index = got.find("index=");
        if (index != std::string::npos && std::atoi(got.c_str() + index + 6) >= version_) return;
        peer.got.clear();
        ++answers;
        peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_.size()) + "\r\n\r\n" + body_);
    }
    std::vector<std::unique_ptr<SocketPeer>> peers_;
    int version_ = 0;
    std::string body_ = R"({"version":0,"full":true,"servers":[]})";
};

// A gateway of which processes take over from each other, before the endpoints w and x.
struct Site {
    Site() : listen(free_port()), folder(test_support::temporary_path("lists")) {
        std::filesystem::create_directory(folder);
        const char* const before = std::getenv("TMPDIR");
        folder_before = before ? before : "";
        setenv("TMPDIR", folder.c_str(), 1);
    }
    ~Site() {
        folder_before.empty() ? unsetenv("TMPDIR") : setenv("TMPDIR", folder_before.c_str(), 1);
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
    std::string server(const std::string& id, const std::string& state = "in_service") const {
        const Listener& at = id == "w" ? w : x;
        return R"({"id":")" + id + R"(","addr":")" + at.address() + R"(","state":")" + state + "\"}";
    }
    // `known` has w alone, in service, as version 1.
    std::string config() {
        mgmt = free_port();
        std::string made = config_of(agent.listener, counter, w.address());
        made.replace(made.find("127.0.0.1:0"), 11, address());
        return made.insert(1, R"("mgmt":"127.0.0.1:)" + std::to_string(mgmt) + "\",");
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(listen); }
    std::unique_ptr<Program> start() {
        auto made = std::make_unique<Program>(config());
        made->listening();
        EXPECT_TRUE(plays_until([&] { return ask("/v1/readyz").find("HTTP/1.1 200 ") == 0; }));
        return made;
    }
    // The new process takes over, and the old one ends.
    void upgrade(std::unique_ptr<Program>& program) {
        auto next = start();
        program->signal(SIGTERM);
        EXPECT_TRUE(plays_until([&] { return program->has_ended(); }));
        EXPECT_EQ(program->exit_code(), 0);
        program = std::move(next);
    }
    std::string ask(const std::string& target) const {
        SocketPeer peer = connect_to(mgmt);
        peer.write("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto end = steady_clock::now() + 1s;
        while (!peer.is_over() && steady_clock::now() < end) usleep(1000);
        return peer.got;
    }
    bool knows(std::size_t endpoints) {
        return plays_until([&] {
            return ask("/v1/metrics").find("known_quoters=" + std::to_string(endpoints) + "\n") !=
                   std::string::npos;
        });
    }
    template <typename Condition>
    bool plays_until(Condition condition) {
        return wait_for([&] {
            agent.step();
            return condition();
        });
    }
    // Sends requests one after the other; says how many went to each endpoint.
    std::map<std::string, int> share_of(int requests) {
        std::map<std::string, int> went;
        SocketPeer client = connect_to(listen);
        for (int i = 0; i < requests; ++i) {
            client.got.clear();
            client.write(call("read", 8000));
            EXPECT_TRUE(plays_until([&] {
                for (const Listener* one : {&w, &x}) {
                    if (auto peer = const_cast<Listener*>(one)->accept())
                        connections.emplace_back(one == &w ? "w" : "x", std::move(peer));
                }
                for (auto& [id, peer] : connections) {
                    if (!peer->has("c=read")) continue;
                    peer->got.clear();
                    peer->write(served("v"));
                    ++went[id];
                }
                return client.has("\r\n");
            }));
        }
        return went;
    }

    Listener w, x, counter;
    Agent agent;
    std::uint16_t listen, mgmt = 0;
    std::string folder, folder_before;
    std::vector<std::pair<std::string, std::unique_ptr<SocketPeer>>> connections;
};

// Guards against: the new process goes by the configuration's list while discovery is silent, and sends to an
// endpoint that the old one had been told drains; and again after a second upgrade.
TEST(ListInAHotRestart, OfTheOldProcessHoldsWhileDiscoveryIsSilent) {
    Site site;
    site.agent.tells(2, site.server("w", "terminating") + "," + site.server("x"));
    auto program = site.start();
    ASSERT_TRUE(site.knows(2));
    EXPECT_EQ(site.share_of(5)["w"], 0);
    site.agent.is_silent = true;
    for (int upgrades = 0; upgrades < 3; ++upgrades) {
        site.upgrade(program);
        ASSERT_TRUE(site.knows(2));
        const auto share = site.share_of(20);
        EXPECT_EQ(share.count("w"), 0u) << "upgrade " << upgrades;
    }
    // What discovery tells at its return counts.
    site.agent.tells(3, site.server("w"));
    site.agent.is_silent = false;
    ASSERT_TRUE(site.knows(1));
    EXPECT_EQ(site.share_of(5)["w"], 5);
}

// ---- A process beside one that is played by hand
// -----------------------------------------------------------------------

// The other end of a hot restart, played by hand over the Unix socket.
class OtherRelease {
public:
    explicit OtherRelease(int fd) : fd_(fd) {}
    OtherRelease(const OtherRelease&) = delete;
    OtherRelease& operator=(const OtherRelease&) = delete;
    ~OtherRelease() { ::close(fd_); }
    static sockaddr_un address_of(const std::string& place) {
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        std::copy(place.begin(), place.end(), at.sun_path);
        return at;
    }
    void send(const std::string& line) const {
        ASSERT_EQ(::send(fd_, line.data(), line.size(), MSG_NOSIGNAL), static_cast<ssize_t>(line.size()));
    }
    // All kinds of messages that have come.
    const std::vector<std::string>& kinds() {
        char bytes[4096];
        ssize_t size = 0;
        while ((size = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
            text_.append(bytes, static_cast<std::size_t>(size));
        is_over_ = is_over_ || size == 0;
        for (auto end = text_.find('\n'); end != std::string::npos; end = text_.find('\n')) {
            const std::string mark = "\"t\":\"";
            const auto at = text_.find(mark) + mark.size();
            kinds_.push_back(text_.substr(at, text_.find('"', at) - at));
            text_.erase(0, end + 1);
        }
        return kinds_;
    }
    std::ptrdiff_t count(const std::string& kind) {
        const auto& all = kinds();
        return std::count(all.begin(), all.end(), kind);
    }
    bool has(const std::string& kind) { return count(kind) > 0; }
    bool is_over() { return kinds(), is_over_; }

private:
    int fd_;
    std::string text_;
    std::vector<std::string> kinds_;
    bool is_over_ = false;
};

std::string list_message(int version, const std::string& registry, const std::string& servers,
                         bool is_whole) {
    Message message{Kind::kList,
                    R"({"version":)" + std::to_string(version) + R"(,"full":)" +
                        (is_whole ? "true" : "false") + R"(,"servers":[)" + servers + "]}",
                    true, false};
    message.registry = registry;
    return hot_restart::write(message);
}

// The newer process, played by hand.
std::unique_ptr<OtherRelease> newer_process(Site& site, bool takes_lists) {
    const auto at = OtherRelease::address_of(server::meeting_place(site.folder, site.address()));
    const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)), 0);
    auto next = std::make_unique<OtherRelease>(fd);
    next->send(R"({"v":1,"t":"hello","text":")" + site.address() + "\",\"on\":true" +
               (takes_lists ? ",\"lists\":true}\n" : "}\n"));
    EXPECT_TRUE(site.plays_until([&] { return next->has("end"); }));
    return next;
}

// Guards against: an older release, which ends the hand-over at a message that it does not know.
TEST(ListInAHotRestart, IsSentOnlyToAReleaseThatTakesIt) {
    for (const bool takes_lists : {false, true}) {
        Site site;
        site.agent.tells(2, site.server("x"));
        const auto old = site.start();
        ASSERT_TRUE(site.knows(1));
        const auto next = newer_process(site, takes_lists);
        EXPECT_EQ(next->count("list"), takes_lists ? 1 : 0);
        // News that comes behind it.
        site.agent.tells(3, site.server("w"));
        ASSERT_TRUE(site.plays_until([&] { return site.share_of(1)["w"] == 1; }));
        EXPECT_EQ(next->count("list"), takes_lists ? 2 : 0);
        EXPECT_FALSE(next->is_over());
    }
}

// A process of this program beside one played by hand, which it took over from.
struct TakenOver : Site {
    // `state`: what the older process says, behind the first news of this one's registry.
    explicit TakenOver(std::string state = {}) : state_(std::move(state)) {
        const auto at = OtherRelease::address_of(server::meeting_place(folder, address()));
        const int door = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        EXPECT_EQ(bind(door, reinterpret_cast<const sockaddr*>(&at), sizeof(at)), 0);
        EXPECT_EQ(::listen(door, 4), 0);
        door_ = door;
    }
    void set_state(std::string state) { state_ = std::move(state); }
    ~TakenOver() { ::close(door_); }
    void take_over() {
        program = std::make_unique<Program>(config());
        int met = -1;
        EXPECT_TRUE(plays_until([&] { return met >= 0 || (met = accept(door_, nullptr, nullptr)) >= 0; }));
        old = std::make_unique<OtherRelease>(met);
        EXPECT_TRUE(plays_until([&] { return old->has("hello"); }));
        EXPECT_TRUE(agent.is_silent || plays_until([&] { return agent.answers > 0; }));
        const auto end = steady_clock::now() + 200ms;  // for it to read that
        plays_until([&] { return steady_clock::now() > end; });
        old->send(state_);
        program->listening();
    }
    std::unique_ptr<Program> program;
    std::unique_ptr<OtherRelease> old;

private:
    int door_ = -1;
    std::string state_;
};

const std::string kOldState = "{\"v\":1,\"t\":\"state\"}\n";
const std::string kNewState = "{\"v\":1,\"t\":\"state\",\"lists\":true}\n";
const std::string kEnd = "{\"v\":1,\"t\":\"end\"}\n";

TEST(ListInAHotRestart, OfTheNewProcessIsToldOnlyToAnOlderOneThatTakesIt) {
    for (const bool takes_lists : {false, true}) {
        TakenOver site((takes_lists ? kNewState : kOldState) + kEnd);
        site.agent.tells(2, site.server("x"));
        site.take_over();
        EXPECT_EQ(site.share_of(5)["x"], 5);
        site.agent.tells(3, site.server("w"));
        ASSERT_TRUE(site.plays_until([&] { return site.share_of(1)["w"] == 1; }));
        EXPECT_EQ(site.old->count("list"), takes_lists ? 1 : 0);
    }
}

// Guards against: what is handed replaces what this process's discovery has told since.
TEST(ListInAHotRestart, IsIgnoredWhereTheNewProcessKnowsBetter) {
    TakenOver site;
    site.agent.tells(6, site.server("w"));
    site.set_state(kNewState +
                   list_message(5, site.agent.listener.address(),
                                site.server("w", "terminating") + "," + site.server("x"), true) +
                   kEnd);
    site.take_over();
    EXPECT_EQ(site.share_of(5)["w"], 5);
    // Later news counts.
    site.agent.is_silent = true;
    site.old->send(list_message(7, site.agent.listener.address(),
                                site.server("w", "terminated") + "," + site.server("x"), false));
    ASSERT_TRUE(site.plays_until([&] { return site.share_of(1)["x"] == 1; }));
    EXPECT_EQ(site.share_of(5)["x"], 5);
}

// Guards against: what was handed only in part is taken for the list.
TEST(ListInAHotRestart, ThatEndsAmidItIsNotTaken) {
    TakenOver site;
    site.agent.is_silent = true;
    std::string part = list_message(5, site.agent.listener.address(), site.server("x"), true);
    part.replace(part.find("\"on\":true"), 9, "\"on\":false");
    site.set_state(kNewState + part);
    site.take_over();
    EXPECT_EQ(site.share_of(5)["w"], 5) << "the configuration's list";
}

}  // namespace
}  // namespace linnetlead
