// Server for the client connections. Reads commands, hands requests to the request manager and writes the
// answers in the order of the commands. Created by the gateway process, which also drains it for a hot
// restart.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "net/listener.h"
#include "net/stream.h"
#include "proxy/request_manager.h"
#include "proxy/resp/command.h"

namespace linnetlead::net {

class DownstreamServer final : public proxy::DownstreamPort {
public:
    struct Limits {
        std::size_t clients = 512;  // connections
        // Bytes of answers, over all clients: of those that the kernel has not taken, and once more of those
        // that wait for the answers to earlier commands.
        std::size_t unsent = 32 * 1024 * 1024;
        proxy::Duration body = std::chrono::seconds(20);  // to receive a long body completely
        // Without any progress of a client whose answers wait to be read; then its connection is closed.
        proxy::Duration stall = std::chrono::seconds(15);
    };
    DownstreamServer(Loop& loop, proxy::RequestManager& gateway, const policy::Settings& settings,
                     Limits limits);
    ~DownstreamServer() override;

    // Returns libuv's error, or 0.
    int listen(const sockaddr_storage& address);
    int port() const { return listener_.port(); }
    void stop_listening();
    // Drains: closes idle connections, and the others after their answers. A request that arrives while
    // another is open on the connection is rejected; otherwise a client that always has one open would never
    // be closed. False: stops draining.
    void retire(bool on);
    // The last step of a drain: answers every open request and rejects all later ones at once. A value that
    // is being streamed continues.
    void answer_all() {
        rejects_all_ = true;
        gateway_.answer_all();
    }
    // The listening socket, for handing it to another process; null if not listening.
    uv_stream_t* listening() const { return listener_.stream(); }
    // Adopts the listening socket of another process. Connections are accepted here only after start().
    int adopt(uv_stream_t* from) { return listener_.adopt(from); }
    int start();
    // Passes a connection to another process and calls `sent` with the success. `asked`: the client has sent
    // a request before.
    using Pass = std::function<void(uv_stream_t* client, bool asked, std::function<void(bool)> sent)>;
    // Another process accepts connections from now on, and each connection is passed to it when it becomes
    // idle. A null `pass` ends this: connections are accepted here again.
    void pass_on(Pass pass);
    // Takes a connection that another process passed on.
    void take_in(uv_stream_t* from, bool asked);
    void limit_unsent(std::size_t bytes) { max_unsent_ = bytes; }
    // True: PING is answered with PONG. False: with an error, as while draining.
    void answer_pings(bool with_yes) { answers_pings_ = with_yes; }
    void close();
    bool empty() const { return clients_.size() == 0; }
    // Number of values that were replaced by an error for want of memory, since the start.
    std::uint64_t shed_answers() const { return shed_answers_; }
    // Bytes of answers that are not written yet, held back or refused by the kernel, over all clients.
    std::size_t pending_bytes() const { return unsent_ + held_back_; }
    // Number of client connections.
    std::size_t connections() const { return clients_.size(); }
    // Whether answers are still being written or streamed to clients.
    bool is_writing() const { return unsent_ > 0 || gateway_.counts().in_progress > 0; }

    void answer(const proxy::Ticket& ticket, const proxy::Answer& answer) override;
    void begin_value(const proxy::Ticket& ticket, std::size_t size, proxy::Duration max_delay) override;
    bool pass_value(const proxy::Ticket& ticket, std::string_view piece) override;

private:
    class Client;

    void on_connection(uv_stream_t* listener, int status);
    void end_deferral();
    template <typename Connect>
    void add_client(bool asked, bool room, Connect connect);
    bool make_room();
    void check_timeouts();
    void watch_unread(Client& client);
    void check_unread();

    Loop& loop_;
    proxy::RequestManager& gateway_;
    resp::Names names_;
    std::size_t max_clients_;
    std::size_t max_unsent_;
    proxy::Duration body_timeout_;
    proxy::Duration stall_timeout_;
    std::size_t unsent_ = 0;     // bytes of answers that the kernel has not taken, over all clients
    std::size_t held_back_ = 0;  // bytes of answers that wait for those to earlier commands, over all clients
    std::uint64_t shed_answers_ = 0;
    Listener listener_;
    proxy::Handle timeout_check_;
    proxy::Handle unread_check_;
    proxy::Handle deferred_accept_;      // timer of a connection whose accept waits for room
    proxy::Timestamp defer_until_{};     // deadline of the waiting accept; 0: there was room
    std::vector<proxy::Handle> unread_;  // clients whose reading is paused
    proxy::SlotMap<Client> clients_;
    resp::Message message_;  // of the command being read
    Pass pass_;
    bool retiring_ = false;
    bool rejects_all_ = false;
    bool answers_pings_ = true;
};

}  // namespace linnetlead::net
