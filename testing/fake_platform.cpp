#include "testing/fake_platform.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "config/setting_words.h"
#include "metering/ledger_store.h"
#include "storage/checksummed_file.h"
#include "testing/fake_server.h"
#include "testing/site_settings.h"

namespace linnetlead::test_support {

using proxy::Handle;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr Duration kAnswerSlack = 66ms;  // behind a call's deadline
constexpr Duration kDrainWithin = 550ms;
constexpr Duration kLookEvery = 20ms;
constexpr Duration kTwoOutWithin = 20ms;

// Takes whole commands off the bytes; the rest comes again.
template <typename Act>
std::size_t each_message(std::string_view bytes, resp::Message& message, Act act) {
    std::size_t taken = 0;
    while (taken < bytes.size()) {
        if (resp::parse(bytes.substr(taken), message) != resp::Parsed::kWhole) break;
        taken += message.size;
        act(message);
    }
    return taken;
}

}  // namespace

std::string Audit::broken() const {
    std::string all;
    const auto note = [&](const char* what, std::uint64_t count) {
        if (count > 0) all += std::string(all.empty() ? "" : ", ") + std::to_string(count) + ' ' + what;
    };
    note("unanswered", unanswered);
    note("answered twice", answered_twice);
    note("answered late", late);
    note("wrong values", wrong_value);
    note("two attempts out at once", two_out);
    note("never-twice calls sent again", ran_again);
    note("sent to drained workers", after_drain);
    return all;
}

// ---- The endpoints ----------------------------------------------------------------------------------------

class FakePlatform::EndpointPeer {
public:
    class Connection final : public net::Stream {
    public:
        Connection(net::Loop& loop, EndpointPeer& peer) : Stream(loop), peer_(peer) {}
        Handle self;

    private:
        std::size_t on_bytes(std::string_view bytes) override {
            return each_message(bytes, peer_.message_, [&](const resp::Message& m) { take(m); });
        }
        void take(const resp::Message& message) {
            if (message.items.size() < 4) {
                to_write().append(message.items[0].text == "INFO" ? "$18\r\ninflight=0,queue=0\r\n"
                                                                  : "+PONG\r\n");
                return;
            }
            const auto id = config::parse<std::uint64_t>(message.items[2].text, 16);
            double work = 0;
            const std::string body(message.items.size() > 4 ? message.items[4].text : std::string_view());
            if (const std::string error = peer_.read_form(body, message.items[1].text); !error.empty()) {
                return void(to_write().append('-' + error + "\r\n"));
            }
            peer_.town_.arrived(id.value_or(0), work, true_units_);
            peer_.last = loop().now();
            if (peer_.first == Timestamp{}) peer_.first = peer_.last;
            if (peer_.drained_at > Timestamp{0} && loop().now() > peer_.drained_at + kDrainWithin) {
                ++peer_.town_.audit.after_drain;
            }
            const Told told = peer_.model.arrive(loop().now(), work);
            call_ = id.value_or(0);
            out_ = true;
            if (told.never) return;
            timer_ = loop().arm(told.at, [this, ending = told.ending] { answer(ending); });
        }
        void answer(proxy::Ending ending) {
            timer_ = {};
            if (!out_ || closing()) return;
            finish_call(ending != proxy::Ending::kTurnedAway);
            char value[17];
            std::snprintf(value, sizeof(value), "%016llx", static_cast<unsigned long long>(call_));
            if (ending == proxy::Ending::kTurnedAway) {
                to_write().append("-BUSY\r\n");
            } else if (ending == proxy::Ending::kError) {
                to_write().append("-ERR failed\r\n");
            } else {
                to_write().append("*3\r\n$16\r\n").append(value).append("\r\n$6\r\ncost=");
                to_write().append(std::to_string(std::clamp(true_units_, 1, 9))).append("\r\n$-1\r\n");
            }
        }
        void finish_call(bool may_have_run) {
            if (std::exchange(out_, false)) peer_.town_.ended(call_, may_have_run);
        }
        void on_end(int) override { finish_call(true); }
        void on_released() override {
            finish_call(true);
            loop().disarm(timer_);
            peer_.server_.connections.remove(self);
        }
        EndpointPeer& peer_;
        Handle timer_;
        std::uint64_t call_ = 0;
        int true_units_ = 0;
        bool out_ = false;
    };

