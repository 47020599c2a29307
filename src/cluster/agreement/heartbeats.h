// Builds the heartbeats in pings and acks, and applies received ones: committee statements, gossip, and which
// gateways hold which proposals. Used by ConfigAgreement.
#pragma once

#include "cluster/agreement/agreement_codec.h"
#include "cluster/agreement/committee.h"
#include "cluster/agreement/config_topics.h"
#include "cluster/agreement/membership.h"
#include "cluster/agreement/proposal_holders.h"

namespace linnetlead::agreement {

class Heartbeats {
public:
    // All references outlive the Heartbeats object.
    struct State {
        Membership& members;
        Committee& committee;
        ProposalHolders& holders;
        const ReplicatedRecords& records;
        const ConfigTopics& topics;
    };
    // `lease`: committee statements older than two leases are not passed on.
    Heartbeats(const State& state, Duration lease) : state_(state), lease_(lease) {}

    // Builds a ping or ack to a member. If this gateway is in the committee, the heartbeat states its current
    // configuration.
    Message build(Timestamp now, MessageKind kind, int to, std::uint32_t sequence);
    // True if the heartbeat shows that the others have declared this gateway gone. They may then have agreed
    // on new versions without it, so all statements made up to now are discarded.
    bool apply(Timestamp now, const Message& message);

private:
    State state_;
    Duration lease_;
    std::uint64_t times_declared_gone_ = 0;  // as of the last heartbeat
};

}  // namespace linnetlead::agreement
