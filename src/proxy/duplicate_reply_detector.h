// Recognizes a duplicate of the previous reply on a connection that is used again. A reply names no request,
// so a duplicate that an endpoint wrote before it had read the next request would be taken for the next
// reply. Such a copy has the value of the connection's previous reply, and it arrives sooner than the
// endpoint can answer. One that comes later is suspected where the endpoint's values practically never
// repeat: it is a duplicate if another reply follows it, and genuine if none does. One detector per endpoint;
// no I/O.
#pragma once

#include <cstddef>
#include <string_view>

#include "linnetlead/policy.h"

namespace linnetlead::proxy {

using policy::Duration;

// Identifies the value of a reply: equal values have equal fingerprints. Long values are compared by their
// length and first bytes.
struct ReplyFingerprint {
    static constexpr std::size_t kPrefix = 256;  // bytes of the value that are compared

    ReplyFingerprint() = default;
    // `start`: at least the first kPrefix bytes of the value, or all of it; `size`: its whole length.
    ReplyFingerprint(std::string_view start, std::size_t size);
    bool operator==(const ReplyFingerprint& other) const { return size == other.size && hash == other.hash; }
    bool operator!=(const ReplyFingerprint& other) const { return !(*this == other); }

    std::size_t size = 0;
    std::size_t hash = 0;
};

enum class ReplyVerdict {
    kGenuine,
    kSuspected,  // to be held: a duplicate if more bytes follow within max_hold()
    kDuplicate,
};

class DuplicateReplyDetector {
public:
    // What a reply with the previous reply's value is. `elapsed`: since the request's last byte was written;
    // zero or less: before that. `more_follows`: bytes follow the reply.
    ReplyVerdict judge(Duration elapsed, bool more_follows) const;
    // How long after its request was written a suspected reply is held at most.
    Duration max_hold() const;

    // A reply was accepted that cannot be a duplicate: the first on its connection, or with another value.
    void on_genuine_reply(Duration elapsed);
    // A reply was accepted with another value than the connection's previous reply.
    void on_other_value();
    // A reply was accepted with the value of the connection's previous reply. `was_held`: as a suspected one.
    void on_equal_value(bool was_held);
    // Another reply came for the request whose first reply was skipped as a duplicate.
    void on_duplicate_confirmed() { unconfirmed_duplicates_ = 0; }
    // No other reply came: the endpoint may give the same value to different requests.
    void on_duplicate_unconfirmed() { ++unconfirmed_duplicates_; }

private:
    // With fewer in a row, a value may well repeat.
    static constexpr int kMinOtherValues = 100;

    bool is_certain_duplicate(Duration elapsed, bool more_follows) const;

    Duration fast_reply_{};  // what the endpoint's fast replies take; 0: not known
    Duration slow_reply_{};  // what its slow replies take
    int unconfirmed_duplicates_ = 0;
    int other_values_in_a_row_ = 0;
    int suspects_from_ = kMinOtherValues;  // so many other values in a row
};

}  // namespace linnetlead::proxy
