// A rollout: moves traffic from one pool (source, the old pool) to another (target, the new pool) in stages.
// The state machine runs on every gateway of the group. It advances when all gateways are in the same stage
// and the evidence shows that the new pool is good, and rolls back when the evidence shows that it is worse.
// Router owns the current rollout and passes in requests, attempts and the time; the state machine does no
// I/O.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "traffic/canary_analysis.h"
#include "traffic/gateway_group.h"
#include "traffic/slow_start_budget.h"

namespace linnetlead::traffic {

struct Stage {
    double share = 0;                          // of the requests, that go to the new pool
    Duration hold = std::chrono::seconds(20);  // at least; begins when the share has been reached
};

enum class Order { kRun, kPause, kAbort };

// A rollout as the operators' file defines it.
struct RolloutSettings {
    std::string name;
    int run = 1;  // a new number restarts a rollout that has ended
    std::string source, target;
    std::vector<std::string> classes, plans;  // empty: all
    bool by_account = false;                  // all requests of an account go to the same pool
    std::vector<Stage> stages;
    Duration step = std::chrono::seconds(5);  // in which the share rises to that of the stage
    Tolerance tolerance;
    // Longest time without a view of the other gateways; after it, nothing goes to the new pool.
    Duration lease = std::chrono::seconds(10);
    Duration deadline = std::chrono::hours(1);  // from the first stage; later the rollout does not advance
    bool undo_at_deadline = true;               // rolls back at the deadline; false: stays in its stage
    bool keep_at_end = true;                    // at the end the last share stays; false: it returns to 0
    double headroom = 1.5;                      // see SlowStartBudget::Settings
    Order order = Order::kRun;

    // Identifies the rollout on all gateways: a hash of its name, run, pools, classes, plans and shares. The
    // order, which may change while it runs, is not part of it.
    std::string id() const;
};

enum class State { kWaiting, kStepping, kHolding, kHalted, kRollingBack, kUndone, kDone };
const char* name_of(State state);

// A state transition, for the log.
struct Event {
    Timestamp at{};
    std::string move;
    State from = State::kWaiting, to = State::kWaiting;
    int stage = 0;
    double share = 0;  // of the new pool after the transition
    std::string reason;
};

class CanaryRollout {
public:
    struct Site {
        int gateways = 1;
        int self = 0;
        std::size_t classes = 1;
        std::uint64_t seed = 0;
        SlowStartBudget::Settings slow_start;  // its headroom is replaced by that of the rollout
    };
    CanaryRollout(RolloutSettings settings, Site site, Timestamp now, GroupChannel& channel,
                  std::function<void(const Event&)> on_event);

    // Call it about every 100 ms.
    void tick(Timestamp now);
    // Handles the total of a count of the shared counter.
    void receive_count(Timestamp now, const std::string& name, bool ok, double total);
    // Another gateway reported by datagram that it has halted this rollout.
    void receive_halt(Timestamp now) { roll_back(now, "another gateway has halted the move"); }
    // Sets the endpoints of both pools that are in service.
    void update_endpoints(Timestamp now, const std::vector<SlowStartBudget::Endpoint>& source,
                          const std::vector<SlowStartBudget::Endpoint>& target);

    // Decides whether a request goes to the new pool; if so, takes its work from the slow-start budget.
    // `draw` lies in [0, 1), and is random per request or derived from the account.
    bool selects_target(Timestamp now, int traffic_class, double draw);
    // Records a first attempt of any request that was sent to the old pool.
    void record_sent_to_source(Timestamp now, int traffic_class) {
        budget_.record_request(now, traffic_class, false);
    }
    // Records a first attempt that was sent to the new pool, for a request that was assigned to it.
    void record_sent_to_target(Timestamp now, int traffic_class);
    // Records the end of a first attempt that was sent to the pool its request was assigned to. `is_evidence`
    // is false if the outcome says nothing about the pool, such as a client that disconnected.
    void record_attempt_end(Side side, int traffic_class, double units, double latency_s, bool served,
                            bool met_objective, bool is_evidence);

    // The order is the only setting that can change while the rollout runs.
    void set_order(Timestamp now, Order order);

    const RolloutSettings& settings() const { return settings_; }
    State state() const { return state_; }
    int stage() const { return stage_; }  // 0: not started
    double share(Timestamp now) const;
    const std::string& reason() const { return reason_; }
    // What the rollout is waiting for, or why it ended; text for the operator.
    std::string verdict(Timestamp now) const;
    std::uint64_t counter_calls() const { return group_.counter_requests(); }
    const Evidence& evidence() const { return analysis_.evidence(); }
    // Number of requests that stayed in the old pool because of the slow-start budget.
    std::uint64_t bounded() const { return bounded_; }
    // Attempts in the new pool that have not ended.
    int outstanding() const { return outstanding_; }
    bool has_ended() const { return state_ == State::kUndone || state_ == State::kDone; }

private:
    // The phases that GatewayGroup counts: halted, then stage 0 (not started) to the last stage, then done.
    // The halted phase means rolled back; State::kHalted means paused, cut off or without endpoints.
    static constexpr int kHaltedPhase = 0;
    int phase_of_stage(int stage) const { return stage + 1; }
    int done_phase() const { return last_stage() + 2; }
    int last_stage() const { return static_cast<int>(settings_.stages.size()); }
    std::optional<int> phase() const;  // that this gateway publishes

    void enter_state(Timestamp now, State state, const std::string& reason);
    void go_to_stage(Timestamp now, int stage, const std::string& reason);
    void roll_back(Timestamp now, const std::string& reason);
    void finish(Timestamp now, const std::string& reason);
    void follow_group(Timestamp now);   // acts on a new view of the other gateways
    void recover_stage(Timestamp now);  // after a start, from the views of the other gateways
    // Rolls back, or counts the evaluations in a row that show a good pool.
    void evaluate_evidence(Timestamp now, bool has_new_evidence);
    bool is_hold_over(Timestamp now) const;
    bool may_advance(Timestamp now) const;
    double stage_share(int stage) const;
    std::string blocking_reason(Timestamp now) const;  // empty: it may advance

    RolloutSettings settings_;
    Site site_;
    std::function<void(const Event&)> on_event_;
    GroupChannel& channel_;
    CanaryAnalysis analysis_;
    SlowStartBudget budget_;
    GatewayGroup group_;
    State state_ = State::kWaiting;
    std::string reason_ = "the stage of the other gateways is not known yet";
    int stage_ = 0;
    int views_since_start_ = 0;
    bool is_stage_known_ = false;  // false after a start, until the others' views have been read
    bool is_cut_off_ = false;      // nothing goes to the new pool until all gateways report again
    bool is_paused_ = false;
    std::optional<Timestamp> last_view_at_;
    std::optional<Timestamp> first_stage_at_;
    Timestamp step_started_at_{};
    double step_start_share_ = 0;
    double paused_share_ = 0;
    Timestamp hold_started_at_{};
    int worse_looks_ = 0, good_looks_ = 0;  // evaluations in a row with this result
    Timestamp evaluated_pooled_at_{};
    std::size_t target_endpoints_ = 0, source_endpoints_ = 0;
    int outstanding_ = 0;
    int halt_messages_left_ = 0;
    // Requests that the stage's share assigns to the new pool, and those that the budget admitted; with
    // decay.
    double wanted_ = 0, admitted_ = 0;
    Timestamp last_tick_{};
    std::uint64_t bounded_ = 0;
};

}  // namespace linnetlead::traffic
