// What one play of the soak consists of, drawn from one seed: the deployment, the clients' habits, and the
// disruptions with their moments. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::test_support::soak {

using policy::Duration;

// Of a gateway's process. One at a time for each gateway.
enum class ProcessEvent {
    kTerminate,          // SIGTERM, SIGKILL at the platform's earliest, and a new process
    kKill,               // SIGKILL outright, and a new process
    kTerminateInSeries,  // SIGHUP and SIGTERM twice within milliseconds, then as kTerminate
    kTerminateAtStart,   // a kill, and SIGTERM for the new process before its first answer to PING
    kHotRestart,         // a new process beside, and SIGTERM for the old one once the new one is ready
    kReloads,            // SIGHUP in a row, with changed files, good and bad
    kDrains,             // drain, activate, drain, activate
    kStop,               // SIGSTOP for as long as a gateway may be held up
};

enum class EndpointMood {
    kWell,
    kHangs,
    kResets,  // the connection, once the request is there
    kAnswersLate,
    kAnswersTwice,
    kForgetsIdle,  // closes connections that rest
    kTurnsAway,
    kGoesWhileAnswering,  // begins an answer and closes the connection
    kConnectsLate,        // connections come up once the spell is over
    kBreaksOff,           // closes connections amid long values
};
enum class DiscoveryMood { kWell, kSilent, kCut, kSlow, kRefuses };
enum class CounterMood { kWell, kSilent, kNonsense };
enum class ListEvent { kDrains, kJoins };

struct ProcessDisruption {
    ProcessEvent event{};
    int gateway = 0;
    Duration at{};
};
template <typename Mood>
struct Spell {
    Mood mood{};
    int target = 0;  // an endpoint; unused for the services
    Duration at{};
    Duration length{};
};
struct ListChange {
    ListEvent event{};
    int endpoint = 0;
    Duration at{};
};
// Connections that fill a gateway's descriptors: idle ones, such that stop amid a command, and slow writers.
struct Crowd {
    int gateway = 0;
    int connections = 0;
    Duration at{};
    Duration length{};
};

struct Scenario {
    std::uint64_t seed = 0;
    policy::Settings settings;  // of all gateways but for `self`
    int endpoints = 0;          // in service at the start
    int endpoint_cores = 2;
    Duration service_time{};  // mean, of a request on an idle endpoint
    int tenants = 0;
    int sockets = 0;  // descriptors that a gateway is told it may have
    int memory_mb = 0;
    double requests_per_s = 0;        // at each gateway
    bool pipelines = false;           // clients write several commands at once
    double leaving_share = 0;         // of requests whose client closes before the answer
    double new_connection_share = 0;  // of requests that come on a connection of their own
    double slow_share = 0;            // of requests that are written in two pieces
    int long_value_every = 0;         // one in so many requests has a long value; 0: none
    std::size_t long_value_bytes = 0;
    // Upgrades start with the list of the play's start; the older process knows better.
    bool upgrades_with_old_list = false;
    Duration connect_timeout{};   // of gateways to endpoints
    bool stops_half_way = false;  // some clients stop amid a command and stay
    Duration length{};            // of the load
    std::vector<ProcessDisruption> processes;
    std::vector<Spell<EndpointMood>> endpoint_spells;
    std::vector<Spell<DiscoveryMood>> discovery_spells;
    std::vector<Spell<CounterMood>> counter_spells;
    std::vector<ListChange> list_changes;
    std::vector<Crowd> crowds;
};

Scenario draw(std::uint64_t seed);

// Whether endpoints answer the request with this id with a long value.
bool has_long_value(const Scenario& scenario, std::uint64_t request);

// The longest deadline as the platform counts it for SIGKILL.
Duration counted_deadline(const Scenario& scenario);
// How soon SIGKILL may come behind SIGTERM.
Duration earliest_kill(const Scenario& scenario);

const char* name_of(ProcessEvent event);
const char* name_of(EndpointMood mood);
const char* name_of(DiscoveryMood mood);
const char* name_of(CounterMood mood);
std::string describe(const Scenario& scenario);

}  // namespace linnetlead::test_support::soak
