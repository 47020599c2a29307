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

// A body over this is read into room of its own, taken by its length; less may lie in every read buffer.
constexpr std::size_t kMaxSmall = 8 * 1024;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxPipelined = 64;        // commands of one client without an answer
constexpr std::size_t kMuchUnsent = 64 * 1024;   // to one client: no more is read from it
constexpr std::size_t kMaxUnsent = 1024 * 1024;  // it does not read: it is given up
constexpr proxy::Duration kFarewell = std::chrono::seconds(1);
constexpr proxy::Duration kLookOverEvery = std::chrono::milliseconds(200);
// Of a client that is not read, while its calls wait: nothing may be begun for it 0.1 s after its end.
constexpr proxy::Duration kLookAtUnreadEvery = std::chrono::milliseconds(30);
// A command that has not gone on for so long is one that a crowd has left half way.
constexpr proxy::Duration kStopsAfter = std::chrono::milliseconds(500);
// Who comes in a burst is let in when those before have been read, and may go. Longer, a call could be late.
constexpr proxy::Duration kHeldFor = std::chrono::milliseconds(100);
constexpr proxy::Duration kHoldStep = std::chrono::milliseconds(4);
constexpr std::size_t kPartingPart = 16;  // of the clients: those that are asked to go, to make room in time
constexpr proxy::Duration kPatience = std::chrono::milliseconds(2100);  // with one that does not ask
// With one whose command is not whole: slow ones take 2 s, and others are told within 3 s of connecting.
constexpr proxy::Duration kPatienceHalf = std::chrono::milliseconds(2600);

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
    Client(Loop& loop, DownstreamServer& acceptor) : Stream(loop), acceptor_(acceptor) {}

    void answer(std::uint64_t number, const Answer& answer) {
        if (number < first_ || number - first_ >= entries_.size()) return;
        Entry& entry = entries_[static_cast<std::size_t>(number - first_)];
        entry.call = {};
        entry.done = true;
        // Cut short: the client can tell by the end of its connection alone, and has the answers before it.
        if (answer.passed && answer.verdict != Verdict::kServed) {
            withdraw_all();
            return leave();
        }
        if (number == first_) {
            write_answer(to_write(), answer);
            drop_first();
        } else {
            write_answer(entry.reply, answer);
        }
        note_unsent();
        // Guards the memory against clients that ask and do not read.
        if (unsent() > kMaxUnsent || (unsent() > kMuchUnsent && acceptor_.unsent_ > acceptor_.max_unsent_)) {
            withdraw_all();
            close();
        }
    }
    void begin_value(std::uint64_t number, std::size_t size) {
        if (Entry* entry = find(number)) {
            entry->passing = true;
            out_of(*entry, number).append(1, '$').append(std::to_string(size)).append(kLineEnd);
        }
    }
    // One whose turn has not come is read no further: one buffer of it waits here.
    bool pass_value(std::uint64_t number, std::string_view piece) {
        Entry* const entry = find(number);
        if (!entry) return false;
        out_of(*entry, number).append(piece);
        note_unsent();
        const bool crowded = acceptor_.unsent_ > acceptor_.max_unsent_;
        return number == first_ && unsent() <= (crowded ? 0 : kMuchUnsent);
    }
    void note_unsent() {
        acceptor_.unsent_ -= std::exchange(noted_unsent_, closing() ? 0 : unsent());
        acceptor_.unsent_ += noted_unsent_;
    }
    // Closing at once could destroy answers that the client has not read yet, where bytes of its are unread.
    void leave() {
        if (finishing() || closing()) return;
        finish();
        see_off();
    }
    bool waits() const { return !entries_.empty() || unsent() > 0; }
    // Guards against a close that crosses a call: a command that has begun to come is waited for.
    void go_if_idle() {
        if (closing() || finishing() || passing_ || waits() || half_since_ != Timestamp{}) return;
        if (acceptor_.pass_) return pass();
        if (acceptor_.retiring_ && (turned_away_ || is_quiet())) leave();
    }
    void stay() {
        if (std::exchange(passing_, false)) read_more(true);
    }
    // Guards against clients that never ask, stop amid a command, or ask once and stay for good: where
    // connections run short, they hold what others need.
    void look_over(Timestamp now, bool crowded) {
        if (closing() || finishing() || passing_ || waits()) return;
        if (half_since_ != Timestamp{}) {
            // Guards the room for bodies against one that gives a byte now and then.
            const bool body_late = body_.left > 0 && now - body_.begun > acceptor_.body_within_;
            if (now - half_since_ <= kPatienceHalf && !body_late) return;
            drop_body();
            reply("-ERR command is not whole\r\n");
            leave();
        } else if (acceptor_.retiring_ || acceptor_.pass_) {
            go_if_idle();
        } else if (now - used > kPatience && (!asked || crowded) && is_quiet()) {
            leave();
        }
    }
    // Who gives way first where there is no room: lowest.
    std::tuple<int, bool, Timestamp> claim(Timestamp now) const {
        // A crowd stops half way after one piece; a slow client goes on, and its call would be lost. One that
        // is idle loses nothing: it comes again.
        constexpr int kSilent = 0, kStopped = 1, kIdle = 2, kBegun = 3;
        if (finishing()) return {kSilent, unsent() > 0, used};
        if (half_since_ != Timestamp{}) {
            const bool stops = pieces_ <= 1 && now - heard_ > kStopsAfter;
            return {stops ? kStopped : kBegun, unsent() > 0, heard_};
        }
        return {asked ? kIdle : kSilent, unsent() > 0, used};
    }
    // Not one whose next call lies there unread, which would be lost.
    bool may_give_way() const {
        if (closing() || passing_ || !entries_.empty()) return false;
        return finishing() || half_since_ != Timestamp{} || is_quiet();
    }

    void withdraw_all() {
        drop_body();
        for (const Entry& entry : std::exchange(entries_, {})) acceptor_.gateway_.withdraw(entry.call);
    }

    Handle self;
    Timestamp used{};    // when it came, or when its last call did
    bool asked = false;  // for a call, ever

