// The clients' side: takes their commands, hands the calls to the core, answers in the commands' order.
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
        std::size_t clients = 512;                        // connections
        std::size_t unsent = 32 * 1024 * 1024;            // bytes, to all clients
        proxy::Duration body = std::chrono::seconds(20);  // for a long body to come whole
    };
    DownstreamServer(Loop& loop, proxy::RequestManager& gateway, const policy::Settings& settings,
                     Limits limits);
    ~DownstreamServer() override;

    // Returns libuv's error, or 0.
    int listen(const sockaddr_storage& address);
    int port() const { return listener_.port(); }
    void stop_listening();
    // Ends the connections that wait for no answer, and the others once they have theirs; what comes behind
    // an open call is turned away, or a client that always has one would stay. False: no more.
    void retire(bool on);
    // Once retired, at the very end: every open request gets its answer, and what is read from now on is
    // turned away at once. A value that has begun to go out goes on.
    void answer_all() {
        ends_ = true;
        gateway_.answer_all();
    }
    // To hand over to another process; null: does not listen.
    uv_stream_t* listening() const { return listener_.stream(); }
    // The listening socket of another process, which accepts until start().
    int adopt(uv_stream_t* from) { return listener_.adopt(from); }
    int start();
    // Another process accepts from now on: connections that wait for nothing are passed on by this, as they
    // come to that; null: no longer, and this one accepts again.
    using Pass = std::function<void(uv_stream_t* client, bool asked, std::function<void(bool)> sent)>;
    void pass_on(Pass pass);
    // A connection that another process has passed on.
    void take_in(uv_stream_t* from, bool asked);
    void limit_unsent(std::size_t bytes) { max_unsent_ = bytes; }
    // What PING hears.
    void answer_pings(bool with_yes) { says_yes_ = with_yes; }
    void close();
    bool empty() const { return clients_.size() == 0; }
    // Whether clients are still taking answers that have begun to go out.
    bool is_writing() const { return unsent_ > 0 || gateway_.counts().in_progress > 0; }

    void answer(const proxy::Ticket& ticket, const proxy::Answer& answer) override;
    void begin_value(const proxy::Ticket& ticket, std::size_t size) override;
    bool pass_value(const proxy::Ticket& ticket, std::string_view piece) override;

private:
    class Client;

    void on_connection(uv_stream_t* listener, int status);
    void end_hold();
    template <typename Connect>
    void let_in(bool asked, bool room, Connect connect);
    bool make_room();
    void look_over();
    void watch_unread(proxy::Handle client);
    void look_at_unread();

    Loop& loop_;
    proxy::RequestManager& gateway_;
    resp::Names names_;
    std::size_t max_clients_;
    std::size_t max_unsent_;
    proxy::Duration body_within_;
    std::size_t unsent_ = 0;
    Listener listener_;
    proxy::Handle look_over_;
    proxy::Handle look_at_unread_;
    proxy::Handle hold_;                 // one that has come is not accepted until there is room, for a while
    proxy::Timestamp hold_until_{};      // of those that come now; 0: there was room
    std::vector<proxy::Handle> unread_;  // clients from which nothing is read for now
    proxy::SlotMap<Client> clients_;
    resp::Message message_;  // of the command being read
    Pass pass_;
    bool retiring_ = false;
    bool ends_ = false;
    bool says_yes_ = true;
};

}  // namespace linnetlead::net