    EndpointPeer(FakePlatform& town, std::string name, std::string of_kind, EndpointFigures figures,
                 Timestamp began, std::uint64_t seed)
        : id(std::move(name)),
          kind(std::move(of_kind)),
          started(began),
          model(figures, began, seed),
          town_(town),
          server_(town.loop_, *this) {}
    std::uint16_t port() const { return server_.port; }
    void close() { server_.close(); }

    // What it has prepared, and what it says where it cannot serve a form.
    std::string read_form(const std::string& body, std::string_view account) {
        std::istringstream words(body.substr(0, body.find('\n')));
        std::string word, name, edition, rest;
        words >> word >> name >> edition;
        if (word != "form" && word != "prepare") return {};
        std::getline(words, rest);
        std::istringstream versions(rest);
        for (std::string one; versions >> one;) {
            const auto sign = one.find('@');
            const std::uint64_t version = schemas[one.substr(0, sign)];
            if (std::to_string(version) == one.substr(sign + 1)) continue;
            return "ERR schema " + one.substr(0, sign) + ' ' + std::to_string(version);
        }
        const std::string head = name + ' ' + edition + rest;
        if (word == "prepare") {
            ++town_.prepares;
            if (++prepares[head] > 1) ++town_.prepares_again;
            prepared.insert(head);
            return {};
        }
        if (prepared.count(head) == 0) return "ERR form " + name + ' ' + edition;
        town_.forms_audit.answered(config::parse<std::uint64_t>(account, 16).value_or(0), name, head,
                                   town_.now(), 2350ms);
        return {};
    }
    std::map<std::string, std::uint64_t> schemas;
    std::set<std::string> prepared;  // heads
    std::map<std::string, int> prepares;

    const std::string id, kind;
    Timestamp started;
    Stage stage = Stage::kInService;
    std::map<int, Stage> late;                     // what the list of a gateway says still
    std::vector<std::unique_ptr<TcpRelay>> links;  // of each gateway
    Timestamp drained_at{};
    Timestamp first{}, last{};  // calls
    EndpointModel model;

private:
    FakePlatform& town_;
    resp::Message message_;
    Server<Connection> server_;
};

// ---- The counter ----------------------------------------------------------------------------------------

class FakePlatform::CounterPeer {
public:
    class Connection final : public net::Stream {
    public:
        Connection(net::Loop& loop, CounterPeer& peer) : Stream(loop), peer_(peer) {}
        Handle self;

    private:
        std::size_t on_bytes(std::string_view bytes) override {
            return each_message(bytes, peer_.message_, [&](const resp::Message& m) { take(m); });
        }
        void take(const resp::Message& message) {
            if (message.items.size() != 4) return void(to_write().append("+PONG\r\n"));
            const auto amount = config::parse<double>(message.items[2].text);
            const auto ms = config::parse<std::int64_t>(message.items[3].text);
            if (!amount || !ms) return void(to_write().append("-ERR no such call\r\n"));
            const auto total = peer_.model.tally(loop().now(), std::string(message.items[1].text), *amount,
                                                 std::chrono::milliseconds(*ms));
            if (peer_.model.mood == CounterModel::Mood::kRefusing) to_write().append("-BUSY\r\n");
            if (!total) return;
            char text[48];
            std::snprintf(text, sizeof(text), "%.7g", *total);
            resp::write_bulk(to_write(), text);
        }
        void on_end(int) override {}
        void on_released() override { peer_.server.connections.remove(self); }
        CounterPeer& peer_;
    };
    explicit CounterPeer(net::Loop& loop) : server(loop, *this) {}
    CounterModel model;
    resp::Message message_;
    Server<Connection> server;
};

// ---- The registry ---------------------------------------------------------------------------------------

