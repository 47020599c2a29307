// The answers of one client connection, in the order of its commands. An answer is kept here until those to
// the earlier commands are written. The downstream client owns it and writes what it takes out. No I/O.
//
// A long value is passed on as it arrives only while no command waits behind it. Once its first byte is
// written, closing the connection is the only way to show that it broke off, and commands behind it would
// lose their answers. With commands behind it, it is kept until it is whole, for a limited time.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "proxy/ports.h"

namespace linnetlead::proxy {

class PendingAnswers {
public:
    // How a long value reaches the client.
    enum class Streaming {
        kNone,     // no long value, or not yet
        kWaiting,  // it waits for earlier answers, or for room; only its first part is kept
        kKept,     // it is kept until it is whole; room for all of it is reserved
        kPassing,  // it is written as it arrives
    };
    struct Entry {
        Handle request;    // null once answered
        std::string kept;  // not written yet
        bool done = false;
        Streaming streaming = Streaming::kNone;
        std::size_t value_size = 0;  // of a long value, with its frame
        Duration max_delay{};        // of a long value's first byte, from its turn on
        std::size_t counted = 0;     // in kept_bytes()
        std::size_t reserved = 0;    // by keep_whole()
    };

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    // Null if the command has been answered and the answer is written.
    Entry* find(std::uint64_t number);
    Entry& first() { return entries_.front(); }
    const Entry& first() const { return entries_.front(); }
    bool is_first(std::uint64_t number) const { return number == first_; }
    // Whether the first answer is a long value whose first byte has arrived.
    bool is_streaming() const { return !empty() && first().streaming != Streaming::kNone && !first().done; }
    bool is_passing() const { return !empty() && first().streaming == Streaming::kPassing; }

    // Adds a command without an answer. Returns its number.
    std::uint64_t add();
    // Adds a command with its answer.
    void add_answered(std::string answer);
    // Keeps a part of the entry's answer.
    void keep(Entry& entry, std::string_view part);
    // A long value begins in the place of the entry's answer. `max_delay`: of its first byte, from the time
    // on when the earlier answers are written.
    void begin_value(Entry& entry, std::size_t size, Duration max_delay);
    // The caller has reserved room for all of the value, Entry::value_size bytes, and gives it back.
    void keep_whole(Entry& entry);
    // The value broke off before its first byte was written: nothing is left of it.
    void drop_value(Entry& entry);
    // Returns what is kept of the first entry, which keeps nothing then.
    std::string take_kept();
    void remove_first();
    std::deque<Entry> take_all();

    // Bytes that are kept, without those in reserved room.
    std::size_t kept_bytes() const { return kept_bytes_; }

private:
    // Brings kept_bytes() up to date.
    void count(Entry& entry);

    std::deque<Entry> entries_;
    std::uint64_t first_ = 0;  // number of entries_.front()
    std::size_t kept_bytes_ = 0;
};

}  // namespace linnetlead::proxy
