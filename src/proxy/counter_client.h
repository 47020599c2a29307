// Client of the external counter service. Pipelines requests over a few connections and reports each result
// to the request manager.
#pragma once

#include <array>
#include <memory>
#include <string>

#include "net/stream.h"
#include "proxy/request_manager.h"
#include "proxy/resp/parser.h"

namespace linnetlead::net {

class CounterClient final : public proxy::CounterPort {
public:
    CounterClient(Loop& loop, proxy::RequestManager& gateway, const sockaddr_storage& address,
                  proxy::Duration timeout);
    ~CounterClient() override;
    // Switches to another address. The old connections get no further request and close after their last
    // reply.
    void move(const sockaddr_storage& address);
    void close();

    void add(const std::string& name, double amount, proxy::Duration life) override;

private:
    class Connection;
    // Replies for a counter name keep the order of its requests, because a name always uses the same
    // connection. There are several, so that a slow part of the service does not delay the others.
    static constexpr std::size_t kConnections = 4;

    Connection* open_connection(std::size_t number);

    Loop& loop_;
    proxy::RequestManager& gateway_;
    sockaddr_storage address_;
    proxy::Duration timeout_;
    proxy::SlotMap<Connection> connections_;
    std::array<proxy::Handle, kConnections> current_{};
    std::array<proxy::Timestamp, kConnections> failed_at_{};
    proxy::Timestamp stalled_at_{};  // when a connection was last abandoned because it stalled
};

}  // namespace linnetlead::net
