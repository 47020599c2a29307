#include "cluster/distribution/voting_log.h"

#include <algorithm>
#include <utility>

namespace linnetlead::distribution {

namespace {

constexpr std::size_t kMaxLogBytes = 32 * 1024 * 1024;  // committed bytes that start a compaction

}  // namespace

VotingLog::VotingLog(const Relay::Settings& settings, const Relay::Callbacks& callbacks,
                     ChangeValidator& validator, Listener& listener)
    : settings_(settings),
      callbacks_(callbacks),
      validator_(validator),
      listener_(listener),
      history_(settings.follower.retention) {
    for (std::size_t i = 0; i < settings.members.size(); ++i) {
        if (settings.members[i].is_voter) voters_.push_back(static_cast<int>(i));
    }
}

void VotingLog::start(Relay::PersistentState state) {
    RaftNode::Settings raft = settings_.raft;
    raft.voters = static_cast<int>(voters_.size());
    raft.self = index_of(settings_.self);
    raft.seed = settings_.seed;
    if (state.snapshot.index > 0) install(state.snapshot);
    raft_ = std::make_unique<RaftNode>(raft, state.hard_state, std::move(state.snapshot),
                                       std::move(state.entries));
}

int VotingLog::index_of(int relay) const {
    const auto found = std::find(voters_.begin(), voters_.end(), relay);
    return found == voters_.end() ? -1 : static_cast<int>(found - voters_.begin());
}

void VotingLog::mark_broken(const std::string& reason) {
    callbacks_.on_event(EventKind::kFault, reason);
    is_broken_ = true;
}

void VotingLog::install(const LogSnapshot& snapshot) {
    save_cursor_.reset();
    std::string ids;
    // Snapshots are checked when written and on receipt, so a failure here means that the data on this disk
    // is unusable.
    if (!history_.restore(snapshot.state, ids) || history_.applied_index() != snapshot.index ||
        !validator_.restore(ids))
        mark_broken("the state at " + std::to_string(snapshot.index) + " cannot be read");
}

void VotingLog::process_ready(Timestamp now) {
    if (is_processing_ || is_broken_) return;
    is_processing_ = true;
    while (!is_persisting_) {
        raft::Ready next = raft_->ready();
        if (next.empty()) break;
        ready_ = std::move(next);
        is_persisting_ = true;
        if (ready_.to_disk()) {
            callbacks_.persist(ready_);
        } else {
            on_ready_written(now);
        }
    }
    is_processing_ = false;
}

void VotingLog::on_persisted(Timestamp now) {
    if (!is_persisting_) return;
    on_ready_written(now);
    process_ready(now);
}

void VotingLog::on_ready_written(Timestamp now) {
    is_persisting_ = false;
    const raft::Ready written = std::exchange(ready_, {});
    raft_->persisted(now);
    if (written.install) {
        install(*written.install);
        if (is_broken_) return;
        listener_.on_history_replaced(now);
    }
    for (const auto& [to, message] : written.messages)
        listener_.send_raft_message(voters_.at(static_cast<std::size_t>(to)), message);
    for (const LogEntry& entry : written.committed) apply(entry);
    if (!written.committed.empty()) {
        activate_due(now);
        listener_.on_history_extended(now);
    }
    listener_.on_role_may_have_changed(now);
}

void VotingLog::apply(const LogEntry& entry) {
    auto record = decode_record_body(entry.body);
    if (!record) {
        callbacks_.on_event(EventKind::kFault,
                            "record " + std::to_string(entry.index) + " cannot be read: it has no effect");
        record.emplace();
    }
    record->index = entry.index;
    record->term = entry.term;
    const auto result = history_.add(*record);
    if (result == History::AddResult::kAlreadyKnown) return;
    if (result != History::AddResult::kAdded)
        return mark_broken("record " + std::to_string(entry.index) +
                           " does not continue the committed history");
    log_bytes_ += entry.body.size();
    listener_.on_committed(*record);
}

void VotingLog::activate_due(Timestamp now) {
    while (history_.activate_next(now, [](const Record&) {})) continue;
}

void VotingLog::compact() {
    if (is_broken_) return;
    if (!save_cursor_) {
        const LogIndex first = raft_->first_index();
        if (history_.applied_index() < first) return;
        if (history_.applied_index() - first + 1 <= settings_.compact_after_entries &&
            log_bytes_ <= kMaxLogBytes)
            return;
        save_cursor_.emplace();
        saved_state_.clear();
        log_bytes_ = 0;
    }
    const auto save_ids = [this] { return validator_.save(); };
    if (history_.save_part(*save_cursor_, false, save_ids, saved_state_)) return;
    save_cursor_.reset();
    raft_->compact({history_.applied_index(), history_.applied_term(), std::exchange(saved_state_, {})});
}

bool VotingLog::leads() const {
    return !is_broken_ && raft_->is_leader() && history_.last_term() == raft_->term();
}

std::optional<int> VotingLog::leader() const {
    const auto index = raft_->leader();
    if (!index) return std::nullopt;
    return voters_.at(static_cast<std::size_t>(*index));
}

void VotingLog::on_raft_message(Timestamp now, int relay, std::string_view message) {
    raft_->receive(now, index_of(relay), message);
    process_ready(now);
}

}  // namespace linnetlead::distribution
