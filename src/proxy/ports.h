// What the core needs of the world around it. It knows no protocol and no socket.
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

// The command as the front took it, for the endpoint side to send on. The core only carries it.
struct Payload {
    std::string bytes;
    std::array<std::uint32_t, 3> marks{};  // for whoever reads the bytes
};

// One entry of the registry: what the module sees of an endpoint, and where it listens.
struct DiscoveredEndpoint {
    policy::EndpointInfo entry;
    std::string address;
};

// Where a front wants the final answer of a call.
struct Ticket {
    std::uint64_t place = 0;
    std::uint64_t number = 0;
};

enum class Verdict { kServed, kRejected, kFailed };

struct Answer {
    Verdict verdict = Verdict::kFailed;
    std::string_view value;  // of a served call; valid only while it is handed over
    Duration retry_after{};  // of a refused one; 0: no advice
    bool passed = false;     // its long value was passed on in pieces: all of it if served, else cut short
};

// A front hands calls to the core and gets exactly one answer for each that it has not withdrawn.
class DownstreamPort {
public:
    virtual ~DownstreamPort() = default;
    virtual void answer(const Ticket& ticket, const Answer& answer) = 0;
    // A long value begins, and comes in pieces; answer() follows. False: no more of it, until
    // RequestManager::go_on().
    virtual void begin_value(const Ticket& ticket, std::size_t size) = 0;
    virtual bool pass_value(const Ticket& ticket, std::string_view piece) = 0;
};

// The gateway's time is Unix time read once, carried on by the monotonic clock.
class Timers {
public:
    virtual ~Timers() = default;
    virtual Timestamp now() const = 0;
    virtual Handle arm(Timestamp at, std::function<void()> action) = 0;
    virtual void disarm(Handle timer) = 0;
};

// Where the registry's news goes.
class EndpointListPort {
public:
    virtual ~EndpointListPort() = default;
    virtual void listed(policy::EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) = 0;
};

class UpstreamPort {
public:
    virtual ~UpstreamPort() = default;
    struct Limits {
        Timestamp until{};  // for the answer
        Timestamp write_by{
            Timestamp::max()};  // for the call's last byte: past it, the endpoint may not see it any more
    };
    // Ends in exactly one RequestManager::attempt_ended, also when given up. Returns the attempt's handle.
    virtual Handle start(Handle call, const EndpointId& endpoint, const Payload& payload,
                         const Limits& limits) = 0;
    virtual void give_up(Handle attempt) = 0;
    // Nobody waits for the call any more: its attempt ends unless an endpoint may be at it, for nothing that
    // has not left by now is to leave. So does one whose value is on its way to the client.
    virtual void client_gone(Handle attempt) = 0;
    // Whether the attempt's last byte has not been written: no endpoint can have run it.
    virtual bool is_unsent(Handle attempt) = 0;
    // The front takes more of the attempt's long value.
    virtual void go_on(Handle attempt) = 0;
    virtual void probe(const EndpointId& endpoint) = 0;
    // The list as it is now. What is not on it, or drains, is sent nothing more.
    virtual void told(const std::vector<DiscoveredEndpoint>& entries, bool whole) = 0;
};

class CounterPort {
public:
    virtual ~CounterPort() = default;
    // Ends in exactly one RequestManager::counted; calls of one name in their order.
    virtual void add(const std::string& name, double amount, Duration life) = 0;
};

// Which plan an account's calls are under, and what it has used. Where there is none, calls are under the
// plan that they name.
class AccountingPort {
public:
    virtual ~AccountingPort() = default;
    // A call just taken: sets the plan that its account is under.
    virtual void taken(Timestamp now, Handle call, policy::Request& request) = 0;
    // It has been routed: charges it to a balance where there is one, and sets the plan and the tenant that
    // the module knows it by then.
    virtual void charge(Timestamp now, Handle call, policy::Request& request) = 0;
    // Its first attempt is about to go out.
    virtual void sending(Handle call, double units) = 0;
    // It was first sent on: the first of its attempts that reached an endpoint whole has ended.
    virtual void sent_on(Timestamp now, Handle call, double units) = 0;
    // Its first good answer told the true units.
    virtual void settled(Handle call, double difference) = 0;
    // It is refused without having been sent anywhere.
    virtual void rejected(Timestamp now, Handle call) = 0;
    // Nothing more comes of it.
    virtual void over(Handle call) = 0;
    // Of a count whose name is its own; false: it is not.
    virtual bool counted(Timestamp now, const std::string& name, policy::CounterStatus status,
                         double total) = 0;
};

// Which pools a call may go to, and what came of it. Where there is none, every call goes to all endpoints.
class RoutingPort {
public:
    virtual ~RoutingPort() = default;
    // Plans that the decision module has from now on, numbered behind those that it had.
    virtual void plans_added(const std::vector<policy::RatePlanSettings>& more) = 0;
    // Sets the pools of a call just taken. Returns a mark that goes with it.
    virtual std::uint32_t route(Timestamp now, policy::Request& request) = 0;
    // Sets the pools of the list's entries.
    virtual void listed(Timestamp now, policy::EndpointListKind kind,
                        std::vector<policy::EndpointInfo>& entries) = 0;
    // The first attempt of a call goes to an endpoint, and ends. Returns the mark that goes with its end.
    virtual std::uint32_t sent(Timestamp now, std::uint32_t mark, int traffic_class,
                               const EndpointId& endpoint) = 0;
    virtual void ended(std::uint32_t mark, int traffic_class, double units, policy::Outcome outcome,
                       Duration latency) = 0;
    // Any attempt has ended.
    virtual void tried(Timestamp now, const EndpointId& endpoint, int traffic_class, double units,
                       policy::Outcome outcome, Duration latency) = 0;
    // Of a count whose name is its own; false: it is not.
    virtual bool counted(Timestamp now, const std::string& name, policy::CounterStatus status,
                         double total) = 0;
};

// Calls whose bodies name a form that endpoints have prepared. Where there is none, bodies are passed on as
// they are.
class StatementPort {
public:
    enum class Ruling {
        kPass,  // no such call
        kForm,  // sending() is asked where it may go
        kHold,  // RequestManager::release() or answer_held() follows
        kReject,
        kFail,
    };
    virtual ~StatementPort() = default;
    // A call just taken, its pools set.
    virtual Ruling taken(Timestamp now, Handle call, policy::Request& request, const Payload& payload) = 0;
    // It is to go to an endpoint: what is sent there, or false where that cannot serve it now.
    virtual bool sending(Timestamp now, Handle call, const EndpointId& endpoint, const Payload& payload,
                         Payload& changed) = 0;
    // An endpoint's error answer: true where that says that it has not run the call.
    virtual bool moved_on(Timestamp now, Handle call, const EndpointId& endpoint, std::string_view error) = 0;
    // Nothing more comes of it.
    virtual void over(Handle call) = 0;
};

}  // namespace linnetlead::proxy
