// Shares the progress of a rollout and its evidence between the gateways of a group, through the shared
// counter. CanaryRollout owns one per rollout.
//
// In each time slot every gateway adds its phase of the rollout to the counts of the slot and reads the
// previous slot, which is complete by then. A count is a number of up to seven decimal digits. It encodes the
// number of gateways in each phase as one digit to the base of the number of gateways plus 1; with many
// phases or gateways the phases are spread over several counts.
//
// Counts are never corrected and never carried over, so a slot that was lost, damaged or emptied only yields
// no information.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/agreement/counter_slots.h"
#include "traffic/canary_analysis.h"

namespace linnetlead::traffic {

// The channels to the other gateways: the shared counter, where the names of counts begin with
// GatewayGroup::kPrefix, and datagrams.
class GroupChannel : public agreement::Counting {
public:
    // Sends a message to all other gateways. It may arrive late or never; a no-op without a datagram channel.
    virtual void notify_peers(const std::string& text) = 0;
};

class GatewayGroup {
public:
    static constexpr std::string_view kPrefix = "mv.";
    static constexpr Duration kSlot = std::chrono::seconds(1);
    static constexpr Duration kEvidenceSlot = std::chrono::seconds(2);
    // After the end of a slot, so that gateways whose clocks differ by less have added their counts.
    static constexpr Duration kReadDelay = std::chrono::milliseconds(350);

    struct View {
        Timestamp at{};                      // when it was received
        std::vector<int> gateways_in_phase;  // by phase
        int reporting_gateways = 0;
    };

    // `phases`: the number of phases. The rollout's id is part of the name of every count.
    GatewayGroup(std::string rollout_id, int gateways, int phases, GroupChannel& channel);

    // Publishes and queries what is due. `phase` is empty while this gateway does not know its own or holds
    // the others. The evidence of all gateways is queried only if `wants_evidence`.
    void tick(Timestamp now, std::optional<int> phase, int stage, const CanaryAnalysis& analysis,
              bool wants_evidence);
    // Handles the total of a count; true if it completed a new view or new pooled evidence.
    bool receive_count(Timestamp now, const std::string& name, bool ok, double total);

    const std::optional<View>& view() const { return view_; }
    bool take_view();  // true once for each new view
    // The sum of the evidence that the gateways published in the newest complete slot, with its stage and
    // epoch.
    struct Pooled {
        Evidence sum;
        int stage = -1;
        std::int64_t epoch = -1;
        Timestamp at{};
    };
    const Pooled& pooled() const { return pooled_; }
    std::uint64_t counter_requests() const { return counter_requests_; }

private:
    static constexpr int kMaxDigits = 7;
    struct Publication {  // the slot, stage and epoch of published evidence
        std::int64_t slot = -1;
        int stage = -1;
        std::int64_t epoch = -1;
    };
    // `kind`: 'p' for phases, 'e' for evidence.
    std::string count_name(char kind, std::int64_t slot, std::size_t part) const;
    std::string evidence_name(const Publication& publication, std::size_t part) const;
    void publish_phase(std::int64_t slot, int phase);
    void query_phases(std::int64_t slot);
    void publish_evidence(const Publication& publication, const Evidence& own);
    void query_evidence(const Publication& publication);
    void tick_alone(Timestamp now, std::optional<int> phase, int stage, const CanaryAnalysis& analysis);
    void send_query(agreement::SlotQuery query, agreement::SlotQuery& into);
    void add_to_count(const std::string& name, double amount);

    std::string id_;
    int gateways_;
    int phases_;
    GroupChannel& channel_;
    int phases_per_count_;
    agreement::SlotClock phases_clock_{kSlot, kReadDelay}, evidence_clock_{kEvidenceSlot, kReadDelay};
    Publication published_, published_before_;  // the last two
    agreement::SlotQuery phases_query_, evidence_query_;
    Publication queried_publication_;  // that evidence_query_ is for
    std::optional<View> view_;
    bool is_view_new_ = false;
    Pooled pooled_;
    std::uint64_t counter_requests_ = 0;
};

}  // namespace linnetlead::traffic
