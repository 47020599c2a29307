#include "cluster/transport/relay_server.h"

#include <utility>

namespace linnetlead::transport {

using proxy::Handle;
using proxy::Timestamp;

class RelayServer::Connection final : public FrameStream {
public:
    Connection(Loop& loop, RelayServer& server)
        : FrameStream(loop, distribution::kMaxFrameBytes), server_(server) {}
    Handle self;
    Timestamp close_at{};  // 0: it is not being closed

    void close_after_sending() {
        if (closing() || finishing()) return;
        finish();
        close_at = loop().now() + server_.limits_.close_timeout;
    }
    void end() {
        if (std::exchange(is_opened_, false) && !server_.closed_) server_.callbacks_.closed(self.packed());
        if (!closing()) close();
    }
    bool is_opened() const { return is_opened_; }

private:
    void on_frame(const Frame& frame) override {
        if (const auto* voter = std::get_if<distribution::Voter>(&frame)) {
            if (!voter->message.empty())
                server_.callbacks_.voter_message_received(voter->from, voter->message);
            return;  // an empty message is a keepalive
        }
        if (!std::exchange(is_opened_, true)) server_.callbacks_.opened(self.packed());
        server_.callbacks_.frame_received(self.packed(), frame);
    }
    void on_malformed(Rejection rejection) override {
        close_at = loop().now() + server_.limits_.close_timeout;
        if (!std::exchange(is_opened_, true)) server_.callbacks_.opened(self.packed());
        server_.callbacks_.malformed(self.packed(), rejection);
    }
    void on_end(int) override { end(); }
    void on_released() override { server_.connections_.remove(self); }

    RelayServer& server_;
    bool is_opened_ = false;  // reported by opened() and not yet by closed()
};

RelayServer::RelayServer(Loop& loop, Limits limits, Callbacks callbacks)
    : loop_(loop), limits_(limits), callbacks_(std::move(callbacks)), listener_(loop) {}
RelayServer::~RelayServer() = default;

std::size_t RelayServer::sessions() const { return connections_.size(); }
RelayServer::Connection* RelayServer::find(Session session) {
    return connections_.find(Handle::unpacked(session));
}

int RelayServer::listen(const sockaddr_storage& address) {
    return listener_.open(address, false, [this](uv_stream_t* from, int status) {
        if (status < 0) return;
        const Handle handle = connections_.add(loop_, *this);
        Connection& connection = *connections_.find(handle);
        connection.self = handle;
        if (connection.accept(from) != 0 || connections_.size() > limits_.max_sessions) {
            return connection.close();  // opened() was not called
        }
    });
}

void RelayServer::send(Session session, const Frame& frame) {
    Connection* const connection = find(session);
    if (connection && !connection->closing() && !connection->finishing()) connection->send_frame(frame);
}

std::size_t RelayServer::unsent(Session session) {
    const Connection* const connection = find(session);
    return connection ? connection->unsent() : 0;
}

void RelayServer::hang_up(Session session) {
    if (Connection* const connection = find(session)) connection->close_after_sending();
}

void RelayServer::tick(Timestamp now) {
    connections_.for_each([&](Handle, Connection& connection) {
        if (connection.closing()) return;
        // The relay itself decides when a session that it knows of is silent for too long.
        const bool is_silent =
            !connection.is_opened() && now - connection.last_received_at() >= limits_.receive_timeout;
        const bool is_overdue = connection.close_at != Timestamp{} && now >= connection.close_at;
        if (is_silent || is_overdue || connection.unsent() > limits_.max_unsent_bytes) connection.end();
    });
}

void RelayServer::close() {
    closed_ = true;
    listener_.close();
    connections_.for_each([](Handle, Connection& connection) {
        if (!connection.closing()) connection.close();
    });
}

}  // namespace linnetlead::transport
