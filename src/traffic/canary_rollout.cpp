#include "traffic/canary_rollout.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace linnetlead::traffic {

using namespace std::chrono_literals;

namespace {

// Thresholds of the log evidence. A threshold of log(x) bounds the probability of a wrong decision by 1/x.
// Those for a roll-back are strict, because the test is repeated: in up to eight stages, in a few epochs of
// each, and on every gateway's own evidence beside that of the group. The threshold for the next stage lets a
// pool that is slower than Tolerance::shown pass by chance in at most one of twenty cases.
const double kWorseLogEvidence = std::log(1000.0);
const double kOwnWorseLogEvidence = std::log(4000.0);
const double kGoodLogEvidence = std::log(20.0);
// Evaluations of the group's evidence before a decision. A lost count distorts only one of them.
constexpr int kLooksInARow = 2;
constexpr int kViewsToRecover = 3;       // after a start
constexpr double kHoldbackShare = 0.05;  // stays in the old pool until the end, for comparison
// Part of the requests assigned to the new pool that the slow-start budget must admit before the next stage.
constexpr double kMinReachedShare = 0.8;
constexpr double kDecayPerTick = 0.98;  // of the numbers of wanted and admitted requests
constexpr int kHaltMessageCopies = 3;   // datagrams can be lost
constexpr Duration kMaxEvidenceAge = 6s;
constexpr Duration kStepBackLag = 3s;  // within this time after a step, a view still shows the stage before

std::string percent(double share) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3g%%", share * 100);
    return text;
}

std::uint64_t hash_of(const std::string& text) {  // FNV-1a: gives the same value on every gateway
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return hash;
}

}  // namespace

std::string RolloutSettings::id() const {
    std::string text = name + '\n' + std::to_string(run) + '\n' + source + '\n' + target;
    for (const auto& traffic_class : classes) text += "\nc" + traffic_class;
    for (const auto& plan : plans) text += "\np" + plan;
    for (const Stage& stage : stages) text += '\n' + std::to_string(stage.share);
    char id[17];
    std::snprintf(id, sizeof(id), "%012llx",
                  static_cast<unsigned long long>(hash_of(text) & 0xffffffffffffULL));
    return id;
}

const char* name_of(State state) {
    constexpr std::array<const char*, 7> kNames{"waiting",      "stepping", "holding", "halted",
                                                "rolling back", "undone",   "done"};
    return kNames[static_cast<std::size_t>(state)];
}

CanaryRollout::CanaryRollout(RolloutSettings settings, Site site, Timestamp now, GroupChannel& channel,
                             std::function<void(const Event&)> on_event)
    : settings_(std::move(settings)),
      site_(site),
      on_event_(std::move(on_event)),
      channel_(channel),
      analysis_(site.classes, settings_.tolerance, site.seed),
      budget_(
          [&] {
              SlowStartBudget::Settings slow_start = site.slow_start;
              slow_start.headroom = settings_.headroom;
              return slow_start;
          }(),
          site.classes),
      group_(settings_.id(), site.gateways, static_cast<int>(settings_.stages.size()) + 3, channel),
      is_paused_(settings_.order == Order::kPause) {
    analysis_.restart(now);
    if (settings_.order == Order::kAbort) roll_back(now, "the operators' file says abort");
}

std::optional<int> CanaryRollout::phase() const {
    if (state_ == State::kRollingBack || state_ == State::kUndone) return kHaltedPhase;
    if (!is_stage_known_ || is_paused_) return std::nullopt;  // without its phase no gateway advances
    if (state_ == State::kDone) return done_phase();
    return phase_of_stage(stage_);
}

double CanaryRollout::stage_share(int stage) const {
    if (stage <= 0) return 0;
    const double share = settings_.stages[static_cast<std::size_t>(stage - 1)].share;
    return std::min(share, 1 - kHoldbackShare);
}

double CanaryRollout::share(Timestamp now) const {
    switch (state_) {
        case State::kDone:
            return settings_.keep_at_end ? settings_.stages.back().share : 0;
        case State::kStepping: {
            const double to = stage_share(stage_);
            const double part = settings_.step > Duration{0}
                                    ? std::clamp(std::chrono::duration<double>(now - step_started_at_) /
                                                     std::chrono::duration<double>(settings_.step),
                                                 0.0, 1.0)
                                    : 1;
            return step_start_share_ + (to - step_start_share_) * part;
        }
        case State::kHolding:
            return stage_share(stage_);
        case State::kHalted:
            return is_cut_off_ || target_endpoints_ == 0 ? 0 : paused_share_;
        default:
            return 0;
    }
}

