#include "testing/simulated_regions.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace linnetlead::test_support {

using namespace std::chrono_literals;
using namespace distribution;

namespace {

constexpr Timestamp kBegan = std::chrono::hours(500000);
constexpr Duration kRelayTick = 20ms, kGatewayTick = 40ms, kConditionEvery = 10ms;
constexpr Duration kFirstRepeat = 200ms, kLongestRepeat = 3200ms;  // of what a system sends again
constexpr Duration kGivesUp = 10s;  // of a system whose bytes are not acknowledged
constexpr int kMaxTries = 4;        // of a system to connect, doubling from a second on
constexpr Duration kAnswerWithin = 3s, kAskAgain = 300ms;
constexpr std::size_t kHeader = 40, kSegment = 1448;
constexpr std::size_t kMaxLines = 400, kMaxSaved = 4;
constexpr int kSmallFleet = 60;  // gateways: audited after each event

std::string text(std::uint64_t number) { return std::to_string(number); }

// What of a record tells it from another without going through thousands of edits.
bool is_same(const Record& a, const Record& b) {
    if (a.term != b.term || a.kind != b.kind || a.through_index != b.through_index ||
        a.activation_time != b.activation_time)
        return false;
    if (a.change.id != b.change.id || a.change.edits.size() != b.change.edits.size()) return false;
    const std::size_t some = std::min<std::size_t>(16, a.change.edits.size());
    for (std::size_t i = 0; i < some; ++i) {
        const Edit &one = a.change.edits[i], &other = b.change.edits[i];
        if (one.key != other.key || one.value != other.value) return false;
    }
    return true;
}

// A leader's first entry is empty.
std::optional<Record> record_of(const LogEntry& entry) {
    std::optional<Record> record = entry.body.empty() ? Record() : decode_record_body(entry.body);
    if (!record) return record;
    record->index = entry.index;
    record->term = entry.term;
    return record;
}

// Adds what it lives to a sum; of nested ones the outermost.
class Stopwatch {
public:
    Stopwatch(bool on, double& sum) : sum_(on && depth == 0 ? &sum : nullptr) {
        if (sum_) begun_ = std::chrono::steady_clock::now();
        ++depth;
    }
    Stopwatch(const Stopwatch&) = delete;
    ~Stopwatch() {
        --depth;
        if (sum_) *sum_ += std::chrono::duration<double>(std::chrono::steady_clock::now() - begun_).count();
    }

private:
    static thread_local int depth;
    double* sum_;
    std::chrono::steady_clock::time_point begun_;
};
thread_local int Stopwatch::depth = 0;

}  // namespace

SimulatedRegions::SimulatedRegions(SimulatedRegionsSettings settings)
    : settings_(std::move(settings)), clock_(kBegan), random_(settings_.seed), last_fault_(kBegan) {
    const auto regions = static_cast<std::size_t>(settings_.regions);
    std::uniform_real_distribution<double> far(seconds(settings_.min_delay_between_regions),
                                               seconds(settings_.max_delay_between_regions));
    across_.assign(regions, std::vector<Duration>(regions));
    for (std::size_t i = 0; i < regions; ++i) {
        for (std::size_t j = 0; j < i; ++j) across_[i][j] = across_[j][i] = span_of(far(random_));
    }
    std::uniform_real_distribution<double> off(-0.5, 0.5), late(0, seconds(settings_.start_within));
    const auto add = [&](Kind kind, int zone) {
        nodes_.emplace_back();
        nodes_.back().kind = kind;
        nodes_.back().zone = zone;
        nodes_.back().rate = settings_.link_bytes_per_s;
        nodes_.back().off = span_of(off(random_) * seconds(settings_.max_clock_difference));
        return static_cast<int>(nodes_.size()) - 1;
    };
    for (int i = 0; i < settings_.relays; ++i) {
        add(Kind::kRelay, i % settings_.zones);
        places_.push_back(
            {"r" + std::to_string(i), i % settings_.zones % settings_.regions, i < settings_.voters});
    }
    for (int i = 0; i < settings_.gateways; ++i)
        gateways_.push_back(add(Kind::kGateway, i % settings_.zones));
    settled_[0].hash = model_.hash();
    settled_[0].acted = kBegan;
    for (int i = 0; i < settings_.relays; ++i) start(i);
    for (const int one : gateways_) clock_.arm(kBegan + span_of(late(random_)), [this, one] { start(one); });
    look();
}

SimulatedRegions::~SimulatedRegions() = default;

Relay& SimulatedRegions::relay(int number) { return *node(number).relay; }
Follower& SimulatedRegions::gateway(int number) { return *node(number).follower; }
bool SimulatedRegions::is_up(const Node& one) const {
    return one.kind == Kind::kOutsider || one.relay || one.follower;
}
bool SimulatedRegions::is_running(int number) const {
    const Node& one = node(number);
    return is_up(one) && !one.dying && !stalled(one);
}
Timestamp SimulatedRegions::clock_of(int number) const { return clock_.now() + node(number).off; }

std::optional<int> SimulatedRegions::leader() const {
    std::optional<int> found;
    std::uint64_t term = 0;
    for (int i = 0; i < settings_.voters; ++i) {
        if (!is_running(i) || !node(i).relay->leads()) continue;
        const auto heartbeat = node(i).relay->heartbeat();
        const std::uint64_t its = heartbeat ? heartbeat->term : 0;
        if (!found || its > term) {
            found = i;
            term = its;
        }
    }
    return found;
}

std::set<int> SimulatedRegions::nodes_in_region(int region) const {
    std::set<int> found;
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
        if (region_of(i) == region) found.insert(i);
    }
    return found;
}

std::set<int> SimulatedRegions::nodes_in_zone(int zone) const {
    std::set<int> found;
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
        if (zone_of(i) == zone) found.insert(i);
    }
    return found;
}

int SimulatedRegions::add_gateway(int zone) {
    const int number = static_cast<int>(nodes_.size());
    std::uniform_real_distribution<double> off(-0.5, 0.5);
    nodes_.emplace_back();
    Node& one = nodes_.back();
    one.zone = zone;
    one.rate = settings_.link_bytes_per_s;
    one.off = span_of(off(random_) * seconds(settings_.max_clock_difference));
    gateways_.push_back(number);
    start(number);
    return number;
}

void SimulatedRegions::remove(int number) {
    crash(number);
    node(number).is_removed = true;
}

void SimulatedRegions::note(int number, const std::string& what, const std::string& words) {
    ++event_counts[what];
    run_digest_.add(static_cast<std::uint64_t>(clock_.now().count()));
    run_digest_.add(static_cast<std::uint64_t>(number));
    run_digest_.add(what);
    run_digest_.add(words);
    if (on_event) on_event(number, what, words);
    if (recent_events.size() == kMaxLines) recent_events.pop_front();
    char at[32];
    std::snprintf(at, sizeof at, "%.3f ", seconds(clock_.now() - kBegan));
    const char* kind = is_relay(number) ? "r" : "g";
    recent_events.push_back(at + (kind + std::to_string(number)) + " " + what + ": " + words);
}

void SimulatedRegions::digest_sent(int from, int to, const std::string& bytes) {
    run_digest_.add(static_cast<std::uint64_t>(clock_.now().count()));
    run_digest_.add(static_cast<std::uint64_t>(from));
    run_digest_.add(static_cast<std::uint64_t>(to));
    run_digest_.add(bytes);
}

template <typename What>
void SimulatedRegions::act(int number, const What& what) {
    {
        const Stopwatch watch(settings_.measure_processor_time,
                              is_relay(number) ? relay_seconds : gateway_seconds);
        what();
    }
    after(number);
}

// ---- processes ----

