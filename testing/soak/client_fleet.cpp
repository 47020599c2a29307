#include "testing/soak/client_fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>

#include "config/setting_words.h"
#include "testing/fake_server.h"

namespace linnetlead::test_support::soak {

using namespace std::chrono_literals;
using proxy::Handle;

namespace {

constexpr double kPipelinedShare = 0.3;     // of the requests, where clients pipeline
constexpr int kMostPipelined = 5;           // commands written at once
constexpr std::size_t kMostWaiting = 20;    // of one connection, without an answer
constexpr Duration kLongestPause = 1500ms;  // of a client that writes a command in two pieces
constexpr Duration kHalfWriterEvery = 700ms;
constexpr Duration kSlowWriterEvery = 100ms;  // a byte of a command
constexpr int kCrowdKinds = 3;                // begin a command, write one slowly, say nothing
constexpr double kClientShare = 0.33;         // of a gateway's descriptors

}  // namespace

class ClientFleet::Connection final : public net::Stream {
public:
    Connection(net::Loop& loop, ClientFleet& fleet, int gateway, std::uint64_t number)
        : Stream(loop), fleet_(fleet), gateway_(gateway), number_(number) {}
    Handle self;

    bool is_idle() const { return open_.empty() && !closing(); }
    // Whether a further command may be written behind those that wait.
    bool takes_another() const {
        return !open_.empty() && open_.size() < kMostWaiting && !closing() && rest_.empty();
    }
    int gateway() const { return gateway_; }

    void ask(Request& request) {
        request.connection = number_;
        request.is_first_on_connection = std::exchange(is_new_, false);
        request.before = open_.empty() ? 0 : open_.back();
        open_.push_back(request.id);
        to_write().append(fleet_.command_of(request));
        if (connected_) note_written(request);
    }
    // Writes a part of the command, and the rest after a pause; nothing else meanwhile.
    void ask_slowly(Request& request, Duration pause) {
        request.connection = number_;
        request.is_first_on_connection = std::exchange(is_new_, false);
        open_.push_back(request.id);
        rest_ = fleet_.command_of(request);
        const std::size_t first_part = rest_.size() / 3;
        to_write().append(rest_, 0, first_part);
        rest_.erase(0, first_part);
        if (connected_) request.begun = loop().now();
        timer_ = loop().arm(loop().now() + pause, [this] {
            timer_ = {};
            if (closing() || open_.empty()) return;
            to_write().append(std::exchange(rest_, {}));
            if (connected_) note_written(fleet_.record_.requests.at(open_.back()));
        });
    }
    void leave(RequestId id) {
        if (closing() || std::find(open_.begin(), open_.end(), id) == open_.end()) return;
        note_end(ConnectionEnd::kClosedByClient);
        close();
    }

private:
    void note_written(Request& request) {
        request.written = loop().now();
        if (request.begun == kNever) request.begun = request.written;
        const auto traffic_class = static_cast<std::size_t>(request.traffic_class);
        request.due = request.written + fleet_.scenario_.settings.classes[traffic_class].deadline;
    }
    void note_end(ConnectionEnd end) {
        for (const RequestId id : std::exchange(open_, {})) {
            Request& request = fleet_.record_.requests.at(id);
            request.connection_ended = loop().now();
            request.end = end;
        }
    }
    void on_connected() override {
        connected_ = true;
        for (const RequestId id : open_) {
            Request& request = fleet_.record_.requests.at(id);
            request.begun = loop().now();
            if (rest_.empty()) note_written(request);
        }
    }
    std::size_t on_bytes(std::string_view bytes) override {
        std::size_t taken = 0;
        while (taken < bytes.size()) {
            const auto parsed =
                resp::parse(bytes.substr(taken), fleet_.message_, resp::kMaxLong, resp::kMaxLong);
            if (parsed == resp::Parsed::kPartial) break;
            if (parsed != resp::Parsed::kWhole) {
                fleet_.record_.surplus.push_back("a client cannot read an answer");
                return bytes.size();
            }
            taken += fleet_.message_.size;
            take(fleet_.message_);
        }
        if (is_idle()) fleet_.front_[static_cast<std::size_t>(gateway_)].idle.push_back(self);
        return taken;
    }
    void take(const resp::Message& message) {
        const resp::Item& item = message.items.front();
        if (open_.empty()) {
            fleet_.record_.surplus.push_back("an answer to nothing: " + std::string(item.text));
            return;
        }
        Request& request = fleet_.record_.requests.at(open_.front());
        open_.pop_front();
        Answer answer;
        answer.at = loop().now();
        if (item.type == resp::Type::kError) {
            const bool is_busy = item.text.substr(0, 4) == "BUSY";
            answer.kind = is_busy ? AnswerKind::kRefused : AnswerKind::kFailed;
        } else {
            constexpr int kHex = 16;
            const std::size_t size = item.text.size();
            const bool is_whole = size == kHex || size == fleet_.scenario_.long_value_bytes;
            answer.wrong_value =
                !is_whole || config::parse<std::uint64_t>(item.text.substr(0, kHex), kHex) != request.id;
        }
        request.answers.push_back(answer);
    }
    void on_end(int error) override {
        note_end(error == UV_EOF ? ConnectionEnd::kOrderly : ConnectionEnd::kReset);
    }
    void on_released() override {
        loop().disarm(timer_);
        --fleet_.front_[static_cast<std::size_t>(gateway_)].connections;
        fleet_.connections_.remove(self);
    }

