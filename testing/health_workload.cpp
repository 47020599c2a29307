#include "testing/health_workload.h"

#include <algorithm>
#include <cmath>

namespace linnetlead::test_support {

using namespace std::chrono_literals;
using health::SharedHealth;

namespace {

constexpr double kBaseS[] = {0.12, 0.16, 0.06};  // of a call of one unit, by class
constexpr double kNoise = 0.5;                   // of its logarithm
constexpr Duration kRequestTimeout = 4s;

}  // namespace

HealthWorkload::HealthWorkload(HealthWorkloadSettings settings)
    : fleet(settings.fleet),
      settings_(std::move(settings)),
      random_(settings_.fleet.seed * 31 + 7),
      ports_(static_cast<std::size_t>(settings_.fleet.gateways)),
      health_(static_cast<std::size_t>(settings_.fleet.gateways)) {
    for (int i = 0; i < settings_.endpoints; ++i) {
        SimulatedEndpoint one;
        one.id = "w" + std::to_string(i);
        endpoints_.push_back(std::move(one));
    }
    fleet.started = [this](int gateway) { begin(gateway); };
    fleet.ticked = [this](int gateway) { health(gateway).tick(fleet.time_of(gateway)); };
    fleet.heard = [this](int gateway, int from, const std::string& payload) {
        health(gateway).on_report(fleet.time_of(gateway), from, payload);
    };
    next_request();
}

// The shared health of one simulated gateway, connected with its agreement.
class HealthWorkload::Port final : public health::HealthPort {
public:
    Port(HealthWorkload& workload, int gateway) : workload_(workload), gateway_(gateway) {}

    void send_report(int to, const std::string& payload) override {
        agreement().send_application(now(), to, payload);
    }
    void publish_opinion(const std::string& key, std::string value, Duration life) override {
        agreement().put_record(now(), key, std::move(value), life);
    }
    void for_each_opinion(const std::string& prefix,
                          const std::function<void(const agreement::Record&)>& act) const override {
        agreement().for_each_record(prefix, act);
    }
    bool is_present(int other) const override { return agreement().members().is_present(other); }
    void on_event(const health::HealthEvent& event) override {
        if (event.kind == health::HealthEventKind::kVerdict) {
            workload_.verdicts_.push_back({workload_.fleet.now(), gateway_, event.text});
        }
    }
    void on_set_aside_changed() override {}

private:
    agreement::ConfigAgreement& agreement() const { return workload_.fleet.agreement(gateway_); }
    Timestamp now() const { return workload_.fleet.time_of(gateway_); }

    HealthWorkload& workload_;
    int gateway_;
};

HealthWorkload::~HealthWorkload() = default;

void HealthWorkload::begin(int gateway) {
    SharedHealth::Settings made = settings_.health;
    made.gateways = settings_.fleet.gateways;
    made.self = gateway;
    made.process = static_cast<std::uint16_t>(fleet.agreement(gateway).members().incarnation());
    auto& port = ports_[static_cast<std::size_t>(gateway)];
    if (!port) port = std::make_unique<Port>(*this, gateway);
    auto& started = health_[static_cast<std::size_t>(gateway)];
    started = std::make_unique<SharedHealth>(made, *port);
    started->on_endpoint_list(policy::EndpointListKind::kComplete, entries());
}

std::vector<policy::EndpointInfo> HealthWorkload::entries() const {
    std::vector<policy::EndpointInfo> all;
    for (const SimulatedEndpoint& endpoint : endpoints_) {
        policy::EndpointInfo entry;
        entry.id = endpoint.id;
        entry.kind = "std";
        entry.started = endpoint.started;
        entry.state =
            endpoint.in_service ? policy::EndpointState::kInService : policy::EndpointState::kDraining;
        all.push_back(std::move(entry));
    }
    return all;
}

void HealthWorkload::notify_list() {
    for (auto& one : health_) {
        if (one) one->on_endpoint_list(policy::EndpointListKind::kComplete, entries());
    }
}

void HealthWorkload::next_request() {
    std::exponential_distribution<double> gap(settings_.requests_per_s);
    fleet.at(fleet.now() + span_of(gap(random_)), [this] {
        std::uniform_int_distribution<int> which(0, settings_.fleet.gateways - 1), class_of(0, 2),
            units_of(1, 4);
        const int gateway = which(random_), traffic_class = class_of(random_), units = units_of(random_);
        next_request();
        if (!sends_requests_ || !fleet.runs(gateway)) return;
        std::vector<SimulatedEndpoint*> first, rest;
        for (SimulatedEndpoint& one : endpoints_) {
            if (!one.in_service) continue;
            (health(gateway).is_set_aside(one.id) ? rest : first).push_back(&one);
        }
        std::vector<SimulatedEndpoint*>& among = first.empty() ? rest : first;
        if (among.empty()) return;
        std::uniform_int_distribution<std::size_t> pick(0, among.size() - 1);
        SimulatedEndpoint& endpoint = *among[pick(random_)];
        ++endpoint.requests;
        ++requests;
        std::uniform_real_distribution<double> chance;
        std::normal_distribution<double> draw(0, kNoise);
        const double failure_rate = endpoint.failure_rate_for
                                        ? endpoint.failure_rate_for(gateway, traffic_class)
                                        : endpoint.failure_rate;
        const bool fails = chance(random_) < failure_rate;
        const double drawn_s = kBaseS[traffic_class] * units * std::exp(draw(random_)) * endpoint.slowness;
        const Duration latency =
            fails ? Duration(20ms) : std::min<Duration>(span_of(drawn_s), kRequestTimeout);
        using policy::Outcome;
        const Outcome outcome = fails                        ? Outcome::kError
                                : latency >= kRequestTimeout ? Outcome::kTimeout
                                                             : Outcome::kOk;
        if (outcome == Outcome::kOk && latency <= settings_.latency_objective) ++in_time;
        fleet.at(fleet.now() + latency,
                 [this, gateway, id = endpoint.id, traffic_class, units, outcome, latency] {
                     if (!fleet.runs(gateway)) return;
                     health(gateway).on_attempt_end(fleet.time_of(gateway), id, traffic_class, units, outcome,
                                                    latency);
                 });
    });
}

int HealthWorkload::gateways_degrading(int number) {
    int found = 0;
    for (int i = 0; i < settings_.fleet.gateways; ++i) {
        const bool here =
            fleet.runs(i) && health(i).verdict(endpoint(number).id) == health::Verdict::kDegraded;
        found += here ? 1 : 0;
    }
    return found;
}

std::vector<Timestamp> HealthWorkload::degraded_at(int number, Timestamp since) const {
    std::vector<Timestamp> first(static_cast<std::size_t>(settings_.fleet.gateways));
    const std::string text = endpoints_[static_cast<std::size_t>(number)].id + " is degraded";
    for (const RecordedVerdict& one : verdicts_) {
        Timestamp& at = first[static_cast<std::size_t>(one.gateway)];
        if (one.at >= since && one.text == text && at == Timestamp{}) at = one.at;
    }
    return first;
}

int HealthWorkload::verdicts(int gateway, const std::string& verdict, Timestamp since) const {
    return static_cast<int>(
        std::count_if(verdicts_.begin(), verdicts_.end(), [&](const RecordedVerdict& one) {
            return one.gateway == gateway && one.at >= since && one.text.find(verdict) != std::string::npos;
        }));
}

}  // namespace linnetlead::test_support
