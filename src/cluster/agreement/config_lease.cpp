#include "cluster/agreement/config_lease.h"

#include <utility>

namespace linnetlead::agreement {

std::optional<Duration> ConfigLease::detect_stall(Timestamp now) {
    const Timestamp before = std::exchange(last_event_at_, now);
    if (before == Timestamp{} || now - before <= settings_.lease / 2) return std::nullopt;
    end_ = {};
    return now - before;
}

ConfigLease::Changes ConfigLease::update(Timestamp now) {
    Changes changes;
    const bool is_fenced = fenced(now);
    if (!is_fenced) {
        last_contact_ = now;
        changes.joined = !std::exchange(joined_, true);
        if (changes.joined) records_stale_ = false;
    } else if (joined_ && now - last_contact_ > max_time_without_contact()) {
        joined_ = false;
        records_stale_ = true;
        changes.lost_contact = true;
    }
    if (is_fenced == was_fenced_) return changes;
    was_fenced_ = is_fenced;
    fenced_changed_at_ = now;
    changes.fenced_changed = true;
    return changes;
}

void ConfigLease::restore(Timestamp now, Timestamp last_contact) {
    last_contact_ = last_contact;
    records_stale_ = now - last_contact_ > max_time_without_contact();
}

}  // namespace linnetlead::agreement
