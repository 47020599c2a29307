// Agreement through the shared counter, for gateways that cannot reach each other. In every slot each gateway
// adds 1 to three counts: of the present gateways, of those with the same active versions, and of those that
// hold the same proposal. A proposal that all present gateways hold in one slot becomes active at a time
// derived from the slot's number, so all gateways that read the slot compute the same time. Used by
// TopicAgreement. No I/O and no clock.
#pragma once

#include <optional>
#include <string>

#include "cluster/agreement/counter_slots.h"

namespace linnetlead::agreement {

class CounterVoting {
public:
    struct Settings {
        int gateways = 1;
        Duration slot = std::chrono::seconds(1);
        Duration read_delay = std::chrono::milliseconds(350);  // after the end of a slot
        Duration lease = std::chrono::seconds(3);              // from the start of a slot that has a majority
    };
    explicit CounterVoting(const Settings& settings)
        : settings_(settings), clock_(settings.slot, settings.read_delay) {}

    // Adds to the current slot and reads the previous one when it is time. The arguments are hashes:
    // `active` of the active versions, `proposal` of the proposals held here (0: none), `next` of the
    // versions that are active once the proposals are.
    void tick(Timestamp now, Counting& counter, std::uint32_t active, std::uint32_t proposal,
              std::uint32_t next);
    // Handles an answer of the counter; true if it completes the read of a slot.
    bool on_answer(const std::string& name, bool ok, double total);

    // The number of gateways present in the slot read last.
    int present() const { return present_; }
    // The end of the lease that a majority with these active versions gives.
    Timestamp lease_end(std::uint32_t active) const { return active == active_ ? lease_end_ : Timestamp{0}; }
    // The active versions changed by a common decision, so the current lease continues for them.
    void on_activated(std::uint32_t active) { active_ = queried_active_ = active; }
    // The activation time of this proposal by the slot read last; in the past if other gateways have already
    // activated it.
    std::optional<Timestamp> activation_time(std::uint32_t proposal) const;

    static constexpr const char* kPrefix = "ac.";  // of the names of all counts

private:
    // The values are the letters in the names of the counts. All gateways must use the same names.
    enum class Count : char { kPresent = 'p', kActive = 'f', kProposal = 'h' };
    std::string counter_name(Count count, std::uint32_t hash, std::int64_t slot) const;
    std::uint32_t active_added_in(std::int64_t slot, std::uint32_t active) const;

    Settings settings_;
    SlotClock clock_;
    struct Added {
        std::int64_t slot = -1;
        std::uint32_t active = 0;
    };
    Added added_, previously_added_;  // in the current slot and the one before
    SlotQuery query_;
    std::uint32_t queried_active_ = 0, queried_proposal_ = 0;
    int present_ = 0;
    std::uint32_t active_ = 0;  // the versions that lease_end_ applies to
    Timestamp lease_end_{};
    std::uint32_t decided_proposal_ = 0;  // the proposal that activation_time_ applies to
    std::optional<Timestamp> activation_time_;
};

}  // namespace linnetlead::agreement
