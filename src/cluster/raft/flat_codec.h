// The encoding of Raft messages and of records of the log file: a version, a checksum (XXH64) over everything
// after it, a flat CBOR array of unsigned numbers, and raw bytes whose lengths are among the numbers. No I/O.
//
//   offset 0: version (1 byte)
//   offset 1: checksum (8 bytes, big-endian)
//   offset 9: length of the array (4 bytes, big-endian)
//   offset 13: the array, then the raw bytes
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace linnetlead::raft {

constexpr std::size_t kFlatChecksumOffset = 1;
constexpr std::size_t kFlatHeaderBytes = 1 + 8 + 4;  // version, checksum, length of the array
constexpr std::size_t kMaxFlatArrayBytes = 1024 * 1024;

struct FlatRecord {
    std::vector<std::uint64_t> numbers;
    std::string_view bytes;  // points into the decoded input
};

enum class FlatError {
    kMalformed,       // truncated, wrong checksum, or not a flat array of unsigned numbers
    kUnknownVersion,  // written by another version of the program; the rest was not checked
};

// `seed` of the checksum: input that was encoded with another seed is malformed. The log file seeds each
// record with the checksum of the previous one, so that a missing record is detected.
std::string encode_flat(std::uint8_t version, const std::vector<std::uint64_t>& numbers,
                        const std::vector<std::string_view>& parts, std::uint64_t seed = 0);
tl::expected<FlatRecord, FlatError> decode_flat(std::uint8_t version, std::string_view from,
                                                std::uint64_t seed = 0);

std::uint64_t checksum_of(std::string_view bytes, std::uint64_t seed = 0);
// Appends `number` big-endian, `bytes` bytes wide.
void append_fixed(std::string& out, std::uint64_t number, int bytes);
// Reads a big-endian number from the first `bytes` bytes of `from`, which must have at least that many.
std::uint64_t read_fixed(std::string_view from, int bytes);

}  // namespace linnetlead::raft
