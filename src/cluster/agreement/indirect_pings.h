// Tracks the pings that this gateway sends on behalf of others, so that each answer can be reported to the
// requester under its own sequence number. Used by ConfigAgreement.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace linnetlead::agreement {

class IndirectPings {
public:
    // Set in the sequence numbers of pings whose acks Membership does not wait for.
    static constexpr std::uint32_t kSequenceFlag = 0x80000000U;

    struct Requester {
        int gateway = 0;
        std::uint32_t sequence = 0;  // of the requester's own ping
    };
    // Returns the sequence number for the ping.
    std::uint32_t begin(const Requester& requester) {
        const std::uint32_t sequence = kSequenceFlag | (++last_sequence_ & ~kSequenceFlag);
        pending_[sequence] = requester;
        if (pending_.size() > kMaxPending) pending_.erase(pending_.begin());
        return sequence;
    }
    // Call for each ack. Returns the requester to report to if the ack answers one of these pings, once per
    // ping.
    std::optional<Requester> complete(std::uint32_t sequence) {
        const auto at = pending_.find(sequence);
        if (at == pending_.end()) return std::nullopt;
        const Requester requester = at->second;
        pending_.erase(at);
        return requester;
    }

private:
    static constexpr std::size_t kMaxPending = 64;  // above this, the oldest is dropped
    std::map<std::uint32_t, Requester> pending_;    // by this gateway's sequence number
    std::uint32_t last_sequence_ = 0;
};

}  // namespace linnetlead::agreement