class FakePlatform::RegistryPeer {
public:
    class Connection final : public net::Stream {
    public:
        Connection(net::Loop& loop, RegistryPeer& peer) : Stream(loop), peer_(peer) {}
        Handle self;
        void tell() {
            if (!asked_ || peer_.silent || (index_ >= peer_.version && loop().now() < until_)) return;
            asked_ = false;
            loop().disarm(timer_);
            const bool news = index_ < peer_.version;
            const std::string body =
                news ? peer_.town_.listed(peer_.gateway_)
                     : json{{"version", peer_.version}, {"full", false}, {"servers", json::array()}}.dump();
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
            index_ = number("index=");
            until_ = loop().now() + std::chrono::milliseconds(std::max<std::int64_t>(number("wait="), 0));
            asked_ = true;
            timer_ = loop().arm(until_, [this] { tell(); });
            tell();
            return end + 4;
        }
        void on_end(int) override {}
        void on_released() override {
            loop().disarm(timer_);
            peer_.server.connections.remove(self);
        }
        RegistryPeer& peer_;
        bool asked_ = false;
        std::int64_t index_ = -1;
        Timestamp until_{};
        Handle timer_;
    };
    RegistryPeer(net::Loop& loop, FakePlatform& town, int gateway)
        : town_(town), gateway_(gateway), server(loop, *this) {}
    void tell_all() {
        server.connections.for_each([](Handle, Connection& connection) { connection.tell(); });
    }
    std::int64_t version = 1;
    bool silent = false;

private:
    FakePlatform& town_;
    int gateway_;

public:
    Server<Connection> server;
};

// ---- The billing receiver -------------------------------------------------------------------------------

class FakePlatform::ReceiverPeer {
public:
    class Connection final : public net::Stream {
    public:
        Connection(net::Loop& loop, ReceiverPeer& peer) : Stream(loop), peer_(peer) {}
        Handle self;

