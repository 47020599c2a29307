#include "proxy/downstream_server.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace linnetlead::net {

using proxy::Answer;
using proxy::Handle;
using proxy::Ticket;
using proxy::Timestamp;
using proxy::Verdict;

namespace {

// A longer body gets its own buffer, reserved by its announced length; a shorter one stays in the read
// buffer.
constexpr std::size_t kMaxBufferedBody = 8 * 1024;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxPipelined = 64;               // unanswered commands of one client
constexpr std::size_t kPauseReadingUnsent = 64 * 1024;  // bytes for one client; above, its reading is paused
constexpr std::size_t kMaxShortValue = 1024;  // bytes; a shorter one is kept however much is pending
constexpr proxy::Duration kLingerStep = std::chrono::seconds(1);
constexpr proxy::Duration kTimeoutCheckInterval = std::chrono::milliseconds(200);
// Interval at which paused connections with open requests are checked for their end: no attempt may start
// more than 0.1 s after the client has closed its connection.
constexpr proxy::Duration kUnreadCheckInterval = std::chrono::milliseconds(30);
// A partial command without further bytes for this long counts as abandoned.
constexpr proxy::Duration kStalledAfter = std::chrono::milliseconds(500);
// In a burst, new connections wait until earlier ones have been read and can be closed. A longer wait could
// make a request miss its deadline.
constexpr proxy::Duration kMaxAcceptDelay = std::chrono::milliseconds(100);
constexpr proxy::Duration kAcceptRetryDelay = std::chrono::milliseconds(4);
// 1/16 of the connection limit is kept free: while less is free, each new connection closes another one
// gracefully.
constexpr std::size_t kFreePart = 16;
// Of a client that has never sent a request; of any idle client while more than half of the connections are
// in use.
constexpr proxy::Duration kIdleTimeout = std::chrono::milliseconds(2100);
// For an incomplete command. Slow clients need up to 2 s to send one. A client that stops within a command
// gets an error within 3 s of connecting.
constexpr proxy::Duration kIncompleteTimeout = std::chrono::milliseconds(2600);

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

class DownstreamServer::Client final : public Stream {
public:
    Client(Loop& loop, DownstreamServer& server) : Stream(loop), server_(server), progress_at_(loop.now()) {}

