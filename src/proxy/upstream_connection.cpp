#include "proxy/upstream_connection.h"

#include <algorithm>

#include "proxy/resp/command.h"

namespace linnetlead::net {

using proxy::AttemptEnd;
using proxy::Duration;
using proxy::Ending;
using proxy::Handle;
using proxy::ReplyVerdict;
using proxy::Stage;
using proxy::Timestamp;

namespace {

// Longest pause within a long value: slow clients and endpoints take seconds, but not this many.
constexpr Duration kStreamStallTimeout = std::chrono::seconds(15);
constexpr Duration kTailTimeout = std::chrono::seconds(1);  // for the fields after a long value
// Longest pause within a reply of which the length is not known yet, or that is short, past its attempt's
// timeout.
constexpr Duration kReplyStallTimeout = std::chrono::milliseconds(250);
constexpr std::size_t kMaxCongestedRead = 8 * 1024;   // bytes of a reply at once
constexpr std::size_t kMaxCongestedWrite = 8 * 1024;  // bytes of a body at once

}  // namespace

void UpstreamPool::Connection::begin(Handle request, const proxy::Payload* payload, const Limits& limits) {
    request_ = request;
    payload_ = payload;
    until_ = limits.until;
    due_ = limits.due;
    write_by_ = limits.write_by;
    busy_ = true;
    answering_ = counted_in_tries_ = skipped_duplicate_ = false;
    has_value_head_ = streams_at_once_ = false;
    is_held_ = accepts_held_ = false;
    reused_ = connected_;
    written_at_ = {};
    body_left_ = {};
    part_ = Part::kHead;
    leave_idle();
    started_ = loop().now();
    loop().disarm(timer_);
    if (connected_) return write();
    arm(std::min({until_, write_by_, loop().now() + pool_.bounds_.connect_timeout}));
}

void UpstreamPool::Connection::end(AttemptEnd end, bool reusable) {
    end.stage = stage();
    busy_ = false;
    loop().disarm(std::exchange(timer_, {}));
    if (reusable && !pool_.retiring_) {
        become_idle();
    } else {
        close();
    }
    if (payload_) {
        pool_.gateway_.attempt_ended(request_, end);
    } else {
        pool_.gateway_.probed(endpoint, proxy::outcome_of(end), end.report);
    }
}

bool UpstreamPool::Connection::is_pointless_without_client() const {
    return is_request_unsent() || (busy_ && payload_ && part_ == Part::kValue);
}

void UpstreamPool::Connection::go_on() {
    if (part_ != Part::kValue) return;
    arm(loop().now() + kStreamStallTimeout);
    read_more(true);
}

Stage UpstreamPool::Connection::stage() const {
    if (!connected_) return Stage::kUnconnected;
    if (unsent() > 0 || !body_left_.empty()) return Stage::kPartlyWritten;
    return answering_ ? Stage::kAnswering : Stage::kWritten;
}

void UpstreamPool::Connection::write() {
    arm(std::min(until_, write_by_));
    std::string& out = to_write();
    if (payload_) {
        body_left_ = resp::write_request(out, *payload_, until_ - loop().now(), max_written_piece());
    } else {
        out.append("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
    }
}

std::size_t UpstreamPool::Connection::max_written_piece() const {
    return loop().buffers().is_high() ? kMaxCongestedWrite : resp::kMaxBulk;
}

void UpstreamPool::Connection::arm(Timestamp at) {
    loop().disarm(timer_);
    timer_ = loop().arm(at, [this] {
        timer_ = {};
        on_timeout();
    });
}

void UpstreamPool::Connection::on_timeout() {
    if (!busy_) return close();  // idle for so long that the endpoint is about to close the connection
    if (part_ == Part::kTail) return end(tail_);
    if (is_held_) {
        accepts_held_ = true;
        return take_rest();
    }
    if (has_value_head_ && stage() == Stage::kAnswering) {
        streams_at_once_ = true;
        return take_rest();
    }
    if (is_reply_arriving()) return arm(std::min(due_, reply_bytes_at_ + kReplyStallTimeout));
    if (skipped_duplicate_) note_reply([](auto& replies) { replies.on_duplicate_unconfirmed(); });
    end({Stage::kUnconnected, Ending::kTimedOut, {}, 0, {}});
}

bool UpstreamPool::Connection::is_reply_arriving() const {
    const Timestamp now = loop().now();
    return payload_ && part_ == Part::kHead && stage() == Stage::kAnswering && now < due_ &&
           now < reply_bytes_at_ + kReplyStallTimeout;
}

void UpstreamPool::Connection::become_idle() {
    idle_since_ = loop().now();
    idle_position_ = pool_.idle_by_age_.insert(pool_.idle_by_age_.end(), self);
    is_idle_ = true;
    arm(idle_since_ + pool_.bounds_.idle * 8 / 10);
    pool_.endpoints_.at(endpoint).idle.push_back(self);
}

void UpstreamPool::Connection::leave_idle() {
    if (std::exchange(is_idle_, false)) pool_.idle_by_age_.erase(idle_position_);
}

void UpstreamPool::Connection::on_connected() {
    connected_ = true;
    loop().disarm(timer_);
    write();
}

void UpstreamPool::Connection::on_written() {
    if (busy_ && !body_left_.empty()) {
        // A long body is written in pieces, so that it is not copied as a whole.
        const std::size_t piece = std::min(body_left_.size(), max_written_piece());
        to_write().append(body_left_.substr(0, piece));
        body_left_.remove_prefix(piece);
        return;
    }
    if (!busy_ || !connected_) return;
    if (written_at_ == Timestamp{}) written_at_ = loop().now();
    if (!payload_) return;
    if (std::exchange(write_by_, Timestamp::max()) < until_ && part_ == Part::kHead) arm(until_);
    if (!std::exchange(counted_in_tries_, true)) ++pool_.tries_;
}

std::size_t UpstreamPool::Connection::max_read_bytes() const {
    return is_congested() ? kMaxCongestedRead : kWholeBuffer;
}

bool UpstreamPool::Connection::is_congested() const {
    return loop().buffers().is_high() || pool_.gateway_.output_congested();
}

std::size_t UpstreamPool::Connection::on_bytes(std::string_view bytes) {
    if (!busy_) {  // bytes without a request
        close();
        return bytes.size();
    }
    reply_bytes_at_ = loop().now();
    std::size_t taken = 0;
    std::size_t size = 0;
    do {
        size = read_part(bytes.substr(taken));
        taken += size;
    } while (size > 0 && taken < bytes.size() && busy_);
    return taken;
}

std::size_t UpstreamPool::Connection::read_part(std::string_view bytes) {
    switch (part_) {
        case Part::kHead:
            return read_head(bytes);
        case Part::kValue:
            return pass_value(bytes);
        case Part::kTail:
            return read_tail(bytes);
        case Part::kDuplicateValue:
            return skip_value(bytes);
        case Part::kDuplicateTail:
            return skip_tail(bytes);
    }
    return bytes.size();
}

std::size_t UpstreamPool::Connection::max_whole_value() const {
    return payload_ && loop().buffers().is_high() ? kMaxCongestedRead : resp::kMaxBulk;
}

std::size_t UpstreamPool::Connection::read_head(std::string_view bytes) {
    if (!std::exchange(answering_, true)) reply_began_after_ = since_written();
    resp::Message& message = pool_.message_;
    const resp::Parsed parsed = resp::parse(bytes, message, max_whole_value());
    const bool long_value = parsed == resp::Parsed::kLongBulk && payload_ && message.items.empty() &&
                            resp::may_become_reply(message);
    if (long_value) return begin_value(bytes, message);
    if (parsed == resp::Parsed::kLongBulk) {
        end({});
        return bytes.size();
    }
    // An invalid reply: the request may have run, and the client is answered at once.
    if (parsed == resp::Parsed::kMalformed || (payload_ && !resp::may_become_reply(message))) {
        end({});
        return bytes.size();
    }
    if (parsed == resp::Parsed::kPartial) return 0;
    switch (judge(message, bytes.size())) {
        case ReplyVerdict::kDuplicate:
            note_duplicate();
            return message.size;
        case ReplyVerdict::kSuspected:
            if (accepts_held_) break;
            hold();
            return 0;
        case ReplyVerdict::kGenuine:
            break;
    }
    AttemptEnd answer;
    if (payload_) {
        answer = resp::read_reply(message);
    } else if (!message.array && message.items[0].type == resp::Type::kBulk) {
        answer.ending = Ending::kServed;
        answer.report = resp::read_report(message.items[0].text);
    } else {
        answer.ending = Ending::kError;
    }
    // If bytes follow the reply, or it came before the request was written, the connection is not reused.
    const bool clean = message.size == bytes.size() && unsent() == 0 && answer.ending != Ending::kBroken;
    if (answer.ending == Ending::kServed) pool_.adapt_reuse_limit({}, true);
    if (payload_ && answer.ending == Ending::kServed) note_value({answer.value, answer.value.size()});
    end(answer, clean && leads_to_listed_process());
    return bytes.size();
}

bool UpstreamPool::Connection::leads_to_listed_process() const {
    const auto at = pool_.endpoints_.find(endpoint);
    return at != pool_.endpoints_.end() && at->second.is_usable && at->second.process == process_;
}

Duration UpstreamPool::Connection::since_written() const {
    return stage() < Stage::kWritten || written_at_ == Timestamp{} ? Duration{0} : loop().now() - written_at_;
}

ReplyVerdict UpstreamPool::Connection::judge(const resp::Message& message, std::size_t received) const {
    if (!reused_ || !message.array || !resp::may_become_reply(message)) return ReplyVerdict::kGenuine;
    const bool more_follows = received > message.size;
    if (is_held_ && more_follows) return ReplyVerdict::kDuplicate;
    const std::string_view value = message.items.front().text;
    return judge(proxy::ReplyFingerprint(value, value.size()), more_follows);
}

ReplyVerdict UpstreamPool::Connection::judge(const proxy::ReplyFingerprint& value, bool more_follows) const {
    if (!reused_ || value != last_value_) return ReplyVerdict::kGenuine;
    if (!payload_) return ReplyVerdict::kDuplicate;  // a probe's own reply has no such value
    const auto at = pool_.endpoints_.find(endpoint);
    if (at == pool_.endpoints_.end()) return ReplyVerdict::kGenuine;
    return at->second.replies.judge(reply_came_after(), more_follows);
}

void UpstreamPool::Connection::hold() {
    if (std::exchange(is_held_, true)) return;
    const auto at = pool_.endpoints_.find(endpoint);
    const Duration wait = at == pool_.endpoints_.end() ? Duration{0} : at->second.replies.max_hold();
    arm(std::min(until_, written_at_ + wait));
}

Duration UpstreamPool::Connection::reply_came_after() const {
    const auto by_kernel = max_time_from_sent_to_received();
    return by_kernel ? std::min<Duration>(reply_began_after_, *by_kernel) : reply_began_after_;
}

void UpstreamPool::Connection::note_duplicate() {
    answering_ = has_value_head_ = false;
    if (std::exchange(is_held_, false)) arm(until_);
    skipped_duplicate_ = true;
    ++pool_.duplicate_replies_;
}

void UpstreamPool::Connection::note_value(const proxy::ReplyFingerprint& value) {
    const bool is_equal = reused_ && value == last_value_;
    note_reply([this, is_equal](proxy::DuplicateReplyDetector& replies) {
        if (is_equal) replies.on_equal_value(accepts_held_);
        if (!is_equal) replies.on_genuine_reply(reply_began_after_);
        if (!is_equal && reused_) replies.on_other_value();
        if (skipped_duplicate_) replies.on_duplicate_confirmed();
    });
    last_value_ = value;
}

template <typename Note>
void UpstreamPool::Connection::note_reply(Note note) {
    const auto at = pool_.endpoints_.find(endpoint);
    if (at != pool_.endpoints_.end()) note(at->second.replies);
}

std::size_t UpstreamPool::Connection::skip_value(std::string_view bytes) {
    const std::size_t size = std::min(value_left_, bytes.size());
    value_left_ -= size;
    if (value_left_ == 0) part_ = Part::kDuplicateTail;
    tail_items_ = 0;
    return size;
}

std::size_t UpstreamPool::Connection::skip_tail(std::string_view bytes) {
    resp::Message& message = pool_.message_;
    const resp::Parsed parsed = resp::parse(bytes, message);
    if (parsed == resp::Parsed::kPartial) return 0;
    if (parsed != resp::Parsed::kWhole || message.array) {
        end({});
        return bytes.size();
    }
    if (++tail_items_ == kTailItems) part_ = Part::kHead;
    return message.size;
}

std::size_t UpstreamPool::Connection::begin_value(std::string_view bytes, const resp::Message& message) {
    const std::string_view start = bytes.substr(message.size);
    const bool may_be_duplicate = reused_ && last_value_.size == message.left;
    const std::size_t wanted = may_be_duplicate ? proxy::ReplyFingerprint::kPrefix : 1;
    if (start.size() < wanted && !streams_at_once_) {
        has_value_head_ = true;
        return 0;
    }
    if (may_be_duplicate && start.size() >= wanted &&
        judge(proxy::ReplyFingerprint(start, message.left), false) == ReplyVerdict::kDuplicate) {
        note_duplicate();
        part_ = Part::kDuplicateValue;
        value_left_ = message.left + kLineEnd.size();
        return message.size;
    }
    value_start_.clear();
    value_size_ = value_left_ = message.left;
    const std::size_t head = message.size;
    part_ = Part::kValue;
    loop().disarm(std::exchange(timer_, {}));
    if (pool_.gateway_.value_begins(request_, value_left_) == proxy::RequestManager::Wanted::kNothing) {
        end({Stage::kAnswering, Ending::kGivenUp, {}, 0, {}, {}});
        return bytes.size();
    }
    return head + pass_value(bytes.substr(head));
}

std::size_t UpstreamPool::Connection::pass_value(std::string_view bytes) {
    using Wanted = proxy::RequestManager::Wanted;
    const std::size_t size = std::min(value_left_, bytes.size());
    arm(loop().now() + kStreamStallTimeout);
    if (size > 0) {
        value_left_ -= size;
        const std::size_t compared = proxy::ReplyFingerprint::kPrefix - value_start_.size();
        value_start_.append(bytes.substr(0, std::min(size, compared)));
        const Wanted next = pool_.gateway_.value_piece(request_, bytes.substr(0, size));
        if (closing()) return bytes.size();  // the client disconnected meanwhile
        if (next == Wanted::kNothing) {
            end({Stage::kAnswering, Ending::kGivenUp, {}, 0, {}, {}});
            return bytes.size();
        }
        if (next == Wanted::kPause) read_more(false);
    }
    if (value_left_ > 0 || bytes.size() - size < kLineEnd.size()) return size;
    if (bytes.substr(size, kLineEnd.size()) != kLineEnd) {
        end({});
        return bytes.size();
    }
    part_ = Part::kTail;
    tail_ = {};
    tail_.ending = Ending::kServed;
    tail_items_ = 0;
    read_more(true);
    arm(loop().now() + kTailTimeout);
    note_value({value_start_, value_size_});
    pool_.gateway_.value_ends(request_);
    pool_.adapt_reuse_limit({}, true);
    return size + kLineEnd.size();
}

std::size_t UpstreamPool::Connection::read_tail(std::string_view bytes) {
    std::size_t taken = 0;
    resp::Message& message = pool_.message_;
    while (tail_items_ < kTailItems) {
        const resp::Parsed parsed = resp::parse(bytes.substr(taken), message);
        if (parsed == resp::Parsed::kPartial) return taken;
        if (parsed != resp::Parsed::kWhole || message.array) {
            end(tail_);
            return bytes.size();
        }
        taken += message.size;
        resp::read_reply_field(message.items.front().text, tail_items_++, tail_);
    }
    end(tail_, taken == bytes.size() && leads_to_listed_process());
    return bytes.size();
}

void UpstreamPool::Connection::on_end(int) {
    const bool at_once = loop().now() - started_ < pool_.bounds_.connect_timeout / 10;
    if (busy_ && reused_ && !answering_ && at_once) pool_.adapt_reuse_limit(started_ - idle_since_, false);
    if (busy_) end(part_ == Part::kTail ? tail_ : AttemptEnd{});
}

void UpstreamPool::Connection::on_released() {
    loop().disarm(timer_);
    leave_idle();
    const auto at = pool_.endpoints_.find(endpoint);
    if (at != pool_.endpoints_.end()) {
        for (auto* all : {&at->second.idle, &at->second.open}) {
            all->erase(std::remove(all->begin(), all->end(), self), all->end());
        }
    }
    pool_.connections_.remove(self);
}

}  // namespace linnetlead::net
