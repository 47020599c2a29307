// Relays, with real Raft nodes and real followers, in virtual time: activation of changes, rejected changes
// and followers, and failures of relays and links.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>

#include "cluster/distribution/acknowledgement_counts.h"
#include "cluster/distribution/activation.h"
#include "cluster/distribution/relay.h"

namespace linnetlead::distribution {
namespace {

using namespace std::chrono_literals;

constexpr Timestamp kStart = std::chrono::hours(500000);

Edit edit(std::string key, std::optional<std::string> value) { return {std::move(key), std::move(value)}; }
Change change(std::string id, std::vector<Edit> edits, LogIndex base = 0) {
    return {std::move(id), base, std::move(edits)};
}

// What has been written to a relay's disk.
struct RelayDisk {
    Relay::PersistentState held;
    void put(const raft::Ready& ready) {
        if (ready.install) {
            held.snapshot = *ready.install;
            held.entries.clear();
        }
        if (ready.truncate_from > 0) {
            while (!held.entries.empty() && held.entries.back().index >= ready.truncate_from)
                held.entries.pop_back();
        }
        held.entries.insert(held.entries.end(), ready.append.begin(), ready.append.end());
        if (ready.hard) held.hard_state = *ready.hard;
        if (ready.compact) {
            held.snapshot = *ready.compact;
            while (!held.entries.empty() && held.entries.front().index <= held.snapshot.index)
                held.entries.erase(held.entries.begin());
        }
    }
};

// Relays and gateways with links of 10 ms delay between them; frames are encoded and decoded.
class SimulatedFleet {
public:
    struct GatewayNode {
        std::unique_ptr<Follower> follower;
        Session session = 0;  // of the connection or the attempt; 0: none
        int relay = -1;
        std::vector<LogIndex> revisions;
        std::vector<std::pair<LogIndex, Timestamp>> activations;
        std::vector<std::string> events;
    };
    struct RelayNode {
        std::unique_ptr<Relay> relay;
        RelayDisk disk;
        std::uint64_t incarnation = 0;  // what was sent to an earlier incarnation is dropped
        Session upstream_session = 0;
        int upstream_relay = -1;
        std::vector<std::string> events;
        std::size_t persists = 0;
        bool has_slow_disk = false;
    };
    struct Link {
        int relay = 0;
        std::uint64_t incarnation = 0;
        int gateway = -1;           // -1 for a relay or a tool
        int downstream_relay = -1;  // -1 for a gateway or a tool
        bool is_stuck = false;
        std::size_t unsent = 0;
        std::vector<Frame> received, delayed;
        bool is_open = true;
    };

    SimulatedFleet(int voters, int others, Relay::Settings settings = {}) : settings_(std::move(settings)) {
        for (int i = 0; i < voters + others; ++i)
            settings_.members.push_back({"relay-" + std::to_string(i), i % 3, i < voters});
        for (int i = 0; i < voters; ++i) settings_.follower.relays.push_back(i);
        relay_nodes.resize(settings_.members.size());
        for (int i = 0; i < voters + others; ++i) start_relay(i);
    }
    void start_relay(int i) {
        Relay::Settings of = settings_;
        of.self = i;
        of.seed = static_cast<std::uint64_t>(100 + i);
        if (of.members[static_cast<std::size_t>(i)].is_voter) of.follower.relays.clear();
        ASSERT_EQ(check(of), "");
        RelayNode& node = relay_nodes[static_cast<std::size_t>(i)];
        const std::uint64_t incarnation = ++node.incarnation;
        const auto alive = [this, i, incarnation] {
            const RelayNode& at = relay_nodes[static_cast<std::size_t>(i)];
            return at.relay && at.incarnation == incarnation;
        };
        Relay::Callbacks callbacks;
        callbacks.send_to_voter = [this, i](int to, const std::string& message) {
            schedule(10ms, [this, i, to, message] {
                if (Relay* relay = running_relay(to); relay && !cut.count({i, to}))
                    relay->on_voter_message(now, i, message);
            });
        };
        callbacks.send_to_follower = [this](Session session, const Frame& frame) {
            deliver_down(session, frame);
        };
        callbacks.unsent_bytes = [this](Session session) { return links[session].unsent; };
        callbacks.close_session = [this](Session session) {
            if (links[session].is_open) schedule(10ms, [this, session] { close(session, true); });
        };
        callbacks.connect_upstream = [this, i](int to) {
            RelayNode& self = relay_nodes[static_cast<std::size_t>(i)];
            self.upstream_relay = to;
            self.upstream_session = connect(to, -1, i);
        };
        callbacks.disconnect_upstream = [this, i] {
            RelayNode& self = relay_nodes[static_cast<std::size_t>(i)];
            const Session session = std::exchange(self.upstream_session, 0);
            if (session != 0) schedule(10ms, [this, session] { close(session, false); });
        };
        callbacks.send_upstream = [this, i](const Frame& frame) {
            send_frame(relay_nodes[static_cast<std::size_t>(i)].upstream_session, frame);
        };
        callbacks.persist = [this, i, alive](const raft::Ready& ready) {
            RelayNode& self = relay_nodes[static_cast<std::size_t>(i)];
            self.disk.put(ready);
            ++self.persists;
            schedule(self.has_slow_disk ? Duration(200ms) : Duration(2ms), [this, i, alive] {
                if (alive()) relay_nodes[static_cast<std::size_t>(i)].relay->on_persisted(now);
            });
        };
        callbacks.on_event = [this, i](EventKind kind, const std::string& text) {
            relay_nodes[static_cast<std::size_t>(i)].events.push_back(std::string(event_name(kind)) + ": " +
                                                                      text);
        };
        callbacks.validate_value = [](const Edit& given) {
            return given.value && given.value->substr(0, 8) == "no rates" ? std::string("it has no rates")
                                                                          : std::string();
        };
        node.relay = std::make_unique<Relay>(of, std::move(callbacks), node.disk.held);
    }
    void crash_relay(int i) {
        RelayNode& node = relay_nodes[static_cast<std::size_t>(i)];
        node.relay.reset();
        ++node.incarnation;
        node.upstream_session = 0;
        for (auto& [session, link] : links) {
            if (link.is_open && link.relay == i) {
                const Session gone = session;
                schedule(10ms, [this, gone] { close(gone, true); });
            }
            if (link.is_open && link.downstream_relay == i) {
                const Session gone = session;
                schedule(10ms, [this, gone] { close(gone, false); });
            }
        }
    }
    Relay* running_relay(int i) { return relay_nodes[static_cast<std::size_t>(i)].relay.get(); }

    int add_gateway(Follower::Settings of = {}) {
        const int id = static_cast<int>(gateway_nodes.size());
        gateway_nodes.push_back(std::make_unique<GatewayNode>());
        GatewayNode& gateway_node = *gateway_nodes.back();
        of.name = "gateway-" + std::to_string(id);
        of.seed = static_cast<std::uint64_t>(1000 + id);
        if (of.relays.empty()) {
            for (std::size_t i = 0; i < relay_nodes.size(); ++i)
                of.relays.push_back(
                    static_cast<int>((i + static_cast<std::size_t>(id)) % relay_nodes.size()));
        }
        Follower::Callbacks callbacks;
        callbacks.connect = [this, id](int relay) {
            gateway_nodes[static_cast<std::size_t>(id)]->relay = relay;
            gateway_nodes[static_cast<std::size_t>(id)]->session = connect(relay, id, -1);
        };
        callbacks.disconnect = [this, id] {
            const Session session = std::exchange(gateway_nodes[static_cast<std::size_t>(id)]->session, 0);
            if (session != 0) schedule(10ms, [this, session] { close(session, false); });
        };
        callbacks.send = [this, id](const Frame& frame) {
            send_frame(gateway_nodes[static_cast<std::size_t>(id)]->session, frame);
        };
        callbacks.unsupported_edits = [id](const Change& given) {
            std::vector<std::size_t> unsupported;
            for (std::size_t i = 0; i < given.edits.size(); ++i) {
                const auto& value = given.edits[i].value;
                if (value && value->substr(0, 4) == "bad " && id < std::stoi(value->substr(4)))
                    unsupported.push_back(i);
            }
            return unsupported;
        };
        callbacks.on_active = [this, id](LogIndex number, const std::vector<std::string>&, bool) {
            gateway_nodes[static_cast<std::size_t>(id)]->activations.emplace_back(number, now);
        };
        callbacks.on_event = [this, id](EventKind, const std::string& text) {
            gateway_nodes[static_cast<std::size_t>(id)]->events.push_back(text);
        };
        gateway_node.follower = std::make_unique<Follower>(of, std::move(callbacks));
        return id;
    }
    Follower& gateway(int id) { return *gateway_nodes[static_cast<std::size_t>(id)]->follower; }

