#include "proxy/one_shot_client.h"

#include <utility>

namespace linnetlead::net {

class OneShotClient::Connection final : public Stream {
public:
    Connection(Loop& loop, OneShotClient& all, std::string command, proxy::Duration within, Ended ended)
        : Stream(loop), all_(all), command_(std::move(command)), ended_(std::move(ended)) {
        timer_ = loop.arm(loop.now() + within, [this] {
            end({proxy::Stage::kWritten, proxy::Ending::kTimedOut, {}, 0, {}, {}});
        });
    }
    proxy::Handle self;

    void end(const proxy::AttemptEnd& how) {
        loop().disarm(std::exchange(timer_, {}));
        if (!closing()) close();
        if (const Ended ended = std::exchange(ended_, nullptr)) ended(how);
    }
    void forget() { ended_ = nullptr; }

private:
    void on_connected() override { to_write().append(command_); }
    std::size_t on_bytes(std::string_view bytes) override {
        resp::Message message;
        const resp::Parsed parsed = resp::parse(bytes, message);
        if (parsed == resp::Parsed::kPartial) return 0;
        end(parsed == resp::Parsed::kWhole ? resp::read_reply(message) : proxy::AttemptEnd{});
        return bytes.size();
    }
    void on_end(int) override { end({}); }
    void on_released() override {
        loop().disarm(std::exchange(timer_, {}));
        all_.connections_.remove(self);
    }

    OneShotClient& all_;
    std::string command_;
    Ended ended_;
    proxy::Handle timer_;
};

OneShotClient::OneShotClient(Loop& loop) : loop_(loop) {}
OneShotClient::~OneShotClient() = default;

void OneShotClient::ask(const std::string& address, std::string command, proxy::Duration within,
                        Ended ended) {
    sockaddr_storage to{};
    if (closed_ || connections_.size() >= kMaxPending || !read_address(address, to)) return ended({});
    const proxy::Handle handle = connections_.add(loop_, *this, std::move(command), within, std::move(ended));
    Connection& connection = *connections_.find(handle);
    connection.self = handle;
    if (connection.connect(to) != 0) connection.end({});
}

void OneShotClient::close() {
    closed_ = true;
    connections_.for_each([](proxy::Handle, Connection& connection) {
        connection.forget();
        connection.close();
    });
}

}  // namespace linnetlead::net
