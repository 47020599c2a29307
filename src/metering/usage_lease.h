// A write-ahead lease on forwarded units: it bounds the usage that a crash can leave uncounted. A limit ahead
// of the forwarded units is written to disk early; beyond_limit() states what was forwarded past that limit
// because the disk was slow. PlanAccounts counts the units. The class does no I/O; LedgerStore writes the
// limit.
#pragma once

#include <algorithm>
#include <optional>

#include "metering/usage_ledger.h"

namespace linnetlead::metering {

class UsageLease {
public:
    // `block`: units by which each limit lies ahead of the forwarded ones; 0: no lease, nothing is written.
    explicit UsageLease(double block) : block_(milliunits(block)) {}
    // Adds units that are about to be forwarded. Negative: these units were not forwarded after all.
    void count(double units) { forwarded_ += milliunits(units); }
    // The limit to write now, once half of the last block is used up; nothing before.
    std::optional<Milliunits> next_limit() const {
        if (block_ <= 0 || forwarded_ * 2 + block_ < written_ * 2) return std::nullopt;
        return forwarded_ + block_;
    }
    // Records that `limit` is on disk.
    void on_written(Milliunits limit) { written_ = std::max(written_, limit); }
    // Units forwarded beyond the limit on disk. The bound on uncounted usage does not cover them.
    Milliunits beyond_limit() const {
        return block_ > 0 && forwarded_ > written_ ? forwarded_ - written_ : 0;
    }

private:
    Milliunits block_;
    Milliunits forwarded_ = 0, written_ = 0;
};

}  // namespace linnetlead::metering