void SimulatedRegions::start(int number, RestartState back) {
    Node& one = node(number);
    if (is_up(one) || one.is_removed) return;
    one.is_machine_down = one.dying = false;
    one.life = ++lives_;
    one.born = clock_.now();
    one.stalled_until = {};
    one.committed = one.in_force = one.revision = 0;
    if (one.kind == Kind::kRelay) {
        start_relay(number);
    } else {
        start_gateway(number, back);
        ++holders_[0];
        after(number);
    }
    std::uniform_real_distribution<double> late(0, seconds(kGatewayTick));
    one.next_tick = clock_.now() + span_of(late(random_));
    one.tick = clock_.arm(one.next_tick, [this, number] { tick(number); });
}

void SimulatedRegions::start_relay(int number) {
    Node& one = node(number);
    Relay::Settings made;
    made.members = places_;
    made.self = number;
    made.seed = settings_.seed * 7919 + one.life;
    made.follower.role = Role::kRelay;
    made.follower.name = places_[static_cast<std::size_t>(number)].name;
    made.follower.seed = made.seed + 1;
    const int region = region_of(number);
    for (int i = 0; i < settings_.voters; ++i) {
        if (i != number) made.follower.relays.push_back(i);
    }
    std::stable_sort(made.follower.relays.begin(), made.follower.relays.end(), [&](int a, int b) {
        const auto from = static_cast<std::size_t>(region);
        return across_[from][static_cast<std::size_t>(region_of(a))] <
               across_[from][static_cast<std::size_t>(region_of(b))];
    });
    if (settings_.adjust_relay) settings_.adjust_relay(made, number);
    Relay::Callbacks outside;
    outside.send_to_voter = [this, number](int to, const std::string& message) {
        to_voter(number, to, message);
    };
    outside.send_to_follower = [this, number](Session session, const Frame& frame) {
        const std::size_t waits = unsent(session);
        max_unsent_bytes = std::max(max_unsent_bytes, waits);
        if (waits > settings_.max_unsent_bytes)
            breaks("bounds", text(waits) + " bytes wait for a follower of " + text(number));
        if (const auto* records = std::get_if<Records>(&frame)) {
            for (const Record& record : records->records) seen(number, record);
        }
        send(session, false, frame);
    };
    outside.unsent_bytes = [this](Session session) { return unsent(session); };
    outside.close_session = [this](Session session) { end(session, false); };
    outside.connect_upstream = [this, number](int above) { node(number).above = connect(number, above); };
    outside.disconnect_upstream = [this, number] { hang_up_above(number); };
    outside.send_upstream = [this, number](const Frame& frame) { send(node(number).above, true, frame); };
    outside.persist = [this, number](const raft::Ready& ready) { write(number, ready); };
    outside.on_event = [this, number](EventKind kind, const std::string& text) {
        note(number, event_name(kind), text);
    };
    outside.validate_value = [this](const Edit& edit) {
        return validate_value ? validate_value(edit) : std::string();
    };
    one.relay = std::make_unique<Relay>(made, std::move(outside), one.disk);
}

void SimulatedRegions::start_gateway(int number, RestartState back) {
    Node& one = node(number);
    Follower::Settings made;
    made.name = "g" + std::to_string(number);
    made.seed = settings_.seed * 104729 + one.life;
    const auto distance = [&](int relay) {
        if (zone_of(relay) == one.zone) return Duration(-2);
        if (region_of(relay) == region_of(number)) return Duration(-1);
        return across_[static_cast<std::size_t>(region_of(number))]
                      [static_cast<std::size_t>(region_of(relay))];
    };
    for (int i = 0; i < settings_.relays; ++i) made.relays.push_back(i);
    std::stable_sort(made.relays.begin(), made.relays.end(),
                     [&](int a, int b) { return distance(a) < distance(b); });
    made.nearest_count = static_cast<std::size_t>(std::count_if(
        made.relays.begin(), made.relays.end(), [&](int relay) { return zone_of(relay) == one.zone; }));
    made.nearest_count = std::max<std::size_t>(1, made.nearest_count);
    if (settings_.adjust_gateway) settings_.adjust_gateway(made, number);
    Follower::Callbacks outside;
    outside.connect = [this, number](int above) { node(number).above = connect(number, above); };
    outside.disconnect = [this, number] { hang_up_above(number); };
    outside.send = [this, number](const Frame& frame) { send(node(number).above, true, frame); };
    outside.unsupported_edits = [this, number](const Change& change) {
        return unsupported_edits ? unsupported_edits(number, change) : std::vector<std::size_t>();
    };
    outside.on_active = [this, number](LogIndex, const std::vector<std::string>&, bool) {
        reach(number, "adopt");
    };
    outside.on_fenced = [](bool) {};
    outside.on_record = [this, number](const Record& record) { seen(number, record); };
    outside.on_heartbeat = [](const Heartbeat&) {};
    outside.on_state_replaced = [] {};
    outside.on_event = [this, number](EventKind kind, const std::string& text) {
        note(number, event_name(kind), text);
    };
    one.follower = std::make_unique<Follower>(made, std::move(outside));
    if (back != RestartState::kNothing && !one.saved.empty())
        one.follower->restore(clock_of(number),
                              back == RestartState::kOld ? one.saved.front() : one.saved.back());
}

void SimulatedRegions::crash(int number, bool machine) {
    Node& one = node(number);
    if (!is_up(one)) return;
    clock_.disarm(one.tick);
    if (one.follower && --holders_[one.in_force] == 0) holders_.erase(one.in_force);
    if (one.writing && random_() % 2 == 0) apply(one.disk, *one.writing);
    one.writing.reset();
    one.is_machine_down = machine;
    one.held_back.clear();
    one.stalled_until = {};
    std::vector<std::pair<Session, bool>> sides;
    if (one.above != 0) sides.emplace_back(one.above, true);
    for (const Session session : one.below) sides.emplace_back(session, false);
    one.above = 0;
    one.below.clear();
    for (const auto& [session, below] : sides) {
        if (machine) {
            const auto at = links_.find(session);
            if (at == links_.end()) continue;
            (below ? at->second.below_open : at->second.above_open) = false;
            if (!at->second.below_open && !at->second.above_open) drop(session);
        } else {
            end(session, below);
        }
    }
    one.dying = false;
    one.relay.reset();
    one.follower.reset();
}

void SimulatedRegions::stall(int number, Duration time) {
    Node& one = node(number);
    one.stalled_until = std::max(one.stalled_until, clock_.now() + time);
    clock_.arm(one.stalled_until, [this, number, life = one.life] {
        Node& woken = node(number);
        if (!is_up(woken) || woken.dying || woken.life != life || stalled(woken)) return;
        audit();
        for (const auto& held : std::exchange(woken.held_back, {})) held();
        audit();
        tick(number);
    });
}

bool SimulatedRegions::hold(int number, std::function<void()> held) {
    Node& one = node(number);
    if (!stalled(one)) return false;
    one.held_back.push_back(std::move(held));
    return true;
}

Fault SimulatedRegions::reach(int number, const char* what) {
    Node& one = node(number);
    if (one.kind == Kind::kOutsider) return Fault::kNone;
    if (one.dying) return Fault::kCrash;
    ++points_;
    const Fault fault = inject_ ? inject_({points_, number, what}) : Fault::kNone;
    if (fault == Fault::kNone) return fault;
    const bool lasts = fault == Fault::kCrash || fault == Fault::kStall || fault == Fault::kPart;
    last_fault_ = std::max(last_fault_, clock_.now() + (lasts ? fault_lasts : Duration{}));
    if (fault == Fault::kCrash) {
        one.dying = true;  // nothing more of it gets out
        clock_.arm(clock_.now(), [this, number, life = one.life] {
            if (node(number).life == life) crash(number);
        });
        const RestartState back = restart_state ? restart_state(number) : RestartState::kNewest;
        clock_.arm(clock_.now() + fault_lasts, [this, number, back] { start(number, back); });
    } else if (fault == Fault::kStall) {
        stall(number, fault_lasts);
    } else if (fault == Fault::kPart) {
        isolate(number, true);
        clock_.arm(clock_.now() + fault_lasts, [this, number] { isolate(number, false); });
    }
    return fault;
}

