// The events that the config agreement reports to its owner, which writes them to the log.
#pragma once

#include <string>

#include "linnetlead/policy.h"

namespace linnetlead::agreement {

enum class EventKind {
    kMemberChanged,     // another member's presence changed
    kJoined,            // this gateway holds its first lease, or the first one after it lost contact
    kFenced,            // its lease ended
    kUnfenced,          // it holds a lease again
    kProposed,          // this gateway proposed a version
    kConflict,          // one version number was proposed with different contents
    kRefused,           // this gateway cannot act on a proposal
    kDecided,           // the activation time of a version is decided
    kActivated,         // a version became active
    kRestored,          // a version was restored from the saved state as active
    kDeclaredGone,      // other members declared this gateway gone
    kStalled,           // the process did not run for longer than half a lease
    kRecordsDiscarded,  // this gateway's records, stale after a long loss of contact, were dropped
};
// The name in the log.
const char* to_string(EventKind kind);

struct Event {
    policy::Timestamp at{};
    EventKind kind = EventKind::kMemberChanged;
    std::string text;
};

}  // namespace linnetlead::agreement
