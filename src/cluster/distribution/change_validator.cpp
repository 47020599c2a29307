#include "cluster/distribution/change_validator.h"

#include "cluster/distribution/cbor_fields.h"

namespace linnetlead::distribution {

namespace {

std::size_t size_of(const Change& change) {
    std::size_t size = 64;
    for (const Edit& edit : change.edits)
        size += 16 + edit.key.size() + (edit.value ? edit.value->size() : 0);
    return size;
}

}  // namespace

ChangeValidator::LatestKeyState ChangeValidator::latest_state(const std::string& key,
                                                              const History& history) const {
    const auto proposed = proposed_keys_.find(key);
    if (proposed != proposed_keys_.end()) return proposed->second;
    if (const Edit* edit = history.pending(key))
        return {history.newest_pending_revision(key), edit->value.has_value()};
    return {history.store().revision_of(key), history.store().find(key).has_value()};
}

ChangeValidator::Verdict ChangeValidator::check(const Change& change, const History& history,
                                                LogIndex last_index) const {
    Verdict verdict;
    const auto reject = [&verdict](Rejection rejection, std::string message) {
        verdict.rejection = rejection;
        verdict.message = std::move(message);
        return verdict;
    };
    if (const Rejection rejection = distribution::check(change); rejection != Rejection::kNone)
        return reject(rejection, {});
    for (const auto* ids : {&ids_, &proposed_ids_}) {
        const auto known = ids->find(change.id);
        if (known == ids->end()) continue;
        if (known->second.digest != digest(change)) return reject(Rejection::kIdReused, change.id);
        verdict.index = known->second.index;
        verdict.is_pending = ids == &proposed_ids_;
        return verdict;
    }
    for (const Edit& edit : change.edits) {
        if (!edit.value || !settings_.validate_value) continue;
        std::string problem = settings_.validate_value(edit);
        if (!problem.empty()) return reject(Rejection::kInvalidValue, edit.key + ": " + problem);
    }
    if (change.base_revision > last_index)
        return reject(Rejection::kFutureBase, std::to_string(last_index) + " is the newest log index");
    for (const Edit& edit : change.edits) {
        const LatestKeyState state = latest_state(edit.key, history);
        // The store does not know when a key was removed if that was before tombstones_since().
        const bool is_forgotten =
            state.revision == 0 && change.base_revision < history.store().tombstones_since();
        if (change.base_revision != 0 && (state.revision > change.base_revision || is_forgotten))
            return reject(Rejection::kStaleBase, edit.key);
        if (!edit.value && !state.exists) return reject(Rejection::kNoSuchKey, edit.key);
    }
    if (history.pending_change_count() + proposed_.size() >= settings_.max_pending_changes ||
        history.pending_bytes() + proposed_bytes_ + size_of(change) > settings_.max_pending_bytes)
        return reject(Rejection::kBusy, {});
    return verdict;
}

void ChangeValidator::on_proposed(const Change& change, LogIndex index) {
    ProposedChange& entry = proposed_[index];
    entry.id = change.id;
    entry.bytes = size_of(change);
    proposed_bytes_ += entry.bytes;
    proposed_ids_[change.id] = {digest(change), index};
    for (const Edit& edit : change.edits) {
        entry.keys.push_back(edit.key);
        proposed_keys_[edit.key] = {index, edit.value.has_value()};
    }
}

void ChangeValidator::on_committed(const Record& record) {
    while (!proposed_.empty() && proposed_.begin()->first <= record.index) {
        const auto& [index, entry] = *proposed_.begin();
        for (const std::string& key : entry.keys) {
            const auto found = proposed_keys_.find(key);
            if (found != proposed_keys_.end() && found->second.revision <= index) proposed_keys_.erase(found);
        }
        proposed_ids_.erase(entry.id);
        proposed_bytes_ -= entry.bytes;
        proposed_.erase(proposed_.begin());
    }
    if (record.kind != RecordKind::kChange) return;
    if (!ids_.emplace(record.change.id, KnownId{digest(record.change), record.index}).second) return;
    id_order_.push_back(record.change.id);
    while (id_order_.size() > kRememberedIds) {
        ids_.erase(id_order_.front());
        id_order_.pop_front();
    }
}

void ChangeValidator::discard_proposed() {
    proposed_.clear();
    proposed_ids_.clear();
    proposed_keys_.clear();
    proposed_bytes_ = 0;
}

std::string ChangeValidator::save() const {
    std::string text;
    for (const std::string& id : id_order_) {
        const KnownId& known = ids_.at(id);
        wire_form::put_text(text, id);
        wire_form::put_number(text, known.digest);
        wire_form::put_number(text, known.index);
    }
    return text;
}

bool ChangeValidator::restore(std::string_view saved) {
    discard_proposed();
    ids_.clear();
    id_order_.clear();
    while (!saved.empty()) {
        std::string_view id;
        KnownId known;
        if (!wire_form::take_text(saved, id, kMaxIdBytes) || !wire_form::take_number(saved, known.digest) ||
            !wire_form::take_number(saved, known.index) || id_order_.size() == kRememberedIds)
            return false;
        if (ids_.emplace(std::string(id), known).second) id_order_.emplace_back(id);
    }
    return true;
}

}  // namespace linnetlead::distribution