private:
    struct Entry {
        Handle call;
        std::string reply;  // held back until those before it are answered
        bool done = false;
        bool passing = false;  // a long value, in pieces
    };
    // A command whose long body is still to come.
    struct Body {
        proxy::DownstreamRequest call;
        const char* problem = nullptr;  // told once the body is skipped
        bool has_room = false;          // the body is kept
        std::size_t room = 0;           // reserved in the core
        std::size_t left = 0;           // bytes to come, its end of line with them
        Timestamp begun{};
    };

    Entry* find(std::uint64_t number) {
        const bool here = number >= first_ && number - first_ < entries_.size();
        return here ? &entries_[static_cast<std::size_t>(number - first_)] : nullptr;
    }
    std::string& out_of(Entry& entry, std::uint64_t number) {
        return number == first_ ? to_write() : entry.reply;
    }

    std::size_t on_bytes(std::string_view bytes) override {
        if (last_) return bytes.size();
        std::size_t taken = 0;
        const Timestamp now = loop().now();
        heard_ = now;
        ++pieces_;
        while (taken < bytes.size() && !closing() && !finishing()) {
            if (body_.left > 0) {
                half_since_ = now;  // slow ones are waited for as long as something comes
                taken += take_body(bytes.substr(taken));
                continue;
            }
            if (entries_.size() >= kMaxPipelined || unsent() > kMuchUnsent) {
                read_more(false);  // goes on in on_written()
                acceptor_.watch_unread(self);
                break;
            }
            resp::Message& message = acceptor_.message_;
            const resp::Parsed parsed = resp::parse(bytes.substr(taken), message, kMaxSmall);
            if (parsed == resp::Parsed::kLongBulk && begin_body(message)) {
                half_since_ = now;
                taken += message.size;
                continue;
            }
            if (parsed == resp::Parsed::kPartial) {
                if (taken > 0 || half_since_ == Timestamp{}) half_since_ = now;
                return taken;
            }
            half_since_ = {};
            const bool command = parsed == resp::Parsed::kWhole && message.array;
            if (!command) {  // what follows cannot be told apart any more
                reply("-ERR protocol error\r\n");
                last_ = true;
                finish_if_last();
                return bytes.size();
            }
            taken += message.size;
            pieces_ = 0;
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
        if (verb == "Q.ASK" || verb == "Q.DO") return on_call(message);
        if (verb == "PING") return reply(acceptor_.says_yes_ ? "+PONG\r\n" : "-ERR draining\r\n");
        if (verb == "CLIENT" || verb == "SELECT") return reply("+OK\r\n");
        reply("-ERR unknown command\r\n");
    }

    // False: no command has a long one there.
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
        proxy::RequestManager& gateway = acceptor_.gateway_;
        // Room first: reading the head makes the body's.
        const std::size_t room = message.left + kMaxSmall;
        body_.has_room = gateway.reserve(room);
        body_.room = body_.has_room ? room : 0;
        if (!body_.has_room) head.left = 0;
        body_.problem = resp::read_call(head, acceptor_.names_, body_.begun, body_.call);
        return true;
    }

    std::size_t take_body(std::string_view bytes) {
        const std::size_t size = std::min(bytes.size(), body_.left);
        body_.left -= size;
        // The end of line is kept as it came, and looked at when it is whole.
        std::string& kept = body_.call.payload.bytes;
        if (body_.has_room && !body_.problem) kept.append(bytes.substr(0, size));
        if (body_.left > 0) return size;
        half_since_ = {};
        Body body = std::exchange(body_, {});
        acceptor_.gateway_.give_back(body.room);
        if (body.problem) {
            reply("-ERR " + std::string(body.problem) + "\r\n");
        } else if (!body.has_room) {
            asked = true;
            used = loop().now();
            acceptor_.gateway_.turned_away(body.call.request.traffic_class);
            reply("-BUSY\r\n");
        } else if (kept_end(body.call.payload.bytes) != kLineEnd) {
            reply("-ERR protocol error\r\n");
            last_ = true;
            finish_if_last();
        } else {
            body.call.request.due += loop().now() - body.begun;  // its time counts from its last byte
            take(std::move(body.call));
        }
        return size;
    }
    static std::string_view kept_end(std::string_view bytes) {
        return bytes.substr(bytes.size() - std::min(bytes.size(), kLineEnd.size()));
    }
    void drop_body() {
        acceptor_.gateway_.give_back(body_.room);
        body_ = {};
    }

    void on_call(const resp::Message& message) {
        proxy::DownstreamRequest call;
        if (const char* error = resp::read_call(message, acceptor_.names_, loop().now(), call)) {
            return reply("-ERR " + std::string(error) + "\r\n");
        }
        take(std::move(call));
    }

    void take(proxy::DownstreamRequest call) {
        asked = true;
        used = loop().now();
        turned_away_ = acceptor_.ends_ || (acceptor_.retiring_ && (turned_away_ || !entries_.empty()));
        if (turned_away_) {
            acceptor_.gateway_.turned_away(call.request.traffic_class);
            return reply("-BUSY\r\n");
        }
        const std::uint64_t number = first_ + entries_.size();
        entries_.emplace_back();
        const Handle handle = acceptor_.gateway_.take(std::move(call), acceptor_, {self.packed(), number});
        if (handle && number >= first_) entries_[static_cast<std::size_t>(number - first_)].call = handle;
    }

    // An answer of the acceptor's own, in its turn.
    void reply(std::string text) {
        if (entries_.empty()) {
            to_write().append(text);
        } else {
            entries_.push_back({{}, std::move(text), true, false});
        }
    }

    void drop_first() {
        do {
            entries_.pop_front();
            ++first_;
            if (entries_.empty()) break;
            to_write().append(std::exchange(entries_.front().reply, {}));
        } while (entries_.front().done);
        // A long value whose turn has come goes on when what of it waited here is written.
        finish_if_last();
    }

    // What lies unread in the socket goes with it: no close crosses a call.
    void pass() {
        passing_ = true;
        read_more(false);
        acceptor_.pass_(handle(), asked, [&clients = acceptor_.clients_, me = self](bool sent) {
            Client* const client = clients.find(me);
            if (client) sent ? client->close() : client->stay();
        });
    }

    void finish_if_last() {
        if (last_ && entries_.empty()) leave();
    }

    // Of one that is asked to go: it may take the time it needs to read what it is owed, as long as it does.
    void see_off() {
        loop().arm(loop().now() + kFarewell, [&clients = acceptor_.clients_, me = self, left = unsent()] {
            Client* const client = clients.find(me);
            if (!client || client->closing()) return;
            client->unsent() < left ? client->see_off() : client->close();
        });
    }

    void on_written() override {
        note_unsent();
        if (!entries_.empty() && entries_.front().passing) acceptor_.gateway_.go_on(entries_.front().call);
        if (entries_.size() < kMaxPipelined) {
            read_more(true);
            take_rest();
        }
        go_if_idle();
    }
    // The client has gone away: nobody waits for its calls.
    void on_end(int) override { withdraw_all(); }
    void on_released() override {
        drop_body();
        note_unsent();
        acceptor_.clients_.remove(self);
    }

    DownstreamServer& acceptor_;
    Body body_;
    std::deque<Entry> entries_;  // commands without an answer, in their order
    std::uint64_t first_ = 0;    // number of the first of them
    std::size_t noted_unsent_ = 0;
    Timestamp heard_{};         // when bytes came last
    int pieces_ = 0;            // in which the command that is not whole yet has come so far
    Timestamp half_since_{};    // when the command that is not whole yet began
    bool passing_ = false;      // to another process
    bool turned_away_ = false;  // a call, since it is to go: so are all that follow
    bool last_ = false;         // no command is read any more
};

