// Recognizes a duplicate of the previous reply on a connection that is used again. A reply names no request,
// so a duplicate that an endpoint wrote before it had read the next request would be taken for the next
// reply. Such a copy has the value of the connection's previous reply, and it arrives sooner than the
// endpoint can answer. One detector per endpoint; no I/O.
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

class DuplicateReplyDetector {
public:
    // Whether a reply with the previous reply's value is a duplicate of it. `elapsed`: since the request's
    // last byte was written; zero or less: before that. `more_follows`: bytes follow the reply.
    bool is_duplicate(Duration elapsed, bool more_follows) const;
    // A reply was accepted that cannot be a duplicate: the first on its connection, or with another value.
    void on_genuine_reply(Duration elapsed);
    // Another reply came for the request whose first reply was skipped as a duplicate.
    void on_duplicate_confirmed() { unconfirmed_duplicates_ = 0; }
    // No other reply came: the endpoint may give the same value to different requests.
    void on_duplicate_unconfirmed() { ++unconfirmed_duplicates_; }

private:
    Duration fast_reply_{};  // what the endpoint's fast replies take; 0: not known
    int unconfirmed_duplicates_ = 0;
};

}  // namespace linnetlead::proxy