    // A session whose frames the test sends itself.
    Session open_session(int relay, Role role = Role::kTool, Hello hello = {}) {
        const Session session = connect(relay, -1, -1);
        hello.role = role;
        if (hello.name.empty()) hello.name = "by hand";
        run_for(30ms);
        send_frame(session, hello);
        return session;
    }
    template <class Kind>
    const Kind* last_received(Session session) {
        for (auto each = links[session].received.rbegin(); each != links[session].received.rend(); ++each) {
            if (const auto* found = std::get_if<Kind>(&*each)) return found;
        }
        return nullptr;
    }
    Answer submit(int relay, const Change& given, Duration within = 3s) {
        const Session session = open_session(relay);
        run_for(30ms);
        send_frame(session, Submit{77, given});
        const Timestamp deadline = now + within;
        while (!last_received<Answer>(session) && now < deadline) run_for(10ms);
        const Answer* answer = last_received<Answer>(session);
        const Answer back = answer ? *answer : Answer{0, Rejection::kNoLeader, 0, "none came"};
        if (answer) {
            EXPECT_EQ(answer->request, 77U);
        }
        close(session, false);
        return back;
    }

    int leader() {
        for (std::size_t i = 0; i < relay_nodes.size(); ++i) {
            if (relay_nodes[i].relay && relay_nodes[i].relay->leads()) return static_cast<int>(i);
        }
        return -1;
    }
    void wait_until_ready() {
        const Timestamp deadline = now + 20s;
        const auto is_ready = [this] {
            return leader() >= 0 &&
                   std::all_of(gateway_nodes.begin(), gateway_nodes.end(), [this](const auto& gateway_node) {
                       return !gateway_node->follower->fenced(now);
                   });
        };
        while (now < deadline && !is_ready()) run_for(20ms);
        ASSERT_TRUE(is_ready());
    }
    bool run_until(Duration within, const std::function<bool()>& done) {
        const Timestamp end_at = now + within;
        while (now < end_at && !done()) run_for(20ms);
        return done();
    }
    void run_for(Duration span) {
        const Timestamp end_at = now + span;
        while (true) {
            const Timestamp next =
                std::min(next_tick_, events_.empty() ? Timestamp::max() : events_.top().at);
            if (next > end_at) break;
            now = next;
            if (!events_.empty() && events_.top().at <= next_tick_) {
                const auto act = events_.top().act;
                events_.pop();
                act();
                continue;
            }
            next_tick_ += 10ms;
            for (RelayNode& node : relay_nodes) {
                if (node.relay) node.relay->tick(now);
            }
            for (std::size_t i = 0; i < gateway_nodes.size(); ++i) {
                const auto stall = stalled.find(static_cast<int>(i));
                if (stall == stalled.end() || stall->second <= now) gateway_nodes[i]->follower->tick(now);
            }
        }
        now = end_at;
    }

    void send_frame(Session session, const Frame& frame) {
        std::string bytes = write(frame);
        schedule(10ms, [this, session, bytes] { send_bytes(session, bytes); });
    }
    void send_bytes(Session session, std::string_view bytes) {
        const auto link = links.find(session);
        if (link == links.end() || !link->second.is_open) return;
        Relay* relay = running_relay(link->second.relay);
        if (!relay ||
            relay_nodes[static_cast<std::size_t>(link->second.relay)].incarnation != link->second.incarnation)
            return;
        if (link->second.downstream_relay >= 0 &&
            cut.count({link->second.downstream_relay, link->second.relay}))
            return;
        if (link->second.gateway >= 0 && cut.count({1000 + link->second.gateway, link->second.relay})) return;
        FrameReader reader;
        Frame frame;
        Rejection rejection{};
        while (!bytes.empty()) {
            const auto state = reader.take(bytes, frame, rejection);
            if (state == FrameReader::State::kFrame) relay->on_frame(now, session, frame);
            if (state == FrameReader::State::kWrong) relay->on_invalid_bytes(now, session, rejection);
            if (state == FrameReader::State::kPartial) break;
        }
    }

    Timestamp now = kStart;
    std::vector<RelayNode> relay_nodes;
    std::vector<std::unique_ptr<GatewayNode>> gateway_nodes;
    std::map<Session, Link> links;
    std::set<std::pair<int, int>> cut;  // from, to: relays by number, gateways from 1000
    std::map<int, Timestamp> stalled;   // gateways, with the end of the stall
    std::map<int, std::vector<Timestamp>> opened_at;

private:
    struct Event {
        Timestamp at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    void schedule(Duration span, std::function<void()> act) {
        events_.push({now + span, ++order_, std::move(act)});
    }

    Session connect(int relay, int gateway_id, int downstream_relay) {
        const Session session = ++last_session_;
        Link& link = links[session];
        link.relay = relay;
        link.incarnation = relay_nodes[static_cast<std::size_t>(relay)].incarnation;
        link.gateway = gateway_id;
        link.downstream_relay = downstream_relay;
        const int from = downstream_relay >= 0 ? downstream_relay : 1000 + gateway_id;
        schedule(20ms, [this, session, from] {
            Link& at = links[session];
            if (!at.is_open) return;
            Relay* to = running_relay(at.relay);
            if (cut.count({from, at.relay}) || cut.count({at.relay, from})) return;  // no answer
            if (!to || relay_nodes[static_cast<std::size_t>(at.relay)].incarnation != at.incarnation)
                return close(session, true);
            opened_at[at.relay].push_back(now);
            to->on_session_opened(now, session);
            if (at.gateway >= 0 && gateway_nodes[static_cast<std::size_t>(at.gateway)]->session == session)
                gateway_nodes[static_cast<std::size_t>(at.gateway)]->follower->on_connected(now);
            if (at.downstream_relay >= 0 &&
                relay_nodes[static_cast<std::size_t>(at.downstream_relay)].upstream_session == session)
                running_relay(at.downstream_relay)->on_upstream_connected(now);
        });
        return session;
    }
    // by_relay: the follower is notified; otherwise the relay is.
    void close(Session session, bool by_relay) {
        Link& link = links[session];
        if (!std::exchange(link.is_open, false)) return;
        if (!by_relay) {
            Relay* relay = running_relay(link.relay);
            if (relay && relay_nodes[static_cast<std::size_t>(link.relay)].incarnation == link.incarnation)
                relay->on_session_closed(now, session);
            return;
        }
        if (link.gateway >= 0 && gateway_nodes[static_cast<std::size_t>(link.gateway)]->session == session) {
            gateway_nodes[static_cast<std::size_t>(link.gateway)]->session = 0;
            gateway_nodes[static_cast<std::size_t>(link.gateway)]->follower->on_disconnected(now);
        }
        if (link.downstream_relay >= 0 &&
            relay_nodes[static_cast<std::size_t>(link.downstream_relay)].upstream_session == session) {
            relay_nodes[static_cast<std::size_t>(link.downstream_relay)].upstream_session = 0;
            if (Relay* relay = running_relay(link.downstream_relay)) relay->on_upstream_disconnected(now);
        }
    }
    void deliver_delayed(Session session) {
        Link& at = links[session];
        const std::vector<Frame> frames = std::exchange(at.delayed, {});
        GatewayNode& gateway_node = *gateway_nodes[static_cast<std::size_t>(at.gateway)];
        for (const Frame& frame : frames) {
            if (gateway_node.session == session) gateway_node.follower->on_frame(now, frame);
        }
    }
    void deliver_down(Session session, const Frame& frame) {
        Link& link = links[session];
        if (!link.is_open) return;
        const std::string bytes = write(frame);
        if (link.is_stuck) {
            link.unsent += bytes.size();
            link.received.push_back(frame);
            return;
        }
        if (link.gateway >= 0 && cut.count({link.relay, 1000 + link.gateway})) return;
        if (link.downstream_relay >= 0 && cut.count({link.relay, link.downstream_relay})) return;
        schedule(10ms, [this, session, bytes] {
            Link& at = links[session];
            if (!at.is_open) return;
            FrameReader reader;
            Frame read;
            Rejection rejection{};
            std::string_view rest = bytes;
            ASSERT_EQ(reader.take(rest, read, rejection), FrameReader::State::kFrame);
            if (at.gateway >= 0) {
                GatewayNode& gateway_node = *gateway_nodes[static_cast<std::size_t>(at.gateway)];
                const auto stall = stalled.find(at.gateway);
                if (stall != stalled.end() && stall->second > now) {
                    // Frames that arrive during the stall are delivered in order at its end, with the time of
                    // then.
                    auto& wait = at.delayed;
                    wait.push_back(read);
                    if (wait.size() == 1)
                        events_.push(
                            {stall->second, ++order_, [this, session] { deliver_delayed(session); }});
                    return;
                }
                if (!at.delayed.empty()) deliver_delayed(session);
                if (gateway_node.session == session) gateway_node.follower->on_frame(now, read);
            } else if (at.downstream_relay >= 0) {
                RelayNode& node = relay_nodes[static_cast<std::size_t>(at.downstream_relay)];
                if (node.relay && node.upstream_session == session) node.relay->on_upstream_frame(now, read);
            } else {
                at.received.push_back(read);
            }
        });
    }

