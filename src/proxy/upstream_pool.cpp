#include "proxy/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "proxy/resp/command.h"

namespace linnetlead::net {

using policy::Outcome;
using proxy::AttemptEnd;
using proxy::Duration;
using proxy::Ending;
using proxy::EndpointId;
using proxy::Handle;
using proxy::Stage;
using proxy::Timestamp;

namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
// Of a long value, or of what comes behind it: peers take seconds, but not so many.
constexpr Duration kStallsFor = std::chrono::seconds(15);
constexpr Duration kTailWithin = std::chrono::seconds(1);
constexpr Duration kTimeToRest = std::chrono::milliseconds(5);  // before a connection takes its next call

}  // namespace

class UpstreamPool::Connection final : public Stream {
public:
    Connection(Loop& loop, UpstreamPool& pool, EndpointId id)
        : Stream(loop), endpoint(std::move(id)), pool_(pool) {}

    // What is to be done on the connection: a call, or without a payload a probe.
    void begin(Handle call, const proxy::Payload* payload, const Limits& limits) {
        call_ = call;
        payload_ = payload;
        until_ = limits.until;
        write_by_ = limits.write_by;
        busy_ = true;
        answering_ = counted_ = false;
        reused_ = connected_;
        body_left_ = {};
        part_ = Part::kHead;
        stir();
        begun_ = loop().now();
        loop().disarm(timer_);
        if (connected_) return write();
        arm(std::min({until_, write_by_, loop().now() + pool_.bounds_.connect_timeout}));
    }

    // Ends the attempt that is out. A reusable connection rests until the next; any other is closed, which is
    // also how an attempt is given up.
    void end(AttemptEnd end, bool reusable = false) {
        end.stage = stage();
        busy_ = false;
        loop().disarm(std::exchange(timer_, {}));
        if (reusable && !pool_.retiring_) {
            rest();
        } else {
            close();
        }
        if (payload_) {
            pool_.gateway_.attempt_ended(call_, end);
        } else {
            pool_.gateway_.probed(endpoint, proxy::outcome_of(end), end.report);
        }
    }

    bool busy() const { return busy_; }
    Timestamp rests_since() const { return rests_since_; }
    bool unsent_call() const { return busy_ && stage() < Stage::kWritten; }
    // Whether its client's leaving leaves it without a purpose.
    bool only_for_client() const { return unsent_call() || (busy_ && payload_ && part_ == Part::kValue); }
    void go_on() {
        if (part_ != Part::kValue) return;
        arm(loop().now() + kStallsFor);
        read_more(true);
    }

    const EndpointId endpoint;
    Handle self;

private:
    Stage stage() const {
        if (!connected_) return Stage::kUnconnected;
        if (unsent() > 0 || !body_left_.empty()) return Stage::kPartlyWritten;
        return answering_ ? Stage::kAnswering : Stage::kWritten;
    }

