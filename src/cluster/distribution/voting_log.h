// The log of a voting relay: drives the Raft node, has entries written to disk before the messages that
// depend on them are sent, applies committed records to the history, and compacts decided entries into a
// saved state. Relay owns it and implements Listener. No I/O and no clock.
#pragma once

#include "cluster/distribution/change_validator.h"
#include "cluster/distribution/relay.h"

namespace linnetlead::distribution {

class VotingLog {
public:
    class Listener {
    public:
        virtual ~Listener() = default;
        // Called once per record, in log order.
        virtual void on_committed(const Record& record) = 0;
        // Records were added, or the history was replaced by a snapshot.
        virtual void on_history_extended(Timestamp now) = 0;
        virtual void on_history_replaced(Timestamp now) = 0;
        // Called after each processed Ready; leadership of this relay may have begun or ended.
        virtual void on_role_may_have_changed(Timestamp now) = 0;
        virtual void send_raft_message(int relay, const std::string& message) = 0;
    };
    // The change ids that `validator` remembers are saved with the state.
    VotingLog(const Relay::Settings& settings, const Relay::Callbacks& callbacks, ChangeValidator& validator,
              Listener& listener);
    // Called once, before any other function.
    void start(Relay::PersistentState state);

    // Sends and writes what the Raft node has ready, until a write is outstanding.
    void process_ready(Timestamp now);
    void on_persisted(Timestamp now);
    // Applies the activations that are due.
    void activate_due(Timestamp now);
    // Performs one step of saving the state, if the log has enough decided entries; after the last step, the
    // saved state replaces them.
    void compact();

    bool leads() const;                 // and has committed a record of its own term
    std::optional<int> leader() const;  // relay number
    // A committed record or snapshot was damaged or not contiguous. The relay stops taking part, since it
    // could send records that contradict those of others. The state shows this as "fault".
    bool is_broken() const { return is_broken_; }
    bool is_voter(int relay) const { return index_of(relay) >= 0; }
    std::size_t voters() const { return voters_.size(); }
    void on_raft_message(Timestamp now, int relay, std::string_view message);
    RaftNode& raft() { return *raft_; }
    const RaftNode& raft() const { return *raft_; }
    const History& history() const { return history_; }

private:
    int index_of(int relay) const;
    void install(const LogSnapshot& snapshot);
    void on_ready_written(Timestamp now);
    void apply(const LogEntry& entry);
    void mark_broken(const std::string& reason);

    const Relay::Settings& settings_;
    const Relay::Callbacks& callbacks_;
    ChangeValidator& validator_;
    Listener& listener_;
    std::vector<int> voters_;  // relay numbers, by Raft node index
    History history_;
    std::unique_ptr<RaftNode> raft_;
    raft::Ready ready_;  // being written
    bool is_persisting_ = false, is_processing_ = false, is_broken_ = false;
    std::optional<History::SaveCursor> save_cursor_;  // set while the state is being saved
    std::string saved_state_;                         // the parts so far
    std::size_t log_bytes_ = 0;                       // committed since the last compaction
};

}  // namespace linnetlead::distribution
