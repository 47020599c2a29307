// A fleet over regions in virtual time: the real distribution::Relay and distribution::Follower, on
// connections whose bytes are real (write() and FrameReader at their ends) and arrive in order, late by where
// both ends are; voters' links that lose and reorder; disks that take time and lose what was not yet on them;
// clocks that differ; and an auditor of what the fleet must never do. Every send, receive, write, commit and
// adopt is a numbered point at which a fault can be injected; one seed and one fault make one course of
// events.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/distribution/relay.h"
#include "testing/run_digest.h"
#include "testing/simulated_cluster.h"
#include "testing/simulated_gateways.h"

namespace linnetlead::test_support {

struct SimulatedRegionsSettings {
    int regions = 6, zones = 14, relays = 40, voters = 5, gateways = 74;
    std::uint64_t seed = 1;
    // One way; between two regions always the same.
    Duration min_across = std::chrono::milliseconds(20), max_across = std::chrono::milliseconds(120);
    Duration min_within = std::chrono::microseconds(500), max_within = std::chrono::milliseconds(2);
    double lost = 0.01;             // share of frames: on a connection late by a repeat, between voters gone
    bool voters_by_streams = true;  // else their messages overtake each other
    Duration min_write = std::chrono::milliseconds(5), max_write = std::chrono::milliseconds(20);
    Duration between_clocks = std::chrono::milliseconds(350);  // each is off by up to half of it
    double rate = 10e6;                                        // bytes a second of a connection, each way
    bool saves = true;                                         // gateways keep their state beside them
    Duration start_within = std::chrono::milliseconds(300);
    Duration audit_every = std::chrono::milliseconds(5);
    std::size_t max_unsent = 3 * 1024 * 1024;  // stated bound of what waits for one follower
    bool timed = false;  // processor time of relays and gateways is told apart from the model's
    std::function<void(distribution::Follower::Settings&, int gateway)> with_gateway;
    std::function<void(distribution::Relay::Settings&, int relay)> with_relay;
};

// Who is down comes back with this.
enum class Back { kNewest, kOld, kNothing };

class SimulatedRegions {
public:
    explicit SimulatedRegions(SimulatedRegionsSettings settings);
    ~SimulatedRegions();

    void run_for(Duration time) { clock_.run_to(clock_.now() + time); }
    bool run_until(const std::function<bool()>& condition, Duration within);
    Timestamp now() const { return clock_.now(); }
    void at(Timestamp when, std::function<void()> act) { clock_.arm(when, std::move(act)); }

    // Nodes by number: the relays first (those that vote before the others), then gateways and outsiders as
    // they come.
    int relays() const { return settings_.relays; }
    const std::vector<int>& gateways() const { return gateways_; }
    distribution::Relay& relay(int node);
    distribution::Follower& gateway(int node);
    bool runs(int node) const;  // there, and not stalled
    Timestamp born(int node) const { return nodes_[static_cast<std::size_t>(node)].born; }  // its process
    bool is_relay(int node) const { return node < settings_.relays; }
    int zone_of(int node) const { return nodes_[static_cast<std::size_t>(node)].zone; }
    int region_of(int node) const { return zone_of(node) % settings_.regions; }
    Timestamp time_of(int node) const;  // by its own clock
    bool fenced(int node) { return gateway(node).fenced(time_of(node)); }
    std::optional<int> leader() const;  // that runs and leads by the highest term
    std::set<int> in_region(int region) const, in_zone(int zone) const;

    int add_gateway(int zone);
    void remove(int node);  // does not come back

    // What is given to a relay (none: to any that runs), and again to another until it is answered.
    struct Given {
        distribution::Change change;
        Timestamp at{};  // first
        std::optional<distribution::Rejection> answer;
        distribution::Number number = 0;
        Timestamp answered{};
        std::string words;
        int tries = 0;
    };
    std::string give(distribution::Change change, std::optional<int> relay = {});
    const std::map<std::string, Given>& given() const { return given_; }
    bool answered(const std::string& id) const;
    // Of the gateways that run: have the change in force, and are not fenced.
    int with(distribution::Number change);
    // The same of those that ran when it was given, in the same life; and how many those are.
    std::pair<int, int> with_of(const std::string& id);
    int running() const;

    // From outside the fleet: a tool, or a follower that lies.
    int outsider(int zone, std::function<void(distribution::Session, const distribution::Frame&)> heard,
                 std::function<void(distribution::Session)> closed = {});
    distribution::Session dial(int outsider, int relay);
    void tell(distribution::Session session, const distribution::Frame& frame);
    void tell_bytes(distribution::Session session, const std::string& bytes);
    void hang_up(distribution::Session session);

