#include "cluster/agreement/topic_agreement.h"

#include <algorithm>
#include <utility>

#include "cluster/agreement/cbor.h"

namespace linnetlead::agreement {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxTopicBytes = 16;  // of a topic's name
constexpr std::uint64_t kMaxVersionNumber = 9'999'999'999;

CounterVoting::Settings voting_settings(const AgreementSettings& settings) {
    CounterVoting::Settings result;
    result.gateways = settings.gateways;
    result.slot = settings.counter_slot;
    result.read_delay = settings.max_clock_skew;
    result.lease = kCounterLeaseSlots * settings.counter_slot;
    return result;
}

// Adapts the owner's `count` callback to the interface that CounterVoting uses.
class CallbackCounter final : public Counting {
public:
    using Count = std::function<void(const std::string&, double, Duration)>;
    explicit CallbackCounter(const Count& count) : count_(count) {}
    void count(const std::string& name, double amount, Duration lifetime) override {
        if (count_) count_(name, amount, lifetime);
    }

private:
    const Count& count_;
};

// The value of a decision's record: version number, digest, and activation time in Unix milliseconds.
std::string encode_decision(const ActivationDecision& decision) {
    return write_cbor(json{decision.version.number, decision.version.digest,
                           static_cast<std::uint64_t>(decision.at / 1ms)});
}

std::optional<ActivationDecision> decode_decision(const std::string& value) {
    const json read = read_cbor(value);
    if (!read.is_array() || read.size() != 3) return std::nullopt;
    if (!std::all_of(read.begin(), read.end(),
                     [](const json& field) { return field.is_number_unsigned(); })) {
        return std::nullopt;
    }
    return ActivationDecision{{read[0].get<std::uint64_t>(), read[1].get<std::uint64_t>()},
                              std::chrono::milliseconds(read[2].get<std::int64_t>())};
}

}  // namespace

TopicAgreement::TopicAgreement(const Context& context)
    : context_(context),
      holders_(context.settings.gateways, context.settings.self),
      decider_(context.settings, context.members, context.committee, holders_),
      voting_(voting_settings(context.settings)) {}

void TopicAgreement::report_event(Timestamp now, EventKind kind, const std::string& text) const {
    if (context_.callbacks.event) context_.callbacks.event({now, kind, text});
}

void TopicAgreement::tick(Timestamp now) {
    activate_due_versions(now);
    if (context_.settings.transport == Transport::kCounter) vote_on_counter(now);
    if (decider_.confirm_activations(now, topics_)) refresh_proposals(now);
    decide(now);
}

// ---- Proposals ------------------------------------------------------------------------------------------

Status TopicAgreement::check_successor(Version version, Version known) {
    if (version.number < known.number) {
        return fail(ErrorCode::kFailedPrecondition, "version " + to_string(version) + " is older than " +
                                                        to_string(known) + ", which is active or decided");
    }
    if (version.number == known.number) {
        return fail(ErrorCode::kAlreadyExists, "version " + to_string(version) + " has other content than " +
                                                   to_string(known) + ", which is active or decided");
    }
    return {};
}

Status TopicAgreement::propose(Timestamp now, const std::string& name, std::uint64_t number,
                               std::string value) {
    if (name.empty() || name.size() > kMaxTopicBytes || name.find('#') != std::string::npos || number == 0 ||
        number > kMaxVersionNumber || value.size() > kMaxValueBytes) {
        return fail(ErrorCode::kInvalidArgument,
                    "the topic name, the version number or the size of the content is invalid");
    }
    const Version version{number, hash_of(value)};
    const Topic& topic = topics_[name];
    const Version known = topic.decision ? topic.decision->version : topic.active;
    if (version == known) return {};
    if (Status allowed = check_successor(version, known); !allowed) return allowed;
    Record record;
    record.key = proposal_key(name, version);
    record.number = number;
    record.value = std::move(value);
    const std::string key = record.key;
    if (context_.records.merge(now, std::move(record)) == ReplicatedRecords::MergeResult::kRejected) {
        return fail(ErrorCode::kResourceExhausted, "no room left for another proposal");
    }
    change_count_ += 2;  // the proposal and its record
    context_.anti_entropy.schedule_gossip(key);
    report_event(now, EventKind::kProposed, name + " " + to_string(version));
    on_record_stored(now, *context_.records.find(key));
    return {};
}

bool TopicAgreement::on_record_stored(Timestamp now, const Record& record) {
    if (const auto proposal = parse_proposal_key(record.key)) {
        on_new_proposal(now, record, *proposal);
        return true;
    }
    if (const auto topic = parse_decision_key(record.key)) {
        on_new_decision(now, record, *topic);
        return true;
    }
    return false;
}

void TopicAgreement::on_new_proposal(Timestamp now, const Record& record, const ProposalKey& key) {
    if (hash_of(record.value) != key.version.digest) return context_.records.erase(record.key);
    Topic& topic = topics_[key.topic];
    const bool is_unchecked = topic.checked.emplace(version_hash(key.version), false).second;
    if (is_unchecked && context_.callbacks.check) {
        const std::string value = record.value;  // copied: the callback may erase the record
        context_.callbacks.check(key.topic, key.version, value);
    }
    refresh_proposals(now);
}

void TopicAgreement::set_check_result(Timestamp now, const std::string& name, Version version,
                                      bool can_act_on_it) {
    topics_[name].checked[version_hash(version)] = can_act_on_it;
    if (!can_act_on_it) {
        report_event(now, EventKind::kRefused, name + " " + to_string(version) + " cannot be acted on here");
    }
    refresh_proposals(now);
}

