// The interface through which PreparedStatements reaches endpoints and requests and notifies its gateway. The
// gateway's server and the test workloads implement it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "proxy/ports.h"

namespace linnetlead::statements {

enum class StatementEventKind {
    kCatalogActive,  // another catalog became active
    kForgotten,      // an endpoint has lost a statement that it had prepared
};
// The event's name in the log.
const char* to_string(StatementEventKind kind);

struct StatementEvent {
    policy::Timestamp at{};
    StatementEventKind kind = StatementEventKind::kCatalogActive;
    std::string text;
};

class StatementGateway {
public:
    virtual ~StatementGateway() = default;
    // Sends a preparation to an endpoint. Calls PreparedStatements::on_prepared() with the result.
    virtual void prepare(const policy::EndpointId& endpoint, std::uint64_t preparation_key,
                         const std::string& body) = 0;
    // Resumes a parked request; StatementPort::sending() is called for it before it is sent.
    virtual void release(proxy::Handle request) = 0;
    // Answers a parked request.
    virtual void answer(proxy::Handle request, proxy::Verdict verdict, const std::string& value) = 0;
    // PreparedStatements::unready() has changed.
    virtual void on_unready_changed() = 0;
    virtual void on_event(const StatementEvent& event) = 0;
    // The body of a request, and a copy of the request whose body is `head` and `rest`.
    virtual std::string_view body_of(const proxy::Payload& payload) const = 0;
    virtual proxy::Payload with_body(const proxy::Payload& payload, std::string_view head,
                                     std::string_view rest) const = 0;
};

}  // namespace linnetlead::statements
