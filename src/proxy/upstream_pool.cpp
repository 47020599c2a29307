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
using proxy::ReplyVerdict;
using proxy::Stage;
using proxy::Timestamp;

namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
// Longest pause within a long value: slow clients and endpoints take seconds, but not this many.
constexpr Duration kStreamStallTimeout = std::chrono::seconds(15);
constexpr Duration kTailTimeout = std::chrono::seconds(1);  // for the fields after a long value
// Longest pause within a reply of which the length is not known yet, or that is short, past its attempt's
// timeout.
constexpr Duration kReplyStallTimeout = std::chrono::milliseconds(250);
constexpr std::size_t kMaxCongestedRead = 8 * 1024;  // bytes of a reply at once
constexpr Duration kMinIdleTime =
    std::chrono::milliseconds(5);  // idle time before a connection takes its next request

}  // namespace

class UpstreamPool::Connection final : public Stream {
public:
    // `process`: of the endpoint, as in Endpoint.
    Connection(Loop& loop, UpstreamPool& pool, EndpointId id, std::uint64_t process)
        : Stream(loop), endpoint(std::move(id)), pool_(pool), process_(process) {}

    // Starts a request on the connection, or a probe if there is no payload.
    void begin(Handle request, const proxy::Payload* payload, const Limits& limits) {
        request_ = request;
        payload_ = payload;
        until_ = limits.until;
        due_ = limits.due;
        write_by_ = limits.write_by;
        busy_ = true;
        answering_ = counted_in_tries_ = skipped_duplicate_ = false;
        has_value_head_ = streams_at_once_ = false;
        is_held_ = accepts_held_ = false;
        reused_ = connected_;
        written_at_ = {};
        body_left_ = {};
        part_ = Part::kHead;
        leave_idle();
        started_ = loop().now();
        loop().disarm(timer_);
        if (connected_) return write();
        arm(std::min({until_, write_by_, loop().now() + pool_.bounds_.connect_timeout}));
    }

    // Ends the current attempt. A reusable connection becomes idle; any other is closed, which also cancels
    // an attempt.
    void end(AttemptEnd end, bool reusable = false) {
        end.stage = stage();
        busy_ = false;
        loop().disarm(std::exchange(timer_, {}));
        if (reusable && !pool_.retiring_) {
            become_idle();
        } else {
            close();
        }
        if (payload_) {
            pool_.gateway_.attempt_ended(request_, end);
        } else {
            pool_.gateway_.probed(endpoint, proxy::outcome_of(end), end.report);
        }
    }

    bool busy() const { return busy_; }
    Timestamp idle_since() const { return idle_since_; }
    bool is_request_unsent() const { return busy_ && stage() < Stage::kWritten; }
    // Whether the attempt is pointless once the client has disconnected.
    bool is_pointless_without_client() const {
        return is_request_unsent() || (busy_ && payload_ && part_ == Part::kValue);
    }
    void go_on() {
        if (part_ != Part::kValue) return;
        arm(loop().now() + kStreamStallTimeout);
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
            body_left_ = resp::write_request(out, *payload_, until_ - loop().now());
        } else {
            out.append("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
        }
    }

    void arm(Timestamp at) {
        loop().disarm(timer_);
        timer_ = loop().arm(at, [this] {
            timer_ = {};
            on_timeout();
        });
    }

    void on_timeout() {
        if (!busy_) return close();  // idle for so long that the endpoint is about to close the connection
        if (part_ == Part::kTail) return end(tail_);
        if (is_held_) {
            accepts_held_ = true;
            return take_rest();
        }
        if (has_value_head_ && stage() == Stage::kAnswering) {
            streams_at_once_ = true;
            return take_rest();
        }
        if (is_reply_arriving()) return arm(std::min(due_, reply_bytes_at_ + kReplyStallTimeout));
        if (skipped_duplicate_) note_reply([](auto& replies) { replies.on_duplicate_unconfirmed(); });
        end({Stage::kUnconnected, Ending::kTimedOut, {}, 0, {}});
    }

    bool is_reply_arriving() const {
        const Timestamp now = loop().now();
        return payload_ && part_ == Part::kHead && stage() == Stage::kAnswering && now < due_ &&
               now < reply_bytes_at_ + kReplyStallTimeout;
    }

    void become_idle() {
        idle_since_ = loop().now();
        idle_position_ = pool_.idle_by_age_.insert(pool_.idle_by_age_.end(), self);
        is_idle_ = true;
        arm(idle_since_ + pool_.bounds_.idle * 8 / 10);
        pool_.endpoints_.at(endpoint).idle.push_back(self);
    }