void SimulatedRegions::tick(int number) {
    Node& one = node(number);
    if (!is_up(one) || one.dying || stalled(one)) return;
    clock_.disarm(one.tick);
    one.next_tick = {};
    act(number, [&] {
        if (one.relay) one.relay->tick(clock_of(number));
        if (one.follower) one.follower->tick(clock_of(number));
    });
    if (!one.dying && !stalled(one)) arm(number);
}

void SimulatedRegions::arm(int number) {
    Node& one = node(number);
    const Timestamp own = clock_of(number);
    Timestamp next = own + (one.relay ? kRelayTick : kGatewayTick);
    const auto wake = one.relay ? one.relay->wake_at() : one.follower->wake_at();
    if (wake) next = std::min(next, std::max(*wake, own + 100us));
    const Timestamp at = clock_.now() + (next - own);
    if (one.next_tick != Timestamp{} && one.next_tick <= at) return;
    clock_.disarm(one.tick);
    one.next_tick = at;
    one.tick = clock_.arm(at, [this, number] { tick(number); });
}

void SimulatedRegions::after(int number) {
    Node& one = node(number);
    if (!is_up(one) || one.dying) return;
    if (one.relay) {
        max_followers_seen = std::max(max_followers_seen, one.relay->followers());
        if (one.relay->committed() > one.committed) {
            // What came to count may go on within a snapshot, and not as a record: it is on the disk.
            const auto& entries = one.disk.entries;
            const LogIndex first = entries.empty() ? 0 : entries.front().index;
            for (LogIndex at = one.committed + 1; first > 0 && at <= one.relay->committed(); ++at) {
                if (at < first || at - first >= entries.size()) continue;
                if (const auto record = record_of(entries[at - first])) seen(number, *record);
            }
            one.committed = one.relay->committed();
            reach(number, "commit");
        }
    } else if (one.follower && one.follower->activation_index() != one.in_force) {
        adopt(number);
    }
    if (!stalled(one) && !one.dying && one.kind != Kind::kOutsider && one.next_tick != Timestamp{})
        arm(number);
    if (static_cast<int>(gateways_.size()) <= kSmallFleet) audit();
}

// ---- connections ----

bool SimulatedRegions::is_cut(int from, int to) const {
    const Node &one = node(from), &other = node(to);
    if (from == to) return false;
    if (one.isolated > 0 || other.isolated > 0 || one.side != other.side) return true;
    if (!region_cuts_.empty() && region_cuts_.count({region_of(from), region_of(to)}) > 0) return true;
    return !cuts_.empty() && cuts_.count({from, to}) > 0;
}

void SimulatedRegions::cut(int from, int to, bool cuts) {
    if (cuts) {
        cuts_.insert({from, to});
    } else {
        cuts_.erase({from, to});
    }
}

void SimulatedRegions::cut_regions(int from, int to, bool cuts) {
    if (cuts) {
        region_cuts_.insert({from, to});
    } else {
        region_cuts_.erase({from, to});
    }
}

void SimulatedRegions::isolate(int number, bool is_isolated) {
    node(number).isolated = std::max(0, node(number).isolated + (is_isolated ? 1 : -1));
}

void SimulatedRegions::partition(const std::set<int>& side) {
    for (const int one : side) node(one).side = 1;
}

void SimulatedRegions::heal_links() {
    cuts_.clear();
    region_cuts_.clear();
    for (Node& one : nodes_) one.side = 0;
}

void SimulatedRegions::heal() {
    heal_links();
    for (Node& one : nodes_) one.isolated = 0;
}

Duration SimulatedRegions::delay(int from, int to) {
    if (region_of(from) != region_of(to)) {
        std::uniform_real_distribution<double> more(0, 0.05);
        const Duration far =
            across_[static_cast<std::size_t>(region_of(from))][static_cast<std::size_t>(region_of(to))];
        return far + span_of(more(random_) * seconds(far));
    }
    std::uniform_real_distribution<double> near(seconds(settings_.min_delay_within_region),
                                                seconds(settings_.max_delay_within_region));
    return span_of(near(random_));
}

// A frame by itself in its segments; every second of them, and the last, is acknowledged.
void SimulatedRegions::count(int from, int to, std::size_t bytes) {
    const std::size_t segments = std::max<std::size_t>(1, (bytes + kSegment - 1) / kSegment);
    const std::size_t there = bytes + segments * kHeader, back = (segments + 1) / 2 * kHeader;
    Traffic &one = node(from).traffic, &other = node(to).traffic;
    ++one.frames_out;
    ++other.frames_in;
    one.bytes_out += there;
    other.bytes_in += there;
    one.bytes_in += back;
    other.bytes_out += back;
}

Session SimulatedRegions::connect(int below, int above) {
    const Session session = ++sessions_;
    Link& link = links_[session];
    link.below = below;
    link.above = above;
    link.below_life = node(below).life;
    ++node(below).traffic.connects;
    const auto attempt = std::make_shared<std::function<void(int)>>();
    *attempt = [this, session, below, above,
                again = std::weak_ptr<std::function<void(int)>>(attempt)](int tries) {
        const auto at = links_.find(session);
        if (at == links_.end() || !at->second.below_open) return;
        node(below).traffic.bytes_out += kHeader;
        if (node(above).is_machine_down || is_cut(below, above) || is_cut(above, below)) {
            if (tries == kMaxTries) return is_gone(session, true);
            const auto next = again.lock();
            clock_.arm(clock_.now() + 1s * (1 << tries), [next, tries] { (*next)(tries + 1); });
            return;
        }
        clock_.arm(clock_.now() + delay(below, above), [this, session, below, above] {
            const auto found = links_.find(session);
            if (found == links_.end() || !found->second.below_open) return;
            Link& arrived = found->second;
            const Duration back = delay(above, below);
            node(below).traffic.bytes_out += kHeader;
            node(below).traffic.bytes_in += kHeader;
            node(above).traffic.bytes_out += kHeader;
            node(above).traffic.bytes_in += 2 * kHeader;
            if (!is_up(node(above)) || node(above).dying) {
                clock_.arm(clock_.now() + back, [this, session] { is_gone(session, true); });
                return;
            }
            arrived.above_life = node(above).life;
            arrived.above_open = true;
            node(above).below.insert(session);
            Parcel open;
            open.kind = Parcel::Kind::kOpen;
            open.due = arrived.up.last_due = clock_.now();
            arrived.up.parcels.push_back(open);
            arm(session, true);
            open.due = arrived.down.last_due = clock_.now() + back;
            arrived.down.parcels.push_back(open);
            arm(session, false);
        });
    };
    // Its own first try from the loop, so that who connects knows its session by then.
    const Timestamp from = std::max(clock_.now(), node(below).stalled_until);
    clock_.arm(from, [attempt] { (*attempt)(0); });
    return session;
}

void SimulatedRegions::drop(Session session) {
    const auto at = links_.find(session);
    if (at == links_.end()) return;
    clock_.disarm(at->second.up.timer);
    clock_.disarm(at->second.down.timer);
    links_.erase(at);
}

void SimulatedRegions::end(Session session, bool below) {
    const auto at = links_.find(session);
    if (at == links_.end()) return;
    Link& link = at->second;
    bool& open = below ? link.below_open : link.above_open;
    if (!open) return;
    open = false;
    Node& one = node(below ? link.below : link.above);
    if (below && one.above == session) one.above = 0;
    if (!below) one.below.erase(session);
    if (!link.below_open && !link.above_open) return drop(session);
    // What comes from now on is answered by a reset.
    Parcel parcel;
    parcel.kind = Parcel::Kind::kEnd;
    put(session, below, parcel, {});
}

