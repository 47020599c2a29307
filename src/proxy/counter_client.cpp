#include "proxy/counter_client.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <utility>

#include "config/setting_words.h"
#include "proxy/resp/command.h"

namespace linnetlead::net {

using policy::CounterStatus;
using proxy::Duration;
using proxy::Handle;
using proxy::Timestamp;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxUnanswered = 512;   // per connection
constexpr Duration kStallTimeout = 300ms;     // without a reply; then the connection is replaced
constexpr Duration kBetweenConnects = 100ms;  // after a failed connect

}  // namespace

class CounterClient::Connection final : public Stream {
public:
    Connection(Loop& loop, CounterClient& client)
        : Stream(loop), client_(client), started_(loop.now()), last_reply_at_(started_) {}

    bool is_full() const { return requests_.size() >= kMaxUnanswered; }
    // No reply has arrived for too long: a new request would wait behind the pending ones.
    bool is_stalled() const {
        const Timestamp since = !connected_         ? started_
                                : requests_.empty() ? Timestamp::max()
                                                    : requests_.front().created_at;
        return since != Timestamp::max() && loop().now() - since > kStallTimeout;
    }

    // Handles a service that stopped answering without closing its connections. If one connection stalled,
    // all that have received nothing since are replaced too; otherwise each would lose a request to find out.
    bool is_suspect() const { return last_reply_at_ < client_.stalled_at_; }

    void add(const std::string& name, std::string command) {
        const std::uint64_t number = first_ + requests_.size();
        const Timestamp now = loop().now();
        requests_.push_back({name, std::move(command), now, 0, {}, false});
        requests_.back().timer = loop().arm(now + client_.timeout_, [this, number] { time_out(number); });
        if (connected_) write(requests_.back());
    }

    // Closes the connection and reports every request that has no result yet.
    void abandon() {
        const std::uint64_t sent = queued_ - unsent();
        close();
        for (PendingRequest& request : std::exchange(requests_, {})) {
            const bool whole = request.end > 0 && request.end <= sent;
            report(request, whole ? CounterStatus::kTimeout : CounterStatus::kConnectFailed);
        }
    }

    // Closes the connection once no request waits for a reply.
    void retire() {
        retiring_ = true;
        close_if_idle();
    }

    Handle self;
    std::size_t place = 0;

private:
    struct PendingRequest {
        std::string name;
        std::string command;  // until it is written
        Timestamp created_at{};
        std::uint64_t end = 0;  // offset of its last byte in the output stream; 0: not written yet
        Handle timer;
        bool reported = false;  // timed out: its reply is still to come
    };

    void write(PendingRequest& request) {
        to_write().append(request.command);
        queued_ += request.command.size();
        request.end = queued_;
        request.command.clear();
    }

    void report(PendingRequest& request, CounterStatus status, double total = 0) {
        if (std::exchange(request.reported, true)) return;
        loop().disarm(std::exchange(request.timer, {}));
        client_.gateway_.counted(request.name, status, total);
        close_if_idle();
    }
    void close_if_idle() {
        const bool waits = std::any_of(requests_.begin(), requests_.end(),
                                       [](const PendingRequest& c) { return !c.reported; });
        if (retiring_ && !waits) close();
    }

    void time_out(std::uint64_t number) {
        PendingRequest& request = requests_[static_cast<std::size_t>(number - first_)];
        // A request that is not written yet never will be.
        report(request, request.end > 0 ? CounterStatus::kTimeout : CounterStatus::kConnectFailed);
    }

    void on_connected() override {
        connected_ = true;
        while (!requests_.empty() && requests_.front().reported) drop_first();
        for (PendingRequest& request : requests_)
            write(request);  // timed-out requests are at the front, since all have the same timeout
    }