void TopicAgreement::refresh_proposals(Timestamp now) {
    for (const std::string& conflict : topics_.refresh_candidates(now, context_.records)) {
        report_event(now, EventKind::kConflict, conflict);
    }
    holders_.set_own(topics_.proposal_hash());
}

std::uint64_t TopicAgreement::highest_proposed_number(const std::string& name) const {
    std::uint64_t highest = 0;
    context_.records.for_each_with_prefix(proposal_prefix(name), [&](const Record& record) {
        if (const auto key = parse_proposal_key(record.key)) highest = std::max(highest, key->version.number);
    });
    return highest;
}

// ---- Decisions and activation ---------------------------------------------------------------------------

void TopicAgreement::on_new_decision(Timestamp now, const Record& record, const std::string& topic) {
    const auto decision = decode_decision(record.value);
    if (!decision) return;
    const ConfigTopics::DecisionResult result = topics_.apply_decision(topic, *decision);
    if (result == ConfigTopics::DecisionResult::kOutdated ||
        result == ConfigTopics::DecisionResult::kAlreadyActive) {
        return;
    }
    if (result == ConfigTopics::DecisionResult::kNew) {
        report_event(now, EventKind::kDecided, topic + " " + to_string(decision->version));
    }
    refresh_proposals(now);
}

bool TopicAgreement::may_decide(Timestamp now) const {
    return context_.lease.joined() && !context_.lease.fenced(now) &&
           (context_.settings.gateways == 1 || context_.settings.transport != Transport::kDatagrams ||
            decider_.is_decider());
}

void TopicAgreement::decide(Timestamp now) {
    if (holders_.hash() == 0 || context_.settings.transport == Transport::kCounter) return;
    const bool alone = decider_.is_alone();
    if (!alone && (context_.lease.fenced(now) || !context_.lease.joined() || !decider_.is_decider() ||
                   !decider_.members_without_proposal(topics_).empty())) {
        return;
    }
    const ConfigTopics::Versions candidates = topics_.candidates();  // copied: a decision changes them
    for (const auto& [name, version] : candidates) {
        const Timestamp at = alone ? now : now + decider_.activation_delay();
        Record record;
        record.key = decision_key(name);
        record.number = version.number;
        record.origin = context_.settings.self;
        record.value = encode_decision({version, at});
        const std::string key = record.key;
        if (context_.records.merge(now, std::move(record)) != ReplicatedRecords::MergeResult::kApplied)
            continue;
        ++change_count_;
        context_.anti_entropy.schedule_gossip(key);
        on_record_stored(now, *context_.records.find(key));
    }
}

void TopicAgreement::activate_due_versions(Timestamp now) {
    for (auto& [name, topic] : topics_.all()) {
        if (!topic.decision || topic.decision->at > now) continue;
        const Version version = topic.decision->version;
        const Record* record = context_.records.find(proposal_key(name, version));
        const auto checked = topic.checked.find(version_hash(version));
        // Without the content, or if it cannot act on it, this gateway does not activate the version. It
        // stays fenced, since ConfigAgreement ends its lease at the activation time of a decided version.
        if (!record || checked == topic.checked.end() || !checked->second) continue;
        activate(now, name, topic, record->value);
    }
}

void TopicAgreement::activate(Timestamp now, const std::string& name, Topic& topic, std::string value) {
    const ActivationDecision decision = *topic.decision;
    topic.exclusive_from = decider_.exclusive_from(now, decision.at);
    topic.confirm_until = decider_.confirm_until(decision.at);
    topics_.activate(topic, decision.version, value);
    erase_superseded_proposals(name, decision.version);
    ++change_count_;
    if (context_.settings.transport == Transport::kCounter)
        voting_.on_activated(topics_.fingerprint().active);
    report_event(now, EventKind::kActivated, name + " " + to_string(decision.version));
    if (context_.callbacks.activated) context_.callbacks.activated(name, decision.version, value);
    refresh_proposals(now);
}

// Every gateway on which this version is active erases the same records.
void TopicAgreement::erase_superseded_proposals(const std::string& topic, Version active) {
    std::vector<std::string> superseded;
    context_.records.for_each_with_prefix(proposal_prefix(topic), [&](const Record& record) {
        const auto key = parse_proposal_key(record.key);
        const bool is_superseded = key && key->version.number <= active.number && key->version != active;
        if (is_superseded) superseded.push_back(record.key);
    });
    for (const std::string& key : superseded) context_.records.erase(key);
}

void TopicAgreement::report_restored(Timestamp now) {
    for (const auto& [name, topic] : topics_.all()) {
        if (topic.active.number == 0) continue;
        report_event(now, EventKind::kRestored, name + " " + to_string(topic.active));
        if (context_.callbacks.activated) context_.callbacks.activated(name, topic.active, topic.value);
    }
}

// ---- Votes on the shared counter ------------------------------------------------------------------------

void TopicAgreement::vote_on_counter(Timestamp now) {
    CallbackCounter counter(context_.callbacks.count);
    voting_.tick(now, counter, topics_.fingerprint().active, topics_.proposal_hash(),
                 topics_.next_active_hash());
}

bool TopicAgreement::on_counter_answer(Timestamp now, const std::string& name, bool ok, double total) {
    if (context_.settings.transport != Transport::kCounter || !voting_.on_answer(name, ok, total))
        return false;
    const auto at = voting_.activation_time(topics_.proposal_hash());
    if (!at) return true;
    for (const auto& [topic, version] : topics_.candidates()) {
        topics_.set_decision(topic, {version, *at});
        report_event(now, EventKind::kDecided, topic + " " + to_string(version));
    }
    refresh_proposals(now);
    return true;
}

}  // namespace linnetlead::agreement
