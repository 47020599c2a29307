// Events that relays and followers report through their `on_event` callbacks; the process logs them.
#pragma once

#include <cstdint>

namespace linnetlead::distribution {

enum class EventKind : std::uint8_t {
    kFault,      // stored or committed bytes are unusable; the relay stops participating
    kLeading,    // this relay has become the leader
    kWithdrawn,  // a change was withdrawn because too many gateways do not support it
    kRejected,   // a peer sent an invalid message; its connection is closed
    kFollower,   // a follower closed its connection, or holds records that were never committed
    kClock,      // a heartbeat's time is ahead of the local clock by more than the allowed skew
    kPending,    // records that are not active yet exceed their size limit
};

// The event's name in log lines.
const char* event_name(EventKind kind);

}  // namespace linnetlead::distribution
