#include "testing/lightweight/surroundings.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "proxy/resp/command.h"
#include "proxy/resp/parser.h"
#include "testing/fake_server.h"

namespace linnetlead::test_support {

using nlohmann::json;
using proxy::Handle;

// ---- The list -------------------------------------------------------------------------------------------

void EndpointList::fill(std::size_t endpoints, int zones) {
    zones_ = std::max(zones, 1);
    states_.assign(endpoints, true);
    changes_.clear();
    since_.clear();
    ++version_;
}

void EndpointList::out(int zone, bool is_out) {
    std::vector<std::size_t> those;
    for (std::size_t i = static_cast<std::size_t>(zone); i < states_.size();
         i += static_cast<std::size_t>(zones_)) {
        if (states_[i] != is_out) continue;
        states_[i] = !is_out;
        those.push_back(i);
    }
    changed(std::move(those));
}

void EndpointList::out_one(std::size_t endpoint, bool is_out) {
    if (states_[endpoint] != is_out) return;
    states_[endpoint] = !is_out;
    changed({endpoint});
}

void EndpointList::changed(std::vector<std::size_t> endpoints) {
    ++version_;
    since_.clear();
    changes_.push_back({version_, std::move(endpoints)});
    if (changes_.size() > kMaxKept) changes_.pop_front();
}

std::string EndpointList::entry(std::size_t endpoint) const {
    char text[256];
    const std::uint16_t port = ports_.empty() ? std::uint16_t{9} : ports_[endpoint % ports_.size()];
    std::snprintf(text, sizeof(text),
                  "{\"id\":\"quoter-%06zu\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"dc-%zu\",\"kind\":\"std\","
                  "\"cell\":0,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":1000}",
                  endpoint, static_cast<unsigned>(port), endpoint % static_cast<std::size_t>(zones_) + 1,
                  states_[endpoint] ? "in_service" : "terminated");
    return text;
}

const std::string& EndpointList::whole() const {
    if (whole_of_ == version_) return whole_;
    whole_of_ = version_;
    whole_ = "{\"version\":" + std::to_string(version_) + ",\"full\":true,\"servers\":[";
    bool first = true;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        if (!states_[i]) continue;
        if (!std::exchange(first, false)) whole_ += ',';
        whole_ += entry(i);
    }
    whole_ += "]}";
    return whole_;
}

const std::string& EndpointList::since(std::int64_t version) const {
    const bool known = version == version_ ||
                       (!changes_.empty() && version >= changes_.front().version - 1 && version < version_);
    if (!known) return whole();
    std::string& text = since_[version];
    if (!text.empty()) return text;
    std::vector<std::size_t> those;
    for (const Changed& one : changes_) {
        if (one.version > version) those.insert(those.end(), one.endpoints.begin(), one.endpoints.end());
    }
    std::sort(those.begin(), those.end());
    those.erase(std::unique(those.begin(), those.end()), those.end());
    text = "{\"version\":" + std::to_string(version_) + ",\"full\":false,\"servers\":[";
    for (std::size_t i = 0; i < those.size(); ++i) text += (i > 0 ? "," : "") + entry(those[i]);
    text += "]}";
    return text;
}

// ---- The registry ---------------------------------------------------------------------------------------

class Surroundings::Registry {
public:
    class Connection final : public net::Stream {
    public:
        Connection(net::Loop& loop, Registry& all) : Stream(loop), all_(all) {}
        Handle self;
        void tell() {
            if (!asked_ || (index_ >= all_.list.version() && loop().now() < until_)) return;
            asked_ = false;
            loop().disarm(std::exchange(timer_, {}));
            const std::string& body = index_ < 0 ? all_.list.whole() : all_.list.since(index_);
            all_.body_bytes += body.size();
            to_write().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body);
        }

    private:
        std::size_t on_bytes(std::string_view bytes) override {
            const auto end = bytes.find("\r\n\r\n");
            if (end == std::string_view::npos) return 0;
            const std::string request(bytes.substr(0, end));
            const auto number = [&](const char* name) -> std::int64_t {
                const auto at = request.find(name);
                return at == std::string::npos
                           ? -1
                           : std::strtoll(request.c_str() + at + std::strlen(name), nullptr, 10);
            };
            ++all_.calls;
            if (all_.rejects) {
                to_write().append("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                return end + 4;
            }
            index_ = number("index=");
            all_.wholes += index_ < 0 ? 1 : 0;
            until_ = loop().now() + std::chrono::milliseconds(std::max<std::int64_t>(number("wait="), 0));
            asked_ = true;
            timer_ = loop().arm(until_, [this] { tell(); });
            tell();
            return end + 4;
        }
        void on_end(int) override {}
        void on_released() override {
            loop().disarm(timer_);
            all_.server.connections.remove(self);
        }
        Registry& all_;
        bool asked_ = false;
        std::int64_t index_ = -1;
        proxy::Timestamp until_{};
        Handle timer_;
    };
    Registry(net::Loop& loop, std::vector<std::uint16_t> ports)
        : list(std::move(ports)), server(loop, *this) {}
    void tell_all() {
        server.connections.for_each([](Handle, Connection& connection) { connection.tell(); });
    }
    EndpointList list;
    bool rejects = false;
    std::uint64_t calls = 0, wholes = 0, body_bytes = 0;
    Server<Connection> server;
};

