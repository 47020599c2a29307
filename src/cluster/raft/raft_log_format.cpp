#include "cluster/raft/raft_log_format.h"

#include <optional>

namespace linnetlead::raft {

namespace {

constexpr std::uint8_t kRecordVersion = 1;
constexpr std::uint64_t kBaseRecordKind = 0;
constexpr std::uint64_t kBatchRecordKind = 1;
// Kind, voter, snapshot index and term, hard state (term and vote).
constexpr std::size_t kBaseRecordNumbers = 6;
// Kind, hard state (term and vote), truncate_from, first_index; the entries follow.
constexpr std::size_t kBatchRecordNumbers = 5;
constexpr char kInconsistentRecord[] = "a record has inconsistent fields";

// No vote (-1) is stored as 0.
std::uint64_t stored_vote(const HardState& hard) { return static_cast<std::uint64_t>(hard.vote) + 1; }
int read_vote(std::uint64_t stored) { return static_cast<int>(stored) - 1; }

void append_record(std::string& out, const std::vector<std::uint64_t>& numbers,
                   const std::vector<std::string_view>& parts, std::uint64_t& chain) {
    const std::string record = encode_flat(kRecordVersion, numbers, parts, chain);
    chain = record_checksum(record);
    append_fixed(out, record.size(), kRecordLengthBytes);
    out += record;
}

Result<LogRecord> read_batch_record(const FlatRecord& flat) {
    const std::vector<std::uint64_t>& numbers = flat.numbers;
    const bool has_whole_entries = numbers.size() >= kBatchRecordNumbers && numbers.size() % 2 == 1;
    if (!has_whole_entries) return fail(ErrorCode::kDataLoss, kInconsistentRecord);
    BatchRecord batch;
    batch.hard = {numbers[1], read_vote(numbers[2])};
    batch.truncate_from = numbers[3];
    batch.first_index = numbers[4];
    batch.bodies = flat.bytes;
    std::uint64_t remaining_bytes = flat.bytes.size();
    for (std::size_t i = kBatchRecordNumbers; i < numbers.size(); i += 2) {
        if (numbers[i + 1] > remaining_bytes) return fail(ErrorCode::kDataLoss, kInconsistentRecord);
        batch.entries.push_back({numbers[i], numbers[i + 1]});
        remaining_bytes -= numbers[i + 1];
    }
    if (remaining_bytes > 0) return fail(ErrorCode::kDataLoss, "a record has bytes after its last entry");
    return batch;
}

}  // namespace

std::string flush_mark(std::uint64_t flushed_bytes, std::uint64_t mark) {
    std::string bytes;
    append_fixed(bytes, flushed_bytes, 8);
    append_fixed(bytes, checksum_of(bytes, mark + 1), 8);
    return bytes;
}

std::size_t flush_mark_offset(std::uint64_t mark) { return kLogFileKind.size() + mark * kFlushMarkBytes; }

std::string log_header(std::uint64_t flushed_bytes) {
    return std::string(kLogFileKind) + flush_mark(flushed_bytes, 0) + flush_mark(flushed_bytes, 1);
}

Result<NewestFlushMark> read_log_header(std::string_view file) {
    if (file.size() < kLogHeaderBytes || file.substr(0, kLogFileKind.size()) != kLogFileKind)
        return fail(ErrorCode::kDataLoss, "the file header is damaged, or of another file kind or version");
    std::optional<NewestFlushMark> newest;
    for (std::uint64_t mark = 0; mark < 2; ++mark) {
        const std::string_view bytes = file.substr(flush_mark_offset(mark), kFlushMarkBytes);
        const std::uint64_t flushed_bytes = read_fixed(bytes, 8);
        if (bytes != flush_mark(flushed_bytes, mark)) continue;
        if (!newest || flushed_bytes > newest->flushed_bytes) newest = NewestFlushMark{flushed_bytes, mark};
    }
    if (!newest) return fail(ErrorCode::kDataLoss, "the file header is damaged: neither flush mark is valid");
    return *newest;
}

void append_base_record(std::string& out, const BaseRecord& record, std::uint64_t& chain) {
    append_record(out,
                  {kBaseRecordKind, static_cast<std::uint64_t>(record.voter), record.snapshot_index,
                   record.snapshot_term, record.hard.term, stored_vote(record.hard)},
                  {}, chain);
}

void append_batch_record(std::string& out, const BatchRecord& record,
                         const std::vector<std::string_view>& bodies, std::uint64_t& chain) {
    std::vector<std::uint64_t> numbers{kBatchRecordKind, record.hard.term, stored_vote(record.hard),
                                       record.truncate_from, record.first_index};
    for (const StoredEntry& entry : record.entries) {
        numbers.push_back(entry.term);
        numbers.push_back(entry.body_bytes);
    }
    append_record(out, numbers, bodies, chain);
}

Result<LogRecord> read_log_record(std::string_view record, std::uint64_t chain) {
    const auto flat = decode_flat(kRecordVersion, record, chain);
    if (!flat) return fail(ErrorCode::kDataLoss, "a record does not match its checksum");
    const std::vector<std::uint64_t>& numbers = flat->numbers;
    if (!numbers.empty() && numbers[0] == kBatchRecordKind) return read_batch_record(*flat);
    if (numbers.size() != kBaseRecordNumbers || numbers[0] != kBaseRecordKind)
        return fail(ErrorCode::kDataLoss, kInconsistentRecord);
    return BaseRecord{static_cast<int>(numbers[1]), numbers[2], numbers[3],
                      HardState{numbers[4], read_vote(numbers[5])}};
}

std::uint64_t record_checksum(std::string_view record) {
    return read_fixed(record.substr(kFlatChecksumOffset), 8);
}

}  // namespace linnetlead::raft
