// The persisted state of one voter, in a directory that a single process locks: `log` (hard state and
// entries; each write appends records and flushes them) and `snapshot` (replaced atomically). The driver of a
// RaftNode writes each Ready with it. Every call blocks; not thread-safe.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/raft/raft_log_format.h"
#include "cluster/raft/raft_types.h"
#include "common/error.h"

namespace linnetlead::raft {

// The arguments of RaftNode's constructor.
struct PersistedState {
    HardState hard;
    LogSnapshot snapshot;
    std::vector<LogEntry> entries;
};

class RaftLogStore {
public:
    struct Settings {
        std::string directory;  // created if missing; its parent must exist
        int self = 0;           // the voter's number; the directory of another voter is rejected
        // Limit for the log, including obsolete bytes. The log is rewritten once most of it is obsolete;
        // write() fails when the entries alone exceed half of the limit because the log is not compacted.
        std::size_t max_bytes = 256 * 1024 * 1024;
        std::size_t slack_bytes = 16 * 1024 * 1024;  // obsolete bytes that do not justify a rewrite
    };
    struct OpenResult;

    // Errors, one line that names the directory: kIo (cannot be created, read or written), kUnavailable
    // (locked by another process), kFailedPrecondition (belongs to another voter), kDataLoss (damaged; states
    // where).
    static Result<OpenResult> open(const Settings& settings);
    ~RaftLogStore();
    RaftLogStore(const RaftLogStore&) = delete;
    RaftLogStore& operator=(const RaftLogStore&) = delete;

    // Persists the part of `ready` that goes to disk before it returns. After an error (kIo,
    // kResourceExhausted) no message of `ready` may be sent, and every later write fails with the same error:
    // the voter has to stop and open the store again.
    Status write(const Ready& ready);
    std::size_t bytes() const { return end_offset_; }  // of the log

private:
    // The position of an entry's body in the log.
    struct BodyLocation {
        Term term = 0;
        std::uint64_t offset = 0;
        std::uint64_t bytes = 0;
    };
    explicit RaftLogStore(const Settings& settings) : settings_(settings) {}
    std::string path(const char* name) const { return settings_.directory + "/" + name; }
    // Makes all later writes fail with this error; adds the directory and errno's text, if any, to the
    // message.
    Status fail_permanently(ErrorCode code, const std::string& message);

    Result<PersistedState> load();
    Result<PersistedState> create();
    // Reads records up to the first incomplete or invalid one; returns why it stopped.
    std::string load_records(std::string_view file, PersistedState& state);
    Status apply_record(std::string_view record, std::uint64_t offset, PersistedState& state);
    Status apply_base(const BaseRecord& base);
    Status apply_batch(const BatchRecord& batch, std::uint64_t bodies_offset, PersistedState& state);
    Status load_snapshot(PersistedState& state);
    Status adopt_newer_snapshot(PersistedState& state);
    Status resume_writing(std::uint64_t file_bytes, std::uint64_t flushed_bytes);

    LogIndex last_index() const { return base_index_ + bodies_.size(); }
    void drop_newest_bodies(LogIndex from);
    void drop_oldest_bodies(std::size_t count);
    // Appends the records of hard state, truncation and entries to `out`, which starts at `offset` in the
    // log.
    void append_records(std::string& out, const Ready& ready, std::uint64_t offset);
    Status append(const Ready& ready);
    // Replaces the log file by one without obsolete records and with the changes of `ready`.
    Status rewrite(const Ready& ready);
    bool write_snapshot(const LogSnapshot& snapshot);
    bool write_flush_mark();
    bool sync_directory();

    const Settings settings_;
    int lock_file_ = -1;
    int log_file_ = -1;
    std::optional<Error> failure_;
    HardState hard_;
    LogIndex base_index_ = 0;  // the log's entries follow this index
    Term base_term_ = 0;
    std::deque<BodyLocation> bodies_;
    std::uint64_t live_bytes_ = 0;   // of the bodies
    std::uint64_t end_offset_ = 0;   // end of the last record
    std::uint64_t chain_ = 0;        // checksum of the last record
    std::uint64_t flush_marks_ = 0;  // number written; the next one overwrites the older mark
};

struct RaftLogStore::OpenResult {
    std::unique_ptr<RaftLogStore> store;
    PersistedState state;
};

}  // namespace linnetlead::raft