    private:
        std::size_t on_bytes(std::string_view bytes) override {
            got_.append(bytes);
            const auto end = got_.find("\r\n\r\n");
            const auto mood = peer_.town_.receipts.mood;
            if (mood == Receipts::Mood::kCut && got_.size() > 300) {
                close();  // in the midst of the body
                return bytes.size();
            }
            if (end == std::string::npos) return bytes.size();
            const auto header = [&](const std::string& name) {
                const auto at = got_.find(name + ": ");
                if (at == std::string::npos || at > end) return std::string();
                const auto from = at + name.size() + 2;
                return got_.substr(from, got_.find("\r\n", from) - from);
            };
            const std::size_t size = std::strtoul(header("Content-Length").c_str(), nullptr, 10);
            if (got_.size() >= end + 4 + size) take(header, got_.substr(end + 4, size), mood);
            return bytes.size();
        }
        template <typename Header>
        void take(const Header& header, const std::string& body, Receipts::Mood mood) {
            Receipts& receipts = peer_.town_.receipts;
            ++receipts.posts;
            const std::int64_t number = std::strtoll(header("X-Batch").c_str(), nullptr, 10);
            const std::string checksum = header("X-Checksum");
            if (metering::checksum_of(body) != checksum) ++receipts.spoilt;
            if (mood == Receipts::Mood::kSilent) return;
            if (mood == Receipts::Mood::kRefusing) return answer("503 No", "{}");
            const auto [at, fresh] = receipts.batches.try_emplace({header("X-Ledger"), number}, body);
            if (!fresh) ++receipts.repeats;
            if (at->second != body) ++receipts.other_content;
            if (mood == Receipts::Mood::kLost) return close();
            if (mood == Receipts::Mood::kRubbish) return answer("200 OK", "\x01]{not json");
            const std::int64_t told = mood == Receipts::Mood::kOlder ? number - 1 : number;
            answer("200 OK", json{{"batch", told}, {"checksum", checksum}}.dump());
        }
        void answer(const std::string& status, const std::string& body) {
            to_write().append("HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body);
        }
        void on_end(int) override {}
        void on_released() override { peer_.server.connections.remove(self); }
        ReceiverPeer& peer_;
        std::string got_;
    };
    ReceiverPeer(net::Loop& loop, FakePlatform& town) : town_(town), server(loop, *this) {}

private:
    FakePlatform& town_;

public:
    Server<Connection> server;
};

std::string FakePlatform::receiver_address() const {
    return "127.0.0.1:" + std::to_string(receiver_->server.port);
}

metering::Usage Receipts::sum_of(const std::function<bool(const json& line)>& wanted) const {
    metering::Usage sum;
    for (const auto& [key, content] : batches) {
        const std::string text = storage::decompress(content).value_or("");
        for (std::size_t at = 0; at < text.size();) {
            const auto end = std::min(text.find('\n', at), text.size());
            const json line = json::parse(text.substr(at, end - at), nullptr, false);
            at = end + 1;
            if (!line.is_object() || !line.contains("account") || !wanted(line)) continue;
            sum += metering::Usage{line["tries"], line["guessed_milliunits"], line["settled_milliunits"]};
        }
    }
    return sum;
}

metering::Usage Receipts::sum(metering::AccountId account, const std::string& plan) const {
    char hex[17];
    std::snprintf(hex, sizeof(hex), "%016llx", static_cast<unsigned long long>(account));
    return sum_of([&](const json& line) {
        return line["account"] == hex && (plan.empty() || line.value("plan", "") == plan);
    });
}

metering::Usage Receipts::sum_of_reserve(const std::string& id) const {
    return sum_of([&](const json& line) { return line.value("reserve", "") == id; });
}

metering::Milliunits Receipts::uncertain() const {
    std::map<std::string, metering::Milliunits> last;
    for (const auto& [key, content] : batches) {
        const std::string text = storage::decompress(content).value_or("");
        const json head = json::parse(text.substr(0, text.find('\n')), nullptr, false);
        if (head.is_object()) last[key.first] = head.value("uncertain_milliunits", metering::Milliunits{0});
    }
    metering::Milliunits sum = 0;
    for (const auto& [ledger, uncertain] : last) sum += uncertain;
    return sum;
}

// ---- The clients ----------------------------------------------------------------------------------------

class FakePlatform::Client final : public net::Stream {
public:
    Client(net::Loop& loop, FakePlatform& town, int gateway) : Stream(loop), town_(town), gateway_(gateway) {}
    void ask(std::uint64_t id, const std::string& command) {
        call_ = id;
        waits_ = true;
        to_write().append(command);
    }
    Handle self;

private:
    std::size_t on_bytes(std::string_view bytes) override {
        resp::Message message;
        return each_message(bytes, message, [&](const resp::Message& m) {
            if (!std::exchange(waits_, false)) return void(++town_.audit.answered_twice);
            town_.answered(call_, m);
            town_.gateways_[static_cast<std::size_t>(gateway_)].idle.push_back(self);
        });
    }
    void on_end(int) override {}
    void on_released() override {
        Gateway& gateway = town_.gateways_[static_cast<std::size_t>(gateway_)];
        --gateway.connections;
        auto& idle = gateway.idle;
        idle.erase(std::remove(idle.begin(), idle.end(), self), idle.end());
        town_.clients_.remove(self);
    }
    FakePlatform& town_;
    int gateway_;
    std::uint64_t call_ = 0;
    bool waits_ = false;
};

// ---- The town -------------------------------------------------------------------------------------------

FakePlatform::FakePlatform(FakePlatformSettings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      counter_(std::make_unique<CounterPeer>(loop_)),
      receiver_(std::make_unique<ReceiverPeer>(loop_, *this)),
      gateways_(static_cast<std::size_t>(settings_.gateways)) {
    std::signal(SIGPIPE, SIG_IGN);
    const int own = settings_.relays ? settings_.gateways : 1;
    for (int i = 0; i < own; ++i) registries_.push_back(std::make_unique<RegistryPeer>(loop_, *this, i));
    if (settings_.peers) peers_ = std::make_unique<PeerRelays>(loop_, settings_.gateways, settings_.seed);
    for (int i = 0; settings_.relays && i < settings_.gateways; ++i) {
        counter_links_.push_back(std::make_unique<TcpRelay>(loop_, counter_->server.port));
    }
}

FakePlatform::~FakePlatform() {
    load(false);
    for (Gateway& gateway : gateways_) {
        gateway.process.reset();
        if (!gateway.operators_path.empty()) unlink(gateway.operators_path.c_str());
    }
    clients_.for_each([](Handle, Client& client) { client.close(); });
    counter_->server.close();
    for (auto& registry : registries_) registry->server.close();
    for (auto& link : counter_links_) link->close();
    if (peers_) peers_->close();
    receiver_->server.close();
    for (auto& [id, endpoint] : endpoints_) {
        for (auto& link : endpoint->links) link->close();
        endpoint->close();
    }
    loop_.drain();
}

Timestamp FakePlatform::now() const { return loop_.now(); }
CounterModel& FakePlatform::counter() { return counter_->model; }
Process& FakePlatform::gateway(int number) { return *gateways_[static_cast<std::size_t>(number)].process; }

EndpointModel& FakePlatform::add_endpoint(const std::string& id, const std::string& kind,
                                          EndpointFigures figures, Timestamp started) {
    endpoints_.emplace_back(id, std::make_unique<EndpointPeer>(*this, id, kind, figures, started,
                                                               settings_.seed * 1000 + endpoints_.size()));
    EndpointPeer& made = *endpoints_.back().second;
    made.schemas = settings_.schemas;
    for (int i = 0; settings_.relays && i < settings_.gateways; ++i) {
        made.links.push_back(std::make_unique<TcpRelay>(loop_, made.port()));
    }
    return made.model;
}

void FakePlatform::move(const std::string& id, const std::string& schema, std::uint64_t version) {
    for (auto& [name, endpoint] : endpoints_) {
        if (name != id) continue;
        endpoint->schemas[schema] = version;
        auto& all = endpoint->prepared;
        for (auto at = all.begin(); at != all.end();) {
            at = at->find(' ' + schema + '@') != std::string::npos ? all.erase(at) : std::next(at);
        }
    }
}

bool FakePlatform::prepared(const std::string& id, const std::string& form) {
    for (auto& [name, endpoint] : endpoints_) {
        if (name != id) continue;
        return std::any_of(
            endpoint->prepared.begin(), endpoint->prepared.end(),
            [&](const std::string& head) { return head.compare(0, form.size() + 1, form + ' ') == 0; });
    }
    return false;
}

TcpRelay& FakePlatform::endpoint_link(const std::string& id, int gateway) {
    for (auto& [name, endpoint] : endpoints_) {
        if (name == id) return *endpoint->links[static_cast<std::size_t>(gateway)];
    }
    throw std::runtime_error("no worker " + id);
}

FakePlatform::RegistryPeer& FakePlatform::registry_of(int gateway) const {
    return *registries_[settings_.relays ? static_cast<std::size_t>(gateway) : 0];
}

EndpointModel& FakePlatform::endpoint(const std::string& id) {
    for (auto& [name, endpoint] : endpoints_) {
        if (name == id) return endpoint->model;
    }
    throw std::runtime_error("no worker " + id);
}

std::string FakePlatform::endpoint_address(const std::string& id) {
    for (auto& [name, endpoint] : endpoints_) {
        if (name == id) return "127.0.0.1:" + std::to_string(endpoint->port());
    }
    return {};
}

std::uint64_t FakePlatform::calls_of(const std::string& id) { return endpoint(id).calls; }
Timestamp FakePlatform::first_call_of(const std::string& id) {
    for (auto& [name, endpoint] : endpoints_) {
        if (name == id) return endpoint->first;
    }
    return {};
}
Timestamp FakePlatform::last_call_of(const std::string& id) {
    for (auto& [name, endpoint] : endpoints_) {
        if (name == id) return endpoint->last;
    }
    return {};
}

void FakePlatform::list(const std::string& id, Stage stage) {
    for (auto& [name, endpoint] : endpoints_) {
        if (name != id) continue;
        endpoint->stage = stage;
        endpoint->late.clear();
        endpoint->drained_at = stage == Stage::kInService ? Timestamp{} : now();
    }
    for (auto& registry : registries_) {
        ++registry->version;
        registry->tell_all();
    }
}

void FakePlatform::list_late(const std::string& id, Stage stage, int gateway) {
    for (auto& [name, endpoint] : endpoints_) {
        if (name != id) continue;
        const Stage before = endpoint->stage;
        endpoint->stage = stage;
        endpoint->drained_at = stage == Stage::kInService ? Timestamp{} : now();
        for (int i = 0; i < settings_.gateways; ++i) {
            if (i != gateway) endpoint->late[i] = before;
        }
    }
    ++registry_of(gateway).version;
    registry_of(gateway).tell_all();
}

void FakePlatform::registry_is_silent(bool silent, int gateway) {
    for (int i = 0; i < static_cast<int>(registries_.size()); ++i) {
        if (gateway >= 0 && i != gateway) continue;
        registries_[static_cast<std::size_t>(i)]->silent = silent;
        registries_[static_cast<std::size_t>(i)]->tell_all();
    }
}

std::string FakePlatform::listed(int gateway) const {
    json servers = json::array();
    for (const auto& [id, endpoint] : endpoints_) {
        const auto late = endpoint->late.find(gateway);
        const Stage stage = late == endpoint->late.end() ? endpoint->stage : late->second;
        if (stage == Stage::kTerminated) continue;
        const std::uint16_t port = endpoint->links.empty()
                                       ? endpoint->port()
                                       : endpoint->links[static_cast<std::size_t>(gateway)]->port();
        servers.push_back({{"id", id},
                           {"addr", "127.0.0.1:" + std::to_string(port)},
                           {"zone", "dc-1"},
                           {"kind", endpoint->kind},
                           {"cell", 0},
                           {"state", stage == Stage::kInService ? "in_service" : "terminating"},
                           {"weight", 1.0},
                           {"started_ms", endpoint->started / 1ms}});
    }
    return json{{"version", registry_of(gateway).version}, {"full", true}, {"servers", servers}}.dump();
}

std::string FakePlatform::config_of(int number) const {
    const policy::Settings s = settings_of(settings_.mix, settings_.gateways, number);
    const auto port_of = [](const auto& server) { return "127.0.0.1:" + std::to_string(server.port); };
    json config{{"name", "n" + std::to_string(number)},
                {"listen", gateways_[static_cast<std::size_t>(number)].address},
                {"mgmt", gateways_[static_cast<std::size_t>(number)].mgmt},
                {"discovery", port_of(registry_of(number).server)},
                {"counter", settings_.relays ? counter_links_[static_cast<std::size_t>(number)]->address()
                                             : port_of(counter_->server)},
                {"seed", std::to_string(settings_.seed + static_cast<std::uint64_t>(number))},
                {"limits", {{"memory_mb", settings_.memory_mb}, {"sockets", 1024}}},
                {"known", json::parse(listed(number))},
                {"settings", settings_json(s, settings_.peers)}};
    if (peers_) {
        config["peer_listen"] = peers_->listen_of(number);
        config["peers"] = peers_->peers_of(number);
    }
    return config.dump();
}

void FakePlatform::start() {
    for (int i = 0; i < settings_.gateways; ++i) {
        const auto free_address = [] { return "127.0.0.1:" + std::to_string(free_port()); };
        Gateway& gateway = gateways_[static_cast<std::size_t>(i)];
        gateway.address = settings_.second_address ? free_address() : "127.0.0.1:0";
        if (settings_.second_address) gateway.mgmt = free_address();
        start_again(i);
    }
}

void FakePlatform::start_again(int number) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    std::vector<std::string> arguments;
    const auto own = settings_.operators_of.find(number);
    const std::string& operators = own == settings_.operators_of.end() ? settings_.operators : own->second;
    if (!operators.empty()) {
        if (gateway.operators_path.empty()) {
            gateway.operators_path = temporary_path("star");
            write_file(gateway.operators_path, operators);
        }
        arguments = {"--operators", gateway.operators_path};
    }
    gateway.process =
        std::make_unique<Process>(settings_.program, config_of(number), arguments, environment[number]);
    // The loop must turn meanwhile: the gateway asks the registry first of all.
    gateway.address = "127.0.0.1:" + std::to_string(gateway.process->listening());
}

std::uint16_t FakePlatform::second_address(int number) const {
    sockaddr_storage address{};
    net::read_address(gateways_[static_cast<std::size_t>(number)].mgmt, address);
    return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

bool FakePlatform::upgrade(int number) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    std::unique_ptr<Process> old = std::move(gateway.process);
    gateway.mgmt = "127.0.0.1:" + std::to_string(free_port());
    start_again(number);
    SocketPeer caller = connect_to(second_address(number));
    caller.write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    const bool ready =
        run_until([&] { return caller.is_over(); }, 6s) && caller.got.find("HTTP/1.1 200") == 0;
    old->signal(SIGTERM);
    return run_until([&] { return old->has_ended(); }, 5s) && ready && old->exit_code() == 0;
}

void FakePlatform::kill(int number) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    gateway.process.reset();
    for (auto at = calls_.begin(); at != calls_.end();) {
        const bool gone = at->second.gateway == number && !at->second.answered;
        audit.lost_with_gateway += gone ? 1 : 0;
        at = gone ? calls_.erase(at) : std::next(at);
    }
    run_for(50ms);
}