    void answer(std::uint64_t number, const Answer& answer) {
        if (number < first_ || number - first_ >= entries_.size()) return;
        Entry& entry = entries_[static_cast<std::size_t>(number - first_)];
        entry.request = {};
        entry.done = true;
        // The attempt ended before the whole value was passed on. A part of it is already written, so only
        // closing the connection shows the client the failure. Earlier answers are still written.
        if (answer.passed && answer.verdict != Verdict::kServed) {
            withdraw_all();
            return close_gracefully();
        }
        if (has_room_for(answer, number == first_)) {
            append(entry, number, [&answer](std::string& out) { write_answer(out, answer); });
        } else {
            ++server_.shed_answers_;
            append(entry, number, [](std::string& out) {
                write_answer(out, {Verdict::kFailed, {}, {}, false});
            });
        }
        if (number == first_) drop_first();
        note_pending();
    }
    void begin_value(std::uint64_t number, std::size_t size) {
        Entry* const entry = find(number);
        if (!entry) return;
        entry->streaming = true;
        append(*entry, number, [size](std::string& out) {
            out.append(1, '$').append(std::to_string(size)).append(kLineEnd);
        });
    }
    // A value that has to wait for the answers to earlier commands is paused after its first piece, which is
    // buffered here.
    bool pass_value(std::uint64_t number, std::string_view piece) {
        Entry* const entry = find(number);
        if (!entry) return false;
        append(*entry, number, [piece](std::string& out) { out.append(piece); });
        note_pending();
        const bool over_limit = server_.unsent_ > server_.max_unsent_;
        return number == first_ && unsent() <= (over_limit ? 0 : kPauseReadingUnsent);
    }
    // Brings the server's totals up to date with this client's part.
    void note_pending() {
        server_.unsent_ -= std::exchange(noted_unsent_, closing() ? 0 : unsent());
        server_.unsent_ += noted_unsent_;
        server_.held_back_ -= std::exchange(noted_held_back_, closing() ? 0 : held_back_);
        server_.held_back_ += noted_held_back_;
    }
    // Closes after the client has had time to read. An immediate close with unread input would reset the
    // connection and could destroy answers that the client has not read yet.
    void close_gracefully() {
        if (finishing() || closing()) return;
        finish();
        linger();
    }
    bool has_pending_answers() const { return !entries_.empty() || unsent() > 0; }
    // Closes or hands over an idle connection. Waits for a command that has started to arrive, because a
    // close would lose it.
    void release_if_idle() {
        if (closing() || finishing() || handing_over_ || has_pending_answers() ||
            incomplete_since_ != Timestamp{})
            return;
        if (server_.pass_) return pass();
        if (server_.retiring_ && (rejecting_ || is_quiet())) close_gracefully();
    }
    void cancel_handover() {
        if (std::exchange(handing_over_, false)) read_more(true);
    }
    // Closes connections of clients that never send a request, stop within a command, or stay idle after a
    // request: they occupy connections that others need.
    void check_timeouts(Timestamp now, bool is_half_full) {
        if (closing() || finishing() || handing_over_) return;
        close_if_stalled(now);
        if (closing() || has_pending_answers()) return;
        if (incomplete_since_ != Timestamp{}) {
            // Frees the memory reserved for a body that arrives too slowly.
            const bool body_late = body_.left > 0 && now - body_.begun > server_.body_timeout_;
            if (now - incomplete_since_ <= kIncompleteTimeout && !body_late) return;
            drop_body();
            reply("-ERR command is not whole\r\n");
            close_gracefully();
        } else if (server_.retiring_ || server_.pass_) {
            release_if_idle();
        } else if (now - last_used > kIdleTimeout && (!asked || is_half_full) && is_quiet()) {
            close_gracefully();
        }
    }
    // Limits how long answers are kept for a client that does not read them.
    void close_if_stalled(Timestamp now) {
        const std::size_t left = unsent();
        if (left < std::exchange(last_unsent_, left) || left <= kPauseReadingUnsent) progress_at_ = now;
        if (now - progress_at_ <= server_.stall_timeout_) return;
        withdraw_all();
        close();
    }
    // Order of eviction when there is no room: the lowest rank is closed first.
    std::tuple<int, bool, Timestamp> eviction_rank(Timestamp now) const {
        // A command of which only one read has arrived, and nothing for kStalledAfter, counts as abandoned. A
        // slow client sends more and would lose its request, so it is closed last. An idle client loses
        // nothing: it reconnects.
        constexpr int kNoRequest = 0, kStalled = 1, kIdle = 2, kReceiving = 3;
        if (finishing()) return {kNoRequest, unsent() > 0, last_used};
        if (incomplete_since_ != Timestamp{}) {
            const bool stops = reads_of_command_ <= 1 && now - last_bytes_at_ > kStalledAfter;
            return {stops ? kStalled : kReceiving, unsent() > 0, last_bytes_at_};
        }
        return {asked ? kIdle : kNoRequest, unsent() > 0, last_used};
    }
    // Not if the next request is waiting unread in the socket: it would be lost.
    bool can_be_evicted() const {
        if (closing() || handing_over_ || !entries_.empty()) return false;
        return finishing() || incomplete_since_ != Timestamp{} || is_quiet();
    }

    void withdraw_all() {
        drop_body();
        held_back_ = 0;
        for (const Entry& entry : std::exchange(entries_, {})) server_.gateway_.withdraw(entry.request);
    }

    Handle self;
    Timestamp last_used{};  // when it connected, or when its last request arrived
    bool asked = false;     // has sent a request

private:
    struct Entry {
        Handle request;
        std::string reply;  // held back until the earlier commands are answered
        bool done = false;
        bool streaming = false;  // a long value
    };
    // A command whose long body is being received.
    struct Body {
        proxy::DownstreamRequest request;
        const char* problem = nullptr;  // error to reply once the body is skipped
        bool has_room = false;          // the body is stored
        std::size_t room = 0;           // bytes reserved in the request manager
        std::size_t left = 0;           // bytes still to arrive, including the line end
        Timestamp begun{};
    };