    void leave_idle() {
        if (std::exchange(is_idle_, false)) pool_.idle_by_age_.erase(idle_position_);
    }

    void on_connected() override {
        connected_ = true;
        loop().disarm(timer_);
        write();
    }

    void on_written() override {
        if (busy_ && !body_left_.empty()) {
            // A long body is written in pieces, so that it is not copied as a whole.
            to_write().append(body_left_.substr(0, resp::kMaxBulk));
            body_left_.remove_prefix(std::min(body_left_.size(), resp::kMaxBulk));
            return;
        }
        if (!busy_ || !connected_) return;
        if (written_at_ == Timestamp{}) written_at_ = loop().now();
        if (!payload_) return;
        if (std::exchange(write_by_, Timestamp::max()) < until_ && part_ == Part::kHead) arm(until_);
        if (!std::exchange(counted_in_tries_, true)) ++pool_.tries_;
    }

    // What is read of a long value has to be kept until its client takes it.
    std::size_t max_read_bytes() const override {
        return pool_.gateway_.output_congested() ? kMaxCongestedRead : kWholeBuffer;
    }

    std::size_t on_bytes(std::string_view bytes) override {
        if (!busy_) {  // bytes without a request
            close();
            return bytes.size();
        }
        reply_bytes_at_ = loop().now();
        std::size_t taken = 0;
        std::size_t size = 0;
        do {
            size = read_part(bytes.substr(taken));
            taken += size;
        } while (size > 0 && taken < bytes.size() && busy_);
        return taken;
    }

    // Returns the number of bytes taken; 0: more has to arrive.
    std::size_t read_part(std::string_view bytes) {
        switch (part_) {
            case Part::kHead:
                return read_head(bytes);
            case Part::kValue:
                return pass_value(bytes);
            case Part::kTail:
                return read_tail(bytes);
            case Part::kDuplicateValue:
                return skip_value(bytes);
            case Part::kDuplicateTail:
                return skip_tail(bytes);
        }
        return bytes.size();
    }

    std::size_t read_head(std::string_view bytes) {
        if (!std::exchange(answering_, true)) reply_began_after_ = since_written();
        resp::Message& message = pool_.message_;
        const resp::Parsed parsed = resp::parse(bytes, message);
        const bool long_value = parsed == resp::Parsed::kLongBulk && payload_ && message.items.empty() &&
                                resp::may_become_reply(message);
        if (long_value) return begin_value(bytes, message);
        if (parsed == resp::Parsed::kLongBulk) {
            end({});
            return bytes.size();
        }
        // An invalid reply: the request may have run, and the client is answered at once.
        if (parsed == resp::Parsed::kMalformed || (payload_ && !resp::may_become_reply(message))) {
            end({});
            return bytes.size();
        }
        if (parsed == resp::Parsed::kPartial) return 0;
        switch (judge(message, bytes.size())) {
            case ReplyVerdict::kDuplicate:
                note_duplicate();
                return message.size;
            case ReplyVerdict::kSuspected:
                if (accepts_held_) break;
                hold();
                return 0;
            case ReplyVerdict::kGenuine:
                break;
        }
        AttemptEnd answer;
        if (payload_) {
            answer = resp::read_reply(message);
        } else if (!message.array && message.items[0].type == resp::Type::kBulk) {
            answer.ending = Ending::kServed;
            answer.report = resp::read_report(message.items[0].text);
        } else {
            answer.ending = Ending::kError;
        }
        // If bytes follow the reply, or it came before the request was written, the connection is not reused.
        const bool clean = message.size == bytes.size() && unsent() == 0 && answer.ending != Ending::kBroken;
        if (answer.ending == Ending::kServed) pool_.adapt_reuse_limit({}, true);
        if (payload_ && answer.ending == Ending::kServed) note_value({answer.value, answer.value.size()});
        end(answer, clean && leads_to_listed_process());
        return bytes.size();
    }

    // Whether the endpoint gets requests, at the process that this connection leads to.
    bool leads_to_listed_process() const {
        const auto at = pool_.endpoints_.find(endpoint);
        return at != pool_.endpoints_.end() && at->second.is_usable && at->second.process == process_;
    }

    Duration since_written() const {
        return stage() < Stage::kWritten || written_at_ == Timestamp{} ? Duration{0}
                                                                       : loop().now() - written_at_;
    }

