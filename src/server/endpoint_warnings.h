// Warnings that gateways give each other of endpoints that drain or are gone by one gateway's list, since the
// lists of the others may be late. Each is a record of the config agreement that expires by itself, and an
// override at every gateway while it stands.
#pragma once

#include <map>
#include <string>

#include "admin/maintenance_overrides.h"
#include "cluster/agreement/config_agreement.h"
#include "net/loop.h"

namespace linnetlead::server {

class EndpointWarnings {
public:
    // All outlive it.
    EndpointWarnings(agreement::ConfigAgreement& agreement, admin::MaintenanceOverrides& overrides,
                     net::Loop& loop)
        : agreement_(agreement), overrides_(overrides), loop_(loop) {}

    // This gateway's own list changed: gives a warning, or takes back one of its own.
    void on_own_list_change(const proxy::EndpointId& endpoint, proxy::Timestamp started, bool wanted);
    // A record came, of a warning or of something else.
    void on_record(const agreement::Record& record);
    // Ends what has expired.
    void remove_expired(proxy::Timestamp now);

private:
    static constexpr proxy::Duration kLife = std::chrono::seconds(60);

    agreement::ConfigAgreement& agreement_;
    admin::MaintenanceOverrides& overrides_;
    net::Loop& loop_;
    std::map<proxy::EndpointId, proxy::Timestamp> warned_until_;  // as long as the records
};

}  // namespace linnetlead::server