void CanaryRollout::enter_state(Timestamp now, State state, const std::string& reason) {
    if (state == state_ && reason == reason_) return;
    const Event event{now, settings_.name, state_, state, stage_, 0, reason};
    state_ = state;
    reason_ = reason;
    if (on_event_) {
        Event event_with_share = event;
        event_with_share.share = share(now);
        on_event_(event_with_share);
    }
}

void CanaryRollout::go_to_stage(Timestamp now, int stage, const std::string& reason) {
    step_start_share_ = state_ == State::kWaiting ? 0 : std::min(share(now), stage_share(stage));
    step_started_at_ = now;
    stage_ = stage;
    worse_looks_ = good_looks_ = 0;
    wanted_ = admitted_ = 0;
    analysis_.restart(now);
    if (stage > 0 && !first_stage_at_) first_stage_at_ = now;
    enter_state(now, stage == 0 ? State::kWaiting : State::kStepping, reason);
}

void CanaryRollout::roll_back(Timestamp now, const std::string& reason) {
    if (state_ == State::kRollingBack || has_ended()) return;
    halt_messages_left_ = kHaltMessageCopies;
    // From here on no request goes to the new pool; outstanding attempts end by themselves.
    enter_state(now, State::kRollingBack, reason);
    if (outstanding_ == 0) enter_state(now, State::kUndone, reason);
}

void CanaryRollout::finish(Timestamp now, const std::string& reason) {
    enter_state(now, State::kDone, reason);
}

void CanaryRollout::set_order(Timestamp now, Order order) {
    settings_.order = order;
    if (order == Order::kAbort) return roll_back(now, "the operators' file says abort");
    const bool pause = order == Order::kPause;
    if (std::exchange(is_paused_, pause) == pause || has_ended() || state_ == State::kRollingBack) return;
    if (pause && stage_ > 0) {
        paused_share_ = share(now);
        enter_state(now, State::kHalted, "the operators' file says pause");
    } else if (!pause && state_ == State::kHalted && !is_cut_off_) {
        go_to_stage(now, stage_, "the operators' file says run");
    }
}

void CanaryRollout::update_endpoints(Timestamp now, const std::vector<SlowStartBudget::Endpoint>& source,
                                     const std::vector<SlowStartBudget::Endpoint>& target) {
    budget_.update_endpoints(now, source, target);
    source_endpoints_ = source.size();
    target_endpoints_ = target.size();
    if (stage_ == 0 || has_ended() || state_ == State::kRollingBack || is_paused_ || is_cut_off_) return;
    if (target.empty()) {
        enter_state(now, State::kHalted, "no worker of the new pool is in service");
    } else if (state_ == State::kHalted) {
        go_to_stage(now, stage_, "the new pool has workers in service again");
    }
}

bool CanaryRollout::selects_target(Timestamp now, int traffic_class, double draw) {
    const double wanted = share(now);
    if (wanted <= 0 || draw >= wanted) return false;
    if (state_ == State::kDone)
        return true;  // the budget no longer applies; the decision module enforces the pool's limits
    wanted_ += 1;
    if (!budget_.try_take(now, traffic_class)) {
        ++bounded_;
        return false;
    }
    admitted_ += 1;
    return true;
}

void CanaryRollout::record_sent_to_target(Timestamp now, int traffic_class) {
    budget_.record_request(now, traffic_class, true);
    ++outstanding_;
}

void CanaryRollout::record_attempt_end(Side side, int traffic_class, double units, double latency_s,
                                       bool served, bool met_objective, bool is_evidence) {
    if (side == Side::kTarget) outstanding_ = std::max(0, outstanding_ - 1);
    if (served && side == Side::kSource) budget_.record_latency(traffic_class, latency_s);
    if (!is_evidence || (state_ != State::kStepping && state_ != State::kHolding)) return;
    analysis_.record_attempt(side, traffic_class, units, latency_s, served, met_objective);
}

void CanaryRollout::receive_count(Timestamp now, const std::string& name, bool ok, double total) {
    if (group_.receive_count(now, name, ok, total) && group_.take_view()) follow_group(now);
}

