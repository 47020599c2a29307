// The shared counter for sites without a counter service. The name of a counter selects the gateway of the
// group that stores it; the other gateways send that one their requests as datagrams. Without it each of
// hundreds of gateways would know only its own usage, and an even share of a small quota admits almost
// nothing.
//
// A request is one datagram, and so is its reply; if either is lost, the request times out. A gateway that
// stops answering is skipped for a while, and its counters restart from zero at the next gateway in the
// name's rendezvous order. All gateways select the same one once they have noticed the failure.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "proxy/ports.h"

namespace linnetlead::net {

class PeerCounter final : public proxy::CounterPort {
public:
    static constexpr proxy::Duration kTimeout =
        std::chrono::milliseconds(80);  // datagrams take about 20 ms one way
    using Send = std::function<void(int to, std::string_view)>;
    using Counted = std::function<void(const std::string& name, policy::CounterStatus, double total)>;

    // `self` is this gateway's index among `gateways`.
    PeerCounter(proxy::Timers& timers, int gateways, int self, Send send, Counted counted);

    void add(const std::string& name, double amount, proxy::Duration life) override;
    // Handles a datagram from another gateway. Malformed or unexpected datagrams are dropped.
    void heard(int from, std::string_view datagram);

    std::size_t kept() const { return totals_.size(); }
    static constexpr std::size_t kMaxKept = 32768;    // counters; requests for further names are rejected
    static constexpr std::size_t kMaxWaiting = 4096;  // requests without a reply; further ones are rejected

private:
    struct Total {
        double sum = 0;
        proxy::Timestamp end{};
    };
    struct Waiting {
        std::string name;
        int owner = 0;
    };
    struct Owner {
        int misses = 0;  // consecutive requests without a reply
        proxy::Timestamp skipped_until{};
    };

    int select_owner(std::uint64_t name) const;
    // Adds to a counter stored here. Null: there is no room for a new counter.
    const double* add_to_total(std::uint64_t name, double amount, proxy::Duration life);
    void finish(std::uint32_t number, policy::CounterStatus status, double total);
    void time_out(std::uint32_t number);

    proxy::Timers& timers_;
    int self_;
    Send send_;
    Counted counted_;
    std::vector<Owner> owners_;
    std::unordered_map<std::uint64_t, Total> totals_;  // counters stored here, by the hash of their name
    proxy::Timestamp last_sweep_{};
    std::unordered_map<std::uint32_t, Waiting> waiting_;
    std::unordered_map<std::string, std::deque<std::uint32_t>>
        order_;  // request numbers of a name, oldest first
    std::uint32_t last_number_ = 0;
};

}  // namespace linnetlead::net
