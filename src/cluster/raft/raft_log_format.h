// The format of the log file of one voter; RaftLogStore reads and writes it. No I/O.
//
//   header: file kind (24 bytes) | flush mark 0 | flush mark 1 (16 bytes each: a length and its checksum)
//   records: length (4 bytes, big-endian) | a flat record whose checksum is seeded with the previous one's
//
// A flush mark states up to which byte the log was flushed, so that damage is not mistaken for a shorter log.
// An incomplete record before that byte is damage; one after it is an interrupted write that was never
// acknowledged. The two marks are written alternately, so that a torn write of one leaves the other intact.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/raft/flat_codec.h"
#include "cluster/raft/raft_types.h"
#include "common/error.h"

namespace linnetlead::raft {

constexpr std::string_view kLogFileKind = "linnetlead/quorum-log/1\n";
constexpr std::size_t kFlushMarkBytes = 16;
constexpr std::size_t kLogHeaderBytes = kLogFileKind.size() + 2 * kFlushMarkBytes;
constexpr std::size_t kRecordLengthBytes = 4;

// The first record: the voter that owns the log and the index after which its entries begin.
struct BaseRecord {
    int voter = 0;
    LogIndex snapshot_index = 0;
    Term snapshot_term = 0;
    HardState hard;
};
struct StoredEntry {
    Term term = 0;
    std::uint64_t body_bytes = 0;
};
// One write: a hard state, a truncation, and entries whose bodies are concatenated in `bodies`.
struct BatchRecord {
    HardState hard;
    LogIndex truncate_from = 0;  // 0: none
    LogIndex first_index = 0;    // of the entries
    std::vector<StoredEntry> entries;
    std::string_view bodies;
};
using LogRecord = std::variant<BaseRecord, BatchRecord>;

// `mark`: 0 or 1.
std::string flush_mark(std::uint64_t flushed_bytes, std::uint64_t mark);
std::size_t flush_mark_offset(std::uint64_t mark);
std::string log_header(std::uint64_t flushed_bytes);  // both marks have this value

struct NewestFlushMark {
    std::uint64_t flushed_bytes = 0;
    std::uint64_t mark = 0;
};
Result<NewestFlushMark> read_log_header(std::string_view file);

// Appends the record, prefixed with its length, to `out`. `chain` is the checksum of the previous record and
// is set to that of this one.
void append_base_record(std::string& out, const BaseRecord& record, std::uint64_t& chain);
// `bodies`: the entries' bodies; record.bodies is ignored.
void append_batch_record(std::string& out, const BatchRecord& record,
                         const std::vector<std::string_view>& bodies, std::uint64_t& chain);

// `record`: without its length prefix. `chain`: the checksum of the previous record.
Result<LogRecord> read_log_record(std::string_view record, std::uint64_t chain);
std::uint64_t record_checksum(std::string_view record);

}  // namespace linnetlead::raft