    ClientFleet& fleet_;
    const int gateway_;
    const std::uint64_t number_;
    bool is_new_ = true;
    bool connected_ = false;
    std::string rest_;  // of a command that is written slowly
    Handle timer_;
    std::deque<RequestId> open_;  // without an answer, in their order
};

// One that says nothing, begins a command, or writes one slowly, and stays.
class ClientFleet::Stopper final : public net::Stream {
public:
    Stopper(net::Loop& loop, ClientFleet& fleet, bool is_of_crowd) : Stream(loop), fleet_(fleet) {
        is_of_crowd_ = is_of_crowd;
    }
    Handle self;
    void begin_command() { to_write().append("*4\r\n$5\r\nQ.ASK\r\n$16\r\n0000"); }
    // Begins a command with a long field, and goes on with it byte by byte.
    void write_slowly() {
        to_write().append("*4\r\n$5\r\nQ.ASK\r\n$2000\r\n0");
        write_further();
    }
    void judge_as(std::size_t half_writer) { half_writer_ = half_writer; }
    bool is_of_crowd() const { return is_of_crowd_; }

private:
    void on_connected() override {
        if (!is_of_crowd_) fleet_.record_.half_writers[half_writer_].connected = loop().now();
    }
    void write_further() {
        timer_ = loop().arm(loop().now() + kSlowWriterEvery, [this] {
            timer_ = {};
            if (closing()) return;
            to_write().append(1, '0');
            write_further();
        });
    }
    void note_told() {
        if (is_of_crowd_) return;
        HalfWriter& one = fleet_.record_.half_writers[half_writer_];
        if (one.told == kNever) one.told = loop().now();
    }
    std::size_t on_bytes(std::string_view bytes) override {
        note_told();
        return bytes.size();
    }
    void on_end(int) override { note_told(); }
    void on_released() override {
        loop().disarm(timer_);
        fleet_.stoppers_.remove(self);
    }

