#include "storage/state_file.h"

#include <cerrno>
#include <utility>

#include "storage/checksummed_file.h"
#include "storage/file_calls.h"

namespace linnetlead::storage {

namespace {

// To the first name that is free: an earlier one may be all that is left of a state.
Status set_aside(const std::string& path) {
    for (int number = 1; number <= kMaxSetAside; ++number) {
        const std::string to = path + ".unusable." + std::to_string(number);
        struct stat status {};
        if (status_of(to, status) == 0) continue;
        if (errno != ENOENT) return fail(ErrorCode::kIo, file_error(to, "looked for"));
        if (rename_file(path, to) == 0 || errno == ENOENT) return {};
        return fail(ErrorCode::kIo, file_error(path, "set aside"));
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
            sets_aside_ = true;
        }
        return bytes;
    }
    auto state = decode_checksummed(kind_, *bytes);
    if (!state) reject(state.error().message);
    return state;
}

void StateFile::reject(const std::string& why) {
    problem_ = path_ + ": " + why;
    sets_aside_ = true;
}

std::function<Status()> StateFile::writer(std::string state) const {
    return [path = path_, kind = kind_, sets_aside = sets_aside_, state = std::move(state)]() -> Status {
        if (sets_aside) {
            if (Status moved = set_aside(path); !moved) return moved;
        }
        return replace_file(path, encode_checksummed(kind, state));
    };
}

void StateFile::written(const Status& result) {
    if (result) sets_aside_ = false;
}

}  // namespace linnetlead::storage