    void write() {
        arm(std::min(until_, write_by_));
        std::string& out = to_write();
        if (payload_) {
            body_left_ = resp::write_call(out, *payload_, until_ - loop().now());
        } else {
            out.append("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
        }
    }

    void arm(Timestamp at) {
        loop().disarm(timer_);
        timer_ = loop().arm(at, [this] {
            timer_ = {};
            if (busy_ && part_ == Part::kTail) {
                end(tail_);
            } else if (busy_) {
                end({Stage::kUnconnected, Ending::kTimedOut, {}, 0, {}});
            } else {
                close();  // idle for so long that the endpoint is about to close it
            }
        });
    }

    void rest() {
        rests_since_ = loop().now();
        place_ = pool_.resting_.insert(pool_.resting_.end(), self);
        resting_ = true;
        arm(rests_since_ + pool_.bounds_.idle * 8 / 10);
        pool_.endpoints_.at(endpoint).idle.push_back(self);
    }

    void stir() {
        if (std::exchange(resting_, false)) pool_.resting_.erase(place_);
    }

    void on_connected() override {
        connected_ = true;
        loop().disarm(timer_);
        write();
    }

    void on_written() override {
        if (busy_ && !body_left_.empty()) {
            // A long body goes out piece by piece, and is not copied whole.
            to_write().append(body_left_.substr(0, resp::kMaxBulk));
            body_left_.remove_prefix(std::min(body_left_.size(), resp::kMaxBulk));
            return;
        }
        if (!busy_ || !payload_ || !connected_) return;
        if (std::exchange(write_by_, Timestamp::max()) < until_ && part_ == Part::kHead) arm(until_);
        if (!std::exchange(counted_, true)) ++pool_.tries_;
    }

    std::size_t on_bytes(std::string_view bytes) override {
        if (!busy_) {  // an answer to nothing
            close();
            return bytes.size();
        }
        answering_ = true;
        if (part_ == Part::kValue) return pass_value(bytes);
        if (part_ == Part::kTail) return read_tail(bytes);
        resp::Message& message = pool_.message_;
        const resp::Parsed parsed = resp::parse(bytes, message);
        const bool long_value = parsed == resp::Parsed::kLongBulk && payload_ && message.items.empty() &&
                                resp::may_become_reply(message);
        if (long_value) return begin_value(bytes, message);
        if (parsed == resp::Parsed::kLongBulk) {
            end({});
            return bytes.size();
        }
        // Guards against spoilt answers: the call may have run, and its client hears so at once.
        if (parsed == resp::Parsed::kMalformed || (payload_ && !resp::may_become_reply(message))) {
            end({});
            return bytes.size();
        }
        if (parsed == resp::Parsed::kPartial) return 0;
        AttemptEnd answer;
        if (payload_) {
            answer = resp::read_reply(message);
        } else if (!message.array && message.items[0].type == resp::Type::kBulk) {
            answer.ending = Ending::kServed;
            answer.report = resp::read_report(message.items[0].text);
        } else {
            answer.ending = Ending::kError;
        }
        // Bytes behind the answer, or an answer before the call was out, leave the next one in doubt.
        const bool clean = message.size == bytes.size() && unsent() == 0 && answer.ending != Ending::kBroken;
        const auto at = pool_.endpoints_.find(endpoint);
        if (answer.ending == Ending::kServed) pool_.note_reuse({}, true);
        end(answer, clean && at != pool_.endpoints_.end() && at->second.wanted);
        return bytes.size();
    }

    // Nothing goes to the client before the first byte of the value is here: until then another attempt may
    // follow.
    std::size_t begin_value(std::string_view bytes, const resp::Message& message) {
        if (bytes.size() == message.size) return 0;
        value_left_ = message.left;
        const std::size_t head = message.size;
        part_ = Part::kValue;
        loop().disarm(std::exchange(timer_, {}));
        if (pool_.gateway_.value_begins(call_, value_left_) == proxy::RequestManager::Wanted::kNothing) {
            end({Stage::kAnswering, Ending::kGivenUp, {}, 0, {}, {}});
            return bytes.size();
        }
        return head + pass_value(bytes.substr(head));
    }

    std::size_t pass_value(std::string_view bytes) {
        using Wanted = proxy::RequestManager::Wanted;
        const std::size_t size = std::min(value_left_, bytes.size());
        arm(loop().now() + kStallsFor);
        if (size > 0) {
            value_left_ -= size;
            const Wanted wanted = pool_.gateway_.value_piece(call_, bytes.substr(0, size));
            if (closing()) return bytes.size();  // its client went away within
            if (wanted == Wanted::kNothing) {
                end({Stage::kAnswering, Ending::kGivenUp, {}, 0, {}, {}});
                return bytes.size();
            }
            if (wanted == Wanted::kPause) read_more(false);
        }
        if (value_left_ > 0 || bytes.size() - size < kLineEnd.size()) return size;
        if (bytes.substr(size, kLineEnd.size()) != kLineEnd) {
            end({});
            return bytes.size();
        }
        part_ = Part::kTail;
        tail_ = {};
        tail_.ending = Ending::kServed;
        tail_items_ = 0;
        read_more(true);
        arm(loop().now() + kTailWithin);
        pool_.gateway_.value_ends(call_);
        pool_.note_reuse({}, true);
        return size + kLineEnd.size() + read_tail(bytes.substr(size + kLineEnd.size()));
    }

    // Figures and report behind a long value: its client has had it, whatever they are.
    std::size_t read_tail(std::string_view bytes) {
        std::size_t taken = 0;
        resp::Message& message = pool_.message_;
        while (tail_items_ < 2) {
            const resp::Parsed parsed = resp::parse(bytes.substr(taken), message);
            if (parsed == resp::Parsed::kPartial) return taken;
            if (parsed != resp::Parsed::kWhole || message.array) {
                end(tail_);
                return bytes.size();
            }
            taken += message.size;
            resp::read_behind(message.items.front().text, tail_items_++, tail_);
        }
        const auto at = pool_.endpoints_.find(endpoint);
        end(tail_, taken == bytes.size() && at != pool_.endpoints_.end() && at->second.wanted);
        return bytes.size();
    }

    void on_end(int) override {
        const bool at_once = loop().now() - begun_ < pool_.bounds_.connect_timeout / 10;
        if (busy_ && reused_ && !answering_ && at_once) pool_.note_reuse(begun_ - rests_since_, false);
        if (busy_) end(part_ == Part::kTail ? tail_ : AttemptEnd{});
    }

    void on_released() override {
        loop().disarm(timer_);
        stir();
        const auto at = pool_.endpoints_.find(endpoint);
        if (at != pool_.endpoints_.end()) {
            for (auto* all : {&at->second.idle, &at->second.open}) {
                all->erase(std::remove(all->begin(), all->end(), self), all->end());
            }
        }
        pool_.connections_.remove(self);
    }

    enum class Part { kHead, kValue, kTail };
    static constexpr std::string_view kLineEnd = "\r\n";

    UpstreamPool& pool_;
    Handle call_;
    const proxy::Payload* payload_ = nullptr;  // the core keeps it while the attempt is out
    std::string_view body_left_;               // of the payload, still to be written
    Part part_ = Part::kHead;                  // of the answer
    std::size_t value_left_ = 0;               // bytes of a long one
    AttemptEnd tail_;                          // of a long value: what has been read behind it
    int tail_items_ = 0;
    Timestamp until_{};
    Timestamp write_by_{};
    Timestamp rests_since_{};
    Timestamp begun_{};
    Handle timer_;
    std::list<Handle>::iterator place_;
    bool resting_ = false;
    bool connected_ = false;
    bool busy_ = false;
    bool answering_ = false;
    bool counted_ = false;  // as written whole
    bool reused_ = false;
};

UpstreamPool::UpstreamPool(Loop& loop, proxy::RequestManager& gateway, Bounds bounds)
    : loop_(loop), gateway_(gateway), bounds_(bounds), reuse_within_(bounds.idle) {}
UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::close() {
    connections_.for_each([](Handle, Connection& connection) { connection.close(); });
}

void UpstreamPool::retire(bool on) {
    retiring_ = on;
    if (on) limit_resting(0);
}

void UpstreamPool::limit(std::size_t connections) {
    bounds_.connections = connections;
    limit_resting(connections);
}

// Closes what rests longest, until there are so many connections or none rests.
void UpstreamPool::limit_resting(std::size_t most) {
    std::size_t surplus = connections_.size() > most ? connections_.size() - most : 0;
    for (auto at = resting_.begin(); at != resting_.end() && surplus > 0; ++at) {
        Connection* const longest = connections_.find(*at);
        if (!longest || longest->closing()) continue;
        longest->close();
        --surplus;
    }
}

Handle UpstreamPool::start(Handle call, const EndpointId& endpoint, const proxy::Payload& payload,
                           const Limits& limits) {
    Connection* connection = connection_to(endpoint);
    if (!connection) {
        gateway_.attempt_ended(call, {});
        return {};
    }
    connection->begin(call, &payload, limits);
    return connection->self;
}

void UpstreamPool::give_up(Handle attempt) {
    Connection* connection = connections_.find(attempt);
    if (connection && connection->busy())
        connection->end({Stage::kUnconnected, Ending::kGivenUp, {}, 0, {}, {}});
}

void UpstreamPool::client_gone(Handle attempt) {
    const Connection* connection = connections_.find(attempt);
    if (connection && connection->only_for_client()) give_up(attempt);
}

bool UpstreamPool::is_unsent(Handle attempt) {
    const Connection* connection = connections_.find(attempt);
    return connection && connection->unsent_call();
}

void UpstreamPool::go_on(Handle attempt) {
    Connection* connection = connections_.find(attempt);
    if (connection && connection->busy()) connection->go_on();
}

void UpstreamPool::probe(const EndpointId& endpoint) {
    if (Connection* connection = connection_to(endpoint)) {
        connection->begin({}, nullptr, {loop_.now() + kProbeTimeout, Timestamp::max()});
    } else {
        gateway_.probed(endpoint, Outcome::kConnectFailed, {});
    }
}

// The idle connection used last, or a new one.
UpstreamPool::Connection* UpstreamPool::connection_to(const EndpointId& id) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end() || !at->second.wanted) return nullptr;
    Endpoint& endpoint = at->second;
    // Guards against surplus behind an answer, which would be taken for the next one's: it is given time to
    // come, and nothing may lie there unread.
    const Timestamp now = loop_.now();
    for (std::size_t i = endpoint.idle.size(); i-- > 0;) {
        Connection* idle = connections_.find(endpoint.idle[i]);
        if (idle && !idle->closing() && now - idle->rests_since() < kTimeToRest) continue;
        endpoint.idle.erase(endpoint.idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (!idle || idle->closing()) continue;
        if (idle->is_quiet() && now - idle->rests_since() < reuse_within_) return idle;
        idle->close();
    }
    if (!make_room()) return nullptr;
    const Handle handle = connections_.add(loop_, *this, id);
    Connection* connection = connections_.find(handle);
    connection->self = handle;
    endpoint.open.push_back(handle);
    if (connection->connect(endpoint.to) != 0) {
        connection->close();
        return nullptr;
    }
    return connection;
}

