#include "testing/simulated_cluster.h"

#include <algorithm>
#include <utility>

namespace linnetlead::test_support {

using namespace std::chrono_literals;
using agreement::ConfigAgreement;

namespace {

constexpr Timestamp kBegan = std::chrono::hours(500000);
constexpr Duration kTickEvery = 20ms, kAuditEvery = 10ms;
constexpr std::size_t kMaxWaiting = 64;  // datagrams that the kernel keeps for a process that stalls

}  // namespace

const char* name_of(Fault fault) {
    constexpr const char* kNames[] = {"none", "drop", "repeat", "late", "crash", "stall", "part"};
    return kNames[static_cast<int>(fault)];
}

SimulatedCluster::SimulatedCluster(SimulatedClusterSettings settings)
    : settings_(std::move(settings)), clock_(kBegan), random_(settings_.seed) {
    const auto size = static_cast<std::size_t>(settings_.gateways);
    nodes_.resize(size);
    saved_.resize(size);
    std::uniform_real_distribution<double> skew(-0.5, 0.5);
    for (std::size_t i = 0; i < size; ++i)
        skews_.push_back(span_of(skew(random_) * seconds(settings_.max_skew)));
    for (int i = 0; i < settings_.gateways; ++i) {
        // Processes of a tier start within a second of each other.
        std::uniform_real_distribution<double> late(0, 0.3);
        clock_.arm(clock_.now() + span_of(late(random_)), [this, i] { start(i); });
    }
    look();
}

SimulatedCluster::~SimulatedCluster() = default;

ConfigAgreement& SimulatedCluster::agreement(int gateway) { return *node(gateway).agreement; }
bool SimulatedCluster::runs(int gateway) const {
    return node(gateway).agreement && !node(gateway).dying && !stalled(node(gateway));
}
Timestamp SimulatedCluster::time_of(int gateway) const {
    return clock_.now() + skews_[static_cast<std::size_t>(gateway)];
}

std::size_t SimulatedCluster::count(const std::string& what) const {
    return static_cast<std::size_t>(std::count_if(events.begin(), events.end(),
                                                  [&](const Noted& one) { return one.event.what == what; }));
}

std::string SimulatedCluster::propose(int gateway, std::uint64_t number, const std::string& value) {
    return agreement(gateway).propose(time_of(gateway), "settings", number, value);
}

void SimulatedCluster::start(int gateway) {
    Node& one = node(gateway);
    if (one.agreement) return;
    one = Node{};
    ConfigAgreement::Settings made;
    made.gateways = settings_.gateways;
    made.self = gateway;
    made.way = settings_.way;
    one.life = ++lives_;
    made.seed = settings_.seed * 7919 + one.life;
    made.born = static_cast<agreement::Incarnation>((clock_.now() - kBegan) / 100ms) + 1;
    if (settings_.with) settings_.with(made);
    ConfigAgreement::Outside outside;
    outside.send = [this, gateway](int to, const std::string& datagram) { send(gateway, to, datagram); };
    outside.count = [this, gateway](const std::string& name, double amount, Duration life) {
        count_on(gateway, name, amount, life);
    };
    outside.event = [this, gateway](const ConfigAgreement::Event& event) {
        events.push_back({gateway, event});
        reach(gateway, event.what);
    };
    outside.check = [this, gateway, life = one.life](const std::string& topic, agreement::Version version,
                                                     const std::string& value) {
        if (check && check(gateway, topic, version, value)) return;
        check_later(gateway, life, topic, version, !can || can(gateway, value), 5ms);
    };
    outside.in_force = [this, gateway](const std::string& topic, agreement::Version version,
                                       const std::string& value) {
        if (took) took(gateway, topic, value);
        if (topic != "settings") return;
        Node& in = node(gateway);
        if (version.number < in.highest) broken += "a version was undone by an older one; ";
        in.highest = std::max(in.highest, version.number);
        const auto [at, fresh] = contents_.try_emplace(version.number, version.digest);
        if (!fresh && at->second != version.digest) broken += "unlike contents in force under one number; ";
    };
    outside.record = [this, gateway](const agreement::Record& told) {
        if (record) record(gateway, told);
    };
    outside.heard = [this, gateway](int from, const std::string& payload) {
        if (heard) heard(gateway, from, payload);
    };
    one.agreement = std::make_unique<ConfigAgreement>(made, std::move(outside));
    if (settings_.saves && !saved(gateway).empty()) one.agreement->restore(time_of(gateway), saved(gateway));
    if (started) started(gateway);
    one.tick = clock_.arm(clock_.now() + span_of(1e-3 * static_cast<double>(gateway % 20)),
                          [this, gateway] { tick(gateway); });
}

// Beside the loop, as reading a file is; in the life that it was begun in.
void SimulatedCluster::check_later(int gateway, std::uint64_t life, const std::string& topic,
                                   agreement::Version version, bool good, Duration takes) {
    clock_.arm(clock_.now() + takes, [this, gateway, life, topic, version, good] {
        Node& one = node(gateway);
        if (!one.agreement || one.dying || one.life != life) return;
        if (stalled(one))
            return check_later(gateway, life, topic, version, good, one.stalled_until - clock_.now());
        one.agreement->checked(time_of(gateway), topic, version, good);
    });
}

void SimulatedCluster::crash(int gateway) {
    Node& one = node(gateway);
    if (crashed && one.agreement) crashed(gateway);
    clock_.disarm(one.tick);
    clock_.disarm(one.wake);
    one = Node{};
}

void SimulatedCluster::stall(int gateway, Duration time) {
    Node& one = node(gateway);
    one.stalled_until = clock_.now() + time;
    clock_.arm(one.stalled_until, [this, gateway] {
        Node& woken = node(gateway);
        if (!woken.agreement || stalled(woken)) return;
        for (const auto& [to, datagram] : std::exchange(woken.held_back, {})) send(gateway, to, datagram);
        audit();
        for (const auto& [from, datagram] : std::exchange(woken.waiting, {}))
            deliver(from, gateway, datagram);
        audit();
        tick(gateway);
    });
}

void SimulatedCluster::cut(int from, int to, bool is_cut) {
    if (is_cut) {
        cuts_.insert({from, to});
    } else {
        cuts_.erase({from, to});
    }
}

void SimulatedCluster::part(const std::set<int>& side) {
    for (int i = 0; i < settings_.gateways; ++i) {
        for (const int j : side) {
            if (side.count(i) > 0) continue;
            cut(i, j, true);
            cut(j, i, true);
        }
    }
}

void SimulatedCluster::heal() { cuts_.clear(); }

Fault SimulatedCluster::reach(int gateway, const std::string& what) {
    if (node(gateway).dying) return Fault::kCrash;
    const Point point{++points_, gateway, what};
    const Fault fault = inject_ ? inject_(point) : Fault::kNone;
    if (fault == Fault::kCrash) {
        node(gateway).dying = true;  // nothing more of it gets out
        clock_.arm(clock_.now(), [this, gateway] { crash(gateway); });
        clock_.arm(clock_.now() + fault_lasts, [this, gateway] { start(gateway); });
    } else if (fault == Fault::kStall) {
        stall(gateway, fault_lasts);
    } else if (fault == Fault::kPart) {
        part({gateway});
        clock_.arm(clock_.now() + fault_lasts, [this] { heal(); });
    }
    return fault;
}

void SimulatedCluster::arm(int gateway) {
    Node& one = node(gateway);
    const Timestamp own = time_of(gateway);
    Timestamp next = own + kTickEvery;
    if (const auto wake = one.agreement->wake_at(); wake && *wake > own) next = std::min(next, *wake);
    one.tick = clock_.arm(clock_.now() + (next - own), [this, gateway] { tick(gateway); });
}

void SimulatedCluster::tick(int gateway) {
    Node& one = node(gateway);
    if (!one.agreement || one.dying || stalled(one)) return;
    clock_.disarm(one.tick);
    one.agreement->tick(time_of(gateway));
    if (ticked) ticked(gateway);
    if (one.dying || stalled(one)) return;
    save(gateway);
    if (!one.dying && !stalled(one)) arm(gateway);
}

void SimulatedCluster::save(int gateway) {
    Node& one = node(gateway);
    if (!settings_.saves || one.saved_changes == one.agreement->changes()) return;
    one.saved_changes = one.agreement->changes();
    const std::string state = one.agreement->save();
    if (reach(gateway, "save") != Fault::kCrash) saved(gateway) = state;
}

void SimulatedCluster::send(int from, int to, const std::string& datagram) {
    Node& one = node(from);
    if (one.dying) return;
    if (stalled(one)) return void(one.held_back.emplace_back(to, datagram));
    const Fault fault = reach(from, "send");
    if (fault == Fault::kCrash || fault == Fault::kDrop) return;
    if (fault == Fault::kStall) return void(one.held_back.emplace_back(to, datagram));
    ++datagrams;
    sent.add(static_cast<std::uint64_t>(from));
    sent.add(static_cast<std::uint64_t>(to));
    sent.add(std::string_view(datagram));
    bytes += datagram.size();
    std::uniform_real_distribution<double> chance,
        late(seconds(settings_.min_late), seconds(settings_.max_late));
    const int copies = fault == Fault::kDuplicate ? 3 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const Duration more = fault == Fault::kLate ? 700ms : copy * 400ms;
        const bool is_lost = chance(random_) < settings_.lost;
        const Duration way = span_of(late(random_));
        if (is_lost) continue;
        clock_.arm(clock_.now() + way + more, [this, from, to, datagram] { deliver(from, to, datagram); });
    }
}

