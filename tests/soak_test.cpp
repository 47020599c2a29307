// Short form of the soak: each seed is a test of its own, a play of real processes under drawn disruptions.
#include <gtest/gtest.h>

#include "testing/soak/play.h"
#include "testing/soak/report.h"

namespace linnetlead {
namespace {

using namespace test_support::soak;

class Soak : public testing::TestWithParam<int> {};

// Guards against any promise to clients, endpoints or operators being broken by restarts, signals and faults
// at arbitrary moments. A play whose own clients were held up says nothing, and is played anew.
TEST_P(Soak, KeepsEveryPromise) {
    constexpr int kPlays = 12;  // on a machine so busy that every other one is void, one says something
    const Scenario scenario = draw(static_cast<std::uint64_t>(GetParam()));
    for (int plays = 0; plays < kPlays; ++plays) {
        const Record record = play(scenario, LINNETLEAD_PROGRAM);
        const Verdict verdict = judge(scenario, record);
        if (verdict.is_void) {
            std::printf("void: %s", report_of(scenario, record, verdict).c_str());
            continue;
        }
        EXPECT_TRUE(verdict.broken.empty()) << report_of(scenario, record, verdict);
        EXPECT_GT(verdict.served, 0u);
        return;
    }
    FAIL() << "void " << kPlays << " times: the machine is too busy for a verdict";
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, testing::Range(1, 9));

}  // namespace
}  // namespace linnetlead
