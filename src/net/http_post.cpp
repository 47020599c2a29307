#include "net/http_post.h"

#include <utility>

#include "net/http/http_message.h"
#include "net/stream.h"

namespace linnetlead::net {

using proxy::Handle;

class HttpPost::Connection final : public Stream {
public:
    Connection(Loop& loop, HttpPost& owner, std::string message, proxy::Duration within)
        : Stream(loop), owner_(owner), message_(std::move(message)) {
        timer_ = loop.arm(loop.now() + within, [this] {
            timer_ = {};
            end({});
        });
    }
    Handle self;
    void end(const Answer& answer) {
        const bool told = std::exchange(told_, true);
        close();
        if (!told) owner_.finish(answer);
    }

private:
    void on_connected() override { to_write() = std::move(message_); }
    std::size_t on_bytes(std::string_view bytes) override {
        std::size_t taken = 0;
        const auto state = reader_.take(bytes, taken);
        if (state == http::ResponseReader::State::kWhole) {
            end({reader_.status(), reader_.body()});
        } else if (state == http::ResponseReader::State::kMalformed) {
            end({});
        }
        return bytes.size();
    }
    void on_end(int error) override {
        std::size_t taken = 0;
        const bool whole = error == UV_EOF && reader_.take({}, taken) == http::ResponseReader::State::kWhole;
        end(whole ? Answer{reader_.status(), reader_.body()} : Answer{});
    }
    void on_released() override {
        loop().disarm(timer_);
        owner_.connections_.remove(self);
    }

    HttpPost& owner_;
    std::string message_;
    http::ResponseReader reader_;
    Handle timer_;
    bool told_ = false;
};

HttpPost::HttpPost(Loop& loop, const sockaddr_storage& to, std::string host)
    : loop_(loop), to_(to), host_(std::move(host)) {}
HttpPost::~HttpPost() = default;

bool HttpPost::post(const std::string& path, const std::string& headers, const std::string& body,
                    proxy::Duration within, std::function<void(const Answer&)> done) {
    if (busy()) return false;
    std::string message = "POST " + path + " HTTP/1.1\r\nHost: " + host_ + "\r\nConnection: close\r\n" +
                          headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const Handle handle = connections_.add(loop_, *this, std::move(message), within);
    Connection& connection = *connections_.find(handle);
    connection.self = handle;
    done_ = std::move(done);
    if (connection.connect(to_) == 0) return true;
    done_ = {};
    connection.close();
    return false;
}

void HttpPost::finish(const Answer& answer) {
    if (const auto done = std::exchange(done_, {})) done(answer);
}

void HttpPost::close() {
    done_ = {};
    connections_.for_each([](Handle, Connection& connection) { connection.close(); });
}

}  // namespace linnetlead::net
