// A state that a process keeps in one checksummed file for its next start. What is found there is told apart:
// nothing, a usable state, a damaged one, or one that cannot be read; and what could not be used is never
// overwritten, but set aside under a name of its own before the first save.
#pragma once

#include <functional>
#include <string>

#include "common/error.h"

namespace linnetlead::storage {

constexpr int kMaxSetAside = 9;  // files PATH.unusable.1 and so on; with all taken, nothing is saved

class StateFile {
public:
    // `path`: empty, nothing is kept. `kind`: as of a checksummed file.
    StateFile(std::string path, std::string kind) : path_(std::move(path)), kind_(std::move(kind)) {}

    bool is_kept() const { return !path_.empty(); }
    const std::string& path() const { return path_; }

    // The state. kNotFound: there is none. kDataLoss, kInvalidArgument: it is damaged or of another kind;
    // kIo: it cannot be read. Blocks on the disk.
    Result<std::string> load();
    // What load() returned makes no sense to its reader.
    void reject(const std::string& why);
    // Why what was found could not be used, with its path; empty: it could, or there was none.
    const std::string& problem() const { return problem_; }

    // Writes a state, on whatever thread it is called; it blocks on the disk and does not touch this object.
    std::function<Status()> writer(std::string state) const;
    // The outcome of the newest write. A good one leaves nothing to be set aside.
    void written(const Status& result);

private:
    std::string path_, kind_;
    std::string problem_;
    bool sets_aside_ = false;  // before the next write
};

}  // namespace linnetlead::storage
