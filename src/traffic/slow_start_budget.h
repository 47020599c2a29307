// Limits the traffic to cold endpoints of the new pool of a rollout. The budget is work per second, derived
// from the load that the old pool's endpoints carry, the weights and start times of the new pool's endpoints,
// and the slow-start settings. CanaryRollout owns one per rollout.
//
// Each gateway measures only its own traffic, so the budgets of all gateways add up to the capacity of the
// pool, however the traffic is distributed over them and without communication between them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::traffic {

using policy::Duration;
using policy::Timestamp;

class SlowStartBudget {
public:
    struct Settings {
        double slow_start_min_share = 1;
        Duration slow_start_window{};
        double overload_multiple = 1;
        Duration overload_window{};
        double headroom = 1.5;  // multiple of the load per weight that the old pool carried
    };
    SlowStartBudget(Settings settings, std::size_t classes) : settings_(settings), work_s_(classes, 0.0) {}

    // An endpoint that is in service, of either pool.
    struct Endpoint {
        double weight = 1;
        Timestamp started{};
    };
    void update_endpoints(Timestamp now, std::vector<Endpoint> source, std::vector<Endpoint> target);

    // Updates the mean work of a class, in seconds, from an answer of the old pool.
    void record_latency(int traffic_class, double latency_s);
    // Records a request sent to a pool. The load of the old pool sets the measure, and later that of the new
    // pool as well.
    void record_request(Timestamp now, int traffic_class, bool target);
    // Takes the work of a request for the new pool from the budget; false if the budget is too small.
    bool try_take(Timestamp now, int traffic_class);

    // Capacity of the new pool now, as the equivalent weight of warm endpoints.
    double warm_weight(Timestamp now) const;
    double full_weight() const;
    // Work per second that may go to the new pool now; negative if not known yet. try_take() uses the value
    // that tick() or update_endpoints() computed last.
    double rate(Timestamp now) const;
    void tick(Timestamp now) { rate_ = rate(now); }

private:
    double work_of(int traffic_class) const;
    // Share of its full capacity that an endpoint has now, by its age.
    double warm_share(const Endpoint& endpoint, Timestamp now) const;
    // Starts a new one-second bucket if one is due.
    void roll_bucket(Timestamp now);

    Settings settings_;
    std::vector<double> work_s_;  // by class; 0: not known yet
    std::vector<Endpoint> source_, target_;
    double source_weight_ = 0;
    std::int64_t bucket_ = -1;            // number of the current second
    double bucket_work_[2] = {0, 0};      // source, target; in the current bucket
    double mean_work_per_s_[2] = {0, 0};  // source, target; EWMA
    double max_work_per_weight_ = 0;      // highest load per second and unit of weight, with slow decay
    double rate_ = -1;                    // work per second; negative: not known yet
    double available_work_ = 0;           // token bucket
    Timestamp refilled_at_{};
};

}  // namespace linnetlead::traffic
