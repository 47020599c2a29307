// The answers of a client connection: which are written, which are kept, and how long values pass.
#include <algorithm>
#include <utility>

#include "proxy/downstream_client.h"

namespace linnetlead::net {

using proxy::Answer;
using proxy::Timestamp;
using proxy::Verdict;
using Streaming = proxy::PendingAnswers::Streaming;

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxShortValue = 1024;  // bytes; a shorter one is kept however much is pending
// Longest time that a long value is kept because of commands behind it: a value that is held back for 2 s
// counts as lost.
constexpr proxy::Duration kMaxValueDelay = std::chrono::milliseconds(1800);
constexpr proxy::Duration kRoomCheckInterval = std::chrono::milliseconds(20);

void write_answer(std::string& out, const Answer& answer) {
    switch (answer.verdict) {
        case Verdict::kServed:
            if (answer.passed) return void(out.append(kLineEnd));
            resp::write_bulk(out, answer.value);
            return;
        case Verdict::kRejected: {
            const auto ms = std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after).count();
            out.append(ms > 0 ? "-BUSY " + std::to_string(ms) + "\r\n" : "-BUSY\r\n");
            return;
        }
        case Verdict::kFailed:
            out.append("-ERR failed\r\n");
            return;
    }
}

}  // namespace

void DownstreamServer::Client::answer(std::uint64_t number, const Answer& answer) {
    Entry* const entry = answers_.find(number);
    if (!entry) return;
    entry->request = {};
    if (answer.passed && answer.verdict != Verdict::kServed) return end_broken_value(*entry, number);
    entry->done = true;
    const bool is_shed = !has_room_for(answer, answers_.is_first(number));
    if (is_shed) ++server_.shed_answers_;
    const Answer given = is_shed ? Answer{Verdict::kFailed, {}, {}, false} : answer;
    if (is_written_at_once(*entry, number)) {
        write_answer(to_write(), given);
    } else {
        std::string text;
        write_answer(text, given);
        answers_.keep(*entry, text);
    }
    write_complete_answers();
    note_pending();
}

bool DownstreamServer::Client::is_written_at_once(const Entry& entry, std::uint64_t number) const {
    const bool is_kept = entry.streaming == Streaming::kWaiting || entry.streaming == Streaming::kKept;
    return answers_.is_first(number) && !is_kept;
}

// The room of a whole value is reserved until the kernel has taken the value.
void DownstreamServer::Client::write_kept() {
    if (answers_.first().kept.empty()) return;
    reserved_ += answers_.first().reserved;
    std::string& out = to_write();
    if (out.empty()) {
        out = answers_.take_kept();
    } else {
        out.append(answers_.take_kept());
    }
}

void DownstreamServer::Client::give_back_room() { server_.gateway_.give_back(std::exchange(reserved_, 0)); }

void DownstreamServer::Client::write_complete_answers() {
    if (answers_.empty() || !answers_.first().done) return;
    loop().disarm(std::exchange(value_timer_, {}));
    while (!answers_.empty() && answers_.first().done) {
        write_kept();
        answers_.remove_first();
    }
    if (answers_.is_streaming()) start_value();
    finish_if_last();
}

void DownstreamServer::Client::begin_value(std::uint64_t number, std::size_t size,
                                           proxy::Duration max_delay) {
    Entry* const entry = answers_.find(number);
    if (!entry) return;
    answers_.begin_value(*entry, size, std::min(max_delay, kMaxValueDelay));
    if (answers_.is_first(number)) start_value();
}

bool DownstreamServer::Client::pass_value(std::uint64_t number, std::string_view piece) {
    Entry* const entry = answers_.find(number);
    if (!entry) return false;
    is_written_at_once(*entry, number) ? void(to_write().append(piece)) : answers_.keep(*entry, piece);
    note_pending();
    if (entry->streaming != Streaming::kPassing) return entry->streaming == Streaming::kKept;
    const bool is_over_limit = server_.unsent_ > server_.max_unsent_;
    return unsent() <= (is_over_limit ? 0 : kPauseReadingUnsent);
}

void DownstreamServer::Client::start_value() {
    if (!has_command_behind()) return pass_as_it_arrives();
    value_pass_by_ = loop().now() + answers_.first().max_delay;
    keep_until_whole();
    check_kept_value();
}

// From here on the next command waits in the socket, where a close does not lose it: its client sends it
// again.
void DownstreamServer::Client::pass_as_it_arrives() {
    Entry& entry = answers_.first();
    entry.streaming = Streaming::kPassing;
    write_kept();
    read_more(false);
    server_.watch_unread(*this);
    note_pending();
    server_.gateway_.go_on(entry.request);
}

void DownstreamServer::Client::keep_until_whole() {
    Entry& entry = answers_.first();
    if (!server_.gateway_.reserve_spare(entry.value_size)) return;
    answers_.keep_whole(entry);
    note_pending();
    server_.gateway_.go_on(entry.request);
}

void DownstreamServer::Client::check_kept_value() {
    value_timer_ = {};
    if (closing() || !answers_.is_streaming() || answers_.is_passing()) return;
    const Timestamp now = loop().now();
    if (now >= value_pass_by_) return pass_as_it_arrives();
    const bool has_room = answers_.first().streaming == Streaming::kKept;
    if (!has_room) keep_until_whole();
    const Timestamp next = has_room ? value_pass_by_ : std::min(value_pass_by_, now + kRoomCheckInterval);
    value_timer_ = loop().arm(next, [&clients = server_.clients_, me = self] {
        if (Client* const client = clients.find(me)) client->check_kept_value();
    });
}

void DownstreamServer::Client::end_broken_value(Entry& entry, std::uint64_t number) {
    if (entry.streaming == Streaming::kPassing) {
        if (answers_.size() > 1) note(proxy::Event::kClientAnswerCut);
        withdraw_all();
        return close_gracefully();
    }
    server_.gateway_.give_back(entry.reserved);
    answers_.drop_value(entry);
    answer(number, {Verdict::kFailed, {}, {}, false});
}

bool DownstreamServer::Client::has_command_behind() const {
    const bool is_whole = incomplete_since_ == Timestamp{};
    return answers_.size() > 1 || (has_rest() && is_whole);
}

bool DownstreamServer::Client::is_held_by_value() const {
    return answers_.is_streaming() && answers_.first().streaming != Streaming::kKept;
}

bool DownstreamServer::Client::has_room_for(const Answer& answer, bool is_first) {
    if (answer.value.size() <= kMaxShortValue) return true;
    if (is_first) return server_.unsent_ <= server_.max_unsent_ || offer() == 0;
    return server_.held_back_ + answer.value.size() <= server_.max_unsent_;
}

void DownstreamServer::Client::reply(std::string text) {
    if (answers_.empty()) {
        to_write().append(text);
    } else {
        answers_.add_answered(std::move(text));
    }
}

}  // namespace linnetlead::net
