#include "discovery/list_poll_schedule.h"

#include <algorithm>

namespace linnetlead::net {

using proxy::Duration;
using proxy::Timestamp;
using namespace std::chrono_literals;

namespace {

// The registry continues a watch if the next request arrives within 200 ms.
constexpr Duration kFirstPause = 80ms;
// Each retry interval is varied at random; otherwise gateways rejected at the same time would retry in step
// for good.
constexpr double kMinIntervalFactor = 2.0 / 3, kMaxIntervalFactor = 4.0 / 3;
constexpr double kMaxRetryTokens = 2;  // requests in a burst: an occasional rejection costs no interval

Duration scaled(Duration span, double by) { return std::chrono::duration_cast<Duration>(span * by); }

}  // namespace

ListPollSchedule::ListPollSchedule(std::int64_t known_version, std::uint64_t seed, const ListPollPace& pace,
                                   int gateways)
    : pace_(pace),
      version_(known_version),
      may_have_missed_changes_(pace.told_at_start),
      retry_interval_(
          std::clamp(scaled(Duration(1s), std::max(gateways, 1) / kFleetRetriesPerS), kFirstPause,
                     std::max(kFirstPause, scaled(pace.max_rejection_pause, 1 / kMaxIntervalFactor)))),
      retry_tokens_(kMaxRetryTokens),
      random_(seed) {}

ListPollSchedule::Kind ListPollSchedule::next_kind() const {
    if (version_ < 0) return Kind::kCompleteList;
    if (!may_have_missed_changes_) return Kind::kWatch;
    // A complete list is expensive for the registry. The registry's versions are reliable, so the changes
    // since the known version contain everything that was missed.
    return complete_list_failed_ ? Kind::kChanges : Kind::kCompleteList;
}

// A request that is abandoned while it is queued at the registry still costs work there, and the next one
// queues behind it. A request that has to queue therefore gets twice the time. A new watch gets it at the
// cost of its wait, so that its timeout is noticed no later.
Duration ListPollSchedule::wait() const {
    if (next_kind() != Kind::kWatch) return Duration{0};
    return is_shared() && !continues_watch_ ? std::max(Duration{0}, pace_.wait - pace_.answer_timeout)
                                            : pace_.wait;
}

Duration ListPollSchedule::answer_timeout() const {
    if (next_kind() == Kind::kWatch) return pace_.wait + pace_.answer_timeout;
    return pace_.answer_timeout * (is_shared() ? 2 : 1);
}

bool ListPollSchedule::record_list(std::int64_t version, bool full) {
    if (!full && (version_ < 0 || version < version_)) return false;
    continues_watch_ = next_kind() != Kind::kCompleteList;
    version_ = version;
    may_have_missed_changes_ = complete_list_failed_ = false;
    failures_ = rejections_ = 0;
    return true;
}

Duration ListPollSchedule::record_disconnect() {
    // Changes may have been missed, and a watch that continues from this version would miss them, too.
    may_have_missed_changes_ = true;
    complete_list_failed_ = continues_watch_ = false;
    // Keeps the gateways from reaching a recovering registry all at once: the first pause is short enough to
    // continue the watch, further pauses double and are varied at random.
    const int doubled = std::min(failures_++, 4);
    const Duration pause = std::min<Duration>(pace_.max_pause, kFirstPause * (1 << doubled));
    return doubled == 0 ? pause : scaled(pause, std::uniform_real_distribution<double>(0.5, 1)(random_));
}

Duration ListPollSchedule::record_invalid_answer() {
    version_ = -1;
    return record_disconnect();
}

Duration ListPollSchedule::record_timeout() {
    const bool denied = is_shared() && next_kind() == Kind::kCompleteList;
    may_have_missed_changes_ = true;
    const Duration pause = pace_.after_silence > Duration{0} ? record_disconnect() : Duration{0};
    complete_list_failed_ = denied;
    return pause;
}

Duration ListPollSchedule::record_rejection(Timestamp now, Duration retry_after) {
    if (!is_shared()) return record_invalid_answer();
    // A rejected request has missed no change: the version stays, and so does any earlier doubt about it.
    if (next_kind() == Kind::kCompleteList) complete_list_failed_ = true;
    continues_watch_ = false;
    // All gateways are rejected at about the same time: the first pause spreads them, further pauses grow.
    const Duration longest = std::min(pace_.max_rejection_pause, std::max(pace_.max_pause, retry_interval_));
    const bool first = rejections_ == 0;
    const Duration most = std::min<Duration>(
        longest, std::max<Duration>(kFirstPause, retry_interval_ / 2) * (1 << std::min(rejections_++, 6)));
    const Duration drawn = scaled(most, std::uniform_real_distribution<double>(first ? 0 : 0.5, 1)(random_));
    const Duration pause = std::max({kFirstPause, drawn, take_retry_token(now)});
    if (retry_after + pause <= pace_.max_rejection_pause) return retry_after + pause;
    // Spreads the gateways at the end of a long Retry-After, too.
    return scaled(pace_.max_rejection_pause, std::uniform_real_distribution<double>(0.75, 1)(random_));
}

// Requests that succeed in between do not reset the budget; otherwise alternating lists and rejections would
// be repeated without a pause.
Duration ListPollSchedule::take_retry_token(Timestamp now) {
    const double intervals =
        std::chrono::duration<double>(now - refilled_at_) / std::chrono::duration<double>(retry_interval_);
    retry_tokens_ = std::min(kMaxRetryTokens, retry_tokens_ + std::max(0.0, intervals)) - 1;
    refilled_at_ = now;
    if (retry_tokens_ >= 0) return Duration{0};
    const Duration until =
        scaled(retry_interval_, -retry_tokens_ * std::uniform_real_distribution<double>(
                                                     kMinIntervalFactor, kMaxIntervalFactor)(random_));
    refilled_at_ += until;
    retry_tokens_ = 0;  // at the end of the pause
    return until;
}

void ListPollSchedule::record_new_registry() {
    version_ = -1;
    complete_list_failed_ = continues_watch_ = false;
    failures_ = rejections_ = 0;
}

}  // namespace linnetlead::net