void SimulatedCluster::deliver(int from, int to, const std::string& datagram) {
    Node& one = node(to);
    if (!one.agreement || one.dying || cuts_.count({from, to}) > 0) return;
    if (stalled(one)) {
        if (one.waiting.size() < kMaxWaiting) one.waiting.emplace_back(from, datagram);
        return;
    }
    if (settings_.taken_per_s > 0) {
        one.room = std::min(settings_.taken_per_s,
                            one.room + seconds(clock_.now() - one.room_at) * settings_.taken_per_s);
        one.room_at = clock_.now();
        if (one.room < 1) return void(++lost_for_want_of_room);
        one.room -= 1;
    }
    one.agreement->heard(time_of(to), from, datagram);
}

void SimulatedCluster::count_on(int gateway, const std::string& name, double amount, Duration life) {
    if (reach(gateway, "count") == Fault::kCrash) return;
    const bool is_cut = cuts_.count({gateway, gateway}) > 0;
    const auto total = is_cut ? std::nullopt : counter.tally(clock_.now(), name, amount, life);
    clock_.arm(clock_.now() + (total ? 3ms : 80ms), [this, gateway, name, total] {
        if (runs(gateway))
            agreement(gateway).counted(time_of(gateway), name, total.has_value(), total.value_or(0));
    });
}

