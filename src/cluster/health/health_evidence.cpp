#include "cluster/health/health_evidence.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace linnetlead::health {

using policy::Outcome;

void DecayingStats::decay_to(Timestamp now) {
    if (now <= at) return;
    const double left = std::exp2(-std::chrono::duration<double>(now - at) / kHalfLife);
    attempts *= left;
    failures *= left;
    answered *= left;
    log_slowness *= left;
    at = now;
}

DecayingStats DecayingStats::decayed_to(Timestamp now) const {
    DecayingStats decayed = *this;
    decayed.decay_to(now);
    return decayed;
}

void HealthEvidence::set_endpoint(const EndpointId& id, const std::string& kind, Timestamp started) {
    Endpoint& endpoint = endpoints_[id];
    endpoint.kind = kind;
    if (endpoint.started == started) return;
    endpoint.started = started;
    endpoint.stats = {};
}

void HealthEvidence::remove(const EndpointId& id) {
    endpoints_.erase(id);
    changed_.erase(std::remove(changed_.begin(), changed_.end(), id), changed_.end());
}

const DecayingStats* HealthEvidence::stats(const EndpointId& id) const {
    const auto at = endpoints_.find(id);
    return at == endpoints_.end() ? nullptr : &at->second.stats;
}

void HealthEvidence::on_attempt_end(Timestamp now, const EndpointId& id, int traffic_class, double units,
                                    Outcome outcome, Duration latency) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end() || outcome == Outcome::kRejected || outcome == Outcome::kCancelled ||
        outcome == Outcome::kNotSent) {
        return;
    }
    DecayingStats& stats = at->second.stats;
    stats.decay_to(now);
    stats.at = now;
    stats.attempts += 1;
    if (outcome == Outcome::kOk) {
        const double latency_s = std::chrono::duration<double>(latency).count();
        stats.answered += 1;
        stats.log_slowness += baseline_.log_slowness(at->second.kind, traffic_class, units, latency_s, id);
    } else {
        stats.failures += 1;
    }
    mark_changed(id);
}

void HealthEvidence::mark_changed(const EndpointId& id) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end()) return;
    if (at->second.changed) changed_.erase(std::find(changed_.begin(), changed_.end(), id));
    at->second.changed = true;
    changed_.push_back(id);
}

std::vector<EndpointId> HealthEvidence::take_changed(std::size_t limit) {
    std::vector<EndpointId> taken;
    while (!changed_.empty() && taken.size() < limit) {
        taken.push_back(std::move(changed_.back()));
        changed_.pop_back();
        endpoints_[taken.back()].changed = false;
    }
    return taken;
}

}  // namespace linnetlead::health
