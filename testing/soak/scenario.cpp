#include "testing/soak/scenario.h"

#include <algorithm>
#include <cstdio>
#include <random>

namespace linnetlead::test_support::soak {

using namespace std::chrono_literals;
using policy::Idempotency;

namespace {

constexpr double kMaxUnits = 4;  // of a request
constexpr Duration kFirstDisruption = 700ms;
constexpr Duration kBetweenProcessEvents = 1200ms;  // of one gateway, for the clients to find the new process
constexpr Duration kLongestCountedDeadline = 3s;
constexpr Duration kKillAfterDeadline = 700ms;

class Draw {
public:
    explicit Draw(std::uint64_t seed) : random_(seed) {}
    int number(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
    double real(double least, double most) {
        return std::uniform_real_distribution<double>(least, most)(random_);
    }
    bool chance(double share) { return real(0, 1) < share; }
    Duration time(Duration least, Duration most) {
        return Duration{std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(random_)};
    }
    template <typename Kind>
    Kind one_of(std::initializer_list<Kind> all) {
        return all.begin()[number(0, static_cast<int>(all.size()) - 1)];
    }

private:
    std::mt19937_64 random_;
};

policy::Settings draw_settings(Draw& draw) {
    policy::Settings settings;
    settings.gateways = draw.number(1, 4);
    settings.zone = "dc-1";
    settings.tick = 2ms;
    settings.list_is_polled = draw.chance(0.3);
    const char* const names[] = {"quote-read", "quote-create", "slot-hold"};
    for (int i = 0; i < 3; ++i) {
        policy::TrafficClassSettings one;
        one.name = names[i];
        one.idempotency = static_cast<Idempotency>(i);
        // Short ones mostly; in some plays one that is longer than the platform counts.
        one.deadline = draw.chance(0.25) ? draw.time(3s, 8s) : draw.time(300ms, 3s);
        one.latency_objective = std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(one.deadline / 1ms) * draw.real(0.3, 1)));
        one.key_window = draw.time(500ms, 4s);
        one.priority_weight = draw.real(0.5, 3);
        one.late_priority_weight = draw.chance(0.5) ? draw.real(0, 0.6) : 0;
        settings.classes.push_back(one);
    }
    policy::RatePlanSettings plan;
    plan.name = "basico";
    plan.rate = draw.real(5, 60);
    plan.burst = plan.rate * draw.real(1, 3);
    if (draw.chance(0.5)) {
        // Room for two of the largest requests in each gateway's part.
        plan.hard_cap_rate = plan.rate * 1.5;
        plan.hard_cap_burst = std::max(plan.burst * 1.5, 2.0 * kMaxUnits * settings.gateways);
        plan.hard_cap_slack = std::max(plan.hard_cap_burst / 10, kMaxUnits);
    }
    settings.plans = {plan};
    settings.may_use_counter = draw.chance(0.8);
    settings.counter_timeout = 50ms;
    settings.max_units = kMaxUnits;
    settings.max_attempts = draw.number(2, 4);
    settings.max_retry_after = 1s;
    settings.slow_start_min_share = 0.25;
    settings.slow_start_window = draw.time(2s, 6s);
    settings.overload_multiple = draw.real(2, 4);
    settings.overload_window = 1s;
    return settings;
}

void draw_process_events(Draw& draw, Scenario& scenario) {
    for (int gateway = 0; gateway < scenario.settings.gateways; ++gateway) {
        Duration at = draw.time(kFirstDisruption, scenario.length / 2);
        while (at < scenario.length) {
            const auto event = draw.one_of(
                {ProcessEvent::kTerminate, ProcessEvent::kTerminate, ProcessEvent::kTerminateInSeries,
                 ProcessEvent::kTerminateAtStart, ProcessEvent::kKill, ProcessEvent::kHotRestart,
                 ProcessEvent::kReloads, ProcessEvent::kDrains, ProcessEvent::kStop});
            scenario.processes.push_back({event, gateway, at});
            at += earliest_kill(scenario) + kBetweenProcessEvents + draw.time(0s, 1s);
        }
    }
}

void draw_endpoint_events(Draw& draw, Scenario& scenario) {
    const int spells = draw.number(1, 2 + scenario.endpoints / 2);
    for (int i = 0; i < spells; ++i) {
        const auto mood = draw.one_of(
            {EndpointMood::kHangs, EndpointMood::kHangs, EndpointMood::kResets, EndpointMood::kAnswersLate,
             EndpointMood::kAnswersTwice, EndpointMood::kForgetsIdle, EndpointMood::kTurnsAway,
             EndpointMood::kGoesWhileAnswering, EndpointMood::kConnectsLate, EndpointMood::kConnectsLate});
        scenario.endpoint_spells.push_back({mood, draw.number(0, scenario.endpoints - 1),
                                            draw.time(kFirstDisruption, scenario.length),
                                            draw.time(300ms, 4s)});
    }
    int next = scenario.endpoints;
    for (int i = draw.number(0, 2); i > 0; --i) {
        scenario.list_changes.push_back(
            {ListEvent::kJoins, next++, draw.time(kFirstDisruption, scenario.length)});
    }
    if (scenario.endpoints > 2 && draw.chance(0.6)) {
        scenario.list_changes.push_back({ListEvent::kDrains, draw.number(0, scenario.endpoints - 1),
                                         draw.time(kFirstDisruption, scenario.length)});
    }
}

// Values that take some time, of which some break off. They are whole well within the time for which a
// gateway keeps them back, and fit its memory.
void draw_long_values(Draw& draw, Scenario& scenario) {
    if (!draw.chance(0.5)) return;
    scenario.long_value_every = draw.number(10, 40);
    scenario.long_value_bytes = static_cast<std::size_t>(draw.number(70'000, 400'000));
    scenario.pipelines = scenario.pipelines || draw.chance(0.7);
    for (int i = draw.number(1, 3); i > 0; --i) {
        scenario.endpoint_spells.push_back({EndpointMood::kBreaksOff, draw.number(0, scenario.endpoints - 1),
                                            draw.time(0s, scenario.length), draw.time(1s, 4s)});
    }
}

// Discovery falls silent behind a drain, and a gateway is upgraded then, perhaps twice.
void draw_upgrade_in_outage(Draw& draw, Scenario& scenario) {
    if (scenario.endpoints < 3 || !draw.chance(0.35)) return;
    scenario.upgrades_with_old_list = true;
    scenario.list_changes.clear();  // they come one at a time
    const Duration drain = draw.time(200ms, 1s);
    scenario.list_changes.push_back({ListEvent::kDrains, draw.number(0, scenario.endpoints - 1), drain});
    const Duration silent = drain + draw.time(300ms, 1s);
    scenario.discovery_spells = {{DiscoveryMood::kSilent, 0, silent, draw.time(2s, 5s)}};
    const int gateway = draw.number(0, scenario.settings.gateways - 1);
    const Duration first = silent + draw.time(50ms, 500ms);
    const Duration second = first + earliest_kill(scenario) + draw.time(300ms, 800ms);
    auto& processes = scenario.processes;
    processes.erase(std::remove_if(processes.begin(), processes.end(),
                                   [gateway](const auto& one) { return one.gateway == gateway; }),
                    processes.end());
    processes.push_back({ProcessEvent::kHotRestart, gateway, first});
    if (second < scenario.length) processes.push_back({ProcessEvent::kHotRestart, gateway, second});
}

}  // namespace

