#include "net/http/http_message.h"

#include <nlohmann/json.hpp>

namespace linnetlead::http {

std::string write_get(std::string_view target, std::string_view host) {
    std::string text("GET ");
    text.append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n\r\n");
    return text;
}

ResponseReader::ResponseReader(std::size_t most) : most_(most) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    http_parser_settings_init(&hooks_);
    hooks_.on_message_begin = [](http_parser* p) {
        auto& self = *static_cast<ResponseReader*>(p->data);
        self.body_.clear();
        self.headers_.clear();
        self.whole_ = false;
        self.status_ = 0;
        self.in_value_ = true;
        return 0;
    };
    hooks_.on_header_field = [](http_parser* p, const char* data, std::size_t size) {
        auto& self = *static_cast<ResponseReader*>(p->data);
        if (std::exchange(self.in_value_, false)) self.header_.clear();
        for (const char c : std::string_view(data, size)) {
            self.header_ += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        return 0;
    };
    hooks_.on_header_value = [](http_parser* p, const char* data, std::size_t size) {
        auto& self = *static_cast<ResponseReader*>(p->data);
        self.in_value_ = true;
        if (!self.keep_headers_ || self.headers_.size() >= kMaxHeaders) return 0;
        self.headers_[self.header_].append(data, size);
        return 0;
    };
    hooks_.on_headers_complete = [](http_parser* p) {
        static_cast<ResponseReader*>(p->data)->status_ = static_cast<int>(p->status_code);
        return 0;
    };
    hooks_.on_body = [](http_parser* p, const char* data, std::size_t size) {
        auto& self = *static_cast<ResponseReader*>(p->data);
        if (self.piece_) {
            self.piece_({data, size});
            return 0;
        }
        if (self.body_.size() + size > self.most_) return 1;
        self.body_.append(data, size);
        return 0;
    };
    hooks_.on_message_complete = [](http_parser* p) {
        auto& self = *static_cast<ResponseReader*>(p->data);
        self.whole_ = true;
        self.status_ = static_cast<int>(p->status_code);
        self.keeps_open_ = http_should_keep_alive(p) != 0;
        http_parser_pause(p, 1);  // one response at a time
        return 0;
    };
}

ResponseReader::State ResponseReader::take(std::string_view bytes, std::size_t& taken) {
    if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) http_parser_pause(&parser_, 0);
    whole_ = false;
    taken = http_parser_execute(&parser_, &hooks_, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (whole_ && error == HPE_PAUSED) return State::kWhole;
    return error == HPE_OK ? State::kPartial : State::kMalformed;
}

std::string write_list(const List& list) {
    using nlohmann::json;
    using policy::EndpointState;
    json servers = json::array();
    for (const proxy::DiscoveredEndpoint& one : list.entries) {
        const policy::EndpointInfo& entry = one.entry;
        const char* const state = entry.state == EndpointState::kInService ? "in_service"
                                  : entry.state == EndpointState::kRemoved ? "terminated"
                                                                           : "terminating";
        servers.push_back({{"id", entry.id},
                           {"addr", one.address},
                           {"zone", entry.zone},
                           {"kind", entry.kind},
                           {"cell", entry.cell},
                           {"weight", entry.weight},
                           {"started_ms", entry.started / std::chrono::milliseconds(1)},
                           {"state", state}});
    }
    const json root{{"version", list.version}, {"full", list.full}, {"servers", std::move(servers)}};
    return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<List> read_list(std::string_view text) {
    using nlohmann::json;
    const json root = json::parse(text, nullptr, false);
    if (!root.is_object()) return std::nullopt;
    try {
        List list;
        list.version = root.at("version").get<std::int64_t>();
        list.full = root.value("full", false);
        for (const json& one : root.at("servers")) {
            proxy::DiscoveredEndpoint listed;
            policy::EndpointInfo& entry = listed.entry;
            entry.id = one.at("id").get<std::string>();
            listed.address = one.value("addr", std::string());
            entry.zone = one.value("zone", std::string());
            entry.kind = one.value("kind", std::string());
            entry.cell = one.value("cell", 0);
            entry.weight = one.value("weight", 1.0);
            entry.started = std::chrono::milliseconds(one.value("started_ms", std::int64_t{0}));
            const std::string state = one.value("state", std::string("in_service"));
            using policy::EndpointState;
            if (state == "in_service") {
                entry.state = EndpointState::kInService;
            } else {
                entry.state = state == "terminated" ? EndpointState::kRemoved : EndpointState::kDraining;
            }
            list.entries.push_back(std::move(listed));
        }
        return list;
    } catch (const json::exception&) {
        return std::nullopt;  // a value of the wrong kind
    }
}

}  // namespace linnetlead::http
