#include "testing/simulated_gateways.h"

#include <algorithm>
#include <cstring>
#include <map>
#include <utility>

namespace linnetlead::test_support {

using proxy::AttemptEnd;
using proxy::Ending;
using proxy::EndpointId;
using proxy::Handle;
using proxy::Stage;
using namespace std::chrono_literals;

namespace {

constexpr Duration kWay = 500us;         // one way, between any two
constexpr Duration kRouterTick = 100ms;  // as the program does
constexpr Duration kToldOfAnswerLate = 20ms;

}  // namespace

proxy::Handle Clock::arm(Timestamp at, std::function<void()> action) {
    const Handle timer = timers_.add(std::move(action));
    due_.push({std::max(at, now_), ++armed_, timer});
    return timer;
}

void Clock::run_to(Timestamp until) {
    while (!due_.empty() && due_.top().at <= until) {
        const Due due = due_.top();
        due_.pop();
        auto* action = timers_.find(due.timer);
        if (!action) continue;
        now_ = due.at;
        const auto run = std::move(*action);
        timers_.remove(due.timer);
        run();
    }
    now_ = until;
}

class SimulatedGateways::Node final : public proxy::Timers,
                                      public proxy::UpstreamPort,
                                      public proxy::CounterPort,
                                      public proxy::DownstreamPort {
public:
    Node(SimulatedGateways& world, int self, std::uint64_t seed, Duration skew)
        : world_(world),
          self_(self),
          skew_(skew),
          gateway_(site_of(world, self), seed, {4096, 64 << 20}, *this),
          accounts_(
              site_of(world, self).settings, std::chrono::hours(1), {}, 0,
              [this](const std::string& name, double amount, Duration life) { add(name, amount, life); }),
          router_(settings_of(world.settings_.mix, world.settings_.gateways, self), seed,
                  {[this](const std::string& name, double amount, Duration life) { add(name, amount, life); },
                   [this](const traffic::Event& event) {
                       world_.events.push_back({self_, event});
                   },
                   [this](const std::string& text) { world_.tell_peers(self_, text); },
                   [this](std::vector<policy::EndpointInfo> entries) { gateway_.marked(std::move(entries)); },
                   {},
                   {},
                   {}}) {
        gateway_.attach(*this, *this);
        gateway_.attach(&router_);
        gateway_.attach(&accounts_);
    }
    ~Node() override {
        for (const Handle timer : std::exchange(armed_, {})) world_.clock_.disarm(timer);
    }

    void listed(const std::vector<proxy::DiscoveredEndpoint>& entries) {
        gateway_.listed(policy::EndpointListKind::kComplete, entries);
    }
    void configure(const traffic::RoutingSettings& settings) { router_.configure(now(), settings); }
    void take_book(std::shared_ptr<const metering::PlanSchedule> book) {
        auto added = accounts_.apply_schedule(std::move(book));
        if (added && !added->empty()) gateway_.add_plans(std::move(*added));
    }
    metering::PlanAccounts& accounts() { return accounts_; }
    void begin() { tick(); }
    const traffic::Router& router() const { return router_; }
    std::size_t open() const { return open_.size(); }
    bool cut = false;
    void heard(const std::string& text) { router_.heard(now(), text); }

    void take(const DrawnCall& drawn) {
        proxy::DownstreamRequest call;
        call.name = ++calls_;
        call.request.traffic_class = drawn.traffic_class;
        call.request.units = drawn.units;
        char account[17];
        std::snprintf(account, sizeof(account), "%016llx", static_cast<unsigned long long>(drawn.tenant));
        call.request.tenant = account;
        call.request.gateway_set_size = world_.settings_.gateways;
        call.request.due =
            now() + span_of(world_.settings_.mix.deadline[static_cast<std::size_t>(drawn.traffic_class)]);
        call.payload.bytes.assign(reinterpret_cast<const char*>(&drawn.work), sizeof(drawn.work));
        call.payload.bytes.append(reinterpret_cast<const char*>(&call.name), sizeof(call.name));
        ++world_.tally.taken;
        open_[call.name] = {now(), call.request.due, drawn.traffic_class, 0, false,
                            false, drawn.tenant,     drawn.units};
        const std::uint64_t name = call.name;
        gateway_.take(std::move(call), *this, {0, name});
    }

    // Timers. A killed gateway's never go off.
    Timestamp now() const override { return world_.clock_.now() + skew_; }
    Handle arm(Timestamp at, std::function<void()> action) override {
        if (armed_.size() > 4 * live_ + 64) forget_old();
        const Handle timer = world_.clock_.arm(at - skew_, std::move(action));
        armed_.push_back(timer);
        return timer;
    }
    void disarm(Handle timer) override { world_.clock_.disarm(timer); }

    // Endpoints.
    Handle start(Handle call, const EndpointId& id, const proxy::Payload& payload,
                 const proxy::UpstreamPort::Limits& limits) override {
        const auto at = wanted_.find(id);
        if (at == wanted_.end() || !at->second) {
            ++world_.tally.sent_to_unwanted;
            gateway_.attempt_ended(call, {});
            return {};
        }
        double work = 0;
        std::uint64_t name = 0;
        std::memcpy(&work, payload.bytes.data(), sizeof(work));
        std::memcpy(&name, payload.bytes.data() + sizeof(work), sizeof(name));
        if (const auto open = open_.find(name); open != open_.end()) {
            constexpr int kNeverTwice = 2;
            if (!std::exchange(open->second.was_sent, true)) {
                world_.tally.units_first_sent += static_cast<std::int64_t>(open->second.units);
                if (world_.first_sent) {
                    world_.first_sent(world_.clock_.now(), open->second.tenant, open->second.units);
                }
            }
            if (open->second.out++ > 0) ++world_.tally.two_out;
            if (open->second.traffic_class == kNeverTwice && open->second.may_have_run)
                ++world_.tally.ran_again;
        }
        const Handle attempt = attempts_.add(Attempt{call, name, {}, {}});
        EndpointModel& model = world_.endpoint(id);
        if (kinds_[id] == world_.target_kind) {
            ++world_.tally.attempts_in_target;
            world_.tally.last_in_target = world_.clock_.now();
        }
        const Told told = model.arrive(world_.clock_.now() + kWay, work);
        if (!told.never) {
            attempts_.find(attempt)->answer =
                arm(told.at + kWay + skew_, [this, attempt, ending = told.ending] { end(attempt, ending); });
        }
        attempts_.find(attempt)->timeout =
            arm(limits.until, [this, attempt] { end(attempt, Ending::kTimedOut); });
        return attempt;
    }
    void give_up(Handle attempt) override { end(attempt, Ending::kGivenUp); }
    void client_gone(Handle) override {}  // what is sent is whole at once
    bool is_unsent(Handle) override { return false; }
    void go_on(Handle) override {}  // values are short here
    void probe(const EndpointId& id) override {
        arm(now() + 2 * kWay, [this, id] { gateway_.probed(id, policy::Outcome::kOk, {}); });
    }
    void told(const std::vector<proxy::DiscoveredEndpoint>& entries, bool whole) override {
        if (whole) wanted_.clear();
        for (const proxy::DiscoveredEndpoint& one : entries) {
            wanted_[one.entry.id] = one.entry.state == policy::EndpointState::kInService;
            kinds_[one.entry.id] = one.entry.kind;
        }
    }

    // The counter.
    void add(const std::string& name, double amount, Duration life) override {
        const Timestamp sent = world_.clock_.now();
        const auto total = cut ? std::nullopt : world_.counter.tally(sent + kWay, name, amount, life);
        using policy::CounterStatus;
        const bool full = !cut && world_.counter.mood == CounterModel::Mood::kRefusing;
        const Duration wait = total || full ? 2 * kWay + 1ms : 80ms;
        const CounterStatus status = total  ? CounterStatus::kOk
                                     : full ? CounterStatus::kOverloaded
                                            : CounterStatus::kTimeout;
        arm(now() + wait, [this, name, status, total] { gateway_.counted(name, status, total.value_or(0)); });
    }

    // The clients.
    void begin_value(const proxy::Ticket&, std::size_t, Duration) override {}
    bool pass_value(const proxy::Ticket&, std::string_view) override { return true; }
    void answer(const proxy::Ticket& ticket, const proxy::Answer& answer) override {
        const auto at = open_.find(ticket.number);
        if (at == open_.end()) {
            ++world_.tally.answered_twice;
            return;
        }
        Tally& tally = world_.tally;
        ++tally.answered;
        const Duration took = now() - at->second.taken;
        if (now() > at->second.due + kToldOfAnswerLate) ++tally.late_answers;
        if (answer.verdict == proxy::Verdict::kServed) {
            ++tally.served;
            const double latency_objective =
                world_.settings_.mix.latency_objective[static_cast<std::size_t>(at->second.traffic_class)];
            if (seconds(took) <= latency_objective) ++tally.in_aim;
        }
        tally.rejected += answer.verdict == proxy::Verdict::kRejected ? 1 : 0;
        tally.failed += answer.verdict == proxy::Verdict::kFailed ? 1 : 0;
        open_.erase(at);
    }

private:
    struct Attempt {
        Handle call;
        std::uint64_t name = 0;
        Handle answer, timeout;
    };
    struct OpenCall {
        Timestamp taken{}, due{};
        int traffic_class = 0;
        int out = 0;
        bool may_have_run = false;
        bool was_sent = false;
        std::uint64_t tenant = 0;
        double units = 0;
    };

    static config::Site site_of(const SimulatedGateways& world, int self) {
        config::Site site;
        site.settings = settings_of(world.settings_.mix, world.settings_.gateways, self);
        return site;
    }
    void forget_old() {
        // Timers that have gone off are no longer to be disarmed.
        live_ = 0;
        std::vector<Handle> kept;
        for (const Handle timer : armed_) {
            if (world_.clock_.armed(timer)) kept.push_back(timer);
        }
        armed_ = std::move(kept);
        live_ = armed_.size();
    }
    void end(Handle handle, Ending ending) {
        Attempt* attempt = attempts_.find(handle);
        if (!attempt) return;
        const Attempt ended = *attempt;
        attempts_.remove(handle);
        disarm(ended.answer);
        disarm(ended.timeout);
        if (const auto open = open_.find(ended.name); open != open_.end()) {
            --open->second.out;
            open->second.may_have_run |= ending != Ending::kTurnedAway;
        }
        AttemptEnd result;
        result.stage = ending == Ending::kServed ? Stage::kAnswering : Stage::kWritten;
        result.ending = ending;
        gateway_.attempt_ended(ended.call, result);
    }
    void tick() {
        router_.tick(now());
        accounts_.balances().tick(now());
        arm(now() + kRouterTick, [this] { tick(); });
    }

    SimulatedGateways& world_;
    int self_;
    Duration skew_;
    std::vector<Handle> armed_;
    std::size_t live_ = 0;
    proxy::SlotMap<Attempt> attempts_;
    std::map<std::uint64_t, OpenCall> open_;
    std::map<EndpointId, bool> wanted_;
    std::map<EndpointId, std::string> kinds_;
    std::uint64_t calls_ = 0;
    proxy::RequestManager gateway_;
    metering::PlanAccounts accounts_;
    traffic::Router router_;
};

SimulatedGateways::SimulatedGateways(SimulatedGatewaysSettings settings)
    : settings_(std::move(settings)), clock_(std::chrono::hours(500000)), random_(settings_.seed) {
    std::uniform_real_distribution<double> skew(-0.5, 0.5);
    for (int i = 0; i < settings_.gateways; ++i) {
        skews_.push_back(span_of(skew(random_) * seconds(settings_.max_skew)));
        nodes_.push_back(nullptr);
    }
    for (int i = 0; i < settings_.gateways; ++i) start(i);
    load(true);
}
SimulatedGateways::~SimulatedGateways() = default;

void SimulatedGateways::tell_peers(int from, const std::string& text) {
    if (!settings_.peers) return;
    std::uniform_real_distribution<double> chance, late(1.2e-3, 11e-3);
    for (int to = 0; to < settings_.gateways; ++to) {
        constexpr double kLost = 0.07;
        if (to == from || chance(random_) < kLost) continue;
        clock_.arm(clock_.now() + span_of(late(random_)), [this, to, text] {
            if (auto& node = nodes_[static_cast<std::size_t>(to)]) node->heard(text);
        });
    }
}

void SimulatedGateways::ask_much(metering::AccountId account, double calls_per_s) {
    next_of(account, calls_per_s);
}

void SimulatedGateways::next_of(metering::AccountId account, double calls_per_s) {
    std::exponential_distribution<double> gap(calls_per_s);
    clock_.arm(clock_.now() + span_of(gap(random_)), [this, account, calls_per_s] {
        std::uniform_int_distribution<int> units(1, 4);
        std::vector<double> weights = weights_;
        weights.resize(nodes_.size(), weights_.empty() ? 1 : 0);
        std::discrete_distribution<std::size_t> which(weights.begin(), weights.end());
        Node* node = nodes_[which(random_)].get();
        const DrawnCall call{0, static_cast<double>(units(random_)), 0.002, account};
        if (loaded_ && node) node->take(call);
        if (loaded_) next_of(account, calls_per_s);
    });
}

void SimulatedGateways::take_book(std::shared_ptr<const metering::PlanSchedule> book, int gateway) {
    if (gateway < 0) book_ = book;
    for (int i = 0; i < settings_.gateways; ++i) {
        auto& node = nodes_[static_cast<std::size_t>(i)];
        if (node && (gateway < 0 || gateway == i)) node->take_book(book);
    }
}

metering::PlanAccounts* SimulatedGateways::accounts(int gateway) {
    const auto& node = nodes_[static_cast<std::size_t>(gateway)];
    return node ? &node->accounts() : nullptr;
}

void SimulatedGateways::load(bool on) {
    loaded_ = on;
    clock_.disarm(next_);
    if (on) next_call();
}

void SimulatedGateways::next_call() {
    std::exponential_distribution<double> gap(settings_.calls_per_s);
    next_ = clock_.arm(clock_.now() + span_of(gap(random_)), [this] {
        const DrawnCall call = draw_call(settings_.mix, settings_.tenants, random_);
        std::uniform_int_distribution<std::size_t> which(0, nodes_.size() - 1);
        std::size_t at = which(random_);
        if (settings_.first_share > 0 && std::bernoulli_distribution(settings_.first_share)(random_)) at = 0;
        Node* node = nodes_[at].get();
        if (!endpoints_.empty() && node) node->take(call);
        next_call();
    });
}

EndpointModel& SimulatedGateways::add_endpoint(const std::string& id, const std::string& kind,
                                               EndpointFigures figures, Timestamp started, double weight) {
    DiscoveredEndpoint one;
    one.listed.entry.id = id;
    one.listed.entry.kind = kind;
    one.listed.entry.zone = "dc-1";
    one.listed.entry.started = started;
    one.listed.entry.weight = weight;
    one.model = std::make_unique<EndpointModel>(figures, started, settings_.seed * 1000 + endpoints_.size());
    endpoints_.emplace_back(id, std::move(one));
    return *endpoints_.back().second.model;
}

EndpointModel& SimulatedGateways::endpoint(const std::string& id) {
    const auto at =
        std::find_if(endpoints_.begin(), endpoints_.end(), [&](const auto& w) { return w.first == id; });
    return *at->second.model;
}

void SimulatedGateways::change_endpoint(const std::string& id,
                                        const std::function<void(policy::EndpointInfo&)>& change) {
    for (auto& [name, one] : endpoints_) {
        if (name == id) change(one.listed.entry);
    }
}

void SimulatedGateways::tell_list() {
    std::vector<proxy::DiscoveredEndpoint> entries;
    for (const auto& [id, one] : endpoints_) entries.push_back(one.listed);
    for (const auto& node : nodes_) {
        if (node) node->listed(entries);
    }
}

void SimulatedGateways::configure(const traffic::RoutingSettings& settings) {
    routing_ = settings;
    for (const auto& node : nodes_) {
        if (node) node->configure(settings);
    }
}
void SimulatedGateways::configure(int gateway, const traffic::RoutingSettings& settings) {
    nodes_[static_cast<std::size_t>(gateway)]->configure(settings);
}

void SimulatedGateways::kill(int gateway) {
    auto& node = nodes_[static_cast<std::size_t>(gateway)];
    if (node) tally.lost += node->open();
    node.reset();
}

void SimulatedGateways::start(int gateway) {
    auto& node = nodes_[static_cast<std::size_t>(gateway)];
    const std::uint64_t seed = settings_.seed * 7919 + ++starts_;
    node = std::make_unique<Node>(*this, gateway, seed, skews_[static_cast<std::size_t>(gateway)]);
    node->configure(routing_);
    if (book_) node->take_book(book_);
    std::vector<proxy::DiscoveredEndpoint> entries;
    for (const auto& [id, one] : endpoints_) entries.push_back(one.listed);
    if (!entries.empty()) node->listed(entries);
    node->begin();
}

void SimulatedGateways::cut_counter(int gateway, bool cut) {
    nodes_[static_cast<std::size_t>(gateway)]->cut = cut;
}
void SimulatedGateways::run_for(Duration time) { clock_.run_to(clock_.now() + time); }
const traffic::CanaryRollout* SimulatedGateways::move(int gateway) const {
    const auto& node = nodes_[static_cast<std::size_t>(gateway)];
    return node ? node->router().move() : nullptr;
}
bool SimulatedGateways::alive(int gateway) const {
    return nodes_[static_cast<std::size_t>(gateway)] != nullptr;
}

}  // namespace linnetlead::test_support