bool has_long_value(const Scenario& scenario, std::uint64_t request) {
    return scenario.long_value_every > 0 &&
           request % static_cast<std::uint64_t>(scenario.long_value_every) == 0;
}

Scenario draw(std::uint64_t seed) {
    Draw draw(seed * 0x9e3779b97f4a7c15ULL + 1);
    Scenario scenario;
    scenario.seed = seed;
    scenario.settings = draw_settings(draw);
    scenario.endpoints = draw.number(2, 12);
    scenario.endpoint_cores = draw.number(2, 6);
    scenario.service_time = draw.time(5ms, 60ms);
    scenario.tenants = draw.number(3, 60);
    scenario.sockets = draw.number(160, 512);
    scenario.memory_mb = draw.number(48, 192);
    scenario.requests_per_s = draw.real(20, 90);
    scenario.pipelines = draw.chance(0.4);
    scenario.leaving_share = draw.chance(0.5) ? draw.real(0.02, 0.15) : 0;
    scenario.new_connection_share = draw.chance(0.5) ? draw.real(0.05, 0.6) : 0;
    scenario.slow_share = draw.chance(0.4) ? draw.real(0.02, 0.2) : 0;
    scenario.connect_timeout = draw.chance(0.5) ? 250ms : draw.time(250ms, 3s);
    scenario.settings.may_cancel = draw.chance(0.5);
    scenario.stops_half_way = draw.chance(0.4);
    scenario.length = draw.time(5s, 7s);
    draw_process_events(draw, scenario);
    draw_endpoint_events(draw, scenario);
    const auto& spells = scenario.endpoint_spells;
    const bool connects_late = std::any_of(spells.begin(), spells.end(), [](const auto& one) {
        return one.mood == EndpointMood::kConnectsLate;
    });
    if (connects_late) {
        // For clients to leave while a connection comes up, it has to be waited for.
        scenario.connect_timeout = std::max<Duration>(scenario.connect_timeout, draw.time(1200ms, 3s));
        scenario.leaving_share = std::max(scenario.leaving_share, draw.real(0, 0.5));
    }
    if (draw.chance(0.6)) {
        const auto mood = draw.one_of(
            {DiscoveryMood::kSilent, DiscoveryMood::kCut, DiscoveryMood::kSlow, DiscoveryMood::kRefuses});
        scenario.discovery_spells.push_back({mood, 0, draw.time(0s, scenario.length), draw.time(500ms, 4s)});
    }
    if (scenario.settings.may_use_counter && draw.chance(0.5)) {
        const auto mood = draw.one_of({CounterMood::kSilent, CounterMood::kNonsense});
        scenario.counter_spells.push_back({mood, 0, draw.time(0s, scenario.length), draw.time(500ms, 4s)});
    }
    if (draw.chance(0.3)) {
        scenario.crowds.push_back({draw.number(0, scenario.settings.gateways - 1), scenario.sockets,
                                   draw.time(kFirstDisruption, scenario.length), draw.time(500ms, 2s)});
    }
    draw_long_values(draw, scenario);
    draw_upgrade_in_outage(draw, scenario);
    return scenario;
}

