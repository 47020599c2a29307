// Serves the followers of a relay: admits them, sends each the records or the snapshot that it lacks, and
// counts what they acknowledge. Relay drives it. For each follower only a position in the history is kept,
// not a queue of records. No I/O and no clock.
#pragma once

#include "cluster/distribution/acknowledgement_counts.h"
#include "cluster/distribution/join_limiter.h"
#include "cluster/distribution/relay.h"

namespace linnetlead::distribution {

class FanOut {
public:
    // Handlers of the requests that any session may send: `submit` for a change, `state` for an Ask.
    struct RequestHandlers {
        std::function<void(Timestamp, Session, const Submit&)> submit;
        std::function<void(Timestamp, Session, const Ask&)> state;
    };
    FanOut(const Relay::Settings& settings, const Relay::Callbacks& callbacks, const History& history,
           RequestHandlers handlers);

    void on_session_opened(Timestamp now, Session session);
    void on_frame(Timestamp now, Session session, const Frame& frame);
    void on_invalid_bytes(Timestamp now, Session session, Rejection rejection);
    void on_session_closed(Session session);

    void tick(Timestamp now);
    // Sends every follower what it lacks; called after records were added to the history.
    void send(Timestamp now);
    // The history was replaced by another: snapshots under way start again, and followers ahead of the new
    // history are disconnected.
    void on_history_replaced(Timestamp now);
    void send_heartbeat(Timestamp now, const Heartbeat& heartbeat);
    // Returns false if the session is closed.
    bool answer(Session session, const Answer& answer);

    const AcknowledgementCounts& counts() const { return counts_; }
    std::size_t followers() const;
    const Relay::TrafficCounters& traffic() const { return traffic_; }

private:
    // Progress of a snapshot that is being sent.
    struct Snapshot {
        Revision since_revision = 0, tombstones_since = 0;
        std::size_t store_position = 0;
        std::uint64_t next_sequence = 0;
    };
    // A session: a follower, or a tool that only submits changes or asks for the state.
    struct Downstream {
        bool has_sent_hello = false;
        Role role = Role::kGateway;
        std::string name;
        Timestamp opened_at{}, last_received_at{};
        LogIndex sent_through = 0;  // the last record that was sent, or that its hello reported
        // The last record that its hello reported, until it has been compared with the history; 0 afterwards.
        // It cannot be compared while this relay's history ends before it.
        LogIndex claimed_index = 0;
        std::uint64_t claimed_term = 0;
        LogIndex max_acknowledgeable = 0;  // the newest record that it may hold
        LogIndex applied_index = 0;        // all records up to here are applied to its state, perhaps more
        // It needs the full state: it asked for it in its hello, or holds records that are not part of this
        // history. After the full state was sent, `awaits_full_state_ack` is set until the follower
        // acknowledges `full_state_activation`. Its acknowledgements up to then are ignored, since they refer
        // to the other history.
        bool needs_full_state = false;
        LogIndex full_state_activation = 0;
        bool awaits_full_state_ack = false;
        bool wants_snapshot = false;
        std::optional<Snapshot> snapshot;
    };
    // An encoded run of records, shared by all followers at the same position.
    struct Batch {
        LogIndex from = 0, to = 0;
        Frame frame;
        std::size_t bytes = 0;
    };
    void on_hello(Timestamp now, Session session, Downstream& downstream, const Hello& hello);
    void on_ack(Timestamp now, Session session, Downstream& downstream, const Ack& ack);
    void reject(Session session, Rejection rejection, const std::string& message);
    void reject_join(Timestamp now, Session session);
    // Balances followers between relays: asks one to try another relay if this one is above its target.
    void ask_one_to_leave(Timestamp now);
    void remove_session(Session session);
    void require_full_state(Session session, Downstream& downstream);
    void check_claimed_record(Timestamp now, Session session, Downstream& downstream);
    void send(Timestamp now, Session session, Downstream& downstream);
    void send_chunks(Session session, Downstream& downstream);
    bool begin_snapshot(Downstream& downstream);
    const Batch& batch_from(LogIndex from);
    void send_frame(Session session, const Frame& frame, std::size_t bytes);
    void send_frame(Session session, const Frame& frame);

    const Relay::Settings& settings_;
    const Relay::Callbacks& callbacks_;
    const History& history_;
    RequestHandlers handlers_;
    JoinLimiter join_limiter_;
    std::map<Session, Downstream> sessions_;
    AcknowledgementCounts counts_;
    std::deque<Batch> batches_;  // cached, oldest first
    std::size_t active_snapshots_ = 0;
    std::size_t chunks_left_ = 0;  // snapshot chunks that may still be sent before the next tick
    Heartbeat heartbeat_;
    Timestamp heartbeat_sent_at_{};
    double leave_tokens_ = 0;  // followers that may be asked to leave now
    Timestamp leave_tokens_refilled_at_{}, next_leave_request_{};
    Relay::TrafficCounters traffic_;
};

}  // namespace linnetlead::distribution
