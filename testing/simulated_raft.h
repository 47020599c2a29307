// A simulation of a Raft group in virtual time, for raft_test and bench_quorum. Links lose, delay, reorder
// and duplicate messages and can be cut in one direction; disk writes take time and a crash loses unfinished
// ones; voters crash and stall; one fault can be injected at any numbered point. After each step the safety
// rules are checked; each violation is recorded under the name of its rule. All randomness comes from one
// seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cluster/raft/raft_node.h"

namespace linnetlead::test_support {

using policy::Duration;
using policy::Timestamp;
using raft::HardState;
using raft::LeadershipHeartbeat;
using raft::LogEntry;
using raft::LogIndex;
using raft::LogSnapshot;
using raft::RaftNode;
using raft::Ready;

// The fault that is injected at a point.
enum class RaftFault { kNone, kDrop, kDuplicate, kDelay, kCrash, kStall };
// The places at which a fault can be injected: before a message is sent or received, before and after a disk
// write, and before a committed entry is applied.
enum class RaftPoint { kSend, kReceive, kWrite, kWritten, kCommit };

// Defects that the simulation introduces to verify that the checks detect them.
enum class RaftMutant {
    kNone,
    kLoseHardState,         // on restart
    kLoseEntries,           // the last two, on restart
    kSendBeforePersisting,  // sends messages and calls persisted() before the write
    kForgeMatchIndex,       // each append response acknowledges all that the leader has sent
    kGrantAllPreVotes,      // every pre-vote response grants the vote
    kClockAhead,            // the clock of all voters is ahead by Settings::clock_ahead
};

class SimulatedRaft {
public:
    struct Settings {
        int voters = 3;
        std::uint64_t seed = 0;
        RaftNode::Settings raft;  // the simulation overrides voters, self and seed
        Duration tick_interval = std::chrono::milliseconds(20);
        // One-way delay, without jitter.
        std::function<Duration(int from, int to)> link_delay = [](int, int) {
            return std::chrono::milliseconds(10);
        };
        Duration link_jitter = std::chrono::milliseconds(5);
        Duration write_time = std::chrono::milliseconds(3), write_jitter = std::chrono::milliseconds(4);
        double loss_share = 0, duplicate_share = 0, delayed_share = 0;  // of messages, 0 to 1
        Duration max_extra_delay = std::chrono::seconds(4);             // of a delayed message
        std::size_t compact_every_entries = 0;                          // 0: only when compact() is called
        RaftMutant mutant = RaftMutant::kNone;
        Duration clock_ahead{};  // for RaftMutant::kClockAhead
        // Parent directory of a RaftLogStore for each voter, which is compared with the in-memory model;
        // empty: only the model.
        std::string directory;
        std::uint64_t fault_at = 0;  // number of the point at which `fault` is injected; 0: none
        RaftFault fault = RaftFault::kNone;
    };
    explicit SimulatedRaft(const Settings& settings);
    ~SimulatedRaft();

    void run_for(Duration span);
    // Returns whether `done` became true within this span.
    bool run_until(const std::function<bool()>& done, Duration within);

    void crash(int voter);
    void restart(int voter);
    void stall(int voter, Duration span);
    void cut_link(int from, int to, bool is_cut = true);  // one direction only
    // Cuts all links to and from this voter.
    void isolate(int voter, bool is_cut = true);
    void heal();  // ends all cuts and message faults, restarts crashed voters
    LogIndex propose(int voter, std::string body);
    void compact(int voter);
    // Delivers a message immediately as if `from` had sent it, for malformed and forged messages.
    void deliver(int to, int from, const std::string& message);

    Timestamp now() const { return now_; }
    RaftNode& node(int voter);
    bool is_up(int voter) const;
    std::optional<int> leader() const;  // the running leader of the highest term
    bool is_applied_by_all(const std::string& body) const;
    bool has_converged() const;  // all voters run, follow one leader and have applied the same entries
    std::optional<Timestamp> committed_at(const std::string& body) const;
    // Name of the rule and details.
    const std::vector<std::pair<std::string, std::string>>& violations() const { return violations_; }
    bool has_violation(const std::string& rule) const;

