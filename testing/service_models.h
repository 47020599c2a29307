// Stand-ins for the systems around the gateways, as models: no I/O, no clock, every draw from a seed. The
// peers on sockets and the world in virtual time play the same ones.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "proxy/ports.h"
#include "testing/run_digest.h"

namespace linnetlead::test_support {

using proxy::Duration;
using proxy::Timestamp;

double seconds(Duration span);
Duration span_of(double seconds);

// Cores served first come, first served, with a waiting room; cold at its start; and its faults.
struct EndpointFigures {
    int cores = 2;
    double speed = 1.5;  // of a core, by the yardstick's
    int room = 32;       // calls in work and waiting; beyond it turns away
    double slow_start_min_share = 0.2;
    Duration ramp{};  // warm after so long, evenly; 0: warm at once
    double overload_multiple = 4;
    Duration overload_window = std::chrono::seconds(1);
    double mean_work = 0.122;  // seconds of a mean call, in which the budget is counted
    // Faults.
    double slow = 1;             // so many times slower
    double slow_under_load = 0;  // and by so much more for each core's worth of work that waits
    double errors = 0;           // share answered at once with an error
    bool turns_away = false;
    bool silent = false;
};

struct Told {
    proxy::Ending ending = proxy::Ending::kServed;
    Timestamp at{};
    bool never = false;  // no answer comes
};

class EndpointModel {
public:
    EndpointModel(EndpointFigures with, Timestamp started, std::uint64_t seed)
        : figures(with), started_(started), random_(seed) {}

    // What becomes of a call that arrives now, `work` seconds on a core of speed 1.
    Told arrive(Timestamp now, double work);
    double capacity(Timestamp now) const;  // seconds of work a second

    EndpointFigures figures;
    std::uint64_t calls = 0;
    // The most that was sent within the cold rule's window, in times of what it could do then, while cold.
    double max_when_cold = 0;
    // The same in calls of mean work beyond the budget of N that the settings allow then, in parts of what is
    // chance: 2 root N + 2. Over 1 it falls.
    double max_beyond_budget = -1e9;

private:
    Timestamp started_;
    std::mt19937_64 random_;
    std::multiset<Timestamp> free_at_;  // of each core
    std::multiset<Timestamp> busy_;     // when each call that it holds is done
    std::deque<std::pair<Timestamp, double>> lately_;
    double lately_sum_ = 0;
};

// The counter: names with totals and lives.
class CounterModel {
public:
    enum class Mood { kWell, kSilent, kRefusing };
    // Nothing: no answer comes.
    std::optional<double> tally(Timestamp now, const std::string& name, double amount, Duration life);
    void forget() { totals_.clear(); }

    Mood mood = Mood::kWell;
    std::uint64_t calls = 0;
    RunDigest called;  // names and amounts, in order

private:
    struct Total {
        double sum = 0;
        Timestamp end{};
    };
    std::map<std::string, Total> totals_;
    Timestamp swept_{};
};

// Classes, plans and calls in the shape of the operators' service.
struct Mix {
    std::vector<double> share{0.39, 0.35, 0.26};
    std::vector<double> work{0.145, 0.145, 0.057};  // mean seconds of a call of mean size
    double spread = 0.5;                            // of a call's work: sigma of its logarithm
    std::vector<double> latency_objective{1.2, 1.2, 0.5};
    std::vector<double> deadline{4, 5, 2};
    double overload_multiple = 4;                // as the settings say
    double plan_rate = 1000, plan_burst = 2000;  // of the one plan, in units
    int plan_open = 0;
};
policy::Settings settings_of(const Mix& mix, int gateways, int self);

struct DrawnCall {
    int traffic_class = 0;
    double units = 1;
    double work = 0;
    std::uint64_t tenant = 0;
};
DrawnCall draw_call(const Mix& mix, int tenants, std::mt19937_64& random);

}  // namespace linnetlead::test_support
