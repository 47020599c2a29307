// Prepared statements: the first lines of bodies, the records, and simulated gateways in virtual time, with
// changes of statements and schemas, faults injected at numbered points, and safeguards disabled.
#include "cluster/statements/prepared_statements.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/statement_workload.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using namespace statements;
using proxy::Duration;
using test_support::Fault;
using test_support::SimulatedCluster;
using test_support::StatementWorkload;
using test_support::StatementWorkloadSettings;
using Answer = StatementWorkload::Answer;

TEST(StatementCatalog, ParsesTheFirstLineOfABody) {
    EXPECT_EQ(parse_head("plain body").kind, RequestHead::Kind::kNone);
    EXPECT_EQ(parse_head("formal").kind, RequestHead::Kind::kNone);
    const RequestHead execute = parse_head("form bom.steel\nqty=4");
    EXPECT_EQ(execute.kind, RequestHead::Kind::kExecute);
    EXPECT_EQ(execute.name, "bom.steel");
    EXPECT_EQ(execute.rest, "qty=4");
    const RequestHead define = parse_head("form bom define prices calendar\nlines\nmore");
    EXPECT_EQ(define.kind, RequestHead::Kind::kDefine);
    EXPECT_EQ(define.schemas, (std::vector<std::string>{"prices", "calendar"}));
    EXPECT_EQ(define.rest, "lines\nmore");
    EXPECT_EQ(parse_head("form bom drop").kind, RequestHead::Kind::kDrop);
    for (const char* wrong : {"form \n", "form a/b\n", "form bom define prices", "form bom drop it",
                              "form bom what", "form bom define a b c d e f g h i\nx"}) {
        EXPECT_EQ(parse_head(wrong).kind, RequestHead::Kind::kMalformed) << wrong;
    }
    EXPECT_EQ(parse_head("form " + std::string(600, 'x')).kind, RequestHead::Kind::kMalformed);
}

TEST(StatementCatalog, DistinguishesRejectionsFromOtherErrors) {
    EXPECT_TRUE(parse_rejection("ERR form bom 0123456789abcdef")->schema.empty());
    EXPECT_EQ(parse_rejection("ERR schema prices 8")->version, 8u);
    EXPECT_FALSE(parse_rejection("ERR failed"));
    EXPECT_FALSE(parse_rejection("ERR form"));
}

RC_GTEST_PROP(StatementRecord, DecodesWhatWasEncoded, ()) {
    agreement::Record record;
    record.key = definition_key("bom");
    record.number = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const auto text = *rc::gen::arbitrary<std::string>();
    record.value = encode_definition({"prices"}, text);
    const auto statement = decode_definition(record);
    RC_ASSERT(statement && statement->text == text &&
              statement->schemas == std::vector<std::string>{"prices"});
    const auto list = decode_catalog(encode_catalog({*statement}));
    RC_ASSERT(list && list->size() == 1 && list->front().stamp == statement->stamp);
    Statement other = *statement;
    other.text += "x";
    RC_ASSERT(edition_of(other) != statement->edition);
    RC_ASSERT(preparation_key(*statement, {{"prices", 7}}) != preparation_key(*statement, {{"prices", 8}}));
}

// ---- Simulated gateways in virtual time -------------------------------------------------------------------

// Three gateways and four endpoints, all with version 7 of the schema `prices`.
struct StatementFixture : StatementWorkload {
    explicit StatementFixture(const std::function<void(StatementWorkloadSettings&)>& with = {})
        : StatementWorkload([&] {
              StatementWorkloadSettings settings;
              if (with) with(settings);
              return settings;
          }()) {
        for (int i = 0; i < 4; ++i) move(i, "prices", 7);
        fleet.run_until([&] { return fleet.settled(0); }, 4s);
        give_file(0, 1, {{"prices", 7}});
        fleet.run_until([&] { return fleet.with(1) == 3; }, 5s);
    }
    bool define(const std::string& text, const std::string& name = "bom", int gateway = 0) {
        const int request = ask(gateway, "form " + name + " define prices\n" + text);
        return fleet.run_until([&] { return answer(request) == Answer::kServed; }, 3s);
    }
    bool ready(const std::string& name = "bom") {
        return fleet.run_until([&] { return prepared_everywhere(name); }, 5s);
    }
    // The share of served requests among those that end within `time`.
    double share_served(Duration time) {
        const auto good = served, bad = rejected + failed;
        fleet.run_for(time);
        const auto ended = served - good + rejected + failed - bad;
        return static_cast<double>(served - good) / static_cast<double>(ended);
    }
};

