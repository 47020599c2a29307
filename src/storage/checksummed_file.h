// Checksummed files and atomic file replacement, for state that a process saves and reads back at its next
// start. StateFile, the Raft log store, the registry snapshot and the usage batches use it.
//
// A checksummed file starts with one line "KIND CHECKSUM", followed by the content as one zstd frame. The
// checksum is XXH64 over the frame, as 16 hex digits. A file that is truncated, altered or written by another
// version fails to decode; no part of it is used.
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

// Returns one zstd frame that states the size of its content.
std::string compress(const std::string& text);
// kDataLoss: the input is not one complete zstd frame with a stated size, or its content is longer than
// `max_bytes`.
Result<std::string> decompress(std::string_view bytes, std::size_t max_bytes = kMaxDecompressedBytes);

// `kind` names the type and version of the content; it contains no line break.
std::string encode_checksummed(std::string_view kind, const std::string& text);
// kInvalidArgument: the file has another kind or version. kDataLoss: the checksum or the frame is wrong.
Result<std::string> decode_checksummed(std::string_view kind, std::string_view bytes);

// Writes PATH.part.PID, syncs it and renames it to PATH, so that a crash leaves either the complete old or
// the complete new content. Blocks on the disk. kIo: the old content is unchanged.
Status replace_file(const std::string& path, const std::string& bytes, mode_t mode = kOwnerOnly);
// Removes the PATH.part files of processes that ended during replace_file().
void remove_abandoned_parts(const std::string& path);
// Returns the whole file; blocks on the disk. kNotFound: it does not exist. kIo: it exists but cannot be read
// completely. Error messages name the path and the system error.
Result<std::string> read_file(const std::string& path);

}  // namespace linnetlead::storage