    Relay::Settings settings_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    Session last_session_ = 0;
    Timestamp next_tick_ = kStart;
};

TEST(DistributionRelay, ActivatesAChangeOnAllGatewaysAtTheSameTime) {
    SimulatedFleet fleet(3, 2);
    for (int i = 0; i < 10; ++i) fleet.add_gateway();
    fleet.wait_until_ready();
    const Timestamp given = fleet.now;
    const Answer answer = fleet.submit(4, change("first", {edit("tenant/1", "a"), edit("route/r", "b")}));
    ASSERT_EQ(answer.rejection, Rejection::kNone) << answer.message;
    EXPECT_GT(answer.revision, 0U);
    ASSERT_TRUE(fleet.run_until(5s, [&] {
        return std::all_of(
            fleet.gateway_nodes.begin(), fleet.gateway_nodes.end(),
            [&](const auto& gateway_node) { return gateway_node->follower->revision() == answer.revision; });
    }));
    EXPECT_LT(fleet.now - given, 3s);
    Timestamp first = Timestamp::max(), last{};
    for (const auto& gateway_node : fleet.gateway_nodes) {
        ASSERT_EQ(gateway_node->activations.size(), 1U);
        first = std::min(first, gateway_node->activations[0].second);
        last = std::max(last, gateway_node->activations[0].second);
        EXPECT_EQ(gateway_node->follower->store().find("tenant/1"), "a");
        EXPECT_FALSE(gateway_node->follower->fenced(fleet.now));
    }
    EXPECT_LE(last - first, 10ms);  // one tick
    for (const auto& node : fleet.relay_nodes) {
        EXPECT_EQ(node.relay->store().hash(), fleet.gateway(0).store().hash());
        EXPECT_EQ(node.relay->revision(), answer.revision);
    }
    const auto state = nlohmann::json::parse(
        fleet.relay_nodes[static_cast<std::size_t>(fleet.leader())].relay->state_json(fleet.now));
    EXPECT_EQ(state["role"], "leads");
    EXPECT_EQ(state["gateways"], 10);
    EXPECT_EQ(state["revision"], answer.revision);
    EXPECT_TRUE(state["pending"].empty());
}

TEST(DistributionRelay, RejectsEachInvalidChangeWithItsOwnReason) {
    SimulatedFleet fleet(3, 1);
    fleet.add_gateway();
    fleet.wait_until_ready();
    const Answer first = fleet.submit(0, change("a", {edit("tenant/1", "a")}));
    ASSERT_EQ(first.rejection, Rejection::kNone);
    const Answer second = fleet.submit(0, change("b", {edit("tenant/2", "b")}));
    ASSERT_EQ(second.rejection, Rejection::kNone);
    struct Row {
        Change change;
        Rejection rejection;
    };
    const std::vector<Row> rows{
        {change("c", {}), Rejection::kMalformed},
        {change("c", {edit("tenant/1", "x"), edit("tenant/1", "y")}), Rejection::kMalformed},
        {change("c", {edit("tenant/1", std::string(kMaxValueBytes + 1, 'v'))}), Rejection::kTooLarge},
        {change("c", {edit("colour/1", "x")}), Rejection::kUnknownKind},
        {change("c", {edit("tenant/3", std::nullopt)}), Rejection::kNoSuchKey},
        {change("c", {edit("tenant/2", "x")}, first.revision), Rejection::kStaleBase},
        {change("c", {edit("tenant/1", "x")}, second.revision + 1000), Rejection::kFutureBase},
        {change("a", {edit("tenant/1", "other")}), Rejection::kIdReused},
        {change("c", {edit("tenant/1", "no rates")}), Rejection::kInvalidValue},
    };
    for (int relay = 0; relay < 4; ++relay) {
        for (const Row& row : rows) {
            const Answer answer = fleet.submit(relay, row.change);
            EXPECT_EQ(answer.rejection, row.rejection)
                << rejection_message(answer.rejection) << " for " << rejection_message(row.rejection);
            EXPECT_EQ(answer.revision, 0U);
        }
        // A repeated submission is the same change.
        EXPECT_EQ(fleet.submit(relay, change("a", {edit("tenant/1", "a")})).revision, first.revision);
    }
    // An old base revision is accepted if the keys have not changed since.
    EXPECT_EQ(fleet.submit(1, change("d", {edit("tenant/1", "x")}, first.revision)).rejection,
              Rejection::kNone);
    // Pending changes count: a key whose removal is pending cannot be removed again.
    EXPECT_EQ(fleet.submit(1, change("e", {edit("tenant/2", std::nullopt)})).rejection, Rejection::kNone);
    EXPECT_EQ(fleet.submit(1, change("f", {edit("tenant/2", std::nullopt)})).rejection,
              Rejection::kNoSuchKey);
}

TEST(DistributionRelay, RejectsChangesWithoutALeader) {
    SimulatedFleet fleet(3, 1);
    fleet.wait_until_ready();
    for (int i = 0; i < 3; ++i) {
        if (i != fleet.leader()) fleet.crash_relay(i);
    }
    fleet.run_for(5s);
    const int left = fleet.relay_nodes[0].relay ? 0 : fleet.relay_nodes[1].relay ? 1 : 2;
    EXPECT_EQ(fleet.submit(left, change("a", {edit("tenant/1", "a")}), 15s).rejection, Rejection::kNoLeader);
    EXPECT_EQ(fleet.submit(3, change("a", {edit("tenant/1", "a")}), 15s).rejection, Rejection::kNoLeader);
}

TEST(DistributionRelay, RejectsChangesAboveThePendingLimitUntilSomeAreActive) {
    Relay::Settings settings;
    settings.max_pending_changes = 3;
    settings.wait_for_all = true;
    SimulatedFleet fleet(1, 0, settings);
    fleet.add_gateway();
    fleet.wait_until_ready();
    fleet.cut.insert({0, 1000});  // it stays connected, and frames to it are lost
    for (int i = 0; i < 3; ++i) {
        const std::string id = "a" + std::to_string(i);
        EXPECT_EQ(fleet.submit(0, change(id, {edit("tenant/1", id)})).rejection, Rejection::kNone);
    }
    EXPECT_EQ(fleet.submit(0, change("b", {edit("tenant/1", "b")})).rejection, Rejection::kBusy);
    fleet.cut.clear();
    ASSERT_TRUE(fleet.run_until(20s, [&] {
        return fleet.gateway(0).revision() == fleet.running_relay(0)->committed() - 1;
    })) << fleet.running_relay(0)->state_json(fleet.now);
    EXPECT_EQ(fleet.submit(0, change("b", {edit("tenant/1", "b")})).rejection, Rejection::kNone);
}

TEST(DistributionRelay, DisconnectsFollowersWithFalseAcknowledgements) {
    SimulatedFleet fleet(1, 0);
    fleet.add_gateway();
    fleet.wait_until_ready();
    ASSERT_EQ(fleet.submit(0, change("a", {edit("tenant/1", "a")})).rejection, Rejection::kNone);
    fleet.run_for(3s);
    const LogIndex position = fleet.running_relay(0)->committed();
    const auto ack = [&](LogIndex last_index, LogIndex activation_index, std::uint32_t gateways) {
        Ack made;
        made.last_index = last_index;
        made.activation_index = activation_index;
        made.gateways = gateways;
        return made;
    };
    std::vector<std::pair<Role, Ack>> false_acks{
        {Role::kGateway, ack(position + 1, 0, 1)},         // record that was never sent
        {Role::kGateway, ack(position, position - 1, 1)},  // not an activation record
        {Role::kGateway, ack(position - 1, position, 1)},  // active, and not held
        {Role::kGateway, ack(position, 0, 2)},             // more than itself
        {Role::kGateway, ack(position, 0, 0)},             // less than itself
        {Role::kRelay, ack(position, 0, 2'000'000)},
    };
    false_acks.emplace_back(Role::kGateway, ack(position, 0, 1)).second.fenced = 2;
    false_acks.emplace_back(Role::kGateway, ack(position, 0, 1)).second.replicated = {{1, 1}};
    false_acks.emplace_back(Role::kGateway, ack(position, 0, 1)).second.unsupported = {{position + 1, 1, {}}};
    false_acks.emplace_back(Role::kGateway, ack(position, 0, 1)).second.unsupported = {{position, 1, {}}};
    false_acks.emplace_back(Role::kRelay, ack(position, 0, 3)).second.replicated = {{position, 2}, {1, 2}};
    false_acks.emplace_back(Role::kRelay, ack(position, 0, 3)).second.replicated = {{position + 1, 2}};
    false_acks.emplace_back(Role::kRelay, ack(position, 0, 3)).second.unsupported = {{2, 4, {}}};
    ASSERT_EQ(position, 3U);  // term start, change, activation
    for (std::size_t i = 0; i < false_acks.size(); ++i) {
        SCOPED_TRACE(i);
        const Session session = fleet.open_session(0, false_acks[i].first);
        fleet.run_for(100ms);
        ASSERT_TRUE(fleet.last_received<Welcome>(session));
        fleet.send_frame(session, false_acks[i].second);
        fleet.run_for(100ms);
        const Error* error = fleet.last_received<Error>(session);
        ASSERT_TRUE(error);
        EXPECT_EQ(error->rejection, Rejection::kFalseAcknowledgement);
        EXPECT_FALSE(fleet.links[session].is_open);
        EXPECT_TRUE(fleet.gateway(0).connected_relay());
    }
    // A true acknowledgement is accepted.
    const Session honest = fleet.open_session(0, Role::kGateway);
    fleet.run_for(100ms);
    fleet.send_frame(honest, ack(position, position, 1));
    fleet.run_for(100ms);
    EXPECT_FALSE(fleet.last_received<Error>(honest));
    EXPECT_EQ(fleet.running_relay(0)->gateways(), 2U);
    EXPECT_EQ(fleet.gateway(0).connection_attempts(), 1U);
}

TEST(DistributionRelay, RejectsInvalidPartialAndMisdirectedFrames) {
    SimulatedFleet fleet(1, 0);
    fleet.add_gateway();
    fleet.wait_until_ready();
    const auto rejected = [&](Session session) {
        fleet.run_for(100ms);
        const Error* error = fleet.last_received<Error>(session);
        return error && !fleet.links[session].is_open ? error->rejection : Rejection::kNone;
    };
    for (const Frame& frame : {Frame(Welcome{}), Frame(Away{}), Frame(Lease{}), Frame(SnapshotChunk{}),
                               Frame(Answer{}), Frame(Error{}), Frame(Voter{}), Frame(Hello{})}) {
        const Session session = fleet.open_session(0, Role::kGateway);
        fleet.run_for(100ms);
        fleet.send_frame(session, frame);
        EXPECT_EQ(rejected(session), Rejection::kMalformed) << frame.index();
    }
    Hello other;
    other.version = 2;
    EXPECT_EQ(rejected(fleet.open_session(0, Role::kGateway, other)), Rejection::kMalformed);
    Hello behind;
    behind.applied_index = 4;
    EXPECT_EQ(rejected(fleet.open_session(0, Role::kGateway, behind)), Rejection::kMalformed);
    Session session = fleet.open_session(0, Role::kTool);
    fleet.run_for(100ms);
    fleet.send_frame(session, Ack{});
    EXPECT_EQ(rejected(session), Rejection::kMalformed);
    session = fleet.open_session(0);
    fleet.run_for(100ms);
    fleet.send_bytes(session, std::string("\0\0\0\5hello", 9));
    EXPECT_EQ(rejected(session), Rejection::kMalformed);
    session = fleet.open_session(0);
    fleet.run_for(100ms);
    fleet.send_bytes(session, std::string("\x7f\0\0\0", 4));
    EXPECT_EQ(rejected(session), Rejection::kTooLarge);
    // Half a frame and then silence: the relay closes the session by its timeout.
    session = fleet.open_session(0, Role::kGateway);
    fleet.run_for(100ms);
    fleet.send_bytes(session, write(Ask{1}).substr(0, 5));
    fleet.run_for(8s);
    EXPECT_FALSE(fleet.links[session].is_open);
    EXPECT_TRUE(fleet.gateway(0).connected_relay());
    EXPECT_FALSE(fleet.gateway(0).fenced(fleet.now));
    EXPECT_EQ(fleet.gateway(0).connection_attempts(), 1U);
    EXPECT_EQ(fleet.running_relay(0)->followers(), 1U);
}

TEST(DistributionRelay, NewLeaderActivatesAChangeAfterTheOldOneCrashed) {
    Relay::Settings settings;
    settings.acknowledgement_timeout = 5s;
    for (int kill_after_ms : {0, 20, 40, 60, 100, 200, 400, 700, 1000}) {
        SimulatedFleet fleet(3, 1, settings);
        for (int i = 0; i < 6; ++i) fleet.add_gateway();
        fleet.wait_until_ready();
        const int leader = fleet.leader();
        const int other = (leader + 1) % 3;
        const Session session = fleet.open_session(other);
        fleet.run_for(30ms);
        fleet.send_frame(session, Submit{1, change("a", {edit("tenant/1", "a")})});
        fleet.run_for(std::chrono::milliseconds(kill_after_ms));
        fleet.crash_relay(leader);
        Answer again;
        // The submitter retries until it gets an answer; it is the same change.
        for (int i = 0; i < 20; ++i) {
            again = fleet.submit(other, change("a", {edit("tenant/1", "a")}));
            if (again.rejection == Rejection::kNone) break;
            fleet.run_for(300ms);
        }
        ASSERT_EQ(again.rejection, Rejection::kNone) << kill_after_ms;
        EXPECT_TRUE(fleet.run_until(10s, [&] {
            return std::all_of(fleet.gateway_nodes.begin(), fleet.gateway_nodes.end(),
                               [&](const auto& gateway_node) {
                                   return gateway_node->follower->revision() == again.revision &&
                                          !gateway_node->follower->fenced(fleet.now);
                               });
        })) << kill_after_ms;
        for (const auto& gateway_node : fleet.gateway_nodes)
            EXPECT_EQ(gateway_node->activations.size(), 1U) << kill_after_ms;
        // The crashed leader restarts from its disk and reaches the same state.
        fleet.start_relay(leader);
        EXPECT_TRUE(fleet.run_until(10s, [&] {
            return fleet.running_relay(leader)->revision() == again.revision &&
                   fleet.running_relay(leader)->store().hash() == fleet.gateway(0).store().hash();
        })) << kill_after_ms;
    }
}

TEST(DistributionRelay, PartitionedRegionIsFencedByItsLeaseAndCatchesUp) {
    SimulatedFleet fleet(3, 0);
    for (int i = 0; i < 3; ++i) {
        Follower::Settings of;
        of.relays = {i};
        fleet.add_gateway(of);
    }
    fleet.wait_until_ready();
    const int leader = fleet.leader();
    const int partitioned = (leader + 1) % 3;
    for (int i = 0; i < 3; ++i) {
        if (i == partitioned) continue;
        fleet.cut.insert({partitioned, i});
        fleet.cut.insert({i, partitioned});
    }
    const Timestamp cut_at = fleet.now;
    ASSERT_TRUE(fleet.run_until(5s, [&] { return fleet.gateway(partitioned).fenced(fleet.now); }));
    EXPECT_LE(fleet.now - cut_at, 2000ms + 20ms);
    EXPECT_TRUE(fleet.gateway(partitioned).connected_relay()) << "it stays connected to its relay";
    const Answer answer = fleet.submit(leader, change("a", {edit("tenant/1", "a")}));
    ASSERT_EQ(answer.rejection, Rejection::kNone);
    ASSERT_TRUE(fleet.run_until(8s, [&] { return fleet.gateway(leader).revision() == answer.revision; }));
    fleet.run_for(60s);
    EXPECT_TRUE(fleet.gateway(partitioned).fenced(fleet.now));
    EXPECT_EQ(fleet.gateway(partitioned).revision(), 0U);
    EXPECT_FALSE(fleet.gateway(leader).fenced(fleet.now));
    fleet.cut.clear();
    const Timestamp back = fleet.now;
    ASSERT_TRUE(fleet.run_until(8s, [&] {
        return fleet.gateway(partitioned).revision() == answer.revision &&
               !fleet.gateway(partitioned).fenced(fleet.now);
    }));
    RecordProperty("back_ms", std::to_string((fleet.now - back) / 1ms));
    EXPECT_EQ(fleet.gateway(partitioned).connection_attempts(), 1U);
}

TEST(DistributionRelay, LeaderRejectsChangesUntilARecordOfItsTermIsCommitted) {
    // Only then does the leader know every earlier record of the log. Before, it could accept a change id
    // twice.
    SimulatedFleet fleet(3, 0);
    fleet.wait_until_ready();
    const int old = fleet.leader();
    const int next = (old + 1) % 3, third = (old + 2) % 3;
    // The other two can elect one of them; slow disks delay the commit of its first record.
    for (int i = 0; i < 2; ++i)
        fleet.relay_nodes[static_cast<std::size_t>(i == 0 ? next : third)].has_slow_disk = true;
    fleet.crash_relay(old);
    bool seen = false;
    int early = 0;
    for (int i = 0; i < 2000 && !(seen && fleet.leader() >= 0); ++i) {
        fleet.run_for(10ms);
        for (const int each : {next, third}) {
            const auto state = nlohmann::json::parse(fleet.running_relay(each)->state_json(fleet.now));
            const bool elected = state["leader"] == state["relay"];
            if (!elected || fleet.running_relay(each)->leads()) continue;
            seen = true;
            // Elected, and its first record is not committed yet.
            const Session session = fleet.open_session(each);
            fleet.run_for(20ms);
            if (fleet.running_relay(each)->leads()) continue;
            fleet.send_frame(session, Submit{1, change("early", {edit("tenant/1", "a")})});
            fleet.run_for(11ms);
            if (fleet.running_relay(each)->leads()) continue;
            fleet.run_for(20ms);
            const Answer* answer = fleet.last_received<Answer>(session);
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->rejection, Rejection::kNoLeader);
            ++early;
        }
    }
    EXPECT_TRUE(seen);
    EXPECT_GT(early, 0);
}

TEST(DistributionRelay, SendsAFullSnapshotAfterTombstonesWereDropped) {
    Relay::Settings settings;
    settings.retained_records = 0;
    SimulatedFleet fleet(1, 0, settings);
    const int partitioned = fleet.add_gateway();
    fleet.wait_until_ready();
    const Answer first = fleet.submit(0, change("first", {edit("route/old", "x"), edit("route/stays", "y")}));
    ASSERT_TRUE(fleet.run_until(8s, [&] { return fleet.gateway(partitioned).revision() == first.revision; }));
    const std::uint64_t before = fleet.gateway(partitioned).snapshots();
    const std::uint64_t full_before = fleet.gateway(partitioned).full_snapshots();
    fleet.cut.insert({1000, 0});
    fleet.cut.insert({0, 1000});
    // More keys are removed than the store keeps tombstones for; the absent gateway holds the first one.
    ASSERT_EQ(fleet.submit(0, change("gone", {edit("route/old", std::nullopt)})).rejection, Rejection::kNone);
    for (int i = 0; i < 9; ++i) {
        std::vector<Edit> there, gone;
        for (std::size_t k = 0; k < kMaxEdits; ++k) {
            const std::string key = "tenant/" + std::to_string(static_cast<std::size_t>(i) * kMaxEdits + k);
            there.push_back(edit(key, "z"));
            gone.push_back(edit(key, std::nullopt));
        }
        ASSERT_EQ(fleet.submit(0, change("there" + std::to_string(i), there)).rejection, Rejection::kNone);
        ASSERT_EQ(fleet.submit(0, change("gone" + std::to_string(i), gone)).rejection, Rejection::kNone);
    }
    fleet.run_for(5s);
    ASSERT_GT(fleet.running_relay(0)->store().tombstones_since(), first.revision);
    fleet.cut.clear();
    ASSERT_TRUE(fleet.run_until(40s, [&] {
        return fleet.gateway(partitioned).store().hash() == fleet.running_relay(0)->store().hash();
    }));
    EXPECT_FALSE(fleet.gateway(partitioned).store().find("route/old"));
    EXPECT_EQ(fleet.gateway(partitioned).store().find("route/stays"), "y");
    EXPECT_EQ(fleet.gateway(partitioned).full_snapshots(), full_before + 1);
    // The full snapshot comes first, not after a partial one with a wrong hash.
    EXPECT_EQ(fleet.gateway(partitioned).snapshots(), before + 1);
    for (const std::string& event : fleet.gateway_nodes[static_cast<std::size_t>(partitioned)]->events)
        EXPECT_EQ(event.find("hash"), std::string::npos) << event;
}

TEST(DistributionRelay, CompactedLogBringsUpALaggingVoterAndANewGateway) {
    Relay::Settings settings;
    settings.compact_after_entries = 20;
    settings.retained_records = 10;
    SimulatedFleet fleet(3, 1, settings);
    fleet.add_gateway();
    fleet.wait_until_ready();
    const int behind = (fleet.leader() + 1) % 3;
    fleet.crash_relay(behind);
    for (int i = 0; i < 60; ++i) {
        const Answer answer = fleet.submit(
            fleet.leader(),
            change("a" + std::to_string(i), {edit("tenant/" + std::to_string(i % 7), std::to_string(i)),
                                             edit("route/" + std::to_string(i), "r")}));
        ASSERT_EQ(answer.rejection, Rejection::kNone) << rejection_message(answer.rejection);
    }
    fleet.run_for(5s);
    EXPECT_GT(fleet.relay_nodes[static_cast<std::size_t>(fleet.leader())].disk.held.snapshot.index, 20U);
    EXPECT_LT(fleet.relay_nodes[static_cast<std::size_t>(fleet.leader())].disk.held.entries.size(), 60U);
    fleet.start_relay(behind);
    const int fresh = fleet.add_gateway();
    fleet.wait_until_ready();
    ASSERT_TRUE(fleet.run_until(10s, [&] {
        return fleet.running_relay(behind)->store().hash() == fleet.gateway(0).store().hash() &&
               fleet.gateway(fresh).store().hash() == fleet.gateway(0).store().hash();
    }));
    EXPECT_EQ(fleet.gateway(fresh).full_snapshots(), 1U);
    EXPECT_EQ(fleet.gateway(0).full_snapshots(), 0U);
    EXPECT_EQ(fleet.gateway(0).store().size(), 67U);
    // All three restart from their disks and still know the change ids.
    for (int i = 0; i < 3; ++i) fleet.crash_relay(i);
    fleet.run_for(1s);
    for (int i = 0; i < 3; ++i) fleet.start_relay(i);
    fleet.wait_until_ready();
    const Answer same =
        fleet.submit(fleet.leader(), change("a5", {edit("tenant/5", "5"), edit("route/5", "r")}));
    EXPECT_EQ(same.rejection, Rejection::kNone);
    EXPECT_LT(same.revision, 30U);
    EXPECT_EQ(fleet.submit(fleet.leader(), change("a5", {edit("tenant/5", "6")})).rejection,
              Rejection::kIdReused);
    const Answer next = fleet.submit(fleet.leader(), change("n", {edit("tenant/5", "n")}));
    ASSERT_TRUE(fleet.run_until(8s, [&] { return fleet.gateway(0).revision() == next.revision; }));
    EXPECT_EQ(fleet.gateway(0).snapshots(), 0U);
}

TEST(DistributionRelay, SlowFollowerHasBoundedUnsentBytesAndThenGetsASnapshot) {
    Relay::Settings settings;
    settings.send_window_bytes = 20'000;
    settings.snapshot_window_bytes = 30'000;
    SimulatedFleet fleet(1, 0, settings);
    Follower::Settings of;
    of.frame_timeout = 1000s;
    of.heartbeat_timeout = 1000s;
    const int slow = fleet.add_gateway(of);
    const int quick = fleet.add_gateway();
    fleet.wait_until_ready();
    const Answer before = fleet.submit(0, change("before", {edit("tenant/0", "x")}));
    ASSERT_TRUE(fleet.run_until(5s, [&] { return fleet.gateway(slow).revision() == before.revision; }));
    fleet.run_for(1s);
    const Session session = fleet.gateway_nodes[static_cast<std::size_t>(slow)]->session;
    fleet.links[session].is_stuck = true;
    std::size_t most = 0;
    for (int i = 0; i < 200; ++i) {
        const Answer answer =
            fleet.submit(0, change("a" + std::to_string(i),
                                   {edit("tenant/1", std::string(1000, static_cast<char>('a' + i % 26)))}));
        ASSERT_EQ(answer.rejection, Rejection::kNone);
        most = std::max(most, fleet.links[session].unsent);
    }
    fleet.run_for(5s);
    // At most a window and a batch that was started within it.
    EXPECT_LE(most, 2 * settings.send_window_bytes);
    EXPECT_GT(most, settings.send_window_bytes / 2);
    // The link recovers: it gets what was already sent, and then one snapshot chunk instead of 150 records.
    fleet.links[session].is_stuck = false;
    fleet.links[session].unsent = 0;
    for (const Frame& frame : fleet.links[session].received) fleet.gateway(slow).on_frame(fleet.now, frame);
    const std::uint64_t frames = fleet.running_relay(0)->traffic().frames_down;
    ASSERT_TRUE(fleet.run_until(3s, [&] {
        return fleet.gateway(slow).store().hash() == fleet.gateway(quick).store().hash() &&
               !fleet.gateway(slow).fenced(fleet.now);
    }));
    EXPECT_EQ(fleet.gateway(slow).snapshots(), 1U);
    EXPECT_EQ(fleet.gateway(slow).full_snapshots(), 0U);
    EXPECT_LE(fleet.running_relay(0)->traffic().frames_down - frames, 20U);
}

TEST(DistributionRelay, LimitsConcurrentSnapshots) {
    Relay::Settings settings;
    settings.retained_records = 5;
    settings.compact_after_entries = 10;
    settings.max_concurrent_snapshots = 2;
    settings.snapshot_window_bytes = 1000;
    SimulatedFleet fleet(1, 0, settings);
    fleet.wait_until_ready();
    std::mt19937_64 random(1);
    const auto noise = [&random] {
        std::string text(500, '\0');
        for (char& c : text) c = static_cast<char>(random());
        return text;
    };
    for (int i = 0; i < 40; ++i) {
        std::vector<Edit> edits;
        for (int k = 0; k < 20; ++k) edits.push_back(edit("tenant/" + std::to_string(i * 20 + k), noise()));
        ASSERT_EQ(fleet.submit(0, change("a" + std::to_string(i), edits)).rejection, Rejection::kNone);
    }
    fleet.run_for(3s);
    std::vector<Session> stuck_sessions;
    for (int i = 0; i < 4; ++i) {
        stuck_sessions.push_back(fleet.open_session(0, Role::kGateway));
        fleet.links[stuck_sessions.back()].is_stuck = true;  // before anything is sent to it
        fleet.run_for(100ms);
    }
    const auto chunks = [&](Session session) {
        const auto& received = fleet.links[session].received;
        return std::count_if(received.begin(), received.end(),
                             [](const Frame& frame) { return std::holds_alternative<SnapshotChunk>(frame); });
    };
    // 400 kB are seven chunks: two snapshots start and stop after the first chunk.
    EXPECT_EQ(chunks(stuck_sessions[0]), 1);
    EXPECT_EQ(chunks(stuck_sessions[1]), 1);
    EXPECT_EQ(chunks(stuck_sessions[2]), 0);
    EXPECT_EQ(chunks(stuck_sessions[3]), 0);
    for (int i = 0; i < 100; ++i) {
        for (const Session session : stuck_sessions) fleet.links[session].unsent = 0;
        fleet.run_for(20ms);
    }
    for (const Session session : stuck_sessions) {
        const SnapshotChunk* last = fleet.last_received<SnapshotChunk>(session);
        ASSERT_TRUE(last);
        EXPECT_TRUE(last->is_last);
    }
}

TEST(DistributionRelay, LimitsTheJoinRateAfterARelayFails) {
    Relay::Settings settings;
    settings.max_followers = 1500;
    settings.joins_per_s = 100;
    SimulatedFleet fleet(1, 2, settings);
    std::vector<int> ids;
    for (int i = 0; i < 1000; ++i) {
        Follower::Settings of;
        of.relays = {1, 2};
        of.nearest_count = 1;
        ids.push_back(fleet.add_gateway(of));
    }
    // All gateways follow one of the two relays.
    ASSERT_TRUE(fleet.run_until(60s, [&] {
        return fleet.running_relay(1)->followers() + fleet.running_relay(2)->followers() == 1000;
    }));
    const std::size_t lost = fleet.running_relay(1)->followers();
    ASSERT_GT(lost, 300U);
    fleet.opened_at.clear();
    fleet.crash_relay(1);
    const Timestamp killed = fleet.now;
    ASSERT_TRUE(fleet.run_until(60s, [&] { return fleet.running_relay(2)->followers() == 1000; }));
    RecordProperty("all_back_ms", std::to_string((fleet.now - killed) / 1ms));
    std::printf(
        "%zu lost their relay, all followed again after %lld ms, %zu connections opened, %llu rejected\n",
        lost, static_cast<long long>((fleet.now - killed) / 1ms), fleet.opened_at[2].size(),
        static_cast<unsigned long long>(fleet.running_relay(2)->traffic().rejected_joins));
    // Followers join at the join rate, not faster and not much slower; rejected ones stay within their budget
    // of attempts.
    const double seconds = std::chrono::duration<double>(fleet.now - killed).count();
    EXPECT_GE(seconds, static_cast<double>(lost) / 100 - 1);
    EXPECT_LE(seconds, static_cast<double>(lost) / 100 * 3 + 5);
    EXPECT_LE(static_cast<double>(fleet.opened_at[2].size()),
              static_cast<double>(lost) * (3 + 0.7 * seconds));
    for (const int id : ids)
        EXPECT_FALSE(fleet.gateway(id).fenced(fleet.now) && fleet.gateway(id).connected_relay() != 2);
}

TEST(DistributionRelay, FullRelayRejectsFollowersAndAdmitsTools) {
    Relay::Settings settings;
    settings.max_followers = 2;
    SimulatedFleet fleet(1, 0, settings);
    fleet.add_gateway();
    fleet.add_gateway();
    fleet.wait_until_ready();
    const Session third = fleet.open_session(0, Role::kGateway);
    fleet.run_for(100ms);
    ASSERT_TRUE(fleet.last_received<Away>(third));
    EXPECT_EQ(fleet.last_received<Away>(third)->reason, Rejection::kTooManyFollowers);
    EXPECT_GE(fleet.last_received<Away>(third)->after_ms, 250);
    EXPECT_FALSE(fleet.links[third].is_open);
    // A tool is admitted.
    EXPECT_EQ(fleet.submit(0, change("a", {edit("tenant/1", "a")})).rejection, Rejection::kNone);
    EXPECT_EQ(fleet.running_relay(0)->followers(), 2U);
}

TEST(DistributionRelay, WithdrawsAChangeUnsupportedByManyAndFencesKeysWhereUnsupportedByFew) {
    SimulatedFleet fleet(3, 1);
    for (int i = 0; i < 20; ++i) fleet.add_gateway();
    fleet.wait_until_ready();
    // Two of twenty are not more than a tenth; three are.
    const Answer few = fleet.submit(0, change("few", {edit("tenant/1", "bad 2"), edit("tenant/2", "x")}));
    ASSERT_EQ(few.rejection, Rejection::kNone);
    const Answer many = fleet.submit(3, change("many", {edit("tenant/1", "bad 3")}));
    ASSERT_EQ(many.rejection, Rejection::kNone);
    const Answer after = fleet.submit(2, change("after", {edit("tenant/3", "y")}));
    ASSERT_TRUE(fleet.run_until(8s, [&] {
        return std::all_of(
            fleet.gateway_nodes.begin(), fleet.gateway_nodes.end(),
            [&](const auto& gateway_node) { return gateway_node->follower->revision() == after.revision; });
    }));
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(fleet.gateway(i).store().find("tenant/1"), "bad 2");
        EXPECT_EQ(fleet.gateway(i).fenced("tenant/1"), i < 2);
        EXPECT_FALSE(fleet.gateway(i).fenced("tenant/2"));
    }
    std::string withdrawal_event;
    for (const auto& node : fleet.relay_nodes) {
        for (const std::string& event : node.events) {
            if (event.find("withdraw") == 0) withdrawal_event = event;
        }
    }
    EXPECT_NE(withdrawal_event.find("3 of 20"), std::string::npos) << withdrawal_event;
    EXPECT_NE(withdrawal_event.find("gateway-"), std::string::npos) << withdrawal_event;
    // A supported value ends the fencing of the key.
    const Answer supported = fleet.submit(0, change("well", {edit("tenant/1", "good")}));
    ASSERT_TRUE(fleet.run_until(8s, [&] { return fleet.gateway(0).revision() == supported.revision; }));
    EXPECT_FALSE(fleet.gateway(0).fenced("tenant/1"));
}

TEST(DistributionRelay, ServesOthersDespiteRandomFramesFromFollowers) {
    SimulatedFleet fleet(1, 0);
    fleet.add_gateway();
    fleet.wait_until_ready();
    for (int i = 0; i < 5; ++i)
        ASSERT_EQ(
            fleet.submit(0, change("a" + std::to_string(i), {edit("tenant/1", std::to_string(i))})).rejection,
            Rejection::kNone);
    fleet.run_for(3s);
    std::mt19937_64 random(11);
    const auto number = [&]() -> LogIndex {
        return random() % 5 == 0 ? random() >> (random() % 64) : random() % 14;
    };
    const auto few = [&] { return static_cast<std::uint32_t>(random() % 4); };
    std::map<Rejection, int> rejections;
    int served = 0;
    for (int i = 0; i < 600; ++i) {
        Hello hello;
        hello.name = "by hand";
        hello.last_index = number();
        hello.last_term = random() % 3;
        hello.applied_index = number();
        hello.needs_full_state = random() % 8 == 0;
        const Session session = fleet.open_session(0, static_cast<Role>(random() % 3), hello);
        for (int frame = 0; frame < 4; ++frame) {
            Ack ack;
            ack.last_index = number();
            ack.activation_index = number();
            ack.gateways = few();
            ack.fenced = few();
            if (random() % 3 == 0) ack.replicated = {{number(), few()}, {number(), few()}};
            if (random() % 3 == 0) ack.unsupported = {{number(), few(), {"x"}}};
            std::string bytes =
                random() % 6 == 0 ? write(Submit{1, change("r" + std::to_string(i), {})}) : write(ack);
            if (random() % 5 == 0) bytes[4 + random() % (bytes.size() - 4)] = static_cast<char>(random());
            fleet.run_for(20ms);
            fleet.send_bytes(session, bytes);
        }
        fleet.run_for(50ms);
        if (const Error* error = fleet.last_received<Error>(session)) {
            ++rejections[error->rejection];
            EXPECT_FALSE(fleet.links[session].is_open);
        } else {
            ++served;
        }
        if (random() % 2) {
            fleet.links[session].is_open = false;
            fleet.running_relay(0)->on_session_closed(fleet.now, session);
        }
        ASSERT_FALSE(fleet.gateway(0).fenced(fleet.now));
    }
    EXPECT_GT(rejections[Rejection::kFalseAcknowledgement], 50);
    EXPECT_GT(rejections[Rejection::kMalformed], 50);
    EXPECT_GT(served, 5);
    EXPECT_EQ(fleet.gateway(0).connection_attempts(), 1U);
    const Answer last = fleet.submit(0, change("last", {edit("tenant/1", "last")}));
    EXPECT_TRUE(fleet.run_until(8s, [&] { return fleet.gateway(0).revision() == last.revision; }));
    // Silent sessions time out.
    fleet.run_for(10s);
    EXPECT_EQ(fleet.running_relay(0)->followers(), 1U);
    EXPECT_EQ(fleet.running_relay(0)->gateways(), 1U);
}

// Checks the gateways under faults every 10 ms: two unfenced gateways may have different revisions for at
// most Follower::max_divergence() after the first of the two activated the newer revision.
class DivergenceAudit {
public:
    explicit DivergenceAudit(SimulatedFleet& fleet) : fleet_(fleet) {}
    void check_gateways() {
        for (std::size_t i = 0; i < fleet_.gateway_nodes.size(); ++i) {
            const Follower& follower = *fleet_.gateway_nodes[i]->follower;
            // A revision has the same state on every gateway.
            const auto known = hashes_.emplace(follower.revision(), follower.store().hash());
            EXPECT_EQ(known.first->second, follower.store().hash()) << "at revision " << follower.revision();
            first_.emplace(follower.revision(), fleet_.now);
        }
        for (const auto& gateway_node : fleet_.gateway_nodes) {
            if (gateway_node->follower->fenced(fleet_.now)) continue;
            // The next revision that any gateway has activated, and when.
            const auto next = first_.upper_bound(gateway_node->follower->revision());
            if (next != first_.end()) longest = std::max(longest, fleet_.now - next->second);
        }
    }
    Duration longest{};

private:
    SimulatedFleet& fleet_;
    std::map<LogIndex, std::uint64_t> hashes_;
    std::map<LogIndex, Timestamp> first_;
};

TEST(DistributionRelay, RandomFaultsKeepDivergenceBoundedAndTheFleetConverges) {
    Duration longest{};
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937_64 random(seed);
        Relay::Settings settings;
        settings.compact_after_entries = 15;
        settings.retained_records = seed % 2 ? 5 : 1000;
        SimulatedFleet fleet(3, 2, settings);
        for (int i = 0; i < 8; ++i) fleet.add_gateway();
        fleet.wait_until_ready();
        DivergenceAudit audit(fleet);
        int given = 0;
        const auto some = [&](int most) { return static_cast<int>(random() % static_cast<unsigned>(most)); };
        for (int step = 0; step < 60; ++step) {
            switch (some(8)) {
                case 0:
                case 1:
                case 2: {
                    const int relay = some(5);
                    if (!fleet.running_relay(relay)) break;
                    const Session session = fleet.open_session(relay);
                    const std::string value = std::to_string(given);
                    fleet.run_for(30ms);
                    fleet.send_frame(
                        session,
                        Submit{1, change("id" + value, {edit("tenant/" + std::to_string(some(5)), value)})});
                    ++given;
                    break;
                }
                case 3: {
                    const int from = some(5), to = some(5);
                    fleet.cut.insert({from, to});
                    if (some(2)) fleet.cut.insert({to, from});
                    break;
                }
                case 4: {
                    const int gateway_node = 1000 + some(8), relay = some(5);
                    fleet.cut.insert({gateway_node, relay});
                    fleet.cut.insert({relay, gateway_node});
                    break;
                }
                case 5:
                    fleet.cut.clear();
                    break;
                case 6: {
                    const int relay = some(5);
                    if (fleet.running_relay(relay)) {
                        fleet.crash_relay(relay);
                    } else {
                        fleet.start_relay(relay);
                    }
                    break;
                }
                default:
                    fleet.stalled[some(8)] = fleet.now + std::chrono::milliseconds(some(6000));
            }
            const Timestamp deadline = fleet.now + std::chrono::milliseconds(some(1500));
            while (fleet.now < deadline) {
                fleet.run_for(10ms);
                audit.check_gateways();
            }
        }
        longest = std::max(longest, audit.longest);
        EXPECT_LE(audit.longest, fleet.gateway(0).max_divergence());
        // All faults end: the last change becomes active everywhere, with the same state.
        fleet.cut.clear();
        fleet.stalled.clear();
        for (int i = 0; i < 5; ++i) {
            if (!fleet.running_relay(i)) fleet.start_relay(i);
        }
        ASSERT_TRUE(fleet.run_until(60s, [&] { return fleet.leader() >= 0; }));
        Answer last;
        for (int i = 0; i < 20; ++i) {
            last = fleet.submit(fleet.leader(), change("last", {edit("tenant/9", "last")}));
            if (last.rejection == Rejection::kNone) break;
            fleet.run_for(500ms);
        }
        ASSERT_EQ(last.rejection, Rejection::kNone);
        ASSERT_TRUE(fleet.run_until(60s, [&] {
            audit.check_gateways();
            return std::all_of(fleet.gateway_nodes.begin(), fleet.gateway_nodes.end(),
                               [&](const auto& gateway_node) {
                                   return gateway_node->follower->revision() == last.revision &&
                                          !gateway_node->follower->fenced(fleet.now);
                               });
        }));
        EXPECT_LE(audit.longest, fleet.gateway(0).max_divergence());
        for (const auto& node : fleet.relay_nodes) {
            for (const std::string& event : node.events) EXPECT_NE(event.substr(0, 5), "fault") << event;
        }
    }
    std::printf("longest divergence %lld ms\n", static_cast<long long>(longest / 1ms));
}