TEST(PreparedStatements, StatementIsPreparedOnceOnEachEndpointAndServedByAllGateways) {
    StatementFixture fixture;
    ASSERT_TRUE(fixture.define("text one"));
    ASSERT_TRUE(fixture.all_have("bom", "text one"));
    ASSERT_TRUE(fixture.ready());
    fixture.load(true);
    EXPECT_GT(fixture.share_served(5s), 0.99);
    EXPECT_EQ(fixture.prepares, 4u);
    EXPECT_EQ(fixture.prepares_again, 0u);
    EXPECT_EQ(fixture.answer(fixture.ask(1, "form unknown\n")), Answer::kFailed);
    EXPECT_EQ(fixture.answer(fixture.ask(1, "form a/b\n")), Answer::kFailed);
    EXPECT_EQ(fixture.broken + fixture.audit.broken, "");
}

TEST(PreparedStatements, OneOfTwoConcurrentDefinitionsIsActiveEverywhereAndTheOtherFails) {
    StatementFixture fixture;
    const int one = fixture.ask(0, "form bom define prices\nleft"),
              other = fixture.ask(2, "form bom define prices\nright");
    fixture.fleet.run_for(3s);
    ASSERT_NE(fixture.answer(one), fixture.answer(other));
    const bool left = fixture.answer(one) == Answer::kServed;
    EXPECT_EQ(fixture.answer(left ? other : one), Answer::kFailed);
    EXPECT_TRUE(fixture.all_have("bom", left ? "left" : "right"));
}

TEST(PreparedStatements, ChangeOfTextOrSchemaNeverServesAnAccountAnOlderVersion) {
    StatementFixture fixture;
    ASSERT_TRUE(fixture.define("text one"));
    ASSERT_TRUE(fixture.ready());
    fixture.load(true);
    fixture.fleet.run_for(2s);
    ASSERT_TRUE(fixture.define("text two", "bom", 1));
    fixture.fleet.run_for(2s);
    EXPECT_GT(fixture.share_served(2s), 0.99);
    // Endpoints change to the new schema one by one: half of them before the gateways, half after them.
    fixture.move(0, "prices", 8);
    fixture.move(1, "prices", 8);
    EXPECT_GT(fixture.share_served(2s), 0.9) << "endpoints with the old schema have to serve";
    fixture.give_file(2, 2, {{"prices", 8}});
    ASSERT_TRUE(fixture.fleet.run_until([&] { return fixture.fleet.with(2) == 3; }, 5s));
    fixture.fleet.run_for(2s);
    EXPECT_GT(fixture.share_served(2s), 0.9);
    fixture.move(2, "prices", 8);
    fixture.move(3, "prices", 8);
    ASSERT_TRUE(fixture.ready());
    EXPECT_GT(fixture.share_served(2s), 0.99);
    EXPECT_EQ(fixture.prepares_again, 0u);
    EXPECT_EQ(fixture.broken + fixture.audit.broken, "");
    EXPECT_LE(fixture.audit.longest_old, fixture.fleet.agreement(0).longest_contradiction());
}

TEST(PreparedStatements, RollbackDuringASchemaChangeIsANewVersionOfTheFile) {
    StatementFixture fixture;
    ASSERT_TRUE(fixture.define("text"));
    ASSERT_TRUE(fixture.ready());
    fixture.load(true);
    fixture.move(0, "prices", 8);
    fixture.move(1, "prices", 8);
    fixture.give_file(0, 2, {{"prices", 8}});
    ASSERT_TRUE(fixture.fleet.run_until([&] { return fixture.fleet.with(2) == 3; }, 5s));
    fixture.move(0, "prices", 9);  // the old schema again, with a new version
    fixture.move(1, "prices", 9);
    for (int i = 2; i < 4; ++i) fixture.move(i, "prices", 9);
    fixture.give_file(1, 3, {{"prices", 9}});
    ASSERT_TRUE(fixture.fleet.run_until([&] { return fixture.fleet.with(3) == 3; }, 5s));
    ASSERT_TRUE(fixture.ready());
    EXPECT_GT(fixture.share_served(3s), 0.99);
    EXPECT_EQ(fixture.broken + fixture.audit.broken, "");
}

