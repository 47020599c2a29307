#include "proxy/duplicate_reply_detector.h"

#include <algorithm>
#include <functional>

namespace linnetlead::proxy {

namespace {

// A duplicate is on its way for less than one round trip; a genuine reply takes the round trip and the work.
constexpr int kEarlyPart = 2;
// With faster replies, delays on the way are as long as the work.
constexpr Duration kMinFastReply = std::chrono::milliseconds(5);
// The time of fast replies grows by this part with each slower one, and that of slow replies shrinks with
// each faster one, so that they follow an endpoint that changes.
constexpr int kDriftPart = 64;
// With so many in a row, values repeat at the endpoint and say nothing.
constexpr int kMaxUnconfirmedDuplicates = 2;
// A reply that takes so many times as long as the endpoint's slow ones is not waited for.
constexpr int kHoldMultiple = 2;
// An endpoint's kernel may keep the next reply back until a delayed acknowledgement (Nagle's algorithm).
constexpr Duration kDelayedAcknowledgement = std::chrono::milliseconds(50);
// Each genuine reply that was held makes suspicion rarer by this factor.
constexpr int kSuspicionBackoff = 2;
constexpr int kMaxOtherValues = 1'000'000;

}  // namespace

ReplyFingerprint::ReplyFingerprint(std::string_view start, std::size_t whole_size)
    : size(whole_size), hash(std::hash<std::string_view>{}(start.substr(0, kPrefix))) {}

bool DuplicateReplyDetector::is_certain_duplicate(Duration elapsed, bool more_follows) const {
    if (unconfirmed_duplicates_ >= kMaxUnconfirmedDuplicates) return false;
    const bool is_early = fast_reply_ >= kMinFastReply && elapsed < fast_reply_ / kEarlyPart;
    return more_follows || is_early || elapsed <= Duration{0};
}

ReplyVerdict DuplicateReplyDetector::judge(Duration elapsed, bool more_follows) const {
    if (is_certain_duplicate(elapsed, more_follows)) return ReplyVerdict::kDuplicate;
    if (other_values_in_a_row_ < suspects_from_) return ReplyVerdict::kGenuine;
    return more_follows ? ReplyVerdict::kDuplicate : ReplyVerdict::kSuspected;
}

Duration DuplicateReplyDetector::max_hold() const {
    return slow_reply_ * kHoldMultiple + kDelayedAcknowledgement;
}

void DuplicateReplyDetector::on_genuine_reply(Duration elapsed) {
    if (elapsed <= Duration{0}) return;
    const bool is_known = fast_reply_ > Duration{0};
    fast_reply_ = is_known ? std::min(elapsed, fast_reply_ + fast_reply_ / kDriftPart) : elapsed;
    slow_reply_ = std::max(elapsed, slow_reply_ - slow_reply_ / kDriftPart);
}

void DuplicateReplyDetector::on_other_value() {
    other_values_in_a_row_ = std::min(other_values_in_a_row_ + 1, kMaxOtherValues);
}

void DuplicateReplyDetector::on_equal_value(bool was_held) {
    other_values_in_a_row_ = 0;
    if (was_held) suspects_from_ = std::min(suspects_from_ * kSuspicionBackoff, kMaxOtherValues);
}

}  // namespace linnetlead::proxy
