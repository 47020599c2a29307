// A follower of a relay: part of a gateway, or of a relay that does not vote. It holds the active state and
// the records that are not active yet; its lease tells whether others may have activated changes that it has
// not received. No I/O and no clock: the process passes in the time, connection events and frames.
//
//   follower_connection  which relay it connects to, and when it connects and disconnects
//   follower_lease       whether the active state may be acted on
//   snapshot_assembler   collects the chunks of a snapshot
//   unsupported_edits    edits that this gateway does not support
//   history              the records, and the state that results from the active ones
#pragma once

#include "cluster/distribution/follower_connection.h"
#include "cluster/distribution/follower_lease.h"
#include "cluster/distribution/follower_settings.h"
#include "cluster/distribution/snapshot_assembler.h"
#include "cluster/distribution/unsupported_edits.h"

namespace linnetlead::distribution {

class Follower {
public:
    using Settings = FollowerSettings;
    using Callbacks = FollowerCallbacks;
    Follower(const Settings& settings, Callbacks callbacks);
    Follower(const Follower&) = delete;
    Follower& operator=(const Follower&) = delete;

    void tick(Timestamp now);                  // about every 40 ms, and at wake_at()
    std::optional<Timestamp> wake_at() const;  // the next activation time
    void on_connected(Timestamp now);
    void on_disconnected(Timestamp now);  // the current connection or attempt has ended
    void on_frame(Timestamp now, const Frame& frame);
    // Closes the connection; the next attempt follows after the longest backoff at the earliest. For tests.
    void disconnect(Timestamp now);

    // A follower that is not fenced may act on its whole state: it holds all records that were committed at
    // some time within the lease, and all activations that are due have taken effect. Cheap, and correct
    // directly after a stall of the process, without a tick().
    bool fenced(Timestamp now) const;
    // True if this gateway does not support the key's active value: it is conservative about this key alone.
    bool fenced(std::string_view key) const;
    const ResourceStore& store() const { return history_.store(); }
    const History& history() const { return history_; }
    // The value of the key once all held changes are active, for decisions that must be safe under both the
    // old and the new value. Outer nullopt: no pending change affects the key; inner nullopt: it will be
    // removed.
    std::optional<std::optional<std::string>> pending(std::string_view key) const;
    bool has_pending() const;
    LogIndex last_index() const;
    LogIndex activation_index() const;              // the newest activation that took effect here
    Revision revision() const;                      // the newest active change
    std::optional<Timestamp> active_since() const;  // when that change took effect here
    const Heartbeat& heartbeat() const;             // the newest heartbeat whose records are all held
    // Upper bound on how long an unfenced gateway acts on a state that another gateway has already replaced.
    Duration max_divergence() const;
    std::optional<int> connected_relay() const;
    std::uint64_t connection_attempts() const, snapshots() const, full_snapshots() const;

    // The state and records that survive a restart. The restored follower is fenced until a heartbeat
    // confirms them.
    std::string save() const;
    // Appends the next part of the same, so that saving does not block for more than a millisecond or two at
    // a time. False: that was the last part. restore() takes all parts concatenated.
    bool save_part(History::SaveCursor& cursor, std::string& out) const;
    // False: the bytes are damaged, and the follower is unchanged.
    bool restore(Timestamp now, const std::string& saved);

private:
    void on_records(Timestamp now, const Records& records);
    void on_heartbeat(Timestamp now, const Heartbeat& heartbeat);
    void on_snapshot_chunk(Timestamp now, const SnapshotChunk& chunk);
    // False: the snapshot was rejected and the connection given up.
    bool install(Timestamp now, const SnapshotChunk& last, SnapshotAssembler::Snapshot& snapshot);
    void on_installed(Timestamp now, const SnapshotChunk& last, const std::vector<std::string>& chunks);
    void activate_due(Timestamp now);
    void use_heartbeats();
    void notify_fenced(Timestamp now);
    Ack acknowledgement(Timestamp now) const;
    void acknowledge(Timestamp now);

    const Settings settings_;
    Callbacks callbacks_;
    History history_;
    FollowerLease lease_;
    SnapshotAssembler assembler_;
    UnsupportedEdits unsupported_;
    FollowerConnection connection_;
    std::optional<Timestamp> active_since_;
    bool notified_fenced_ = true;
    bool needs_full_state_ = false;  // the held state is unusable

    Ack last_ack_;
    bool ack_due_ = false;
    Timestamp last_ack_at_{};
    std::uint64_t snapshots_ = 0, full_snapshots_ = 0;
};

}  // namespace linnetlead::distribution
