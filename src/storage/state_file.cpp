#include "storage/state_file.h"

#include <cerrno>
#include <utility>

#include "storage/checksummed_file.h"
#include "storage/file_calls.h"

namespace linnetlead::storage {

namespace {

// Uses the first free name, because an earlier unusable file may be the only copy of a state.
Status rename_unusable_file(const std::string& path) {
    for (int number = 1; number <= kMaxSetAside; ++number) {
        const std::string to = path + ".unusable." + std::to_string(number);
        struct stat status {};
        if (status_of(to, status) == 0) continue;
        if (errno != ENOENT) return fail(ErrorCode::kIo, file_error(to, "checked"));
        if (rename_file(path, to) == 0 || errno == ENOENT) return {};
        return fail(ErrorCode::kIo, file_error(path, "renamed"));
    }
    return fail(ErrorCode::kResourceExhausted, path + ".unusable.1 and all further names are taken");
}

}  // namespace

Result<std::string> StateFile::load() {
    remove_abandoned_parts(path_);
    auto bytes = read_file(path_);
    if (!bytes) {
        if (bytes.error().code != ErrorCode::kNotFound) {
            problem_ = bytes.error().message;
            has_unusable_file_ = true;
        }
        return bytes;
    }
    auto state = decode_checksummed(kind_, *bytes);
    if (!state) reject(state.error().message);
    return state;
}

void StateFile::reject(const std::string& why) {
    problem_ = path_ + ": " + why;
    has_unusable_file_ = true;
}

std::function<Status()> StateFile::writer(std::string state) const {
    return [path = path_, kind = kind_, has_unusable_file = has_unusable_file_,
            state = std::move(state)]() -> Status {
        if (has_unusable_file) {
            if (Status renamed = rename_unusable_file(path); !renamed) return renamed;
        }
        return replace_file(path, encode_checksummed(kind, state));
    };
}

void StateFile::written(const Status& result) {
    if (result) has_unusable_file_ = false;
}

}  // namespace linnetlead::storage
