// An endpoint of the soak on a port of its own: serves first come, first served, misbehaves in spells, and
// records each attempt that reaches it.
#pragma once

#include <random>
#include <set>
#include <string>

#include "proxy/resp/parser.h"
#include "testing/fake_server.h"
#include "testing/soak/record.h"
#include "testing/soak/scenario.h"
#include "testing/socket_peer.h"

namespace linnetlead::test_support::soak {

class FakeEndpoint {
public:
    // `started`: 0, long ago; it is warm.
    FakeEndpoint(net::Loop& loop, const Scenario& scenario, int number, Timestamp started, Record& record);
    ~FakeEndpoint();
    void close();

    int number() const { return number_; }
    Timestamp started() const { return started_; }
    std::string address() const;
    void set(EndpointMood mood);

private:
    class Connection;
    // Counts a request against what a cold endpoint may get.
    void note_arrival(Timestamp now);
    double warm_share(Timestamp now) const;
    // When one that arrives now is done.
    Timestamp done_at(Timestamp now);

    net::Loop& loop_;
    const Scenario& scenario_;
    const int number_;
    const Timestamp started_;
    Record& record_;
    std::mt19937_64 random_;
    std::multiset<Timestamp> free_at_;  // of each core
    std::multiset<Timestamp> recent_;   // arrivals within the cold rule's window
    resp::Message message_;
    EndpointMood mood_ = EndpointMood::kWell;
    Timestamp releases_until_{};  // connections made before may have waited
    Server<Connection> server_;
    std::vector<SocketPeer> fillers_;  // of the kernel's queue, while connections are to come up late
};

}  // namespace linnetlead::test_support::soak