    Entry* find(std::uint64_t number) {
        const bool here = number >= first_ && number - first_ < entries_.size();
        return here ? &entries_[static_cast<std::size_t>(number - first_)] : nullptr;
    }
    // Writes a part of an answer, or holds it back while an earlier command has no answer.
    template <typename Write>
    void append(Entry& entry, std::uint64_t number, Write write) {
        if (number == first_) return write(to_write());
        const std::size_t before = entry.reply.size();
        write(entry.reply);
        held_back_ += entry.reply.size() - before;
    }
    // Whether the client's next command waits in the socket until earlier ones are answered and the answers
    // are written.
    bool is_saturated() const {
        return entries_.size() >= kMaxPipelined || unsent() > kPauseReadingUnsent ||
               (!entries_.empty() && server_.held_back_ > server_.max_unsent_ / 2);
    }
    // Whether the answer's value can be kept. Otherwise the client gets an error in its place, so that every
    // request is answered and the connection serves on.
    bool has_room_for(const Answer& answer, bool is_first) {
        if (answer.value.size() <= kMaxShortValue) return true;
        if (is_first) return server_.unsent_ <= server_.max_unsent_ || offer() == 0;
        return server_.held_back_ + answer.value.size() <= server_.max_unsent_;
    }

    std::size_t on_bytes(std::string_view bytes) override {
        if (last_) return bytes.size();
        std::size_t taken = 0;
        const Timestamp now = loop().now();
        last_bytes_at_ = now;
        ++reads_of_command_;
        while (taken < bytes.size() && !closing() && !finishing()) {
            if (body_.left > 0) {
                incomplete_since_ = now;  // while bytes arrive, only body_timeout_ limits a slow body
                taken += consume_body(bytes.substr(taken));
                continue;
            }
            if (is_saturated()) {
                read_more(false);  // resumed in on_written()
                server_.watch_unread(self);
                break;
            }
            resp::Message& message = server_.message_;
            const resp::Parsed parsed = resp::parse(bytes.substr(taken), message, kMaxBufferedBody);
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
            if (!command) {  // the start of the next command is unknown
                reply("-ERR protocol error\r\n");
                last_ = true;
                finish_if_last();
                return bytes.size();
            }
            taken += message.size;
            reads_of_command_ = 0;
            on_command(message);
        }
        return taken;
    }

