#include "server/endpoint_warnings.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>

#include "cluster/agreement/cbor.h"
#include "cluster/agreement/hash.h"

namespace linnetlead::server {

using nlohmann::json;
using proxy::EndpointId;
using proxy::Timestamp;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kKeyPrefix = "gone/";  // of the records; a format

std::string key_of(const EndpointId& endpoint) {
    char digits[20];
    std::snprintf(digits, sizeof(digits), "%016llx",
                  static_cast<unsigned long long>(agreement::hash_of(endpoint)));
    return std::string(kKeyPrefix) + digits;
}

}  // namespace

void EndpointWarnings::on_own_list_change(const EndpointId& endpoint, Timestamp started, bool wanted) {
    const std::string key = key_of(endpoint);
    const agreement::Record* record = agreement_.find_record(key);
    const bool stands = record && !record->deleted;
    if (!wanted && !stands) {
        agreement_.put_record(loop_.now(), key, agreement::write_cbor(json{endpoint, started / 1ms}), kLife);
    } else if (wanted && stands && record->origin == agreement_.members().self()) {
        agreement_.delete_record(loop_.now(), key);
    }
}

void EndpointWarnings::on_record(const agreement::Record& record) {
    if (record.key.compare(0, kKeyPrefix.size(), kKeyPrefix) != 0) return;
    if (record.deleted) {
        for (auto at = warned_until_.begin(); at != warned_until_.end(); ++at) {
            if (key_of(at->first) != record.key) continue;
            overrides_.unwarn(at->first);
            warned_until_.erase(at);
            return;
        }
    }
    const json value = agreement::read_cbor(record.value);
    if (!value.is_array() || value.size() != 2 || !value[0].is_string() || !value[1].is_number_integer()) {
        return;
    }
    const EndpointId endpoint = value[0].get<std::string>();
    // Against a registry that has lost its data, or a gateway that warns of every endpoint: warnings never
    // cover more than half of the list, so that requests still find an endpoint.
    if (warned_until_.count(endpoint) == 0 && 2 * (warned_until_.size() + 1) > overrides_.known()) return;
    warned_until_[endpoint] = record.expires_at;
    overrides_.warn(endpoint, std::chrono::milliseconds(value[1].get<std::int64_t>()));
}

void EndpointWarnings::remove_expired(Timestamp now) {
    for (auto at = warned_until_.begin(); at != warned_until_.end();) {
        const bool expired = at->second <= now;
        if (expired) overrides_.unwarn(at->first);
        at = expired ? warned_until_.erase(at) : std::next(at);
    }
}

}  // namespace linnetlead::server