TEST(PreparedStatements, TwoSchemasChangeTogether) {
    StatementFixture fixture;
    for (int i = 0; i < 4; ++i) fixture.move(i, "calendar", 1);
    fixture.give_file(0, 2, {{"prices", 7}, {"calendar", 1}});
    ASSERT_TRUE(fixture.fleet.run_until([&] { return fixture.fleet.with(2) == 3; }, 5s));
    const int request = fixture.ask(0, "form both define prices calendar\nx");
    ASSERT_TRUE(fixture.fleet.run_until([&] { return fixture.answer(request) == Answer::kServed; }, 3s));
    ASSERT_TRUE(fixture.ready("both"));
    for (int i = 0; i < 4; ++i) {
        fixture.move(i, "prices", 8);
        fixture.move(i, "calendar", 2);
    }
    fixture.give_file(0, 3, {{"prices", 8}, {"calendar", 2}});
    ASSERT_TRUE(fixture.fleet.run_until([&] { return fixture.fleet.with(3) == 3; }, 5s));
    ASSERT_TRUE(fixture.ready("both"));
    EXPECT_EQ(fixture.prepares_again, 0u);
    EXPECT_EQ(fixture.broken + fixture.audit.broken, "");
}

TEST(PreparedStatements, LostStatementIsPreparedAgainAndNeverTwiceRequestsGoElsewhere) {
    StatementFixture fixture([](StatementWorkloadSettings& settings) { settings.never_twice = 1; });
    ASSERT_TRUE(fixture.define("text"));
    ASSERT_TRUE(fixture.ready());
    fixture.load(true);
    fixture.fleet.run_for(1s);
    fixture.lose(2);  // the endpoint list does not show the loss
    EXPECT_GT(fixture.share_served(3s), 0.99);
    fixture.restart(1);
    EXPECT_GT(fixture.share_served(3s), 0.99);
    EXPECT_TRUE(fixture.ready());
    EXPECT_EQ(fixture.broken + fixture.audit.broken, "");
}

TEST(PreparedStatements, DroppedStatementStaysDroppedThroughAPartition) {
    StatementFixture fixture([](StatementWorkloadSettings& settings) {
        settings.statement_names = {"bom", "kit"};
    });
    ASSERT_TRUE(fixture.define("text"));
    ASSERT_TRUE(fixture.define("other", "kit"));
    ASSERT_TRUE(fixture.ready("kit"));
    fixture.load(true);
    fixture.fleet.part({2});
    fixture.fleet.run_for(3s);
    const int request = fixture.ask(0, "form bom drop");
    ASSERT_TRUE(fixture.fleet.run_until([&] { return fixture.answer(request) == Answer::kServed; }, 6s));
    EXPECT_EQ(fixture.answer(fixture.ask(2, "form kit\n")), Answer::kRejected)
        << "a fenced gateway must not execute statements";
    fixture.fleet.run_for(3s);
    fixture.fleet.heal();
    EXPECT_TRUE(fixture.fleet.run_until([&] { return fixture.none_has("bom"); }, 8s));
    fixture.fleet.run_for(5s);
    EXPECT_TRUE(fixture.none_has("bom"));
    EXPECT_GT(fixture.share_served(2s), 0.4) << "half of the requests execute the dropped statement";
    EXPECT_EQ(fixture.broken + fixture.audit.broken, "");
}

TEST(PreparedStatements, FullCatalogRejectsNewStatementsAndKeepsItsOwn) {
    StatementFixture fixture(
        [](StatementWorkloadSettings& settings) { settings.statement_settings.prepares_per_s = 2000; });
    ASSERT_TRUE(fixture.define("text"));
    fixture.load(true);
    // A gateway that is fenced briefly during a change rejects the definition: the second round retries it.
    for (int round = 0; round < 2; ++round) {
        for (std::size_t i = 1; i < kMaxStatements; ++i) {
            const std::string name = "f" + std::to_string(i);
            if (fixture.statements(0).catalog().count(name) > 0) continue;
            fixture.ask(static_cast<int>(i % 3), "form " + name + " define prices\nx");
            if (i % 8 == 0) fixture.fleet.run_for(200ms);
        }
        fixture.fleet.run_until([&] { return fixture.statements(0).catalog().size() == kMaxStatements; },
                                40s);
    }
    ASSERT_EQ(fixture.statements(0).catalog().size(), kMaxStatements);
    fixture.fleet.run_for(5s);
    EXPECT_EQ(fixture.answer(fixture.ask(0, "form one.more define prices\nx")), Answer::kRejected);
    EXPECT_GT(fixture.share_served(2s), 0.99);
    EXPECT_EQ(fixture.prepares_again, 0u);
}

