// What hollow gateways talk to, in a process of its own: a registry with as many endpoints as wanted, a
// counter and quoters that answer at once.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/loop.h"
#include "testing/lightweight/traffic_census.h"

namespace linnetlead::test_support {

// Endpoints by number, spread evenly over the zones, with differences for whom knows a late version.
class EndpointList {
public:
    explicit EndpointList(std::vector<std::uint16_t> ports) : ports_(std::move(ports)) {}
    void fill(std::size_t endpoints, int zones);
    // All endpoints of a zone (endpoint I is of zone I modulo the zones) go at once, or come back.
    void out(int zone, bool is_out);
    void out_one(std::size_t endpoint, bool is_out);
    std::int64_t version() const { return version_; }
    std::size_t size() const { return states_.size(); }
    const std::string& whole() const;                      // as JSON
    const std::string& since(std::int64_t version) const;  // the changes, or the whole

private:
    static constexpr std::size_t kMaxKept = 64;  // versions
    struct Changed {
        std::int64_t version = 0;
        std::vector<std::size_t> endpoints;
    };
    std::string entry(std::size_t endpoint) const;
    void changed(std::vector<std::size_t> endpoints);

    std::vector<std::uint16_t> ports_;
    std::vector<bool> states_;  // in service
    int zones_ = 1;
    std::int64_t version_ = 1;
    std::deque<Changed> changes_;
    mutable std::int64_t whole_of_ = 0;
    mutable std::string whole_;
    mutable std::unordered_map<std::int64_t, std::string> since_;  // of the version as it is now
};

class Surroundings {
public:
    // Quoters listen here; what the list names are these, or other ports where some are given.
    Surroundings(net::Loop& loop, int quoters, std::vector<std::uint16_t> ports);
    ~Surroundings();
    // A command of a line: `figures`, `fill WORKERS ZONES`, `zone NUMBER in|out`,
    // `endpoint NUMBER in|out`, `refuse on|off`.
    nlohmann::json carry(const std::string& line);
    void close();

private:
    class Registry;
    class CounterService;
    class FakeEndpoint;
    net::Loop& loop_;
    TrafficCensus census_;
    std::vector<std::unique_ptr<FakeEndpoint>> quoters_;
    std::unique_ptr<Registry> registry_;
    std::unique_ptr<CounterService> counter_;
};

}  // namespace linnetlead::test_support
