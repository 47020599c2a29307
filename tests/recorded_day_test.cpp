// Compares the decisions for a recorded part of a simulated day with those of an earlier release.
//
// Guards against refactorings that change decisions by accident: random numbers are drawn, a container is
// iterated or a floating-point expression is evaluated in another order. Unit tests of single rules still
// pass then, while quotas and load drift in production.
//
// tests/data/recorded_*.in are whole batches from the start of a recorded day, as the simulator sent them to
// three (overload) and two (trouble) gateways. The expected digests are those of the output when these files
// were committed, before the decision module was split. A change that alters decisions on purpose has to
// replace the digests and say so in its commit.
#include <gtest/gtest.h>

#include <cstdint>
#include <fstream>
#include <string>

#include "simulator_adapter/simulator_link.h"

namespace linnetlead::simulator_adapter {
namespace {

constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

struct RecordedDay {
    const char* file;
    std::size_t output_bytes;
    std::uint64_t digest;  // FNV-1a, 64 bits, of the whole output
};

class RecordedDayTest : public ::testing::TestWithParam<RecordedDay> {};

TEST_P(RecordedDayTest, OutputIsThatOfTheReferenceProgram) {
    std::ifstream input(std::string(LINNETLEAD_TEST_DATA) + "/" + GetParam().file);
    ASSERT_TRUE(input) << GetParam().file;
    SimulatorLink link;
    std::uint64_t digest = kFnvOffsetBasis;
    std::size_t output_bytes = 0;
    std::string line;
    while (std::getline(input, line)) {
        const std::string reply = link.process_line(line);
        output_bytes += reply.size();
        for (const char byte : reply) digest = (digest ^ static_cast<unsigned char>(byte)) * kFnvPrime;
    }
    EXPECT_EQ(output_bytes, GetParam().output_bytes);
    EXPECT_EQ(digest, GetParam().digest);
}

INSTANTIATE_TEST_SUITE_P(Recorded, RecordedDayTest,
                         ::testing::Values(RecordedDay{"recorded_trouble.in", 83942, 0x8bb18e4ec83931e8},
                                           RecordedDay{"recorded_overload.in", 98440, 0x5871eee7ad9738c4}));

}  // namespace
}  // namespace linnetlead::simulator_adapter
