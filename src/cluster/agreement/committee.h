// Computes how long a gateway may assume that the group still uses the same configuration versions. At most
// seven gateways, spread evenly over the group, form the committee. Each member regularly states which
// versions are active on it, and every heartbeat carries the latest statement of each member. A gateway acts
// on its configuration in full only while a majority of the committee has stated within the lease that the
// same versions are active there.
//
// Guarantee: if two gateways act in full on contradicting versions, each has a majority for its versions, so
// at least one member stated both within one lease. This can therefore last at most for the lease plus the
// clock skew, regardless of lost or late datagrams, stopped processes and partitions. No I/O and no clock:
// the caller passes the time.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::agreement {

using policy::Duration;
using policy::Timestamp;

// Hashes of the versions of a gateway's configuration.
struct ConfigFingerprint {
    std::uint32_t active = 0;  // of the active versions
    // Of each topic's decided version, or else its active one, with the activation time.
    std::uint32_t planned = 0;
    friend bool operator==(const ConfigFingerprint& a, const ConfigFingerprint& b) {
        return a.active == b.active && a.planned == b.planned;
    }
    friend bool operator!=(const ConfigFingerprint& a, const ConfigFingerprint& b) { return !(a == b); }
};

// What a committee member states about itself.
struct LeaseStatement {
    Timestamp at{};  // by the member's clock; 0: no statement yet
    ConfigFingerprint fingerprint;
};

class Committee {
public:
    static constexpr int kMaxMembers = 7;

    // `gateways`: the size of the group; `lease`: how long a statement is valid; `max_clock_skew`: the
    // largest difference between two gateways' clocks.
    Committee(int gateways, Duration lease, Duration max_clock_skew);

    int size() const { return static_cast<int>(members_.size()); }
    int majority() const { return size() / 2 + 1; }
    // The gateway in a seat.
    int member(int seat) const { return members_[static_cast<std::size_t>(seat)]; }
    // The seat of a gateway; none if it is not a committee member.
    std::optional<int> seat_of(int gateway) const;

    // Stores a statement. False if it is not newer than the stored one, or if its time is further ahead than
    // the clock skew allows: a fast clock would prolong the lease.
    bool record_statement(Timestamp now, int seat, const LeaseStatement& statement);
    const LeaseStatement& last_statement(int seat) const {
        return statements_[static_cast<std::size_t>(seat)];
    }
    // When the lease ends if no further statement arrives; none if no majority currently supports the
    // fingerprint.
    std::optional<Timestamp> lease_end(Timestamp now, const ConfigFingerprint& own) const;
    // Ignores all statements made up to `now`.
    void discard_statements_until(Timestamp now) { valid_after_ = now; }

private:
    bool supports(Timestamp now, const LeaseStatement& statement, const ConfigFingerprint& own) const;

    Duration lease_, max_clock_skew_;
    std::vector<int> members_;  // by seat
    std::vector<LeaseStatement> statements_;
    Timestamp valid_after_{};
};

}  // namespace linnetlead::agreement
