// Tracks whether this gateway may act on its configuration in full. It may while it holds a lease, that is,
// while it knows that the group acts on the same versions. Without a lease it is fenced. Also detects that
// the process stalled, and that it had no contact for so long that its records may include some that the
// others have deleted and whose tombstones have expired. Driven by ConfigAgreement. No I/O and no clock.
#pragma once

#include <optional>

#include "linnetlead/policy.h"

namespace linnetlead::agreement {

using policy::Duration;
using policy::Timestamp;

class ConfigLease {
public:
    struct Settings {
        Duration lease{};
        Duration tombstone_lifetime{};
        bool can_be_fenced = true;  // false without other gateways, or if a test disables it
    };
    explicit ConfigLease(const Settings& settings) : settings_(settings) {}

    // Sets when the lease ends; a time in the past ends it at once.
    void set_end(Timestamp end) { end_ = end; }
    // Depends on the end of the lease only, so the result is also correct right after the process stalled.
    bool fenced(Timestamp now) const { return settings_.can_be_fenced && now >= end_; }
    // When update() found that this gateway was fenced; none while it holds a lease.
    std::optional<Timestamp> fenced_since() const {
        return was_fenced_ ? std::optional(fenced_changed_at_) : std::nullopt;
    }

    // Call at the start of each event. Returns how long the process stalled, if that was longer than half a
    // lease. The lease then ends, since the next datagrams may have waited in the kernel for that long.
    std::optional<Duration> detect_stall(Timestamp now);

    struct Changes {
        bool joined = false;        // holds the first lease, or the first one after it lost contact
        bool lost_contact = false;  // without a lease for so long that its records may be stale
        bool fenced_changed = false;
    };
    Changes update(Timestamp now);

    bool joined() const { return joined_; }
    // True if the records here may include some that the others have deleted and whose tombstones have
    // expired. Passing them on would restore the deleted records.
    bool records_stale() const { return records_stale_; }
    void discard_stale_records() { records_stale_ = false; }

    // When update() last found a valid lease; saved and restored over a restart.
    Timestamp last_contact() const { return last_contact_; }
    void restore(Timestamp now, Timestamp last_contact);

private:
    // Half of the tombstones' lifetime; the other half is left for a tombstone to reach every gateway.
    Duration max_time_without_contact() const { return settings_.tombstone_lifetime / 2; }

    Settings settings_;
    Timestamp end_{};
    bool was_fenced_ = true;
    Timestamp fenced_changed_at_{};
    bool joined_ = false, records_stale_ = false;
    Timestamp last_contact_{};
    Timestamp last_event_at_{};
};

}  // namespace linnetlead::agreement
