// Connects the shared health of endpoints with the config agreement, whose datagrams and records it uses, and
// with the log.
#pragma once

#include <functional>
#include <string>

#include "cluster/agreement/config_agreement.h"
#include "cluster/health/health_port.h"
#include "net/loop.h"
#include "server/log.h"

namespace linnetlead::server {

class HealthAdapter final : public health::HealthPort {
public:
    // All outlive it. `set_aside_changed`: the endpoints that are set aside are others now.
    HealthAdapter(agreement::ConfigAgreement& agreement, net::Loop& loop, Log& log,
                  std::function<void()> set_aside_changed);

    void send_report(int gateway, const std::string& payload) override;
    void publish_opinion(const std::string& key, std::string value, policy::Duration life) override;
    void for_each_opinion(const std::string& prefix,
                          const std::function<void(const agreement::Record&)>& act) const override;
    bool is_present(int gateway) const override;
    void on_event(const health::HealthEvent& event) override;
    void on_set_aside_changed() override;

private:
    agreement::ConfigAgreement& agreement_;
    net::Loop& loop_;
    Log& log_;
    std::function<void()> set_aside_changed_;
};

}  // namespace linnetlead::server
