// Queue of the tasks that the decision module has scheduled for a later time. Tasks with the same due time
// run in the order in which they were scheduled.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "linnetlead/policy.h"

namespace linnetlead::policy {

enum class TaskKind {
    kEndInterval,      // end of a tenant's quota interval; name: the tenant
    kReadCount,        // read the count of the previous interval; name: the tenant
    kWatchEndpoints,   // subscribe to the endpoint list again
    kReleaseEndpoint,  // an attempt that timed out no longer occupies its endpoint; name: the endpoint
    kReleaseInheritedAttempt,  // an attempt of the previous process has probably ended; name: the tenant
};

struct Task {
    TaskKind kind;
    std::string name;
    Timestamp sent_at{};  // kReleaseEndpoint: when the attempt was sent
};

class TaskQueue {
public:
    void schedule(Timestamp at, Task task);
    // Removes and returns the earliest due task, or nullopt if none is due.
    std::optional<Task> take_due(Timestamp now);
    // The time of the next wake-up to request, or nullopt if an earlier one was already returned and is still
    // to come.
    std::optional<Timestamp> next_wake(Timestamp now);

private:
    std::multimap<Timestamp, Task> tasks_;
    Timestamp requested_wake_ = Timestamp::max();
};

}  // namespace linnetlead::policy
