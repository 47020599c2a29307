// Requests that PreparedStatements holds back: a definition or a drop until the catalog with it is active, an
// execution until an endpoint can execute it and no change of the catalog is in progress.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "cluster/agreement/replicated_records.h"
#include "proxy/ports.h"

namespace linnetlead::statements {

struct ParkedRequest {
    enum class Awaits { kDefinition, kDrop, kExecution };
    Awaits awaits = Awaits::kExecution;
    std::string statement;         // the statement's name
    agreement::Stamp stamp;        // of the definition that the request stored
    policy::Timestamp deadline{};  // an execution that is still parked then is rejected
};

// The key is the request's packed handle.
using ParkedRequests = std::unordered_map<std::uint64_t, ParkedRequest>;
constexpr std::size_t kMaxParkedRequests = 1024;

}  // namespace linnetlead::statements
