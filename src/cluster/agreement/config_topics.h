// The state of each topic on this gateway: the active version, the proposals that may follow it, which of
// them this gateway can act on, and the decision when the next version becomes active. Used by
// TopicAgreement. Pure state: it sends nothing, and the caller passes the time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/agreement/committee.h"
#include "cluster/agreement/config_version.h"
#include "cluster/agreement/replicated_records.h"

namespace linnetlead::agreement {

// The decision that a version becomes active at a time (Unix time).
struct ActivationDecision {
    Version version;
    Timestamp at{};
};

struct Topic {
    Version active;
    Timestamp activated_at{};
    // From when on no gateway acts in full on the version before the active one.
    Timestamp exclusive_from{};
    // Until when confirmations are collected that all gateways have activated it; 0: no longer.
    Timestamp confirm_until{};
    std::string value;  // of the active version
    std::optional<ActivationDecision> decision;
    std::map<std::uint64_t, bool> checked;  // by version_hash(): whether this gateway can act on it
    std::set<std::uint64_t> conflicts;      // numbers whose conflict has been reported
};

class ConfigTopics {
public:
    using Versions = std::map<std::string, Version>;  // by topic

    Topic& operator[](const std::string& name) { return topics_[name]; }
    const Topic* find(const std::string& name) const;
    // In the order of their names.
    std::map<std::string, Topic>& all() { return topics_; }
    const std::map<std::string, Topic>& all() const { return topics_; }

    // Recomputes the candidates: the newest proposal of each topic. A number that was proposed with different
    // contents is in conflict and is skipped. Returns a text for each new conflict.
    std::vector<std::string> refresh_candidates(Timestamp now, const ReplicatedRecords& records);
    // As of the last refresh_candidates().
    const Versions& candidates() const { return candidates_; }
    // A hash of all candidates, decisions and versions being confirmed. 0 if there are none, or if this
    // gateway cannot act on one of them. Gateways with the same hash hold the same.
    std::uint32_t proposal_hash() const { return proposal_hash_; }
    // A hash of the versions that are active once the candidates are.
    std::uint32_t next_active_hash() const;
    const ConfigFingerprint& fingerprint() const;

    enum class DecisionResult {
        kOutdated,        // for a version older than the active one
        kAlreadyActive,   // for the active version
        kAlreadyDecided,  // for the decided version; the activation time may be another
        kNew
    };
    DecisionResult apply_decision(const std::string& name, const ActivationDecision& decision);
    void set_decision(const std::string& name, const ActivationDecision& decision);
    // Makes the decided version the active one.
    void activate(Topic& topic, Version version, std::string value);
    void restore(const std::string& name, Topic topic);

    std::optional<Timestamp> next_activation() const;
    // True if the activation time of a decided version has passed and the version is not active here.
    bool has_missed_activation(Timestamp now) const;
    // False for the record of a proposal or decision that the active version supersedes.
    bool should_store(const Record& record) const;

private:
    // The number of check results that a topic keeps after an activation; proposals are rare.
    static constexpr std::size_t kMaxChecked = 64;

    std::vector<std::string> refresh_topic(const std::string& name, Topic& topic,
                                           const ReplicatedRecords& records);

    std::map<std::string, Topic> topics_;
    Versions candidates_;
    std::uint32_t proposal_hash_ = 0;
    mutable std::optional<ConfigFingerprint> fingerprint_;  // cached; empty after a change
};

}  // namespace linnetlead::agreement