// ---- activation policy ----

// An ActivationPolicy with its history and the counts of one follower.
struct ActivationFixture {
    explicit ActivationFixture(ActivationPolicy::Settings settings = defaults()) : policy(settings) {}
    static ActivationPolicy::Settings defaults() { return {800ms, 350ms, 1200ms, false, 0.1}; }
    void add_change() {
        Record record;
        record.index = history.last_index() + 1;
        record.term = 1;
        record.kind = RecordKind::kChange;
        record.change = change("id" + std::to_string(record.index), {edit("tenant/1", "a")});
        history.add(record);
    }
    void add(Record record) {
        record.index = history.last_index() + 1;
        record.term = 1;
        history.add(record);
    }
    void set_gateways(std::uint32_t holding, std::uint32_t lagging, LogIndex through,
                      std::uint32_t unsupported = 0) {
        Ack ack;
        ack.last_index = 1000;
        ack.gateways = holding + lagging;
        ack.replicated = {{through, holding}, {0, lagging}};
        if (unsupported > 0) ack.unsupported = {{through, unsupported, {"g1", "g2"}}};
        counts.update(1, ack);
    }
    std::vector<Record> decide(Duration elapsed, bool has_all_counts = true) {
        return policy.decide(kStart + elapsed, history, counts, has_all_counts);
    }
    History history{History::Retention{1000, 1000000}};
    AcknowledgementCounts counts;
    ActivationPolicy policy;
};

