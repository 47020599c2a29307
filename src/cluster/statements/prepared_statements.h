// Prepared statements at one gateway: tracks the active ones, and handles the requests that define, drop or
// execute one. Definitions are records of the config agreement and the catalog is one of its topics, so that
// all gateways execute the same edition. StatementPreparation prepares the statements on the endpoints. The
// request manager calls this class through proxy::StatementPort, the gateway's server calls the rest. No I/O
// and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "cluster/agreement/config_agreement.h"
#include "cluster/statements/active_catalog.h"
#include "cluster/statements/parked_requests.h"
#include "cluster/statements/statement_gateway.h"
#include "cluster/statements/statement_preparation.h"
#include "proxy/ports.h"

namespace linnetlead::statements {

using proxy::Handle;

class PreparedStatements final : public proxy::StatementPort {
public:
    struct Settings {
        int gateways = 1;
        int self = 0;
        double prepares_per_s = 10;       // on one endpoint, after its slow start
        int max_concurrent_prepares = 2;  // on one endpoint
        double slow_start_min_share = 1;  // of prepares_per_s, on an endpoint that has just started
        Duration slow_start_window{};     // until it gets prepares_per_s
        Duration max_wait = std::chrono::seconds(1);  // parks an execution at most so long for an endpoint
        // Each disables a safeguard, so that a test can show the failure it prevents. Never set in a gateway.
        struct TestSeams {
            bool every_gateway_prepares = false;
            bool without_exclusive_wait = false;  // between two versions of the catalog or of the schemas
        };
        TestSeams test_seams;
    };
    // `agreement` and `gateway` have to outlive this object.
    PreparedStatements(const Settings& settings, agreement::ConfigAgreement& agreement,
                       StatementGateway& gateway);

    // Calls from the config agreement, for its topic kTopic and its records.
    static constexpr const char* kTopic = "forms";
    // Checks a proposed catalog and reports the result to the agreement, once every definition has arrived.
    void check_catalog(Timestamp now, agreement::Version version, const std::string& value);
    void on_catalog_activated(Timestamp now, const std::string& value);
    void on_record(Timestamp now, const agreement::Record& record);
    // Sets the schema versions of the active operators' file.
    void set_schemas(Timestamp now, const Schemas& versions);
    void on_endpoint_list(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries);
    // To be called about every 40 ms.
    void tick(Timestamp now);
    // The endpoint's answer to a preparation, or its failure.
    void on_prepared(Timestamp now, const EndpointId& endpoint, std::uint64_t preparation_key,
                     PreparationResult result, std::string_view error);
    // Processes a payload of another gateway that begins with kPayloadMark.
    void on_payload(Timestamp now, const std::string& payload);
    static constexpr char kPayloadMark = StatementPreparation::kPayloadMark;

    // Implements proxy::StatementPort.
    Ruling taken(Timestamp now, Handle handle, policy::Request& request,
                 const proxy::Payload& payload) override;
    bool sending(Timestamp now, Handle handle, const EndpointId& endpoint, const proxy::Payload& payload,
                 proxy::Payload& changed) override;
    bool moved_on(Timestamp now, Handle handle, const EndpointId& endpoint, std::string_view error) override;
    void over(Handle handle) override;

    // Endpoints that can execute none of the recently used statements.
    const std::unordered_set<EndpointId>& unready() const { return preparation_.unready(); }
    const std::map<std::string, Statement>& catalog() const { return catalog_.statements(); }
    bool is_prepared(const EndpointId& endpoint, const std::string& statement) const;
    std::size_t prepared_on(const EndpointId& endpoint) const { return preparation_.prepared_on(endpoint); }
    std::uint64_t preparations() const { return preparation_.preparations(); }
    std::size_t parked() const { return parked_.size(); }
    int keeper_of(const EndpointId& endpoint) const { return preparation_.keeper_of(endpoint); }
    // The bit of the pool that holds the unready endpoints.
    static constexpr policy::PoolSet kUnreadyBit = policy::PoolSet{1} << 30;

private:
    void event(Timestamp now, StatementEventKind kind, const std::string& text);
    // The time from which no gateway acts on the previous version of the catalog or of the schemas.
    Timestamp exclusive_from() const;
    bool is_usable(Timestamp now) const { return now >= exclusive_from() && !agreement_.fenced(now); }
    // Whether this gateway has the definition that a catalog names.
    bool is_defined_here(const Statement& named) const;
    void check_pending_catalogs(Timestamp now);
    void propose_catalog(Timestamp now);
    Ruling define(Timestamp now, Handle handle, const RequestHead& head, ParkedRequest parked);
    Ruling drop(Timestamp now, Handle handle, const RequestHead& head, ParkedRequest parked);
    Ruling execute(Timestamp now, Handle handle, policy::Request& request, ParkedRequest parked);
    void handle_parked(Timestamp now);

    // What to do with a parked request.
    struct Outcome {
        enum class Action { kWait, kRelease, kAnswer };
        Action action = Action::kWait;
        proxy::Verdict verdict = proxy::Verdict::kServed;
        std::string value;
    };
    Outcome outcome_of(Timestamp now, const ParkedRequest& parked) const;
    Outcome outcome_of_definition(const ParkedRequest& parked) const;
    Outcome outcome_of_execution(Timestamp now, const ParkedRequest& parked) const;

    Settings settings_;
    agreement::ConfigAgreement& agreement_;
    StatementGateway& gateway_;
    ActiveCatalog catalog_;
    StatementPreparation preparation_;
    ParkedRequests parked_;
    // Statement names of the open executions, by packed handle.
    std::unordered_map<std::uint64_t, std::string> executing_;
    // Proposed catalogs of which some definitions have not arrived yet.
    std::vector<std::pair<agreement::Version, std::string>> pending_catalogs_;
    Timestamp next_keeper_update_{}, proposed_at_{};
};

}  // namespace linnetlead::statements
