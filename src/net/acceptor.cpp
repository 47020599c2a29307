#include "acceptor.h"

#include <tuple>
#include <utility>

namespace linnetlead::net {

using core::Answer;
using core::Handle;
using core::Ticket;
using core::Time;
using core::Verdict;

namespace {

constexpr std::size_t most_pipelined = 64;        // commands of one client without an answer
constexpr std::size_t much_unsent = 64 * 1024;    // to one client: no more is read from it
constexpr std::size_t most_unsent = 1024 * 1024;  // it does not read: it is given up
constexpr core::Span farewell = std::chrono::seconds(1);
constexpr core::Span look_over_every = std::chrono::milliseconds(200);
constexpr core::Span patience = std::chrono::milliseconds(2100);  // with one that does not ask
// With one whose command is not whole: slow ones take 2 s, and others are told within 3 s of connecting.
constexpr core::Span patience_half = std::chrono::milliseconds(2600);

void write_answer(std::string& out, const Answer& answer) {
    switch (answer.verdict) {
        case Verdict::served:
            resp::write_bulk(out, answer.value);
            return;
        case Verdict::refused: {
            const auto ms = std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after).count();
            out.append(ms > 0 ? "-BUSY " + std::to_string(ms) + "\r\n" : "-BUSY\r\n");
            return;
        }
        case Verdict::failed:
            out.append("-ERR failed\r\n");
            return;
    }
}

}  // namespace

class Acceptor::Client final : public Stream {
public:
    Client(Loop& loop, Acceptor& acceptor) : Stream(loop), acceptor_(acceptor) {}

    void answer(std::uint64_t number, const Answer& answer) {
        if (number < first_ || number - first_ >= entries_.size()) return;
        Entry& entry = entries_[static_cast<std::size_t>(number - first_)];
        entry.call = {};
        entry.done = true;
        if (number == first_) {
            write_answer(to_write(), answer);
            drop_first();
        } else {
            write_answer(entry.reply, answer);
        }
        note_unsent();
        // Guards the memory against clients that ask and do not read.
        if (unsent() > most_unsent ||
            (unsent() > much_unsent && acceptor_.unsent_ > acceptor_.most_unsent_)) {
            withdraw_all();
            close();
        }
    }
    void note_unsent() {
        acceptor_.unsent_ -= std::exchange(noted_unsent_, closing() ? 0 : unsent());
        acceptor_.unsent_ += noted_unsent_;
    }
    // Closing at once could destroy answers that the client has not read yet, where bytes of its are unread.
    void leave() {
        if (finishing()) return;
        finish();
        loop().arm(loop().now() + farewell, [&clients = acceptor_.clients_, me = self] {
            if (Client* client = clients.find(me)) client->close();
        });
    }
    bool waits() const { return !entries_.empty() || unsent() > 0; }
    // Guards against a close that crosses a call: a command that has begun to come is waited for.
    void go_if_idle() {
        if (closing() || finishing() || passing_ || waits() || half_since_ != Time{}) return;
        if (acceptor_.pass_) return pass();
        if (acceptor_.retiring_ && is_quiet()) leave();
    }
    void stay() {
        if (std::exchange(passing_, false)) read_more(true);
    }
    // Guards against clients that never ask, stop amid a command, or ask once and stay for good: where
    // connections run short, they hold what others need.
    void look_over(Time now, bool crowded) {
        if (closing() || finishing() || passing_ || waits()) return;
        if (half_since_ != Time{}) {
            if (now - half_since_ <= patience_half) return;
            reply("-ERR command is not whole\r\n");
            leave();
        } else if (acceptor_.retiring_ || acceptor_.pass_) {
            go_if_idle();
        } else if (now - used > patience && (!asked || crowded)) {
            close();
        }
    }
    // Who gives way first where there is no room: lowest.
    std::tuple<bool, bool, Time> claim() const {
        return {asked && half_since_ == Time{} && !finishing(), unsent() > 0, used};
    }
    bool may_give_way() const { return !closing() && !passing_ && entries_.empty(); }

    void withdraw_all() {
        for (const Entry& entry : std::exchange(entries_, {})) acceptor_.gateway_.withdraw(entry.call);
    }

    Handle self;
    Time used{};         // when it came, or when its last call did
    bool asked = false;  // for a call, ever

private:
    struct Entry {
        Handle call;
        std::string reply;  // held back until those before it are answered
        bool done = false;
    };

    std::size_t on_bytes(std::string_view bytes) override {
        if (last_) return bytes.size();
        std::size_t taken = 0;
        const Time now = loop().now();
        while (taken < bytes.size() && !closing() && !finishing()) {
            if (entries_.size() >= most_pipelined || unsent() > much_unsent) {
                read_more(false);  // goes on in on_written()
                break;
            }
            resp::Message& message = acceptor_.message_;
            const resp::Parsed parsed = resp::parse(bytes.substr(taken), message);
            if (parsed == resp::Parsed::partial) {
                if (taken > 0 || half_since_ == Time{}) half_since_ = now;
                return taken;
            }
            half_since_ = {};
            const bool command = parsed == resp::Parsed::whole && message.array;
            if (!command) {  // what follows cannot be told apart any more
                reply("-ERR protocol error\r\n");
                last_ = true;
                finish_if_last();
                return bytes.size();
            }
            taken += message.size;
            on_command(message);
        }
        return taken;
    }

