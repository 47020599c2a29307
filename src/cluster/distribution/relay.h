// A relay distributes the configuration log to its followers and counts their acknowledgements. Voting relays
// replicate the log among themselves by Raft; their leader accepts changes and decides when they become
// active. One class serves voting and other relays; `linnetlead relay` and the simulated regions both drive
// it. No I/O and no clock.
//
//   voting_log        drives Raft at a voting relay
//   change_validator  checks a submitted change against the latest state
//   change_router     routes submitted changes and their answers
//   activation        decides when committed changes become active
//   voter_reports     acknowledgement counts that voters report to the leader
//   follower          the upstream side of a non-voting relay
//   fan_out           serves the followers of this relay
#pragma once

#include "cluster/distribution/follower.h"
#include "cluster/raft/raft_node.h"

namespace linnetlead::distribution {

using raft::HardState;
using raft::LogEntry;
using raft::LogSnapshot;
using raft::RaftNode;

// Number of a downstream connection, assigned by the process that drives the relay.
using Session = std::uint64_t;

class Relay {
public:
    // One of the fleet's relays. Its number is its position in Settings::members.
    struct Member {
        std::string name;
        int region = 0;
        bool is_voter = false;
    };
    struct Settings {
        // At most 40 relays, with an odd number of voters, at most 7. No region may have a majority of the
        // voters unless all are in one region.
        std::vector<Member> members;
        int self = 0;
        std::uint64_t seed = 0;
        // For a non-voting relay: the relays that it may follow. Lease and clock skew apply to every relay.
        Follower::Settings follower;
        // Time between the proposal of an activation and its activation time; at least the clock skew.
        Duration activation_lead = std::chrono::milliseconds(800);
        // How long a committed change waits for the acknowledgements of all gateways.
        Duration acknowledgement_timeout = std::chrono::milliseconds(1200);
        // Disables that timeout: a change becomes active only when all connected gateways hold it.
        bool wait_for_all = false;
        // Share of gateways, 0 to 1. A change that a larger share does not support is withdrawn.
        double max_unsupported_share = 0.1;
        Duration heartbeat_interval = std::chrono::milliseconds(500);
        std::size_t max_followers = 400;
        // Above this number, the relay asks followers one at a time to follow another relay, since zones are
        // of uneven size.
        std::size_t target_followers = 200;
        // New followers admitted per second; others are told to retry later.
        double joins_per_s = 100;
        // Decided records retained for followers that lag; a follower that lacks older ones gets a snapshot.
        std::size_t retained_records = 4096;
        std::size_t retained_bytes = 32 * 1024 * 1024;
        // Limit of unsent bytes to one follower. Beyond it, records wait; if too many wait, the follower gets
        // a snapshot with the latest value of each key instead.
        std::size_t send_window_bytes = 256 * 1024;
        std::size_t snapshot_window_bytes = 512 * 1024;
        double max_concurrent_snapshots = 32;
        // Changes neither active nor withdrawn; further ones are rejected and may be retried.
        std::size_t max_pending_changes = 256;
        // For a voter: decided log entries after which a saved state replaces them.
        std::size_t compact_after_entries = 4096;
        RaftNode::Settings raft;  // times and limits; Relay sets voters, self and seed
        // Time after which a submitted change is answered in any case.
        Duration answer_timeout = std::chrono::seconds(10);
    };
    // Called from within the relay's member functions. on_event and validate_value are optional.
    struct Callbacks {
        // Sends a message to the voter with this relay number: a Raft message, or a frame between voters
        // (change, answer, acknowledgement counts). Messages may be lost.
        std::function<void(int voter, const std::string& message)> send_to_voter;
        std::function<void(Session, const Frame&)> send_to_follower;
        std::function<std::size_t(Session)> unsent_bytes;  // queued on the connection
        std::function<void(Session)> close_session;        // after all queued bytes are sent
        // For a non-voting relay, as in FollowerCallbacks.
        std::function<void(int relay)> connect_upstream;
        std::function<void()> disconnect_upstream;
        std::function<void(const Frame&)> send_upstream;
        // Writes the entries, hard state and snapshots of `ready` to disk and then calls on_persisted(),
        // which is allowed from within this callback. Called only if there is something to write, for one
        // Ready at a time.
        std::function<void(const raft::Ready&)> persist;
        std::function<void(EventKind kind, const std::string& text)> on_event;
        // Why no gateway can parse this value; empty if it is valid.
        std::function<std::string(const Edit&)> validate_value;
    };
    // What a voter finds on its disk at start.
    struct PersistentState {
        HardState hard_state;
        LogSnapshot snapshot;
        std::vector<LogEntry> entries;
    };
    Relay(const Settings& settings, Callbacks callbacks, PersistentState state = {});
    ~Relay();

    void tick(Timestamp now);                  // every 20 ms or so, and at wake_at()
    std::optional<Timestamp> wake_at() const;  // the next activation time
    void on_persisted(Timestamp now);
    void on_voter_message(Timestamp now, int from, std::string_view message);  // `from`: relay number
    // Downstream sessions.
    void on_session_opened(Timestamp now, Session session);
    void on_frame(Timestamp now, Session session, const Frame& frame);
    void on_invalid_bytes(Timestamp now, Session session, Rejection rejection);  // not a frame
    void on_session_closed(Timestamp now, Session session);
    // Connection of a non-voting relay to the relay that it follows.
    void on_upstream_connected(Timestamp now);
    void on_upstream_disconnected(Timestamp now);
    void on_upstream_frame(Timestamp now, const Frame& frame);

    // State of a non-voting relay across restarts. restore() returns false, and changes nothing, if the data
    // is damaged.
    std::string save() const;
    bool restore(Timestamp now, const std::string& saved);

    bool leads() const;                 // and has committed a record of its own term
    std::optional<int> leader() const;  // relay number; unknown to a non-voting relay
    LogIndex committed() const;
    LogIndex newest_activation() const;          // the newest activation record known here
    std::optional<Heartbeat> heartbeat() const;  // the newest
    const ResourceStore& store() const;          // the active state
    LogIndex last_index() const;                 // the last record held
    Revision revision() const;                   // the newest change that is active here
    std::size_t followers() const;
    std::uint32_t gateways() const;               // downstream, directly and through other relays
    std::string state_json(Timestamp now) const;  // for operators
    struct TrafficCounters {
        std::uint64_t frames_down = 0, bytes_down = 0, frames_up = 0, bytes_up = 0, snapshots = 0,
                      rejected_joins = 0, asked_to_leave = 0;
    };
    const TrafficCounters& traffic() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// Describes the first error in the settings; empty if they are valid.
std::string check(const Relay::Settings& settings);

}  // namespace linnetlead::distribution
