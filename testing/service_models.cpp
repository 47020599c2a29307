#include "testing/service_models.h"

#include <algorithm>
#include <cmath>

namespace linnetlead::test_support {

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
Duration span_of(double s) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s)); }

double EndpointModel::capacity(Timestamp now) const {
    double warm = 1;
    if (figures.ramp > Duration{0}) {
        const double age = std::clamp(seconds(now - started_) / seconds(figures.ramp), 0.0, 1.0);
        warm = figures.slow_start_min_share + (1 - figures.slow_start_min_share) * age;
    }
    return figures.cores * figures.speed * warm / figures.slow;
}

Told EndpointModel::arrive(Timestamp now, double work) {
    ++calls;
    if (figures.ramp > Duration{0} && now - started_ < figures.ramp) {
        lately_.emplace_back(now, work);
        lately_sum_ += work;
        while (!lately_.empty() && now - lately_.front().first > figures.overload_window) {
            lately_sum_ -= lately_.front().second;
            lately_.pop_front();
        }
        const double bears = capacity(now) * figures.slow * seconds(figures.overload_window);
        max_when_cold = std::max(max_when_cold, lately_sum_ / bears);
        const double budget = figures.overload_multiple * bears / figures.mean_work;
        const double beyond = lately_sum_ / figures.mean_work - budget;
        max_beyond_budget = std::max(max_beyond_budget, beyond / (2 * std::sqrt(budget) + 2));
    }
    if (figures.silent) return {proxy::Ending::kTimedOut, {}, true};
    if (figures.turns_away) return {proxy::Ending::kTurnedAway, now, false};
    std::uniform_real_distribution<double> chance;
    if (figures.errors > 0 && chance(random_) < figures.errors) return {proxy::Ending::kError, now, false};
    busy_.erase(busy_.begin(), busy_.upper_bound(now));
    if (static_cast<int>(busy_.size()) >= figures.room) return {proxy::Ending::kTurnedAway, now, false};
    while (static_cast<int>(free_at_.size()) < figures.cores) free_at_.insert(now);
    const Timestamp start = std::max(now, *free_at_.begin());
    free_at_.erase(free_at_.begin());
    const double waiting = std::max(0.0, static_cast<double>(busy_.size()) / figures.cores - 1);
    const double rate = capacity(now) / figures.cores / (1 + figures.slow_under_load * waiting);
    const Timestamp done = start + span_of(work / rate);
    free_at_.insert(done);
    busy_.insert(done);
    return {proxy::Ending::kServed, done, false};
}

std::optional<double> CounterModel::tally(Timestamp now, const std::string& name, double amount,
                                          Duration life) {
    ++calls;
    called.add(std::string_view(name));
    called.add(amount);
    constexpr Duration kMaxLife = std::chrono::seconds(60);
    if (now - swept_ > kMaxLife) {
        swept_ = now;
        for (auto at = totals_.begin(); at != totals_.end();) {
            at = at->second.end <= now ? totals_.erase(at) : std::next(at);
        }
    }
    Total& total = totals_[name];
    if (total.end <= now) total = {0, now + std::min(life, kMaxLife)};
    total.sum += amount;
    return mood == Mood::kWell ? std::optional(total.sum) : std::nullopt;
}

policy::Settings settings_of(const Mix& mix, int gateways, int self) {
    using policy::Idempotency;
    policy::Settings s;
    constexpr const char* kNames[] = {"quote-read", "quote-create", "slot-hold"};
    constexpr Idempotency kRepeats[] = {Idempotency::kIdempotent, Idempotency::kKeyed,
                                        Idempotency::kNonIdempotent};
    constexpr double kPriorityWeight[] = {1, 5, 2};
    for (std::size_t i = 0; i < mix.share.size(); ++i) {
        policy::TrafficClassSettings traffic_class;
        traffic_class.name = kNames[i];
        traffic_class.idempotency = kRepeats[i];
        traffic_class.latency_objective = span_of(mix.latency_objective[i]);
        traffic_class.deadline = span_of(mix.deadline[i]);
        traffic_class.key_window = std::chrono::seconds(10);
        traffic_class.priority_weight = kPriorityWeight[i];
        traffic_class.late_priority_weight = 0.2;
        s.classes.push_back(traffic_class);
    }
    policy::RatePlanSettings plan;
    plan.name = "basico";
    plan.rate = mix.plan_rate;
    plan.burst = mix.plan_burst;
    plan.max_concurrent = mix.plan_open;
    s.plans = {plan};
    s.gateways = gateways;
    s.self = self;
    s.zone = "dc-1";
    s.tick = std::chrono::milliseconds(4);
    s.may_use_counter = true;
    s.counter_timeout = std::chrono::milliseconds(80);
    s.max_units = 4;
    s.may_cancel = s.may_probe = s.retry_after = true;
    s.max_retry_after = std::chrono::seconds(1);
    s.max_attempts = 6;
    s.slow_start_min_share = 0.2;
    s.slow_start_window = std::chrono::seconds(18);
    s.overload_multiple = mix.overload_multiple;
    s.overload_window = std::chrono::seconds(1);
    return s;
}

DrawnCall draw_call(const Mix& mix, int tenants, std::mt19937_64& random) {
    std::discrete_distribution<int> traffic_class(mix.share.begin(), mix.share.end());
    std::uniform_int_distribution<int> units(1, 4), tenant(1, tenants);
    DrawnCall call;
    call.traffic_class = traffic_class(random);
    call.units = units(random);
    call.tenant = static_cast<std::uint64_t>(tenant(random));
    const double mean = mix.work[static_cast<std::size_t>(call.traffic_class)] * (0.5 + call.units / 5);
    std::lognormal_distribution<double> work(std::log(mean) - mix.spread * mix.spread / 2, mix.spread);
    call.work = work(random);
    return call;
}

}  // namespace linnetlead::test_support