void FakePlatform::operate(const std::string& text, int number) {
    for (int i = 0; i < settings_.gateways; ++i) {
        if (number >= 0 && i != number) continue;
        Gateway& gateway = gateways_[static_cast<std::size_t>(i)];
        write_file(gateway.operators_path, text);
        if (gateway.process) gateway.process->signal(SIGHUP);
    }
}

void FakePlatform::load(bool on) {
    loop_.disarm(std::exchange(next_, {}));
    next_at_ = now();
    if (on) next_call();
}

// The wheel's ticks are coarse: all that has come due goes out.
void FakePlatform::next_call() {
    std::exponential_distribution<double> gap(settings_.calls_per_s);
    std::uniform_int_distribution<int> which(0, settings_.gateways - 1);
    while (next_at_ <= now()) {
        const int gateway = which(random_);
        const DrawnCall drawn = draw_call(settings_.mix, settings_.tenants, random_);
        if (gateways_[static_cast<std::size_t>(gateway)].process) ask(gateway, drawn);
        next_at_ += span_of(gap(random_));
    }
    next_ = loop_.arm(next_at_, [this] { next_call(); });
}

void FakePlatform::ask_much(metering::AccountId account, double calls_per_s) {
    const bool known = asking_.count(account) > 0;
    asking_[account] = {calls_per_s, now()};
    if (!known && calls_per_s > 0) next_of(account);
}

