#include "proxy/downstream_client.h"

#include <algorithm>
#include <utility>

namespace linnetlead::net {

using proxy::Handle;
using proxy::Timestamp;

namespace {

// A longer body gets its own buffer, reserved by its announced length; a shorter one stays in the read
// buffer.
constexpr std::size_t kMaxBufferedBody = 2 * 1024;
constexpr std::size_t kMaxCommandBytes = 8 * 1024;     // without a longer body
constexpr std::size_t kMaxReadBytes = 16 * 1024;       // of commands at once
constexpr std::size_t kMaxReadBytesInNeed = 4 * 1024;  // while the connections' buffers are high
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxPipelined = 64;  // unanswered commands of one client
// While commands are read, how often it is looked whether the client has closed behind them: no attempt may
// start more than 0.1 s after it has.
constexpr proxy::Duration kEndCheckInterval = std::chrono::milliseconds(10);
constexpr proxy::Duration kLingerStep = std::chrono::seconds(1);
// Times the stall timeout, for a client with at most kPauseReadingUnsent to take: its machine may tell of
// progress only once that much is read.
constexpr int kPatienceWithLittle = 2;
// Of a client that has never sent a request; of any idle client while more than half of the connections are
// in use.
constexpr proxy::Duration kIdleTimeout = std::chrono::milliseconds(2100);
// For an incomplete command. Slow clients need up to 2 s to send one. A client that stops within a command
// gets an error within 3 s of connecting.
constexpr proxy::Duration kIncompleteTimeout = std::chrono::milliseconds(2600);

std::string_view last_bytes(std::string_view bytes) {
    return bytes.substr(bytes.size() - std::min(bytes.size(), kLineEnd.size()));
}

}  // namespace

void DownstreamServer::Client::note_pending() {
    note_buffers();
    server_.unsent_ -= std::exchange(noted_unsent_, closing() ? 0 : unsent());
    server_.unsent_ += noted_unsent_;
    server_.held_back_ -= std::exchange(noted_held_back_, closing() ? 0 : answers_.kept_bytes());
    server_.held_back_ += noted_held_back_;
    server_.gateway_.set_output_congested(server_.unsent_ > server_.max_unsent_ / 2);
}

void DownstreamServer::Client::close_gracefully() {
    if (finishing() || closing()) return;
    finish();
    linger();
}

void DownstreamServer::Client::release_if_idle() {
    if (closing() || finishing() || handing_over_ || has_pending_answers() ||
        incomplete_since_ != Timestamp{})
        return;
    if (server_.pass_) return pass();
    if (server_.retiring_ && (rejecting_ || is_quiet())) close_gracefully();
}

void DownstreamServer::Client::cancel_handover() {
    if (std::exchange(handing_over_, false)) read_more(true);
}

void DownstreamServer::Client::check_timeouts(Timestamp now, bool is_half_full) {
    if (closing() || handing_over_) return;
    close_if_stalled(now);
    if (closing() || finishing() || has_pending_answers()) return;
    if (incomplete_since_ != Timestamp{}) {
        // Frees the memory reserved for a body that arrives too slowly.
        const bool body_late = body_.left > 0 && now - body_.begun > server_.body_timeout_;
        if (now - incomplete_since_ <= kIncompleteTimeout && !body_late) return;
        note(proxy::Event::kClientIncomplete);
        drop_body();
        reply("-ERR command is not whole\r\n");
        close_gracefully();
    } else if (server_.retiring_ || server_.pass_) {
        release_if_idle();
    } else if (now - last_used > kIdleTimeout && (!asked || is_half_full) && is_quiet()) {
        note(proxy::Event::kClientIdle);
        close_gracefully();
    }
}

void DownstreamServer::Client::close_if_stalled(Timestamp now) {
    const std::size_t left = undelivered();
    if (left < std::exchange(last_undelivered_, left) || left == 0) progress_at_ = now;
    const bool is_much = left > kPauseReadingUnsent;
    if (now - progress_at_ <= server_.stall_timeout_ * (is_much ? 1 : kPatienceWithLittle)) return;
    note(proxy::Event::kClientStalled);
    close_at_once();
}

std::optional<proxy::EvictionRank> DownstreamServer::Client::eviction_rank(Timestamp now) const {
    if (closing() || handing_over_) return std::nullopt;
    proxy::ClientActivity activity;
    activity.is_waiting_for_answers = has_pending_answers();
    activity.is_closing = finishing();
    activity.is_receiving = incomplete_since_ != Timestamp{};
    activity.has_asked = asked;
    activity.reads_of_command = reads_of_command_;
    activity.last_used = last_used;
    activity.last_bytes = last_bytes_at_;
    return proxy::eviction_rank(activity, now);
}

bool DownstreamServer::Client::is_settled() {
    if (undelivered() > 0) return false;
    if (finishing()) return true;
    return incomplete_since_ != Timestamp{} ? is_socket_quiet() : is_quiet();
}

void DownstreamServer::Client::withdraw_all() {
    drop_body();
    loop().disarm(std::exchange(value_timer_, {}));
    for (const Entry& entry : answers_.take_all()) {
        server_.gateway_.give_back(entry.reserved);
        server_.gateway_.withdraw(entry.request);
    }
}

void DownstreamServer::Client::close_at_once() {
    if (has_pending_answers()) note(proxy::Event::kClientAnswerCut);
    withdraw_all();
    close();
}

bool DownstreamServer::Client::is_saturated() const {
    return answers_.size() >= kMaxPipelined || unsent() > kPauseReadingUnsent || is_held_by_value() ||
           (!answers_.empty() && server_.held_back_ > server_.max_unsent_ / 2);
}

// A client that sends much at once and closes is gone, although its commands are still unread.
bool DownstreamServer::Client::has_left_unseen() {
    const Timestamp now = loop().now();
    if (now - end_checked_at_ < kEndCheckInterval) return false;
    end_checked_at_ = now;
    if (!end_if_ended()) return false;
    note(proxy::Event::kClientEndUnread);
    return true;
}

// A long body is read into its own room, and commands into what the connection keeps until they are taken.
std::size_t DownstreamServer::Client::max_read_bytes() const {
    if (loop().buffers().is_high()) return kMaxReadBytesInNeed;
    return body_.left > 0 ? kWholeBuffer : kMaxReadBytes;
}

std::size_t DownstreamServer::Client::on_bytes(std::string_view bytes) {
    if (last_) return bytes.size();
    std::size_t taken = 0;
    const Timestamp now = loop().now();
    last_bytes_at_ = now;
    ++reads_of_command_;
    while (taken < bytes.size() && !closing() && !finishing()) {
        const bool is_pipelined = taken > 0 || !answers_.empty();
        if (is_pipelined && has_left_unseen()) return bytes.size();
        if (body_.left > 0) {
            incomplete_since_ = now;  // while bytes arrive, only body_timeout_ limits a slow body
            taken += consume_body(bytes.substr(taken));
            continue;
        }
        if (is_saturated()) {
            read_more(false);  // resumed in on_written()
            server_.watch_unread(*this);
            break;
        }
        resp::Message& message = server_.message_;
        const resp::Parsed parsed =
            resp::parse(bytes.substr(taken), message, kMaxBufferedBody, kMaxCommandBytes);
        if (parsed == resp::Parsed::kLongBulk && begin_body(message)) {
            incomplete_since_ = now;
            taken += message.size;
            continue;
        }
        if (parsed == resp::Parsed::kPartial) {
            if (taken > 0 || incomplete_since_ == Timestamp{}) incomplete_since_ = now;
            return taken;
        }
        incomplete_since_ = {};
        const bool command = parsed == resp::Parsed::kWhole && message.array;
        if (!command) {
            refuse_rest();
            return bytes.size();
        }
        taken += message.size;
        reads_of_command_ = 0;
        on_command(message);
    }
    return taken;
}

void DownstreamServer::Client::on_command(const resp::Message& message) {
    if (message.items.empty()) return;
    for (const resp::Item& item : message.items) {
        if (item.type != resp::Type::kBulk) return reply("-ERR commands are arrays of bulk strings\r\n");
    }
    const std::string_view verb = message.items.front().text;
    if (verb == "Q.ASK" || verb == "Q.DO") return on_request(message);
    if (verb == "PING") return reply(server_.answers_pings_ ? "+PONG\r\n" : "-ERR draining\r\n");
    if (verb == "CLIENT" || verb == "SELECT") return reply("+OK\r\n");
    reply("-ERR unknown command\r\n");
}

bool DownstreamServer::Client::begin_body(const resp::Message& message) {
    constexpr std::size_t kBefore = 4;
    if (!message.array || message.count != kBefore + 1 || message.items.size() != kBefore) return false;
    const std::string_view verb = message.items.front().text;
    if (verb != "Q.DO" && verb != "Q.ASK") return false;
    for (const resp::Item& item : message.items) {
        if (item.type != resp::Type::kBulk) return false;
    }
    body_ = {};
    body_.begun = loop().now();
    body_.left = message.left + kLineEnd.size();
    resp::Message head = message;
    proxy::RequestManager& gateway = server_.gateway_;
    // Reserve first: read_request() allocates the memory of the body.
    const std::size_t room = message.left + kMaxBufferedBody;
    body_.has_room = gateway.reserve(room);
    body_.room = body_.has_room ? room : 0;
    if (!body_.has_room) head.left = 0;
    body_.problem = resp::read_request(head, server_.names_, body_.begun, body_.request);
    return true;
}

std::size_t DownstreamServer::Client::consume_body(std::string_view bytes) {
    const std::size_t size = std::min(bytes.size(), body_.left);
    body_.left -= size;
    // The line end is stored with the body and checked when both are complete.
    std::string& kept = body_.request.payload.bytes;
    if (body_.has_room && !body_.problem) kept.append(bytes.substr(0, size));
    if (body_.left > 0) return size;
    incomplete_since_ = {};
    Body body = std::exchange(body_, {});
    server_.gateway_.give_back(body.room);
    if (body.problem) {
        reply("-ERR " + std::string(body.problem) + "\r\n");
    } else if (!body.has_room) {
        asked = true;
        last_used = loop().now();
        server_.gateway_.turned_away(body.request, proxy::Event::kRequestWithoutRoom);
        reply("-BUSY\r\n");
    } else if (last_bytes(body.request.payload.bytes) != kLineEnd) {
        refuse_rest();
    } else {
        body.request.request.due += loop().now() - body.begun;  // its deadline counts from the last byte
        submit(std::move(body.request));
    }
    return size;
}

void DownstreamServer::Client::drop_body() {
    server_.gateway_.give_back(body_.room);
    body_ = {};
}

void DownstreamServer::Client::on_request(const resp::Message& message) {
    proxy::DownstreamRequest request;
    if (const char* error = resp::read_request(message, server_.names_, loop().now(), request)) {
        return reply("-ERR " + std::string(error) + "\r\n");
    }
    submit(std::move(request));
}

void DownstreamServer::Client::submit(proxy::DownstreamRequest request) {
    asked = true;
    last_used = loop().now();
    rejecting_ = server_.rejects_all_ || (server_.retiring_ && (rejecting_ || !answers_.empty()));
    if (rejecting_) {
        server_.gateway_.turned_away(request, proxy::Event::kRequestAtShutdown);
        return reply("-BUSY\r\n");
    }
    const std::uint64_t number = answers_.add();
    const Handle handle = server_.gateway_.take(std::move(request), server_, {self.packed(), number});
    Entry* const entry = answers_.find(number);
    if (entry && !entry->done) entry->request = handle;
}

void DownstreamServer::Client::pass() {
    handing_over_ = true;
    read_more(false);
    server_.pass_(handle(), asked, [&clients = server_.clients_, me = self](bool sent) {
        Client* const client = clients.find(me);
        if (client) sent ? client->close() : client->cancel_handover();
    });
}

void DownstreamServer::Client::refuse_rest() {
    note(proxy::Event::kClientProtocolError);
    reply("-ERR protocol error\r\n");
    last_ = true;
    finish_if_last();
}

void DownstreamServer::Client::note(proxy::Event event) {
    proxy::EventLog& events = server_.gateway_.events();
    if (!events.note(event, loop().now())) return;
    std::string text = std::to_string(answers_.size()) + " requests open, " + std::to_string(unsent()) +
                       " bytes unsent" + (asked ? "" : ", has never sent a request");
    text.append(", ").append(phase());
    text.append(", ").append(std::to_string(server_.clients_.size()));
    events.write(event, text + " of " + std::to_string(server_.max_clients_) + " connections");
}

std::string_view DownstreamServer::Client::phase() const {
    if (finishing()) return "closing";
    if (body_.left > 0) return "within a body";
    if (incomplete_since_ != Timestamp{}) return "within a command";
    return has_pending_answers() ? "waits for answers" : "idle";
}

void DownstreamServer::Client::finish_if_last() {
    if (last_ && answers_.empty()) close_gracefully();
}

void DownstreamServer::Client::linger() {
    loop().arm(loop().now() + kLingerStep, [&clients = server_.clients_, me = self] {
        Client* const client = clients.find(me);
        if (!client || client->closing()) return;
        client->undelivered() > 0 ? client->linger() : client->close_at_once();
    });
}

void DownstreamServer::Client::on_written() {
    progress_at_ = loop().now();
    give_back_room();
    note_pending();
    if (answers_.is_passing()) server_.gateway_.go_on(answers_.first().request);
    if (answers_.size() < kMaxPipelined && !is_held_by_value()) resume_reading();
    release_if_idle();
}

void DownstreamServer::Client::resume_reading() {
    // The rest of a command may have been waiting in the socket.
    if (!reads() && incomplete_since_ != Timestamp{}) incomplete_since_ = loop().now();
    read_more(true);
    take_rest();
}

void DownstreamServer::Client::on_released() {
    drop_body();
    give_back_room();
    note_pending();
    server_.clients_.remove(self);
}

}  // namespace linnetlead::net