// After a start this gateway does not know the stage of the others. It publishes no phase, which keeps them
// from advancing, until it has read a few slots. If the counter does not answer, it keeps waiting: a missing
// answer does not mean that no other gateway has begun.
void CanaryRollout::recover_stage(Timestamp now) {
    const GatewayGroup::View& view = *group_.view();
    if (++views_since_start_ < kViewsToRecover) return;
    is_stage_known_ = true;
    for (int stage = 0; stage <= last_stage(); ++stage) {
        if (view.gateways_in_phase[static_cast<std::size_t>(phase_of_stage(stage))] == 0) continue;
        return go_to_stage(now, stage, "the other gateways are at stage " + std::to_string(stage));
    }
    if (view.gateways_in_phase[static_cast<std::size_t>(done_phase())] > 0) {
        stage_ = last_stage();
        return finish(now, "the other gateways are done");
    }
    go_to_stage(now, 0, "no other gateway has begun");
}

void CanaryRollout::follow_group(Timestamp now) {
    const GatewayGroup::View& view = *group_.view();
    last_view_at_ = now;
    if (has_ended() || state_ == State::kRollingBack) return;
    if (view.gateways_in_phase[kHaltedPhase] > 0)
        return roll_back(now, "another gateway has halted the move");
    if (!is_stage_known_) return recover_stage(now);
    int lowest = -1, highest = -1;
    for (int stage = 0; stage <= last_stage() + 1; ++stage) {
        if (view.gateways_in_phase[static_cast<std::size_t>(phase_of_stage(stage))] == 0) continue;
        if (lowest < 0) lowest = stage;
        highest = stage;
    }
    if (is_cut_off_) {
        if (view.reporting_gateways < site_.gateways) return;  // not all gateways report yet
        is_cut_off_ = false;
        const int stage = lowest < 0 ? stage_ : std::min({lowest, stage_, last_stage()});
        return go_to_stage(now, stage, "the other gateways are heard again");
    }
    if (lowest < 0 || now - step_started_at_ < kStepBackLag) return;
    if (stage_ > lowest + 1) {
        // The gateways are more than one stage apart: the lower stage is the safe one.
        return go_to_stage(now, std::min(lowest, last_stage()),
                           "another gateway is at stage " + std::to_string(lowest));
    }
    if (highest == stage_ + 1 && lowest >= stage_ && view.reporting_gateways == site_.gateways &&
        !is_paused_ && state_ != State::kHalted && target_endpoints_ > 0) {
        if (stage_ == last_stage()) return finish(now, "the other gateways are done");
        go_to_stage(now, stage_ + 1, "another gateway has gone on");
    }
}

// Why the rollout stays in its stage; empty if it may advance.
std::string CanaryRollout::blocking_reason(Timestamp now) const {
    if (is_paused_) return "paused";
    const auto& view = group_.view();
    const Duration max_view_age = GatewayGroup::kSlot * 3;
    if (site_.gateways > 1 && (!view || now - view->at > max_view_age))
        return "cut off from the other gateways";
    if (!view) return "the counter has not answered yet";
    if (view->reporting_gateways < site_.gateways) {
        return std::to_string(view->reporting_gateways) + " of " + std::to_string(site_.gateways) +
               " gateways heard";
    }
    if (view->gateways_in_phase[static_cast<std::size_t>(phase_of_stage(stage_))] < site_.gateways) {
        return "not all gateways are at this stage";
    }
    if (target_endpoints_ == 0) return "no worker of the new pool is in service";
    if (stage_ == 0) return {};
    if (!is_hold_over(now)) return "the stage's hold time";
    if (admitted_ < kMinReachedShare * wanted_) return "the share is bounded by what cold workers bear";
    const GatewayGroup::Pooled& pooled = group_.pooled();
    const bool is_fresh = pooled.stage == stage_ && now - pooled.at < kMaxEvidenceAge;
    const double attempts = is_fresh ? pooled.sum.attempts : 0;
    if (attempts < static_cast<double>(settings_.tolerance.least)) {
        return "not enough traffic: " + std::to_string(static_cast<long long>(attempts)) + " of " +
               std::to_string(settings_.tolerance.least) + " attempts in the new pool";
    }
    if (good_looks_ < kLooksInARow) return "the new pool is not shown to be good enough yet";
    return {};
}

bool CanaryRollout::may_advance(Timestamp now) const { return blocking_reason(now).empty(); }

bool CanaryRollout::is_hold_over(Timestamp now) const {
    return stage_ == 0 ||
           now - hold_started_at_ >= settings_.stages[static_cast<std::size_t>(stage_ - 1)].hold;
}

