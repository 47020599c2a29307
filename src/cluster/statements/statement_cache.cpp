#include "cluster/statements/statement_cache.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <utility>

#include "cluster/agreement/cbor.h"

namespace linnetlead::statements {

using namespace std::chrono_literals;
using nlohmann::json;
using policy::EndpointListKind;
using policy::EndpointState;

namespace {

std::uint32_t endpoint_hash_of(const EndpointId& endpoint) {
    return agreement::short_hash(agreement::hash_of(endpoint));
}

struct PublishedCache {
    std::uint16_t process = 0;
    std::uint32_t keys_hash = 0;
    std::vector<std::uint8_t> prepared;  // a bit for each key
    Schemas schemas;
};

std::optional<PublishedCache> decode_cache(const std::string& value) {
    const json read = agreement::read_cbor(value);
    if (!read.is_array() || read.size() != 4 || !read[0].is_number_unsigned() ||
        !read[1].is_number_unsigned() || !read[2].is_binary() || !read[3].is_array()) {
        return std::nullopt;
    }
    PublishedCache cache;
    cache.process = read[0].get<std::uint16_t>();
    cache.keys_hash = read[1].get<std::uint32_t>();
    cache.prepared = read[2].get_binary();
    for (const json& one : read[3]) {
        if (one.is_array() && one.size() == 2 && one[0].is_string() && one[1].is_number_unsigned()) {
            cache.schemas[one[0].get<std::string>()] = one[1].get<std::uint64_t>();
        }
    }
    return cache;
}

bool has_bit(const std::vector<std::uint8_t>& bits, std::size_t index) {
    return index / 8 < bits.size() && (bits[index / 8] >> index % 8 & 1U) != 0;
}

}  // namespace

std::uint16_t StatementCache::process() const {
    const std::int64_t ms = started / 1ms;
    return static_cast<std::uint16_t>(agreement::hash_of({reinterpret_cast<const char*>(&ms), sizeof(ms)}));
}

std::string cache_key(const StatementCache& cache) {
    char text[12];
    std::snprintf(text, sizeof(text), "%08x", cache.endpoint_hash);
    return std::string(kCachePrefix) + text;
}

std::string encode_cache(const StatementCache& cache, const ActiveCatalog& catalog) {
    std::vector<std::uint8_t> bits((catalog.keys().size() + 7) / 8);
    std::size_t index = 0;
    for (const auto& [name, key] : catalog.keys()) {
        if (cache.has(key)) bits[index / 8] = static_cast<std::uint8_t>(bits[index / 8] | 1U << index % 8);
        ++index;
    }
    json schemas = json::array();
    for (const auto& [name, version] : cache.reported_schemas) schemas.push_back({name, version});
    return agreement::write_cbor(
        json{cache.process(), catalog.keys_hash(), json::binary(bits), std::move(schemas)});
}

StatementCache* StatementCaches::find(const EndpointId& endpoint) {
    const auto at = caches_.find(endpoint);
    return at == caches_.end() ? nullptr : &at->second;
}

const StatementCache* StatementCaches::find(const EndpointId& endpoint) const {
    const auto at = caches_.find(endpoint);
    return at == caches_.end() ? nullptr : &at->second;
}

std::optional<EndpointId> StatementCaches::find_endpoint(std::uint32_t hash) const {
    const auto at = ids_by_hash_.find(hash);
    return at == ids_by_hash_.end() ? std::nullopt : std::optional(at->second);
}

void StatementCaches::on_endpoint_list(EndpointListKind kind,
                                       const std::vector<policy::EndpointInfo>& entries) {
    std::unordered_set<EndpointId> listed;
    for (const auto& entry : entries) {
        const std::uint32_t hash = endpoint_hash_of(entry.id);
        if (entry.state != EndpointState::kInService) {
            ids_by_hash_.erase(hash);
            caches_.erase(entry.id);
            continue;
        }
        listed.insert(entry.id);
        StatementCache& cache = caches_[entry.id];
        cache.endpoint_hash = hash;
        ids_by_hash_[hash] = entry.id;
        if (cache.started == entry.started) continue;
        // A new process of the endpoint has nothing prepared.
        const int keeper = cache.keeper;
        cache = StatementCache{};
        cache.endpoint_hash = hash;
        cache.started = entry.started;
        cache.keeper = keeper;
    }
    if (kind != EndpointListKind::kChanges) remove_unlisted(listed);
}

void StatementCaches::remove_unlisted(const std::unordered_set<EndpointId>& listed) {
    for (auto at = caches_.begin(); at != caches_.end();) {
        if (listed.count(at->first) > 0) {
            ++at;
        } else {
            ids_by_hash_.erase(at->second.endpoint_hash);
            at = caches_.erase(at);
        }
    }
}

void StatementCaches::assign_keepers(const agreement::ConfigAgreement& agreement) {
    for (auto& [id, cache] : caches_) {
        std::uint64_t highest = 0;
        cache.keeper = -1;
        const std::string_view hashed(reinterpret_cast<const char*>(&cache.endpoint_hash),
                                      sizeof(cache.endpoint_hash));
        for (int gateway = 0; gateway < gateways_; ++gateway) {
            const bool present = agreement.members().is_present(gateway) &&
                                 agreement.transport() != agreement::Transport::kNone;
            if (gateway != self_ && !present) continue;
            const std::uint64_t rank = agreement::hash_of(hashed, static_cast<std::uint64_t>(gateway) + 1);
            if (cache.keeper < 0 || rank > highest) {
                highest = rank;
                cache.keeper = gateway;
            }
        }
        if (!one_keeper_) cache.keeper = self_;
    }
}

void StatementCaches::on_catalog_change(const ActiveCatalog& catalog) {
    std::unordered_set<std::uint64_t> wanted;
    for (const auto& [name, key] : catalog.keys()) wanted.insert(key);
    for (auto& [id, cache] : caches_) {
        for (auto at = cache.prepared.begin(); at != cache.prepared.end();) {
            at = wanted.count(*at) > 0 ? std::next(at) : cache.prepared.erase(at);
        }
        cache.changed = true;
        cache.retry_at.clear();
    }
}

void StatementCaches::on_record(const agreement::Record& record, const ActiveCatalog& catalog) {
    if (record.deleted) return;
    const auto published = decode_cache(record.value);
    if (!published) return;
    const char* const digits = record.key.c_str() + std::string_view(kCachePrefix).size();
    const auto id = find_endpoint(static_cast<std::uint32_t>(std::strtoul(digits, nullptr, 16)));
    if (!id) return;
    StatementCache& cache = caches_.at(*id);
    if (published->process != cache.process() || published->keys_hash != catalog.keys_hash()) return;
    std::size_t index = 0;
    for (const auto& [name, key] : catalog.keys()) {
        if (has_bit(published->prepared, index)) {
            cache.prepared.insert(key);
        } else if (cache.in_progress.count(key) == 0) {
            cache.prepared.erase(key);
        }
        ++index;
    }
    cache.reported_schemas = published->schemas;
}

}  // namespace linnetlead::statements