void SimulatedRegions::hang_up_above(int number) { end(node(number).above, true); }

void SimulatedRegions::is_gone(Session session, bool below) {
    const auto at = links_.find(session);
    if (at == links_.end()) return;
    Link& link = at->second;
    const int number = below ? link.below : link.above;
    Node& one = node(number);
    bool& open = below ? link.below_open : link.above_open;
    const bool was_open = open && one.life == (below ? link.below_life : link.above_life);
    if (was_open && hold(number, [this, session, below] { is_gone(session, below); })) return;
    open = false;
    if (below && one.above == session) one.above = 0;
    if (!below) one.below.erase(session);
    if (!link.below_open && !link.above_open) drop(session);
    if (!was_open || !is_up(one) || one.dying) return;
    act(number, [&] {
        if (one.kind == Kind::kOutsider) {
            if (one.closed) one.closed(session);
        } else if (one.follower) {
            one.follower->on_disconnected(clock_of(number));
        } else if (below) {
            one.relay->on_upstream_disconnected(clock_of(number));
        } else {
            one.relay->on_session_closed(clock_of(number), session);
        }
    });
}

void SimulatedRegions::reset_connections(int number) {
    Node& one = node(number);
    std::vector<Session> all(one.below.begin(), one.below.end());
    if (one.above != 0) all.push_back(one.above);
    for (const Session session : all) {
        for (const bool below : {true, false})
            clock_.arm(clock_.now(), [this, session, below] { is_gone(session, below); });
    }
}

std::size_t SimulatedRegions::unsent(Session session) {
    const auto at = links_.find(session);
    if (at == links_.end()) return 0;
    const Link& link = at->second;
    const Node& below = node(link.below);
    if (stalled(below) || below.is_machine_down || is_cut(link.above, link.below)) return link.down.bytes;
    const Duration ahead = link.down.busy_until - clock_.now();
    return ahead <= Duration{} ? 0 : static_cast<std::size_t>(seconds(ahead) * below.rate);
}

void SimulatedRegions::send(Session session, bool up, const Frame& frame) {
    const auto at = links_.find(session);
    if (at == links_.end() || !(up ? at->second.below_open : at->second.above_open)) return;
    const int from = up ? at->second.below : at->second.above;
    const int to = up ? at->second.above : at->second.below;
    if (node(from).dying) return;
    if (stalled(node(from)))
        return void(hold(from, [this, session, up, frame] { send(session, up, frame); }));
    const Fault fault = reach(from, "send");
    if (fault == Fault::kCrash) return;
    if (fault == Fault::kDrop) {
        for (const bool below : {true, false})
            clock_.arm(clock_.now(), [this, session, below] { is_gone(session, below); });
        return;
    }
    const auto bytes = std::make_shared<const std::string>(distribution::write(frame));
    digest_sent(from, to, *bytes);
    const auto leave = [this, session, up, from, to, bytes, fault] {
        if (links_.find(session) == links_.end()) return;
        std::uniform_real_distribution<double> chance;
        for (int copy = fault == Fault::kDuplicate ? 2 : 1; copy > 0; --copy) {
            Duration more = fault == Fault::kLate ? 700ms : Duration{};
            count(from, to, bytes->size());
            if (settings_.loss_share > 0 && chance(random_) < settings_.loss_share) {
                more += kFirstRepeat;
                count(from, to, std::min(bytes->size(), kSegment));
            }
            Parcel parcel;
            parcel.bytes = bytes;
            put(session, up, parcel, more);
        }
    };
    if (!hold(from, leave)) leave();
}

void SimulatedRegions::put(Session session, bool up, Parcel parcel, Duration more) {
    Link& link = links_.at(session);
    Way& way = up ? link.up : link.down;
    const int from = up ? link.below : link.above, to = up ? link.above : link.below;
    const std::size_t size = parcel.bytes ? parcel.bytes->size() : 0;
    const double rate = std::min(node(from).rate, node(to).rate);
    way.busy_until = std::max(way.busy_until, clock_.now()) + span_of(static_cast<double>(size) / rate);
    parcel.due = way.last_due = std::max(way.last_due, way.busy_until + delay(from, to) + more);
    way.bytes += size;
    way.parcels.push_back(std::move(parcel));
    if (way.parcels.size() == 1) arm(session, up);
}

void SimulatedRegions::arm(Session session, bool up) {
    Link& link = links_.at(session);
    Way& way = up ? link.up : link.down;
    way.timer = clock_.arm(way.parcels.front().due, [this, session, up] { deliver(session, up, false); });
}

void SimulatedRegions::deliver(Session session, bool up, bool is_again) {
    const auto at = links_.find(session);
    if (at == links_.end()) return;
    Link& link = at->second;
    Way& way = up ? link.up : link.down;
    if (way.parcels.empty()) return;
    const int from = up ? link.below : link.above, to = up ? link.above : link.below;
    Node& there = node(to);
    const auto again_at = [&](Timestamp when) {
        way.timer = clock_.arm(when, [this, session, up] { deliver(session, up, true); });
    };
    if (there.is_machine_down || is_cut(from, to)) {  // sent again until it is acknowledged
        if (way.stuck_since == Timestamp{}) {
            way.stuck_since = clock_.now();
            way.backoff = kFirstRepeat;
        }
        if (clock_.now() - way.stuck_since > kGivesUp) {
            way.parcels.clear();
            way.bytes = 0;
            return is_gone(session, up);
        }
        again_at(clock_.now() + way.backoff);
        way.backoff = std::min(2 * way.backoff, kLongestRepeat);
        return;
    }
    way.stuck_since = {};
    const bool open = up ? link.above_open : link.below_open;
    const std::uint64_t life = up ? link.above_life : link.below_life;
    if (!open || !is_up(there) || there.life != life) {  // its system answers with a reset
        way.parcels.clear();
        way.bytes = 0;
        clock_.arm(clock_.now() + delay(to, from), [this, session, up] { is_gone(session, up); });
        return;
    }
    if (stalled(there)) return again_at(there.stalled_until);
    if (there.dying) return;
    int copies = 1;
    if (way.parcels.front().kind == Parcel::Kind::kBytes && !is_again) {
        const Fault fault = reach(to, "receive");
        if (fault == Fault::kCrash) return;  // closed with the process
        if (fault == Fault::kStall) return again_at(there.stalled_until);
        if (fault == Fault::kPart) return again_at(clock_.now());
        if (fault == Fault::kLate) return again_at(clock_.now() + 700ms);
        if (fault == Fault::kDuplicate) copies = 2;
        if (fault == Fault::kDrop) {
            way.parcels.clear();
            way.bytes = 0;
            for (const bool below : {true, false})
                clock_.arm(clock_.now(), [this, session, below] { is_gone(session, below); });
            return;
        }
    }
    const Parcel parcel = std::move(way.parcels.front());
    way.parcels.pop_front();
    if (parcel.bytes) way.bytes -= parcel.bytes->size();
    if (!way.parcels.empty()) arm(session, up);
    if (parcel.kind == Parcel::Kind::kEnd) return is_gone(session, !up);
    if (parcel.kind == Parcel::Kind::kBytes) {
        for (; copies > 0; --copies) take(session, up, *parcel.bytes);
        return;
    }
    act(to, [&] {
        if (up) return there.relay->on_session_opened(clock_of(to), session);
        link.connected = true;
        if (there.follower) there.follower->on_connected(clock_of(to));
        if (there.relay) there.relay->on_upstream_connected(clock_of(to));
    });
}

