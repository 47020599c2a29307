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
int fault_of(FileCall call) { return injected_fault() ? injected_fault()(call) : 0; }
#else
int fault_of(FileCall) { return 0; }
#endif

template <typename Act>
int unless_faulty(FileCall call, Act act) {
    const int fault = fault_of(call);
    if (fault <= 0) return act();
    errno = fault;
    return -1;
}

// Of a read or a write of so many bytes: how many to ask for, or -1 and errno.
ssize_t allowed_transfer(FileCall call, std::size_t bytes) {
    const int fault = fault_of(call);
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
    return unless_faulty(FileCall::kOpen, [&] { return ::open(path.c_str(), flags | O_CLOEXEC, mode); });
}

int status_of(const std::string& path, struct stat& status) {
    return unless_faulty(FileCall::kStat, [&] { return ::stat(path.c_str(), &status); });
}

int status_of(int file, struct stat& status) {
    return unless_faulty(FileCall::kStat, [&] { return ::fstat(file, &status); });
}

int sync_file(int file) {
    return unless_faulty(FileCall::kSync, [&] { return ::fsync(file); });
}

int sync_file_data(int file) {
    return unless_faulty(FileCall::kSync, [&] { return ::fdatasync(file); });
}

int truncate_file(int file, std::uint64_t bytes) {
    return unless_faulty(FileCall::kTruncate, [&] { return ::ftruncate(file, static_cast<off_t>(bytes)); });
}

int rename_file(const std::string& from, const std::string& to) {
    return unless_faulty(FileCall::kRename, [&] { return std::rename(from.c_str(), to.c_str()); });
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
    std::size_t done = 0;
    while (done < into.size()) {
        const ssize_t allowed = allowed_transfer(FileCall::kRead, into.size() - done);
        if (allowed < 0) return false;
        const ssize_t size = ::pread(file, into.data() + done, static_cast<std::size_t>(allowed),
                                     static_cast<off_t>(offset + done));
        if (size < 0 && errno == EINTR) continue;
        if (size == 0) errno = ENODATA;
        if (size <= 0) return false;
        done += static_cast<std::size_t>(size);
    }
    return true;
}

std::string file_error(const std::string& path, const char* what) {
    return path + " cannot be " + what + ": " + std::strerror(errno);
}

}  // namespace linnetlead::storage
