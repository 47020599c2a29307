// What tests on real sockets share: the parts of a gateway in the test's own thread, and the program.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "proxy/counter_client.h"
#include "proxy/downstream_server.h"
#include "proxy/resp/parser.h"
#include "proxy/upstream_pool.h"
#include "testing/socket_peer.h"

namespace linnetlead::tests {

using namespace std::chrono_literals;
using policy::EndpointListKind;
using proxy::DiscoveredEndpoint;
using test_support::connect_to;
using test_support::Listener;
using test_support::SocketPeer;

constexpr auto kPatience = 10s;  // how long a test waits for what must come

inline config::Site site() {
    config::Site site;
    site.conn_idle = 30s;
    site.connect_timeout = 250ms;
    policy::Settings& s = site.settings;
    s.classes.resize(3);
    const char* names[] = {"read", "create", "hold"};
    for (std::size_t i = 0; i < 3; ++i) {
        s.classes[i].name = names[i];
        s.classes[i].idempotency = static_cast<policy::Idempotency>(i);
        s.classes[i].latency_objective = 1s;
        s.classes[i].deadline = 3s;
        s.classes[i].key_window = 2s;
        s.classes[i].late_priority_weight = 0.2;
    }
    s.plans.resize(1);
    s.plans[0].name = "team";
    s.plans[0].rate = 1000;
    s.plans[0].burst = 2000;
    s.counter_timeout = 50ms;
    s.max_units = 4;
    s.max_attempts = 4;
    s.may_probe = s.may_cancel = true;
    return site;
}

inline DiscoveredEndpoint listed(const std::string& id, const std::string& address,
                                 policy::EndpointState state = policy::EndpointState::kInService) {
    DiscoveredEndpoint one;
    one.entry.id = id;
    one.entry.state = state;
    one.address = address;
    return one;
}

inline std::string call(const std::string& traffic_class, int d_ms = 3000, const std::string& body = {}) {
    static unsigned long long next_id = 0;
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx", ++next_id);
    std::string out;
    resp::write_array(out, body.empty() ? 4 : 5);
    resp::write_bulk(out, traffic_class == "read" ? "Q.ASK" : "Q.DO");
    resp::write_bulk(out, "00000000b4d65521");
    resp::write_bulk(out, id);
    resp::write_bulk(
        out, "c=" + traffic_class + ",t=team,d=" + std::to_string(d_ms) + ",units=1,spread=1,first=0");
    if (!body.empty()) resp::write_bulk(out, body);
    return out;
}

inline std::string served(const std::string& value) {
    std::string out = "*3\r\n";
    resp::write_bulk(out, value);
    return out + "$-1\r\n$-1\r\n";
}

struct Rig {
    explicit Rig(config::Site with = site(), std::size_t max_clients = 64, proxy::Duration stall = 15s)
        : gateway(with, 7, {256, 1 << 22}, loop),
          pool(loop, gateway, {64, with.connect_timeout, with.conn_idle}),
          counter(loop, gateway, counting.at, with.settings.counter_timeout),
          acceptor(loop, gateway, with.settings, {max_clients, 1 << 22, 20s, stall}) {
        std::signal(SIGPIPE, SIG_IGN);  // as the program does
        gateway.attach(pool, counter);
        sockaddr_storage any{};
        net::read_address("127.0.0.1:0", any);
        EXPECT_EQ(acceptor.listen(any), 0);
    }
    ~Rig() {
        acceptor.close();
        pool.close();
        counter.close();
        loop.drain();
    }
    SocketPeer client() { return connect_to(static_cast<std::uint16_t>(acceptor.port())); }
    template <typename Condition>
    bool until(Condition condition) {
        const auto end = std::chrono::steady_clock::now() + kPatience;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) return false;
            loop.turn();
            usleep(200);
        }
        return true;
    }
    void answer_hold(SocketPeer& endpoint, const std::string& answer) {
        ASSERT_TRUE(until([&] { return endpoint.has("c=hold"); }));
        endpoint.got.clear();
        endpoint.write(answer);
    }
    std::unique_ptr<SocketPeer> accepted(Listener& listener) {
        std::unique_ptr<SocketPeer> peer;
        EXPECT_TRUE(until([&] { return (peer = listener.accept()) != nullptr; }));
        return peer;
    }

    Listener counting;
    net::Loop loop;
    proxy::RequestManager gateway;
    net::UpstreamPool pool;
    net::CounterClient counter;
    net::DownstreamServer acceptor;
};

struct Program : test_support::Process {
    explicit Program(const std::string& config, std::vector<std::string> arguments = {})
        : Process(LINNETLEAD_PROGRAM, config, std::move(arguments)) {}
    SocketPeer client() { return connect_to(listening()); }
};

inline std::string config_of(const Listener& discovery, const Listener& counter,
                             const std::string& endpoint) {
    return R"({"listen":"127.0.0.1:0","discovery":")" + discovery.address() + R"(","counter":")" +
           counter.address() + R"(","known":{"version":1,"full":true,"servers":[{"id":"w","addr":")" +
           endpoint +
           R"("}]},"settings":{"classes":[{"name":"read","idempotency":"retryable","aim":8000000000,
           "deadline":8000000000}],"tariffs":[{"name":"team","units_per_s":100,"most_at_once":100}],
           "limits":{"connect_timeout":250000000,"conn_idle":30000000000,"max_attempts":3}}})";
}

template <typename Condition>
bool wait_for(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!condition() && std::chrono::steady_clock::now() < end) usleep(2000);
    return condition();
}

}  // namespace linnetlead::tests