    // What the complete message is, beside the connection's previous reply.
    ReplyVerdict judge(const resp::Message& message, std::size_t received) const {
        if (!reused_ || !message.array || !resp::may_become_reply(message)) return ReplyVerdict::kGenuine;
        const bool more_follows = received > message.size;
        if (is_held_ && more_follows) return ReplyVerdict::kDuplicate;
        const std::string_view value = message.items.front().text;
        return judge(proxy::ReplyFingerprint(value, value.size()), more_follows);
    }
    ReplyVerdict judge(const proxy::ReplyFingerprint& value, bool more_follows) const {
        if (!reused_ || value != last_value_) return ReplyVerdict::kGenuine;
        if (!payload_) return ReplyVerdict::kDuplicate;  // a probe's own reply has no such value
        const auto at = pool_.endpoints_.find(endpoint);
        if (at == pool_.endpoints_.end()) return ReplyVerdict::kGenuine;
        return at->second.replies.judge(reply_came_after(), more_follows);
    }

    // The reply that has come is left unread until more follows, at most as long as the request's own reply
    // may take.
    void hold() {
        if (std::exchange(is_held_, true)) return;
        const auto at = pool_.endpoints_.find(endpoint);
        const Duration wait = at == pool_.endpoints_.end() ? Duration{0} : at->second.replies.max_hold();
        arm(std::min(until_, written_at_ + wait));
    }

    // The longest time that can lie between the request and the reply. This process may have been held up
    // before it read the reply: then the kernel knows better.
    Duration reply_came_after() const {
        const auto by_kernel = max_time_from_sent_to_received();
        return by_kernel ? std::min<Duration>(reply_began_after_, *by_kernel) : reply_began_after_;
    }

    void note_duplicate() {
        answering_ = has_value_head_ = false;
        if (std::exchange(is_held_, false)) arm(until_);
        skipped_duplicate_ = true;
        ++pool_.duplicate_replies_;
    }

    // A reply with this value is accepted.
    void note_value(const proxy::ReplyFingerprint& value) {
        const bool is_equal = reused_ && value == last_value_;
        note_reply([this, is_equal](proxy::DuplicateReplyDetector& replies) {
            if (is_equal) replies.on_equal_value(accepts_held_);
            if (!is_equal) replies.on_genuine_reply(reply_began_after_);
            if (!is_equal && reused_) replies.on_other_value();
            if (skipped_duplicate_) replies.on_duplicate_confirmed();
        });
        last_value_ = value;
    }

    template <typename Note>
    void note_reply(Note note) {
        const auto at = pool_.endpoints_.find(endpoint);
        if (at != pool_.endpoints_.end()) note(at->second.replies);
    }

    // Skips the value of a duplicate, with its line end.
    std::size_t skip_value(std::string_view bytes) {
        const std::size_t size = std::min(value_left_, bytes.size());
        value_left_ -= size;
        if (value_left_ == 0) part_ = Part::kDuplicateTail;
        tail_items_ = 0;
        return size;
    }

    // Skips the fields behind the value of a duplicate.
    std::size_t skip_tail(std::string_view bytes) {
        resp::Message& message = pool_.message_;
        const resp::Parsed parsed = resp::parse(bytes, message);
        if (parsed == resp::Parsed::kPartial) return 0;
        if (parsed != resp::Parsed::kWhole || message.array) {
            end({});
            return bytes.size();
        }
        if (++tail_items_ == kTailItems) part_ = Part::kHead;
        return message.size;
    }

    // Nothing is sent to the client before the value's first byte arrives: until then a retry is possible. At
    // the attempt's timeout the head alone is sent: the endpoint is answering, so the attempt is not cut.
    std::size_t begin_value(std::string_view bytes, const resp::Message& message) {
        const std::string_view start = bytes.substr(message.size);
        const bool may_be_duplicate = reused_ && last_value_.size == message.left;
        const std::size_t wanted = may_be_duplicate ? proxy::ReplyFingerprint::kPrefix : 1;
        if (start.size() < wanted && !streams_at_once_) {
            has_value_head_ = true;
            return 0;
        }
        if (may_be_duplicate && start.size() >= wanted &&
            judge(proxy::ReplyFingerprint(start, message.left), false) == ReplyVerdict::kDuplicate) {
            note_duplicate();
            part_ = Part::kDuplicateValue;
            value_left_ = message.left + kLineEnd.size();
            return message.size;
        }
        value_start_.clear();
        value_size_ = value_left_ = message.left;
        const std::size_t head = message.size;
        part_ = Part::kValue;
        loop().disarm(std::exchange(timer_, {}));
        if (pool_.gateway_.value_begins(request_, value_left_) == proxy::RequestManager::Wanted::kNothing) {
            end({Stage::kAnswering, Ending::kGivenUp, {}, 0, {}, {}});
            return bytes.size();
        }
        return head + pass_value(bytes.substr(head));
    }