// Guards against endpoints, or what lies between, that drop resting connections sooner than the settings say
// and reset the next call on one: what may have run, an unsafe call cannot be sent again for. A new
// connection is cheap. Rests that were too long are halved; calls that are served lengthen them little by
// little.
void UpstreamPool::note_reuse(Duration rested, bool good) {
    constexpr int kSlowly = 400;
    const Duration wanted =
        good ? reuse_within_ + reuse_within_ / kSlowly : std::min(reuse_within_, rested) / 2;
    reuse_within_ = std::clamp(wanted, kTimeToRest, bounds_.idle);
}

bool UpstreamPool::make_room() {
    if (connections_.size() < bounds_.connections) return true;
    for (const Handle resting : resting_) {
        Connection* const longest = connections_.find(resting);
        if (!longest || longest->closing()) continue;  // on its way out already
        longest->close();
        return true;
    }
    return false;
}

// Costs as much as has changed, but for a whole list, which costs as much as the list.
void UpstreamPool::told(const std::vector<proxy::DiscoveredEndpoint>& entries, bool whole) {
    ++round_;
    for (const proxy::DiscoveredEndpoint& listed : entries) {
        Endpoint& endpoint = endpoints_[listed.entry.id];
        const bool fresh = endpoint.address != listed.address || endpoint.started != listed.entry.started;
        if (fresh) {
            forget_connections(endpoint);
            moved(listed.entry.id, endpoint.address, listed.address);
            endpoint.address = listed.address;
            endpoint.started = listed.entry.started;
        }
        endpoint.round = round_;
        endpoint.wanted = listed.entry.state == policy::EndpointState::kInService &&
                          read_address(listed.address, endpoint.to);
    }
    for (const proxy::DiscoveredEndpoint& listed : entries) {
        if (endpoints_[listed.entry.id].wanted) drop_predecessors(listed);
    }
    // Guards the table against ever-new ids: gone ones leave it, by a whole list or a change alike.
    for (const proxy::DiscoveredEndpoint& listed : entries) {
        const auto at = endpoints_.find(listed.entry.id);
        if (at == endpoints_.end() || at->second.wanted) continue;
        forget_connections(at->second);
        if (listed.entry.state == policy::EndpointState::kRemoved) unlist(listed.entry.id);
    }
    if (!whole) return;
    std::vector<EndpointId> gone;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint.round != round_) gone.push_back(id);
    }
    for (const EndpointId& id : gone) unlist(id);
}

