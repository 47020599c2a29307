#include "cluster/statements/statement_preparation.h"

#include <algorithm>
#include <utility>

#include "cluster/agreement/cbor.h"

namespace linnetlead::statements {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr Duration kPreparationTimeout = 3s;
constexpr Duration kRetryDelay = 700ms;        // after a failed preparation
constexpr Duration kSchemaCheckInterval = 1s;  // of an endpoint that reported another schema version
constexpr Duration kRecordLife = 120s, kRecordRepeat = 40s;
constexpr Duration kPublishInterval = 400ms;  // batches the changes of a cache

}  // namespace

StatementPreparation::StatementPreparation(const Settings& settings, agreement::ConfigAgreement& agreement,
                                           const ActiveCatalog& catalog, StatementGateway& gateway)
    : settings_(settings),
      agreement_(agreement),
      catalog_(catalog),
      gateway_(gateway),
      caches_(settings.gateways, settings.self, settings.one_keeper) {}

void StatementPreparation::on_schema_change() {
    for (auto& [id, cache] : caches_.all()) cache.schema_checked_at = {};
}

void StatementPreparation::on_catalog_change() {
    caches_.on_catalog_change(catalog_);
    usage_.retain_if([this](const std::string& name) { return catalog_.find(name) != nullptr; });
    // Keepers that activated this catalog earlier may already have published caches for it.
    std::vector<agreement::Record> records;
    agreement_.for_each_record(kCachePrefix,
                               [&](const agreement::Record& record) { records.push_back(record); });
    for (const agreement::Record& record : records) on_cache_record(record);
}

bool StatementPreparation::has_prepared(const StatementCache& cache, const Statement& statement) const {
    const auto key = catalog_.keys().find(statement.name);
    return key != catalog_.keys().end() && cache.has(key->second);
}

bool StatementPreparation::can_execute(const EndpointId& endpoint, const Statement& statement) const {
    const StatementCache* cache = caches_.find(endpoint);
    return cache && has_prepared(*cache, statement);
}

bool StatementPreparation::any_can_execute(const Statement& statement) const {
    const auto& all = caches_.all();
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& one) { return has_prepared(one.second, statement); });
}

std::size_t StatementPreparation::prepared_on(const EndpointId& endpoint) const {
    const StatementCache* cache = caches_.find(endpoint);
    return cache ? cache->prepared.size() : 0;
}

int StatementPreparation::keeper_of(const EndpointId& endpoint) const {
    const StatementCache* cache = caches_.find(endpoint);
    return cache ? cache->keeper : -1;
}

// ---- Preparing ------------------------------------------------------------------------------------------

std::vector<const Statement*> StatementPreparation::statements_by_usage(Timestamp now) const {
    std::vector<const Statement*> order;
    for (const auto& [name, statement] : catalog_.statements()) {
        if (!statement.text.empty()) order.push_back(&statement);
    }
    std::stable_sort(order.begin(), order.end(), [&](const Statement* a, const Statement* b) {
        return usage_.count(now, a->name) > usage_.count(now, b->name);
    });
    return order;
}

// Preparations per second; fewer on an endpoint in slow start.
double StatementPreparation::prepares_per_s_on(Timestamp now, const StatementCache& cache) const {
    double share = 1;
    if (settings_.slow_start_window > Duration{} && cache.started > Timestamp{}) {
        const double elapsed =
            std::chrono::duration<double>(now - cache.started) / settings_.slow_start_window;
        share = std::clamp(settings_.slow_start_min_share + (1 - settings_.slow_start_min_share) * elapsed,
                           settings_.slow_start_min_share, 1.0);
    }
    return settings_.prepares_per_s * share;
}

bool StatementPreparation::has_other_schema(const StatementCache& cache, const Statement& statement) const {
    return std::any_of(statement.schemas.begin(), statement.schemas.end(), [&](const std::string& name) {
        const auto reported = cache.reported_schemas.find(name);
        const auto active = catalog_.schemas().find(name);
        return reported != cache.reported_schemas.end() && active != catalog_.schemas().end() &&
               reported->second != active->second;
    });
}

void StatementPreparation::prepare_on(Timestamp now, const EndpointId& id, StatementCache& cache,
                                      const std::vector<const Statement*>& statements) {
    const double elapsed_s = std::chrono::duration<double>(now - cache.refilled_at).count();
    cache.tokens =
        std::min(1.0 + settings_.max_concurrent, cache.tokens + elapsed_s * prepares_per_s_on(now, cache));
    cache.refilled_at = now;
    for (const Statement* statement : statements) {
        const bool busy = static_cast<int>(cache.in_progress.size()) >= settings_.max_concurrent;
        if (cache.tokens < 1 || busy) break;
        const std::uint64_t key = catalog_.keys().at(statement->name);
        if (cache.has(key) || cache.in_progress.count(key) > 0) continue;
        if (const auto at = cache.retry_at.find(key); at != cache.retry_at.end() && at->second > now)
            continue;
        // An endpoint on another schema version is retried with one statement per interval, not with each.
        if (has_other_schema(cache, *statement)) {
            if (now - cache.schema_checked_at < kSchemaCheckInterval) continue;
            cache.schema_checked_at = now;
        }
        cache.tokens -= 1;
        cache.in_progress[key] = now;
        ++preparations_;
        gateway_.prepare(
            id, key, write_head(EndpointCommand::kPrepare, *statement, catalog_.schemas()) + statement->text);
    }
}

