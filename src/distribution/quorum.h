// The relays that vote: an ordered log by the Raft algorithm (terms, pre-vote, a leader by majority, entries
// that count once a majority has them on disk). What the entries say is opaque here. No I/O and no clock: who
// drives it takes ready(), puts on disk what it says, and only then sends its messages and calls persisted().
#pragma once

#include <memory>
#include <random>

#include "record.h"

namespace linnetlead::distribution {

constexpr int most_voters = 7;

struct LogEntry {
    Number number = 0;
    std::uint64_t term = 0;
    std::string body;
};

// What has to survive a crash beside the entries.
struct HardState {
    std::uint64_t term = 0;
    int vote = -1;  // in that term; -1: none
    friend bool operator==(const HardState& a, const HardState& b) {
        return a.term == b.term && a.vote == b.vote;
    }
};

// The state at a number, for a voter whose log begins behind it (and for this one at its start).
struct LogSnapshot {
    Number number = 0;  // of the last entry within; 0: none
    std::uint64_t term = 0;
    std::string state;  // opaque
};

class Quorum {
public:
    struct Settings {
        int voters = 1;  // 1, 3, 5 or 7
        int self = 0;    // below `voters`
        std::uint64_t seed = 0;
        Span heartbeat = std::chrono::milliseconds(150);
        Span election =
            std::chrono::milliseconds(1000);         // without a leader for so long, and up to as long again
        std::size_t most_message = 256 * 1024;       // bytes of entries in one, or one entry
        std::size_t most_waiting = 4 * 1024 * 1024;  // bytes of entries not yet committed: more are refused
        std::size_t snapshot_piece = 256 * 1024;
    };
    // As it was on disk. `entries` follow one another, the first behind the snapshot's number.
    Quorum(const Settings& settings, const HardState& hard, LogSnapshot snapshot,
           std::vector<LogEntry> entries);

    void tick(Time now);  // every 20 ms or so
    void heard(Time now, int from, std::string_view message);
    // By the leader: the number that it will have if it comes to count; 0: this is none, or too much waits.
    Number propose(Time now, std::string body);

    // To be done, in this order.
    struct Ready {
        std::optional<LogSnapshot> install;  // puts away all entries: on disk, and as the state from now on
        Number truncate_from = 0;            // entries from this number on are void; 0: none
        std::vector<LogEntry> append;
        std::optional<HardState> hard;
        std::vector<std::pair<int, std::string>> messages;  // only once the above are on disk
        std::vector<LogEntry> committed;                    // in order, each once in a process's life
        bool empty() const {
            return !install && !truncate_from && append.empty() && !hard && messages.empty() &&
                   committed.empty();
        }
    };
    Ready ready();
    void persisted(Time now);  // what the last ready() held is on disk

    bool leads() const;
    std::optional<int> leader() const;  // as far as is known
    std::uint64_t term() const;
    Number committed() const;
    Number last() const;
    Number first() const;  // of the entries held; last() + 1: none
    // The newest that is known: the leader's own, or as it told with its heartbeats. Nothing until a record
    // of the term is committed.
    std::optional<Beat> beat() const;

    // Entries up to this number (committed) are put away here; a voter that needs them gets this snapshot.
    void compact(LogSnapshot snapshot);
};

}  // namespace linnetlead::distribution
