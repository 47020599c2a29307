// The config agreement in the running gateway, and what is built on it: shared health of endpoints and
// prepared statements. Gives them datagrams, counter requests, timers, the log, and the file that survives a
// crash. One topic of the agreement is the operators' file.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "admin/maintenance_overrides.h"
#include "cluster/agreement/config_agreement.h"
#include "cluster/health/shared_health.h"
#include "cluster/statements/prepared_statements.h"
#include "net/datagram_link.h"
#include "net/loop.h"
#include "proxy/request_manager.h"
#include "server/config.h"
#include "server/endpoint_warnings.h"
#include "server/health_adapter.h"
#include "server/log.h"
#include "server/statement_adapter.h"
#include "storage/state_file.h"

namespace linnetlead::server {

// As the operators' file has it.
struct AgreementServiceSettings {
    bool wanted = false;
    std::uint64_t version = 0;  // of the file
    std::string snapshot;       // path, with {gateway} for the gateway's name; empty: none
    proxy::Duration lease = std::chrono::seconds(2);
    proxy::Duration tombstones = std::chrono::hours(1);
    bool with_health = false;
    health::SharedHealth::Settings health_settings;
    bool with_statements = false;
    statements::PreparedStatements::Settings statement_settings;
    statements::Schemas schemas;
};

class AgreementService {
public:
    struct Callbacks {
        // Reads a text as an operators' file, off the loop's thread, and answers by set_check_result().
        std::function<void(agreement::Version version, const std::string& text)> check;
        // The text is empty where the agreement carried only its hash.
        std::function<void(agreement::Version version, const std::string& text)> activated;
        std::function<void(bool fenced)> fenced;
        std::function<void()> set_aside;  // the endpoints that are set aside are others now
        std::function<void()> unready;    // and those that no prepared statement can be served by
    };
    // Of the gateway; all outlive the service.
    struct Parts {
        net::Loop& loop;
        net::DatagramLink* peers;  // null where there is no way to other gateways
        proxy::RequestManager& gateway;
        proxy::CounterPort& counter;
        admin::MaintenanceOverrides& overrides;
        Log& log;
    };
    AgreementService(const AgreementServiceSettings& settings, const Config& config, const Parts& parts,
                     Callbacks callbacks);
    ~AgreementService();
    AgreementService(const AgreementService&) = delete;
    AgreementService& operator=(const AgreementService&) = delete;

    // Reads what was agreed before, if there is a file, and begins.
    void start();
    void close();
    // This gateway is about to go: the others need not find out.
    void leave() { agreement_.leave(loop_.now()); }

    // Proposes this gateway's own file.
    Status propose(std::uint64_t version, const std::string& text);
    // The answer to a `check` callback.
    void set_check_result(agreement::Version version, bool can_act_on_it);
    bool is_own(std::uint64_t hash) const { return own_hash_ == hash; }

    void on_datagram(int from, std::string_view datagram);
    // True where the count is one of the agreement's.
    bool on_counter_answer(const std::string& name, policy::CounterStatus status, double total);
    bool fenced() const { return agreement_.fenced(loop_.now()); }
    const agreement::ConfigAgreement& agreement() const { return agreement_; }
    health::SharedHealth* health() { return health_.get(); }
    statements::PreparedStatements* statements() { return statements_.get(); }
    // By the file in force.
    void schemas(const statements::Schemas& versions);
    // The list, with the addresses; and as the module is told of it.
    void addresses(policy::EndpointListKind kind, const std::vector<proxy::DiscoveredEndpoint>& entries);
    void listed(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries);

    // For the second address and SIGUSR1.
    nlohmann::json state() const;
    // Why the state of an earlier process could not be used; empty: it could, or there was none.
    const std::string& state_problem() const { return file_.problem(); }

private:
    static constexpr proxy::Duration kTickEvery = std::chrono::milliseconds(40);
    static constexpr proxy::Duration kSaveEvery = std::chrono::milliseconds(200);
    struct Saving;
    agreement::ConfigAgreement::Callbacks callbacks_to(net::DatagramLink* peers, proxy::CounterPort& counter);
    void arm();
    void tick();
    void save();
    void check_catalog(agreement::Version version, const std::string& value);
    void check_settings(agreement::Version version, const std::string& value);
    void make_statements(const Config& config);
    void make_health(const Config& config, bool has_peers);

    AgreementServiceSettings settings_;
    storage::StateFile file_;
    net::Loop& loop_;
    admin::MaintenanceOverrides& overrides_;
    Log& log_;
    Callbacks callbacks_;
    agreement::ConfigAgreement agreement_;
    EndpointWarnings warnings_;
    std::unique_ptr<HealthAdapter> health_adapter_;
    std::unique_ptr<health::SharedHealth> health_;
    std::unique_ptr<StatementAdapter> statement_adapter_;
    std::unique_ptr<statements::PreparedStatements> statements_;
    proxy::RequestManager& gateway_;
    proxy::Handle timer_;
    std::optional<proxy::Timestamp> asked_wake_;
    Saving* saving_ = nullptr;
    std::uint64_t saved_changes_ = 0, own_hash_ = 0;
    proxy::Timestamp saved_at_{};
};

}  // namespace linnetlead::server
