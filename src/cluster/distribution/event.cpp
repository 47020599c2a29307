#include "cluster/distribution/event.h"

namespace linnetlead::distribution {

const char* event_name(EventKind kind) {
    switch (kind) {
        case EventKind::kFault:
            return "fault";
        case EventKind::kLeading:
            return "lead";
        case EventKind::kWithdrawn:
            return "withdraw";
        case EventKind::kRejected:
            return "refused";
        case EventKind::kFollower:
            return "follower";
        case EventKind::kClock:
            return "clock";
        case EventKind::kPending:
            return "pending";
    }
    return "";
}

}  // namespace linnetlead::distribution
