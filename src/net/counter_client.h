// The counter service: a few connections with calls written one behind another.
#pragma once

#include <array>
#include <memory>
#include <string>

#include "core/gateway.h"
#include "resp/parser.h"
#include "stream.h"

namespace linnetlead::net {

class CounterClient final : public core::Counter {
public:
    CounterClient(Loop& loop, core::Gateway& gateway, const sockaddr_storage& address, core::Span timeout);
    ~CounterClient() override;
    // Goes over to another address. The old lines are written nothing more and end with their last answer.
    void move(const sockaddr_storage& address);
    void close();

    void add(const std::string& name, double amount, core::Span life) override;

private:
    class Line;
    // Answers for a name keep the order of its calls: a name stays on its line. Several, so that a part of
    // the service that is behind does not hold up the others.
    static constexpr std::size_t lines = 4;

    Line* open_line(std::size_t number);

    Loop& loop_;
    core::Gateway& gateway_;
    sockaddr_storage address_;
    core::Span timeout_;
    core::Slots<Line> lines_;
    std::array<core::Handle, lines> current_{};
    std::array<core::Time, lines> failed_at_{};
    core::Time silent_at_{};  // when a line was last given up for its silence
};

}  // namespace linnetlead::net