TEST(DistributionActivation, ActivatesOnceAllGatewaysHoldTheChange) {
    ActivationFixture fixture;
    fixture.add_change();
    fixture.set_gateways(9, 1, 1);
    EXPECT_TRUE(fixture.decide(0ms).empty());
    EXPECT_TRUE(fixture.decide(1199ms).empty());
    fixture.set_gateways(10, 0, 1);
    EXPECT_TRUE(fixture.decide(1199ms, false).empty()) << "the counts do not cover all gateways yet";
    const auto decided = fixture.decide(1199ms);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided[0].kind, RecordKind::kActivate);
    EXPECT_EQ(decided[0].through_index, 1U);
    EXPECT_EQ(decided[0].activation_time, kStart + 1999ms);
    EXPECT_TRUE(fixture.decide(1400ms).empty()) << "once";
}

TEST(DistributionActivation, ActivatesAfterTheTimeoutUnlessItWaitsForAll) {
    ActivationFixture fixture;
    fixture.add_change();
    fixture.set_gateways(9, 1, 1);
    EXPECT_TRUE(fixture.decide(0ms).empty());
    EXPECT_EQ(fixture.decide(1200ms).size(), 1U);
    auto settings = ActivationFixture::defaults();
    settings.wait_for_all = true;
    ActivationFixture all(settings);
    all.add_change();
    all.set_gateways(9, 1, 1);
    EXPECT_TRUE(all.decide(0ms).empty());
    EXPECT_TRUE(all.decide(1h).empty());
    all.set_gateways(10, 0, 1);
    EXPECT_EQ(all.decide(1h).size(), 1U);
}