void SimulatedRegions::take(Session session, bool up, const std::string& bytes) {
    std::string_view left = bytes;
    for (;;) {
        // What the frame before brought about may have ended the connection.
        const auto at = links_.find(session);
        if (at == links_.end() || !(up ? at->second.above_open : at->second.below_open)) return;
        Link& link = at->second;
        const int from = up ? link.below : link.above, to = up ? link.above : link.below;
        Node& one = node(to);
        if (!is_up(one) || one.dying) return;
        Frame frame;
        Rejection rejection = Rejection::kNone;
        FrameReader::State state;
        {
            const Stopwatch watch(settings_.measure_processor_time && one.kind != Kind::kOutsider,
                                  is_relay(to) ? relay_seconds : gateway_seconds);
            state = (up ? link.up : link.down).reader.take(left, frame, rejection);
        }
        if (state == FrameReader::State::kPartial) return;
        if (state == FrameReader::State::kWrong) {
            if (one.kind == Kind::kOutsider) return end(session, true);
            if (up) return act(to, [&] { one.relay->on_invalid_bytes(clock_of(to), session, rejection); });
            note(to, "wrong", distribution::rejection_message(rejection));
            end(session, true);
            return act(to, [&] {
                if (one.follower) one.follower->on_disconnected(clock_of(to));
                if (one.relay) one.relay->on_upstream_disconnected(clock_of(to));
            });
        }
        if (tamper) tamper(from, to, frame);
        if (one.kind == Kind::kOutsider) {
            if (one.heard) one.heard(session, frame);
            continue;
        }
        act(to, [&] {
            if (one.follower) return one.follower->on_frame(clock_of(to), frame);
            if (up) return one.relay->on_frame(clock_of(to), session, frame);
            one.relay->on_upstream_frame(clock_of(to), frame);
        });
    }
}

// ---- voters ----

void SimulatedRegions::to_voter(int from, int to, const std::string& message) {
    if (node(from).dying) return;
    if (stalled(node(from)))
        return void(hold(from, [this, from, to, message] { to_voter(from, to, message); }));
    const Fault fault = reach(from, "send");
    if (fault == Fault::kCrash || fault == Fault::kDrop) return;
    if (fault == Fault::kStall)
        return void(hold(from, [this, from, to, message] { to_voter(from, to, message); }));
    const auto bytes = std::make_shared<const std::string>(distribution::write(Voter{from, message}));
    digest_sent(from, to, *bytes);
    node(from).traffic.voter_bytes += bytes->size();
    ++node(from).traffic.voter_frames;
    std::uniform_real_distribution<double> chance;
    for (int copy = 0; copy < (fault == Fault::kDuplicate ? 2 : 1); ++copy) {
        Duration more = fault == Fault::kLate ? 700ms : copy * 400ms;
        count(from, to, bytes->size());
        const bool is_lost = chance(random_) < settings_.loss_share;
        if (is_lost && !settings_.voters_by_streams) continue;
        if (is_lost) more += kFirstRepeat;
        Timestamp due = clock_.now() + delay(from, to) + more +
                        span_of(static_cast<double>(bytes->size()) / settings_.link_bytes_per_s);
        if (settings_.voters_by_streams) {
            Timestamp& last = voter_due_[{from, to}];
            due = last = std::max(due, last);
        }
        clock_.arm(due, [this, from, to, bytes] { deliver_voter(from, to, bytes, false); });
    }
}

void SimulatedRegions::deliver_voter(int from, int to, const std::shared_ptr<const std::string>& bytes,
                                     bool is_again) {
    Node& one = node(to);
    if (!is_up(one) || one.dying || is_cut(from, to)) return;
    const auto again_at = [&](Timestamp when) {
        clock_.arm(when, [this, from, to, bytes] { deliver_voter(from, to, bytes, true); });
    };
    if (stalled(one)) return again_at(one.stalled_until);
    int copies = 1;
    if (!is_again) {
        const Fault fault = reach(to, "receive");
        if (fault == Fault::kCrash || fault == Fault::kDrop || fault == Fault::kPart) return;
        if (fault == Fault::kStall) return again_at(one.stalled_until);
        if (fault == Fault::kLate) return again_at(clock_.now() + 700ms);
        if (fault == Fault::kDuplicate) copies = 2;
    }
    for (; copies > 0; --copies) {
        act(to, [&] {
            FrameReader reader;
            std::string_view left = *bytes;
            Frame frame;
            Rejection rejection = Rejection::kNone;
            if (reader.take(left, frame, rejection) != FrameReader::State::kFrame) return;
            const Voter& voter = std::get<Voter>(frame);
            if (one.relay && !one.dying) one.relay->on_voter_message(clock_of(to), voter.from, voter.message);
        });
    }
}

void SimulatedRegions::write(int number, const raft::Ready& ready) {
    if (node(number).dying) return;
    for (const LogEntry& entry : ready.committed) {
        const auto record = record_of(entry);
        if (record) {
            seen(number, *record);
        } else {
            breaks("history", "no record at " + text(entry.index));
        }
    }
    if (stalled(node(number))) return void(hold(number, [this, number, ready] { write(number, ready); }));
    Node& one = node(number);
    one.writing = ready;
    const Fault fault = reach(number, "write");
    if (fault == Fault::kCrash) return;
    std::uniform_real_distribution<double> takes(seconds(settings_.min_disk_write),
                                                 seconds(settings_.max_disk_write));
    const Duration more = fault == Fault::kLate || fault == Fault::kDrop ? 700ms : 0ms;
    if (fault == Fault::kDuplicate) apply(one.disk, ready);
    clock_.arm(clock_.now() + span_of(takes(random_)) + more,
               [this, number, life = one.life] { written(number, life); });
}

void SimulatedRegions::written(int number, std::uint64_t life) {
    Node& one = node(number);
    if (!is_up(one) || one.dying || one.life != life) return;
    if (one.writing) apply(one.disk, *one.writing);
    one.writing.reset();
    if (hold(number, [this, number, life] { written(number, life); })) return;
    act(number, [&] { one.relay->on_persisted(clock_of(number)); });
}

void SimulatedRegions::apply(Relay::PersistentState& disk, const raft::Ready& ready) {
    if (ready.install) {
        disk.snapshot = *ready.install;
        disk.entries.clear();
    }
    auto& entries = disk.entries;
    const auto cut_from = [&](LogIndex number) {
        while (!entries.empty() && entries.back().index >= number) entries.pop_back();
    };
    if (ready.truncate_from != 0) cut_from(ready.truncate_from);
    if (!ready.append.empty()) cut_from(ready.append.front().index);  // the same write again
    entries.insert(entries.end(), ready.append.begin(), ready.append.end());
    if (ready.hard) disk.hard_state = *ready.hard;
    if (ready.compact && ready.compact->index > disk.snapshot.index) {
        disk.snapshot = *ready.compact;
        const auto stays = std::find_if(entries.begin(), entries.end(), [&](const LogEntry& entry) {
            return entry.index > disk.snapshot.index;
        });
        entries.erase(entries.begin(), stays);
    }
}

// ---- from outside ----

int SimulatedRegions::outsider(int zone, std::function<void(Session, const Frame&)> heard,
                               std::function<void(Session)> closed) {
    nodes_.emplace_back();
    Node& one = nodes_.back();
    one.kind = Kind::kOutsider;
    one.zone = zone;
    one.rate = settings_.link_bytes_per_s;
    one.heard = std::move(heard);
    one.closed = std::move(closed);
    return static_cast<int>(nodes_.size()) - 1;
}

Session SimulatedRegions::dial(int outsider, int relay) { return connect(outsider, relay); }
void SimulatedRegions::send_from_outsider(Session session, const Frame& frame) {
    send_bytes_from_outsider(session, distribution::write(frame));
}

