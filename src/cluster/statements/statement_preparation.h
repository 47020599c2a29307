// Prepares the active statements on the endpoints that this gateway is the keeper of, at a limited rate for
// each endpoint, and tracks which statements each endpoint can execute. PreparedStatements calls it. No I/O
// and no clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

#include "cluster/agreement/config_agreement.h"
#include "cluster/statements/active_catalog.h"
#include "cluster/statements/statement_cache.h"
#include "cluster/statements/statement_gateway.h"
#include "cluster/statements/statement_usage.h"

namespace linnetlead::statements {

enum class PreparationResult {
    kDone,
    kRejected,  // the endpoint answered with an error
    kFailed,    // no answer
};

class StatementPreparation {
public:
    struct Settings {
        int gateways = 1;
        int self = 0;
        double prepares_per_s = 10;       // on one endpoint, after its slow start
        int max_concurrent = 2;           // preparations on one endpoint
        double slow_start_min_share = 1;  // of the rate, on an endpoint that has just started
        Duration slow_start_window{};     // until it gets the full rate
        bool one_keeper = true;           // false: each gateway prepares on every endpoint
    };
    // All references have to outlive this object.
    StatementPreparation(const Settings& settings, agreement::ConfigAgreement& agreement,
                         const ActiveCatalog& catalog, StatementGateway& gateway);

    void on_endpoint_list(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries) {
        caches_.on_endpoint_list(kind, entries);
    }
    void on_catalog_change();
    // Retries endpoints that reported other schema versions at once, since the active versions have changed.
    void on_schema_change();
    void on_cache_record(const agreement::Record& record) { caches_.on_record(record, catalog_); }
    void assign_keepers() { caches_.assign_keepers(agreement_); }
    // Starts preparations on the endpoints that this gateway is the keeper of, and publishes their caches.
    void prepare(Timestamp now);
    // Records the result of a preparation; true if the endpoint now has one more statement prepared.
    bool on_prepared(Timestamp now, const EndpointId& endpoint, std::uint64_t preparation_key,
                     PreparationResult result, std::string_view error);
    // Corrects the known cache of an endpoint that has rejected a request, and notifies its keeper.
    void on_rejection(Timestamp now, const EndpointId& endpoint, const std::string& statement,
                      const EndpointRejection& rejection);
    // Processes another gateway's notification to this gateway, the keeper. Returns the endpoint if its cache
    // has changed.
    std::optional<EndpointId> on_rejection_notice(const std::string& payload);
    static constexpr char kPayloadMark = 'F';  // its first byte
    void on_execute(Timestamp now, const std::string& statement) { usage_.add(now, statement); }

    bool can_execute(const EndpointId& endpoint, const Statement& statement) const;
    bool any_can_execute(const Statement& statement) const;
    // Endpoints that can execute none of the recently used statements. StatementGateway::on_unready_changed()
    // reports changes.
    const std::unordered_set<EndpointId>& unready() const { return unready_; }
    void update_unready(Timestamp now);
    std::size_t prepared_on(const EndpointId& endpoint) const;
    std::uint64_t preparations() const { return preparations_; }
    int keeper_of(const EndpointId& endpoint) const;

private:
    bool has_prepared(const StatementCache& cache, const Statement& statement) const;
    std::vector<const Statement*> statements_by_usage(Timestamp now) const;
    double prepares_per_s_on(Timestamp now, const StatementCache& cache) const;
    bool has_other_schema(const StatementCache& cache, const Statement& statement) const;
    void prepare_on(Timestamp now, const EndpointId& id, StatementCache& cache,
                    const std::vector<const Statement*>& statements);
    void publish(Timestamp now, StatementCache& cache);

    Settings settings_;
    agreement::ConfigAgreement& agreement_;
    const ActiveCatalog& catalog_;
    StatementGateway& gateway_;
    StatementCaches caches_;
    StatementUsage usage_;
    std::unordered_set<EndpointId> unready_;
    std::uint64_t preparations_ = 0;
};

}  // namespace linnetlead::statements