    void on_command(const resp::Message& message) {
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

    // Starts to receive a long body. False: the command cannot have one at this place.
    bool begin_body(const resp::Message& message) {
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

    std::size_t consume_body(std::string_view bytes) {
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
            server_.gateway_.turned_away(body.request.request.traffic_class);
            reply("-BUSY\r\n");
        } else if (last_bytes(body.request.payload.bytes) != kLineEnd) {
            reply("-ERR protocol error\r\n");
            last_ = true;
            finish_if_last();
        } else {
            body.request.request.due += loop().now() - body.begun;  // its deadline counts from the last byte
            submit(std::move(body.request));
        }
        return size;
    }
    static std::string_view last_bytes(std::string_view bytes) {
        return bytes.substr(bytes.size() - std::min(bytes.size(), kLineEnd.size()));
    }
    void drop_body() {
        server_.gateway_.give_back(body_.room);
        body_ = {};
    }

    void on_request(const resp::Message& message) {
        proxy::DownstreamRequest request;
        if (const char* error = resp::read_request(message, server_.names_, loop().now(), request)) {
            return reply("-ERR " + std::string(error) + "\r\n");
        }
        submit(std::move(request));
    }

    void submit(proxy::DownstreamRequest request) {
        asked = true;
        last_used = loop().now();
        rejecting_ = server_.rejects_all_ || (server_.retiring_ && (rejecting_ || !entries_.empty()));
        if (rejecting_) {
            server_.gateway_.turned_away(request.request.traffic_class);
            return reply("-BUSY\r\n");
        }
        const std::uint64_t number = first_ + entries_.size();
        entries_.emplace_back();
        const Handle handle = server_.gateway_.take(std::move(request), server_, {self.packed(), number});
        if (handle && number >= first_) entries_[static_cast<std::size_t>(number - first_)].request = handle;
    }

    // Writes an answer of the server itself, after those of the earlier commands.
    void reply(std::string text) {
        if (entries_.empty()) {
            to_write().append(text);
        } else {
            held_back_ += text.size();
            entries_.push_back({{}, std::move(text), true, false});
        }
    }

    void drop_first() {
        do {
            entries_.pop_front();
            ++first_;
            if (entries_.empty()) break;
            held_back_ -= entries_.front().reply.size();
            to_write().append(std::exchange(entries_.front().reply, {}));
        } while (entries_.front().done);
        // A paused long value resumes when its buffered part is written.
        finish_if_last();
    }

    // Hands the connection to another process. Unread bytes stay in the socket, so no request is lost.
    void pass() {
        handing_over_ = true;
        read_more(false);
        server_.pass_(handle(), asked, [&clients = server_.clients_, me = self](bool sent) {
            Client* const client = clients.find(me);
            if (client) sent ? client->close() : client->cancel_handover();
        });
    }

    void finish_if_last() {
        if (last_ && entries_.empty()) close_gracefully();
    }

    // Delays the close while the client keeps reading its answers.
    void linger() {
        loop().arm(loop().now() + kLingerStep, [&clients = server_.clients_, me = self, left = unsent()] {
            Client* const client = clients.find(me);
            if (!client || client->closing()) return;
            client->unsent() < left ? client->linger() : client->close();
        });
    }

    void on_written() override {
        progress_at_ = loop().now();
        note_pending();
        if (!entries_.empty() && entries_.front().streaming) server_.gateway_.go_on(entries_.front().request);
        if (entries_.size() < kMaxPipelined) {
            read_more(true);
            take_rest();
        }
        release_if_idle();
    }
    // The client has disconnected: its requests are withdrawn.
    void on_end(int) override { withdraw_all(); }
    void on_released() override {
        drop_body();
        note_pending();
        server_.clients_.remove(self);
    }

    DownstreamServer& server_;
    Body body_;
    std::deque<Entry> entries_;     // unanswered commands, in order
    std::uint64_t first_ = 0;       // number of entries_.front()
    std::size_t held_back_ = 0;     // bytes of answers that wait for earlier ones, in entries_
    std::size_t noted_unsent_ = 0;  // in the server's totals
    std::size_t noted_held_back_ = 0;
    std::size_t last_unsent_ = 0;   // at the last check
    Timestamp progress_at_;         // when the client last took something, or had little to take
    Timestamp last_bytes_at_{};     // when the last bytes arrived
    int reads_of_command_ = 0;      // reads that the incomplete command has taken so far
    Timestamp incomplete_since_{};  // when the incomplete command started
    bool handing_over_ = false;     // to another process
    bool rejecting_ = false;        // a request was rejected while draining; so are all that follow
    bool last_ = false;             // no further command is read
};

DownstreamServer::DownstreamServer(Loop& loop, proxy::RequestManager& gateway,
                                   const policy::Settings& settings, Limits limits)
    : loop_(loop),
      gateway_(gateway),
      names_(settings),
      max_clients_(limits.clients),
      max_unsent_(limits.unsent),
      body_timeout_(limits.body),
      stall_timeout_(limits.stall),
      listener_(loop) {}
DownstreamServer::~DownstreamServer() = default;

int DownstreamServer::listen(const sockaddr_storage& address) {
    const int error = listener_.open(
        address, true, [this](uv_stream_t* listener, int status) { on_connection(listener, status); });
    if (error == 0) check_timeouts();
    return error;
}

int DownstreamServer::start() {
    const int error =
        listener_.start([this](uv_stream_t* listener, int status) { on_connection(listener, status); });
    if (error == 0) check_timeouts();
    return error;
}

void DownstreamServer::pass_on(Pass pass) {
    pass_ = std::move(pass);
    if (pass_) {
        end_deferral();
        listener_.pause();
        clients_.for_each([](Handle, Client& client) { client.release_if_idle(); });
    } else {
        listener_.resume();
        clients_.for_each([](Handle, Client& client) { client.cancel_handover(); });
    }
}

void DownstreamServer::take_in(uv_stream_t* from, bool asked) {
    add_client(asked, make_room(), [from](Client& client) { return client.accept(from); });
}

// While this connection is not accepted, libuv keeps it and reports no further connection.
void DownstreamServer::on_connection(uv_stream_t* listener, int status) {
    if (status < 0) return;  // out of descriptors: libuv has refused it
    const Timestamp now = loop_.now();
    const bool room = make_room();
    if (room) defer_until_ = {};
    if (!room && defer_until_ == Timestamp{}) defer_until_ = now + kMaxAcceptDelay;
    if (!room && now < defer_until_) {
        deferred_accept_ = loop_.arm(now + kAcceptRetryDelay, [this] {
            deferred_accept_ = {};
            on_connection(listener_.stream(), 0);
        });
        return;
    }
    add_client(false, room, [listener](Client& client) { return client.accept(listener); });
}

// Called before the listener closes, which would reset the connection whose accept is deferred.
void DownstreamServer::end_deferral() {
    if (!deferred_accept_) return;
    loop_.disarm(std::exchange(deferred_accept_, {}));
    add_client(false, make_room(), [this](Client& client) { return client.accept(listener_.stream()); });
}

template <typename Connect>
void DownstreamServer::add_client(bool asked, bool room, Connect connect) {
    const Handle handle = clients_.add(loop_, *this);
    Client& client = *clients_.find(handle);
    client.self = handle;
    client.last_used = loop_.now();
    client.asked = asked;
    if (connect(client) != 0 || !room) client.close();
}

// At the limit, closes the connection with the lowest eviction_rank() of those that wait for no answer.
// Shortly below the limit, closes it gracefully, so that no request on its way is lost. False: there is no
// room.
bool DownstreamServer::make_room() {
    const bool full = clients_.size() >= max_clients_;
    if (clients_.size() < max_clients_ - max_clients_ / kFreePart) return true;
    const Timestamp now = loop_.now();
    Client* least = nullptr;
    clients_.for_each([&](Handle, Client& client) {
        if (least && client.eviction_rank(now) >= least->eviction_rank(now)) return;
        if ((full || !client.finishing()) && client.can_be_evicted()) least = &client;
    });
    if (least) full ? least->close() : least->close_gracefully();
    return least || !full;
}

void DownstreamServer::watch_unread(Handle client) {
    if (std::find(unread_.begin(), unread_.end(), client) != unread_.end()) return;
    unread_.push_back(client);
    if (unread_.size() > 1) return;
    unread_check_ = loop_.arm(loop_.now() + kUnreadCheckInterval, [this] { check_unread(); });
}

void DownstreamServer::check_unread() {
    for (const Handle handle : std::exchange(unread_, {})) {
        Client* const client = clients_.find(handle);
        if (!client || client->closing() || client->reads() || client->end_if_ended()) continue;
        watch_unread(handle);
    }
}

void DownstreamServer::check_timeouts() {
    const Timestamp now = loop_.now();
    const bool is_half_full = clients_.size() > max_clients_ / 2;
    clients_.for_each([&](Handle, Client& client) { client.check_timeouts(now, is_half_full); });
    timeout_check_ = loop_.arm(now + kTimeoutCheckInterval, [this] { check_timeouts(); });
}

void DownstreamServer::answer(const Ticket& ticket, const Answer& answer) {
    Client* client = clients_.find(Handle::unpacked(ticket.place));
    if (client && !client->closing()) client->answer(ticket.number, answer);
}

void DownstreamServer::begin_value(const Ticket& ticket, std::size_t size) {
    Client* client = clients_.find(Handle::unpacked(ticket.place));
    if (client && !client->closing()) client->begin_value(ticket.number, size);
}

bool DownstreamServer::pass_value(const Ticket& ticket, std::string_view piece) {
    Client* client = clients_.find(Handle::unpacked(ticket.place));
    return client && !client->closing() && client->pass_value(ticket.number, piece);
}

// Accepts the connections in the kernel's backlog first: closing the listener would reset them.
void DownstreamServer::stop_listening() {
    end_deferral();
    listener_.take_backlog([this](uv_os_sock_t connected) {
        add_client(false, make_room(), [connected](Client& client) { return client.open(connected); });
    });
    listener_.close();
}

void DownstreamServer::retire(bool on) {
    retiring_ = on;
    if (!on) return;
    clients_.for_each([](Handle, Client& client) { client.release_if_idle(); });
}

void DownstreamServer::close() {
    end_deferral();
    listener_.close();
    loop_.disarm(timeout_check_);
    loop_.disarm(unread_check_);
    clients_.for_each([](Handle, Client& client) {
        client.withdraw_all();
        client.close();
    });
}

}  // namespace linnetlead::net
