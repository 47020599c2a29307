// Aggregates the acknowledgements of a relay's followers: how many downstream gateways hold which records,
// and which changes some of them do not support (with a few gateway names). FanOut keeps the counts; a relay
// reports the aggregate upstream, and the leader decides activations by it. No I/O and no clock.
#pragma once

#include <map>

#include "cluster/distribution/frames.h"

namespace linnetlead::distribution {

class AcknowledgementCounts {
public:
    static constexpr std::size_t kMaxReplicationCounts = 64, kMaxUnsupportedCounts = 64;

    // Replaces the acknowledgement of one follower; the caller assigns the `source` number. A gateway reports
    // itself as one gateway.
    void update(std::uint64_t source, const Ack& ack);
    void remove(std::uint64_t source);
    void clear();

    std::uint32_t gateways() const { return total().gateways; }
    std::uint32_t fenced() const { return total().fenced; }
    // Number of gateways that hold all records up to `index`.
    std::uint32_t replicated_through(LogIndex index) const;
    // Gateways that do not support some of the change's keys.
    UnsupportedCount unsupported(LogIndex change) const;
    // The acknowledgement of a relay that holds all records up to `last_index`. It reports unsupported
    // changes only after `scheduled_through`.
    Ack aggregate(LogIndex last_index, LogIndex scheduled_through) const;

private:
    struct Total {
        std::uint32_t gateways = 0, fenced = 0;
        std::map<LogIndex, std::uint32_t> replicated;  // gateways by their last record
        std::map<LogIndex, UnsupportedCount> unsupported;
    };
    const Total& total() const;

    std::map<std::uint64_t, Ack> sources_;
    mutable std::optional<Total> total_;
};

}  // namespace linnetlead::distribution
