// One simulated gateway: owns a Policy, and writes its actions as messages to the simulator.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "linnetlead/policy.h"
#include "simulator_adapter/message_fields.h"
#include "simulator_adapter/wire_terms.h"

namespace linnetlead::simulator_adapter {

class GatewayInstance final : public policy::Actions {
public:
    // Replies are appended to `reply`, which must outlive the instance.
    GatewayInstance(std::int64_t number, std::string& reply)
        : number_(std::to_string(number)), reply_(reply) {}

    void send(policy::RequestId id, const policy::EndpointId& endpoint, policy::Duration timeout) override;
    void reject(policy::RequestId id, policy::Duration retry_after) override;
    void fail(policy::RequestId id) override;
    void cancel(policy::RequestId id, int attempt) override;
    void probe(const policy::EndpointId& endpoint) override;
    void add_to_counter(const std::string& name, double amount, policy::Duration life) override;
    void wake(policy::Timestamp at) override;
    void watch_endpoints() override;
    void log(const std::string& text) override;

    // Calls `event`, which passes an event to the policy, if the instance is running. An exception from the
    // policy is reported to the simulator and stops the instance.
    template <typename Event>
    void handle(Event&& event) {
        if (!running) return;
        try {
            event();
        } catch (const WireError&) {
            throw;
        } catch (const std::exception& error) {
            report_failure(error.what());
        }
    }
    void stop();

    bool running = false;
    std::unique_ptr<policy::Policy> policy;
    std::unordered_map<std::string, int> traffic_classes;  // index by name
    std::unordered_map<std::string, int> plans;            // index by name
    std::vector<std::string> report_fields;  // names, in the order of the values of a load report

private:
    void report_failure(const std::string& what);
    void write_reply(ReplyKind kind, const std::string& values);

    std::string number_;
    std::string& reply_;
};

}  // namespace linnetlead::simulator_adapter
