#include "policy/task_queue.h"

#include <utility>

namespace linnetlead::policy {

void TaskQueue::schedule(Timestamp at, Task task) { tasks_.emplace(at, std::move(task)); }

std::optional<Task> TaskQueue::take_due(Timestamp now) {
    if (tasks_.empty() || tasks_.begin()->first > now) return std::nullopt;
    Task task = std::move(tasks_.begin()->second);
    tasks_.erase(tasks_.begin());
    return task;
}

std::optional<Timestamp> TaskQueue::next_wake(Timestamp now) {
    if (requested_wake_ <= now) requested_wake_ = Timestamp::max();
    if (tasks_.empty() || tasks_.begin()->first >= requested_wake_) return std::nullopt;
    requested_wake_ = tasks_.begin()->first;
    return requested_wake_;
}

}  // namespace linnetlead::policy
