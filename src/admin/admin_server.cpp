#include "admin/admin_server.h"

#include <utility>

#include "net/stream.h"

namespace linnetlead::net {

using proxy::Handle;
using proxy::Timestamp;

namespace {

// Guards the descriptors against callers that never finish a call, and against those that never hang up.
constexpr proxy::Duration kPatience = std::chrono::seconds(3);

}  // namespace

class AdminServer::Caller final : public Stream {
public:
    Caller(Loop& loop, AdminServer& server) : Stream(loop), came(loop.now()), server_(server) {
        timer_ = loop.arm(came + kPatience, [this] { close(); });
    }

    const Timestamp came;
    Handle self;

private:
    std::size_t on_bytes(std::string_view bytes) override {
        if (answered_) return bytes.size();
        const auto state = reader_.take(bytes);
        if (state == admin::CallReader::State::kPartial) return bytes.size();
        answered_ = true;
        const bool whole = state == admin::CallReader::State::kWhole;
        to_write() = admin::write_reply(whole ? server_.carry_(reader_.command()) : reader_.rejection());
        finish();
        return bytes.size();
    }
    void on_end(int) override {}
    void on_released() override {
        loop().disarm(timer_);
        server_.callers_.remove(self);
    }

    AdminServer& server_;
    admin::CallReader reader_;
    Handle timer_;
    bool answered_ = false;
};

AdminServer::AdminServer(Loop& loop, Carry carry) : loop_(loop), carry_(std::move(carry)), listener_(loop) {}
AdminServer::~AdminServer() = default;

int AdminServer::listen(const sockaddr_storage& address) {
    return listener_.open(address, false, [this](uv_stream_t* l, int status) { on_connection(l, status); });
}

void AdminServer::on_connection(uv_stream_t* listener, int status) {
    if (status < 0) return;
    Caller* oldest = nullptr;
    std::size_t open = 0;
    callers_.for_each([&](Handle, Caller& caller) {
        if (caller.closing()) return;
        ++open;
        if (!oldest || caller.came < oldest->came) oldest = &caller;
    });
    if (open >= kMaxCallers) oldest->close();
    const Handle handle = callers_.add(loop_, *this);
    Caller& caller = *callers_.find(handle);
    caller.self = handle;
    if (caller.accept(listener) != 0) caller.close();
}

void AdminServer::close() {
    listener_.close();
    callers_.for_each([](Handle, Caller& caller) { caller.close(); });
}

}  // namespace linnetlead::net
