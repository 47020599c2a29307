// What a process's control costs it: bytes and segments of its TCP connections by where they go, as the
// kernel counts them, and its own processor time, memory and descriptors.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace linnetlead::test_support {

struct Flow {
    std::uint64_t bytes_sent = 0, bytes_received = 0, segments_sent = 0, segments_received = 0;
    std::uint64_t connections = 0;  // open now
    std::uint64_t opened = 0;       // seen since the start
};

// Looks at every socket of this process. What a connection carried between the last look and its end is not
// seen: look before what is to be counted, and behind it.
class TrafficCensus {
public:
    // Connections to this port of the loopback are this role's. A role may have several.
    void role_of(std::uint16_t port, const std::string& role) { roles_[port] = role; }
    void look();
    const std::map<std::string, Flow>& flows() const { return flows_; }  // by role, since the start
    // With processor time in s, resident memory in KiB, and descriptors.
    nlohmann::json figures();

private:
    struct Seen {
        std::uint64_t bytes_sent = 0, bytes_received = 0, segments_sent = 0, segments_received = 0;
    };
    std::map<std::uint16_t, std::string> roles_;
    std::map<std::uint64_t, Seen> seen_;  // by the kernel's cookie, of those open at the last look
    std::map<std::string, Flow> flows_;
    std::size_t descriptors_ = 0;
};

}  // namespace linnetlead::test_support
