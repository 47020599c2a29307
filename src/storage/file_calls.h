// The system calls by which state gets to and from disk, in one place for all of it. Each blocks. Where the
// tests are built, each can be made to fail.
#pragma once

#include <sys/stat.h>
#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace linnetlead::storage {

enum class FileCall { kOpen, kRead, kWrite, kStat, kSync, kTruncate, kRename };

// As the system's own: below 0 on failure, errno says why. Files are closed on exec.
int open_file(const std::string& path, int flags, mode_t mode = 0);
int status_of(const std::string& path, struct stat& status);
int status_of(int file, struct stat& status);
int sync_file(int file);
int sync_file_data(int file);
int truncate_file(int file, std::uint64_t bytes);
int rename_file(const std::string& from, const std::string& to);

// All of the bytes, or false and errno.
bool write_whole(int file, std::string_view bytes, std::uint64_t offset);
// As many bytes as `into` has, or false and errno: ENODATA where the file ends before.
bool read_whole(int file, std::string& into, std::uint64_t offset);

// "PATH cannot be WHAT: " and the words for errno.
std::string file_error(const std::string& path, const char* what);

// For tests alone; in what is deployed it does nothing. Asked before each call: an errno to fail with, or 0.
// A read or write that fails with kShortTransfer takes one byte and succeeds.
constexpr int kShortTransfer = -1;
void inject_file_faults(std::function<int(FileCall)> fault);

}  // namespace linnetlead::storage
