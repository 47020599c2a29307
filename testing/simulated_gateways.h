// A tier of gateways in virtual time: the real core, decision module and routes, among modelled endpoints, a
// modelled counter and a modelled load. One seed, one course of events.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "metering/plan_accounts.h"
#include "proxy/request_manager.h"
#include "testing/service_models.h"
#include "traffic/router.h"

namespace linnetlead::test_support {

class Clock {
public:
    explicit Clock(Timestamp start) : now_(start) {}
    Timestamp now() const { return now_; }
    proxy::Handle arm(Timestamp at, std::function<void()> action);
    void disarm(proxy::Handle timer) { timers_.remove(timer); }
    bool armed(proxy::Handle timer) { return timers_.find(timer) != nullptr; }
    void run_to(Timestamp until);

private:
    struct Due {
        Timestamp at{};
        std::uint64_t number = 0;
        proxy::Handle timer;
        bool operator>(const Due& other) const {
            return at != other.at ? at > other.at : number > other.number;
        }
    };
    Timestamp now_;
    std::uint64_t armed_ = 0;
    proxy::SlotMap<std::function<void()>> timers_;
    std::priority_queue<Due, std::vector<Due>, std::greater<Due>> due_;
};

struct SimulatedGatewaysSettings {
    int gateways = 3;
    double calls_per_s = 120;  // at all gateways
    int tenants = 200;
    Mix mix;
    std::uint64_t seed = 1;
    Duration max_skew{};     // between the gateways' clocks
    double first_share = 0;  // of the calls, beside its even part, through the first gateway
    bool peers = false;      // they may send each other datagrams, of which 7% are lost
};

// What the clients and the rules' auditor saw.
struct Tally {
    std::uint64_t taken = 0, answered = 0, lost = 0, served = 0, in_aim = 0, rejected = 0, failed = 0;
    std::uint64_t answered_twice = 0, late_answers = 0;
    std::uint64_t two_out = 0, ran_again = 0;  // rule 2
    std::uint64_t sent_to_unwanted = 0;        // rule 3
    std::uint64_t attempts_in_target = 0;
    std::int64_t units_first_sent = 0;  // of calls, to any endpoint
    Timestamp last_in_target{};         // when an attempt went there last
};

class SimulatedGateways {
public:
    explicit SimulatedGateways(SimulatedGatewaysSettings settings);
    ~SimulatedGateways();

    // Before or while it runs. `weight`: as listed.
    EndpointModel& add_endpoint(const std::string& id, const std::string& kind, EndpointFigures figures,
                                Timestamp started = Timestamp{0}, double weight = 1);
    void change_endpoint(const std::string& id, const std::function<void(policy::EndpointInfo&)>& change);
    EndpointModel& endpoint(const std::string& id);
    void tell_list();  // to all gateways, at once
    void configure(const traffic::RoutingSettings& settings);
    void configure(int gateway, const traffic::RoutingSettings& settings);
    // The plan book of all gateways, or of one that gets it apart from the others.
    void take_book(std::shared_ptr<const metering::PlanSchedule> book, int gateway = -1);
    // An account that asks for so many calls a second beside the others, of little work.
    void ask_much(metering::AccountId account, double calls_per_s);
    // And through which gateways, by weights.
    void weigh(std::vector<double> weights) { weights_ = std::move(weights); }
    std::function<void(Timestamp, metering::AccountId, double units)> first_sent;
    metering::PlanAccounts* accounts(int gateway);

    void kill(int gateway);
    void start(int gateway);  // one that was killed, from nothing
    void cut_counter(int gateway, bool cut);

    void load(bool on);
    void run_for(Duration time);
    Timestamp now() const { return clock_.now(); }
    const traffic::CanaryRollout* move(int gateway) const;
    bool alive(int gateway) const;

    CounterModel counter;
    Tally tally;
    std::string target_kind;  // whose attempts the tally counts
    struct Noted {
        int gateway = 0;
        traffic::Event event;
    };
    std::vector<Noted> events;

private:
    class Node;
    struct DiscoveredEndpoint {
        proxy::DiscoveredEndpoint listed;
        std::unique_ptr<EndpointModel> model;
    };
    void next_call();
    void next_of(metering::AccountId account, double calls_per_s);
    void tell_peers(int from, const std::string& text);

    SimulatedGatewaysSettings settings_;
    Clock clock_;
    std::mt19937_64 random_;
    std::vector<std::pair<std::string, DiscoveredEndpoint>> endpoints_;
    traffic::RoutingSettings routing_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<Duration> skews_;
    std::uint64_t starts_ = 0;
    std::shared_ptr<const metering::PlanSchedule> book_;
    std::vector<double> weights_;
    bool loaded_ = false;
    proxy::Handle next_;
};

}  // namespace linnetlead::test_support
