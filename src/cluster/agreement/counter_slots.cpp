#include "cluster/agreement/counter_slots.h"

#include <cmath>
#include <utility>

namespace linnetlead::agreement {

SlotQuery::SlotQuery(std::int64_t slot, std::vector<std::string> names)
    : slot_(slot), names_(std::move(names)), totals_(names_.size()), missing_(names_.size()) {}

void SlotQuery::send(Counting& counter, Duration lifetime) const {
    for (const std::string& name : names_) counter.count(name, 0, lifetime);
}

bool SlotQuery::take_answer(const std::string& name, bool ok, double total) {
    for (std::size_t index = 0; index < totals_.size(); ++index) {
        if (totals_[index] || names_[index] != name) continue;
        if (!ok || !std::isfinite(total)) {
            *this = {};  // the slot's counts are unusable
            return false;
        }
        totals_[index] = total;
        return --missing_ == 0;
    }
    return false;
}

bool SlotClock::begin_slot(Timestamp now) {
    return std::exchange(begun_, slot_number(now)) != slot_number(now);
}

std::optional<std::int64_t> SlotClock::take_complete_slot(Timestamp now) {
    const std::int64_t current = slot_number(now);
    if (current == read_ || now - slot_start(current) < read_delay_) return std::nullopt;
    read_ = current;
    return current - 1;
}

}  // namespace linnetlead::agreement
