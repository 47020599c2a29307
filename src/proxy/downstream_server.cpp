#include "proxy/downstream_server.h"

#include <utility>

#include "proxy/downstream_client.h"

namespace linnetlead::net {

using proxy::Answer;
using proxy::Handle;
using proxy::Ticket;
using proxy::Timestamp;

namespace {

constexpr proxy::Duration kTimeoutCheckInterval = std::chrono::milliseconds(200);
// Interval at which paused connections with open requests are checked for their end: no attempt may start
// more than 0.1 s after the client has closed its connection.
constexpr proxy::Duration kUnreadCheckInterval = std::chrono::milliseconds(30);
// In a burst, new connections wait until earlier ones have been read and can be closed. A longer wait could
// make a request miss its deadline.
constexpr proxy::Duration kMaxAcceptDelay = std::chrono::milliseconds(100);
constexpr proxy::Duration kAcceptRetryDelay = std::chrono::milliseconds(4);
// 1/16 of the connection limit is kept free: while less is free, each new connection closes another one
// gracefully.
constexpr std::size_t kFreePart = 16;

}  // namespace

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
    const Timestamp now = loop_.now();
    if (status < 0) {  // out of descriptors, as a rule: libuv has refused it
        proxy::EventLog& events = gateway_.events();
        if (events.note(proxy::Event::kClientAcceptFailed, now))
            events.write(proxy::Event::kClientAcceptFailed, uv_strerror(status));
        return;
    }
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
    const bool is_connected = connect(client) == 0;
    if (is_connected && room) return;
    client.note(is_connected ? proxy::Event::kClientRefused : proxy::Event::kClientAcceptFailed);
    client.close();
}

// At the limit, closes the connection with the lowest eviction_rank(). Shortly below the limit, closes it
// gracefully, so that no request on its way is lost. False: there is no room.
bool DownstreamServer::make_room() {
    const bool full = clients_.size() >= max_clients_;
    if (clients_.size() < max_clients_ - max_clients_ / kFreePart) return true;
    const Timestamp now = loop_.now();
    Client* least = nullptr;
    std::optional<proxy::EvictionRank> least_rank;
    clients_.for_each([&](Handle, Client& client) {
        if (!full && client.finishing()) return;
        const auto rank = client.eviction_rank(now);
        if (!rank || (least && !(*rank < *least_rank)) || !client.is_settled()) return;
        least = &client;
        least_rank = rank;
    });
    if (least && full) least->note(proxy::Event::kClientEvicted);
    if (least) full ? least->close_at_once() : least->close_gracefully();
    return least || !full;
}

void DownstreamServer::watch_unread(Client& client) {
    if (std::exchange(client.end_is_watched, true)) return;
    unread_.push_back(client.self);
    if (unread_.size() > 1) return;
    unread_check_ = loop_.arm(loop_.now() + kUnreadCheckInterval, [this] { check_unread(); });
}

void DownstreamServer::check_unread() {
    for (const Handle handle : std::exchange(unread_, {})) {
        Client* const client = clients_.find(handle);
        if (!client) continue;
        client->end_is_watched = false;
        if (client->closing() || client->reads()) continue;
        const bool has_unread = !client->passes_value();
        if (!client->end_if_ended()) {
            watch_unread(*client);
        } else if (has_unread) {
            client->note(proxy::Event::kClientEndUnread);
        }
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

void DownstreamServer::begin_value(const Ticket& ticket, std::size_t size, proxy::Duration max_delay) {
    Client* client = clients_.find(Handle::unpacked(ticket.place));
    if (client && !client->closing()) client->begin_value(ticket.number, size, max_delay);
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
    clients_.for_each([](Handle, Client& client) { client.close_at_once(); });
}

}  // namespace linnetlead::net
