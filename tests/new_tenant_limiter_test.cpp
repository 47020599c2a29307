// The new-tenant limiter under a flood of new accounts: bounded memory, established accounts are served, and
// a new account that keeps trying is admitted.
#include "proxy/new_tenant_limiter.h"

#include <gtest/gtest.h>

#include <random>

#include "proxy/ports.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using proxy::NewTenantLimiter;

std::string name_of(std::uint64_t number) { return std::to_string(number); }

TEST(NewTenantLimiter, BoundsAFloodOfNewAccountsAndServesEstablishedOnes) {
    NewTenantLimiter limiter(2000);
    std::mt19937_64 random(1);
    std::uint64_t next = 1'000'000, asked = 0, served = 0, passed = 0;
    for (proxy::Timestamp now = 100s; now < 170s; now += 1ms) {
        if (random() % 5 == 0) {  // 200 requests per second from 100 accounts
            const bool good = limiter.passes(now, name_of(random() % 100));
            if (now > 110s) ++asked, served += good;
        }
        if (now < 110s || now > 140s) continue;
        for (int i = 0; i < 27; ++i) passed += limiter.passes(now, name_of(++next));
        ASSERT_LE(limiter.accounts(), 2000u);
        if (now > 111s) {
            ASSERT_TRUE(limiter.is_limiting(now));
        }
    }
    EXPECT_EQ(served, asked);
    // What filled the table, then 1/20 of 200 per second plus five per second.
    EXPECT_LE(passed, 1800u + 30 * (10 + 5) + 20);
    EXPECT_FALSE(limiter.is_limiting(170s));
    EXPECT_TRUE(limiter.passes(170s, "new"));
    EXPECT_GT(limiter.turned_away(), 700'000u);
}

TEST(NewTenantLimiter, AdmitsAnAccountThatKeepsTryingDuringAFlood) {
    NewTenantLimiter limiter(2000);
    std::uint64_t next = 1'000'000;
    for (proxy::Timestamp now = 1s; now < 10s; now += 1ms) {  // establishes 50 accounts
        if (now / 1ms % 10 == 0) limiter.passes(now, name_of(static_cast<std::uint64_t>(now / 10ms) % 50));
    }
    int passed_late = 0, late = 0;
    for (proxy::Timestamp now = 10s; now < 130s; now += 1ms) {
        for (int i = 0; i < 3; ++i) limiter.passes(now, name_of(++next));
        if (now / 1ms % 4 == 0) limiter.passes(now, name_of(static_cast<std::uint64_t>(now / 4ms) % 50));
        if (now / 1ms % 500 == 0) {
            const bool passes = limiter.passes(now, "persistent");
            if (now > 110s) ++late, passed_late += passes;
        }
    }
    EXPECT_EQ(passed_late, late);
}

TEST(NewTenantLimiter, AdmitsManyAccountsWithFewRequestsEach) {
    NewTenantLimiter limiter(14'000);
    std::mt19937_64 random(2);
    std::uint64_t rejected = 0;
    for (proxy::Timestamp now = 1s; now < 121s;
         now += 2ms) {  // 500 requests per second; 1% of 100,000 accounts send half
        const std::uint64_t account = random() % 2 == 0 ? random() % 1000 : random() % 100'000;
        rejected += !limiter.passes(now, name_of(account));
    }
    EXPECT_EQ(rejected, 0u);
    EXPECT_LT(limiter.accounts(), 14'000u);
}

}  // namespace
}  // namespace linnetlead
