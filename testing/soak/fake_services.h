// Discovery and the counter of the soak.
#pragma once

#include <string>
#include <vector>

#include "proxy/resp/parser.h"
#include "testing/fake_server.h"
#include "testing/service_models.h"
#include "testing/soak/record.h"
#include "testing/soak/scenario.h"

namespace linnetlead::test_support::soak {

struct ListedEndpoint {
    int number = 0;
    std::string address;
    Timestamp started = kNever;
    bool drains = false;
};

// The list as it is, for the agents of all gateways.
struct EndpointList {
    std::int64_t version = 1;
    std::vector<ListedEndpoint> endpoints;
    std::string json() const;
};

// The agent of one gateway, at two addresses, of which a new configuration may name the other.
class DiscoveryAgent {
public:
    DiscoveryAgent(net::Loop& loop, const EndpointList& list, int gateway, Record& record);
    ~DiscoveryAgent();
    void close();
    // The list or the mood has changed.
    void tell();
    // `which`: 0 or 1.
    std::string address(int which) const;
    DiscoveryMood mood = DiscoveryMood::kWell;

private:
    class Connection;
    void note_drains();

    net::Loop& loop_;
    const EndpointList& list_;
    const int gateway_;
    Record& record_;
    Server<Connection> first_, second_;
};

class FakeCounter {
public:
    explicit FakeCounter(net::Loop& loop);
    ~FakeCounter();
    void close();
    std::string address() const;
    CounterMood mood = CounterMood::kWell;

private:
    class Connection;
    CounterModel model_;
    resp::Message message_;
    Server<Connection> server_;
};

}  // namespace linnetlead::test_support::soak