TEST(PreparedStatements, ExecutionWaitsForAnEndpointAndIsRejectedBeforeItsDeadline) {
    StatementFixture fixture;
    for (int i = 0; i < 4; ++i) fixture.move(i, "prices", 6);
    ASSERT_TRUE(fixture.define("text"));
    const int request = fixture.ask(1, "form bom\n");
    EXPECT_EQ(fixture.answer(request), Answer::kNone);
    fixture.fleet.run_for(1800ms);
    EXPECT_EQ(fixture.answer(request), Answer::kRejected);
    const int late = fixture.ask(1, "form bom\n");
    fixture.move(3, "prices", 7);
    fixture.fleet.run_for(1500ms);
    EXPECT_EQ(fixture.answer(late), Answer::kServed);
}

// With a safeguard disabled the fault has to appear.
TEST(PreparedStatements, WithoutOneKeeperEachGatewayPreparesForItself) {
    StatementFixture fixture([](StatementWorkloadSettings& settings) {
        settings.statement_settings.test_seams.every_gateway_prepares = true;
    });
    ASSERT_TRUE(fixture.define("text"));
    fixture.load(true);
    fixture.fleet.run_for(3s);
    EXPECT_GT(fixture.prepares_again, 0u);
}

// Redefines a statement under load, with several seeds; returns the rules that were violated.
std::string violations_of_redefinition(bool waits, Duration skew) {
    std::string broken;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        StatementFixture fixture([&](StatementWorkloadSettings& settings) {
            settings.fleet.seed = seed;
            settings.fleet.max_skew = skew;
            settings.calls_per_s = 600;
            settings.accounts = 3;
            settings.statement_settings.test_seams.without_exclusive_wait = !waits;
            settings.statement_settings.prepares_per_s = 200;
        });
        fixture.define("one");
        fixture.ready();
        fixture.load(true);
        fixture.fleet.run_for(500ms);
        fixture.define("two", "bom", 1);
        fixture.fleet.run_for(1s);
        broken += fixture.broken + fixture.audit.broken;
    }
    return broken;
}

TEST(PreparedStatements, ExclusiveWaitKeepsAnAccountFromAnOlderVersion) {
    EXPECT_EQ(violations_of_redefinition(true, 340ms), "");
    EXPECT_NE(violations_of_redefinition(false, 340ms), "") << "without the wait";
}

// ---- One fault at each numbered point ---------------------------------------------------------------------

// Changes a statement and a schema during an injected fault; returns what is wrong afterwards, empty if
// nothing.
std::string run_with_fault(const std::function<void(SimulatedCluster&)>& prepare) {
    StatementFixture fixture([](StatementWorkloadSettings& settings) {
        settings.fleet.lost = 0.02;
        settings.calls_per_s = 30;
        settings.accounts = 4;
    });
    fixture.define("one");
    fixture.ready();
    fixture.load(true);
    fixture.fleet.run_for(300ms);
    prepare(fixture.fleet);
    if (fixture.fleet.runs(1)) fixture.ask(1, "form bom define prices\ntwo");
    fixture.fleet.run_for(400ms);
    fixture.move(0, "prices", 8);
    fixture.move(1, "prices", 8);
    if (fixture.fleet.runs(2)) fixture.give_file(2, 2, {{"prices", 8}});
    fixture.fleet.run_for(1200ms);
    fixture.fleet.inject({});
    fixture.fleet.run_for(4500ms);
    for (int i = 0; i < 4; ++i) fixture.move(i, "prices", fixture.fleet.with(2) > 0 ? 8 : 7);
    const auto has_converged = [&] {
        const bool same = fixture.all_have("bom", "one") || fixture.all_have("bom", "two");
        return same && fixture.prepared_everywhere("bom") &&
               fixture.fleet.settled(fixture.fleet.with(2) > 0 ? 2 : 1);
    };
    if (!fixture.fleet.run_until(has_converged, 15s)) return "no common catalog after the fault";
    return fixture.broken + fixture.audit.broken + fixture.fleet.broken;
}

TEST(PreparedStatementsFaults, RulesHoldAfterEachFaultAtEverySixthPoint) {
    const auto all = test_support::at_each_point(
        run_with_fault, {Fault::kDrop, Fault::kLate, Fault::kCrash, Fault::kStall, Fault::kPart}, 6);
    EXPECT_GT(all.points, 60u);
    for (const std::string& failure : all.failures) ADD_FAILURE() << failure;
    std::printf("%llu points, %llu runs\n", static_cast<unsigned long long>(all.points),
                static_cast<unsigned long long>(all.runs));
}

}  // namespace
}  // namespace linnetlead