bool SimulatedCluster::run_until(const std::function<bool()>& condition, Duration within) {
    const Timestamp end = clock_.now() + within;
    while (!condition()) {
        if (clock_.now() >= end) return false;
        clock_.run_to(std::min(end, clock_.now() + kAuditEvery));
    }
    return true;
}

// Two that act in full under unlike versions contradict each other.
void SimulatedCluster::audit() {
    std::optional<agreement::Version> one;
    bool contradiction = false;
    for (int i = 0; i < settings_.gateways; ++i) {
        if (!runs(i) || fenced(i)) continue;
        const agreement::Version version = agreement(i).in_force("settings");
        if (!one) {
            one = version;
        } else if (!(*one == version)) {
            contradiction = true;
        }
    }
    if (!contradiction) {
        contradicting_.reset();
    } else {
        if (!contradicting_) contradicting_ = clock_.now();
        longest_contradiction = std::max(longest_contradiction, clock_.now() - *contradicting_ + kAuditEvery);
    }
}

void SimulatedCluster::look() {
    audit();
    clock_.arm(clock_.now() + kAuditEvery, [this] { look(); });
}

int SimulatedCluster::with(std::uint64_t number) {
    int found = 0;
    for (int i = 0; i < settings_.gateways; ++i) {
        if (runs(i) && agreement(i).in_force("settings").number == number) ++found;
    }
    return found;
}

bool SimulatedCluster::settled(std::uint64_t number) {
    std::optional<std::uint64_t> records;
    for (int i = 0; i < settings_.gateways; ++i) {
        if (!runs(i) || fenced(i) || agreement(i).in_force("settings").number != number) return false;
        const std::uint64_t hash = agreement(i).records().hash();
        if (records && *records != hash) return false;
        records = hash;
    }
    return true;
}

Points at_each_point(const std::function<std::string(const Inject&)>& play, const std::vector<Fault>& faults,
                     std::uint64_t stride, std::uint64_t first) {
    Points all;
    std::vector<std::string> names;
    const std::string calm = play([&names](const Point& point) {
        names.push_back(point.what + " of " + std::to_string(point.gateway));
        return Fault::kNone;
    });
    all.points = names.size();
    if (!calm.empty()) all.failures.push_back("without a fault: " + calm);
    for (std::uint64_t number = first; number <= all.points; number += stride) {
        for (const Fault fault : faults) {
            const std::string wrong = play([number, fault](const Point& point) {
                return point.number == number ? fault : Fault::kNone;
            });
            ++all.runs;
            if (wrong.empty()) continue;
            all.failures.push_back("point " + std::to_string(number) + " (" +
                                   names[static_cast<std::size_t>(number - 1)] + "), " + name_of(fault) +
                                   ": " + wrong);
        }
    }
    return all;
}

Points at_each_point(const std::function<std::string(const std::function<void(SimulatedCluster&)>&)>& play,
                     const std::vector<Fault>& faults, std::uint64_t stride, std::uint64_t first) {
    const auto on_fleet = [&play](const Inject& inject) {
        return play([&inject](SimulatedCluster& fleet) { fleet.inject(inject); });
    };
    return at_each_point(on_fleet, faults, stride, first);
}

}  // namespace linnetlead::test_support