    std::size_t on_bytes(std::string_view bytes) override {
        std::size_t taken = 0;
        last_reply_at_ = loop().now();
        while (taken < bytes.size() && !closing()) {
            const resp::Parsed parsed = resp::parse(bytes.substr(taken), message_);
            if (parsed == resp::Parsed::kPartial) break;
            if (parsed != resp::Parsed::kWhole || message_.array || requests_.empty()) {
                abandon();
                return bytes.size();
            }
            const resp::Item& item = message_.items.front();
            const bool bulk = item.type == resp::Type::kBulk;
            const auto total = bulk ? config::parse<double>(item.text) : std::nullopt;
            const bool rejected = item.type == resp::Type::kError &&
                                  (resp::is_word(item.text, "BUSY") || resp::is_word(item.text, "ERR"));
            // A reply without a number: the amount may have been added, and the connection cannot be trusted.
            if (!total && !rejected) {
                abandon();
                return bytes.size();
            }
            taken += message_.size;
            PendingRequest request = std::move(requests_.front());
            drop_first();
            report(request, total ? CounterStatus::kOk : CounterStatus::kOverloaded, total.value_or(0));
        }
        return taken;
    }

    void drop_first() {
        requests_.pop_front();
        ++first_;
    }

    void failed() {
        // A connection that breaks is replaced at once; after a failed connect there is a pause.
        if (!retiring_ && !connected_) client_.failed_at_[place] = loop().now();
        abandon();
    }
    void on_end(int error) override {
        if (error == UV_EOF && requests_.empty()) return;  // closed while idle
        failed();
    }
    void on_released() override { client_.connections_.remove(self); }

    CounterClient& client_;
    Timestamp started_;
    Timestamp last_reply_at_;              // when the last reply arrived
    std::deque<PendingRequest> requests_;  // in order, until the reply arrives
    std::uint64_t first_ = 0;              // number of requests_.front()
    std::uint64_t queued_ = 0;
    bool connected_ = false;
    bool retiring_ = false;
    resp::Message message_;
};

CounterClient::CounterClient(Loop& loop, proxy::RequestManager& gateway, const sockaddr_storage& address,
                             Duration timeout)
    : loop_(loop), gateway_(gateway), address_(address), timeout_(timeout) {}
CounterClient::~CounterClient() = default;

void CounterClient::move(const sockaddr_storage& address) {
    address_ = address;
    current_ = {};
    failed_at_ = {};
    connections_.for_each([](Handle, Connection& connection) {
        if (!connection.closing()) connection.retire();
    });
}

void CounterClient::close() {
    connections_.for_each([](Handle, Connection& connection) { connection.close(); });
}

void CounterClient::add(const std::string& name, double amount, Duration life) {
    Connection* connection = open_connection(std::hash<std::string>{}(name) % kConnections);
    if (!connection) return gateway_.counted(name, CounterStatus::kConnectFailed, 0);
    if (connection->is_full()) return gateway_.counted(name, CounterStatus::kOverloaded, 0);
    std::array<char, 48> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.7g", amount);
    std::string command;
    resp::write_array(command, 4);
    resp::write_bulk(command, "TALLY");
    resp::write_bulk(command, name);
    resp::write_bulk(command, {text.data(), static_cast<std::size_t>(size)});
    const auto ms = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::milliseconds>(life).count());
    resp::write_bulk(command, std::to_string(ms));
    connection->add(name, std::move(command));
}

CounterClient::Connection* CounterClient::open_connection(std::size_t number) {
    Connection* connection = connections_.find(current_[number]);
    if (connection && !connection->closing()) {
        const bool stalled = connection->is_stalled();
        if (!stalled && !connection->is_suspect()) return connection;
        if (stalled) stalled_at_ = loop_.now();
        connection->abandon();
    }
    if (loop_.now() - failed_at_[number] < kBetweenConnects) return nullptr;
    const Handle handle = connections_.add(loop_, *this);
    connection = connections_.find(handle);
    connection->self = current_[number] = handle;
    connection->place = number;
    if (connection->connect(address_) == 0) return connection;
    connection->close();
    return nullptr;
}

}  // namespace linnetlead::net
