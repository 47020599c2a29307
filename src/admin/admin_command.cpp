#include "admin/admin_command.h"

#include <array>
#include <optional>
#include <utility>

#include "config/setting_words.h"

namespace linnetlead::admin {

namespace {

struct Path {
    std::string_view before, after;  // with both, an endpoint's id stands between
    http_method method;
    Verb verb;
};
constexpr std::string_view kEndpoints = "/v1/quoters/";
constexpr std::array<Path, 7> kPaths{{{"/v1/readyz", {}, HTTP_GET, Verb::kReadyz},
                                      {"/v1/metrics", {}, HTTP_GET, Verb::kMetrics},
                                      {"/v1/accord", {}, HTTP_GET, Verb::kAgreement},
                                      {kEndpoints, "/suspend", HTTP_PUT, Verb::kSuspend},
                                      {kEndpoints, "/resume", HTTP_PUT, Verb::kResume},
                                      {"/v1/gateway/drain", {}, HTTP_PUT, Verb::kDrain},
                                      {"/v1/gateway/activate", {}, HTTP_PUT, Verb::kActivate}}};

// The id between, still encoded; nothing where the path is another.
std::optional<std::string_view> match(const Path& path, std::string_view target) {
    if (path.after.empty()) return target == path.before ? std::optional(std::string_view()) : std::nullopt;
    if (target.size() <= path.before.size() + path.after.size()) return std::nullopt;
    if (target.substr(0, path.before.size()) != path.before) return std::nullopt;
    target.remove_prefix(path.before.size());
    if (target.substr(target.size() - path.after.size()) != path.after) return std::nullopt;
    target.remove_suffix(path.after.size());
    return target.find('/') == std::string_view::npos ? std::optional(target) : std::nullopt;
}

std::optional<std::string> decode(std::string_view text) {
    std::string made;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            made += text[i];
            continue;
        }
        constexpr int kHex = 16;
        const auto byte = text.size() - i > 2 ? config::parse<unsigned char>(text.substr(i + 1, 2), kHex)
                                              : std::optional<unsigned char>();
        if (!byte) return std::nullopt;
        made += static_cast<char>(*byte);
        i += 2;
    }
    return made;
}

const char* reason_of(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 409:
            return "Conflict";
        case 413:
            return "Content Too Large";
        case 431:
            return "Request Header Fields Too Large";
        default:
            return "Service Unavailable";
    }
}

CallReader& of(const http_parser* parser) { return *static_cast<CallReader*>(parser->data); }

}  // namespace

CallReader::CallReader() {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    http_parser_settings_init(&hooks_);
    hooks_.on_url = [](http_parser* p, const char* data, std::size_t size) {
        CallReader& self = of(p);
        if (self.target_.size() + size > kMaxTarget) return self.reject(431, "the target is too long");
        self.target_.append(data, size);
        return 0;
    };
    hooks_.on_header_field = hooks_.on_header_value = [](http_parser* p, const char*, std::size_t size) {
        CallReader& self = of(p);
        self.headers_ += size;
        return self.headers_ > kMaxHeaders ? self.reject(431, "the headers are too long") : 0;
    };
    hooks_.on_headers_complete = [](http_parser* p) {
        CallReader& self = of(p);
        const bool sized = (p->flags & F_CONTENTLENGTH) != 0;
        if (sized && p->content_length > kMaxBody) return self.reject(413, "the body is too long");
        return self.name_command();
    };
    hooks_.on_body = [](http_parser* p, const char*, std::size_t size) {
        CallReader& self = of(p);
        self.body_ += size;
        return self.body_ > kMaxBody ? self.reject(413, "the body is too long") : 0;
    };
    hooks_.on_message_complete = [](http_parser* p) {
        of(p).whole_ = true;
        http_parser_pause(p, 1);  // one call to a connection
        return 0;
    };
}

int CallReader::reject(int status, std::string text, std::string allow) {
    rejection_ = {status, std::move(text) + "\n", std::move(allow)};
    return -1;
}

int CallReader::name_command() {
    http_parser_url url;
    http_parser_url_init(&url);
    const bool connects = parser_.method == HTTP_CONNECT;
    if (http_parser_parse_url(target_.data(), target_.size(), connects, &url) != 0) {
        return reject(400, "the target cannot be read");
    }
    const auto& part = url.field_data[UF_PATH];
    const std::string_view path = std::string_view(target_).substr(part.off, part.len);
    for (const Path& one : kPaths) {
        const auto id = match(one, path);
        if (!id) continue;
        if (parser_.method != static_cast<unsigned>(one.method)) {
            const char* const wanted = http_method_str(one.method);
            return reject(405, std::string("this path takes ") + wanted, wanted);
        }
        auto endpoint = decode(*id);
        if (!endpoint) return reject(400, "the id is wrongly percent-encoded");
        command_ = {one.verb, std::move(*endpoint)};
        return 0;
    }
    return reject(404, "no such path");
}

CallReader::State CallReader::take(std::string_view bytes) {
    http_parser_execute(&parser_, &hooks_, bytes.data(), bytes.size());
    if (whole_) return State::kWhole;
    if (HTTP_PARSER_ERRNO(&parser_) == HPE_OK && parser_.upgrade == 0) return State::kPartial;
    if (rejection_.text.empty()) {
        // http-parser's own bound on a head is wider than ours, and told as such.
        const bool long_head = HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW;
        reject(long_head ? 431 : 400, long_head ? "the headers are too long" : "this is no HTTP call");
    }
    return State::kRejected;
}

std::string write_reply(const Reply& reply) {
    std::string out =
        "HTTP/1.1 " + std::to_string(reply.status) + ' ' + reason_of(reply.status) +
        "\r\nContent-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\nConnection: close\r\n";
    if (!reply.allow.empty()) out += "Allow: " + reply.allow + "\r\n";
    return out + "Content-Length: " + std::to_string(reply.text.size()) + "\r\n\r\n" + reply.text;
}

}  // namespace linnetlead::admin
