#include "cluster/raft/raft_log_store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "cluster/raft/flat_codec.h"
#include "storage/checksummed_file.h"
#include "storage/file_calls.h"

namespace linnetlead::raft {

namespace {

constexpr std::string_view kSnapshotKind = "linnetlead/quorum-snapshot/1";
constexpr std::uint8_t kSnapshotVersion = 1;
constexpr std::size_t kSnapshotNumbers = 3;  // index, term, voter
// Limits of one record; further entries go into the next record.
constexpr std::size_t kMaxRecordEntries = 4096;
constexpr std::size_t kMaxRecordBodyBytes = 64 * 1024 * 1024;

int open_log(const std::string& path) { return storage::open_file(path, O_RDWR); }

// Treats only ENOENT as absent; every other error is reported.
Result<bool> exists(const std::string& path) {
    struct stat status {};
    if (storage::status_of(path, status) == 0) return true;
    if (errno == ENOENT) return false;
    return fail(ErrorCode::kIo, storage::file_error(path, "looked for"));
}

}  // namespace

Result<RaftLogStore::OpenResult> RaftLogStore::open(const Settings& settings) {
    std::unique_ptr<RaftLogStore> store(new RaftLogStore(settings));
    const std::string directory = "Raft log directory " + settings.directory;
    if (::mkdir(settings.directory.c_str(), 0700) != 0 && errno != EEXIST)
        return fail(ErrorCode::kIo, directory + " cannot be created: " + std::strerror(errno));
    store->lock_file_ = storage::open_file(store->path("lock"), O_RDWR | O_CREAT, storage::kOwnerOnly);
    if (store->lock_file_ < 0)
        return fail(ErrorCode::kIo, storage::file_error(store->path("lock"), "opened"));
    if (::flock(store->lock_file_, LOCK_EX | LOCK_NB) != 0)
        return fail(ErrorCode::kUnavailable,
                    directory + " is locked by another process, or cannot be locked");
    auto state = store->load();
    if (!state) {
        return fail(state.error().code, "Raft log in " + settings.directory + ": " + state.error().message);
    }
    return OpenResult{std::move(store), std::move(*state)};
}

RaftLogStore::~RaftLogStore() {
    if (log_file_ >= 0) ::close(log_file_);
    if (lock_file_ >= 0) ::close(lock_file_);
}

Status RaftLogStore::fail_permanently(ErrorCode code, const std::string& message) {
    std::string text = "Raft log in " + settings_.directory + ": " + message;
    if (errno != 0) text += std::string(": ") + std::strerror(errno);
    failure_ = Error{code, std::move(text)};
    return tl::unexpected<Error>(*failure_);
}

// ---- loading ----

Result<PersistedState> RaftLogStore::load() {
    storage::remove_abandoned_parts(path("log"));
    storage::remove_abandoned_parts(path("snapshot"));
    const auto file = storage::read_file(path("log"));
    if (!file && file.error().code == ErrorCode::kNotFound) return create();
    if (!file) return tl::unexpected<Error>(file.error());
    const auto newest_mark = read_log_header(*file);
    if (!newest_mark) return tl::unexpected<Error>(newest_mark.error());
    flush_marks_ = newest_mark->mark;
    PersistedState state;
    const std::string stop_reason = load_records(*file, state);
    if (end_offset_ < newest_mark->flushed_bytes || end_offset_ == kLogHeaderBytes) {
        return fail(ErrorCode::kDataLoss, "damaged at byte " + std::to_string(end_offset_) + " of " +
                                              std::to_string(newest_mark->flushed_bytes) +
                                              " flushed bytes: " + stop_reason);
    }
    if (Status loaded = load_snapshot(state); !loaded) return tl::unexpected<Error>(loaded.error());
    state.hard = hard_;
    if (Status resumed = resume_writing(file->size(), newest_mark->flushed_bytes); !resumed)
        return tl::unexpected<Error>(resumed.error());
    return state;
}

Result<PersistedState> RaftLogStore::create() {
    const auto has_snapshot = exists(path("snapshot"));
    if (!has_snapshot) return tl::unexpected<Error>(has_snapshot.error());
    if (*has_snapshot) return fail(ErrorCode::kDataLoss, "the log file is missing, but a snapshot exists");
    if (Status written = rewrite(Ready()); !written) return tl::unexpected<Error>(written.error());
    return PersistedState();
}

std::string RaftLogStore::load_records(std::string_view file, PersistedState& state) {
    end_offset_ = kLogHeaderBytes;
    while (file.size() - end_offset_ > kRecordLengthBytes) {
        const std::uint64_t size = read_fixed(file.substr(end_offset_), kRecordLengthBytes);
        const std::string_view rest = file.substr(end_offset_ + kRecordLengthBytes);
        if (size < kFlatHeaderBytes || size > rest.size()) return "a record is truncated";
        const std::string_view record = rest.substr(0, size);
        const Status applied = apply_record(record, end_offset_ + kRecordLengthBytes, state);
        if (!applied) return applied.error().message;
        chain_ = record_checksum(record);
        end_offset_ += kRecordLengthBytes + size;
    }
    return "the file ends there";
}

Status RaftLogStore::apply_record(std::string_view record, std::uint64_t offset, PersistedState& state) {
    const auto decoded = read_log_record(record, chain_);
    if (!decoded) return tl::unexpected<Error>(decoded.error());
    const auto* base = std::get_if<BaseRecord>(&*decoded);
    const bool is_first = end_offset_ == kLogHeaderBytes;
    if (is_first != (base != nullptr)) return fail(ErrorCode::kDataLoss, "a record has inconsistent fields");
    if (base) return apply_base(*base);
    const BatchRecord& batch = std::get<BatchRecord>(*decoded);
    return apply_batch(batch, offset + record.size() - batch.bodies.size(), state);
}

Status RaftLogStore::apply_base(const BaseRecord& base) {
    if (base.voter != settings_.self) {
        return fail(ErrorCode::kFailedPrecondition, "it belongs to voter " + std::to_string(base.voter) +
                                                        ", not " + std::to_string(settings_.self));
    }
    base_index_ = base.snapshot_index;
    base_term_ = base.snapshot_term;
    hard_ = base.hard;
    return {};
}

Status RaftLogStore::apply_batch(const BatchRecord& batch, std::uint64_t bodies_offset,
                                 PersistedState& state) {
    const LogIndex next = last_index() + 1;
    const LogIndex from = batch.truncate_from ? batch.truncate_from : next;
    const bool is_gap = from <= base_index_ || from > next;
    if (is_gap || (!batch.entries.empty() && batch.first_index != from))
        return fail(ErrorCode::kDataLoss, "a record has inconsistent fields");
    drop_newest_bodies(from);
    state.entries.resize(bodies_.size());
    hard_ = batch.hard;
    std::string_view bodies = batch.bodies;
    LogIndex index = from;
    for (const StoredEntry& entry : batch.entries) {
        state.entries.push_back({index++, entry.term, std::string(bodies.substr(0, entry.body_bytes))});
        bodies.remove_prefix(entry.body_bytes);
        bodies_.push_back({entry.term, bodies_offset, entry.body_bytes});
        bodies_offset += entry.body_bytes;
        live_bytes_ += entry.body_bytes;
    }
    return {};
}

Status RaftLogStore::load_snapshot(PersistedState& state) {
    const auto file = storage::read_file(path("snapshot"));
    if (!file && file.error().code == ErrorCode::kNotFound) {
        if (base_index_ == 0) return {};
        return fail(ErrorCode::kDataLoss, "the snapshot is missing");
    }
    if (!file) return tl::unexpected<Error>(file.error());
    const auto text = storage::decode_checksummed(kSnapshotKind, *file);
    const auto flat = decode_flat(kSnapshotVersion, text ? std::string_view(*text) : std::string_view());
    if (!flat || flat->numbers.size() != kSnapshotNumbers)
        return fail(ErrorCode::kDataLoss,
                    "the snapshot is damaged: " + (text ? "it cannot be decoded" : text.error().message));
    const LogIndex index = flat->numbers[0];
    const Term term = flat->numbers[1];
    if (flat->numbers[2] != static_cast<std::uint64_t>(settings_.self))
        return fail(ErrorCode::kFailedPrecondition, "the snapshot belongs to another voter");
    if (index < base_index_ || (index == base_index_ && term != base_term_)) {
        return fail(ErrorCode::kDataLoss, "the snapshot is older than the log: it ends at index " +
                                              std::to_string(index) + ", and the log begins after " +
                                              std::to_string(base_index_));
    }
    state.snapshot = {index, term, std::string(flat->bytes)};
    return index == base_index_ ? Status() : adopt_newer_snapshot(state);
}

// Handles a snapshot that is newer than the log's first index: the process ended after it wrote the snapshot
// and before it rewrote the log. If the log has the snapshot's last entry, the entries after it stay;
// otherwise all entries are obsolete.
Status RaftLogStore::adopt_newer_snapshot(PersistedState& state) {
    const LogSnapshot& snapshot = state.snapshot;
    const std::size_t covered = snapshot.index - base_index_;
    const bool has_last_entry = covered <= bodies_.size() && bodies_[covered - 1].term == snapshot.term;
    const std::size_t dropped = has_last_entry ? covered : bodies_.size();
    state.entries.erase(state.entries.begin(), state.entries.begin() + static_cast<std::ptrdiff_t>(dropped));
    drop_oldest_bodies(dropped);
    base_index_ = snapshot.index;
    base_term_ = snapshot.term;
    log_file_ = open_log(path("log"));
    if (log_file_ < 0) return fail(ErrorCode::kIo, storage::file_error(path("log"), "opened"));
    return rewrite(Ready());
}

// Opens the log for appending and removes an interrupted write from its end.
Status RaftLogStore::resume_writing(std::uint64_t file_bytes, std::uint64_t flushed_bytes) {
    if (log_file_ < 0) log_file_ = open_log(path("log"));
    const bool is_marked = end_offset_ == file_bytes && end_offset_ == flushed_bytes;
    const auto cut_off = [this] {
        return storage::truncate_file(log_file_, end_offset_) == 0 && storage::sync_file(log_file_) == 0 &&
               write_flush_mark();
    };
    if (log_file_ < 0 || (!is_marked && !cut_off()))
        return fail(ErrorCode::kIo, std::string("the log cannot be written: ") + std::strerror(errno));
    return {};
}

// ---- writing ----

bool RaftLogStore::sync_directory() {
    const int directory = storage::open_file(settings_.directory, O_RDONLY | O_DIRECTORY);
    const bool is_synced = directory >= 0 && storage::sync_file(directory) == 0;
    if (directory >= 0) ::close(directory);
    return is_synced;
}

bool RaftLogStore::write_flush_mark() {
    const std::uint64_t mark = ++flush_marks_ % 2;
    return storage::write_whole(log_file_, flush_mark(end_offset_, mark), flush_mark_offset(mark));
}

bool RaftLogStore::write_snapshot(const LogSnapshot& snapshot) {
    const std::string text = encode_flat(
        kSnapshotVersion, {snapshot.index, snapshot.term, static_cast<std::uint64_t>(settings_.self)},
        {snapshot.state});
    return storage::replace_file(path("snapshot"), storage::encode_checksummed(kSnapshotKind, text)) &&
           sync_directory();
}

void RaftLogStore::drop_newest_bodies(LogIndex from) {
    while (last_index() >= from && !bodies_.empty()) {
        live_bytes_ -= bodies_.back().bytes;
        bodies_.pop_back();
    }
}

void RaftLogStore::drop_oldest_bodies(std::size_t count) {
    for (; count > 0 && !bodies_.empty(); --count) {
        live_bytes_ -= bodies_.front().bytes;
        bodies_.pop_front();
    }
}

void RaftLogStore::append_records(std::string& out, const Ready& ready, std::uint64_t offset) {
    if (ready.hard) hard_ = *ready.hard;
    LogIndex first_index = ready.truncate_from ? ready.truncate_from : last_index() + 1;
    drop_newest_bodies(first_index);
    LogIndex truncate_from = ready.truncate_from;
    auto entry = ready.append.begin();
    do {
        BatchRecord batch;
        batch.hard = hard_;
        batch.truncate_from = std::exchange(truncate_from, 0);
        batch.first_index = first_index;
        std::vector<std::string_view> bodies;
        std::uint64_t body_bytes = 0;
        for (; entry != ready.append.end() && bodies.size() < kMaxRecordEntries &&
               body_bytes < kMaxRecordBodyBytes;
             ++entry) {
            batch.entries.push_back({entry->term, entry->body.size()});
            bodies.push_back(entry->body);
            body_bytes += entry->body.size();
        }
        append_batch_record(out, batch, bodies, chain_);
        std::uint64_t body_offset = offset + out.size() - body_bytes;
        for (const StoredEntry& stored : batch.entries) {
            bodies_.push_back({stored.term, body_offset, stored.body_bytes});
            body_offset += stored.body_bytes;
        }
        live_bytes_ += body_bytes;
        first_index += bodies.size();
    } while (entry != ready.append.end());
}

Status RaftLogStore::rewrite(const Ready& ready) {
    std::string out = log_header(0);
    chain_ = 0;
    append_base_record(out, {settings_.self, base_index_, base_term_, hard_}, chain_);
    Ready kept;
    for (const BodyLocation& location : bodies_) {
        LogEntry entry;
        entry.term = location.term;
        entry.body.resize(location.bytes);
        if (!storage::read_whole(log_file_, entry.body, location.offset))
            return fail_permanently(ErrorCode::kIo, "the log cannot be read");
        kept.append.push_back(std::move(entry));
    }
    bodies_.clear();
    live_bytes_ = 0;
    if (!kept.append.empty()) append_records(out, kept, 0);
    if (ready.hard || ready.truncate_from || !ready.append.empty()) append_records(out, ready, 0);
    out.replace(0, kLogHeaderBytes, log_header(out.size()));
    if (!storage::replace_file(path("log"), out) || !sync_directory())
        return fail_permanently(ErrorCode::kIo, "the log cannot be written");
    if (log_file_ >= 0) ::close(log_file_);
    log_file_ = open_log(path("log"));
    if (log_file_ < 0) return fail_permanently(ErrorCode::kIo, "the log cannot be opened");
    end_offset_ = out.size();
    flush_marks_ = 0;
    return {};
}

Status RaftLogStore::append(const Ready& ready) {
    std::string out;
    append_records(out, ready, end_offset_);
    if (!storage::write_whole(log_file_, out, end_offset_) || storage::sync_file_data(log_file_) != 0)
        return fail_permanently(ErrorCode::kIo, "the log cannot be written");
    end_offset_ += out.size();
    if (!write_flush_mark()) return fail_permanently(ErrorCode::kIo, "the log cannot be written");
    return {};
}

Status RaftLogStore::write(const Ready& ready) {
    if (failure_) return tl::unexpected<Error>(*failure_);
    if (!ready.to_disk()) return {};
    errno = 0;
    std::uint64_t bytes = live_bytes_;
    for (const LogEntry& entry : ready.append) bytes += entry.body.size();
    if (bytes > settings_.max_bytes / 2)
        return fail_permanently(ErrorCode::kResourceExhausted, "the log is full because it is not compacted");
    const auto& snapshot = ready.install ? ready.install : ready.compact;
    if (snapshot && !write_snapshot(*snapshot))
        return fail_permanently(ErrorCode::kIo, "the snapshot cannot be written");
    if (ready.install) {
        drop_oldest_bodies(bodies_.size());
    } else if (ready.compact && ready.compact->index > base_index_) {
        drop_oldest_bodies(ready.compact->index - base_index_);
    }
    if (snapshot) {
        base_index_ = snapshot->index;
        base_term_ = snapshot->term;
    }
    if (snapshot || end_offset_ > 2 * live_bytes_ + settings_.slack_bytes) return rewrite(ready);
    return append(ready);
}

}  // namespace linnetlead::raft
