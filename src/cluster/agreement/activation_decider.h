// The rules by which a proposal becomes active: which gateway decides, what it has to know first, how long
// after the decision the version becomes active, and from when on no gateway acts on the previous version.
// TopicAgreement is the only user.
#pragma once

#include <vector>

#include "cluster/agreement/agreement_settings.h"
#include "cluster/agreement/committee.h"
#include "cluster/agreement/config_topics.h"
#include "cluster/agreement/membership.h"
#include "cluster/agreement/proposal_holders.h"

namespace linnetlead::agreement {

// The time between two pings of a gateway. A small group needs fewer gossip rounds, so its gateways ping less
// often.
Duration ping_interval(int gateways);

class ActivationDecider {
public:
    // All arguments outlive the decider.
    ActivationDecider(const AgreementSettings& settings, const Membership& members,
                      const Committee& committee, const ProposalHolders& holders)
        : settings_(settings), members_(members), committee_(committee), holders_(holders) {}

    // True if there is no other gateway to agree with.
    bool is_alone() const { return settings_.gateways == 1 || settings_.transport == Transport::kNone; }
    // The first committee member that is alive is the decider. Two members may both see themselves as the
    // decider for a while; then both decide, and the later decision about a version wins on every gateway.
    bool is_decider() const;
    // The time from the decision to the activation. It is long enough for every member to learn the decision
    // and to learn that the others know it; a member that has not learnt both in time is fenced briefly.
    Duration activation_delay() const;
    // True if every present member is known to hold the same proposals and decisions as this gateway. False
    // while a member has been gone for less than a lease: it may be running again without them.
    bool all_members_in_sync(Timestamp now) const;
    // Present members that are not known to hold the current proposals.
    std::vector<int> members_without_proposal(const ConfigTopics& topics) const;

    // For a version with the activation time `at`: until when this gateway collects confirmations that all
    // members have activated it.
    Timestamp confirm_until(Timestamp at) const;
    // For the same version: from when on no gateway acts in full on the previous version, as far as this
    // gateway can tell at `now`.
    Timestamp exclusive_from(Timestamp now, Timestamp at) const;
    // Moves the time from which a version is exclusive to an earlier one if all members are known to have
    // activated it. True if a confirmation period has ended, which changes the proposal hash.
    bool confirm_activations(Timestamp now, ConfigTopics& topics) const;

    // The longest time for which two gateways can both act in full on contradicting versions.
    Duration longest_contradiction() const;

private:
    const AgreementSettings& settings_;
    const Membership& members_;
    const Committee& committee_;
    const ProposalHolders& holders_;
};

}  // namespace linnetlead::agreement