Duration counted_deadline(const Scenario& scenario) {
    Duration longest{};
    for (const auto& one : scenario.settings.classes) longest = std::max(longest, one.deadline);
    return std::min(longest, kLongestCountedDeadline);
}

Duration earliest_kill(const Scenario& scenario) { return counted_deadline(scenario) + kKillAfterDeadline; }

const char* name_of(ProcessEvent event) {
    constexpr const char* kNames[] = {
        "terminate", "kill", "terminate in series", "terminate at start", "hot restart", "reloads",
        "drains",    "stop"};
    return kNames[static_cast<int>(event)];
}
const char* name_of(EndpointMood mood) {
    constexpr const char* kNames[] = {"well",          "hangs",        "resets",     "answers late",
                                      "answers twice", "forgets idle", "turns away", "goes while answering",
                                      "connects late", "breaks off"};
    return kNames[static_cast<int>(mood)];
}
const char* name_of(DiscoveryMood mood) {
    constexpr const char* kNames[] = {"well", "silent", "cut", "slow", "refuses"};
    return kNames[static_cast<int>(mood)];
}
const char* name_of(CounterMood mood) {
    constexpr const char* kNames[] = {"well", "silent", "nonsense"};
    return kNames[static_cast<int>(mood)];
}

std::string describe(const Scenario& scenario) {
    std::string text;
    const auto line = [&text](const char* format, auto... values) {
        char buffer[200];
        std::snprintf(buffer, sizeof(buffer), format, values...);
        text += std::string("  ") + buffer + '\n';
    };
    const auto ms = [](Duration time) { return static_cast<long long>(time / 1ms); };
    line("%d gateways, %d endpoints, %.0f requests/s each, %lld ms, lists %s", scenario.settings.gateways,
         scenario.endpoints, scenario.requests_per_s, ms(scenario.length),
         scenario.settings.list_is_polled ? "polled" : "pushed");
    for (const auto& one : scenario.settings.classes) {
        line("class %s: deadline %lld ms, key window %lld ms", one.name.c_str(), ms(one.deadline),
             ms(one.key_window));
    }
    line("pipelines %d, half-way %d, shares: leaving %.2f, slow %.2f, new connections %.2f",
         scenario.pipelines, scenario.stops_half_way, scenario.leaving_share, scenario.slow_share,
         scenario.new_connection_share);
    if (scenario.long_value_every > 0)
        line("one value in %d of %zu bytes", scenario.long_value_every, scenario.long_value_bytes);
    if (scenario.upgrades_with_old_list) text += "  upgrades start with the first list\n";
    for (const auto& one : scenario.processes)
        line("%5lld ms gateway %d: %s", ms(one.at), one.gateway, name_of(one.event));
    for (const auto& one : scenario.endpoint_spells)
        line("%5lld ms endpoint %d: %s for %lld ms", ms(one.at), one.target, name_of(one.mood),
             ms(one.length));
    for (const auto& one : scenario.list_changes)
        line("%5lld ms endpoint %d: %s", ms(one.at), one.endpoint,
             one.event == ListEvent::kJoins ? "joins" : "drains");
    for (const auto& one : scenario.discovery_spells)
        line("%5lld ms discovery: %s for %lld ms", ms(one.at), name_of(one.mood), ms(one.length));
    for (const auto& one : scenario.counter_spells)
        line("%5lld ms counter: %s for %lld ms", ms(one.at), name_of(one.mood), ms(one.length));
    for (const auto& one : scenario.crowds)
        line("%5lld ms crowd of %d at gateway %d for %lld ms", ms(one.at), one.connections, one.gateway,
             ms(one.length));
    return text;
}

}  // namespace linnetlead::test_support::soak
