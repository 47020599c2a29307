// The system calls that read and write state files. The checksummed files, the state files and the Raft log
// store use them. Each one blocks. In builds with tests, faults can be injected into each of them.
#pragma once

#include <sys/stat.h>
#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace linnetlead::storage {

enum class FileCall { kOpen, kRead, kWrite, kStat, kSync, kTruncate, kRename };

// Same results as the system calls: negative on failure, with errno set. Files are opened with O_CLOEXEC.
int open_file(const std::string& path, int flags, mode_t mode = 0);
int status_of(const std::string& path, struct stat& status);
int status_of(int file, struct stat& status);
int sync_file(int file);
int sync_file_data(int file);
int truncate_file(int file, std::uint64_t bytes);
int rename_file(const std::string& from, const std::string& to);

// Writes all bytes at `offset`; false with errno set on failure.
bool write_whole(int file, std::string_view bytes, std::uint64_t offset);
// Reads into.size() bytes at `offset`; false with errno set on failure, ENODATA if the file ends before.
bool read_whole(int file, std::string& into, std::uint64_t offset);

// Returns "PATH cannot be WHAT: " followed by the text of errno.
std::string file_error(const std::string& path, const char* what);

// For tests only; a no-op in production builds. `fault` runs before each system call and returns the errno to
// fail with, or 0. If it returns kShortTransfer, a read or write transfers one byte and succeeds.
constexpr int kShortTransfer = -1;
void inject_file_faults(std::function<int(FileCall)> fault);

}  // namespace linnetlead::storage