// Waits until it is connected.
void SimulatedRegions::send_bytes_from_outsider(Session session, const std::string& bytes) {
    const auto at = links_.find(session);
    if (at == links_.end() || !at->second.below_open) return;
    if (!at->second.connected) {
        clock_.arm(clock_.now() + kConditionEvery,
                   [this, session, bytes] { send_bytes_from_outsider(session, bytes); });
        return;
    }
    Parcel parcel;
    parcel.bytes = std::make_shared<const std::string>(bytes);
    count(at->second.below, at->second.above, bytes.size());
    put(session, true, parcel, {});
}

void SimulatedRegions::close_from_outsider(Session session) { end(session, true); }

std::string SimulatedRegions::submit(Change change, std::optional<int> relay) {
    const std::string id = change.id;
    Submission& one = submissions_[id];
    one.change = std::move(change);
    one.submitted_at = clock_.now();
    offer(id, relay);
    return id;
}

bool SimulatedRegions::is_answered(const std::string& id) const {
    return submissions_.at(id).result.has_value();
}

void SimulatedRegions::offer(const std::string& id, std::optional<int> relay) {
    Submission& one = submissions_.at(id);
    if (one.result) return;
    const int tries = ++one.attempts;
    if (!relay) relay = static_cast<int>(random_() % static_cast<std::uint64_t>(settings_.relays));
    const int zone = zone_of(*relay);
    const auto again = [this, id, tries](Duration in) {
        clock_.arm(clock_.now() + in, [this, id, tries] {
            if (submissions_.at(id).attempts == tries) offer(id, {});
        });
    };
    if (operators_.count(zone) == 0) {
        operators_[zone] = outsider(
            zone,
            [this](Session session, const Frame& frame) {
                const auto asked = asked_.find(session);
                if (asked == asked_.end()) return;
                const auto [for_id, try_number] = asked->second;
                const auto* answer = std::get_if<Answer>(&frame);
                const bool is_away = std::get_if<Away>(&frame) || std::get_if<distribution::Error>(&frame);
                if (!answer && !is_away) return;
                asked_.erase(asked);
                end(session, true);
                Submission& given = submissions_.at(for_id);
                if (given.result) return;
                const bool again_later = !answer || answer->rejection == Rejection::kBusy ||
                                         answer->rejection == Rejection::kNoLeader;
                if (const auto* error = std::get_if<distribution::Error>(&frame))
                    given.message = error->message;
                if (!again_later) {
                    given.result = answer->rejection;
                    given.revision = answer->revision;
                    given.message = answer->message;
                    given.answered_at = clock_.now();
                } else {
                    clock_.arm(clock_.now() + kAskAgain, [this, id = for_id, number = try_number] {
                        if (submissions_.at(id).attempts == number) offer(id, {});
                    });
                }
            },
            [this](Session session) {
                const auto asked = asked_.find(session);
                if (asked == asked_.end()) return;
                const auto [for_id, number] = asked->second;
                asked_.erase(asked);
                clock_.arm(clock_.now() + kAskAgain, [this, id = for_id, number = number] {
                    if (submissions_.at(id).attempts == number) offer(id, {});
                });
            });
    }
    const Session session = dial(operators_[zone], *relay);
    asked_[session] = {id, tries};
    Hello hello;
    hello.role = Role::kTool;
    hello.name = "operator";
    send_from_outsider(session, hello);
    send_from_outsider(session, Submit{session, one.change});
    again(kAnswerWithin);
}

int SimulatedRegions::gateways_with(LogIndex change) {
    const LogIndex settlement = activation_of(change);
    if (settlement == 0) return 0;
    int found = 0;
    for (const int one : gateways_) {
        if (is_running(one) && node(one).in_force >= settlement && !fenced(one)) ++found;
    }
    return found;
}

std::pair<int, int> SimulatedRegions::surviving_gateways_with(const std::string& id) {
    const Submission& given = submissions_.at(id);
    const LogIndex settlement = activation_of(given.revision);
    std::pair<int, int> found;
    for (const int one : gateways_) {
        if (!is_running(one) || node(one).born > given.submitted_at) continue;
        ++found.second;
        if (settlement != 0 && node(one).in_force >= settlement && !fenced(one)) ++found.first;
    }
    return found;
}

int SimulatedRegions::running_gateways() const {
    return static_cast<int>(
        std::count_if(gateways_.begin(), gateways_.end(), [&](int one) { return is_running(one); }));
}

LogIndex SimulatedRegions::activation_of(LogIndex change) const {
    const auto at = settlement_of_.find(change);
    return at == settlement_of_.end() ? 0 : at->second;
}

bool SimulatedRegions::run_until(const std::function<bool()>& condition, Duration within) {
    const Timestamp end = clock_.now() + within;
    while (!condition()) {
        if (clock_.now() >= end) return false;
        clock_.run_to(std::min(end, clock_.now() + kConditionEvery));
    }
    return true;
}

// ---- the auditor ----

void SimulatedRegions::breaks(const char* rule, const std::string& how) {
    char at[32];
    std::snprintf(at, sizeof at, "%.3f s: ", seconds(clock_.now() - kBegan));
    violations_.try_emplace(rule, at + how);
}

std::string SimulatedRegions::violations_text() const {
    std::string all;
    for (const auto& [rule, how] : violations_) all += rule + " (" + how + ") ";
    return all;
}

Duration SimulatedRegions::stated_max_divergence() {
    for (const int one : gateways_) {
        if (node(one).follower) return node(one).follower->max_divergence();
    }
    return {};
}

// There is one log: whoever shows a record of a number shows the same.
void SimulatedRegions::seen(int number, const Record& record) {
    const auto at = log_.find(record.index);
    if (at == log_.end()) {
        log_.emplace(record.index, record);
        follow_log();
    } else if (!is_same(at->second, record)) {
        breaks("history", "unlike records of number " + text(record.index) + " at " + text(number));
    }
}

// What the records say, by the letter of record.h.
void SimulatedRegions::follow_log() {
    for (auto at = log_.find(followed_ + 1); at != log_.end(); at = log_.find(followed_ + 1)) {
        const Record& record = at->second;
        followed_ = record.index;
        const std::string number = text(record.index);
        if (record.kind == RecordKind::kChange) {
            open_.insert(record.index);
            if (!ids_.insert(record.change.id).second)
                breaks("history", "a change is there twice: " + record.change.id);
        } else if (record.kind == RecordKind::kWithdraw) {
            if (open_.erase(record.through_index) == 0)
                breaks("withdrawn",
                       number + " withdraws what is in force or no change: " + text(record.through_index));
            withdrawn_[record.through_index] = record.reason;
        } else if (record.kind == RecordKind::kActivate) {
            if (record.activation_time <= settled_.rbegin()->second.instant)
                breaks("history", "the instant of " + number + " is not behind the one before");
            Settled& one = settled_[record.index];
            one.instant = record.activation_time;
            one.revision = std::prev(settled_.find(record.index))->second.revision;
            while (!open_.empty() && *open_.begin() <= record.through_index) {
                const LogIndex change = *open_.begin();
                open_.erase(open_.begin());
                settlement_of_[change] = record.index;
                one.revision = change;
                for (const Edit& edit : log_.at(change).change.edits) {
                    const auto had = model_.find(edit.key);
                    const bool differs = had.has_value() != edit.value.has_value() ||
                                         (had && *had != std::string_view(*edit.value));
                    one.differs = one.differs || differs;
                    if (differs)
                        model_.set(edit.key,
                                   edit.value ? std::optional<std::string_view>(*edit.value) : std::nullopt,
                                   change);
                }
            }
            one.hash = model_.hash();
        }
    }
}