DownstreamServer::DownstreamServer(Loop& loop, proxy::RequestManager& gateway,
                                   const policy::Settings& settings, Limits limits)
    : loop_(loop),
      gateway_(gateway),
      names_(settings),
      max_clients_(limits.clients),
      max_unsent_(limits.unsent),
      body_within_(limits.body),
      listener_(loop) {}
DownstreamServer::~DownstreamServer() = default;

int DownstreamServer::listen(const sockaddr_storage& address) {
    const int error = listener_.open(
        address, true, [this](uv_stream_t* listener, int status) { on_connection(listener, status); });
    if (error == 0) look_over();
    return error;
}

int DownstreamServer::start() {
    const int error =
        listener_.start([this](uv_stream_t* listener, int status) { on_connection(listener, status); });
    if (error == 0) look_over();
    return error;
}

void DownstreamServer::pass_on(Pass pass) {
    pass_ = std::move(pass);
    if (pass_) {
        end_hold();
        listener_.pause();
        clients_.for_each([](Handle, Client& client) { client.go_if_idle(); });
    } else {
        listener_.resume();
        clients_.for_each([](Handle, Client& client) { client.stay(); });
    }
}

void DownstreamServer::take_in(uv_stream_t* from, bool asked) {
    let_in(asked, make_room(), [from](Client& client) { return client.accept(from); });
}

