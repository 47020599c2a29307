#include "proxy/duplicate_reply_detector.h"

#include <algorithm>
#include <functional>

namespace linnetlead::proxy {

namespace {

// A duplicate is on its way for less than one round trip; a genuine reply takes the round trip and the work.
constexpr int kEarlyPart = 2;
// With faster replies, delays on the way are as long as the work.
constexpr Duration kMinFastReply = std::chrono::milliseconds(5);
// The time of fast replies grows by this part with each slower one, so that it follows an endpoint that has
// become slower.
constexpr int kDriftPart = 64;
// With so many in a row, values repeat at the endpoint and say nothing.
constexpr int kMaxUnconfirmedDuplicates = 2;

}  // namespace

ReplyFingerprint::ReplyFingerprint(std::string_view start, std::size_t whole_size)
    : size(whole_size), hash(std::hash<std::string_view>{}(start.substr(0, kPrefix))) {}

bool DuplicateReplyDetector::is_duplicate(Duration elapsed, bool more_follows) const {
    if (unconfirmed_duplicates_ >= kMaxUnconfirmedDuplicates) return false;
    const bool is_early = fast_reply_ >= kMinFastReply && elapsed < fast_reply_ / kEarlyPart;
    return more_follows || is_early || elapsed <= Duration{0};
}

void DuplicateReplyDetector::on_genuine_reply(Duration elapsed) {
    if (elapsed <= Duration{0}) return;
    const bool is_known = fast_reply_ > Duration{0};
    fast_reply_ = is_known ? std::min(elapsed, fast_reply_ + fast_reply_ / kDriftPart) : elapsed;
}

}  // namespace linnetlead::proxy
