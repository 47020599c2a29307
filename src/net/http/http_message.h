// Discovery's messages: HTTP requests to write, responses to read, and the list in them.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "proxy/ports.h"

namespace linnetlead::http {

constexpr std::size_t kMaxBody = 4 * 1024 * 1024;

std::string write_get(std::string_view target, std::string_view host);

// Reads one response after another from pieces of a connection's bytes.
class ResponseReader {
public:
    explicit ResponseReader(std::size_t most = kMaxBody);
    ResponseReader(const ResponseReader&) = delete;
    ResponseReader& operator=(const ResponseReader&) = delete;

    enum class State { kPartial, kWhole, kMalformed };
    // Takes bytes up to the end of a response at most; says how many.
    State take(std::string_view bytes, std::size_t& taken);

    int status() const { return status_; }
    bool keeps_open() const { return keeps_open_; }
    const std::string& body() const { return body_; }
    std::string take_body() { return std::move(body_); }
    // From now on; names in lower case.
    void keep_headers() { keep_headers_ = true; }
    const std::unordered_map<std::string, std::string>& headers() const { return headers_; }
    // Pieces of a body that has no end in sight go here, and are not kept; none: they are.
    void each_piece(std::function<void(std::string_view)> piece) { piece_ = std::move(piece); }

private:
    static constexpr std::size_t kMaxHeaders = 64;
    http_parser parser_{};
    http_parser_settings hooks_{};
    std::size_t most_;
    std::function<void(std::string_view)> piece_;
    std::unordered_map<std::string, std::string> headers_;
    std::string header_;  // the name being read
    bool keep_headers_ = false, in_value_ = false;
    std::string body_;
    int status_ = 0;
    bool keeps_open_ = false;
    bool whole_ = false;
};

struct List {
    std::int64_t version = 0;
    bool full = false;
    std::vector<proxy::DiscoveredEndpoint> entries;
};

// Nothing where the text is no list.
std::optional<List> read_list(std::string_view json);
std::string write_list(const List& list);

}  // namespace linnetlead::http
