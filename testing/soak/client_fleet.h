// The clients of all gateways: requests at random instants on kept connections, pipelines, clients that leave
// or stop half way, and crowds. They go on using open connections whatever becomes of a gateway.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/stream.h"
#include "proxy/resp/parser.h"
#include "testing/soak/record.h"
#include "testing/soak/scenario.h"

namespace linnetlead::test_support::soak {

class ClientFleet {
public:
    // `ports`: of the gateways, by number.
    ClientFleet(net::Loop& loop, const Scenario& scenario, std::vector<std::uint16_t> ports, Record& record);
    ~ClientFleet();

    void start();
    void stop();
    void close();
    // Whether new connections come to a gateway; open ones stay in use.
    void let_in(int gateway, bool on) { front_[static_cast<std::size_t>(gateway)].lets_in = on; }
    void begin(const Crowd& crowd);
    void end_crowds();

private:
    class Connection;
    class Stopper;
    struct Front {
        std::uint16_t port = 0;
        bool lets_in = false;
        std::size_t connections = 0;
        std::vector<proxy::Handle> idle;
    };

    void next_request();
    void next_half_writer();
    void ask(int gateway);
    // An idle one or, if none is or `is_new`, a new one; null: the front lets nobody in.
    Connection* connection_to(int gateway, bool is_new);
    // One that waits for answers, and takes a command behind them; null: there is none.
    Connection* busy_connection_to(int gateway);
    Request& make_request(int gateway);
    std::string command_of(const Request& request) const;

    net::Loop& loop_;
    const Scenario& scenario_;
    Record& record_;
    std::mt19937_64 random_;
    std::vector<Front> front_;
    proxy::SlotMap<Connection> connections_;
    proxy::SlotMap<Stopper> stoppers_;
    resp::Message message_;
    RequestId next_id_;
    std::uint64_t next_connection_ = 0;
    proxy::Handle next_request_, next_half_writer_;
    bool asks_ = false;
};

}  // namespace linnetlead::test_support::soak
