// Tracks the statement cache of each endpoint: the statements it has prepared, and the schema versions it has
// reported. One gateway, the endpoint's keeper, prepares all statements on the endpoint and publishes the
// state of the cache as a record of the config agreement; the other gateways read it. StatementPreparation
// uses it. No I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cluster/agreement/config_agreement.h"
#include "cluster/statements/active_catalog.h"
#include "linnetlead/policy.h"

namespace linnetlead::statements {

using policy::Duration;
using policy::EndpointId;
using policy::Timestamp;

// The cache of one process of an endpoint.
struct StatementCache {
    std::uint32_t endpoint_hash = 0;
    Timestamp started{};
    int keeper = -1;                             // a gateway; -1: not assigned yet
    std::unordered_set<std::uint64_t> prepared;  // by preparation key
    Schemas reported_schemas;                    // versions it has reported instead of the active ones
    Timestamp schema_checked_at{};               // when it last reported one, or a preparation was retried
    // The keeper's own state.
    std::unordered_map<std::uint64_t, Timestamp> in_progress;  // start times of preparations
    std::unordered_map<std::uint64_t, Timestamp> retry_at;     // of failed preparations
    double tokens = 1;                                         // preparations that may start now
    Timestamp refilled_at{};
    bool changed = false;  // since the last publication
    Timestamp published_at{};

    // A hash of the start time, which identifies the process.
    std::uint16_t process() const;
    bool has(std::uint64_t preparation_key) const { return prepared.count(preparation_key) > 0; }
};

class StatementCaches {
public:
    // `one_keeper` false: each gateway is the keeper of every endpoint for itself.
    StatementCaches(int gateways, int self, bool one_keeper)
        : gateways_(gateways), self_(self), one_keeper_(one_keeper) {}

    void on_endpoint_list(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries);
    // Assigns each endpoint to the present gateway with the highest hash of endpoint and gateway.
    void assign_keepers(const agreement::ConfigAgreement& agreement);

    std::unordered_map<EndpointId, StatementCache>& all() { return caches_; }
    const std::unordered_map<EndpointId, StatementCache>& all() const { return caches_; }
    // Null if the endpoint is not in service.
    StatementCache* find(const EndpointId& endpoint);
    const StatementCache* find(const EndpointId& endpoint) const;
    // None if no endpoint has the hash.
    std::optional<EndpointId> find_endpoint(std::uint32_t hash) const;

    // Removes prepared statements that are no longer in the catalog.
    void on_catalog_change(const ActiveCatalog& catalog);
    // Applies a cache that its keeper published, if it is of the same process and the same catalog.
    void on_record(const agreement::Record& record, const ActiveCatalog& catalog);

private:
    void remove_unlisted(const std::unordered_set<EndpointId>& listed);

    int gateways_, self_;
    bool one_keeper_;
    std::unordered_map<EndpointId, StatementCache> caches_;  // of the endpoints in service
    std::map<std::uint32_t, EndpointId> ids_by_hash_;
};

// A cache is published as a record with the key "p/ENDPOINT", the endpoint's hash in hex. Its format: the
// endpoint's process, the hash of the catalog's keys, a bit for each key in the order of the statements'
// names, and the schema versions that the endpoint has reported.
constexpr const char* kCachePrefix = "p/";
std::string cache_key(const StatementCache& cache);
std::string encode_cache(const StatementCache& cache, const ActiveCatalog& catalog);

}  // namespace linnetlead::statements
