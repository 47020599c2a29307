// A tier's accord in virtual time: the real code of each gateway, its datagrams and counter calls over links
// that lose, delay, repeat and cut, and gateways that crash, stall and come back. Every datagram, every event
// and every save is a numbered point at which a fault can be injected; one seed and one fault make one course
// of events.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/agreement/config_agreement.h"
#include "testing/run_digest.h"
#include "testing/service_models.h"
#include "testing/simulated_gateways.h"

namespace linnetlead::test_support {

struct SimulatedClusterSettings {
    int gateways = 3;
    std::uint64_t seed = 1;
    agreement::Way way = agreement::Way::kDatagrams;
    double lost = 0.07;
    Duration min_late = std::chrono::microseconds(1200), max_late = std::chrono::milliseconds(11);
    double taken_per_s = 60;  // datagrams that a gateway takes in; 0: all
    Duration max_skew{};      // between the clocks
    bool saves = false;       // what is agreed survives a crash
    // To change what an accord is made of.
    std::function<void(agreement::ConfigAgreement::Settings&)> with;
};

enum class Fault { kNone, kDrop, kDuplicate, kLate, kCrash, kStall, kPart };
const char* name_of(Fault fault);
constexpr Fault kAllFaults[] = {Fault::kDrop,  Fault::kDuplicate, Fault::kLate,
                                Fault::kCrash, Fault::kStall,     Fault::kPart};

struct Point {
    std::uint64_t number = 0;
    int gateway = 0;
    std::string what;  // "send", "save", or an event's name
};

class SimulatedCluster {
public:
    explicit SimulatedCluster(SimulatedClusterSettings settings);
    ~SimulatedCluster();

    void run_for(Duration time) { clock_.run_to(clock_.now() + time); }
    bool run_until(const std::function<bool()>& condition, Duration within);
    Timestamp now() const { return clock_.now(); }
    void at(Timestamp when, std::function<void()> act) { clock_.arm(when, std::move(act)); }

    agreement::ConfigAgreement& agreement(int gateway);
    bool runs(int gateway) const;  // there, and not stalled
    // By its own clock.
    Timestamp time_of(int gateway) const;
    std::string propose(int gateway, std::uint64_t number, const std::string& value);
    bool fenced(int gateway) { return agreement(gateway).fenced(time_of(gateway)); }

    void crash(int gateway);
    void start(int gateway);  // with what it saved, if it saves
    void forget(int gateway) { saved_[static_cast<std::size_t>(gateway)].clear(); }
    std::string& saved(int gateway) { return saved_[static_cast<std::size_t>(gateway)]; }
    void stall(int gateway, Duration time);
    void cut(int from, int to, bool is_cut);  // one way
    void part(const std::set<int>& side);     // from all that are not on it, both ways
    void heal();
    void lose(double share) { settings_.lost = share; }
    CounterModel counter;

    // What is to happen at a point. Crashed gateways start again, stalls end and parted ones are healed by
    // themselves after `fault_lasts`.
    // Points are counted from here on.
    void inject(std::function<Fault(const Point&)> how) {
        inject_ = std::move(how);
        points_ = 0;
    }
    Duration fault_lasts = std::chrono::milliseconds(3500);
    std::uint64_t points() const { return points_; }

    // Whether a gateway can act on a proposal; none: it can.
    std::function<bool(int gateway, const std::string& value)> can;
    // For parts that stand on the accord: all that they are told, by gateway.
    std::function<void(int gateway, const agreement::Record&)> record;
    std::function<void(int gateway, int from, const std::string&)> heard;
    std::function<void(int gateway)> ticked, started, crashed;
    // Of topics that are not the settings: true where it takes the question. And what is in force, of any.
    std::function<bool(int gateway, const std::string& topic, agreement::Version, const std::string& value)>
        check;
    std::function<void(int gateway, const std::string& topic, const std::string& value)> took;
    // A point of a part's own.
    Fault reach_point(int gateway, const std::string& what) { return reach(gateway, what); }

    struct Noted {
        int gateway = 0;
        agreement::ConfigAgreement::Event event;
    };
    std::vector<Noted> events;
    std::size_t count(const std::string& what) const;

    // What the auditor has seen. Rules are broken where the second is over what is stated, or the third is
    // not empty.
    Duration longest_contradiction{};
    std::string broken;
    // Of all datagrams, in the order in which they were sent.
    RunDigest sent;
    std::uint64_t datagrams = 0, bytes = 0, lost_for_want_of_room = 0;
    // All that run have the same in force, are not fenced and hold the same records.
    bool settled(std::uint64_t number);
    // Gateways that have this version in force.
    int with(std::uint64_t number);

private:
    struct Node {
        std::unique_ptr<agreement::ConfigAgreement> agreement;
        proxy::Handle tick, wake;
        Timestamp stalled_until{};
        bool dying = false;
        std::uint64_t life = 0;
        std::uint64_t saved_changes = 0;
        std::uint64_t highest = 0;  // version in force in this life
        double room = 0;            // of datagrams taken in
        Timestamp room_at{};
        std::deque<std::pair<int, std::string>> waiting;  // while it stalls
        std::vector<std::pair<int, std::string>> held_back;
    };
    Node& node(int gateway) { return nodes_[static_cast<std::size_t>(gateway)]; }
    const Node& node(int gateway) const { return nodes_[static_cast<std::size_t>(gateway)]; }
    bool stalled(const Node& one) const { return one.stalled_until > clock_.now(); }
    Fault reach(int gateway, const std::string& what);
    void tick(int gateway);
    void check_later(int gateway, std::uint64_t life, const std::string& topic, agreement::Version version,
                     bool good, Duration takes);
    void arm(int gateway);
    void save(int gateway);
    void send(int from, int to, const std::string& datagram);
    void deliver(int from, int to, const std::string& datagram);
    void count_on(int gateway, const std::string& name, double amount, Duration life);
    void audit();
    void look();

    SimulatedClusterSettings settings_;
    Clock clock_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::vector<std::string> saved_;
    std::vector<Duration> skews_;
    std::set<std::pair<int, int>> cuts_;
    std::function<Fault(const Point&)> inject_;
    std::uint64_t points_ = 0, lives_ = 0;
    std::map<std::uint64_t, std::uint64_t> contents_;  // digest in force under each number
    std::optional<Timestamp> contradicting_;
};

// Plays a scenario once to count its points, then once for each point and fault, or for every `stride`th.
struct Points {
    std::uint64_t points = 0, runs = 0;
    std::vector<std::string> failures;  // "seed 1, point 17 (send of 2), crash: WHAT"
};
// `play` builds what it plays, has `inject` told of its points before anything happens, plays, and says what
// is wrong.
using Inject = std::function<Fault(const Point&)>;
Points at_each_point(const std::function<std::string(const Inject& inject)>& play,
                     const std::vector<Fault>& faults, std::uint64_t stride = 1, std::uint64_t first = 1);
// The same of a fleet, which is handed to `prepare`.
Points at_each_point(
    const std::function<std::string(const std::function<void(SimulatedCluster&)>& prepare)>& play,
    const std::vector<Fault>& faults, std::uint64_t stride = 1, std::uint64_t first = 1);

}  // namespace linnetlead::test_support
