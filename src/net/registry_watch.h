// Watches the registry: one HTTP connection to discovery, always with a call that waits for news. After any
// call that brought no list (silent, refused, broken, moved, no list, given up) the whole list is asked for,
// without a wait, until it is here: a change binds 6 s after discovery had it and could be reached.
//
// Longest from a change to its being asked for by a call that is answered at once, while discovery is reached
// again as soon as the call at hand has failed. In seconds; the answer's own time, 1 at most, comes on top.
//
//   the call at hand                       asked for             pushed
//   falls silent                           3 + 1 + 0.08          1 + 0.25
//   drips its answer                       3 + 1 + 0.5 + 0.08    1 + 0.25 + 0.5
//   is reset, answered with nonsense, 5xx  0.08                  0.08
//   is refused, again and again            1                     0.16
//   never comes up                         1 + 1                 0.25
//   whole list that drips                  1 + 2 + 0.08          0.25 + 2
#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "core/gateway.h"
#include "http/message.h"
#include "stream.h"

namespace linnetlead::net {

class RegistryWatch {
public:
    struct Pace {
        core::Span wait;           // of a call, for news
        core::Span answer;         // any answer may take, beyond that
        core::Span after_silence;  // until the next call
        core::Span longest_pause;  // between calls that fail again and again
    };
    // Where the list is pushed to an agent beside the gateway, asking costs nothing, and what the agent holds
    // counts as told however the watch stands; else every call costs the registry.
    static constexpr Pace pushed{std::chrono::seconds(1), std::chrono::milliseconds(250), core::Span{0},
                                 std::chrono::milliseconds(160)};
    static constexpr Pace asked{std::chrono::seconds(3), std::chrono::seconds(1),
                                std::chrono::milliseconds(80), std::chrono::seconds(1)};

    // Goes on from the version that is known; below 0: from none.
    // The seed spreads what is asked after breaks, so that many gateways do not ask in step.
    RegistryWatch(Loop& loop, core::Lists& lists, std::string address, std::int64_t known_version,
                  std::uint64_t seed, const Pace& pace);
    ~RegistryWatch();
    // Returns false where the address is none.
    bool start();
    // Goes over to another address, and asks there for the whole list: its versions may be others.
    bool move(std::string address);
    void close();

private:
    class Connection;

    void hang_up();
    void connect();
    void connect_later();
    bool apply(int status, const std::string& body);
    std::string request() const;
    // A whole list is wanted, which is answered at once: nothing is known, or news may have been missed.
    bool wants_whole() const { return version_ < 0 || doubtful_; }

    Loop& loop_;
    core::Lists& lists_;
    std::string address_;
    sockaddr_storage to_{};
    std::int64_t version_;
    core::Slots<Connection> connections_;
    core::Handle retry_;
    Pace pace_;
    bool doubtful_;     // since the start, or the last call that brought no list
    int failures_ = 0;  // in a row
    std::mt19937_64 random_;
    bool closed_ = false;
};

}  // namespace linnetlead::net
