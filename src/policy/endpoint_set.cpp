#include "policy/endpoint_set.h"

#include <iterator>

namespace linnetlead::policy {

Endpoint* EndpointSet::find(const EndpointId& id) {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
}

const Endpoint* EndpointSet::find(const EndpointId& id) const {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
}

void EndpointSet::occupy(Endpoint& endpoint, Timestamp sent_at) {
    ++attempts_in_flight_;
    endpoint.in_flight.insert(sent_at);
}

void EndpointSet::release(const EndpointId& id, Timestamp sent_at) {
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end()) return;
    Endpoint& endpoint = it->second;
    const auto attempt = endpoint.in_flight.find(sent_at);
    if (attempt == endpoint.in_flight.end()) return;
    endpoint.in_flight.erase(attempt);
    if (endpoint.is_in_service()) --attempts_in_flight_;
    if (!endpoint.listed && endpoint.in_flight.empty()) endpoints_.erase(it);
}

void EndpointSet::prune_and_recount() {
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
        const bool is_gone = !it->second.listed && it->second.in_flight.empty();
        it = is_gone ? endpoints_.erase(it) : std::next(it);
    }
    in_service_count_ = 0;
    attempts_in_flight_ = 0;
    mean_weight_ = 0;
    for (const auto& [id, endpoint] : endpoints_) {
        if (!endpoint.is_in_service()) continue;
        attempts_in_flight_ += static_cast<double>(endpoint.in_flight.size());
        ++in_service_count_;
        mean_weight_ += (endpoint.weight() - mean_weight_) / in_service_count_;
    }
}

}  // namespace linnetlead::policy
