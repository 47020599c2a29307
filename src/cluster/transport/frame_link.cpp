#include "cluster/transport/frame_link.h"

#include <algorithm>
#include <utility>

namespace linnetlead::transport {

using proxy::Duration;
using proxy::Handle;
using proxy::Timestamp;

std::size_t FrameStream::on_bytes(std::string_view bytes) {
    last_received_at_ = loop().now();
    std::string_view rest = bytes;
    while (!closing() && !finishing()) {
        Frame frame;
        Rejection rejection = Rejection::kNone;
        const auto state = reader_.take(rest, frame, rejection);
        if (state == distribution::FrameReader::State::kPartial) break;
        if (state == distribution::FrameReader::State::kWrong) {
            send_frame(distribution::Error{rejection, distribution::rejection_message(rejection)});
            finish();
            on_malformed(rejection);
            break;
        }
        on_frame(frame);
    }
    return bytes.size();
}

bool FrameStream::is_stalled(Duration timeout) {
    const std::size_t unsent_bytes = unsent();
    if (unsent_bytes == 0 || unsent_bytes < last_unsent_ || stalled_since_ == Timestamp{}) {
        stalled_since_ = unsent_bytes == 0 ? Timestamp{} : loop().now();
    }
    last_unsent_ = unsent_bytes;
    return unsent_bytes > 0 && loop().now() - stalled_since_ >= timeout;
}

// ---- FrameLink ------------------------------------------------------------------------------------------

class FrameLink::Connection final : public FrameStream {
public:
    Connection(Loop& loop, FrameLink& link, std::shared_ptr<proxy::SlotMap<Connection>> connections)
        : FrameStream(loop, distribution::kMaxFrameBytes),
          link_(&link),
          connections_(std::move(connections)) {}
    Handle self;
    void detach() { link_ = nullptr; }

private:
    void on_connected() override {
        if (!link_) return;
        loop().disarm(std::exchange(link_->timer_, {}));
        link_->up_ = true;
        link_->callbacks_.connected();
    }
    void on_frame(const Frame& frame) override {
        if (link_) link_->callbacks_.frame_received(frame);
    }
    void on_malformed(Rejection) override { end(); }
    void on_end(int) override { end(); }
    void end() {
        FrameLink* const link = std::exchange(link_, nullptr);
        if (!link) return;
        loop().disarm(std::exchange(link->timer_, {}));
        link->current_ = {};
        link->up_ = false;
        link->callbacks_.disconnected();
    }
    void on_released() override {
        const auto connections = connections_;  // keeps the map alive while it destroys this object
        connections->remove(self);
    }

    FrameLink* link_;
    std::shared_ptr<proxy::SlotMap<Connection>> connections_;
};

FrameLink::Connection* FrameLink::current() { return connections_ ? connections_->find(current_) : nullptr; }

void FrameLink::connect(const std::string& address, Duration timeout) {
    hang_up();
    if (!connections_) connections_ = std::make_shared<proxy::SlotMap<Connection>>();
    sockaddr_storage to{};
    if (net::read_address(address, to)) {
        current_ = connections_->add(loop_, *this, connections_);
        Connection& connection = *connections_->find(current_);
        connection.self = current_;
        if (connection.connect(to) == 0) {
            timer_ = loop_.arm(loop_.now() + timeout, [this] {
                hang_up();
                callbacks_.disconnected();
            });
            return;
        }
        hang_up();
    }
    timer_ = loop_.arm(loop_.now(), [this] {
        timer_ = {};
        callbacks_.disconnected();
    });
}

void FrameLink::hang_up() {
    loop_.disarm(std::exchange(timer_, {}));
    up_ = false;
    Connection* const connection = current();
    current_ = {};
    if (!connection) return;
    connection->detach();
    if (!connection->closing()) connection->close();
}

void FrameLink::send(const Frame& frame) {
    Connection* const connection = current();
    if (connection && up_ && !connection->closing() && !connection->finishing())
        connection->send_frame(frame);
}

std::size_t FrameLink::unsent() {
    const Connection* const connection = current();
    return connection ? connection->unsent() : 0;
}

bool FrameLink::is_stalled(Duration timeout) {
    Connection* const connection = current();
    return connection && up_ && connection->is_stalled(timeout);
}

// ---- VoterLinks -----------------------------------------------------------------------------------------

VoterLinks::VoterLinks(Loop& loop, int self, std::vector<std::string> addresses, std::uint64_t seed,
                       Limits limits)
    : loop_(loop), self_(self), limits_(limits), links_(addresses.size()), random_(seed) {
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        Link& link = links_[i];
        link.address = std::move(addresses[i]);
        link.backoff = limits_.min_backoff;
        link.link = std::make_unique<FrameLink>(
            loop_, FrameLink::Callbacks{[this, &link] {
                                            link.is_connecting = false;
                                            link.backoff = limits_.min_backoff;
                                        },
                                        [this, &link] { on_disconnected(link); }, [](const Frame&) {}});
    }
}

void VoterLinks::on_disconnected(Link& link) {
    link.is_connecting = false;
    std::uniform_real_distribution<double> jitter(0.5, 1);
    link.next_attempt =
        loop_.now() +
        Duration{static_cast<std::int64_t>(static_cast<double>(link.backoff.count()) * jitter(random_))};
    link.backoff = std::min(2 * link.backoff, limits_.max_backoff);
}

void VoterLinks::send(int voter, const std::string& message) {
    if (voter < 0 || voter == self_ || static_cast<std::size_t>(voter) >= links_.size()) return;
    Link& link = links_[static_cast<std::size_t>(voter)];
    if (!link.link->is_up()) {
        ++dropped_;
        if (!link.is_connecting && loop_.now() >= link.next_attempt) {
            link.is_connecting = true;
            link.link->connect(link.address, limits_.connect_timeout);
        }
        return;
    }
    if (link.link->unsent() + message.size() > limits_.max_unsent_bytes) {
        ++dropped_;
        return;
    }
    link.last_sent_at = loop_.now();
    link.link->send(distribution::Voter{self_, message});
}

void VoterLinks::tick(Timestamp now) {
    for (Link& link : links_) {
        if (link.link->is_stalled(limits_.stall_timeout)) {
            link.link->hang_up();
            on_disconnected(link);
        } else if (link.link->is_up() && now - link.last_sent_at >= limits_.keepalive_interval) {
            link.last_sent_at = now;
            link.link->send(distribution::Voter{self_, {}});
        }
    }
}

void VoterLinks::close() {
    for (Link& link : links_) link.link->close();
}

}  // namespace linnetlead::transport
