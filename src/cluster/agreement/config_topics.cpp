#include "cluster/agreement/config_topics.h"

#include <algorithm>
#include <utility>

namespace linnetlead::agreement {

using namespace std::chrono_literals;

namespace {

bool can_act_on(const Topic& topic, Version version) {
    const auto checked = topic.checked.find(version_hash(version));
    return checked != topic.checked.end() && checked->second;
}

}  // namespace

const Topic* ConfigTopics::find(const std::string& name) const {
    const auto at = topics_.find(name);
    return at == topics_.end() ? nullptr : &at->second;
}

std::vector<std::string> ConfigTopics::refresh_topic(const std::string& name, Topic& topic,
                                                     const ReplicatedRecords& records) {
    std::map<std::uint64_t, std::set<std::uint64_t>> proposed;  // digests by number
    records.for_each_with_prefix(proposal_prefix(name), [&](const Record& record) {
        const auto key = parse_proposal_key(record.key);
        if (key) proposed[key->version.number].insert(key->version.digest);
    });
    std::vector<std::string> conflicts;
    const std::uint64_t newest_decided =
        topic.decision ? topic.decision->version.number : topic.active.number;
    for (auto at = proposed.rbegin(); at != proposed.rend() && at->first > newest_decided; ++at) {
        if (at->second.size() == 1) {
            candidates_[name] = {at->first, *at->second.begin()};
            break;
        }
        if (!topic.conflicts.insert(at->first).second) continue;
        std::string text = name + " " + std::to_string(at->first) + " stands for unlike contents:";
        for (const std::uint64_t digest : at->second) text += ' ' + to_string(Version{at->first, digest});
        conflicts.push_back(text + "; none of them takes effect");
    }
    return conflicts;
}

std::vector<std::string> ConfigTopics::refresh_candidates(Timestamp now, const ReplicatedRecords& records) {
    candidates_.clear();
    std::vector<std::string> conflicts;
    std::string hashed;
    bool can_act = true;
    for (auto& [name, topic] : topics_) {
        for (std::string& text : refresh_topic(name, topic, records)) conflicts.push_back(std::move(text));
        const auto candidate = candidates_.find(name);
        if (candidate == candidates_.end()) continue;
        hashed += proposal_key(name, candidate->second);
        can_act = can_act && can_act_on(topic, candidate->second);
    }
    // The hash also covers decisions and recent activations. Heartbeats thus show which members know a
    // decision and have activated it, in the same way as they show which members hold a proposal.
    for (const auto& [name, topic] : topics_) {
        if (!topic.decision && now < topic.confirm_until) hashed += proposal_key(name, topic.active) + '!';
        if (!topic.decision) continue;
        hashed +=
            proposal_key(name, topic.decision->version) + '@' + std::to_string(topic.decision->at / 1ms);
        can_act = can_act && can_act_on(topic, topic.decision->version);
    }
    proposal_hash_ = hashed.empty() || !can_act ? 0 : std::max(1U, short_hash(hash_of(hashed)));
    return conflicts;
}

std::uint32_t ConfigTopics::next_active_hash() const {
    std::string next_active;
    for (const auto& [name, topic] : topics_) {
        const auto candidate = candidates_.find(name);
        const Version next = candidate != candidates_.end() ? candidate->second : topic.active;
        if (next.number > 0) next_active += proposal_key(name, next);
    }
    return short_hash(hash_of(next_active));
}

const ConfigFingerprint& ConfigTopics::fingerprint() const {
    if (fingerprint_) return *fingerprint_;
    std::string active, planned;
    for (const auto& [name, topic] : topics_) {
        if (topic.active.number > 0) active += proposal_key(name, topic.active);
        if (topic.decision) {
            planned +=
                proposal_key(name, topic.decision->version) + '@' + std::to_string(topic.decision->at / 1ms);
        } else if (topic.active.number > 0) {
            planned += proposal_key(name, topic.active) + '@' + std::to_string(topic.activated_at / 1ms);
        }
    }
    fingerprint_ = ConfigFingerprint{short_hash(hash_of(active)), short_hash(hash_of(planned))};
    return *fingerprint_;
}

ConfigTopics::DecisionResult ConfigTopics::apply_decision(const std::string& name,
                                                          const ActivationDecision& decision) {
    Topic& topic = topics_[name];
    if (decision.version.number < topic.active.number) return DecisionResult::kOutdated;
    if (decision.version == topic.active) {
        fingerprint_.reset();
        topic.activated_at = decision.at;  // if two gateways decided, all adopt the same time
        return DecisionResult::kAlreadyActive;
    }
    const bool already_decided = topic.decision && topic.decision->version == decision.version;
    set_decision(name, decision);
    return already_decided ? DecisionResult::kAlreadyDecided : DecisionResult::kNew;
}

void ConfigTopics::set_decision(const std::string& name, const ActivationDecision& decision) {
    fingerprint_.reset();
    topics_[name].decision = decision;
}

void ConfigTopics::activate(Topic& topic, Version version, std::string value) {
    fingerprint_.reset();
    topic.activated_at = topic.decision->at;
    topic.decision.reset();
    topic.active = version;
    topic.value = std::move(value);
    while (topic.checked.size() > kMaxChecked) topic.checked.erase(topic.checked.begin());
    topic.conflicts.erase(topic.conflicts.begin(), topic.conflicts.upper_bound(version.number));
}

void ConfigTopics::restore(const std::string& name, Topic topic) {
    fingerprint_.reset();
    topics_[name] = std::move(topic);
}

std::optional<Timestamp> ConfigTopics::next_activation() const {
    std::optional<Timestamp> first;
    for (const auto& [name, topic] : topics_) {
        if (topic.decision && (!first || topic.decision->at < *first)) first = topic.decision->at;
    }
    return first;
}

bool ConfigTopics::has_missed_activation(Timestamp now) const {
    return std::any_of(topics_.begin(), topics_.end(), [&](const auto& named) {
        const Topic& topic = named.second;
        return topic.decision && topic.decision->at <= now && topic.decision->version != topic.active;
    });
}

bool ConfigTopics::should_store(const Record& record) const {
    const auto proposal = parse_proposal_key(record.key);
    const auto decided_topic = proposal ? std::nullopt : parse_decision_key(record.key);
    if (!proposal && !decided_topic) return true;
    const Topic* topic = find(proposal ? proposal->topic : *decided_topic);
    if (!topic) return true;
    if (decided_topic) return record.number >= topic->active.number;
    return proposal->version.number > topic->active.number || proposal->version == topic->active ||
           (topic->decision && proposal->version == topic->decision->version);
}

}  // namespace linnetlead::agreement
