// Simulated gateways that share what they see of their endpoints, in virtual time: the real agreement and
// health code, and endpoints whose latencies and failures are drawn, by gateway and class where a test wants
// it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/health/shared_health.h"
#include "testing/simulated_cluster.h"

namespace linnetlead::test_support {

struct HealthWorkloadSettings {
    SimulatedClusterSettings fleet;
    int endpoints = 8;
    double requests_per_s = 120;  // at all gateways together
    health::SharedHealth::Settings health;
    Duration latency_objective = std::chrono::milliseconds(600);
};

struct SimulatedEndpoint {
    std::string id;
    Timestamp started{};
    double slowness = 1;  // times its usual latency
    double failure_rate = 0;
    // Instead of `failure_rate`, for faults of links or classes.
    std::function<double(int gateway, int traffic_class)> failure_rate_for;
    bool in_service = true;
    std::uint64_t requests = 0;
};

class HealthWorkload {
public:
    explicit HealthWorkload(HealthWorkloadSettings settings);
    ~HealthWorkload();

    SimulatedCluster fleet;
    SimulatedEndpoint& endpoint(int number) { return endpoints_[static_cast<std::size_t>(number)]; }
    health::SharedHealth& health(int gateway) { return *health_[static_cast<std::size_t>(gateway)]; }
    void notify_list();
    void send_requests(bool on) { sends_requests_ = on; }

    // Gateways that run and have the endpoint degraded.
    int gateways_degrading(int endpoint);
    // When each gateway first did since then; 0: not.
    std::vector<Timestamp> degraded_at(int endpoint, Timestamp since) const;
    // Verdicts of this kind that a gateway has made since then.
    int verdicts(int gateway, const std::string& verdict, Timestamp since = {}) const;
    std::uint64_t requests = 0, in_time = 0;  // in time: within the latency objective

private:
    class Port;
    std::vector<policy::EndpointInfo> entries() const;
    void next_request();
    void begin(int gateway);

    HealthWorkloadSettings settings_;
    std::mt19937_64 random_;
    std::vector<SimulatedEndpoint> endpoints_;
    std::vector<std::unique_ptr<Port>> ports_;
    std::vector<std::unique_ptr<health::SharedHealth>> health_;
    struct RecordedVerdict {
        Timestamp at{};
        int gateway = 0;
        std::string text;
    };
    std::vector<RecordedVerdict> verdicts_;
    bool sends_requests_ = true;
};

}  // namespace linnetlead::test_support
