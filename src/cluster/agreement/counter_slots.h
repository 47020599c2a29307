// Counts per time slot on the shared counter: each gateway adds to the counts of the current slot and reads
// them in the next slot, when they are complete. Counts are never corrected or carried over, so a lost,
// damaged or reset count affects one slot only. Used by CounterVoting and by other modules that count through
// the shared counter.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::agreement {

using policy::Duration;
using policy::Timestamp;

// The client side of the counter that all gateways share.
class Counting {
public:
    virtual ~Counting() = default;
    // Adds `amount`, which may be 0, to a count that the counter keeps for `lifetime`. The total is delivered
    // separately later, or never if there is no counter.
    virtual void count(const std::string& name, double amount, Duration lifetime) = 0;
};

// Reads several counts of one slot; complete once all of them are answered.
class SlotQuery {
public:
    SlotQuery() = default;
    SlotQuery(std::int64_t slot, std::vector<std::string> names);

    // Requests all counts by adding 0 to each.
    void send(Counting& counter, Duration lifetime) const;
    // Records an answer; true if it completes the query. A failed answer cancels the query.
    bool take_answer(const std::string& name, bool ok, double total);

    std::int64_t slot() const { return slot_; }
    std::size_t size() const { return names_.size(); }
    // Valid only if the query is complete.
    double total(std::size_t index) const { return *totals_[index]; }

private:
    std::int64_t slot_ = -1;
    std::vector<std::string> names_;
    std::vector<std::optional<double>> totals_;
    std::size_t missing_ = 0;
};

// Tells when to add to the current slot and when to read the previous one.
class SlotClock {
public:
    // `read_delay`: the time from the end of a slot until it is read. Gateways whose clocks differ by less
    // have then added to it.
    SlotClock(Duration slot, Duration read_delay) : slot_(slot), read_delay_(read_delay) {}

    std::int64_t slot_number(Timestamp now) const { return now / slot_; }
    Timestamp slot_start(std::int64_t number) const { return slot_ * number; }
    // True once in each slot, when it is time to add.
    bool begin_slot(Timestamp now);
    // The number of the slot that is complete now, once for each slot.
    std::optional<std::int64_t> take_complete_slot(Timestamp now);

private:
    Duration slot_, read_delay_;
    std::int64_t begun_ = -1, read_ = -1;
};

}  // namespace linnetlead::agreement