    void on_command(const resp::Message& message) {
        if (message.items.empty()) return;
        for (const resp::Item& item : message.items) {
            if (item.type != resp::Type::bulk) return reply("-ERR commands are arrays of bulk strings\r\n");
        }
        const std::string_view verb = message.items.front().text;
        if (verb == "Q.ASK" || verb == "Q.DO") return on_call(message);
        if (verb == "PING") return reply(acceptor_.says_yes_ ? "+PONG\r\n" : "-ERR draining\r\n");
        if (verb == "CLIENT" || verb == "SELECT") return reply("+OK\r\n");
        reply("-ERR unknown command\r\n");
    }

    void on_call(const resp::Message& message) {
        core::Call call;
        if (const char* error = resp::read_call(message, acceptor_.names_, loop().now(), call)) {
            return reply("-ERR " + std::string(error) + "\r\n");
        }
        asked = true;
        used = loop().now();
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
            entries_.push_back({{}, std::move(text), true});
        }
    }

    void drop_first() {
        do {
            entries_.pop_front();
            ++first_;
            if (entries_.empty() || !entries_.front().done) break;
            to_write().append(entries_.front().reply);
        } while (true);
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

    void on_written() override {
        note_unsent();
        if (entries_.size() < most_pipelined) {
            read_more(true);
            take_rest();
        }
        go_if_idle();
    }
    // The client has gone away: nobody waits for its calls.
    void on_end(int) override { withdraw_all(); }
    void on_released() override {
        note_unsent();
        acceptor_.clients_.remove(self);
    }

    Acceptor& acceptor_;
    std::deque<Entry> entries_;  // commands without an answer, in their order
    std::uint64_t first_ = 0;    // number of the first of them
    std::size_t noted_unsent_ = 0;
    Time half_since_{};     // when the command that is not whole yet began
    bool passing_ = false;  // to another process
    bool last_ = false;     // no command is read any more
};

Acceptor::Acceptor(Loop& loop, core::Gateway& gateway, const topazcrank::Settings& settings, Limits limits)
    : loop_(loop),
      gateway_(gateway),
      names_(settings),
      most_clients_(limits.clients),
      most_unsent_(limits.unsent),
      listener_(loop) {}
Acceptor::~Acceptor() = default;

int Acceptor::listen(const sockaddr_storage& address) {
    const int error = listener_.open(
        address, true, [this](uv_stream_t* listener, int status) { on_connection(listener, status); });
    if (error == 0) look_over();
    return error;
}

int Acceptor::start() {
    const int error =
        listener_.start([this](uv_stream_t* listener, int status) { on_connection(listener, status); });
    if (error == 0) look_over();
    return error;
}

void Acceptor::pass_on(Pass pass) {
    pass_ = std::move(pass);
    if (pass_) {
        listener_.pause();
        clients_.for_each([](Handle, Client& client) { client.go_if_idle(); });
    } else {
        listener_.resume();
        clients_.for_each([](Handle, Client& client) { client.stay(); });
    }
}

void Acceptor::take_in(uv_stream_t* from, bool asked) { on_connection(from, 0, asked); }

void Acceptor::on_connection(uv_stream_t* listener, int status, bool asked) {
    if (status < 0) return;  // out of descriptors: libuv has refused it
    const bool room = make_room();
    const Handle handle = clients_.add(loop_, *this);
    Client& client = *clients_.find(handle);
    client.self = handle;
    client.used = loop_.now();
    client.asked = asked;
    if (client.accept(listener) != 0 || !room) client.close();
}

// At the limit one that waits for nothing gives way: one that never asked, before the one idle longest, which
// comes again when it needs to.
bool Acceptor::make_room() {
    if (clients_.size() < most_clients_) return true;
    Client* least = nullptr;
    clients_.for_each([&](Handle, Client& client) {
        if (client.may_give_way() && (!least || client.claim() < least->claim())) least = &client;
    });
    if (least) least->close();
    return least != nullptr;
}

void Acceptor::look_over() {
    const Time now = loop_.now();
    const bool crowded = clients_.size() > most_clients_ / 2;
    clients_.for_each([&](Handle, Client& client) { client.look_over(now, crowded); });
    look_over_ = loop_.arm(now + look_over_every, [this] { look_over(); });
}

void Acceptor::answer(const Ticket& ticket, const Answer& answer) {
    Client* client = clients_.find(Handle::unpacked(ticket.place));
    if (client && !client->closing()) client->answer(ticket.number, answer);
}

void Acceptor::stop_listening() { listener_.close(); }

void Acceptor::retire(bool on) {
    retiring_ = on;
    if (!on) return;
    clients_.for_each([](Handle, Client& client) { client.go_if_idle(); });
}

void Acceptor::close() {
    stop_listening();
    loop_.disarm(look_over_);
    clients_.for_each([](Handle, Client& client) {
        client.withdraw_all();
        client.close();
    });
}

}  // namespace linnetlead::net
