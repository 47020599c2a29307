#include "proxy/client_eviction.h"

#include <chrono>

namespace linnetlead::proxy {

namespace {

// A part of a command that came in one read, without further bytes for this long, counts as abandoned.
constexpr policy::Duration kAbandonedAfter = std::chrono::milliseconds(500);

}  // namespace

std::optional<EvictionRank> eviction_rank(const ClientActivity& client, policy::Timestamp now) {
    using Kind = EvictionRank::Kind;
    if (client.is_waiting_for_answers) return std::nullopt;
    if (client.is_closing) return EvictionRank{Kind::kNoRequest, client.last_used};
    if (client.is_receiving) {
        const bool is_abandoned = client.reads_of_command <= 1 && now - client.last_bytes > kAbandonedAfter;
        return EvictionRank{is_abandoned ? Kind::kAbandonedCommand : Kind::kReceiving, client.last_bytes};
    }
    return EvictionRank{client.has_asked ? Kind::kIdle : Kind::kNoRequest, client.last_used};
}

}  // namespace linnetlead::proxy
