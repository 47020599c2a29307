// Plausibility check of an acknowledgement; FanOut runs it and disconnects a follower that fails it. If a
// faulty or hostile follower could acknowledge records that it was never sent, a change would become active
// before gateways hold it. No I/O and no clock.
#pragma once

#include "cluster/distribution/history.h"

namespace linnetlead::distribution {

// Describes the first false claim in `ack`; empty if there is none. `max_acknowledgeable` is the newest
// record that was sent to the follower or that it held when it connected.
std::string find_false_claim(const Ack& ack, Role role, LogIndex max_acknowledgeable, const History& history);

}  // namespace linnetlead::distribution
