// Sends datagrams within a rate limit. The agreement's datagrams and those of other modules have separate
// budgets, so that neither can starve the other. Used by ConfigAgreement.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cluster/agreement/agreement_codec.h"
#include "cluster/agreement/membership.h"

namespace linnetlead::agreement {

// A token bucket with a capacity of one second's worth of datagrams.
class DatagramBudget {
public:
    explicit DatagramBudget(double datagrams_per_s) : datagrams_per_s_(datagrams_per_s) {}
    // Takes one token; false if there is none.
    bool take_token(Timestamp now);

private:
    double datagrams_per_s_;
    double tokens_ = 0;
    Timestamp filled_at_{};
};

class DatagramSender {
public:
    using Send = std::function<void(int to, const std::string& datagram)>;
    enum class Priority {
        kWithinBudget,
        kAlways,  // uses the budget, but is sent even if it is exhausted
    };
    // held_back: datagrams not sent because the budget was exhausted.
    struct Counts {
        std::uint64_t sent = 0, bytes = 0, held_back = 0;
    };

    // `send` and `members` outlive the sender. `datagrams_per_s`: the limit for both budgets together.
    DatagramSender(const Send& send, const Membership& members, double datagrams_per_s);

    // False if the datagram was held back.
    bool send(Timestamp now, int to, Message message, Priority priority = Priority::kWithinBudget);
    // Sends a datagram of another module; false if it was held back.
    bool send_application(Timestamp now, int to, const std::string& payload);
    const Counts& counts() const { return counts_; }

private:
    // The share of the limit that is reserved for other modules.
    static constexpr double kApplicationShare = 0.35;
    void write(int to, Message message);

    const Send& send_;
    const Membership& members_;
    DatagramBudget agreement_, application_;
    Counts counts_;
    std::uint64_t datagrams_written_ = 0;
};

}  // namespace linnetlead::agreement