    std::size_t pass_value(std::string_view bytes) {
        using Wanted = proxy::RequestManager::Wanted;
        const std::size_t size = std::min(value_left_, bytes.size());
        arm(loop().now() + kStreamStallTimeout);
        if (size > 0) {
            value_left_ -= size;
            const std::size_t compared = proxy::ReplyFingerprint::kPrefix - value_start_.size();
            value_start_.append(bytes.substr(0, std::min(size, compared)));
            const Wanted next = pool_.gateway_.value_piece(request_, bytes.substr(0, size));
            if (closing()) return bytes.size();  // the client disconnected meanwhile
            if (next == Wanted::kNothing) {
                end({Stage::kAnswering, Ending::kGivenUp, {}, 0, {}, {}});
                return bytes.size();
            }
            if (next == Wanted::kPause) read_more(false);
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
        arm(loop().now() + kTailTimeout);
        note_value({value_start_, value_size_});
        pool_.gateway_.value_ends(request_);
        pool_.adapt_reuse_limit({}, true);
        return size + kLineEnd.size();
    }

    // Reads the usage and the load report after a long value. The value has already been delivered, whatever
    // they contain.
    std::size_t read_tail(std::string_view bytes) {
        std::size_t taken = 0;
        resp::Message& message = pool_.message_;
        while (tail_items_ < kTailItems) {
            const resp::Parsed parsed = resp::parse(bytes.substr(taken), message);
            if (parsed == resp::Parsed::kPartial) return taken;
            if (parsed != resp::Parsed::kWhole || message.array) {
                end(tail_);
                return bytes.size();
            }
            taken += message.size;
            resp::read_reply_field(message.items.front().text, tail_items_++, tail_);
        }
        end(tail_, taken == bytes.size() && leads_to_listed_process());
        return bytes.size();
    }

    void on_end(int) override {
        const bool at_once = loop().now() - started_ < pool_.bounds_.connect_timeout / 10;
        if (busy_ && reused_ && !answering_ && at_once)
            pool_.adapt_reuse_limit(started_ - idle_since_, false);
        if (busy_) end(part_ == Part::kTail ? tail_ : AttemptEnd{});
    }

    void on_released() override {
        loop().disarm(timer_);
        leave_idle();
        const auto at = pool_.endpoints_.find(endpoint);
        if (at != pool_.endpoints_.end()) {
            for (auto* all : {&at->second.idle, &at->second.open}) {
                all->erase(std::remove(all->begin(), all->end(), self), all->end());
            }
        }
        pool_.connections_.remove(self);
    }

    // Of a reply. A value that is too long to be buffered is read apart from what comes before and behind it.
    enum class Part { kHead, kValue, kTail, kDuplicateValue, kDuplicateTail };
    static constexpr std::string_view kLineEnd = "\r\n";
    static constexpr int kTailItems = 2;  // usage, load report

    UpstreamPool& pool_;
    const std::uint64_t process_;
    Handle request_;
    const proxy::Payload* payload_ = nullptr;  // kept by the request manager during the attempt
    std::string_view body_left_;               // of the payload, still to be written
    Part part_ = Part::kHead;                  // of the reply that is expected next
    std::size_t value_left_ = 0;               // bytes of a long value still to arrive
    AttemptEnd tail_;                          // result after a long value, with the fields read so far
    int tail_items_ = 0;
    Timestamp until_{};
    Timestamp due_{};
    Timestamp write_by_{};
    Timestamp reply_bytes_at_{};    // when bytes of a reply last came
    Duration reply_began_after_{};  // its first bytes, since the request was written
    Timestamp idle_since_{};
    Timestamp started_{};
    Handle timer_;
    std::list<Handle>::iterator idle_position_;
    bool is_idle_ = false;
    bool connected_ = false;
    bool busy_ = false;
    bool answering_ = false;
    bool counted_in_tries_ = false;  // in tries_
    bool reused_ = false;
    bool has_value_head_ = false;         // of a long value that has not begun to be passed on
    bool is_held_ = false;                // a suspected reply, until more follows
    bool accepts_held_ = false;           // nothing has followed it in time
    bool streams_at_once_ = false;        // a long value, without waiting for its first bytes
    bool skipped_duplicate_ = false;      // a duplicate of the previous reply came in place of this one
    Timestamp written_at_{};              // when the kernel had accepted the request's last byte; 0: not yet
    proxy::ReplyFingerprint last_value_;  // of the connection's previous reply
    std::string value_start_;             // of a long value, as much as is compared
    std::size_t value_size_ = 0;          // of a long value
};

UpstreamPool::UpstreamPool(Loop& loop, proxy::RequestManager& gateway, Bounds bounds)
    : loop_(loop), gateway_(gateway), bounds_(bounds), max_reuse_idle_(bounds.idle) {}
UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::close() {
    connections_.for_each([](Handle, Connection& connection) { connection.close(); });
}

void UpstreamPool::retire(bool on) {
    retiring_ = on;
    if (on) close_idle_above(0);
}

void UpstreamPool::limit(std::size_t connections) {
    bounds_.connections = connections;
    close_idle_above(connections);
}

// Closes the longest idle connections until at most this many connections remain or none is idle.
void UpstreamPool::close_idle_above(std::size_t max_connections) {
    std::size_t surplus = connections_.size() > max_connections ? connections_.size() - max_connections : 0;
    for (auto at = idle_by_age_.begin(); at != idle_by_age_.end() && surplus > 0; ++at) {
        Connection* const longest = connections_.find(*at);
        if (!longest || longest->closing()) continue;
        longest->close();
        --surplus;
    }
}

Handle UpstreamPool::start(Handle request, const EndpointId& endpoint, const proxy::Payload& payload,
                           const Limits& limits) {
    Connection* connection = connection_to(endpoint);
    if (!connection) {
        gateway_.attempt_ended(request, {});
        return {};
    }
    connection->begin(request, &payload, limits);
    return connection->self;
}

void UpstreamPool::give_up(Handle attempt) {
    Connection* connection = connections_.find(attempt);
    if (connection && connection->busy())
        connection->end({Stage::kUnconnected, Ending::kGivenUp, {}, 0, {}, {}});
}

void UpstreamPool::client_gone(Handle attempt) {
    const Connection* connection = connections_.find(attempt);
    if (connection && connection->is_pointless_without_client()) give_up(attempt);
}

bool UpstreamPool::is_unsent(Handle attempt) {
    const Connection* connection = connections_.find(attempt);
    return connection && connection->is_request_unsent();
}

void UpstreamPool::go_on(Handle attempt) {
    Connection* connection = connections_.find(attempt);
    if (connection && connection->busy()) connection->go_on();
}

void UpstreamPool::probe(const EndpointId& endpoint) {
    if (Connection* connection = connection_to(endpoint)) {
        const Timestamp until = loop_.now() + kProbeTimeout;
        connection->begin({}, nullptr, {until, until, Timestamp::max()});
    } else {
        gateway_.probed(endpoint, Outcome::kConnectFailed, {});
    }
}

// Returns the most recently used idle connection, or a new one.
UpstreamPool::Connection* UpstreamPool::connection_to(const EndpointId& id) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end() || !at->second.is_usable) return nullptr;
    Endpoint& endpoint = at->second;
    // Surplus bytes after a reply would be taken for the next reply. A connection is therefore reused only
    // after a short time and if nothing is unread on it.
    const Timestamp now = loop_.now();
    for (std::size_t i = endpoint.idle.size(); i-- > 0;) {
        Connection* idle = connections_.find(endpoint.idle[i]);
        if (idle && !idle->closing() && now - idle->idle_since() < kMinIdleTime) continue;
        endpoint.idle.erase(endpoint.idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (!idle || idle->closing()) continue;
        if (idle->is_quiet() && now - idle->idle_since() < max_reuse_idle_) return idle;
        idle->close();
    }
    if (!make_room()) return nullptr;
    const Handle handle = connections_.add(loop_, *this, id, endpoint.process);
    Connection* connection = connections_.find(handle);
    connection->self = handle;
    endpoint.open.push_back(handle);
    if (connection->connect(endpoint.to) != 0) {
        connection->close();
        return nullptr;
    }
    return connection;
}

