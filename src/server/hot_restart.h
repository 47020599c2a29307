// Two processes of one gateway while one takes over from the other. The new one meets the old one over a Unix
// socket, is handed the listening socket and told what it must know, and says when it is ready. From then on
// the old one accepts nothing, and passes its clients' connections on as each waits for nothing. Bans, drains
// and news of the endpoint list pass between them as long as both live. Whatever fails, each goes on alone.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "admin/admin_command.h"
#include "admin/hot_restart/hot_restart_channel.h"
#include "admin/hot_restart/hot_restart_message.h"
#include "admin/maintenance_overrides.h"
#include "proxy/downstream_server.h"
#include "proxy/upstream_pool.h"
#include "server/drain.h"
#include "server/list_handover.h"

namespace linnetlead::server {

// Where two processes meet that listen at this address; empty: nowhere (no folder of their own, or a port
// that each is given anew). `folder`: $TMPDIR.
std::string meeting_place(const std::string& folder, const std::string& listen);

class HotRestart {
public:
    struct Parts {
        net::Loop& loop;
        proxy::RequestManager& gateway;
        net::DownstreamServer& acceptor;
        net::UpstreamPool& pool;
        admin::MaintenanceOverrides& suspensions;
        Drain& drain;
        ListHandover& lists;
        // Another process lives beside this one, or no longer: memory and sockets are for both.
        std::function<void(bool)> share;
    };
    // `place`: of meeting_place().
    HotRestart(Parts parts, std::string place, std::string listen);

    // At the start: takes over from a process that is there, turning the loop as long as messages come, for
    // some seconds at most. True: the acceptor has its listening socket.
    bool take_over();
    // This process accepts. It waits for a successor from now on.
    void ready();
    // What was done at this process's second address.
    void tell(const admin::Command& done);
    void close();

private:
    enum class Other { kOlder, kNewer };
    std::unique_ptr<net::HotRestartChannel>& link_to(Other other) {
        return other == Other::kOlder ? older_ : newer_;
    }
    void begin(Other other);
    void hand_over(uv_stream_t* listener);
    void share_requests();
    void send_list();
    void send_accounts();
    void send_news(const hot_restart::Message& news);
    bool takes_lists(Other other) const {
        return other == Other::kOlder ? older_takes_lists_ : newer_takes_lists_;
    }
    bool heard_list(Other from, const hot_restart::Message& message);
    bool heard(Other other, std::string_view line, uv_stream_t* from);
    bool heard_of_newer(const hot_restart::Message& message);
    bool heard_of_older(const hot_restart::Message& message, uv_stream_t* from);
    void over(Other other);
    void wait_for_newer();
    void share();
    void send(Other other, const hot_restart::Message& message);

    Parts parts_;
    std::string place_, listen_;
    net::HotRestartListener door_;
    // To the process that this one took over from, and to the one that takes over from this one.
    std::unique_ptr<net::HotRestartChannel> older_, newer_;
    bool older_takes_lists_ = false, newer_takes_lists_ = false;
    std::optional<ListParts> list_;   // that the newer one is being sent
    std::size_t messages_heard_ = 0;  // of both
    bool taken_ = false;              // from the older one: all of the state
    bool adopted_ = false;            // from the older one: the listening socket
    bool passed_ = false;             // the newer one accepts
};

}  // namespace linnetlead::server
