#include "testing/soak/fake_services.h"

#include <algorithm>
#include <cstring>
#include <nlohmann/json.hpp>

#include "config/setting_words.h"

namespace linnetlead::test_support::soak {

using namespace std::chrono_literals;
using nlohmann::json;
using proxy::Handle;

namespace {

constexpr Duration kSlowBy = 700ms;

}  // namespace

std::string EndpointList::json() const {
    nlohmann::json servers = nlohmann::json::array();
    for (const ListedEndpoint& one : endpoints) {
        servers.push_back({{"id", "w" + std::to_string(one.number)},
                           {"addr", one.address},
                           {"zone", "dc-1"},
                           {"kind", "std"},
                           {"cell", 0},
                           {"state", one.drains ? "terminating" : "in_service"},
                           {"weight", 1.0},
                           {"started_ms", one.started / 1ms}});
    }
    return nlohmann::json{{"version", version}, {"full", true}, {"servers", servers}}.dump();
}

// ---- Discovery ------------------------------------------------------------------------------------------

class DiscoveryAgent::Connection final : public net::Stream {
public:
    Connection(net::Loop& loop, DiscoveryAgent& agent) : Stream(loop), agent_(agent) {}
    Handle self;
    // Answers a call that waits, where there is something to say.
    void tell() {
        if (!asked_ || agent_.mood == DiscoveryMood::kSilent) return;
        const bool has_news = index_ < agent_.list_.version;
        if (!has_news && loop().now() < until_) return;
        asked_ = false;
        loop().disarm(timer_);
        if (has_news) agent_.note_drains();
        const std::string body =
            has_news
                ? agent_.list_.json()
                : json{{"version", agent_.list_.version}, {"full", false}, {"servers", json::array()}}.dump();
        answer("200 OK", body);
    }
    void cut() { close(); }

private:
    std::size_t on_bytes(std::string_view bytes) override {
        constexpr std::string_view kEnd = "\r\n\r\n";
        const auto end = bytes.find(kEnd);
        if (end == std::string_view::npos) return 0;
        const std::string head(bytes.substr(0, end));
        take(number_in(head, "index=", -1), std::chrono::milliseconds(number_in(head, "wait=", 0)));
        return end + kEnd.size();
    }
    static std::int64_t number_in(const std::string& head, const char* name, std::int64_t otherwise) {
        const auto at = head.find(name);
        return at == std::string::npos ? otherwise
                                       : std::strtoll(head.c_str() + at + std::strlen(name), nullptr, 10);
    }
    void take(std::int64_t index, Duration wait) {
        if (agent_.mood == DiscoveryMood::kCut) return close();
        if (agent_.mood == DiscoveryMood::kRefuses) return answer("503 Busy", "");
        index_ = index;
        until_ = loop().now() + wait;
        asked_ = true;
        const bool is_slow = agent_.mood == DiscoveryMood::kSlow;
        loop().disarm(timer_);
        timer_ = loop().arm(is_slow ? loop().now() + kSlowBy : until_, [this] { tell(); });
        if (!is_slow) tell();
    }
    void answer(const char* status, const std::string& body) {
        to_write().append("HTTP/1.1 " + std::string(status) +
                          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void on_end(int) override {}
    void on_released() override {
        loop().disarm(timer_);
        auto& connections = agent_.first_.connections.find(self) == this ? agent_.first_.connections
                                                                         : agent_.second_.connections;
        connections.remove(self);
    }

    DiscoveryAgent& agent_;
    bool asked_ = false;
    std::int64_t index_ = -1;
    Timestamp until_{};
    Handle timer_;
};

DiscoveryAgent::DiscoveryAgent(net::Loop& loop, const EndpointList& list, int gateway, Record& record)
    : loop_(loop),
      list_(list),
      gateway_(gateway),
      record_(record),
      first_(loop, *this),
      second_(loop, *this) {}

DiscoveryAgent::~DiscoveryAgent() = default;

std::string DiscoveryAgent::address(int which) const {
    return "127.0.0.1:" + std::to_string((which == 0 ? first_ : second_).port);
}

void DiscoveryAgent::close() {
    first_.close();
    second_.close();
}

void DiscoveryAgent::tell() {
    for (auto* server : {&first_, &second_}) {
        server->connections.for_each([this](Handle, Connection& connection) {
            if (connection.closing()) return;
            mood == DiscoveryMood::kCut ? connection.cut() : connection.tell();
        });
    }
}

void DiscoveryAgent::note_drains() {
    for (const ListedEndpoint& one : list_.endpoints) {
        if (!one.drains) continue;
        const bool is_known = std::any_of(
            record_.drains.begin(), record_.drains.end(),
            [&](const DrainNews& news) { return news.gateway == gateway_ && news.endpoint == one.number; });
        if (!is_known) record_.drains.push_back({gateway_, one.number, loop_.now()});
    }
}

// ---- The counter ----------------------------------------------------------------------------------------

class FakeCounter::Connection final : public net::Stream {
public:
    Connection(net::Loop& loop, FakeCounter& counter) : Stream(loop), counter_(counter) {}
    Handle self;

private:
    std::size_t on_bytes(std::string_view bytes) override {
        std::size_t taken = 0;
        while (taken < bytes.size() &&
               resp::parse(bytes.substr(taken), counter_.message_) == resp::Parsed::kWhole) {
            taken += counter_.message_.size;
            take(counter_.message_);
        }
        return taken;
    }
    void take(const resp::Message& message) {
        constexpr std::size_t kCallItems = 4;
        if (message.items.size() != kCallItems) return void(to_write().append("+PONG\r\n"));
        const auto amount = config::parse<double>(message.items[2].text);
        const auto life_ms = config::parse<std::int64_t>(message.items[3].text);
        if (!amount || !life_ms) return void(to_write().append("-ERR no such call\r\n"));
        const auto total = counter_.model_.tally(loop().now(), std::string(message.items[1].text), *amount,
                                                 std::chrono::milliseconds(*life_ms));
        if (counter_.mood == CounterMood::kSilent || !total) return;
        if (counter_.mood == CounterMood::kNonsense) return void(to_write().append("$4\r\nmany\r\n"));
        char text[48];
        std::snprintf(text, sizeof(text), "%.7g", *total);
        resp::write_bulk(to_write(), text);
    }
    void on_end(int) override {}
    void on_released() override { counter_.server_.connections.remove(self); }
    FakeCounter& counter_;
};

FakeCounter::FakeCounter(net::Loop& loop) : server_(loop, *this) {}
FakeCounter::~FakeCounter() = default;

void FakeCounter::close() { server_.close(); }

std::string FakeCounter::address() const { return "127.0.0.1:" + std::to_string(server_.port); }

}  // namespace linnetlead::test_support::soak
