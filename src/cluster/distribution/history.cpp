#include "cluster/distribution/history.h"

#include <algorithm>

#include "cluster/distribution/cbor_fields.h"
#include "storage/checksummed_file.h"

namespace linnetlead::distribution {

namespace {

constexpr std::string_view kFileKind = "linnetlead-distribution-1";
constexpr std::size_t kPartBytes = 256 * 1024;

std::size_t size_of(const Record& record) {
    std::size_t size = 64 + record.reason.size();
    for (const Edit& edit : record.change.edits)
        size += 16 + edit.key.size() + (edit.value ? edit.value->size() : 0);
    return size;
}

}  // namespace

const Record* History::at(LogIndex index) const {
    if (index < first_index() || index > last_index_) return nullptr;
    return &records_[index - first_index()];
}

std::optional<std::uint64_t> History::term_of(LogIndex index) const {
    if (const Record* record = at(index)) return record->term;
    if (index == applied_index_) return applied_term_;
    if (index == last_index_) return last_term_;
    return std::nullopt;
}

std::size_t History::bytes(LogIndex from, LogIndex to) const {
    from = std::max(from, first_index());
    to = std::min(to, last_index_);
    if (from > to) return 0;
    const std::size_t begin = from - first_index(), end = to - first_index();
    return cumulative_bytes_[end] -
           (begin == 0 ? cumulative_bytes_[0] - size_of(records_[0]) : cumulative_bytes_[begin - 1]);
}

void History::index_pending_keys(const Record& record) {
    for (std::size_t i = 0; i < record.change.edits.size(); ++i) {
        // The present map key may point into an older record, which is dropped before this one.
        pending_keys_.erase(record.change.edits[i].key);
        pending_keys_.emplace(record.change.edits[i].key, EditPosition{record.index, i});
    }
}

void History::rebuild_pending_keys() {
    pending_keys_.clear();
    for_each_pending(false, [this](const Record& record) { index_pending_keys(record); });
}

History::AddResult History::add(Record record) {
    if (record.index <= last_index_) {
        const auto term = term_of(record.index);
        // The term of a record that is no longer retained is unknown; it was compared when it was added.
        if (term && *term != record.term) return AddResult::kConflict;
        return AddResult::kAlreadyKnown;
    }
    if (record.index != last_index_ + 1) return AddResult::kGap;
    if (record.term < last_term_) return AddResult::kConflict;
    last_index_ = record.index;
    last_term_ = record.term;
    total_bytes_ += size_of(record);
    cumulative_bytes_.push_back(total_bytes_);
    records_.push_back(std::move(record));
    const Record& added = records_.back();
    switch (added.kind) {
        case RecordKind::kTermStart:
            break;
        case RecordKind::kChange:
            ++pending_change_count_;
            index_pending_keys(added);
            break;
        case RecordKind::kActivate:
            scheduled_through_ = std::max(scheduled_through_, std::min(added.through_index, added.index - 1));
            // A snapshot may include activations after its last included index, which stops before the first
            // undecided change.
            newest_activation_ = std::max(newest_activation_, added.index);
            newest_activation_time_ = std::max(newest_activation_time_, added.activation_time);
            if (added.index > activation_index_) pending_activations_.push_back(added.index);
            break;
        case RecordKind::kWithdraw: {
            // A change that an activation covers can no longer be withdrawn.
            const Record* change =
                added.through_index > applied_index_ && added.through_index > scheduled_through_
                    ? at(added.through_index)
                    : nullptr;
            if (!change || change->kind != RecordKind::kChange ||
                !withdrawn_.insert(added.through_index).second)
                break;
            --pending_change_count_;
            rebuild_pending_keys();
            break;
        }
    }
    advance_applied_index();
    return AddResult::kAdded;
}

void History::for_each_pending(bool only_unscheduled, const std::function<void(const Record&)>& act) const {
    const LogIndex after = only_unscheduled ? std::max(applied_index_, scheduled_through_) : applied_index_;
    for (LogIndex index = after + 1; index <= last_index_; ++index) {
        const Record& record = records_[index - first_index()];
        if (record.kind == RecordKind::kChange && !is_withdrawn(index)) act(record);
    }
}

const Edit* History::pending(std::string_view key) const {
    const auto found = pending_keys_.find(key);
    if (found == pending_keys_.end()) return nullptr;
    return &records_[found->second.index - first_index()].change.edits[found->second.edit];
}

LogIndex History::newest_pending_revision(std::string_view key) const {
    const auto found = pending_keys_.find(key);
    return found == pending_keys_.end() ? 0 : found->second.index;
}

std::optional<Timestamp> History::next_activation_time() const {
    if (pending_activations_.empty()) return std::nullopt;
    return records_[pending_activations_.front() - first_index()].activation_time;
}

bool History::activate_next(Timestamp now, const std::function<void(const Record&)>& act) {
    const auto activation_time = next_activation_time();
    if (!activation_time || *activation_time > now) return false;
    const Record& activation = records_[pending_activations_.front() - first_index()];
    const LogIndex through = std::min(activation.through_index, activation.index - 1);
    for (LogIndex index = applied_index_ + 1; index <= through; ++index) {
        const Record& record = records_[index - first_index()];
        if (record.kind != RecordKind::kChange || is_withdrawn(index) || index <= revision_) continue;
        for (const Edit& edit : record.change.edits) {
            std::optional<std::string_view> value;
            if (edit.value) value = *edit.value;
            store_.set(edit.key, value, index);
            const auto found = pending_keys_.find(edit.key);
            if (found != pending_keys_.end() && found->second.index <= index) pending_keys_.erase(found);
        }
        --pending_change_count_;
        revision_ = index;
        act(record);
    }
    activation_index_ = activation.index;
    activated_at_ = activation.activation_time;
    pending_activations_.pop_front();
    advance_applied_index();
    return true;
}

void History::advance_applied_index() {
    const LogIndex activation = pending_activations_.empty() ? last_index_ + 1 : pending_activations_.front();
    while (applied_index_ < last_index_ && applied_index_ + 1 < activation) {
        const Record& next = records_[applied_index_ + 1 - first_index()];
        const bool is_undecided =
            next.kind == RecordKind::kChange && next.index > revision_ && !is_withdrawn(next.index);
        if (is_undecided) break;
        applied_index_ = next.index;
        applied_term_ = next.term;
        withdrawn_.erase(applied_index_);
    }
    drop_beyond_retention();
}

void History::drop_beyond_retention() {
    while (!records_.empty() && first_index() <= applied_index_ &&
           (applied_index_ + 1 - first_index() > retention_.records ||
            bytes(first_index(), applied_index_) > retention_.bytes)) {
        records_.pop_front();
        cumulative_bytes_.pop_front();
    }
}

History::SnapshotResult History::install_snapshot(const SnapshotChunk& last,
                                                  const std::vector<std::string>& compressed) {
    const bool is_full = last.since_revision == 0;
    if (!is_full && (last.since_revision > applied_index_ || last.last_included_index < applied_index_))
        return SnapshotResult::kNotContiguous;
    // Computes the resulting hash first. A key that changed while the snapshot was sent may occur twice; the
    // last occurrence counts.
    std::vector<std::uint64_t> keys;
    std::vector<SnapshotChunk::Entry> entries;
    for (const std::string& chunk_entries : compressed) {
        entries.clear();
        if (!decompress_entries(chunk_entries, entries)) return SnapshotResult::kHashMismatch;
        for (const auto& entry : entries) keys.push_back(ResourceStore::entry_hash(entry.key, {}));
    }
    std::sort(keys.begin(), keys.end());
    std::set<std::uint64_t> repeated;
    for (std::size_t i = 1; i < keys.size(); ++i) {
        if (keys[i] == keys[i - 1]) repeated.insert(keys[i]);
    }
    keys = {};
    std::uint64_t hash = is_full ? 0 : store_.hash();
    std::map<std::string, std::uint64_t> entry_hashes;
    for (const std::string& chunk_entries : compressed) {
        entries.clear();
        if (!decompress_entries(chunk_entries, entries)) return SnapshotResult::kHashMismatch;
        for (const auto& entry : entries) {
            const std::uint64_t entry_hash =
                entry.value ? ResourceStore::entry_hash(entry.key, *entry.value) : 0;
            const bool may_repeat = repeated.count(ResourceStore::entry_hash(entry.key, {})) != 0;
            const auto earlier = may_repeat ? entry_hashes.find(entry.key) : entry_hashes.end();
            if (earlier != entry_hashes.end()) {
                hash += entry_hash - earlier->second;
                earlier->second = entry_hash;
                continue;
            }
            if (may_repeat) entry_hashes.emplace(entry.key, entry_hash);
            const auto old_value = is_full ? std::nullopt : store_.find(entry.key);
            hash += entry_hash - (old_value ? ResourceStore::entry_hash(entry.key, *old_value) : 0);
        }
    }
    if (hash != last.hash) return SnapshotResult::kHashMismatch;
    if (is_full) store_.clear();
    for (const std::string& chunk_entries : compressed) {
        entries.clear();
        decompress_entries(chunk_entries, entries);
        for (const auto& entry : entries) {
            std::optional<std::string_view> value;
            if (entry.value) value = *entry.value;
            store_.set(entry.key, value, entry.revision);
        }
    }
    if (is_full) store_.forget_tombstones(last.tombstones_since);
    // Later records stay if they continue the same history.
    std::deque<Record> later_records;
    if (!is_full && last_index_ > last.last_included_index &&
        term_of(last.last_included_index) == last.last_included_term) {
        for (LogIndex index = last.last_included_index + 1; index <= last_index_; ++index)
            later_records.push_back(std::move(records_[index - first_index()]));
    }
    rebase_on(last, std::move(later_records));
    // The hash was checked above, so this does not happen; if it does, the history is cleared.
    if (store_.hash() != last.hash) {
        clear();
        return SnapshotResult::kCorrupted;
    }
    return SnapshotResult::kApplied;
}

History::SnapshotResult History::install_snapshot(const SnapshotChunk& last, ResourceStore&& built) {
    if (built.hash() != last.hash) return SnapshotResult::kHashMismatch;
    store_ = std::move(built);
    store_.forget_tombstones(last.tombstones_since);
    rebase_on(last, {});
    return SnapshotResult::kApplied;
}

void History::rebase_on(const SnapshotChunk& last, std::deque<Record> later_records) {
    pending_keys_.clear();
    records_.clear();
    cumulative_bytes_.clear();
    pending_activations_.clear();
    withdrawn_.clear();
    pending_change_count_ = 0;
    applied_index_ = last_index_ = scheduled_through_ = last.last_included_index;
    applied_term_ = last_term_ = last.last_included_term;
    activation_index_ = newest_activation_ = last.activation_index;
    revision_ = last.revision;
    activated_at_ = newest_activation_time_ = last.activated_at;
    for (Record& record : later_records) add(std::move(record));
}

void History::clear() { *this = History(retention_); }

bool History::save_part(SaveCursor& cursor, bool with_records, const std::function<std::string()>& extra,
                        std::string& out) const {
    if (cursor.parts == 0) cursor.tombstones_since = store_.tombstones_since();
    if (cursor.tombstones_since != store_.tombstones_since()) {
        cursor = SaveCursor();
        cursor.tombstones_since = store_.tombstones_since();
        out.clear();
    }
    std::string part;
    const auto flush = [&] {
        std::string text;
        wire_form::put_number(text, cursor.parts++);
        text += part;
        part.clear();
        const std::string encoded = storage::encode_checksummed(kFileKind, text);
        for (int shift = 24; shift >= 0; shift -= 8)
            out.push_back(static_cast<char>(encoded.size() >> shift));
        out += encoded;
    };
    cursor.store_position =
        store_.read_slice(cursor.store_position, 0, kPartBytes,
                          [&](std::string_view key, std::optional<std::string_view> value, LogIndex index) {
                              part.push_back('e');
                              wire_form::put_text(part, key);
                              wire_form::put_number(part, value ? value->size() + 1 : 0);
                              if (value) part += *value;
                              wire_form::put_number(part, index);
                          });
    if (cursor.store_position != 0) {
        flush();
        return true;
    }
    // The header describes the state as of now. A key that changed during the save occurs twice; the later
    // one counts.
    part.push_back('b');
    for (const std::uint64_t value :
         {applied_index_, applied_term_, activation_index_, revision_,
          static_cast<std::uint64_t>(activated_at_.count()), store_.tombstones_since(), store_.hash()})
        wire_form::put_number(part, value);
    wire_form::put_text(part, extra ? extra() : std::string());
    for (LogIndex index = applied_index_ + 1; with_records && index <= last_index_; ++index) {
        const Record& record = records_[index - first_index()];
        part.push_back('r');
        wire_form::put_number(part, record.term);
        wire_form::put_text(part, encode_record_body(record));
        if (part.size() >= kPartBytes) flush();
    }
    part.push_back('z');  // end mark, against truncation
    flush();
    return false;
}

std::string History::save(bool with_records, const std::string& extra) const {
    std::string out;
    SaveCursor cursor;
    while (save_part(
        cursor, with_records, [&extra] { return extra; }, out))
        continue;
    return out;
}

bool History::restore(std::string_view saved, std::string& extra) {
    History restored(retention_);
    std::uint64_t parts = 0, hash = 0;
    bool has_header = false, has_end_mark = false;
    const auto read_part = [&](std::string_view text) {
        std::uint64_t number = 0;
        if (!wire_form::take_number(text, number) || number != parts++ || has_end_mark) return false;
        while (!text.empty()) {
            const char kind = text.front();
            text.remove_prefix(1);
            std::string_view key, value;
            std::uint64_t size = 0;
            if (kind == 'e' && !has_header) {
                if (!wire_form::take_text(text, key, kMaxKeyBytes) || !wire_form::take_number(text, size) ||
                    (size > 0 && (size - 1 > kMaxValueBytes || size - 1 > text.size())))
                    return false;
                if (size > 0) {
                    value = text.substr(0, size - 1);
                    text.remove_prefix(size - 1);
                }
                if (!wire_form::take_number(text, number)) return false;
                restored.store_.set(key, size > 0 ? std::optional(value) : std::nullopt, number);
            } else if (kind == 'b' && !has_header) {
                has_header = true;
                std::uint64_t activated_at = 0, tombstones_since = 0;
                for (std::uint64_t* field :
                     {&restored.applied_index_, &restored.applied_term_, &restored.activation_index_,
                      &restored.revision_, &activated_at, &tombstones_since, &hash}) {
                    if (!wire_form::take_number(text, *field)) return false;
                }
                std::string_view caller_data;
                if (!wire_form::take_text(text, caller_data, storage::kMaxDecompressedBytes)) return false;
                extra = caller_data;
                restored.activated_at_ = restored.newest_activation_time_ =
                    Timestamp(static_cast<std::int64_t>(activated_at));
                restored.store_.forget_tombstones(tombstones_since);
                restored.last_index_ = restored.scheduled_through_ = restored.applied_index_;
                restored.last_term_ = restored.applied_term_;
                restored.newest_activation_ = restored.activation_index_;
            } else if (kind == 'r' && has_header) {
                std::uint64_t term = 0;
                if (!wire_form::take_number(text, term) || !wire_form::take_text(text, value, kMaxFrameBytes))
                    return false;
                auto record = decode_record_body(value);
                if (!record) return false;
                record->index = restored.last_index_ + 1;
                record->term = term;
                if (restored.add(std::move(*record)) != AddResult::kAdded) return false;
            } else if (kind == 'z') {
                has_end_mark = true;
                return text.empty();
            } else {
                return false;
            }
        }
        return true;
    };
    while (!saved.empty()) {
        if (saved.size() < 4) return false;
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(saved[i]);
        saved.remove_prefix(4);
        if (size > saved.size()) return false;
        const auto text = storage::decode_checksummed(kFileKind, saved.substr(0, size));
        saved.remove_prefix(size);
        if (!text || !read_part(*text)) return false;
    }
    if (!has_end_mark || !has_header || restored.store_.hash() != hash) return false;
    *this = std::move(restored);
    return true;
}

}  // namespace linnetlead::distribution
