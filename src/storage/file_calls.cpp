#include "storage/file_calls.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace linnetlead::storage {

namespace {

#ifdef LINNETLEAD_POINTS
std::function<int(FileCall)>& injected_fault() {
    static std::function<int(FileCall)> fault;
    return fault;
}
int next_fault(FileCall call) { return injected_fault() ? injected_fault()(call) : 0; }
#else
int next_fault(FileCall) { return 0; }
#endif

template <typename SystemCall>
int call_unless_fault_injected(FileCall call, SystemCall system_call) {
    const int fault = next_fault(call);
    if (fault <= 0) return system_call();
    errno = fault;
    return -1;
}

// Returns how many of `bytes` a read or write may transfer; -1 with errno set if a fault is injected.
ssize_t allowed_transfer(FileCall call, std::size_t bytes) {
    const int fault = next_fault(call);
    if (fault == kShortTransfer) return static_cast<ssize_t>(std::min<std::size_t>(bytes, 1));
    if (fault == 0) return static_cast<ssize_t>(bytes);
    errno = fault;
    return -1;
}

}  // namespace

#ifdef LINNETLEAD_POINTS
void inject_file_faults(std::function<int(FileCall)> fault) { injected_fault() = std::move(fault); }
#else
void inject_file_faults(std::function<int(FileCall)>) {}
#endif

int open_file(const std::string& path, int flags, mode_t mode) {
    return call_unless_fault_injected(FileCall::kOpen,
                                      [&] { return ::open(path.c_str(), flags | O_CLOEXEC, mode); });
}

int status_of(const std::string& path, struct stat& status) {
    return call_unless_fault_injected(FileCall::kStat, [&] { return ::stat(path.c_str(), &status); });
}

int status_of(int file, struct stat& status) {
    return call_unless_fault_injected(FileCall::kStat, [&] { return ::fstat(file, &status); });
}

int sync_file(int file) {
    return call_unless_fault_injected(FileCall::kSync, [&] { return ::fsync(file); });
}

int sync_file_data(int file) {
    return call_unless_fault_injected(FileCall::kSync, [&] { return ::fdatasync(file); });
}

int truncate_file(int file, std::uint64_t bytes) {
    return call_unless_fault_injected(FileCall::kTruncate,
                                      [&] { return ::ftruncate(file, static_cast<off_t>(bytes)); });
}

int rename_file(const std::string& from, const std::string& to) {
    return call_unless_fault_injected(FileCall::kRename,
                                      [&] { return std::rename(from.c_str(), to.c_str()); });
}

bool write_whole(int file, std::string_view bytes, std::uint64_t offset) {
    while (!bytes.empty()) {
        const ssize_t allowed = allowed_transfer(FileCall::kWrite, bytes.size());
        if (allowed < 0) return false;
        const ssize_t size =
            ::pwrite(file, bytes.data(), static_cast<std::size_t>(allowed), static_cast<off_t>(offset));
        if (size < 0 && errno == EINTR) continue;
        if (size <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(size));
        offset += static_cast<std::uint64_t>(size);
    }
    return true;
}

bool read_whole(int file, std::string& into, std::uint64_t offset) {
    std::size_t bytes_read = 0;
    while (bytes_read < into.size()) {
        const ssize_t allowed = allowed_transfer(FileCall::kRead, into.size() - bytes_read);
        if (allowed < 0) return false;
        const ssize_t size = ::pread(file, into.data() + bytes_read, static_cast<std::size_t>(allowed),
                                     static_cast<off_t>(offset + bytes_read));
        if (size < 0 && errno == EINTR) continue;
        if (size == 0) errno = ENODATA;
        if (size <= 0) return false;
        bytes_read += static_cast<std::size_t>(size);
    }
    return true;
}

std::string file_error(const std::string& path, const char* what) {
    return path + " cannot be " + what + ": " + std::strerror(errno);
}

}  // namespace linnetlead::storage
