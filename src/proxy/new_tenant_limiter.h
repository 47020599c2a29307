// Bounds the number of recently seen accounts. The decision module keeps state for every account that sent a
// request within the last intervals. A client that uses a new account for each request would exhaust the
// memory, and would reach the endpoints with a full token bucket for each account. When the table is nearly
// full, accounts that are not established are admitted only at a small fraction of the established accounts'
// request rate. Quotas are not affected: the module sees an admitted request under its own account. Called by
// the request manager for every request. No I/O, no clock.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "linnetlead/policy.h"

namespace linnetlead::proxy {

using policy::Duration;
using policy::Timestamp;

class NewTenantLimiter {
public:
    // `max_accounts`: capacity of the table; 0: no bound, and nothing is stored.
    explicit NewTenantLimiter(std::size_t max_accounts) : max_accounts_(max_accounts) {}

    // Records a request of the account. False: the request has to be rejected.
    bool passes(Timestamp now, const std::string& account);

    std::size_t accounts() const { return accounts_.size(); }
    bool is_limiting(Timestamp now) const { return now < limiting_until_; }
    std::uint64_t turned_away() const { return rejected_; }

    // Memory per account, here and in the decision module.
    static constexpr std::size_t kBytesEach = 700;

private:
    struct Seen {
        Timestamp first{}, last{};
        std::uint32_t requests = 0;
        std::list<std::uint64_t>::iterator place;  // in its list, which is ordered by `last`
        bool established = false;
    };
    // Removes expired accounts.
    void expire(Timestamp now);
    bool take_token(Timestamp now);

    std::size_t max_accounts_;
    std::unordered_map<std::uint64_t, Seen> accounts_;
    std::list<std::uint64_t> new_accounts_, established_;  // by last request, oldest first
    Timestamp limiting_until_{};
    std::uint64_t new_in_second_ = 0;  // accounts first seen since counted_since_
    Timestamp counted_since_{};
    double tokens_ = 0;
    Timestamp tokens_at_{};
    std::uint64_t rejected_ = 0;
};

}  // namespace linnetlead::proxy