// Its state in force is another than before.
void SimulatedRegions::adopt(int number) {
    Node& one = node(number);
    const LogIndex before = one.in_force;
    one.in_force = one.follower->activation_index();
    if (--holders_[before] == 0) holders_.erase(before);
    ++holders_[one.in_force];
    if (one.in_force < before)
        breaks("backwards",
               "gateway " + text(number) + " went from " + text(before) + " back to " + text(one.in_force));
    const auto at = settled_.find(one.in_force);
    if (at == settled_.end())
        return breaks("history", "gateway " + text(number) + " is in force with " + text(one.in_force) +
                                     ", which was never settled");
    Settled& settled = at->second;
    if (clock_.now() < settled.instant - settings_.max_clock_difference / 2 - 1ms)
        breaks("early", "gateway " + text(number) + " went over to " + text(one.in_force) + " " +
                            text(static_cast<std::uint64_t>((settled.instant - clock_.now()) / 1ms)) +
                            " ms before its instant");
    check_state(number);
    if (fenced(number)) return;
    for (auto back = at;; --back) {
        if (back->second.acted) break;
        back->second.acted = clock_.now();
        if (back == settled_.begin()) break;
    }
    if (settings_.gateways_save_state && !one.dying && reach(number, "write") != Fault::kCrash) {
        if (one.saved.size() == kMaxSaved) one.saved.erase(one.saved.begin());
        one.saved.push_back(one.follower->save());
    }
}

// No mixture: what a gateway acts on is the state of its settlement, to the last key.
void SimulatedRegions::check_state(int number) {
    Node& one = node(number);
    const auto at = settled_.find(one.in_force);
    if (at == settled_.end()) return;
    if (one.follower->store().hash() != at->second.hash)
        breaks("mixture",
               "gateway " + text(number) + " holds another state than that of " + text(one.in_force));
    for (const auto& [change, reason] : withdrawn_) {
        const auto& edits = log_.at(change).change.edits;
        for (std::size_t i = 0; i < std::min<std::size_t>(4, edits.size()); ++i) {
            if (one.follower->store().revision_of(edits[i].key) == change)
                breaks("withdrawn", "gateway " + text(number) + " is in force with " + text(change) +
                                        ", which was withdrawn");
        }
    }
}

// Two act in full on what differs where one that is not fenced acts on what another, not fenced, has gone on
// from. UnsupportedCount from when the other did, whether or not that one is fenced by now.
void SimulatedRegions::audit() {
    if (holders_.empty()) return;
    LogIndex newest = 0;
    for (auto at = settled_.rbegin(); at != settled_.rend(); ++at) {
        if (!at->second.acted) continue;
        newest = at->first;
        break;
    }
    const bool some_unknown = holders_.rbegin()->first > newest;
    if (!some_unknown && holders_.begin()->first >= newest) return;
    for (const int number : gateways_) {
        const Node& one = node(number);
        if (!one.follower || one.in_force == newest || !is_running(number) || fenced(number)) continue;
        if (one.in_force > newest) {
            const auto at = settled_.find(one.in_force);
            for (auto back = at; back != settled_.end() && !back->second.acted; --back)
                back->second.acted = clock_.now();
            newest = one.in_force;
            continue;
        }
        for (auto at = settled_.upper_bound(one.in_force); at != settled_.end(); ++at) {
            if (!at->second.differs) continue;
            if (!at->second.acted) break;
            const Duration time = clock_.now() - *at->second.acted + settings_.audit_interval;
            max_divergence = std::max(max_divergence, time);
            if (time > stated_max_divergence())
                breaks("contradiction", "gateway " + text(number) + " acts in full on " + text(one.in_force) +
                                            ", " + text(static_cast<std::uint64_t>(time / 1ms)) +
                                            " ms after another went on to " + text(at->first));
            break;
        }
    }
}

void SimulatedRegions::look() {
    audit();
    // One gateway at each look, so that an edit behind the fleet's back is found too.
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        const int number = gateways_[next_look_++ % gateways_.size()];
        if (!node(number).follower || node(number).dying) continue;
        check_state(number);
        break;
    }
    clock_.arm(clock_.now() + settings_.audit_interval, [this] { look(); });
}

bool SimulatedRegions::has_converged() { return why_not_converged().empty(); }

std::string SimulatedRegions::why_not_converged() {
    const auto lead = leader();
    if (!lead) return "nobody leads";
    const LogIndex newest = newest_activation();
    for (const auto& [id, one] : submissions_) {
        if (!one.result) return "not answered: " + id;
        if (*one.result != Rejection::kNone) continue;
        if (activation_of(one.revision) == 0 && !withdrawn(one.revision))
            return "neither in force nor withdrawn: " + id;
        if (const auto at = log_.find(one.revision); at == log_.end() || at->second.change.id != id)
            return "lost: " + id;
    }
    if (!open_.empty()) return "change " + text(*open_.begin()) + " is not settled";
    for (const int number : gateways_) {
        if (!is_running(number)) continue;
        const Node& one = node(number);
        const std::string name = "gateway " + text(number);
        if (one.in_force != newest)
            return name + " is in force with " + text(one.in_force) + " of " + text(newest);
        if (fenced(number)) return name + " is fenced";
    }
    for (int i = 0; i < settings_.relays; ++i) {
        if (!is_running(i)) continue;
        const Relay& one = *node(i).relay;
        const std::string name = "relay " + text(i);
        if (one.newest_activation() != newest)
            return name + " knows of " + text(one.newest_activation()) + " of " + text(newest);
    }
    // Where all looks well: to the last key and record.
    const std::uint64_t hash = model_.hash();
    for (const int number : gateways_) {
        if (is_running(number) && node(number).follower->store().hash() != hash)
            return "gateway " + text(number) + " holds another state";
    }
    for (int i = 0; i < settings_.relays; ++i) {
        if (is_running(i) && node(i).relay->store().hash() != hash)
            return "relay " + text(i) + " holds another state";
    }
    for (int i = 0; i < settings_.voters; ++i) {
        for (const LogEntry& entry : node(i).disk.entries) {
            const auto at = log_.find(entry.index);
            if (at == log_.end() || entry.index > followed_) continue;
            const auto record = record_of(entry);
            const bool same = record && is_same(at->second, *record);
            if (!same && node(i).relay && node(i).relay->committed() >= entry.index)
                breaks("history",
                       "relay " + text(i) + " has another record " + text(entry.index) + " on its disk");
        }
    }
    return "";
}

// ---- plays ----

Change change_of(const std::string& id, const std::string& key, const std::string& value) {
    Change change;
    change.id = id;
    change.edits.push_back({key, value});
    return change;
}

Change change_of(const std::string& id, int first, int keys, std::size_t value_bytes) {
    Change change;
    change.id = id;
    std::mt19937_64 random(std::hash<std::string>()(id));
    for (int i = 0; i < keys; ++i) {
        char key[32];
        std::snprintf(key, sizeof key, "tenant/%016x", first + i);
        std::string value;  // that is hardly packed by any means
        while (value.size() < value_bytes) {
            for (std::uint64_t drawn = random(), n = 0; n < 10; ++n, drawn /= 64)
                value.push_back(static_cast<char>('0' + drawn % 64));
        }
        value.resize(value_bytes);
        change.edits.push_back({key, value});
    }
    return change;
}

namespace {

// 8 s after the last fault's end they agree, and nothing was broken on the way.
std::string end_of(SimulatedRegions& fleet) {
    do {  // a fault may come while they agree
        fleet.run_until([&] { return fleet.now() > fleet.last_fault(); }, 60s);
        fleet.run_until([&] { return fleet.has_converged(); }, 8s);
    } while (fleet.now() <= fleet.last_fault());
    std::string wrong = fleet.why_not_converged();
    if (!wrong.empty()) wrong = "no agreement: " + wrong + " ";
    return wrong + fleet.violations_text();
}

}  // namespace

