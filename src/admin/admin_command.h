// The second address: reads one HTTP/1.1 call, names the command in it, and writes the answer. No I/O.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace linnetlead::admin {

constexpr std::size_t kMaxTarget = 2 * 1024;   // bytes
constexpr std::size_t kMaxHeaders = 8 * 1024;  // bytes, of all names and values
constexpr std::size_t kMaxBody = 16 * 1024;    // bytes; a body says nothing here and is dropped

enum class Verb { kReadyz, kMetrics, kAgreement, kSuspend, kResume, kDrain, kActivate };

struct Command {
    Verb verb = Verb::kReadyz;
    std::string endpoint;  // of suspend and resume
};

struct Reply {
    int status = 200;
    std::string text;   // its body, with an end of line
    std::string allow;  // of a 405: the method that the path takes
};

// Reads one call from pieces of a connection's bytes. Keeps its target at most.
class CallReader {
public:
    CallReader();
    CallReader(const CallReader&) = delete;
    CallReader& operator=(const CallReader&) = delete;

    enum class State { kPartial, kWhole, kRejected };
    // Not to be called again once it has told another state than partial.
    State take(std::string_view bytes);

    const Command& command() const { return command_; }    // of a whole call
    const Reply& rejection() const { return rejection_; }  // of a refused one: 400, 404, 405, 413 or 431

private:
    int reject(int status, std::string text, std::string allow = {});
    int name_command();

    http_parser parser_{};
    http_parser_settings hooks_{};
    std::string target_;
    std::size_t headers_ = 0, body_ = 0;
    bool whole_ = false;
    Command command_;
    Reply rejection_;
};

std::string write_reply(const Reply& reply);

}  // namespace linnetlead::admin