void FakePlatform::next_of(metering::AccountId account) {
    auto& [rate, at] = asking_[account];
    if (rate <= 0) return void(asking_.erase(account));
    std::exponential_distribution<double> gap(rate);
    std::uniform_int_distribution<int> which(0, settings_.gateways - 1), units(1, 4);
    for (; at <= now(); at += span_of(gap(random_))) {
        const int gateway = which(random_);
        const DrawnCall drawn{0, static_cast<double>(units(random_)), 0.002, account};
        if (gateways_[static_cast<std::size_t>(gateway)].process) ask(gateway, drawn);
    }
    loop_.arm(at, [this, account] { next_of(account); });
}

void FakePlatform::ask(int number, const DrawnCall& drawn) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    Client* client = nullptr;
    while (!client && !gateway.idle.empty()) {
        client = clients_.find(gateway.idle.back());
        gateway.idle.pop_back();
        if (client && client->closing()) client = nullptr;
    }
    if (!client) {
        if (gateway.connections >= static_cast<std::size_t>(settings_.max_connections)) return;
        const Handle handle = clients_.add(loop_, *this, number);
        client = clients_.find(handle);
        client->self = handle;
        ++gateway.connections;
        if (client->connect(address_of(gateway.process->port)) != 0) return client->close();
    }
    const std::uint64_t id = ++next_id_;
    const auto traffic_class = static_cast<std::size_t>(drawn.traffic_class);
    const Duration wait = span_of(settings_.mix.deadline[traffic_class]);
    Call& call = calls_[id];
    call.asked = now();
    call.due = now() + wait;
    call.gateway = number;
    call.traffic_class = drawn.traffic_class;
    call.work = drawn.work;
    call.account = drawn.tenant;
    call.units = static_cast<int>(drawn.units);
    call.actual_units = 1 + static_cast<int>(id * 2654435761U % 4);
    ++audit.asked;
    asked_units[drawn.tenant] += drawn.units;
    const std::string body = settings_.form.empty() ? "" : "form " + settings_.form + "\nparameters";
    client->ask(id, command_of(id, drawn, body));
}

