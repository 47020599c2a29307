#include "cluster/agreement/counter_voting.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace linnetlead::agreement {

namespace {

constexpr int kCountLifetimeSlots = 8;  // how long the counter keeps a slot's counts
// From the start of the slot in which all gateways hold a proposal to its activation. Leaves time for all
// gateways to read that slot.
constexpr int kActivationDelaySlots = 3;

// The indexes of the counts in a query.
enum QueryIndex : std::size_t { kPresentIndex, kActiveIndex, kProposalIndex, kNextIndex };

}  // namespace

std::string CounterVoting::counter_name(Count count, std::uint32_t hash, std::int64_t slot) const {
    char text[64];
    std::snprintf(text, sizeof(text), "%s%c.%08x.%lld", kPrefix, static_cast<char>(count), hash,
                  static_cast<long long>(slot));
    return text;
}

// The active versions that this gateway added in a slot. If a version has been activated since, the other
// gateways that added the same versions in that slot have activated it as well.
std::uint32_t CounterVoting::active_added_in(std::int64_t slot, std::uint32_t active) const {
    if (added_.slot == slot) return added_.active;
    if (previously_added_.slot == slot) return previously_added_.active;
    return active;
}

void CounterVoting::tick(Timestamp now, Counting& counter, std::uint32_t active, std::uint32_t proposal,
                         std::uint32_t next) {
    const Duration lifetime = kCountLifetimeSlots * settings_.slot;
    if (clock_.begin_slot(now)) {
        const std::int64_t slot = clock_.slot_number(now);
        previously_added_ = std::exchange(added_, {slot, active});
        counter.count(counter_name(Count::kPresent, 0, slot), 1, lifetime);
        counter.count(counter_name(Count::kActive, active, slot), 1, lifetime);
        if (proposal != 0) counter.count(counter_name(Count::kProposal, proposal, slot), 1, lifetime);
    }
    if (const auto slot = clock_.take_complete_slot(now)) {
        queried_active_ = active;
        queried_proposal_ = proposal;
        std::vector<std::string> names{counter_name(Count::kPresent, 0, *slot),
                                       counter_name(Count::kActive, active_added_in(*slot, active), *slot)};
        if (proposal != 0) {
            names.push_back(counter_name(Count::kProposal, proposal, *slot));
            names.push_back(counter_name(Count::kActive, next, *slot));
        }
        query_ = SlotQuery(*slot, std::move(names));
        query_.send(counter, lifetime);
    }
}

bool CounterVoting::on_answer(const std::string& name, bool ok, double total) {
    if (!query_.take_answer(name, ok, total)) return false;
    const auto count_of = [this](QueryIndex index) {
        return static_cast<int>(std::lround(query_.total(index)));
    };
    present_ = count_of(kPresentIndex);
    // A count above the group's size is unusable: a gateway restarted within the slot, or the count is
    // damaged.
    if (present_ > settings_.gateways) return false;
    const int majority = settings_.gateways / 2 + 1;
    const Timestamp start = clock_.slot_start(query_.slot());
    if (active_ != queried_active_) lease_end_ = {};
    active_ = queried_active_;
    if (count_of(kActiveIndex) >= majority) lease_end_ = std::max(lease_end_, start + settings_.lease);
    decided_proposal_ = queried_proposal_;
    activation_time_.reset();
    if (queried_proposal_ != 0) {
        const bool all_hold_proposal = count_of(kProposalIndex) == present_ && present_ >= majority;
        if (count_of(kNextIndex) > 0) {
            activation_time_ = start;
        } else if (all_hold_proposal) {
            activation_time_ = start + kActivationDelaySlots * settings_.slot;
        }
    }
    return true;
}

std::optional<Timestamp> CounterVoting::activation_time(std::uint32_t proposal) const {
    return proposal != 0 && proposal == decided_proposal_ ? activation_time_ : std::nullopt;
}

}  // namespace linnetlead::agreement
