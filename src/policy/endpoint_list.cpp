#include "policy/endpoint_list.h"

namespace linnetlead::policy {

namespace {

using namespace std::chrono_literals;

constexpr Duration kSubscriptionRetry = 2s;  // after a broken subscription

}  // namespace

void EndpointList::on_notification(Timestamp now, EndpointListKind kind,
                                   const std::vector<EndpointInfo>& entries) {
    if (kind == EndpointListKind::kFailed) {  // the last list stays valid
        if (context_.settings.list_is_polled) {
            context_.tasks.schedule(now + kSubscriptionRetry, {TaskKind::kWatchEndpoints, {}});
        }
        return;
    }
    if (kind != EndpointListKind::kChanges) {
        for (auto& [id, endpoint] : context_.endpoints.all()) endpoint.listed = false;
    }
    for (const EndpointInfo& entry : entries) apply(entry);
    context_.endpoints.prune_and_recount();
    context_.pools.clear();
    context_.limiter.on_endpoints_changed();
}

void EndpointList::apply(const EndpointInfo& entry) {
    const auto [it, is_new] = context_.endpoints.all().try_emplace(entry.id);
    Endpoint& endpoint = it->second;
    const bool is_new_process = is_new || endpoint.info.started != entry.started;
    if (is_new_process) {  // state learned from the previous process does not apply
        context_.detector.reset(endpoint);
        context_.limiter.reset(endpoint);
    }
    endpoint.info = entry;
    context_.detector.assign_domains(endpoint);
    endpoint.listed = entry.state != EndpointState::kRemoved;
}

}  // namespace linnetlead::policy
