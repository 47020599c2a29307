// Guards against unintended changes of behaviour and formats: compares the digests of whole simulated runs of
// relays and gateways with known values, and frames, records and saved states with fixture files.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "testing/simulated_regions.h"

namespace linnetlead {
namespace {

using namespace distribution;

// A digest covers the order of sends, the bytes sent and the event texts of a run, so that a refactoring that
// changes any of them fails here. It includes compressed snapshots. If another zstd version changes the
// digests, regenerate them from a program without any other change.
struct KnownRun {
    std::uint64_t seed;
    std::size_t target_followers;  // above it, a relay asks followers to leave
    std::uint64_t digest;
};
class DistributionDigest : public testing::TestWithParam<KnownRun> {};

TEST_P(DistributionDigest, SeededRunWithFaultsHasTheKnownDigest) {
    const auto run = test_support::run_random(GetParam().seed, false, GetParam().target_followers);
    EXPECT_EQ(run.problem, "");
    EXPECT_GT(run.faults, 0U);
    EXPECT_EQ(run.digest, GetParam().digest);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DistributionDigest,
                         testing::Values(KnownRun{1, 200, 10657122955962354670ULL},
                                         KnownRun{248, 200, 4974957834602202492ULL},
                                         KnownRun{77, 2, 17442475917080011358ULL}));

std::string read_fixture(const std::string& name) {
    std::ifstream file(std::string(LINNETLEAD_TEST_DATA) + "/" + name, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// A fleet is upgraded one process at a time, so each version has to read the frames of the previous one, and
// write frames that it can read. The fixture has one frame of each type, in the order of the variant, and one
// record of each kind.
TEST(DistributionFormats, ReadsFramesOfThePreviousVersionAndWritesTheSameBytes) {
    const std::string bytes = read_fixture("distribution_frames.bin");
    ASSERT_EQ(bytes.size(), 716U);
    FrameReader reader;
    std::string_view rest = bytes;
    std::string written;
    for (std::size_t type = 0; type < std::variant_size_v<Frame>; ++type) {
        Frame frame;
        Rejection rejection = Rejection::kNone;
        ASSERT_EQ(reader.take(rest, frame, rejection), FrameReader::State::kFrame) << type;
        EXPECT_EQ(frame.index(), type);
        written += write(frame);
    }
    EXPECT_TRUE(rest.empty());
    EXPECT_EQ(written, bytes);
}

// The state that a gateway of the previous version saved: two active keys, one change withdrawn, one
// scheduled and one undecided. A restarted gateway has to continue from it without a snapshot.
TEST(DistributionFormats, RestoresAStateOfThePreviousVersionAndSavesTheSameBytes) {
    const std::string bytes = read_fixture("follower_state.bin");
    ASSERT_EQ(bytes.size(), 410U);
    Follower::Settings settings;
    settings.name = "g1";
    settings.relays = {0};
    Follower follower(settings, {});
    const Timestamp now = std::chrono::hours(500000);
    ASSERT_TRUE(follower.restore(now, bytes));
    EXPECT_EQ(follower.last_index(), 8U);
    EXPECT_EQ(follower.activation_index(), 5U);
    EXPECT_EQ(follower.revision(), 2U);
    EXPECT_EQ(follower.store().size(), 2U);
    EXPECT_EQ(follower.store().find("pool/a"), std::optional<std::string_view>("{\"share\":0.5}"));
    EXPECT_TRUE(follower.has_pending());
    EXPECT_EQ(follower.save(), bytes);
}

}  // namespace
}  // namespace linnetlead
