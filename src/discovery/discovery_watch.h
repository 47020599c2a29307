// Watches the endpoint list of the discovery service over one HTTP connection; a long-poll request is always
// outstanding. The gateway program owns the watch and passes it the port that receives the endpoint lists.
// ListPollSchedule decides what is requested and when. After a failed request (timeout, lost connection, new
// address, invalid list, abandoned request) the watch requests the complete list, without a wait for changes;
// if that is rejected, it requests the changes since the version it has. A rejected request (429, 503) is
// repeated unchanged, within this gateway's part of the retry budget of all gateways. A change takes effect
// at most 6 s after discovery has it and can be reached.
//
// The table gives the longest time from a change until it is requested by a request that is answered at once,
// if discovery can be reached again as soon as the current request has failed. Times are in seconds; the time
// of the answer itself, at most 1 s, is added.
//
//   current request                        polled                pushed
//   times out                              3 + 1 + 0.08          1 + 0.25
//   answer arrives too slowly              3 + 1 + 0.5 + 0.08    1 + 0.25 + 0.5
//   reset, or invalid answer               0.08                  0.08
//   connection lost repeatedly             1                     0.16
//   rejected repeatedly                    1 (18 gateways) to    0.16
//                                          4 (75 and more)
//   connection is never established        1 + 1                 0.25
//   times out again, without a wait        2 + 1                 0.25
//   complete list arrives too slowly       2 + 2 + 1             0.25 + 2
//
// A long answer is parsed on a thread. A long change is passed on in slices, draining and removed endpoints
// first: n endpoints in n / 256 slices, at most 32, 2 ms apart.
//
// These bounds do not hold while discovery admits fewer requests than all gateways send: see "Lists that are
// refused" in docs/measurements/acceptance.md.
#pragma once

#include <cstdint>
#include <optional>
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
    // For a list that is pushed to an agent next to the gateway: requests cost the registry nothing. The
    // agent counts its list as delivered regardless of the watch, so the complete list is requested at the
    // start.
    static constexpr Pace kPushed{std::chrono::seconds(1), std::chrono::milliseconds(250),
                                  proxy::Duration{0},      std::chrono::milliseconds(160),
                                  proxy::Duration{0},      true};
    // For a list that is polled from the shared registry, where every request costs the registry.
    static constexpr Pace kAsked{std::chrono::seconds(3), std::chrono::seconds(1),
                                 std::chrono::milliseconds(80), std::chrono::seconds(1),
                                 std::chrono::seconds(4)};

    // Continues from `known_version`; a negative value means that no list is known. `gateways` is the number
    // of gateways that poll the same registry. The seed varies the pauses after lost connections, so that the
    // gateways do not reconnect in step.
    DiscoveryWatch(Loop& loop, proxy::EndpointListPort& lists, std::string address,
                   std::int64_t known_version, std::uint64_t seed, const Pace& pace, int gateways = 1);
    ~DiscoveryWatch();
    // Returns false if the address is invalid.
    bool start();
    // Switches to another address and requests the complete list there, since its versions may differ.
    bool move(std::string address);
    void close();
    const std::string& address() const { return address_; }
    // Of the last list or changes from this address; none: nothing has come from it yet.
    std::optional<std::int64_t> reported_version() const { return reported_version_; }
    bool is_reading() const { return parsing_.busy(); }  // a long, complete answer is being parsed

private:
    class Connection;

    void close_connections();
    void connect();
    void connect_after(proxy::Duration pause);
    bool apply(http::List list);
    void report_oversized_answer();
    // Parses a body that is too long for the loop on a thread; `connection` received it.
    void parse_on_thread(proxy::Handle connection, std::string body);
    std::string format_request() const;

    Loop& loop_;
    Background parsing_;
    ListUpdateSlicer slicer_;
    std::string address_;
    sockaddr_storage socket_address_{};
    const Pace pace_;
    ListPollSchedule schedule_;
    proxy::SlotMap<Connection> connections_;
    proxy::Handle retry_;
    std::optional<std::int64_t> reported_version_;
    bool closed_ = false;
    bool oversize_reported_ = false;  // since the last accepted list
};

}  // namespace linnetlead::net