TEST(DistributionActivation, WithdrawsAChangeAboveTheUnsupportedShareAndContinues) {
    ActivationFixture fixture;
    fixture.add_change();
    fixture.set_gateways(10, 0, 1, 1);
    auto decided = fixture.decide(0ms);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided[0].kind, RecordKind::kActivate) << "one of ten is not more than a tenth";

    ActivationFixture more;
    more.add_change();
    more.add_change();
    more.set_gateways(10, 0, 1, 2);
    decided = more.decide(0ms);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided[0].kind, RecordKind::kWithdraw);
    EXPECT_EQ(decided[0].through_index, 1U);
    EXPECT_EQ(decided[0].reason, "2 of 10 gateways cannot take it, among them g1 g2");
    EXPECT_TRUE(more.decide(100ms).empty()) << "once";
    more.add(decided[0]);
    more.set_gateways(10, 0, 2);
    decided = more.decide(200ms);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided[0].kind, RecordKind::kActivate);
    EXPECT_EQ(decided[0].through_index, 2U);
}

TEST(DistributionActivation, ActivationTimesIncreaseAndRespectTheClockSkew) {
    auto settings = ActivationFixture::defaults();
    settings.lead = 1ms;
    ActivationFixture fixture(settings);
    fixture.set_gateways(10, 0, 1000);
    Timestamp last{};
    for (int i = 0; i < 20; ++i) {
        fixture.add_change();
        // The clock steps back now and then.
        const Duration at = i * 150ms - (i % 5 == 4 ? 5s : 0s);
        for (const Record& record : fixture.decide(at)) {
            EXPECT_GT(record.activation_time, last);
            EXPECT_GE(record.activation_time, kStart + at + 350ms);
            last = record.activation_time;
            fixture.add(record);
        }
    }
    EXPECT_GT(fixture.history.scheduled_through(), 20U);
    // A new leader whose clock is behind does not activate before earlier activations.
    ActivationPolicy next(settings);
    fixture.add_change();
    next.start_term(kStart - 60s);
    const auto decided = next.decide(kStart - 60s, fixture.history, fixture.counts, true);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_GT(decided[0].activation_time, last);
}