std::string FakePlatform::command_of(std::uint64_t id, const DrawnCall& drawn,
                                     const std::string& body) const {
    const auto traffic_class = static_cast<std::size_t>(drawn.traffic_class);
    char hex[17];
    std::string command;
    resp::write_array(command, body.empty() ? 4 : 5);
    resp::write_bulk(command, drawn.traffic_class == 0 ? "Q.ASK" : "Q.DO");
    std::snprintf(hex, sizeof(hex), "%016llx", static_cast<unsigned long long>(drawn.tenant));
    resp::write_bulk(command, hex);
    std::snprintf(hex, sizeof(hex), "%016llx", static_cast<unsigned long long>(id));
    resp::write_bulk(command, hex);
    constexpr const char* kNames[] = {"quote-read", "quote-create", "slot-hold"};
    const Duration wait = span_of(settings_.mix.deadline[traffic_class]);
    std::string pairs =
        std::string("c=") + kNames[traffic_class] + ",t=basico,d=" + std::to_string(wait / 1ms);
    if (drawn.traffic_class == 1) pairs += std::string(",k=") + hex;
    pairs += ",units=" + std::to_string(static_cast<int>(drawn.units)) +
             ",spread=" + std::to_string(settings_.gateways) + ",first=0";
    resp::write_bulk(command, pairs);
    if (!body.empty()) resp::write_bulk(command, body);
    return command;
}

