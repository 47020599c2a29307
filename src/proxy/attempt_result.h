// Result of one attempt at an endpoint. Errors are values: they say how far the attempt had progressed.
// The upstream pool produces it; the request manager maps it to the policy's outcome.
#pragma once

#include <string_view>

#include "linnetlead/policy.h"

namespace linnetlead::proxy {

enum class Stage {
    kUnconnected,    // no byte has been written
    kPartlyWritten,  // the last byte is not written: the endpoint cannot have started the request
    kWritten,        // the kernel has accepted the last byte
    kAnswering,      // part of the reply has been received
};

enum class Ending {
    kServed,
    kError,       // the endpoint replied with an error
    kTurnedAway,  // the endpoint replied that it is overloaded
    kBroken,      // connection refused, reset or closed, or the bytes are not a valid reply
    kTimedOut,
    kGivenUp,  // cancelled by the decision module
};

struct AttemptEnd {
    Stage stage = Stage::kUnconnected;
    Ending ending = Ending::kBroken;
    std::string_view value;  // of a served request: a slice of the read buffer
    double actual_units = 0;
    policy::LoadReport report;
    std::string_view error{};  // of an error reply: its line, a slice of the read buffer
};

inline policy::Outcome outcome_of(const AttemptEnd& end) {
    using policy::Outcome;
    const bool begun = end.stage >= Stage::kWritten;
    switch (end.ending) {
        case Ending::kServed:
            return Outcome::kOk;
        case Ending::kError:
            return Outcome::kError;
        case Ending::kTurnedAway:
            return Outcome::kRejected;
        case Ending::kBroken:
            return begun ? Outcome::kReset : Outcome::kConnectFailed;
        case Ending::kTimedOut:
            return begun ? Outcome::kTimeout : Outcome::kConnectFailed;
        case Ending::kGivenUp:
            return begun ? Outcome::kCancelled : Outcome::kNotSent;
    }
    return Outcome::kReset;
}

}  // namespace linnetlead::proxy
