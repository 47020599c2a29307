#include "cluster/distribution/follower_lease.h"

namespace linnetlead::distribution {

FollowerLease::Outcome FollowerLease::on_heartbeat(Timestamp now, const Heartbeat& heartbeat,
                                                   LogIndex last_index) {
    const Heartbeat& newest = queued_.empty() ? current_ : queued_.back();
    const bool is_old = heartbeat.term == newest.term && heartbeat.at <= newest.at;
    if (heartbeat.term < newest_term_ || is_old) return Outcome::kStale;
    if (heartbeat.committed < newest.committed) return Outcome::kStale;
    if (heartbeat.at > now + max_clock_skew_) return Outcome::kClockAhead;
    if (heartbeat.committed < last_index && heartbeat.at > records_since_ + max_clock_skew_)
        return Outcome::kForeignHistory;
    newest_term_ = heartbeat.term;
    if (queued_.empty()) missing_since_ = now;
    if (queued_.size() == kMaxQueued) queued_.pop_back();
    queued_.push_back(heartbeat);
    return Outcome::kAccepted;
}

std::optional<Heartbeat> FollowerLease::take_usable(LogIndex last_index) {
    if (queued_.empty() || queued_.front().committed > last_index) return std::nullopt;
    current_ = queued_.front();
    queued_.pop_front();
    return current_;
}

bool FollowerLease::is_valid(Timestamp now) const {
    return current_.at != Timestamp{} && now < current_.at + lease_;
}

void FollowerLease::reset(Timestamp now) {
    current_ = {};
    queued_.clear();
    records_since_ = now;
}

bool FollowerLease::is_missing_records(Timestamp now, Duration limit) const {
    return !queued_.empty() && now - missing_since_ > limit;
}

}  // namespace linnetlead::distribution
