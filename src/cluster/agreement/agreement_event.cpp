#include "cluster/agreement/agreement_event.h"

namespace linnetlead::agreement {

// Operators search the log for these names, so they must not change.
const char* to_string(EventKind kind) {
    switch (kind) {
        case EventKind::kMemberChanged:
            return "member";
        case EventKind::kJoined:
            return "joined";
        case EventKind::kFenced:
            return "fenced";
        case EventKind::kUnfenced:
            return "in accord";
        case EventKind::kProposed:
            return "proposed";
        case EventKind::kConflict:
            return "conflict";
        case EventKind::kRefused:
            return "refused";
        case EventKind::kDecided:
            return "settled";
        case EventKind::kActivated:
            return "in force";
        case EventKind::kRestored:
            return "restored";
        case EventKind::kDeclaredGone:
            return "held gone";
        case EventKind::kStalled:
            return "stopped";
        case EventKind::kRecordsDiscarded:
            return "taken whole";
    }
    return "";
}

}  // namespace linnetlead::agreement