    // Faults. A process that crashes has its connections closed by its system; a machine that fails has not.
    void crash(int node, bool machine = false);
    void wipe(int node) { nodes_[static_cast<std::size_t>(node)].disk = {}; }  // while it is down
    void start(int node, Back back = Back::kNewest);
    void stall(int node, Duration time);
    void reset(int node);  // its connections
    void cut(int from, int to, bool is_cut);
    void cut_regions(int from, int to, bool is_cut);  // one way
    void isolate(int node, bool is_isolated);
    void part(const std::set<int>& side);  // from all that are not on it, both ways
    void heal_links();                     // all cuts but those of single nodes
    void heal();
    void rate(int node, double bytes_per_s) { nodes_[static_cast<std::size_t>(node)].rate = bytes_per_s; }
    void clock_off(int node, Duration by) { nodes_[static_cast<std::size_t>(node)].off = by; }
    // What arrives at a node, before it takes it: for what a broken peer would send.
    std::function<void(int from, int to, distribution::Frame&)> forge;
    void inject(std::function<Fault(const Point&)> how) {
        inject_ = std::move(how);
        points_ = 0;
    }
    Duration fault_lasts = std::chrono::milliseconds(3500);
    std::function<Back(int node)> comes_back;  // none: with the newest
    std::uint64_t points() const { return points_; }
    void fault_until(Timestamp end) { last_fault_ = std::max(last_fault_, end); }
    Timestamp last_fault() const { return last_fault_; }  // its end

    // Which edits a gateway cannot act on; none: it can.
    std::function<std::vector<std::size_t>(int node, const distribution::Change&)> cannot;
    std::function<std::string(const distribution::Edit&)> readable;

    // ---- what the auditor has seen ----
    // How long a gateway that was not fenced acted on what another had gone on from: never above W.
    Duration longest_contradiction{};
    Duration stated_contradiction();
    // Rules broken, by name, with the first instance: "contradiction", "history", "mixture", "early",
    // "withdrawn", "backwards", "bounds".
    const std::map<std::string, std::string>& broken() const { return broken_; }
    std::string broken_rules() const;  // in a line; empty: none
    // All that run have the newest settlement in force, the same state and records, and are not fenced; all
    // that was given is answered, and what was taken is in force or withdrawn.
    bool agreed();
    std::string disagreement();  // why not, in words
    bool withdrawn(distribution::Number change) const { return withdrawn_.count(change) > 0; }
    distribution::Number settled() const { return settled_.empty() ? 0 : settled_.rbegin()->first; }
    // The settlement that put the change in force; 0: none yet.
    distribution::Number settlement_of(distribution::Number change) const;
    Timestamp instant_of(distribution::Number settlement) const { return settled_.at(settlement).instant; }
    const distribution::ResourceStore& model() const { return model_; }
    const std::map<distribution::Number, distribution::Record>& log() const { return log_; }

    struct Traffic {  // with 40 bytes of headers a segment, and acknowledgements
        std::uint64_t frames_out = 0, frames_in = 0, bytes_out = 0, bytes_in = 0;
        std::uint64_t connects = 0;
        std::uint64_t voter_frames = 0, voter_bytes = 0;  // of those sent
    };
    const Traffic& traffic(int node) const { return nodes_[static_cast<std::size_t>(node)].traffic; }
    double relay_seconds = 0, gateway_seconds = 0;  // of the processor, if timed
    std::size_t max_unsent = 0;                     // of one connection down
    std::size_t max_followers_seen = 0;             // of a relay
    std::map<std::string, std::uint64_t> told;      // events by name
    std::deque<std::string> lines;                  // the last events
    // Of all frames and voters' messages sent, with their virtual time, and of all events.
    std::uint64_t run_digest() const { return run_digest_.value(); }
    std::function<void(int node, const std::string& what, const std::string& text)> event;

private:
    using Session = distribution::Session;
    enum class Kind { kRelay, kGateway, kOutsider };
    struct Node {
        Kind kind = Kind::kGateway;
        int zone = 0;
        Duration off{};
        double rate = 0;
        bool is_machine_down = false, is_removed = false, dying = false;
        int isolated = 0, side = 0;
        std::uint64_t life = 0;
        Timestamp born{};
        std::unique_ptr<distribution::Relay> relay;
        std::unique_ptr<distribution::Follower> follower;
        std::function<void(Session, const distribution::Frame&)> heard;
        std::function<void(Session)> closed;
        proxy::Handle tick;
        Timestamp next_tick{}, stalled_until{};
        std::vector<std::function<void()>> held_back;  // while it stalls
        Session above = 0;                             // to the relay that it follows, or its try
        std::set<Session> below;
        distribution::Relay::Disk disk;
        std::optional<raft::Ready> writing;
        std::vector<std::string> saved;  // the oldest kept first
        distribution::Number committed = 0, in_force = 0, revision = 0;
        Traffic traffic;
    };
    struct Parcel {
        enum class Kind { kOpen, kBytes, kEnd } kind = Kind::kBytes;
        Timestamp due{};
        std::shared_ptr<const std::string> bytes;
        bool is_late = false;
    };
    struct Way {
        std::deque<Parcel> parcels;
        Timestamp busy_until{}, last_due{}, stuck_since{};
        Duration backoff{};
        std::size_t bytes = 0;
        proxy::Handle timer;
        distribution::FrameReader reader;
    };
    struct Link {
        int below = 0, above = 0;
        std::uint64_t below_life = 0, above_life = 0;
        bool below_open = true, above_open = false, connected = false;
        Way up, down;
    };
    Node& node(int number) { return nodes_[static_cast<std::size_t>(number)]; }
    const Node& node(int number) const { return nodes_[static_cast<std::size_t>(number)]; }
    bool is_up(const Node& one) const;  // its process is there
    bool stalled(const Node& one) const { return one.stalled_until > clock_.now(); }
    bool is_cut(int from, int to) const;
    Duration delay(int from, int to);
    Fault reach(int node, const char* what);
    void start_relay(int node);
    void start_gateway(int node, Back back);
    void arm(int node);
    void tick(int node);
    template <typename What>
    void act(int node, const What& what);  // then look at what came of it
    void after(int node);
    bool hold(int node, std::function<void()> act);
    void note(int node, const std::string& what, const std::string& text);
    void digest_sent(int from, int to, const std::string& bytes);