    std::uint64_t point_count() const { return point_count_; }
    // The kind of point at which the fault was injected; nothing: it was not reached.
    std::optional<RaftPoint> fault_point() const { return fault_point_; }
    struct Counts {
        std::uint64_t messages = 0, bytes = 0, writes = 0, written_entries = 0, snapshots = 0;
    };
    const Counts& counts(int voter) const;
    std::uint64_t steps() const { return steps_; }
    // FNV-1a digests of all messages in the order in which they were sent (sender, receiver, bytes), and of
    // all committed entries in the order of the log (term, body).
    std::uint64_t sent_digest() const { return sent_digest_; }
    std::uint64_t committed_digest() const;
    std::uint64_t heartbeats() const { return heartbeats_; }
    // Called for every message that is sent, before the link's faults apply; may change the message.
    std::function<void(int from, int to, std::string& message)> on_send;

private:
    struct Voter;
    struct Event {
        int voter = 0;
        std::uint64_t incarnation = 0;  // dropped if the voter has restarted since; 0: never dropped
        std::function<void()> action;
    };
    void schedule(Timestamp when, int voter, std::uint64_t incarnation, std::function<void()> action);
    void run_event(Timestamp when, Event event);
    void tick(int voter);
    void process_ready(int voter);
    void finish_write(int voter, Ready ready);
    void persist(int voter, const Ready& ready);
    void open_store(int voter);
    void send_messages(int voter, std::vector<std::pair<int, std::string>> messages);
    void transmit(int from, int to, std::string message, bool is_delayed);
    void apply_message_mutant(int from, int to, std::string& message);
    void receive(int to, int from, const std::string& message);
    void apply(int voter, const std::vector<LogEntry>& entries);
    // Counts a point; returns the fault to inject there.
    RaftFault next_point(RaftPoint kind);
    void check_rules();
    void check_new_commits();
    void record_violation(const std::string& rule, const std::string& text);
    // The first reading after a stall began is the time before the stall.
    Timestamp read_clock(int voter);
    Duration draw(Duration max);
    bool draw_bool(double probability);
    std::string state_of(LogIndex index) const;

    Settings settings_;
    std::mt19937_64 random_;
    Timestamp now_, begin_;
    std::multimap<Timestamp, Event> events_;
    std::vector<std::unique_ptr<Voter>> voters_;
    std::vector<std::vector<bool>> is_link_cut_;  // by sender and receiver
    std::uint64_t point_count_ = 0, steps_ = 0, heartbeats_ = 0;
    std::uint64_t sent_digest_ = 0xcbf29ce484222325U;
    std::optional<RaftPoint> fault_point_;
    std::vector<std::pair<std::string, std::string>> violations_;

    // Observations over all voters, for the checks.
    struct CommittedEntry {
        std::uint64_t term = 0, leader_term = 0;
        std::string body;
        std::uint64_t chain = 0;
        Timestamp at{};
    };
    std::vector<CommittedEntry> history_;            // by index - 1
    std::map<std::string, LogIndex> index_by_body_;  // committed entries
    std::map<std::uint64_t, int> leaders_;           // by term
    std::map<std::pair<LogIndex, std::uint64_t>, std::string>
        entries_;  // all ever written, by index and term
    std::map<std::pair<LogIndex, std::uint64_t>, std::uint64_t>
        previous_terms_;                                  // term of the previous entry, by index and term
    std::map<std::pair<int, std::uint64_t>, int> votes_;  // on disk, by voter and term
    std::map<std::pair<int, int>, LogIndex> newest_sent_index_;  // of entries sent, by sender and receiver
};

}  // namespace linnetlead::test_support
