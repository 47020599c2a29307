// Connects the prepared statements with the running gateway: sends preparations to endpoints, releases and
// answers parked requests, and writes the log.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/agreement/config_agreement.h"
#include "cluster/statements/prepared_statements.h"
#include "net/loop.h"
#include "proxy/one_shot_client.h"
#include "proxy/request_manager.h"
#include "server/config.h"
#include "server/log.h"

namespace linnetlead::server {

class StatementAdapter final : public statements::StatementGateway {
public:
    // All outlive it. `unready_changed`: the endpoints that can execute none of the statements in use are
    // others now.
    StatementAdapter(const Config& config, const agreement::ConfigAgreement& agreement, net::Loop& loop,
                     proxy::RequestManager& requests, Log& log, std::function<void()> unready_changed);

    // Where preparations are reported; before the first one.
    void set_statements(statements::PreparedStatements* statements) { statements_ = statements; }
    // The endpoint list, or a change of it, with the endpoints' addresses.
    void on_addresses(policy::EndpointListKind kind, const std::vector<proxy::DiscoveredEndpoint>& entries);
    void close() { client_.close(); }

    void prepare(const policy::EndpointId& endpoint, std::uint64_t preparation_key,
                 const std::string& body) override;
    void release(proxy::Handle request) override;
    void answer(proxy::Handle request, proxy::Verdict verdict, const std::string& value) override;
    void on_unready_changed() override;
    void on_event(const statements::StatementEvent& event) override;
    std::string_view body_of(const proxy::Payload& payload) const override;
    proxy::Payload with_body(const proxy::Payload& payload, std::string_view head,
                             std::string_view rest) const override;

private:
    const agreement::ConfigAgreement& agreement_;
    net::Loop& loop_;
    proxy::RequestManager& requests_;
    Log& log_;
    std::function<void()> unready_changed_;
    statements::PreparedStatements* statements_ = nullptr;
    net::OneShotClient client_;
    std::string verb_, pairs_;                                       // of the requests that prepare
    std::unordered_map<policy::EndpointId, std::string> addresses_;  // as long as the list
    std::uint64_t own_requests_ = 0;
};

}  // namespace linnetlead::server
