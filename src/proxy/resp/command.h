// Translates the platform's commands and replies between RESP messages and the types of the request manager.
// Used by the downstream server, the upstream pool and the one-shot client.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "config/settings.h"
#include "proxy/request_manager.h"
#include "proxy/resp/parser.h"

namespace linnetlead::resp {

// Whether the text of an error line starts with `word`.
bool is_word(std::string_view text, std::string_view word);

// Traffic class and plan names from the settings, and the valid ranges of numbers.
class Names {
public:
    explicit Names(const policy::Settings& settings);

    struct Class {
        int number = 0;
        policy::Idempotency idempotency = policy::Idempotency::kNonIdempotent;
    };
    std::optional<Class> find_class(std::string_view name) const;
    std::optional<int> find_plan(std::string_view name) const;

    static constexpr double kMinUnits = 1e-3;
    const double max_units;
    const int gateways;

private:
    std::unordered_map<std::string, Class> classes_;
    std::unordered_map<std::string, int> plans_;
};

// Parses Q.ASK or Q.DO into a request whose deadline is relative to `now`. Returns the text of an error
// reply, or nullptr on success. The body of a message with a long body is not included.
const char* read_request(const Message& message, const Names& names, proxy::Timestamp now,
                         proxy::DownstreamRequest& result);

// Writes the command for an endpoint, with the time that the gateway will wait. Returns the part that is
// still to be written: the rest of a body that is longer than `max_body`, as a slice of the payload.
std::string_view write_request(std::string& out, const proxy::Payload& payload, proxy::Duration wait,
                               std::size_t max_body = kMaxBulk);

// The body of a command in a payload; empty: it has none.
std::string_view body_of(const proxy::Payload& payload);
// Copies the command with another body, which is `head` followed by `rest`.
proxy::Payload with_body(const proxy::Payload& payload, std::string_view head, std::string_view rest);
// Builds a complete command that the gateway itself sends to an endpoint.
std::string write_own_call(std::string_view verb, std::uint64_t id, std::string_view pairs,
                           std::string_view body);

// Parses an endpoint's complete reply. Unreadable fields in its usage or its load report are ignored.
proxy::AttemptEnd read_reply(const Message& message);

// Parses a field that follows the value of a reply. `place` 0: the usage; 1: the load report.
void read_reply_field(std::string_view text, int place, proxy::AttemptEnd& end);

// Whether the part received so far can be the start of an endpoint's reply.
bool may_become_reply(const Message& message);

policy::LoadReport read_report(std::string_view text);

}  // namespace linnetlead::resp