// Adapts to endpoints or middleboxes that drop idle connections sooner than the settings say and reset the
// next request on them: a non-idempotent request that may have run cannot be retried, while a new connection
// is cheap. A reset halves the idle time allowed for reuse; each served request lengthens it slightly.
void UpstreamPool::adapt_reuse_limit(Duration idle_time, bool good) {
    constexpr int kGrowthDivisor = 400;
    const Duration next =
        good ? max_reuse_idle_ + max_reuse_idle_ / kGrowthDivisor : std::min(max_reuse_idle_, idle_time) / 2;
    max_reuse_idle_ = std::clamp(next, kMinIdleTime, bounds_.idle);
}

bool UpstreamPool::make_room() {
    if (connections_.size() < bounds_.connections) return true;
    for (const Handle idle : idle_by_age_) {
        Connection* const longest = connections_.find(idle);
        if (!longest || longest->closing()) continue;  // already closing
        longest->close();
        return true;
    }
    return false;
}

// Takes time proportional to the number of entries, and for a whole list to the number of known endpoints.
void UpstreamPool::told(const std::vector<proxy::DiscoveredEndpoint>& entries, bool whole) {
    ++update_number_;
    for (const proxy::DiscoveredEndpoint& listed : entries) {
        Endpoint& endpoint = endpoints_[listed.entry.id];
        const bool fresh = endpoint.address != listed.address || endpoint.started != listed.entry.started;
        if (fresh) {
            release_connections(endpoint);
            update_address_index(listed.entry.id, endpoint.address, listed.address);
            endpoint.address = listed.address;
            endpoint.started = listed.entry.started;
            endpoint.process = ++last_process_;
        }
        endpoint.last_update = update_number_;
        endpoint.is_usable = listed.entry.state == policy::EndpointState::kInService &&
                             read_address(listed.address, endpoint.to);
    }
    // Removes endpoints that are gone, on a whole list as on a change, so that new ids cannot grow the table.
    for (const proxy::DiscoveredEndpoint& listed : entries) {
        const auto at = endpoints_.find(listed.entry.id);
        if (at == endpoints_.end() || at->second.is_usable) continue;
        release_connections(at->second);
        if (listed.entry.state == policy::EndpointState::kRemoved) remove_endpoint(listed.entry.id);
    }
    if (whole) remove_unlisted();
    for (const proxy::DiscoveredEndpoint& listed : entries) drop_predecessors(listed.address);
}