// One that is not accepted here stays with libuv, which brings no other before it.
void DownstreamServer::on_connection(uv_stream_t* listener, int status) {
    if (status < 0) return;  // out of descriptors: libuv has refused it
    const Timestamp now = loop_.now();
    const bool room = make_room();
    if (room) hold_until_ = {};
    if (!room && hold_until_ == Timestamp{}) hold_until_ = now + kHeldFor;
    if (!room && now < hold_until_) {
        hold_ = loop_.arm(now + kHoldStep, [this] {
            hold_ = {};
            on_connection(listener_.stream(), 0);
        });
        return;
    }
    let_in(false, room, [listener](Client& client) { return client.accept(listener); });
}

// Before the listener goes: one that is held would go with it.
void DownstreamServer::end_hold() {
    if (!hold_) return;
    loop_.disarm(std::exchange(hold_, {}));
    let_in(false, make_room(), [this](Client& client) { return client.accept(listener_.stream()); });
}

template <typename Connect>
void DownstreamServer::let_in(bool asked, bool room, Connect connect) {
    const Handle handle = clients_.add(loop_, *this);
    Client& client = *clients_.find(handle);
    client.self = handle;
    client.used = loop_.now();
    client.asked = asked;
    if (connect(client) != 0 || !room) client.close();
}

// At the limit one that waits for nothing gives way: one that never asked, before the one idle longest, which
// comes again when it needs to. Shortly before it, one is asked to go, which costs no call that is on its
// way.
bool DownstreamServer::make_room() {
    const bool full = clients_.size() >= max_clients_;
    if (clients_.size() < max_clients_ - max_clients_ / kPartingPart) return true;
    const Timestamp now = loop_.now();
    Client* least = nullptr;
    clients_.for_each([&](Handle, Client& client) {
        if (least && client.claim(now) >= least->claim(now)) return;
        if ((full || !client.finishing()) && client.may_give_way()) least = &client;
    });
    if (least) full ? least->close() : least->leave();
    return least || !full;
}

void DownstreamServer::watch_unread(Handle client) {
    if (std::find(unread_.begin(), unread_.end(), client) != unread_.end()) return;
    unread_.push_back(client);
    if (unread_.size() > 1) return;
    look_at_unread_ = loop_.arm(loop_.now() + kLookAtUnreadEvery, [this] { look_at_unread(); });
}

void DownstreamServer::look_at_unread() {
    for (const Handle handle : std::exchange(unread_, {})) {
        Client* const client = clients_.find(handle);
        if (!client || client->closing() || client->reads() || client->end_if_ended()) continue;
        watch_unread(handle);
    }
}

void DownstreamServer::look_over() {
    const Timestamp now = loop_.now();
    const bool crowded = clients_.size() > max_clients_ / 2;
    clients_.for_each([&](Handle, Client& client) { client.look_over(now, crowded); });
    look_over_ = loop_.arm(now + kLookOverEvery, [this] { look_over(); });
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

// Whoever has connected by then is let in: those whom the system still holds would be reset with the
// listener.
void DownstreamServer::stop_listening() {
    end_hold();
    listener_.take_backlog([this](uv_os_sock_t connected) {
        let_in(false, make_room(), [connected](Client& client) { return client.open(connected); });
    });
    listener_.close();
}

void DownstreamServer::retire(bool on) {
    retiring_ = on;
    if (!on) return;
    clients_.for_each([](Handle, Client& client) { client.go_if_idle(); });
}

void DownstreamServer::close() {
    end_hold();
    listener_.close();
    loop_.disarm(look_over_);
    loop_.disarm(look_at_unread_);
    clients_.for_each([](Handle, Client& client) {
        client.withdraw_all();
        client.close();
    });
}

}  // namespace linnetlead::net