    Session connect(int below, int above);
    void hang_up_above(int node);
    void send(Session session, bool up, const distribution::Frame& frame);
    void put(Session session, bool up, Parcel parcel, Duration more);
    void arm(Session session, bool up);
    void deliver(Session session, bool up, bool is_again);
    void take(Session session, bool up, const std::string& bytes);
    void end(Session session, bool below);  // this side is gone; tells the other
    void is_gone(Session session, bool below);
    void drop(Session session);
    void count(int from, int to, std::size_t bytes);
    std::size_t unsent(Session session);
    void to_voter(int from, int to, const std::string& message);
    void deliver_voter(int from, int to, const std::shared_ptr<const std::string>& bytes, bool is_again);
    void write(int node, const raft::Ready& ready);
    void written(int node, std::uint64_t life);
    static void apply(distribution::Relay::Disk& disk, const raft::Ready& ready);
    void offer(const std::string& id, std::optional<int> relay);

    void look();
    void audit();
    void breaks(const char* rule, const std::string& how);
    void seen(int node, const distribution::Record& record);
    void follow_log();
    void adopt(int node);
    void check_state(int node);

    SimulatedRegionsSettings settings_;
    Clock clock_;
    RunDigest run_digest_;
    std::mt19937_64 random_;
    std::vector<distribution::Relay::Place> places_;
    std::deque<Node> nodes_;
    std::vector<int> gateways_;
    std::vector<std::vector<Duration>> across_;  // by regions
    std::set<std::pair<int, int>> cuts_, region_cuts_;
    std::unordered_map<Session, Link> links_;
    Session sessions_ = 0;
    std::uint64_t lives_ = 0, points_ = 0;
    std::function<Fault(const Point&)> inject_;
    Timestamp last_fault_{};
    std::map<std::string, Given> given_;
    std::map<int, int> operators_;                                    // outsiders that give changes, by zone
    std::unordered_map<Session, std::pair<std::string, int>> asked_;  // by them: id and try
    std::map<std::pair<int, int>, Timestamp> voter_due_;

    struct Settled {
        distribution::Number revision = 0;
        Timestamp instant{};
        std::uint64_t hash = 0;
        bool differs = false;
        std::optional<Timestamp> acted;  // first by one that was not fenced
    };
    std::map<distribution::Number, distribution::Record> log_;
    distribution::Number followed_ = 0;  // of the log, without a gap
    std::map<distribution::Number, Settled> settled_;
    std::map<distribution::Number, std::string> withdrawn_;
    std::map<distribution::Number, distribution::Number> settlement_of_;
    std::set<std::string> ids_;
    std::set<distribution::Number> open_;  // changes neither in force nor withdrawn
    distribution::ResourceStore model_;
    std::map<distribution::Number, int> holders_;  // running gateways by what is in force
    std::map<std::string, std::string> broken_;
    std::size_t next_look_ = 0;
};

// A script: three voters, a relay that does not vote, five gateways; an election, a change, one that a
// gateway cannot take, the relay's crash, one that is held back, the relay's way back by a snapshot, the same
// key twice. What is wrong in the end; empty: nothing.
// `usual`: of a relay's followers; above, it asks one after the other to go.
std::string play_script(const Inject& inject, std::uint64_t seed = 1, std::size_t usual = 200);

// A small fleet drawn from the seed, changes over a few keys, and faults of every kind at random.
struct RandomPlay {
    std::string wrong;  // rules broken, or why they do not agree 8 s after the last fault's end
    Duration longest{}, stated{};
    std::uint64_t points = 0, faults = 0, changes = 0, withdrawn = 0, rejected = 0, snapshots = 0;
    std::uint64_t asked_to_go = 0;
    std::uint64_t digest = 0;  // SimulatedRegions::run_digest() at the end
};
// tells: prints the last events
RandomPlay play_random(std::uint64_t seed, bool tells = false, std::size_t usual = 200);

// A change of one key, and of many.
distribution::Change change_of(const std::string& id, const std::string& key, const std::string& value);
distribution::Change change_of(const std::string& id, int first, int keys, std::size_t value_bytes = 60);

}  // namespace linnetlead::test_support