std::string run_script(const Inject& inject, std::uint64_t seed, std::size_t usual) {
    SimulatedRegionsSettings settings;
    settings.regions = settings.voters = 3;
    settings.zones = settings.relays = 4;
    settings.gateways = 5;
    settings.seed = seed;
    settings.adjust_relay = [usual](Relay::Settings& made, int) {
        made.target_followers = usual;
        made.max_unsupported_share = 0.25;  // one of five goes on without, two are too many
        made.retained_records = 3;          // so that who was away for a while needs a snapshot
    };
    SimulatedRegions fleet(settings);
    fleet.inject(inject);
    const int first = fleet.gateways()[0], second = fleet.gateways()[1];
    // By what a value says: who takes a snapshot is not told of changes.
    fleet.unsupported_edits = [first, second](int node, const Change& change) {
        std::vector<std::size_t> places;
        for (std::size_t i = 0; i < change.edits.size(); ++i) {
            const std::string value = change.edits[i].value.value_or("");
            const bool one = value == "one cannot" && node == first;
            if (one || (value == "two cannot" && (node == first || node == second))) places.push_back(i);
        }
        return places;
    };
    const auto wait = [&](const std::string& id) {
        fleet.run_until(
            [&] {
                const auto& one = fleet.submissions().at(id);
                return one.result && fleet.gateways_with(one.revision) >= fleet.running_gateways();
            },
            4s);
    };
    fleet.run_until([&] { return fleet.leader().has_value(); }, 5s);
    fleet.submit(change_of("a", 0, 3));
    wait("a");
    fleet.submit(change_of("b", "tenant/b", "one cannot"));
    fleet.run_for(300ms);
    fleet.crash(3);
    wait("b");
    fleet.submit(change_of("held", "tenant/held", "two cannot"));
    fleet.run_for(1500ms);
    fleet.start(3);
    fleet.submit(change_of("c", "tenant/twice", "first"));
    fleet.run_for(100ms);
    fleet.submit(change_of("d", "tenant/twice", "second"));
    wait("d");
    std::string wrong = end_of(fleet);
    // What must have come of it, whatever the fault.
    const auto& given = fleet.submissions();
    const auto number = [&](const char* id) { return given.at(id).revision; };
    for (const char* id : {"a", "b", "held", "c", "d"}) {
        if (given.at(id).result != Rejection::kNone)
            wrong += std::string("not taken: ") + id + " " + given.at(id).message;
    }
    if (!wrong.empty()) return wrong;
    // A gateway that was away while it was decided does not count, so that what two of five cannot take may
    // come into force: then for the others, and those two are fenced for its key.
    if (fleet.activation_of(number("b")) == 0 && !fleet.withdrawn(number("b"))) wrong += "b is undecided; ";
    const std::string newest = number("c") < number("d") ? "second" : "first";
    if (fleet.expected_state().find("tenant/twice") != std::optional<std::string_view>(newest))
        wrong += "the key that was set twice has not the later value; ";
    if (fleet.activation_of(number("b")) != 0 && !fleet.gateway(first).fenced("tenant/b"))
        wrong += "who cannot take b is not fenced for its key; ";
    if (fleet.gateway(second).fenced("tenant/b")) wrong += "who can take b is fenced for its key; ";
    return wrong;
}

RandomRun run_random(std::uint64_t seed, bool tells, std::size_t usual) {
    std::mt19937_64 random(seed * 6364136223846793005ull + 1442695040888963407ull);
    const auto draw = [&random](int from, int to) {
        return from + static_cast<int>(random() % static_cast<std::uint64_t>(to - from + 1));
    };
    const auto chance = [&random](double share) {
        return std::uniform_real_distribution<double>()(random) < share;
    };
    SimulatedRegionsSettings settings;
    settings.voters = chance(0.3) ? 5 : 3;
    settings.regions = settings.voters;
    settings.relays = settings.voters + draw(0, 3);
    settings.zones = settings.regions + draw(0, 2);
    settings.gateways = draw(4, 12);
    settings.seed = seed;
    settings.loss_share = chance(0.5) ? 0.01 : 0.05;
    settings.voters_by_streams = chance(0.5);
    settings.gateways_save_state = chance(0.7);
    const bool few_kept = chance(0.5);
    settings.adjust_relay = [few_kept, usual](Relay::Settings& made, int) {
        made.target_followers = usual;
        made.max_unsupported_share = 0.3;
        if (few_kept) made.retained_records = 4;
    };
    SimulatedRegions fleet(settings);
    fleet.restart_state = [&](int) { return static_cast<RestartState>(draw(0, 2)); };
    // Two values in twenty cannot be taken by some.
    fleet.unsupported_edits = [seed](int node, const Change& change) {
        std::vector<std::size_t> places;
        for (std::size_t i = 0; i < change.edits.size(); ++i) {
            const std::uint64_t drawn =
                std::hash<std::string>()(change.edits[i].value.value_or("")) ^ (seed * 31);
            if ((drawn % 20 == 0 && node % 5 == 0) || (drawn % 20 == 1 && node % 2 == 0)) places.push_back(i);
        }
        return places;
    };
    RandomRun play;
    fleet.run_for(3s);
    const double rate = chance(0.33) ? 0.0002 : 0.001;
    fleet.inject([&](const Point&) {
        if (!chance(rate)) return Fault::kNone;
        ++play.faults;
        return kAllFaults[random() % 6];
    });
    const int nodes = fleet.relays() + settings.gateways;
    std::vector<std::string> ids;
    for (int step = 0; step < 10; ++step) {
        // Cuts of more than one node, for a while.
        if (chance(0.25)) {
            ++play.faults;
            const int kind = draw(0, 4), a = draw(0, nodes - 1), b = draw(0, fleet.relays() - 1);
            const int region = draw(0, settings.regions - 1), other = draw(0, settings.regions - 1);
            const Duration lasts = span_of(draw(3, 60) / 10.0);
            if (kind == 0) fleet.cut(a, b, true);
            if (kind == 1) fleet.cut(b, a, true);
            if (kind == 2) fleet.partition(fleet.nodes_in_region(region));
            if (kind == 3 && region != other) fleet.cut_regions(region, other, true);
            if (kind == 4) {
                const RestartState back = static_cast<RestartState>(draw(0, 2));
                fleet.crash(a, true);
                fleet.run_at(fleet.now() + lasts, [&fleet, a, back] { fleet.start(a, back); });
            } else {
                fleet.run_at(fleet.now() + lasts, [&fleet] { fleet.heal_links(); });
            }
            fleet.fault_until(fleet.now() + lasts);
        }
        const std::string id = "change-" + std::to_string(step);
        Change change;
        if (chance(0.2)) {
            // Drawn one by one: the order in which a call's arguments are evaluated is the compiler's choice.
            const int keys = draw(2, 30);
            const int first = draw(0, 20);
            change = change_of(id, first, keys);
        } else {
            change = change_of(id, "tenant/" + std::to_string(draw(0, 4)), id);
        }
        fleet.submit(change);
        ++play.changes;
        fleet.run_for(span_of(draw(1, 30) / 10.0));
    }
    fleet.inject({});
    play.problem = end_of(fleet);
    if (tells) {
        for (const std::string& line : fleet.recent_events) std::printf("%s\n", line.c_str());
    }
    play.max_divergence = fleet.max_divergence;
    play.stated_max_divergence = fleet.stated_max_divergence();
    play.points = fleet.points();
    play.digest = fleet.run_digest();
    for (const auto& [id, one] : fleet.submissions()) {
        if (one.result && *one.result != Rejection::kNone) ++play.rejected;
        if (one.result && fleet.withdrawn(one.revision)) ++play.withdrawn;
    }
    for (const int one : fleet.gateways()) {
        if (fleet.is_running(one)) play.snapshots += fleet.gateway(one).snapshots();
    }
    for (int one = 0; one < fleet.relays(); ++one) {
        if (fleet.is_running(one)) play.asked_to_leave += fleet.relay(one).traffic().asked_to_leave;
    }
    return play;
}

}  // namespace linnetlead::test_support