TEST(DistributionActivation, ActivatesChangesInQuickSuccessionTogether) {
    ActivationFixture fixture;
    fixture.set_gateways(10, 0, 1000);
    std::size_t activations = 0;
    for (int ms = 0; ms < 1000; ms += 10) {
        fixture.add_change();
        for (const Record& record : fixture.decide(std::chrono::milliseconds(ms))) {
            fixture.add(record);
            ++activations;
        }
    }
    EXPECT_LE(activations, 10U);
    EXPECT_GE(activations, 9U);
}

TEST(DistributionAcknowledgementCounts, AggregateIsBoundedAndNeverOverstates) {
    AcknowledgementCounts counts;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        Ack ack;
        ack.last_index = 1 + i % 200;
        ack.gateways = 1;
        ack.fenced = i % 10 == 0 ? 1 : 0;
        for (LogIndex number = 1; number <= ack.last_index; ++number)
            if (ack.unsupported.size() < 64)
                ack.unsupported.push_back({number, 1, {"gateway-" + std::to_string(i)}});
        counts.update(i, ack);
    }
    const Ack ack = counts.aggregate(150, 0);
    EXPECT_EQ(ack.gateways, 1000U);
    EXPECT_EQ(ack.fenced, 100U);
    EXPECT_LE(ack.replicated.size(), 64U);
    EXPECT_LE(ack.unsupported.size(), 64U);
    for (const UnsupportedCount& each : ack.unsupported)
        EXPECT_LE(each.gateway_names.size(), kMaxReportedNames);
    EXPECT_LT(write(ack).size(), 64U * 100U);
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < ack.replicated.size(); ++i) {
        sum += ack.replicated[i].gateways;
        if (i > 0) {
            EXPECT_LT(ack.replicated[i].through_index, ack.replicated[i - 1].through_index);
        }
    }
    EXPECT_EQ(sum, 1000U);
    EXPECT_EQ(ack.replicated[0].through_index, 150U);
    EXPECT_EQ(ack.replicated[0].gateways, 255U);  // those at 150 or later
    EXPECT_EQ(ack.replicated.back().through_index, 1U)
        << "counts beyond the limit are reported at the lowest index among them";
    // The aggregate never overstates replication.
    AcknowledgementCounts upstream_counts;
    upstream_counts.update(1, ack);
    EXPECT_EQ(upstream_counts.replicated_through(150), counts.replicated_through(150));
    EXPECT_LE(upstream_counts.replicated_through(40), counts.replicated_through(40));
    EXPECT_EQ(upstream_counts.unsupported(1).gateways, 1000U);
    counts.remove(0);
    EXPECT_EQ(counts.gateways(), 999U);
    // If all gateways hold all records, no list is sent.
    AcknowledgementCounts same;
    Ack one;
    one.last_index = 7;
    one.gateways = 1;
    for (std::uint64_t i = 0; i < 185; ++i) same.update(i, one);
    EXPECT_TRUE(same.aggregate(7, 0).replicated.empty());
    EXPECT_EQ(same.replicated_through(7), 185U);
}

