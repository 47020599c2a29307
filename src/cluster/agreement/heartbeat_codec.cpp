#include "cluster/agreement/heartbeat_codec.h"

#include <algorithm>
#include <utility>

#include "cluster/agreement/cbor.h"

namespace linnetlead::agreement {

using nlohmann::json;

namespace {

// Reserved for the CBOR headers of the three lists; a long list's header is a byte or two longer.
constexpr std::size_t kListHeaderBytes = 6;
constexpr std::uint64_t kMaxAgeMs = 65535;

// The bytes that are still free in a datagram.
class FreeBytes {
public:
    explicit FreeBytes(std::size_t used) : bytes_(kMaxDatagramBytes - std::min(kMaxDatagramBytes, used)) {}
    bool take(std::size_t bytes) {
        if (bytes > bytes_) return false;
        bytes_ -= bytes;
        return true;
    }
    // Appends the item to the list; false if it does not fit.
    bool append_to(json& list, json item) {
        if (!take(write_cbor(item).size())) return false;
        list.push_back(std::move(item));
        return true;
    }

private:
    std::size_t bytes_;
};

json gossip_that_fits(const Heartbeat& heartbeat, FreeBytes& free_bytes) {
    json list = json::array();
    for (const Gossip& gossip : heartbeat.gossip) {
        if (!free_bytes.append_to(list, {static_cast<unsigned>(gossip.member),
                                         static_cast<unsigned>(gossip.presence), gossip.incarnation})) {
            break;
        }
    }
    return list;
}

json statements_that_fit(const Heartbeat& heartbeat, FreeBytes& free_bytes) {
    json list = json::array();
    for (const Heartbeat::Statement& statement : heartbeat.statements) {
        if (!free_bytes.append_to(
                list, {static_cast<unsigned>(statement.seat), static_cast<std::uint64_t>(statement.age_ms),
                       statement.fingerprint.active, statement.fingerprint.planned})) {
            break;
        }
    }
    return list;
}

json holders_if_they_fit(const Heartbeat& heartbeat, FreeBytes& free_bytes) {
    const bool has_room = !heartbeat.holders.empty() && free_bytes.take(heartbeat.holders.size());
    return binary(has_room ? heartbeat.holders : std::string());
}

}  // namespace

json binary(const std::string& bytes) {
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

void append_heartbeat(json& datagram, const Heartbeat& heartbeat, std::uint64_t datagram_number) {
    datagram.push_back(static_cast<std::uint64_t>(heartbeat.sent_ms));
    datagram.push_back(heartbeat.records_hash);
    datagram.push_back(heartbeat.proposal_hash);
    FreeBytes free_bytes(write_cbor(datagram).size() + kListHeaderBytes);
    // Gossip takes precedence: its first item may be one that the receiver has to refute.
    json gossip = gossip_that_fits(heartbeat, free_bytes);
    json statements, holders;
    if (datagram_number % 2 == 0) {
        statements = statements_that_fit(heartbeat, free_bytes);
        holders = holders_if_they_fit(heartbeat, free_bytes);
    } else {
        holders = holders_if_they_fit(heartbeat, free_bytes);
        statements = statements_that_fit(heartbeat, free_bytes);
    }
    datagram.push_back(std::move(statements));
    datagram.push_back(std::move(holders));
    datagram.push_back(std::move(gossip));
}

Heartbeat read_heartbeat(ArrayReader& from) {
    Heartbeat heartbeat;
    heartbeat.sent_ms = from.number<std::int64_t>(kMaxUnixMs);
    heartbeat.records_hash = from.number<std::uint64_t>();
    heartbeat.proposal_hash = from.number<std::uint32_t>(kMaxUint32);
    from.each([&](ArrayReader& item) {
        Heartbeat::Statement statement;
        statement.seat = item.number<int>(Committee::kMaxMembers - 1);
        statement.age_ms = item.number<std::int64_t>(kMaxAgeMs);
        statement.fingerprint.active = item.number<std::uint32_t>(kMaxUint32);
        statement.fingerprint.planned = item.number<std::uint32_t>(kMaxUint32);
        heartbeat.statements.push_back(statement);
    });
    heartbeat.holders = from.bytes();
    from.each([&](ArrayReader& item) {
        Gossip gossip;
        gossip.member = item.number<int>(kMaxGatewayNumber);
        gossip.presence = static_cast<Presence>(item.number<int>(static_cast<int>(Presence::kGone)));
        gossip.incarnation = item.number<Incarnation>();
        heartbeat.gossip.push_back(gossip);
    });
    return heartbeat;
}

}  // namespace linnetlead::agreement