void UpstreamPool::unlist(const EndpointId& id) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end()) return;
    at->second.wanted = false;
    forget_connections(at->second);
    moved(id, at->second.address, {});
    endpoints_.erase(id);
}

void UpstreamPool::moved(const EndpointId& id, const std::string& from, const std::string& to) {
    if (const auto at = at_address_.find(from); at != at_address_.end()) {
        auto& ids = at->second;
        ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
        if (ids.empty()) at_address_.erase(at);
    }
    if (!to.empty()) at_address_[to].push_back(id);
}

// Guards a new endpoint against calls meant for one that is gone but still listed: what is sent to that one's
// address reaches the new one, unaware of how cold it is.
void UpstreamPool::drop_predecessors(const proxy::DiscoveredEndpoint& successor) {
    const auto at = at_address_.find(successor.address);
    if (at == at_address_.end() || at->second.size() < 2) return;
    for (const EndpointId& id : at->second) {
        Endpoint& endpoint = endpoints_.at(id);
        if (id == successor.entry.id || endpoint.started >= successor.entry.started) continue;
        endpoint.wanted = false;
        forget_connections(endpoint);
    }
}

// Closes the idle connections, and ends what has not been sent yet: on a connection that comes up later it
// would go out after the endpoint had asked for nothing more.
void UpstreamPool::forget_connections(Endpoint& endpoint) {
    for (const Handle idle : std::exchange(endpoint.idle, {})) {
        if (Connection* connection = connections_.find(idle)) connection->close();
    }
    const std::vector<Handle> open = endpoint.open;  // ends take them off it
    for (const Handle one : open) {
        Connection* const connection = connections_.find(one);
        if (connection && connection->unsent_call()) connection->end({});
    }
}

}  // namespace linnetlead::net
