// Outgoing connections that carry distribution frames. FrameLink is one connection: of a gateway or relay to
// the relay that it follows, of a command-line tool to a relay, or of one voter to another. VoterLinks holds
// a voter's links to all others.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cluster/distribution/frames.h"
#include "common/slot_map.h"
#include "net/stream.h"

namespace linnetlead::transport {

using distribution::Frame;
using distribution::Rejection;
using net::Loop;

// A connection that decodes frames. A malformed frame ends it, after an error frame has been sent.
class FrameStream : public net::Stream {
public:
    FrameStream(Loop& loop, std::size_t max_frame_bytes)
        : net::Stream(loop), reader_(max_frame_bytes), last_received_at_(loop.now()) {}
    void send_frame(const Frame& frame) { to_write().append(distribution::write(frame)); }
    proxy::Timestamp last_received_at() const { return last_received_at_; }
    // True: there are unsent bytes, and none has been sent for at least `timeout`.
    bool is_stalled(proxy::Duration timeout);

private:
    virtual void on_frame(const Frame& frame) = 0;
    virtual void on_malformed(Rejection rejection) = 0;
    std::size_t on_bytes(std::string_view bytes) override;

    distribution::FrameReader reader_;
    proxy::Timestamp last_received_at_, stalled_since_{};
    std::size_t last_unsent_ = 0;
};

// At most one connection at a time.
class FrameLink {
public:
    struct Callbacks {
        std::function<void()> connected;
        std::function<void()> disconnected;  // the connection or the attempt ended; not called for hang_up()
        std::function<void(const Frame& frame)> frame_received;
    };
    FrameLink(Loop& loop, Callbacks callbacks) : loop_(loop), callbacks_(std::move(callbacks)) {}
    ~FrameLink() { close(); }
    FrameLink(const FrameLink&) = delete;
    FrameLink& operator=(const FrameLink&) = delete;

    // Gives up an existing connection. Results in connected() or disconnected(), never during this call.
    void connect(const std::string& address, proxy::Duration within);
    void hang_up();
    // Does nothing if there is no connection.
    void send(const Frame& frame);
    bool is_up() const { return up_; }
    std::size_t unsent();  // bytes
    // See FrameStream::is_stalled().
    bool is_stalled(proxy::Duration timeout);
    void close() { hang_up(); }

private:
    class Connection;
    Connection* current();

    Loop& loop_;
    Callbacks callbacks_;
    // The current connection and those that are still being closed.
    std::shared_ptr<proxy::SlotMap<Connection>> connections_;
    proxy::Handle current_, timer_;
    bool up_ = false;
};

// A voter's links to all other voters, opened on demand. A message that cannot be sent now is dropped.
class VoterLinks {
public:
    struct Limits {
        std::size_t max_unsent_bytes = 4 * 1024 * 1024;  // per voter; beyond, messages are dropped
        proxy::Duration connect_timeout = std::chrono::milliseconds(1000);
        // Between attempts; doubles with each failure, with jitter.
        proxy::Duration min_backoff = std::chrono::milliseconds(100);
        proxy::Duration max_backoff = std::chrono::milliseconds(1000);
        // A link that sends nothing of its unsent bytes for so long is closed and opened anew.
        proxy::Duration stall_timeout = std::chrono::seconds(3);
        // After so long without a message, an empty one is sent.
        proxy::Duration keepalive_interval = std::chrono::seconds(2);
    };
    // `addresses` are those of the voters by number. A link is opened when the first message is to be sent.
    VoterLinks(Loop& loop, int self, std::vector<std::string> addresses, std::uint64_t seed, Limits limits);
    void send(int voter, const std::string& message);
    void tick(proxy::Timestamp now);
    void close();
    std::uint64_t dropped() const { return dropped_; }

private:
    struct Link {
        std::string address;
        std::unique_ptr<FrameLink> link;
        bool is_connecting = false;
        proxy::Timestamp next_attempt{}, last_sent_at{};
        proxy::Duration backoff{};
    };
    void on_disconnected(Link& link);

    Loop& loop_;
    int self_;
    Limits limits_;
    std::vector<Link> links_;
    std::mt19937_64 random_;
    std::uint64_t dropped_ = 0;
};

}  // namespace linnetlead::transport
