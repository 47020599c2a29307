// The interface through which SharedHealth sends reports, accesses replicated records and notifies its
// gateway. The gateway's server and the test workloads implement it.
#pragma once

#include <functional>
#include <string>

#include "cluster/agreement/replicated_records.h"
#include "linnetlead/policy.h"

namespace linnetlead::health {

enum class HealthEventKind {
    kOpinion,     // this gateway, as a keeper, changed its opinion on an endpoint
    kVerdict,     // the verdict on an endpoint, derived from all keepers' opinions, changed
    kOutlier,     // most endpoints fail at this gateway only: the fault is its own
    kNotOutlier,  // this is over
};
// The event's name in the log.
const char* to_string(HealthEventKind kind);

struct HealthEvent {
    policy::Timestamp at{};
    HealthEventKind kind = HealthEventKind::kOpinion;
    std::string text;
};

class HealthPort {
public:
    virtual ~HealthPort() = default;
    // Sends a datagram of reports to the gateway `gateway`, a keeper, if the transport's datagram budget
    // allows it. It may be lost.
    virtual void send_report(int gateway, const std::string& payload) = 0;
    // Writes an opinion's record. It is replicated to all gateways and expires after `life`.
    virtual void publish_opinion(const std::string& key, std::string value, policy::Duration life) = 0;
    // Calls `act` with each record whose key has the prefix, in key order.
    virtual void for_each_opinion(const std::string& prefix,
                                  const std::function<void(const agreement::Record&)>& act) const = 0;
    // Whether another gateway is up, according to the membership known here.
    virtual bool is_present(int gateway) const = 0;
    virtual void on_event(const HealthEvent& event) = 0;
    // SharedHealth::set_aside() has changed.
    virtual void on_set_aside_changed() = 0;
};

}  // namespace linnetlead::health