void UpstreamPool::remove_unlisted() {
    std::vector<EndpointId> gone;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint.last_update != update_number_) gone.push_back(id);
    }
    for (const EndpointId& id : gone) remove_endpoint(id);
}

void UpstreamPool::remove_endpoint(const EndpointId& id) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end()) return;
    at->second.is_usable = false;
    release_connections(at->second);
    update_address_index(id, at->second.address, {});
    endpoints_.erase(id);
}

void UpstreamPool::update_address_index(const EndpointId& id, const std::string& from,
                                        const std::string& to) {
    if (const auto at = ids_by_address_.find(from); at != ids_by_address_.end()) {
        auto& ids = at->second;
        ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
        if (ids.empty()) ids_by_address_.erase(at);
    }
    if (!to.empty()) ids_by_address_[to].push_back(id);
}

// Of the endpoints that are listed at an address, only the one that started last is there: requests for an
// earlier one would reach it without its slow start and its drain.
void UpstreamPool::drop_predecessors(const std::string& address) {
    const auto at = ids_by_address_.find(address);
    if (at == ids_by_address_.end() || at->second.size() < 2) return;
    proxy::Timestamp last_start{};
    for (const EndpointId& id : at->second) last_start = std::max(last_start, endpoints_.at(id).started);
    for (const EndpointId& id : at->second) {
        Endpoint& endpoint = endpoints_.at(id);
        if (!endpoint.is_usable || endpoint.started >= last_start) continue;
        endpoint.is_usable = false;
        release_connections(endpoint);
    }
}

// Closes the idle connections and ends the attempts that are not written yet: on a connection that comes up
// later they would reach an endpoint that no longer accepts requests.
void UpstreamPool::release_connections(Endpoint& endpoint) {
    for (const Handle idle : std::exchange(endpoint.idle, {})) {
        if (Connection* connection = connections_.find(idle)) connection->close();
    }
    const std::vector<Handle> open = endpoint.open;  // end() removes them from endpoint.open
    for (const Handle one : open) {
        Connection* const connection = connections_.find(one);
        if (connection && connection->is_request_unsent()) connection->end({});
    }
}

}  // namespace linnetlead::net
