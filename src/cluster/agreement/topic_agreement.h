// Brings topics from a proposal to an active version. Any gateway may propose; proposals are replicated as
// records. Each gateway checks whether it can act on a proposal. The decider (the first committee member that
// is alive) waits until all present members hold the proposal and can act on it. It then decides the
// activation time, at which every gateway activates the version. If gateways can reach only the shared
// counter, votes on the counter replace the decider. Used by ConfigAgreement.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "cluster/agreement/activation_decider.h"
#include "cluster/agreement/agreement_settings.h"
#include "cluster/agreement/anti_entropy.h"
#include "cluster/agreement/config_lease.h"
#include "cluster/agreement/config_topics.h"
#include "cluster/agreement/counter_voting.h"
#include "cluster/agreement/proposal_holders.h"
#include "common/error.h"

namespace linnetlead::agreement {

class TopicAgreement {
public:
    // All references outlive the TopicAgreement.
    struct Context {
        const AgreementSettings& settings;
        const AgreementCallbacks& callbacks;
        const Membership& members;
        const Committee& committee;
        const ConfigLease& lease;
        ReplicatedRecords& records;
        AntiEntropy& anti_entropy;
    };
    explicit TopicAgreement(const Context& context);

    // See ConfigAgreement.
    Status propose(Timestamp now, const std::string& topic, std::uint64_t number, std::string value);
    void set_check_result(Timestamp now, const std::string& topic, Version version, bool can_act_on_it);
    // Activates decided versions that are due, votes on the counter and decides.
    void tick(Timestamp now);
    // False if the record does not belong to a topic.
    bool on_record_stored(Timestamp now, const Record& record);
    // True if a slot has been read, which may change the lease.
    bool on_counter_answer(Timestamp now, const std::string& name, bool ok, double total);
    // Recomputes the candidates (the newest proposal of each topic); call after records were erased.
    void refresh_proposals(Timestamp now);
    void restore_topic(const std::string& name, Topic topic) { topics_.restore(name, std::move(topic)); }
    // Reports the restored versions as active to the owner.
    void report_restored(Timestamp now);

    const ConfigTopics& topics() const { return topics_; }
    ProposalHolders& holders() { return holders_; }
    const CounterVoting& voting() const { return voting_; }
    const ActivationDecider& decider() const { return decider_; }
    bool may_decide(Timestamp now) const;
    std::uint64_t highest_proposed_number(const std::string& topic) const;
    // Increases with each change to the saved state of the topics.
    std::uint64_t change_count() const { return change_count_; }

private:
    void report_event(Timestamp now, EventKind kind, const std::string& text) const;
    // Fails if a version may not follow the one that is active or decided.
    static Status check_successor(Version version, Version known);
    void on_new_proposal(Timestamp now, const Record& record, const ProposalKey& key);
    void on_new_decision(Timestamp now, const Record& record, const std::string& topic);
    void decide(Timestamp now);
    void activate_due_versions(Timestamp now);
    void activate(Timestamp now, const std::string& name, Topic& topic, std::string value);
    void erase_superseded_proposals(const std::string& topic, Version active);
    void vote_on_counter(Timestamp now);

    Context context_;
    ConfigTopics topics_;
    ProposalHolders holders_;
    ActivationDecider decider_;
    CounterVoting voting_;
    std::uint64_t change_count_ = 0;
};

}  // namespace linnetlead::agreement