void StatementPreparation::prepare(Timestamp now) {
    if (agreement_.fenced(now)) return;
    const std::vector<const Statement*> statements = statements_by_usage(now);
    for (auto& [id, cache] : caches_.all()) {
        for (auto at = cache.in_progress.begin(); at != cache.in_progress.end();) {
            at = now - at->second > kPreparationTimeout ? cache.in_progress.erase(at) : std::next(at);
        }
        if (cache.keeper != settings_.self) continue;
        prepare_on(now, id, cache, statements);
        publish(now, cache);
    }
}

void StatementPreparation::publish(Timestamp now, StatementCache& cache) {
    if (now - cache.published_at < (cache.changed ? kPublishInterval : kRecordRepeat)) return;
    cache.changed = false;
    cache.published_at = now;
    agreement_.put_record(now, cache_key(cache), encode_cache(cache, catalog_), kRecordLife);
}

bool StatementPreparation::on_prepared(Timestamp now, const EndpointId& endpoint,
                                       std::uint64_t preparation_key, PreparationResult result,
                                       std::string_view error) {
    StatementCache* const cache = caches_.find(endpoint);
    if (!cache || cache->in_progress.erase(preparation_key) == 0) return false;  // a former process
    if (result == PreparationResult::kDone) {
        cache->prepared.insert(preparation_key);
        cache->reported_schemas.clear();
        cache->changed = true;
        return true;
    }
    const auto rejection = result == PreparationResult::kRejected ? parse_rejection(error) : std::nullopt;
    if (rejection && !rejection->schema.empty()) {
        std::uint64_t& reported = cache->reported_schemas[rejection->schema];
        cache->changed = cache->changed || reported != rejection->version;
        reported = rejection->version;
        cache->schema_checked_at = now;
    } else {
        cache->retry_at[preparation_key] = now + kRetryDelay;
    }
    return false;
}

// ---- Rejections by endpoints ----------------------------------------------------------------------------

void StatementPreparation::on_rejection(Timestamp now, const EndpointId& endpoint,
                                        const std::string& statement, const EndpointRejection& rejection) {
    StatementCache* const cache = caches_.find(endpoint);
    if (!cache) return;
    if (!rejection.schema.empty()) {
        cache->reported_schemas[rejection.schema] = rejection.version;
        cache->schema_checked_at = now;
    }
    const auto key = catalog_.keys().find(statement);
    if (key == catalog_.keys().end()) return;
    cache->prepared.erase(key->second);
    if (cache->keeper == settings_.self) {
        cache->changed = true;
    } else if (cache->keeper >= 0) {
        const std::string payload = agreement::write_cbor(json{cache->endpoint_hash, key->second});
        agreement_.send_application(now, cache->keeper, kPayloadMark + payload);
    }
}

std::optional<EndpointId> StatementPreparation::on_rejection_notice(const std::string& payload) {
    const json read = agreement::read_cbor(std::string_view(payload).substr(1));
    if (!read.is_array() || read.size() != 2 || !read[0].is_number_unsigned() ||
        !read[1].is_number_unsigned()) {
        return std::nullopt;
    }
    auto endpoint = caches_.find_endpoint(read[0].get<std::uint32_t>());
    if (!endpoint) return std::nullopt;
    StatementCache& cache = *caches_.find(*endpoint);
    if (cache.keeper != settings_.self || cache.prepared.erase(read[1].get<std::uint64_t>()) == 0) {
        return std::nullopt;
    }
    cache.changed = true;
    return endpoint;
}

// Requests that execute a statement exclude the pool of unready endpoints, and so don't try them in vain.
void StatementPreparation::update_unready(Timestamp now) {
    std::vector<const Statement*> in_use;
    usage_.for_each_recent(now, [&](const std::string& name) {
        if (const Statement* statement = catalog_.find(name)) in_use.push_back(statement);
    });
    std::unordered_set<EndpointId> next;
    for (const auto& [id, cache] : caches_.all()) {
        const StatementCache& known = cache;
        const bool none = std::none_of(in_use.begin(), in_use.end(), [&](const Statement* statement) {
            return has_prepared(known, *statement);
        });
        if (none && !in_use.empty()) next.insert(id);
    }
    if (next == unready_) return;
    unready_ = std::move(next);
    gateway_.on_unready_changed();
}

}  // namespace linnetlead::statements
