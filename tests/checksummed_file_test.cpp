// Checksummed files: a damaged or truncated file must never decode, and a file that an earlier release wrote
// must still decode.
#include "storage/checksummed_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "testing/socket_peer.h"

namespace linnetlead {
namespace {

constexpr const char* kKind = "linnetlead-test 1";
const std::string kText = "first line\nsecond line\n";

TEST(ChecksummedFile, DecodesFileOfEarlierRelease) {
    const auto bytes = storage::read_file(LINNETLEAD_TEST_DATA "/checksummed_file.bin");
    ASSERT_TRUE(bytes) << bytes.error().message;
    const auto text = storage::decode_checksummed(kKind, *bytes);
    ASSERT_TRUE(text) << text.error().message;
    EXPECT_EQ(*text, kText);
    EXPECT_EQ(storage::encode_checksummed(kKind, kText).substr(0, 18), bytes->substr(0, 18));
}

TEST(ChecksummedFile, RejectsDamagedOrTruncatedFile) {
    const std::string good = storage::encode_checksummed(kKind, kText);
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string damaged = good;
        damaged[i] = static_cast<char>(damaged[i] ^ 1);
        EXPECT_FALSE(storage::decode_checksummed(kKind, damaged)) << i;
        EXPECT_FALSE(storage::decode_checksummed(kKind, good.substr(0, i))) << i;
    }
    std::string damaged = good;
    damaged.back() = static_cast<char>(damaged.back() ^ 1);
    EXPECT_EQ(storage::decode_checksummed(kKind, damaged).error().code, ErrorCode::kDataLoss);
    EXPECT_EQ(storage::decode_checksummed("linnetlead-test 2", good).error().code,
              ErrorCode::kInvalidArgument);
}

TEST(ChecksummedFile, RejectsFrameOverSizeLimit) {
    const std::string frame = storage::compress(std::string(1000, 'a'));
    EXPECT_EQ(storage::decompress(frame, 999).error().code, ErrorCode::kDataLoss);
    EXPECT_EQ(storage::decompress(frame, 1000)->size(), 1000u);
}

// A failed replacement leaves the old content in place.
TEST(ChecksummedFile, ReplacesFileCompletelyOrNotAtAll) {
    const std::string path = test_support::temporary_path("state");
    EXPECT_TRUE(storage::replace_file(path, "old"));
    EXPECT_TRUE(storage::replace_file(path, "new"));
    EXPECT_EQ(*storage::read_file(path), "new");
    EXPECT_EQ(storage::replace_file(path + "/within", "x").error().code, ErrorCode::kIo);
    EXPECT_EQ(*storage::read_file(path), "new");
    unlink(path.c_str());
    EXPECT_EQ(storage::read_file(path).error().code, ErrorCode::kNotFound);
    EXPECT_EQ(storage::read_file(path + "/within").error().code, ErrorCode::kNotFound);
}

}  // namespace
}  // namespace linnetlead
