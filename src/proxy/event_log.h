// Counts the unusual events of requests, attempts and client connections, and writes a line for each to
// standard error, so that it can be found out afterwards why a request was rejected, retried or failed and
// why a connection was closed. Each kind of event has a rate of its own, so that a frequent kind hides no
// rare one. A line that would have to wait for the reader of standard error is dropped.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "linnetlead/policy.h"
#include "proxy/attempt_result.h"

namespace linnetlead::proxy {

enum class Event : std::size_t {
    // An attempt has ended without serving its request.
    kAttemptErrorReply,
    kAttemptBusyReply,
    kAttemptConnectFailed,
    kAttemptConnectTimeout,
    kAttemptWriteBroken,  // before the request's last byte was written
    kAttemptWriteTimeout,
    kAttemptReset,  // written, and no byte of a reply received
    kAttemptTimeout,
    kAttemptReplyBroken,  // within the reply, or the reply was invalid
    kAttemptReplyTimeout,
    kAttemptCancelled,
    // A request was rejected or failed, by whom, or was withdrawn since its client is gone.
    kRequestWithoutRoom,
    kRequestWithOpenId,
    kRequestWithRecentId,  // of one that has ended and may have run
    kRequestOfNewTenant,
    kRequestOfStatement,
    kRequestRejected,  // by the decision module, as the next
    kRequestFailed,
    kRequestAtShutdown,
    kRequestOverdue,
    kRequestTruncated,
    kRequestWithdrawn,
    // A client connection was closed by this side, or was found ended behind unread bytes.
    kClientStalled,
    kClientIncomplete,
    kClientIdle,
    kClientEvicted,
    kClientProtocolError,
    kClientEndUnread,
    kClientAnswerCut,  // closed by this side with a request or an answer of the client's unfinished
    // A new connection was closed unread, since no other one could give way, or was not accepted.
    kClientRefused,
    kClientAcceptFailed,
    kCount,
};

// As in the log and the metrics.
std::string_view name_of(Event event);

// The event of an attempt that has not served its request.
Event event_of(const AttemptEnd& end);

class EventLog {
public:
    // Counts the event. True: the caller writes its line with write().
    bool note(Event event, policy::Timestamp now);
    // `text`: what it is about, without a line end.
    void write(Event event, const std::string& text);

    std::uint64_t count(Event event) const { return kinds_[static_cast<std::size_t>(event)].count; }

private:
    struct Kind {
        std::uint64_t count = 0;
        std::uint64_t unwritten = 0;  // since the last line
        double tokens = kLinesAtOnce;
        policy::Timestamp refilled_at{};
    };
    static constexpr double kLinesPerSecond = 1;
    static constexpr double kLinesAtOnce = 20;

    std::array<Kind, static_cast<std::size_t>(Event::kCount)> kinds_;
};

}  // namespace linnetlead::proxy