std::string FakePlatform::call(int number, const std::string& body) {
    SocketPeer caller = connect_to(gateway(number).port);
    constexpr std::uint64_t kBeside = std::uint64_t{1} << 60;  // the town's own calls have other ids
    caller.write(command_of(kBeside + ++next_id_, DrawnCall{0, 1, 0.01, 1}, body));
    run_until([&] { return caller.has("\r\n"); }, 5s);
    return caller.got;
}

void FakePlatform::answered(std::uint64_t id, const resp::Message& message) {
    const auto at = calls_.find(id);
    if (at == calls_.end()) return;
    Call& call = at->second;
    if (std::exchange(call.answered, true)) ++audit.answered_twice;
    const Duration took = now() - call.asked;
    if (now() > call.due + kAnswerSlack) ++audit.late;
    const resp::Item& item = message.items.front();
    if (item.type == resp::Type::kError) {
        ++(item.text.substr(0, 4) == "BUSY" ? audit.rejected : audit.failed);
    } else {
        ++audit.served;
        if (seconds(took) <= settings_.mix.latency_objective[static_cast<std::size_t>(call.traffic_class)])
            ++audit.in_aim;
        if (config::parse<std::uint64_t>(item.text, 16) != id) ++audit.wrong_value;
        seen[call.account].corrected += metering::milliunits(call.actual_units - call.units);
    }
    if (call.out == 0) calls_.erase(at);
}

void FakePlatform::arrived(std::uint64_t id, double& work, int& actual_units) {
    ++audit.attempts;
    const auto at = calls_.find(id);
    if (at == calls_.end()) return;  // of a gateway that was killed
    Call& call = at->second;
    work = call.work;
    actual_units = call.actual_units;
    if (!std::exchange(call.was_sent, true)) {
        seen[call.account] += metering::Usage{1, metering::milliunits(call.units), 0};
        if (first_sent) first_sent(now(), call.account, call.units);
    }
    constexpr int kNeverTwice = 2;
    if (call.traffic_class == kNeverTwice && (call.may_have_run || call.out > 0)) ++audit.ran_again;
    if (call.out++ == 0) return;
    // The earlier one's end may be in the same turn of the loop, and be seen only behind this.
    loop_.arm(now() + kTwoOutWithin, [this, id] {
        const auto call_now = calls_.find(id);
        if (call_now != calls_.end() && call_now->second.out > 1) ++audit.two_out;
    });
}

void FakePlatform::ended(std::uint64_t id, bool may_have_run) {
    const auto at = calls_.find(id);
    if (at == calls_.end()) return;
    --at->second.out;
    at->second.may_have_run |= may_have_run;
    if (at->second.answered && at->second.out == 0) calls_.erase(at);
}

void FakePlatform::read_logs() {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        Gateway& gateway = gateways_[i];
        if (!gateway.process) continue;
        gateway.errors += gateway.process->errors_so_far();
        for (auto end = gateway.errors.find('\n'); end != std::string::npos;
             end = gateway.errors.find('\n')) {
            log_.push_back({static_cast<int>(i), now(), gateway.errors.substr(0, end)});
            gateway.errors.erase(0, end + 1);
        }
    }
}

bool FakePlatform::run_until(const std::function<bool()>& condition, Duration within) {
    const Timestamp end = now() + within;
    bool stop = false;
    std::function<void()> look = [&] {
        read_logs();
        if (stop || condition() || now() >= end) return loop_.stop();
        loop_.arm(now() + kLookEvery, look);
    };
    loop_.arm(now(), look);
    loop_.run();
    // A call that should have its answer by now has none.
    for (auto at = calls_.begin(); at != calls_.end();) {
        const bool missing = !at->second.answered && now() > at->second.due + 1s;
        audit.unanswered += missing ? 1 : 0;
        at = missing ? calls_.erase(at) : std::next(at);
    }
    return condition();
}

void FakePlatform::run_for(Duration time) {
    run_until([] { return false; }, time);
}

}  // namespace linnetlead::test_support