TEST(DistributionRelay, RejectsInvalidSettingsWithDistinctMessages) {
    Relay::Settings good;
    for (int i = 0; i < 5; ++i) good.members.push_back({"r" + std::to_string(i), i % 3, i < 3});
    good.follower.relays = {1, 2};
    EXPECT_EQ(check(good), "");
    std::set<std::string> said;
    const auto wrong = [&](const std::function<void(Relay::Settings&)>& with) {
        Relay::Settings settings = good;
        with(settings);
        const std::string what = check(settings);
        EXPECT_NE(what, "");
        EXPECT_TRUE(said.insert(what).second) << what;
    };
    wrong([](auto& s) { s.members.clear(); });
    wrong([](auto& s) { s.self = 5; });
    wrong([](auto& s) { s.members[1].name = ""; });
    wrong([](auto& s) { s.members[1].name = "r0"; });
    wrong([](auto& s) { s.members[3].is_voter = true; });
    wrong([](auto& s) { s.members[1].region = 0; });
    wrong([](auto& s) {
        s.self = 4;
        s.follower.relays.clear();
    });
    wrong([](auto& s) { s.follower.relays = {9}; });
    wrong([](auto& s) { s.follower.relays = {0}; });
    wrong([](auto& s) { s.follower.relays = {1, 4}; });
    wrong([](auto& s) { s.follower.lease = Duration{}; });
    wrong([](auto& s) { s.activation_lead = 349ms; });
    wrong([](auto& s) { s.acknowledgement_timeout = -1ms; });
    wrong([](auto& s) { s.max_unsupported_share = 1.1; });
    wrong([](auto& s) { s.target_followers = 0; });
    wrong([](auto& s) { s.heartbeat_interval = 1001ms; });
    wrong([](auto& s) { s.joins_per_s = 0; });
    wrong([](auto& s) { s.max_concurrent_snapshots = 0; });
    wrong([](auto& s) { s.send_window_bytes = 0; });
    wrong([](auto& s) { s.max_pending_changes = 0; });
    Relay::Settings one;
    one.members = {{"alone", 0, true}};
    EXPECT_EQ(check(one), "");
    one.members = {{"a", 0, true}, {"b", 0, true}, {"c", 0, true}};
    EXPECT_EQ(check(one), "") << "a single region may have all voters";
}

}  // namespace
}  // namespace linnetlead::distribution
