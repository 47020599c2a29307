#include "proxy/new_tenant_limiter.h"

#include <algorithm>
#include <functional>

namespace linnetlead::proxy {

namespace {

using namespace std::chrono_literals;

// After the last request; the decision module may keep state of the account for as long.
constexpr Duration kNewAccountTtl = 12s;
constexpr Duration kNewAccountTtlWhileLimiting = 5s;
constexpr Duration kEstablishedTtl = 60s;
constexpr Duration kEstablishedAfter = 3s;  // and at least kEstablishedRequests
constexpr std::uint32_t kEstablishedRequests = 3;
constexpr double kNearlyFull = 0.875;    // fraction of the table
constexpr Duration kLimitingLasts = 5s;  // after a new account last found the table nearly full
constexpr double kTokensPerEstablishedRequest = 0.05;
constexpr double kTokensPerSecond = 5;
constexpr double kMaxTokens = 10;

}  // namespace

bool NewTenantLimiter::passes(Timestamp now, const std::string& account) {
    if (max_accounts_ == 0) return true;
    expire(now);
    const std::uint64_t key = std::hash<std::string>()(account);
    const auto known = accounts_.find(key);
    if (known == accounts_.end()) {
        if (static_cast<double>(accounts_.size()) >= kNearlyFull * static_cast<double>(max_accounts_)) {
            limiting_until_ = now + kLimitingLasts;
        }
        // At this rate new accounts would fill the table again: the limit stays active.
        ++new_in_second_;
        if (now - counted_since_ >= 1s) {
            const double fill_rate_per_s =
                static_cast<double>(max_accounts_) / std::chrono::duration<double>(kNewAccountTtl).count();
            if (is_limiting(now) && static_cast<double>(new_in_second_) >= fill_rate_per_s)
                limiting_until_ = now + kLimitingLasts;
            new_in_second_ = 0;
            counted_since_ = now;
        }
        const bool passes = !is_limiting(now) || take_token(now);
        if (passes && accounts_.size() < max_accounts_) {
            const auto place = new_accounts_.insert(new_accounts_.end(), key);
            accounts_.emplace(key, Seen{now, now, 1, place, false});
        }
        rejected_ += passes ? 0 : 1;
        return passes;
    }
    Seen& seen = known->second;
    ++seen.requests;
    seen.last = now;
    std::list<std::uint64_t>& before = seen.established ? established_ : new_accounts_;
    seen.established =
        seen.established || (seen.requests >= kEstablishedRequests && now - seen.first >= kEstablishedAfter);
    std::list<std::uint64_t>& list = seen.established ? established_ : new_accounts_;
    list.splice(list.end(), before, seen.place);
    if (seen.established) {
        tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerEstablishedRequest);
        return true;
    }
    const bool passes = !is_limiting(now) || take_token(now);
    rejected_ += passes ? 0 : 1;
    return passes;
}

bool NewTenantLimiter::take_token(Timestamp now) {
    const double gained = std::chrono::duration<double>(now - tokens_at_).count() * kTokensPerSecond;
    tokens_ = std::min(kMaxTokens, tokens_ + gained);
    tokens_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

// Removes a few accounts per request: more than one, since each request adds at most one.
void NewTenantLimiter::expire(Timestamp now) {
    constexpr int kMaxRemoved = 4;
    const auto drop = [&](std::list<std::uint64_t>& list, Duration ttl) {
        for (int i = 0; i < kMaxRemoved && !list.empty(); ++i) {
            const auto oldest = accounts_.find(list.front());
            if (now - oldest->second.last < ttl) return;
            list.pop_front();
            accounts_.erase(oldest);
        }
    };
    drop(new_accounts_, is_limiting(now) ? kNewAccountTtlWhileLimiting : kNewAccountTtl);
    drop(established_, kEstablishedTtl);
}

}  // namespace linnetlead::proxy
