#include "cluster/distribution/follower.h"

#include <algorithm>
#include <utility>

namespace linnetlead::distribution {

namespace {

// Records that heartbeats require count as lost if they do not arrive within so many heartbeat timeouts.
constexpr int kMissingRecordsTimeouts = 2;

bool is_same(const Ack& a, const Ack& b) {
    const auto same_replicated = [](const ReplicationCount& x, const ReplicationCount& y) {
        return x.through_index == y.through_index && x.gateways == y.gateways;
    };
    const auto same_unsupported = [](const UnsupportedCount& x, const UnsupportedCount& y) {
        return x.change == y.change && x.gateways == y.gateways && x.gateway_names == y.gateway_names;
    };
    return a.last_index == b.last_index && a.activation_index == b.activation_index &&
           a.gateways == b.gateways && a.fenced == b.fenced &&
           std::equal(a.replicated.begin(), a.replicated.end(), b.replicated.begin(), b.replicated.end(),
                      same_replicated) &&
           std::equal(a.unsupported.begin(), a.unsupported.end(), b.unsupported.begin(), b.unsupported.end(),
                      same_unsupported);
}

FollowerCallbacks with_event(FollowerCallbacks callbacks) {
    if (!callbacks.on_event) callbacks.on_event = [](EventKind, const std::string&) {};
    return callbacks;
}

}  // namespace

Follower::Follower(const Settings& settings, Callbacks callbacks)
    : settings_(settings),
      callbacks_(with_event(std::move(callbacks))),
      history_(settings.retention),
      lease_(settings.lease, settings.max_clock_skew),
      unsupported_(callbacks_.unsupported_edits),
      connection_(settings_, callbacks_, [this] { assembler_.clear(); }) {}

// ---- lease ----

bool Follower::fenced(Timestamp now) const {
    if (!lease_.is_valid(now)) return true;
    // Activations that are due must have taken effect, including those newer than the heartbeat.
    const auto next = history_.next_activation_time();
    return next && *next <= now;
}

bool Follower::fenced(std::string_view key) const { return unsupported_.is_unsupported(std::string(key)); }

void Follower::on_heartbeat(Timestamp now, const Heartbeat& heartbeat) {
    switch (lease_.on_heartbeat(now, heartbeat, history_.last_index())) {
        case FollowerLease::Outcome::kStale:
            return;
        case FollowerLease::Outcome::kClockAhead:
            callbacks_.on_event(
                EventKind::kClock,
                "ignored a heartbeat whose time is ahead of the local clock by more than the allowed skew");
            return;
        case FollowerLease::Outcome::kForeignHistory:
            needs_full_state_ = true;
            return connection_.abandon(now,
                                       "the local state belongs to another fleet; a full state is needed");
        case FollowerLease::Outcome::kAccepted:
            break;
    }
    connection_.on_fresh_heartbeat(now);
    use_heartbeats();
}

void Follower::use_heartbeats() {
    while (const auto heartbeat = lease_.take_usable(history_.last_index())) {
        if (callbacks_.on_heartbeat) callbacks_.on_heartbeat(*heartbeat);
    }
}

void Follower::activate_due(Timestamp now) {
    std::vector<std::string> keys;
    const auto on_change = [&](const Record& change) {
        for (const Edit& edit : change.change.edits) keys.push_back(edit.key);
        unsupported_.on_active(change);
    };
    while (history_.activate_next(now, on_change)) {
        active_since_ = now;
        ack_due_ = true;
        unsupported_.drop_applied(history_.applied_index());
        if (callbacks_.on_active) callbacks_.on_active(history_.revision(), keys, false);
        keys.clear();
    }
}

void Follower::notify_fenced(Timestamp now) {
    const bool is_fenced = fenced(now);
    if (is_fenced == notified_fenced_) return;
    notified_fenced_ = is_fenced;
    if (callbacks_.on_fenced) callbacks_.on_fenced(is_fenced);
}

// ---- frames ----

void Follower::on_frame(Timestamp now, const Frame& frame) {
    if (!connection_.on_frame(now)) return;
    if (std::holds_alternative<Welcome>(frame)) {
        connection_.on_welcome();
        acknowledge(now);
    } else if (const auto* away = std::get_if<Away>(&frame)) {
        connection_.on_retry_later(now, *away);
    } else if (const auto* error = std::get_if<Error>(&frame)) {
        connection_.abandon(
            now,
            std::string("the relay says: ") + rejection_message(error->rejection) + ", " + error->message,
            FollowerConnection::kMinAvoidance);
    } else if (const auto* records = std::get_if<Records>(&frame)) {
        on_records(now, *records);
    } else if (const auto* lease = std::get_if<Lease>(&frame)) {
        on_heartbeat(now, lease->heartbeat);
    } else if (const auto* chunk = std::get_if<SnapshotChunk>(&frame)) {
        on_snapshot_chunk(now, *chunk);
    } else if (!std::holds_alternative<Answer>(frame)) {
        connection_.abandon(now, "received a frame that a relay never sends",
                            FollowerConnection::kMaxAvoidance);
    }
    notify_fenced(now);
}

void Follower::on_records(Timestamp now, const Records& records) {
    for (const Record& record : records.records) {
        switch (history_.add(record)) {
            case History::AddResult::kAlreadyKnown:
                continue;
            case History::AddResult::kGap:
                return connection_.abandon(now, "received records with a gap");
            case History::AddResult::kConflict:
                return connection_.abandon(now, "received a record that conflicts with a local one");
            case History::AddResult::kAdded:
                break;
        }
        lease_.on_records(now);
        lease_.on_progress(now);
        ack_due_ = true;
        if (record.kind == RecordKind::kChange) unsupported_.on_pending(record);
        if (callbacks_.on_record) callbacks_.on_record(record);
        if (history_.pending_bytes() > settings_.max_pending_bytes) {
            const char* const reason = "records that are not active yet exceed max_pending_bytes";
            callbacks_.on_event(EventKind::kPending, reason);
            return connection_.abandon(now, reason, FollowerConnection::kMaxAvoidance);
        }
    }
    activate_due(now);
    use_heartbeats();
}

void Follower::on_snapshot_chunk(Timestamp now, const SnapshotChunk& chunk) {
    if (!assembler_.add(chunk, history_.store().bytes()))
        return connection_.abandon(now, "received snapshot chunks with a gap");
    lease_.on_progress(now);
    if (!chunk.is_last) return;
    SnapshotAssembler::Snapshot snapshot = assembler_.finish();
    if (install(now, chunk, snapshot)) on_installed(now, chunk, snapshot.chunks);
}

bool Follower::install(Timestamp now, const SnapshotChunk& last, SnapshotAssembler::Snapshot& snapshot) {
    const auto abandon = [&](const char* reason) {
        connection_.abandon(now, reason);
        return false;
    };
    // The relay's state is older than the local one; installing it would undo active changes.
    if (last.since_revision == 0 && !needs_full_state_ && last.last_included_index < history_.applied_index())
        return abandon("received a snapshot that is older than the active state");
    const auto result = snapshot.store ? history_.install_snapshot(last, std::move(*snapshot.store))
                                       : history_.install_snapshot(last, snapshot.chunks);
    switch (result) {
        case History::SnapshotResult::kApplied:
            return true;
        case History::SnapshotResult::kNotContiguous:
            return abandon("received a snapshot that does not continue the local state");
        case History::SnapshotResult::kHashMismatch:
            needs_full_state_ = true;
            return abandon("received a snapshot whose hash does not match its state");
        case History::SnapshotResult::kCorrupted:
            break;
    }
    // The history has discarded its state.
    needs_full_state_ = true;
    lease_.clear_current();
    unsupported_.clear();
    if (callbacks_.on_active) callbacks_.on_active(0, {}, true);
    if (callbacks_.on_state_replaced) callbacks_.on_state_replaced();
    return abandon("received a corrupted snapshot; the local state is lost");
}

void Follower::on_installed(Timestamp now, const SnapshotChunk& last,
                            const std::vector<std::string>& chunks) {
    const bool is_full = last.since_revision == 0;
    ++snapshots_;
    if (is_full) ++full_snapshots_;
    needs_full_state_ = false;
    active_since_ = now;
    lease_.on_records(now);
    ack_due_ = true;
    unsupported_.drop_applied(history_.applied_index());
    unsupported_.drop_beyond(history_.last_index());
    // A heartbeat whose records are no longer all held gives no lease.
    if (history_.last_index() < lease_.current().committed) lease_.clear_current();
    std::vector<std::string> keys;
    if (is_full) {
        unsupported_.recheck(history_.store());
    } else {
        for (const std::string& compressed : chunks) {
            std::vector<SnapshotChunk::Entry> entries;
            decompress_entries(compressed, entries);
            unsupported_.recheck(std::move(entries), keys);
        }
    }
    if (callbacks_.on_active) callbacks_.on_active(history_.revision(), keys, is_full);
    if (callbacks_.on_state_replaced) callbacks_.on_state_replaced();
    activate_due(now);
    use_heartbeats();
}

// ---- connection ----

void Follower::on_connected(Timestamp now) {
    if (!connection_.on_connected(now)) return;
    lease_.on_progress(now);
    Hello hello;
    hello.role = settings_.role;
    hello.name = settings_.name;
    hello.last_index = history_.last_index();
    hello.last_term = history_.last_term();
    hello.applied_index = history_.applied_index();
    hello.needs_full_state = needs_full_state_;
    callbacks_.send(hello);
}

void Follower::on_disconnected(Timestamp now) { connection_.on_disconnected(now); }
void Follower::disconnect(Timestamp now) { connection_.disconnect(now); }

void Follower::tick(Timestamp now) {
    activate_due(now);
    use_heartbeats();
    notify_fenced(now);
    if (!connection_.tick(now)) return;
    // A relay may delay records, but records that were lost require a new connection.
    if (lease_.is_missing_records(now, kMissingRecordsTimeouts * settings_.heartbeat_timeout))
        return connection_.abandon(now, "records that counted have not come for too long");
    const bool is_quiet = history_.pending_change_count() == 0 && !fenced(now);
    if (connection_.may_return_to_nearest(now) && is_quiet && connection_.return_to_nearest(now)) return;
    acknowledge(now);
}

std::optional<Timestamp> Follower::wake_at() const { return history_.next_activation_time(); }

// ---- acknowledgements ----

Ack Follower::acknowledgement(Timestamp now) const {
    Ack ack;
    if (callbacks_.downstream_acknowledgements) {
        ack = callbacks_.downstream_acknowledgements();
    } else if (settings_.role == Role::kGateway) {
        ack.gateways = 1;
        ack.fenced = fenced(now) ? 1 : 0;
        ack.unsupported = unsupported_.counts(history_, settings_.name);
    }
    ack.last_index = history_.last_index();
    ack.activation_index = history_.activation_index();
    return ack;
}

void Follower::acknowledge(Timestamp now) {
    const bool is_due = now - last_ack_at_ >= settings_.max_ack_interval;
    if (!is_due && now - last_ack_at_ < settings_.ack_interval) return;
    if (!is_due && !ack_due_ && !callbacks_.downstream_acknowledgements) return;
    Ack ack = acknowledgement(now);
    if (!is_due && is_same(ack, last_ack_)) return;
    last_ack_at_ = now;
    ack_due_ = false;
    callbacks_.send(ack);
    last_ack_ = std::move(ack);
}

// ---- state ----

std::optional<std::optional<std::string>> Follower::pending(std::string_view key) const {
    const Edit* edit = history_.pending(key);
    if (!edit) return std::nullopt;
    return edit->value;
}

bool Follower::has_pending() const { return history_.pending_change_count() > 0; }
LogIndex Follower::last_index() const { return history_.last_index(); }
LogIndex Follower::activation_index() const { return history_.activation_index(); }
Revision Follower::revision() const { return history_.revision(); }
std::optional<Timestamp> Follower::active_since() const { return active_since_; }
const Heartbeat& Follower::heartbeat() const { return lease_.current(); }
Duration Follower::max_divergence() const { return settings_.lease + settings_.max_clock_skew; }
std::optional<int> Follower::connected_relay() const { return connection_.relay(); }
std::uint64_t Follower::connection_attempts() const { return connection_.attempts(); }
std::uint64_t Follower::snapshots() const { return snapshots_; }
std::uint64_t Follower::full_snapshots() const { return full_snapshots_; }

std::string Follower::save() const { return history_.save(true, {}); }
bool Follower::save_part(History::SaveCursor& cursor, std::string& out) const {
    return history_.save_part(cursor, true, {}, out);
}

bool Follower::restore(Timestamp now, const std::string& saved) {
    std::string extra;
    if (!history_.restore(saved, extra)) return false;
    lease_.reset(now);
    unsupported_.clear_pending();
    unsupported_.recheck(history_.store());
    history_.for_each_pending(false, [this](const Record& change) { unsupported_.on_pending(change); });
    if (history_.revision() > 0) active_since_ = history_.activated_at();
    if (callbacks_.on_active) callbacks_.on_active(history_.revision(), {}, true);
    if (callbacks_.on_state_replaced) callbacks_.on_state_replaced();
    activate_due(now);
    return true;
}

}  // namespace linnetlead::distribution
