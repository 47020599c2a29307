// Discovery's messages: HTTP requests to write, responses to read, and the list in them.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ports.h"

namespace linnetlead::http {

constexpr std::size_t most_body = 4 * 1024 * 1024;

std::string write_get(std::string_view target, std::string_view host);

// Reads one response after another from pieces of a connection's bytes.
class ResponseReader {
public:
    ResponseReader();

    enum class State { partial, whole, malformed };
    // Takes bytes up to the end of a response at most; says how many.
    State take(std::string_view bytes, std::size_t& taken);

    int status() const { return status_; }
    bool keeps_open() const { return keeps_open_; }
    const std::string& body() const { return body_; }

private:
    http_parser parser_{};
    http_parser_settings hooks_{};
    std::string body_;
    int status_ = 0;
    bool keeps_open_ = false;
    bool whole_ = false;
};

struct List {
    std::int64_t version = 0;
    bool full = false;
    std::vector<core::Listed> entries;
};

// Nothing where the text is no list.
std::optional<List> read_list(std::string_view json);

}  // namespace linnetlead::http