// ---- The counter and the quoters ------------------------------------------------------------------------

namespace {

// Takes whole commands off the bytes; the rest comes again.
template <typename Act>
std::size_t each_command(std::string_view bytes, resp::Message& message, Act act) {
    std::size_t taken = 0;
    while (taken < bytes.size() && resp::parse(bytes.substr(taken), message) == resp::Parsed::kWhole) {
        taken += message.size;
        act(message);
    }
    return taken;
}

}  // namespace

class Surroundings::CounterService {
public:
    class Connection final : public net::Stream {
    public:
        Connection(net::Loop& loop, CounterService& all) : Stream(loop), all_(all) {}
        Handle self;

    private:
        std::size_t on_bytes(std::string_view bytes) override {
            return each_command(bytes, all_.message_, [&](const resp::Message& message) {
                if (message.items.size() != 4) return void(to_write().append("+PONG\r\n"));
                ++all_.calls;
                // The model is not asked: totals of many names that go by are not what is measured.
                resp::write_bulk(to_write(), message.items[2].text);
            });
        }
        void on_end(int) override {}
        void on_released() override { all_.server.connections.remove(self); }
        CounterService& all_;
    };
    explicit CounterService(net::Loop& loop) : server(loop, *this) {}
    std::uint64_t calls = 0;
    resp::Message message_;
    Server<Connection> server;
};

class Surroundings::FakeEndpoint {
public:
    class Connection final : public net::Stream {
    public:
        Connection(net::Loop& loop, FakeEndpoint& all) : Stream(loop), all_(all) {}
        Handle self;

    private:
        std::size_t on_bytes(std::string_view bytes) override {
            return each_command(bytes, all_.message_, [&](const resp::Message& message) {
                if (message.items.size() < 4) {
                    ++all_.others;
                    to_write().append(message.items[0].text == "INFO" ? "$18\r\ninflight=0,queue=0\r\n"
                                                                      : "+PONG\r\n");
                    return;
                }
                ++all_.calls;
                to_write().append("*3\r\n$16\r\n").append(message.items[2].text);
                to_write().append("\r\n$6\r\ncost=1\r\n$-1\r\n");
            });
        }
        void on_end(int) override {}
        void on_released() override { all_.server.connections.remove(self); }
        FakeEndpoint& all_;
    };
    explicit FakeEndpoint(net::Loop& loop) : server(loop, *this) {}
    std::uint64_t calls = 0, others = 0;
    resp::Message message_;
    Server<Connection> server;
};

Surroundings::Surroundings(net::Loop& loop, int quoters, std::vector<std::uint16_t> ports) : loop_(loop) {
    for (int i = 0; i < quoters; ++i) {
        quoters_.push_back(std::make_unique<FakeEndpoint>(loop));
        if (static_cast<int>(ports.size()) < quoters) ports.push_back(quoters_.back()->server.port);
    }
    registry_ = std::make_unique<Registry>(loop, std::move(ports));
    counter_ = std::make_unique<CounterService>(loop);
}

Surroundings::~Surroundings() = default;

void Surroundings::close() {
    registry_->server.close();
    counter_->server.close();
    for (auto& quoter : quoters_) quoter->server.close();
}

json Surroundings::carry(const std::string& line) {
    std::istringstream words(line);
    std::string what;
    words >> what;
    if (what == "figures") {
        json state = census_.figures();
        json ports = json::array();
        std::uint64_t calls = 0, others = 0;
        for (const auto& quoter : quoters_) {
            ports.push_back(quoter->server.port);
            calls += quoter->calls;
            others += quoter->others;
        }
        state["registry"] = {{"port", registry_->server.port},
                             {"calls", registry_->calls},
                             {"wholes", registry_->wholes},
                             {"body_bytes", registry_->body_bytes},
                             {"version", registry_->list.version()},
                             {"workers", registry_->list.size()},
                             {"connections", registry_->server.connections.size()}};
        state["counter"] = {{"port", counter_->server.port}, {"calls", counter_->calls}};
        state["quoters"] = {{"ports", ports}, {"calls", calls}, {"probes", others}};
        return state;
    }
    if (what == "fill") {
        std::size_t endpoints = 0;
        int zones = 1;
        if (!(words >> endpoints >> zones)) return {{"error", "fill WORKERS ZONES"}};
        registry_->list.fill(endpoints, zones);
        registry_->tell_all();
        return {{"version", registry_->list.version()}};
    }
    if (what == "zone") {
        int zone = 0;
        std::string state;
        if (!(words >> zone >> state)) return {{"error", "zone NUMBER in|out"}};
        registry_->list.out(zone, state == "out");
        registry_->tell_all();
        return {{"version", registry_->list.version()}};
    }
    if (what == "worker") {
        std::size_t endpoint = 0;
        std::string state;
        if (!(words >> endpoint >> state) || endpoint >= registry_->list.size())
            return {{"error", "worker NUMBER in|out"}};
        registry_->list.out_one(endpoint, state == "out");
        registry_->tell_all();
        return {{"version", registry_->list.version()}};
    }
    if (what == "refuse") {
        std::string state;
        words >> state;
        registry_->rejects = state == "on";
        return {{"refuses", registry_->rejects}};
    }
    return {{"error", "no such command: " + what}};
}

}  // namespace linnetlead::test_support
