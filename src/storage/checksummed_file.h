// Checksummed files and atomic replacement of files, for state that a process reads back at its next start.
//
// A checksummed file is one line "KIND CHECKSUM", the checksum being XXH64 over all that follows in 16 hex
// digits, and behind it the text as one zstd frame. A file that was cut short, altered or written by another
// version fails to decode as a whole; no part of it is ever used.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "common/error.h"

namespace linnetlead::storage {

// Bounds the memory that a damaged or hostile frame can make a reader allocate.
constexpr std::size_t kMaxDecompressedBytes = 256 * 1024 * 1024;
constexpr mode_t kOwnerOnly = 0600;  // state may name tenants

// One zstd frame that states its content's size.
std::string compress(const std::string& text);
// kDataLoss: not one whole zstd frame with a stated size, or its content is longer than `max_bytes`.
Result<std::string> decompress(std::string_view bytes, std::size_t max_bytes = kMaxDecompressedBytes);

// `kind` names the content and its version, without an end of line.
std::string encode_checksummed(std::string_view kind, const std::string& text);
// kInvalidArgument: of another kind or version; kDataLoss: the checksum or the frame is wrong.
Result<std::string> decode_checksummed(std::string_view kind, std::string_view bytes);

// Replaces the file by way of PATH.part.PID, fsync and rename, so that after a crash either the old or the
// new content is there whole. Blocks on the disk. kIo: the old content stands.
Status replace_file(const std::string& path, const std::string& bytes, mode_t mode = kOwnerOnly);
// Removes what processes that have ended amid replace_file() have left beside the file.
void remove_abandoned_parts(const std::string& path);
// The whole file; blocks on the disk. kNotFound: there is none; kIo: it is there, and cannot be read whole.
// Messages name the path and the system's error.
Result<std::string> read_file(const std::string& path);

}  // namespace linnetlead::storage
