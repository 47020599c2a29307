#include "proxy/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace linnetlead::proxy {

namespace {

constexpr std::size_t kMaxLineBytes = 512;  // a pipe that is ready takes as much in one write

constexpr std::array<std::string_view, static_cast<std::size_t>(Event::kCount)> kNames = {
    "attempt_error_reply",  "attempt_busy_reply",     "attempt_connect_failed", "attempt_connect_timeout",
    "attempt_write_broken", "attempt_write_timeout",  "attempt_reset",          "attempt_timeout",
    "attempt_reply_broken", "attempt_reply_timeout",  "attempt_cancelled",      "request_without_room",
    "request_with_open_id", "request_with_recent_id", "request_of_new_tenant",  "request_of_statement",
    "request_rejected",     "request_failed",         "request_at_shutdown",    "request_overdue",
    "request_truncated",    "request_withdrawn",      "client_stalled",         "client_incomplete",
    "client_idle",          "client_evicted",         "client_protocol_error",  "client_end_unread",
    "client_answer_cut",    "client_refused",         "client_accept_failed",
};

Event broken_at(Stage stage) {
    switch (stage) {
        case Stage::kUnconnected:
            return Event::kAttemptConnectFailed;
        case Stage::kPartlyWritten:
            return Event::kAttemptWriteBroken;
        case Stage::kWritten:
            return Event::kAttemptReset;
        case Stage::kAnswering:
            return Event::kAttemptReplyBroken;
    }
    return Event::kAttemptReset;
}

Event timed_out_at(Stage stage) {
    switch (stage) {
        case Stage::kUnconnected:
            return Event::kAttemptConnectTimeout;
        case Stage::kPartlyWritten:
            return Event::kAttemptWriteTimeout;
        case Stage::kWritten:
            return Event::kAttemptTimeout;
        case Stage::kAnswering:
            return Event::kAttemptReplyTimeout;
    }
    return Event::kAttemptTimeout;
}

bool takes_a_line() {
    pollfd state{STDERR_FILENO, POLLOUT, 0};
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

}  // namespace

std::string_view name_of(Event event) { return kNames[static_cast<std::size_t>(event)]; }

Event event_of(const AttemptEnd& end) {
    switch (end.ending) {
        case Ending::kError:
            return Event::kAttemptErrorReply;
        case Ending::kTurnedAway:
            return Event::kAttemptBusyReply;
        case Ending::kTimedOut:
            return timed_out_at(end.stage);
        case Ending::kGivenUp:
            return Event::kAttemptCancelled;
        case Ending::kServed:
        case Ending::kBroken:
            break;
    }
    return broken_at(end.stage);
}

bool EventLog::note(Event event, policy::Timestamp now) {
    Kind& kind = kinds_[static_cast<std::size_t>(event)];
    ++kind.count;
    const double elapsed_s = std::chrono::duration<double>(now - kind.refilled_at).count();
    kind.tokens = std::min(kLinesAtOnce, kind.tokens + std::max(0.0, elapsed_s) * kLinesPerSecond);
    kind.refilled_at = now;
    if (kind.tokens < 1) {
        ++kind.unwritten;
        return false;
    }
    kind.tokens -= 1;
    return true;
}

void EventLog::write(Event event, const std::string& text) {
    Kind& kind = kinds_[static_cast<std::size_t>(event)];
    if (!takes_a_line()) {
        ++kind.unwritten;
        return;
    }
    std::string line = "linnetlead: ";
    line.append(name_of(event)).append(": ").append(text);
    if (kind.unwritten > 0) line += ", " + std::to_string(std::exchange(kind.unwritten, 0)) + " more before";
    line.resize(std::min(line.size(), kMaxLineBytes - 1));
    line += '\n';
    if (::write(STDERR_FILENO, line.data(), line.size()) < 0) ++kind.unwritten;
}

}  // namespace linnetlead::proxy
