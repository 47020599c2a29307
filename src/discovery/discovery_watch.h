// Watches the registry: one HTTP connection to discovery, always with a call that waits for news. What is
// asked for and when, ListPollSchedule says. After a call that failed (silent, broken, moved, no list, given
// up) the whole list is asked for, without a wait; where that is refused, the changes from the version that
// is held. A call that was refused (429, 503) is made again as it was, in a part of what all gateways may
// ask. So a change binds 6 s after discovery had it and could be reached.
//
// Longest from a change to its being asked for by a call that is answered at once, while discovery is reached
// again as soon as the call at hand has failed. In seconds; the answer's own time, 1 at most, comes on top.
//
//   the call at hand                       asked for             pushed
//   falls silent                           3 + 1 + 0.08          1 + 0.25
//   drips its answer                       3 + 1 + 0.5 + 0.08    1 + 0.25 + 0.5
//   is reset, answered with nonsense       0.08                  0.08
//   breaks, again and again                1                     0.16
//   is refused, again and again            1 (18 gateways) to    0.16
//                                          4 (75 and more)
//   never comes up                         1 + 1                 0.25
//   falls silent again, without a wait     2 + 1                 0.25
//   whole list that drips                  2 + 2 + 1             0.25 + 2
//
// A long answer is read on a thread, and a long change told in slices, drains and what is gone first: of n
// endpoints in n / 256 slices, 32 at most, each 2 ms behind the one before.
//
// While discovery lets in fewer calls than all gateways make, this is no bound: see "Lists that are refused"
// in docs/measurements/acceptance.md.
#pragma once

#include <cstdint>
#include <string>

#include "discovery/list_poll_schedule.h"
#include "discovery/list_update_slicer.h"
#include "net/background.h"
#include "net/http/http_message.h"
#include "net/stream.h"
#include "proxy/request_manager.h"

namespace linnetlead::net {

class DiscoveryWatch {
public:
    using Pace = ListPollPace;
    // Where the list is pushed to an agent beside the gateway, asking costs nothing, and what the agent holds
    // counts as told however the watch stands; else every call costs the registry.
    static constexpr Pace kPushed{std::chrono::seconds(1), std::chrono::milliseconds(250),
                                  proxy::Duration{0},      std::chrono::milliseconds(160),
                                  proxy::Duration{0},      true};
    static constexpr Pace kAsked{std::chrono::seconds(3), std::chrono::seconds(1),
                                 std::chrono::milliseconds(80), std::chrono::seconds(1),
                                 std::chrono::seconds(4)};

    // Goes on from the version that is known; below 0: from none. gateways: that ask the same registry. The
    // seed spreads what is asked after breaks, so that they do not ask in step.
    DiscoveryWatch(Loop& loop, proxy::EndpointListPort& lists, std::string address,
                   std::int64_t known_version, std::uint64_t seed, const Pace& pace, int gateways = 1);
    ~DiscoveryWatch();
    // Returns false where the address is none.
    bool start();
    // Goes over to another address, and asks there for the whole list: its versions may be others.
    bool move(std::string address);
    void close();
    bool is_reading() const { return reading_.busy(); }  // a long answer that has come whole

private:
    class Connection;

    void hang_up();
    void connect();
    void connect_after(proxy::Duration pause);
    bool apply(http::List list);
    void tell_too_long();
    // A body too long for the loop, of an answer on this connection.
    void read_aside(proxy::Handle connection, std::string body);
    std::string request() const;

    Loop& loop_;
    Background reading_;
    ListUpdateSlicer slices_;
    std::string address_;
    sockaddr_storage to_{};
    const Pace pace_;
    ListPollSchedule calls_;
    proxy::SlotMap<Connection> connections_;
    proxy::Handle retry_;
    bool closed_ = false;
    bool told_too_long_ = false;  // since the last list that was taken
};

}  // namespace linnetlead::net