    ClientFleet& fleet_;
    bool is_of_crowd_ = false;
    Handle timer_;
    std::size_t half_writer_ = 0;
};

ClientFleet::ClientFleet(net::Loop& loop, const Scenario& scenario, std::vector<std::uint16_t> ports,
                         Record& record)
    : loop_(loop),
      scenario_(scenario),
      record_(record),
      random_(scenario.seed * 31 + 7),
      next_id_(scenario.seed << 32 | 1) {
    for (const std::uint16_t port : ports) front_.push_back({port, false, 0, {}});
}
ClientFleet::~ClientFleet() = default;

void ClientFleet::start() {
    asks_ = true;
    next_request();
    if (scenario_.stops_half_way) next_half_writer();
}

void ClientFleet::stop() {
    asks_ = false;
    loop_.disarm(std::exchange(next_request_, {}));
    loop_.disarm(std::exchange(next_half_writer_, {}));
}

void ClientFleet::close() {
    stop();
    connections_.for_each([](Handle, Connection& one) { one.close(); });
    stoppers_.for_each([](Handle, Stopper& one) { one.close(); });
}

void ClientFleet::next_request() {
    const double per_s = scenario_.requests_per_s * static_cast<double>(front_.size());
    std::exponential_distribution<double> gap(per_s);
    ask(std::uniform_int_distribution<int>(0, static_cast<int>(front_.size()) - 1)(random_));
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
    next_request_ = loop_.arm(loop_.now() + wait, [this] { next_request(); });
}

void ClientFleet::next_half_writer() {
    const int gateway = std::uniform_int_distribution<int>(0, static_cast<int>(front_.size()) - 1)(random_);
    const Front& front = front_[static_cast<std::size_t>(gateway)];
    if (front.lets_in) {
        const Handle handle = stoppers_.add(loop_, *this, false);
        Stopper& one = *stoppers_.find(handle);
        one.self = handle;
        record_.half_writers.push_back({gateway, kNever, kNever});
        one.judge_as(record_.half_writers.size() - 1);
        one.begin_command();
        if (one.connect(address_of(front.port)) != 0) one.close();
    }
    next_half_writer_ = loop_.arm(loop_.now() + kHalfWriterEvery, [this] { next_half_writer(); });
}

void ClientFleet::begin(const Crowd& crowd) {
    const Front& front = front_[static_cast<std::size_t>(crowd.gateway)];
    for (int i = 0; i < crowd.connections; ++i) {
        const Handle handle = stoppers_.add(loop_, *this, true);
        Stopper& one = *stoppers_.find(handle);
        one.self = handle;
        if (i % kCrowdKinds == 0) one.begin_command();
        if (i % kCrowdKinds == 1) one.write_slowly();
        if (one.connect(address_of(front.port)) != 0) one.close();
    }
}

void ClientFleet::end_crowds() {
    stoppers_.for_each([](Handle, Stopper& one) {
        if (one.is_of_crowd()) one.close();
    });
}

ClientFleet::Connection* ClientFleet::connection_to(int gateway, bool is_new) {
    Front& front = front_[static_cast<std::size_t>(gateway)];
    while (!is_new && !front.idle.empty()) {
        Connection* const idle = connections_.find(front.idle.back());
        front.idle.pop_back();
        if (idle && idle->is_idle()) return idle;
    }
    const auto most = static_cast<std::size_t>(kClientShare * scenario_.sockets);
    if (!front.lets_in || front.connections >= most) return nullptr;
    const Handle handle = connections_.add(loop_, *this, gateway, ++next_connection_);
    Connection* const made = connections_.find(handle);
    made->self = handle;
    ++front.connections;
    if (made->connect(address_of(front.port)) == 0) return made;
    made->close();
    return nullptr;
}

ClientFleet::Connection* ClientFleet::busy_connection_to(int gateway) {
    Connection* found = nullptr;
    connections_.for_each([&](Handle, Connection& one) {
        if (one.gateway() == gateway && one.takes_another()) found = &one;
    });
    return found;
}

void ClientFleet::ask(int gateway) {
    std::uniform_real_distribution<double> chance;
    const bool pipelines = scenario_.pipelines && chance(random_) < kPipelinedShare;
    Connection* connection = pipelines ? busy_connection_to(gateway) : nullptr;
    const bool is_new = chance(random_) < scenario_.new_connection_share;
    if (!connection) connection = connection_to(gateway, is_new);
    if (!connection && is_new) connection = connection_to(gateway, false);
    // The front lets nobody in: what is open stays in use.
    if (!connection && scenario_.pipelines) connection = busy_connection_to(gateway);
    if (!connection) return;
    if (chance(random_) < scenario_.slow_share && connection->is_idle()) {
        const auto pause = std::chrono::duration_cast<Duration>(chance(random_) * kLongestPause);
        return connection->ask_slowly(make_request(gateway), pause);
    }
    const int commands = pipelines ? std::uniform_int_distribution<int>(2, kMostPipelined)(random_) : 1;
    for (int i = 0; i < commands; ++i) {
        Request& request = make_request(gateway);
        connection->ask(request);
        if (chance(random_) >= scenario_.leaving_share) continue;
        const Duration deadline =
            scenario_.settings.classes[static_cast<std::size_t>(request.traffic_class)].deadline;
        const auto stays = std::chrono::duration_cast<Duration>(chance(random_) * deadline);
        loop_.arm(loop_.now() + stays, [this, self = connection->self, id = request.id] {
            if (Connection* const one = connections_.find(self)) one->leave(id);
        });
    }
}

Request& ClientFleet::make_request(int gateway) {
    Request request;
    request.id = next_id_++;
    request.gateway = gateway;
    request.traffic_class = std::uniform_int_distribution<int>(
        0, static_cast<int>(scenario_.settings.classes.size()) - 1)(random_);
    // Few tenants ask for much.
    const double draw = std::uniform_real_distribution<double>()(random_);
    request.tenant = 0x10000 + static_cast<std::uint64_t>(draw * draw * scenario_.tenants);
    request.units = std::uniform_int_distribution<int>(1, 3)(random_);
    return record_.requests[request.id] = request;
}

std::string ClientFleet::command_of(const Request& request) const {
    const auto hex = [](std::uint64_t number) {
        char text[17];
        std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
        return std::string(text);
    };
    const auto& traffic_class = scenario_.settings.classes[static_cast<std::size_t>(request.traffic_class)];
    const bool is_idempotent = traffic_class.idempotency == policy::Idempotency::kIdempotent;
    const bool is_keyed = traffic_class.idempotency == policy::Idempotency::kKeyed;
    std::string command;
    resp::write_array(command, 4);
    resp::write_bulk(command, is_idempotent ? "Q.ASK" : "Q.DO");
    resp::write_bulk(command, hex(request.tenant));
    resp::write_bulk(command, hex(request.id));
    resp::write_bulk(command, "c=" + traffic_class.name +
                                  ",t=basico,d=" + std::to_string(traffic_class.deadline / 1ms) +
                                  (is_keyed ? ",k=" + hex(request.id) : std::string()) +
                                  ",units=" + std::to_string(static_cast<int>(request.units)) +
                                  ",spread=" + std::to_string(scenario_.settings.gateways) + ",first=0");
    return command;
}

}  // namespace linnetlead::test_support::soak
