#include "policy/probe_pool.h"

#include <utility>

namespace linnetlead::policy {

namespace {

using namespace std::chrono_literals;

// Probes are sent if the limit on attempts in flight is below this number per endpoint, since this gateway's
// own attempts then show too little.
constexpr double kMinAttemptsPerEndpoint = 0.125;
constexpr double kProbesPerAttempt = 0.25;
constexpr int kAttemptsPerProbe = 8;       // attempts that one answered probe is used for
constexpr Duration kMaxProbeAge = 2500ms;  // older answers are dropped
constexpr std::size_t kMaxProbedEndpoints = 16;

}  // namespace

void ProbePool::on_attempt_sent(Timestamp now) {
    if (!context_.settings.may_probe) return;
    if (context_.limiter.total_limit() >= kMinAttemptsPerEndpoint * context_.endpoints.in_service_count())
        return;
    Endpoint& endpoint = context_.pools.draw(context_.pools.candidates(kAllPools));
    if (endpoint.probe_in_flight) return;
    if (context_.random.uniform() >= kProbesPerAttempt * context_.slow_start.share(endpoint, now)) return;
    endpoint.probe_in_flight = true;
    context_.actions.probe(endpoint.info.id);
}

void ProbePool::on_result(Timestamp now, const EndpointId& id, Outcome outcome) {
    Endpoint* const endpoint = context_.endpoints.find(id);
    if (!endpoint || !std::exchange(endpoint->probe_in_flight, false)) return;
    if (outcome == Outcome::kOk) healthy_endpoints_.push_back({id, now, kAttemptsPerProbe});
    if (healthy_endpoints_.size() > kMaxProbedEndpoints) healthy_endpoints_.pop_front();
}

const std::deque<ProbedEndpoint>& ProbePool::healthy_endpoints(Timestamp now) {
    while (!healthy_endpoints_.empty() && now - healthy_endpoints_.front().answered_at > kMaxProbeAge)
        healthy_endpoints_.pop_front();
    return healthy_endpoints_;
}

void ProbePool::consume(std::size_t index) {
    if (--healthy_endpoints_[index].attempts_left <= 0)
        healthy_endpoints_.erase(healthy_endpoints_.begin() + static_cast<std::ptrdiff_t>(index));
}

}  // namespace linnetlead::policy
