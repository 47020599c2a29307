#include "storage/checksummed_file.h"

#include <fcntl.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include "storage/file_calls.h"

namespace linnetlead::storage {

namespace {

constexpr int kCompressionLevel = 3;  // zstd's default

// Returns the first line of a checksummed file, including the line break.
std::string header_line(std::string_view kind, std::string_view frame) {
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx\n",
                  static_cast<unsigned long long>(XXH64(frame.data(), frame.size(), 0)));
    return std::string(kind) + ' ' + text;
}

}  // namespace

std::string compress(const std::string& text) {
    std::string frame(ZSTD_compressBound(text.size()), '\0');
    frame.resize(ZSTD_compress(frame.data(), frame.size(), text.data(), text.size(), kCompressionLevel));
    return frame;
}

Result<std::string> decompress(std::string_view bytes, std::size_t max_bytes) {
    const auto damaged = [] { return fail(ErrorCode::kDataLoss, "it cannot be decompressed"); };
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > max_bytes) {
        return damaged();
    }
    std::string text(static_cast<std::size_t>(size), '\0');
    if (ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size()) != size) return damaged();
    return text;
}

std::string encode_checksummed(std::string_view kind, const std::string& text) {
    const std::string frame = compress(text);
    return header_line(kind, frame) + frame;
}

Result<std::string> decode_checksummed(std::string_view kind, std::string_view bytes) {
    const auto line_end = bytes.find('\n');
    const bool has_kind =
        bytes.substr(0, kind.size()) == kind && bytes.size() > kind.size() && bytes[kind.size()] == ' ';
    if (!has_kind || line_end == std::string_view::npos) {
        return fail(ErrorCode::kInvalidArgument, "it has another kind or version");
    }
    const std::string_view frame = bytes.substr(line_end + 1);
    if (header_line(kind, frame) != bytes.substr(0, line_end + 1)) {
        return fail(ErrorCode::kDataLoss, "its checksum does not match");
    }
    return decompress(frame);
}

Status replace_file(const std::string& path, const std::string& bytes, mode_t mode) {
    // The process id keeps the name unique: during a hot restart two processes may write the same state.
    const std::string part = path + ".part." + std::to_string(::getpid());
    const int file = open_file(part, O_WRONLY | O_CREAT | O_TRUNC, mode);
    if (file < 0) return fail(ErrorCode::kIo, file_error(part, "opened"));
    const bool is_on_disk = write_whole(file, bytes, 0) && sync_file(file) == 0;
    if (!is_on_disk) {
        const auto failed = fail(ErrorCode::kIo, file_error(part, "written"));
        ::close(file);
        ::unlink(part.c_str());
        return failed;
    }
    const bool is_closed = ::close(file) == 0;
    if (is_closed && rename_file(part, path) == 0) return {};
    const auto failed = fail(ErrorCode::kIo, file_error(path, "replaced"));
    ::unlink(part.c_str());
    return failed;
}

void remove_abandoned_parts(const std::string& path) {
    namespace fs = std::filesystem;
    const std::string prefix = fs::path(path).filename().string() + ".part";
    const fs::path directory = fs::path(path).parent_path();
    std::error_code error;
    for (auto entry = fs::directory_iterator(directory.empty() ? "." : directory, error);
         !error && entry != fs::directory_iterator(); entry.increment(error)) {
        const std::string name = entry->path().filename().string();
        if (name.compare(0, prefix.size(), prefix) != 0) continue;
        // Earlier releases wrote the name without a process id.
        const int pid = name.size() > prefix.size() ? std::atoi(name.c_str() + prefix.size() + 1) : 0;
        const bool is_abandoned = pid <= 0 || (::kill(pid, 0) != 0 && errno == ESRCH);
        if (is_abandoned) ::unlink(entry->path().c_str());
    }
}

Result<std::string> read_file(const std::string& path) {
    const int file = open_file(path, O_RDONLY);
    if (file < 0) {
        const bool is_absent = errno == ENOENT;
        return fail(is_absent ? ErrorCode::kNotFound : ErrorCode::kIo, file_error(path, "opened"));
    }
    struct stat status {};
    std::string bytes;
    bool is_read = status_of(file, status) == 0;
    if (is_read) {
        bytes.resize(static_cast<std::size_t>(status.st_size));
        is_read = read_whole(file, bytes, 0);
    }
    if (!is_read) {
        const auto failed = fail(ErrorCode::kIo, file_error(path, "read"));
        ::close(file);
        return failed;
    }
    ::close(file);
    return bytes;
}

}  // namespace linnetlead::storage
