#include "testing/fake_registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "testing/fake_server.h"

namespace linnetlead::test_support {

using namespace std::chrono_literals;
using discovery::Response;
using nlohmann::json;

void KvStore::put(const std::string& key, const std::string& value) {
    entries_[key] = {value, ++revision_};
    events_.push_back({revision_, key, value});
}

void KvStore::remove(const std::string& key) {
    if (entries_.erase(key) == 0) return;
    events_.push_back({++revision_, key, std::nullopt});
}

void KvStore::reset() {
    ++cluster_;
    entries_.clear();
    events_.clear();
    revision_ = 1;
    compacted_ = 0;
}

std::string endpoint_value(const std::string& address, const std::string& state, const std::string& kind,
                           std::int64_t started_ms) {
    return json{
        {"addr", address}, {"state", state}, {"kind", kind}, {"zone", "dc-1"}, {"started_ms", started_ms}}
        .dump();
}

void KvSession::request(Timestamp now, const std::string& target, const std::string& body) {
    target_ = target;
    body_ = body;
    open_ = true;
    streams_ = created_ = false;
    ready_.clear();
    if (protocol_ == KvProtocol::kEtcd) {
        streams_ = target == "/v3/watch";
        if (!streams_) return;
        const json asked = json::parse(body).at("create_request");
        next_revision_ = std::stoll(asked.at("start_revision").get<std::string>());
        return;
    }
    const auto number = [&](const char* name) -> std::int64_t {
        const auto at = target.find(std::string(name) + '=');
        return at == std::string::npos ? 0 : std::atoll(target.c_str() + at + std::strlen(name) + 1);
    };
    index_ = number("index");
    until_ = now + std::chrono::milliseconds(number("wait"));
}

std::optional<Response> KvSession::answer(Timestamp now) {
    if (!open_) return std::nullopt;
    if (protocol_ == KvProtocol::kConsul) {
        // An index that is ahead of the store's is answered at once.
        if (index_ > 0 && store_.revision() == index_ && now < until_) return std::nullopt;
        open_ = false;
        return list_consul();
    }
    if (!streams_) {
        open_ = false;
        return list_etcd();
    }
    const json header{{"cluster_id", std::to_string(store_.cluster())},
                      {"revision", std::to_string(store_.revision())}};
    if (!created_) {
        created_ = true;
        return message(json{{"header", header}, {"created", true}}.dump());
    }
    if (!ready_.empty()) {
        Response next = message(std::move(ready_.front()));
        ready_.pop_front();
        return next;
    }
    if (next_revision_ <= store_.compacted()) {
        open_ = false;
        return message(json{
            {"header", header}, {"canceled", true}, {"compact_revision", std::to_string(store_.compacted())}}
                           .dump());
    }
    json events = json::array();
    const auto ready = [&](bool more) {
        json result{{"header", header}, {"events", std::exchange(events, json::array())}};
        if (more) result["fragment"] = true;
        ready_.push_back(result.dump());
    };
    const auto& all = store_.events();
    auto at = std::lower_bound(
        all.begin(), all.end(), next_revision_,
        [](const KvStore::Event& event, std::int64_t wanted) { return event.revision < wanted; });
    for (; at != all.end(); ++at) {
        if (events.size() >= fragment) ready(true);
        json kv{{"key", discovery::to_base64(at->key)}, {"mod_revision", std::to_string(at->revision)}};
        if (at->value) kv["value"] = discovery::to_base64(*at->value);
        json event{{"kv", kv}};
        if (!at->value) event["type"] = "DELETE";
        events.push_back(event);
        next_revision_ = at->revision + 1;
    }
    if (events.empty()) return std::nullopt;
    ready(false);
    Response next = message(std::move(ready_.front()));
    ready_.pop_front();
    return next;
}

Response KvSession::message(std::string result) const {
    return {200, {}, "{\"result\":" + std::move(result) + "}"};
}

Response KvSession::list_consul() const {
    const auto from = target_.find("/v1/kv/") + 7;
    const std::string prefix = target_.substr(from, target_.find('?') - from);
    json all = json::array();
    for (auto at = store_.entries().lower_bound(prefix); at != store_.entries().end(); ++at) {
        if (at->first.compare(0, prefix.size(), prefix) != 0) break;
        all.push_back({{"Key", at->first},
                       {"Value", discovery::to_base64(at->second.value)},
                       {"ModifyIndex", at->second.changed}});
    }
    Response response{all.empty() ? 404 : 200, {}, all.empty() ? "" : all.dump()};
    response.headers["x-consul-index"] = std::to_string(store_.revision());
    return response;
}

Response KvSession::list_etcd() {
    const json asked = json::parse(body_);
    std::string key, end;
    discovery::from_base64(asked.at("key").get<std::string>(), key);
    discovery::from_base64(asked.at("range_end").get<std::string>(), end);
    const std::int64_t as_of = std::stoll(asked.value("revision", std::string("0")));
    const auto limit = static_cast<std::size_t>(std::stoll(asked.value("limit", std::string("0"))));
    if (as_of > 0 && as_of < store_.compacted()) {
        return {400, {}, json{{"code", 11}, {"error", "required revision has been compacted"}}.dump()};
    }
    // As of that revision: what came since is taken back.
    std::map<std::string, KvStore::Entry> entries = store_.entries();
    if (as_of > 0 && as_of != store_.revision()) {
        entries.clear();
        for (const KvStore::Event& event : store_.events()) {
            if (event.revision > as_of) break;
            if (event.value) {
                entries[event.key] = {*event.value, event.revision};
            } else {
                entries.erase(event.key);
            }
        }
    }
    json answer{{"header",
                 {{"cluster_id", std::to_string(store_.cluster())},
                  {"revision", std::to_string(store_.revision())}}}};
    json kvs = json::array();
    for (auto at = entries.lower_bound(key); at != entries.end() && at->first < end; ++at) {
        if (limit > 0 && kvs.size() >= limit) {
            answer["more"] = true;
            break;
        }
        kvs.push_back({{"key", discovery::to_base64(at->first)},
                       {"value", discovery::to_base64(at->second.value)},
                       {"mod_revision", std::to_string(at->second.changed)}});
    }
    if (!kvs.empty()) answer["kvs"] = std::move(kvs);
    return {200, {}, answer.dump()};
}

// ---- On sockets -----------------------------------------------------------------------------------------

class KvServer::Connection final : public net::Stream {
public:
    Connection(net::Loop& loop, KvServer& server)
        : Stream(loop), server_(server), session_(server.store_, server.protocol_) {
        session_.fragment = 100;
    }
    proxy::Handle self;
    void go_on() {
        const Mood mood = server_.mood;
        if (closing() || !asked_ || mood == Mood::kSilent) return;
        if (mood == Mood::kRefusing) return close();
        if (mood == Mood::kRubbish) {
            to_write().append("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Consul-Index: 7\r\n\r\n{\"a\": [}}");
            asked_ = false;
            return;
        }
        if (mood == Mood::kError) {
            to_write().append("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
            asked_ = false;
            return;
        }
        if (mood == Mood::kEndless) {
            to_write().append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n" +
                              std::string(0x4000, ' ') + "\r\n");
            asked_ = false;
            return;
        }
        while (const auto said = session_.answer(loop().now())) {
            std::string& out = to_write();
            if (!std::exchange(head_sent_, true)) {
                out.append("HTTP/1.1 ").append(std::to_string(said->status)).append(" Said\r\n");
                for (const auto& [name, value] : said->headers) {
                    out.append(name).append(": ").append(value).append("\r\n");
                }
                out.append("Transfer-Encoding: chunked\r\n\r\n");
            }
            const std::string body = said->body + '\n';
            char size[20];
            std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
            if (mood == Mood::kCut) {
                out.append(size).append(body.substr(0, body.size() / 2));
                return finish();
            }
            out.append(size).append(body).append("\r\n");
            if (session_.streams()) continue;
            out.append("0\r\n\r\n");
            asked_ = head_sent_ = false;
            return;
        }
        if (!session_.streams()) {
            loop().disarm(timer_);
            timer_ = loop().arm(loop().now() + 100ms, [this] { go_on(); });
        }
    }

private:
    std::size_t on_bytes(std::string_view bytes) override {
        got_.append(bytes);
        const auto end = got_.find("\r\n\r\n");
        if (end == std::string::npos) return bytes.size();
        const auto length = got_.find("Content-Length: ");
        const std::size_t size =
            length < end ? static_cast<std::size_t>(std::atoll(got_.c_str() + length + 16)) : 0;
        if (got_.size() < end + 4 + size) return bytes.size();
        const auto space = got_.find(' ');
        const std::string target = got_.substr(space + 1, got_.find(' ', space + 1) - space - 1);
        const std::string body = got_.substr(end + 4, size);
        got_.clear();
        asked_ = true;
        head_sent_ = false;
        ++server_.requests;
        session_.request(loop().now(), target, body);
        go_on();
        return bytes.size();
    }
    void on_end(int) override {}
    void on_released() override;
    KvServer& server_;
    KvSession session_;
    std::string got_;
    proxy::Handle timer_;
    bool asked_ = false, head_sent_ = false;
};

struct KvServer::Parts {
    Parts(net::Loop& loop, KvServer& owner) : server(loop, owner) {}
    Server<Connection> server;
};

void KvServer::Connection::on_released() {
    loop().disarm(timer_);
    server_.parts_->server.connections.remove(self);
}

KvServer::KvServer(net::Loop& loop, KvStore& store, KvProtocol protocol)
    : store_(store), protocol_(protocol), parts_(std::make_unique<Parts>(loop, *this)) {}
KvServer::~KvServer() = default;
std::string KvServer::address() const { return "127.0.0.1:" + std::to_string(parts_->server.port); }
void KvServer::tell() {
    parts_->server.connections.for_each([](proxy::Handle, Connection& connection) { connection.go_on(); });
}
void KvServer::break_all() {
    parts_->server.connections.for_each([](proxy::Handle, Connection& connection) { connection.close(); });
}
void KvServer::close() { parts_->server.close(); }

}  // namespace linnetlead::test_support
