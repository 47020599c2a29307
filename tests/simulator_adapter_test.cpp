// Tests of the simulator adapter with written transcripts: its output, and its errors for malformed input.
#include <gtest/gtest.h>

#include <set>
#include <sstream>

#include "simulator_adapter/simulator_link.h"
#include "simulator_adapter/wire_terms.h"

namespace linnetlead::simulator_adapter {
namespace {

const char* const kSettings =
    "balancers=2 me=0 classes.count=1 classes.0.name=ask classes.0.aim=500000000 "
    "classes.0.deadline=2000000000 "
    "classes.0.idempotency=fragile classes.0.late_worth=0.1 tariffs.count=1 tariffs.0.name=gold "
    "tariffs.0.units_per_s=50.0 tariffs.0.most_at_once=100.0 limits.max_attempts=3 guarantees.cold_from=0.3 "
    "extra.may_count=true extra.count_limit=50000000 report.how=answers report.fields=tps,odd "
    "quantum=2000000 "
    "someday.unknown=1";

std::string boot_messages() {
    return std::string("TURN 1000 1\nBOOT 4 99 ") + kSettings +
           "\nCATALOG 3 2\nROW - 0 north std 1 IN 10.0.0.1:1\nROW 500 1 north std 1.5 LAME 10.0.0.2:1\n"
           "VIEW 4 C 7 3\nYOUR_TURN\n";
}

struct Result {
    int code;
    std::string out;
    std::string err;
};
Result run_adapter(const std::string& text) {
    std::istringstream in(text);
    std::ostringstream out;
    std::ostringstream err;
    const int code = run(in, out, err);
    return {code, out.str(), err.str()};
}

TEST(Wire, AcceptsEmptyBatchAndEndOfInput) {
    const auto r = run_adapter("TURN 8412250000 1\nYOUR_TURN\n");
    EXPECT_EQ(r.code, 0);
    EXPECT_EQ(r.out, "DONE 1\n");
    EXPECT_EQ(run_adapter("").code, 0);
}

TEST(Wire, RequestIsRelayedAndFailsWithItsAttempt) {
    const auto r = run_adapter(
        boot_messages() +
        "TURN 2000000 2\nSUBMIT 4 00c40fd25d3a91c4 ask gold u:1 1002000000 2 1 0 1\nYOUR_TURN\n"
        "TURN 9000000 3\nRESOLVED 4 00c40fd25d3a91c4 0 10.0.0.1:1 0 - 0 reset 7000000 140,x\nYOUR_TURN\n");
    EXPECT_EQ(r.code, 2) << "the load report contains a value that is not a number";
    const auto good =
        run_adapter(boot_messages() +
                    "TURN 2000000 2\nSUBMIT 4 00c40fd25d3a91c4 ask gold u:1 1002000000 2 1 0 1\nYOUR_TURN\n"
                    "TURN 9000000 3\nRESOLVED 4 00c40fd25d3a91c4 - 10.0.0.1:1 0 - 0 reset 7000000 140,1,9\n"
                    "YOUR_TURN\n");
    EXPECT_EQ(good.code, 0) << good.err;
    EXPECT_NE(good.out.find("RELAY 4 00c40fd25d3a91c4 10.0.0.1:1 1000000000\n"), std::string::npos)
        << good.out;
    EXPECT_NE(good.out.find("\nGIVE_UP 4 00c40fd25d3a91c4\n"), std::string::npos) << good.out;
}

TEST(Wire, StoppedInstanceIgnoresMessages) {
    const auto r =
        run_adapter(boot_messages() +
                    "TURN 2000000 2\nSTOP 4\nSUBMIT 4 00c40fd25d3a91c4 ask gold u:1 1002000000 2 1 0 1\n"
                    "WAKEUP 4 wake\nWITHDRAWN 4 00c40fd25d3a91c4\nYOUR_TURN\n");
    EXPECT_EQ(r.code, 0) << r.err;
    EXPECT_EQ(r.out.find("RELAY"), std::string::npos);
}

TEST(Wire, PolicyExceptionIsReportedAsGiveIn) {
    const auto r = run_adapter("TURN 1 1\nBOOT 4 99 balancers=2 me=5 classes.count=0\nYOUR_TURN\n");
    EXPECT_EQ(r.code, 0);
    EXPECT_NE(r.out.find("GIVE_IN 4 invalid setting: classes"), std::string::npos) << r.out;
}

// A word that maps to two values, or a value with two words, would be read back as something else than was
// written.
template <typename Term, std::size_t Count>
void expect_one_word_for_each_term(const std::array<config::Word<Term>, Count>& words) {
    std::set<std::string_view> texts;
    std::set<Term> terms;
    for (const auto& word : words) {
        EXPECT_FALSE(word.text.empty());
        EXPECT_TRUE(texts.insert(word.text).second) << word.text;
        EXPECT_TRUE(terms.insert(word.value).second) << word.text;
        EXPECT_EQ(config::look_up(words, word.text), word.value) << word.text;
        EXPECT_EQ(word_for(words, word.value), word.text);
    }
}

TEST(WireTerms, EachWordStandsForOneTermInBothDirections) {
    expect_one_word_for_each_term(kMessages);
    expect_one_word_for_each_term(kReplies);
    expect_one_word_for_each_term(kOutcomes);
    expect_one_word_for_each_term(kCounterStatuses);
    expect_one_word_for_each_term(kEndpointStates);
    expect_one_word_for_each_term(kEndpointListKinds);
    EXPECT_EQ(config::look_up(kMessages, "HELLO"), std::nullopt);
}

struct BadLine {
    const char* line;
    const char* message;
    const char* field;
};
class BadInput : public ::testing::TestWithParam<BadLine> {};
TEST_P(BadInput, NamesLineMessageAndField) {
    const auto r = run_adapter(boot_messages() + "TURN 2000000 2\n" + GetParam().line + "\nYOUR_TURN\n");
    EXPECT_EQ(r.code, 2);
    EXPECT_NE(r.err.find("line 9"), std::string::npos) << r.err;
    EXPECT_NE(r.err.find(GetParam().message), std::string::npos) << r.err;
    EXPECT_NE(r.err.find(GetParam().field), std::string::npos) << r.err;
}
INSTANTIATE_TEST_SUITE_P(
    Lines, BadInput,
    ::testing::Values(BadLine{"HELLO 4", "HELLO", "name"}, BadLine{"WAKEUP 4", "WAKEUP", "key_back"},
                      BadLine{"WAKEUP 4 a b", "WAKEUP", "extra field"},
                      BadLine{"WAKEUP x a", "WAKEUP", "who"}, BadLine{"WAKEUP 5 a", "WAKEUP", "who"},
                      BadLine{"VIEW 4 D 8 5", "VIEW", "page"}, BadLine{"VIEW 4 D 8 99", "VIEW", "page"},
                      BadLine{"VIEW 4 Q 8 3", "VIEW", "mode"}, BadLine{"STOP -1", "STOP", "who"},
                      BadLine{"WITHDRAWN 4 12", "WITHDRAWN", "xid"},
                      BadLine{"COUNTED 4 n maybe 3 1", "COUNTED", "status"},
                      BadLine{"COUNTED 4 n ok nan 1", "COUNTED", "sum"},
                      BadLine{"SUBMIT 4 00c40fd25d3a91c4 other gold u 1 2 1 0 1", "SUBMIT", "category"},
                      BadLine{"SUBMIT 4 00c40fd25d3a91c4 ask lead u 1 2 1 0 1", "SUBMIT", "plan"},
                      BadLine{"SUBMIT 4 00c40fd25d3a91c4 ask gold u 1 -2 1 0 1", "SUBMIT", "price_units"},
                      BadLine{"BOOT 6 1 classes.count=x", "BOOT", "classes.count"}));

}  // namespace
}  // namespace linnetlead::simulator_adapter
