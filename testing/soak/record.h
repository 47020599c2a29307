// What both ends of the gateways saw in one play: clients' requests and answers, endpoints' attempts, and
// the processes' lives. Apart from the program; the judge reads it when the play is over.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::test_support::soak {

using policy::Duration;
using policy::Timestamp;
using RequestId = std::uint64_t;
constexpr Timestamp kNever{};

struct Attempt {
    int endpoint = 0;
    Timestamp first_byte = kNever;
    Timestamp whole = kNever;
    Timestamp ended = kNever;         // answered, or its connection gone
    bool turned_away = false;         // by -BUSY: it never ran
    bool is_seen_late = false;        // the endpoint read it long after it came: its times say nothing
    Timestamp value_begun = kNever;   // a long one
    Timestamp value_broken = kNever;  // the endpoint closed amid it
};

enum class AnswerKind { kServed, kRefused, kFailed };

struct Answer {
    Timestamp at = kNever;
    AnswerKind kind{};
    bool wrong_value = false;
};

enum class ConnectionEnd { kOpen, kOrderly, kReset, kClosedByClient };

struct Request {
    RequestId id = 0;
    int gateway = 0;
    int traffic_class = 0;
    std::uint64_t tenant = 0;
    double units = 0;
    std::uint64_t connection = 0;
    bool is_first_on_connection = false;
    RequestId before = 0;        // on the same connection, whose answer comes first; 0: none was open
    Timestamp begun = kNever;    // its first piece was written
    Timestamp written = kNever;  // whole, to a connection that was accepted
    Timestamp due = kNever;
    Timestamp connection_ended = kNever;
    ConnectionEnd end = ConnectionEnd::kOpen;
    std::vector<Attempt> attempts;
    std::vector<Answer> answers;
};

struct ProcessLife {
    int gateway = 0;
    Timestamp started = kNever;
    Timestamp let_in = kNever;      // the first connection that was made to it
    Timestamp ready = kNever;       // its first good answer
    Timestamp terminated = kNever;  // SIGTERM
    Timestamp killed = kNever;      // SIGKILL
    Timestamp ended = kNever;
    bool is_second = false;  // beside an older process
    int exit_code = 0;       // -1: by a signal
    std::size_t most_descriptors = 0;
    std::size_t most_resident_kib = 0;
    std::string log;
};

// A client that stops amid a command and stays.
struct HalfWriter {
    int gateway = 0;
    Timestamp connected = kNever;
    Timestamp told = kNever;  // an error line, or its connection closed
};

struct DrainNews {
    int gateway = 0;
    int endpoint = 0;
    Timestamp told = kNever;  // written to a process of the gateway
};

struct Record {
    Timestamp ended = kNever;  // the play's last look
    std::map<RequestId, Request> requests;
    std::vector<ProcessLife> processes;
    std::vector<HalfWriter> half_writers;
    std::vector<DrainNews> drains;
    // Of each endpoint that was cold: the most requests in the window beyond what it may get then.
    std::map<int, double> most_beyond_cold_budget;
    std::vector<std::string> surplus;           // answers to nothing, in words
    std::map<int, std::string> left_in_flight;  // by gateway: what its metrics say at the end
    Duration longest_own_delay{};               // of the clients' and fakes' loop
    Duration longest_wait_for_processor{};      // of a gateway, within some 0.2 s
};

}  // namespace linnetlead::test_support::soak