void CanaryRollout::evaluate_evidence(Timestamp now, bool has_new_evidence) {
    if (analysis_.has_gross_failure()) {
        return roll_back(now, "gross failure: most of the last attempts in the new pool failed");
    }
    const Evidence& own = analysis_.evidence();
    const double own_slower = has_new_evidence ? log_evidence(own.slower, own.weight) : 0;
    if (own_slower >= kOwnWorseLogEvidence || own.failing >= kOwnWorseLogEvidence) {
        return roll_back(now, own_slower >= kOwnWorseLogEvidence ? "slower: this gateway's own evidence"
                                                                 : "fails more: this gateway's own evidence");
    }
    const GatewayGroup::Pooled& pooled = group_.pooled();
    if (pooled.stage != stage_ || pooled.at == evaluated_pooled_at_) return;
    evaluated_pooled_at_ = pooled.at;
    const Evidence& pooled_evidence = pooled.sum;
    const bool slower = log_evidence(pooled_evidence.slower, pooled_evidence.weight) >= kWorseLogEvidence;
    const bool failing = pooled_evidence.failing >= kWorseLogEvidence;
    worse_looks_ = slower || failing ? worse_looks_ + 1 : 0;
    if (worse_looks_ >= kLooksInARow) {
        return roll_back(now, slower ? "slower: the evidence of all gateways"
                                     : "fails more: the evidence of all gateways");
    }
    const bool shown = log_evidence(-pooled_evidence.shown, pooled_evidence.stage_weight) >= kGoodLogEvidence;
    good_looks_ = shown ? good_looks_ + 1 : 0;
}

void CanaryRollout::tick(Timestamp now) {
    last_tick_ = now;
    const bool has_new_evidence = analysis_.tick(now);
    budget_.tick(now);
    const bool moving = state_ == State::kStepping || state_ == State::kHolding;
    // The group's evidence is queried only if it can lead to a decision: this gateway's own evidence points
    // against the new pool, or the stage's hold time is over.
    const Evidence& own = analysis_.evidence();
    const bool held_long_enough = state_ == State::kHolding && is_hold_over(now);
    group_.tick(now, phase(), moving ? stage_ : 0, analysis_,
                held_long_enough || own.slower > 0 || own.failing > 0);
    if (group_.take_view()) follow_group(now);
    if (halt_messages_left_ > 0) {
        --halt_messages_left_;
        channel_.notify_peers(std::string(GatewayGroup::kPrefix) + settings_.id() + " halted");
    }
    wanted_ *= kDecayPerTick;
    admitted_ *= kDecayPerTick;
    if (state_ == State::kRollingBack && outstanding_ == 0) enter_state(now, State::kUndone, reason_);
    if (state_ == State::kRollingBack || has_ended() || !is_stage_known_) return;

    // Without a recent view of the others nothing goes to the new pool, because one of them may have rolled
    // back.
    const bool has_lost_contact =
        site_.gateways > 1 && (!last_view_at_ || now - *last_view_at_ > settings_.lease);
    if (has_lost_contact && !is_cut_off_ && stage_ > 0) {
        is_cut_off_ = true;
        return enter_state(now, State::kHalted, "cut off from the other gateways");
    }
    if (first_stage_at_ && settings_.undo_at_deadline && now - *first_stage_at_ > settings_.deadline) {
        return roll_back(now, "the deadline has passed: " + blocking_reason(now));
    }
    if (state_ == State::kHalted || is_cut_off_) return;
    if (state_ == State::kStepping && now - step_started_at_ >= settings_.step) {
        hold_started_at_ = now;
        enter_state(now, State::kHolding, "the share is " + percent(stage_share(stage_)));
    }
    if (moving) {
        evaluate_evidence(now, has_new_evidence);
        if (state_ == State::kRollingBack || has_ended()) return;
    }
    const bool is_late = first_stage_at_ && now - *first_stage_at_ > settings_.deadline;
    if (state_ == State::kStepping || is_late || !is_hold_over(now) || !may_advance(now)) return;
    if (stage_ == last_stage()) return finish(now, "every stage has been held and shown to be good");
    go_to_stage(now, stage_ + 1, stage_ == 0 ? "all gateways are ready" : "shown to be good");
}

std::string CanaryRollout::verdict(Timestamp now) const {
    if (has_ended() || state_ == State::kRollingBack || state_ == State::kHalted) return reason_;
    if (state_ == State::kStepping) return "stepping";
    const std::string reason = blocking_reason(now);
    return reason.empty() ? "good" : reason;
}

}  // namespace linnetlead::traffic
