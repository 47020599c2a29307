// The one form of errors: a code that callers may branch on, and a message for a person. Functions that can
// fail return Result<T> (or Status, where there is no value); none reports through an out-parameter or an
// empty string.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace linnetlead {

enum class ErrorCode {
    kInvalidArgument,     // malformed, out of range, or contradicting itself
    kNotFound,            // names something that does not exist
    kAlreadyExists,       // the same name or number stands for other content
    kFailedPrecondition,  // right in itself, but not in the present state
    kResourceExhausted,   // a stated bound would be passed
    kDataLoss,            // stored or received bytes fail their checksum or end early
    kUnavailable,         // not now; the same call may succeed later
    kIo,                  // the operating system said no
};

struct Error {
    ErrorCode code = ErrorCode::kInvalidArgument;
    std::string message;  // one line, without a full stop; may be shown to operators
};

template <typename Value>
using Result = tl::expected<Value, Error>;
using Status = Result<void>;

// `return fail(ErrorCode::kNotFound, "no such plan");`
inline tl::unexpected<Error> fail(ErrorCode code, std::string message) {
    return tl::unexpected<Error>(Error{code, std::move(message)});
}

}  // namespace linnetlead
