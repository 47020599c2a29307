// Prepared statements ("forms" on the wire): texts that are defined once under a name, prepared on endpoints,
// and executed by name with parameters. Each is prepared against versions of schemas. This module parses and
// writes the first lines of bodies, and encodes definitions and the catalog that the gateways agree on.
// Formats: other gateways, clients and endpoints read them. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/agreement/replicated_records.h"

namespace linnetlead::statements {

constexpr std::size_t kMaxStatements = 256;
constexpr std::size_t kMaxSchemas = 8;  // of one statement
constexpr std::size_t kMaxNameBytes = 40;

using Schemas = std::map<std::string, std::uint64_t>;  // version by name

// The first line of a request's body, one of:
//     form NAME                        its parameters follow
//     form NAME define SCHEMA ...      its text follows
//     form NAME drop
struct RequestHead {
    enum class Kind { kNone, kExecute, kDefine, kDrop, kMalformed };
    Kind kind = Kind::kNone;
    std::string name;
    std::vector<std::string> schemas;
    std::string_view rest;  // the body after the line; refers to the caller's buffer
};
// kNone if the body is no such request.
RequestHead parse_head(std::string_view body);

struct Statement {
    std::string name;
    agreement::Stamp stamp;  // of the definition's record
    std::vector<std::string> schemas;
    std::string text;           // empty if the definition has not arrived
    std::uint64_t edition = 0;  // a hash of the fields above
};
std::uint64_t edition_of(const Statement& statement);
// Identifies what an endpoint has to have prepared: the edition against these schema versions.
std::uint64_t preparation_key(const Statement& statement, const Schemas& active);
// Writes a body's first line for an endpoint: "form NAME EDITION SCHEMA@VERSION ..." to execute the
// statement, "prepare ..." to prepare it.
enum class EndpointCommand { kExecute, kPrepare };
std::string write_head(EndpointCommand command, const Statement& statement, const Schemas& active);

// A definition is a record of the config agreement with the key "form/NAME".
constexpr const char* kDefinitionPrefix = "form/";
std::string definition_key(const std::string& name);
std::string encode_definition(const std::vector<std::string>& schemas, std::string_view text);
std::optional<Statement> decode_definition(const agreement::Record& record);

// The catalog is a value of the config agreement: names in order, with the stamps of their definitions.
std::string encode_catalog(const std::vector<Statement>& statements);
std::optional<std::vector<Statement>> decode_catalog(const std::string& value);

// An endpoint's error for a statement that it has not executed, so that the request may go to another
// endpoint: "ERR form NAME EDITION" if it has not prepared the statement, "ERR schema NAME VERSION" with the
// schema version that it has.
struct EndpointRejection {
    std::string schema;  // empty: the statement is not prepared
    std::uint64_t version = 0;
};
// None for any other error.
std::optional<EndpointRejection> parse_rejection(std::string_view error);

}  // namespace linnetlead::statements
