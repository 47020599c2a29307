// Interfaces between the request manager and its surroundings: downstream server, upstream pool, timers,
// counter, accounting, routing and statements. None of them depends on a protocol or a socket.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "common/slot_map.h"
#include "linnetlead/policy.h"
#include "proxy/attempt_result.h"

namespace linnetlead::proxy {

using policy::Duration;
using policy::Timestamp;
using EndpointId = policy::EndpointId;

// The command as the downstream server received it, for the upstream pool to forward. The request manager
// does not read it.
struct Payload {
    std::string bytes;
    std::array<std::uint32_t, 3> marks{};  // offsets into `bytes`, for the protocol code
};

// One entry of the endpoint list: the endpoint's description for the decision module, and its address.
struct DiscoveredEndpoint {
    policy::EndpointInfo entry;
    std::string address;
};

// Identifies the request to the downstream server that waits for its answer.
struct Ticket {
    std::uint64_t place = 0;
    std::uint64_t number = 0;
};

enum class Verdict { kServed, kRejected, kFailed };

struct Answer {
    Verdict verdict = Verdict::kFailed;
    std::string_view value;  // of a served request; valid only during the function call
    Duration retry_after{};  // of a rejected request; 0: no advice
    bool passed = false;     // its long value was streamed: completely if served, otherwise truncated
};

// Receives the answers. Each request handed to the request manager gets exactly one answer unless it is
// withdrawn.
class DownstreamPort {
public:
    virtual ~DownstreamPort() = default;
    virtual void answer(const Ticket& ticket, const Answer& answer) = 0;
    // Streams a long value: begin_value(), then its pieces, then answer(). pass_value() returns false to
    // pause the stream until RequestManager::go_on(). `max_delay`: of the value's first byte, from the time
    // on when the answers before it are given.
    virtual void begin_value(const Ticket& ticket, std::size_t size, Duration max_delay) = 0;
    virtual bool pass_value(const Ticket& ticket, std::string_view piece) = 0;
};

// Clock and timers of the event loop. now() is the Unix time at start plus the monotonic time since then.
class Timers {
public:
    virtual ~Timers() = default;
    virtual Timestamp now() const = 0;
    virtual Handle arm(Timestamp at, std::function<void()> action) = 0;
    virtual void disarm(Handle timer) = 0;
};

// Receives updates of the endpoint list from discovery.
class EndpointListPort {
public:
    virtual ~EndpointListPort() = default;
    virtual void listed(policy::EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) = 0;
};

// Sends attempts and probes to endpoints.
class UpstreamPort {
public:
    virtual ~UpstreamPort() = default;
    struct Limits {
        // A reply has to have begun by then: one that is still arriving goes on, a long value without end and
        // any other until the request's deadline.
        Timestamp until{};
        Timestamp due{};  // the request's deadline
        Timestamp write_by{
            Timestamp::max()};  // deadline of the request's last byte: nothing is written after it
    };
    // Results in exactly one RequestManager::attempt_ended, also if cancelled. Returns the attempt's handle.
    virtual Handle start(Handle call, const EndpointId& endpoint, const Payload& payload,
                         const Limits& limits) = 0;
    virtual void give_up(Handle attempt) = 0;
    // The client no longer waits for the request. The attempt is cancelled unless an endpoint may already be
    // processing it: what is not written yet must not be written. An attempt that streams its value to the
    // client is cancelled too.
    virtual void client_gone(Handle attempt) = 0;
    // Whether the attempt's last byte has not been written, so that no endpoint can have run it.
    virtual bool is_unsent(Handle attempt) = 0;
    // Resumes the attempt's long value after a pause.
    virtual void go_on(Handle attempt) = 0;
    virtual void probe(const EndpointId& endpoint) = 0;
    // Updates the endpoint list; `whole`: `entries` is the complete list. An endpoint that is not listed or
    // drains gets no further requests.
    virtual void told(const std::vector<DiscoveredEndpoint>& entries, bool whole) = 0;
};

class CounterPort {
public:
    virtual ~CounterPort() = default;
    // Results in exactly one RequestManager::counted. Results for one name keep the order of the requests.
    virtual void add(const std::string& name, double amount, Duration life) = 0;
};

// Determines the plan of an account's requests and records the account's usage. Without this port, requests
// use the plan that they name.
class AccountingPort {
public:
    virtual ~AccountingPort() = default;
    // A request was received: sets the plan of its account.
    virtual void taken(Timestamp now, Handle call, policy::Request& request) = 0;
    // The request was routed: charges it to a balance if there is one, and then sets the plan and the tenant
    // under which the decision module sees it.
    virtual void charge(Timestamp now, Handle call, policy::Request& request) = 0;
    // The first attempt is about to be sent.
    virtual void sending(Handle call, double units) = 0;
    // The first attempt that reached an endpoint completely has ended.
    virtual void sent_on(Timestamp now, Handle call, double units) = 0;
    // The first successful reply reported the actual units; `difference` is actual minus estimated.
    virtual void settled(Handle call, double difference) = 0;
    // The request is rejected without any attempt.
    virtual void rejected(Timestamp now, Handle call) = 0;
    // The request is finished; its handle is not used again.
    virtual void over(Handle call) = 0;
    // Handles a counter's result. False: the counter belongs to another component.
    virtual bool counted(Timestamp now, const std::string& name, policy::CounterStatus status,
                         double total) = 0;
};

// Selects the pools that a request may go to and observes the results. Without this port, every request may
// go to all endpoints.
class RoutingPort {
public:
    virtual ~RoutingPort() = default;
    // Plans were added to the decision module; their numbers follow those of the existing plans.
    virtual void plans_added(const std::vector<policy::RatePlanSettings>& more) = 0;
    // Sets the pools of a received request. Returns a mark that sent() gets for the same request.
    virtual std::uint32_t route(Timestamp now, policy::Request& request) = 0;
    // Sets the pools of the list's entries.
    virtual void listed(Timestamp now, policy::EndpointListKind kind,
                        std::vector<policy::EndpointInfo>& entries) = 0;
    // The first attempt of a request is sent to an endpoint, and later ends. Returns the mark for ended().
    virtual std::uint32_t sent(Timestamp now, std::uint32_t mark, int traffic_class,
                               const EndpointId& endpoint) = 0;
    virtual void ended(std::uint32_t mark, int traffic_class, double units, policy::Outcome outcome,
                       Duration latency) = 0;
    // An attempt has ended; called for every attempt.
    virtual void tried(Timestamp now, const EndpointId& endpoint, int traffic_class, double units,
                       policy::Outcome outcome, Duration latency) = 0;
    // Handles a counter's result. False: the counter belongs to another component.
    virtual bool counted(Timestamp now, const std::string& name, policy::CounterStatus status,
                         double total) = 0;
};

// Handles requests whose bodies name a prepared statement. Without this port, bodies are forwarded unchanged.
class StatementPort {
public:
    enum class Ruling {
        kPass,  // names no statement
        kForm,  // sending() is called before each attempt
        kHold,  // RequestManager::release() or answer_held() follows
        kReject,
        kFail,
    };
    virtual ~StatementPort() = default;
    // A request was received and its pools are set.
    virtual Ruling taken(Timestamp now, Handle call, policy::Request& request, const Payload& payload) = 0;
    // An attempt is about to be sent: sets the payload for this endpoint. False: the endpoint cannot serve
    // the request now.
    virtual bool sending(Timestamp now, Handle call, const EndpointId& endpoint, const Payload& payload,
                         Payload& changed) = 0;
    // Handles an endpoint's error reply. True: the error says that the endpoint has not run the request.
    virtual bool moved_on(Timestamp now, Handle call, const EndpointId& endpoint, std::string_view error) = 0;
    // The request is finished; its handle is not used again.
    virtual void over(Handle call) = 0;
};

}  // namespace linnetlead::proxy
