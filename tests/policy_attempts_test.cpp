// Tests of attempts: what follows each outcome, and what may be retried.
#include <stdexcept>

#include "harness.h"

namespace linnetlead::policy::testing {
namespace {

TEST(SettingsCheck, ErrorNamesTheInvalidSetting) {
    Recorder out;
    const auto error_of = [&](const Settings& s) {
        try {
            const Policy p(s, 1, 0s, out);
        } catch (const std::invalid_argument& e) {
            return std::string(e.what());
        }
        return std::string();
    };
    Settings s = make_settings();
    s.classes.clear();
    EXPECT_NE(error_of(s).find("classes"), std::string::npos);
    s = make_settings();
    s.plans[0].rate = -1;
    EXPECT_NE(error_of(s).find("plans.rate"), std::string::npos);
    s = make_settings();
    s.self = 2;
    EXPECT_NE(error_of(s).find("self"), std::string::npos);
    EXPECT_EQ(error_of(make_settings()), "");
}

TEST(Attempts, NoAttemptFollowsASuccess) {
    Gateway g;
    const auto id = g.submit();
    ASSERT_EQ(g.out.sent.size(), 1U);
    g.resolve(id, Outcome::kOk);
    EXPECT_EQ(g.out.sent.size(), 1U);
    EXPECT_TRUE(g.out.rejected.empty());
    EXPECT_TRUE(g.out.failed.empty());
}

// Whether an attempt is retried, by idempotency and outcome.
struct RetryCase {
    Idempotency idempotency;
    Outcome outcome;
    bool is_retried;
};
class RetryTest : public ::testing::TestWithParam<RetryCase> {};
TEST_P(RetryTest, RetriesOnlyWhatMayRunAgain) {
    Gateway g(make_settings(GetParam().idempotency));
    const auto id = g.submit();
    g.resolve(id, GetParam().outcome);
    EXPECT_EQ(g.sends(id), GetParam().is_retried ? 2 : 1);
    EXPECT_TRUE(g.out.rejected.empty());
    EXPECT_EQ(g.out.failed.size(), GetParam().is_retried ? 0U : 1U);
}
INSTANTIATE_TEST_SUITE_P(Classes, RetryTest,
                         ::testing::Values(RetryCase{Idempotency::kIdempotent, Outcome::kTimeout, true},
                                           RetryCase{Idempotency::kIdempotent, Outcome::kReset, true},
                                           RetryCase{Idempotency::kIdempotent, Outcome::kError, true},
                                           RetryCase{Idempotency::kIdempotent, Outcome::kRejected, true},
                                           RetryCase{Idempotency::kIdempotent, Outcome::kConnectFailed, true},
                                           RetryCase{Idempotency::kKeyed, Outcome::kTimeout, true},
                                           RetryCase{Idempotency::kKeyed, Outcome::kReset, true},
                                           RetryCase{Idempotency::kKeyed, Outcome::kError, true},
                                           RetryCase{Idempotency::kNonIdempotent, Outcome::kTimeout, false},
                                           RetryCase{Idempotency::kNonIdempotent, Outcome::kReset, false},
                                           RetryCase{Idempotency::kNonIdempotent, Outcome::kError, false},
                                           RetryCase{Idempotency::kNonIdempotent, Outcome::kCancelled, false},
                                           RetryCase{Idempotency::kNonIdempotent, Outcome::kRejected, true},
                                           RetryCase{Idempotency::kNonIdempotent, Outcome::kConnectFailed,
                                                     true}));

TEST(AttemptRules, KeyedRequestIsRetriedOnlyWhereItsKeyIsKnown) {
    for (const KeyScope scope : {KeyScope::kZone, KeyScope::kCell}) {
        // The only other endpoint is outside the zone or cell of the one that may have run the request.
        Gateway g(make_settings(Idempotency::kKeyed, scope), {make_endpoint("a", "z1", 1)});
        const auto id = g.submit();
        g.policy.on_endpoint_list(g.now, EndpointListKind::kChanges,
                                  {make_endpoint("b", scope == KeyScope::kZone ? "z2" : "z1", 2)});
        g.resolve(id, Outcome::kReset);
        EXPECT_EQ(g.sends(id), 1);
        EXPECT_EQ(g.out.failed.size(), 1U) << "a rejection would state that the request has not run";
        EXPECT_TRUE(g.out.rejected.empty());
    }
    Gateway same_cell(make_settings(Idempotency::kKeyed, KeyScope::kCell),
                      {make_endpoint("a", "z1", 1), make_endpoint("b", "z1", 1)});
    const auto id = same_cell.submit();
    same_cell.resolve(id, Outcome::kReset);
    EXPECT_EQ(same_cell.sends(id), 2);
}

TEST(AttemptRules, KeyedRequestIsNotRetriedAfterItsKeyWindow) {
    Settings s = make_settings(Idempotency::kKeyed);
    s.classes[0].key_window = 100ms;
    Gateway g(s);
    const auto id = g.submit();
    g.resolve(id, Outcome::kReset, 95ms);
    EXPECT_EQ(g.sends(id), 1);
    EXPECT_EQ(g.out.rejected.size(), 1U);  // all endpoints deduplicate its retries, so it may be rejected
}

TEST(Attempts, TimeoutAtTheDeadlineFailsAtOnce) {
    Gateway g(make_settings(Idempotency::kNonIdempotent));
    const auto id = g.submit(1, "u", 1, 0, 500ms);
    ASSERT_EQ(g.out.sent.size(), 1U);
    EXPECT_LE(g.out.sent[0].timeout, 500ms);
    g.resolve(id, Outcome::kTimeout, 500ms);
    EXPECT_EQ(g.out.failed, std::vector<RequestId>{id});
}

TEST(Attempts, WithdrawnRequestIsNeitherRetriedNorAnswered) {
    Gateway g;
    const auto id = g.submit();
    g.policy.on_withdrawn(g.now, id);
    g.resolve(id, Outcome::kReset);
    EXPECT_EQ(g.sends(id), 1);
    EXPECT_TRUE(g.out.rejected.empty());
    EXPECT_TRUE(g.out.failed.empty());
}

TEST(AttemptTimeouts, IdempotentRequestIsRetriedElsewhereWithinItsObjective) {
    for (const bool may_hedge : {true, false}) {
        Settings s = make_settings(Idempotency::kIdempotent);
        s.may_hedge = may_hedge;
        Gateway g(s);
        const auto id = g.submit();
        EXPECT_LE(g.out.sent.at(0).timeout, 600ms) << "half of the objective";
        g.run_to(g.now + 400ms);
        EXPECT_EQ(g.sends(id), 1);
        g.resolve(id, Outcome::kTimeout, 200ms);
        ASSERT_EQ(g.sends(id), 2);
        EXPECT_NE(g.out.sent[0].endpoint, g.out.sent[1].endpoint);
    }
    Gateway non_idempotent(make_settings(Idempotency::kNonIdempotent));
    non_idempotent.submit();
    EXPECT_GE(non_idempotent.out.sent.at(0).timeout, 900ms)
        << "no retry is allowed, so it gets the whole time";
}

TEST(Policy, EventsOnUnknownRequestsEndpointsAndCountsAreIgnored) {
    Gateway g;
    AttemptResult r;
    r.id = 999;
    r.endpoint = "nobody";
    g.policy.on_result(g.now, r);
    g.policy.on_withdrawn(g.now, 999);
    g.policy.on_counter_reply(g.now, "nothing", CounterStatus::kOk, 5);
    g.policy.on_probe_result(g.now, "nobody", Outcome::kOk, {});
    Request bad;
    bad.id = 5;
    bad.traffic_class = 9;
    g.policy.on_request(g.now, bad);
    EXPECT_TRUE(g.out.sent.empty());
    EXPECT_TRUE(g.out.rejected.empty());
}

}  // namespace
}  // namespace linnetlead::policy::testing
