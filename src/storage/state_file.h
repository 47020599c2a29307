// State that a process keeps in one checksummed file for its next start. load() distinguishes four cases: no
// file, a usable one, a damaged one, and one that cannot be read. An unusable file is never overwritten: the
// first save renames it before it writes a new one. The server's services use it.
#pragma once

#include <functional>
#include <string>

#include "common/error.h"

namespace linnetlead::storage {

constexpr int kMaxSetAside = 9;  // files PATH.unusable.1, .2 ...; when all exist, saving fails

class StateFile {
public:
    // An empty `path` disables saving. `kind`: see checksummed_file.h.
    StateFile(std::string path, std::string kind) : path_(std::move(path)), kind_(std::move(kind)) {}

    bool is_kept() const { return !path_.empty(); }
    const std::string& path() const { return path_; }

    // Returns the state. kNotFound: there is no file. kDataLoss, kInvalidArgument: it is damaged or of
    // another kind. kIo: it cannot be read. Blocks on the disk.
    Result<std::string> load();
    // Marks the loaded state as unusable, because its content is invalid for the caller.
    void reject(const std::string& why);
    // Why the file is unusable, with its path; empty if it is usable or does not exist.
    const std::string& problem() const { return problem_; }

    // Returns a function that writes `state`. It may run on any thread, blocks on the disk and does not
    // access this object.
    std::function<Status()> writer(std::string state) const;
    // Records the result of the last write. After a success no unusable file is left to rename.
    void written(const Status& result);

private:
    std::string path_, kind_;
    std::string problem_;
    bool has_unusable_file_ = false;  // the next write renames it first
};

}  // namespace linnetlead::storage
