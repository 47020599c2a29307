#include "server/health_adapter.h"

#include <utility>

#include "server/sync_points.h"

namespace linnetlead::server {

HealthAdapter::HealthAdapter(agreement::ConfigAgreement& agreement, net::Loop& loop, Log& log,
                             std::function<void()> set_aside_changed)
    : agreement_(agreement), loop_(loop), log_(log), set_aside_changed_(std::move(set_aside_changed)) {}

void HealthAdapter::send_report(int gateway, const std::string& payload) {
    agreement_.send_application(loop_.now(), gateway, payload);
}

void HealthAdapter::publish_opinion(const std::string& key, std::string value, policy::Duration life) {
    agreement_.put_record(loop_.now(), key, std::move(value), life);
}

void HealthAdapter::for_each_opinion(const std::string& prefix,
                                     const std::function<void(const agreement::Record&)>& act) const {
    agreement_.for_each_record(prefix, act);
}

bool HealthAdapter::is_present(int gateway) const { return agreement_.members().is_present(gateway); }

void HealthAdapter::on_event(const health::HealthEvent& event) {
    reach_point();
    log_.write(event.at, "health", {{"what", to_string(event.kind)}, {"text", event.text}});
}

void HealthAdapter::on_set_aside_changed() { set_aside_changed_(); }

}  // namespace linnetlead::server
