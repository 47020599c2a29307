#include "cluster/agreement/config_agreement.h"

#include <algorithm>
#include <utility>

#include "cluster/agreement/saved_state.h"

namespace linnetlead::agreement {

using namespace std::chrono_literals;
using Priority = DatagramSender::Priority;

namespace {

constexpr int kMembersNotifiedOfLeave = 3;

Membership::Settings membership_settings(const ConfigAgreement::Settings& settings) {
    Membership::Settings result;
    result.gateways = settings.gateways;
    result.self = settings.self;
    result.incarnation = settings.incarnation;
    result.seed = settings.seed;
    result.ping_interval = ping_interval(settings.gateways);
    return result;
}

ConfigLease::Settings lease_settings(const ConfigAgreement::Settings& settings) {
    ConfigLease::Settings result;
    result.lease = settings.lease;
    result.tombstone_lifetime = settings.tombstone_lifetime;
    result.can_be_fenced = !settings.test_seams.never_fenced && settings.transport != Transport::kNone;
    return result;
}

}  // namespace

ConfigAgreement::ConfigAgreement(const Settings& settings, Callbacks callbacks)
    : settings_(settings),
      callbacks_(std::move(callbacks)),
      members_(membership_settings(settings)),
      anti_entropy_(records_, *this),
      committee_(settings.gateways, settings.lease, settings.max_clock_skew),
      lease_(lease_settings(settings)),
      topic_agreement_({settings_, callbacks_, members_, committee_, lease_, records_, anti_entropy_}),
      sender_(callbacks_.send, members_, settings.datagrams_per_s),
      heartbeats_({members_, committee_, topic_agreement_.holders(), records_, topics()}, settings.lease),
      reported_presence_(static_cast<std::size_t>(settings.gateways), Presence::kGone) {}

void ConfigAgreement::report_event(Timestamp now, EventKind kind, const std::string& text) {
    if (callbacks_.event) callbacks_.event({now, kind, text});
}

bool ConfigAgreement::send(int to, Message message) {
    return sender_.send(latest_event_at_, to, std::move(message));
}

bool ConfigAgreement::send_application(Timestamp now, int to, const std::string& payload) {
    return settings_.transport == Transport::kDatagrams && sender_.send_application(now, to, payload);
}

ConfigAgreement::Traffic ConfigAgreement::traffic() const {
    const DatagramSender::Counts& counts = sender_.counts();
    return {counts.sent, counts.bytes, counts.held_back, received_, invalid_};
}

// Prevents acting on outdated statements after a stall: datagrams that are received then may have waited in
// the kernel for as long as the stall, and would look current.
void ConfigAgreement::check_for_stall(Timestamp now) {
    const auto stalled = lease_.detect_stall(now);
    if (!stalled) return;
    committee_.discard_statements_until(now);
    report_event(now, EventKind::kStalled,
                 "for " + std::to_string(*stalled / 1ms) + " ms; the tier is heard anew");
}

// ---- Datagrams ------------------------------------------------------------------------------------------

void ConfigAgreement::on_datagram(Timestamp now, int from, std::string_view datagram) {
    check_for_stall(now);
    latest_event_at_ = std::max(latest_event_at_, now);
    ++received_;
    const auto message = decode(datagram);
    if (!message || message->from != from || from < 0 || from >= settings_.gateways ||
        from == settings_.self) {
        ++invalid_;
        return;
    }
    members_.on_direct_message(now, from, message->presence, message->incarnation);
    // Ignores datagrams of an earlier process of the member.
    if (message->incarnation < members_.incarnation_of(from)) return;
    switch (message->kind) {
        case MessageKind::kPing:
            on_ping(now, *message);
            break;
        case MessageKind::kAck:
            on_ack(now, *message);
            break;
        case MessageKind::kPingRequest:
            on_ping_request(now, *message);
            break;
        case MessageKind::kIndirectAck:
            members_.on_ack(message->target, message->sequence);
            break;
        case MessageKind::kApplication:
            if (callbacks_.application) callbacks_.application(from, message->payload);
            break;
        default:
            anti_entropy_.on_message(now, *message);
            break;
    }
}

void ConfigAgreement::send_ping(Timestamp now, int to, std::uint32_t sequence, Priority priority) {
    sender_.send(now, to, heartbeats_.build(now, MessageKind::kPing, to, sequence), priority);
}

void ConfigAgreement::on_ping(Timestamp now, const Message& message) {
    on_heartbeat(now, message);
    sender_.send(now, message.from, heartbeats_.build(now, MessageKind::kAck, message.from, message.sequence),
                 Priority::kAlways);
    anti_entropy_.piggyback(message.from);
}

void ConfigAgreement::on_ack(Timestamp now, const Message& message) {
    members_.on_ack(message.from, message.sequence);
    on_heartbeat(now, message);
    const auto requester = indirect_pings_.complete(message.sequence);
    if (!requester) return;
    Message report;
    report.kind = MessageKind::kIndirectAck;
    report.sequence = requester->sequence;
    report.target = message.from;
    sender_.send(now, requester->gateway, std::move(report));
}

void ConfigAgreement::on_ping_request(Timestamp now, const Message& message) {
    if (message.target >= settings_.gateways || message.target == settings_.self) return;
    const std::uint32_t sequence = indirect_pings_.begin({message.from, message.sequence});
    send_ping(now, message.target, sequence, Priority::kWithinBudget);
}

void ConfigAgreement::on_heartbeat(Timestamp now, const Message& message) {
    if (heartbeats_.apply(now, message)) {
        report_event(now, EventKind::kDeclaredGone,
                     "the others took this gateway for gone; it waits to hear them anew");
    }
    if (!lease_.joined() && message.presence == Presence::kAlive && lease_.records_stale()) {
        discard_stale_records(now);
    }
    if (message.heartbeat.records_hash != records_.hash()) anti_entropy_.on_hash_mismatch(now, message.from);
    renew_lease(now);
}

void ConfigAgreement::discard_stale_records(Timestamp now) {
    lease_.discard_stale_records();
    records_.clear();
    anti_entropy_.clear();
    ++change_count_;
    report_event(now, EventKind::kRecordsDiscarded,
                 "out of touch for longer than tombstones last: the tier's records are taken whole");
    topic_agreement_.refresh_proposals(now);
}

void ConfigAgreement::leave(Timestamp now) {
    leaving_ = true;
    members_.set_own_presence(Presence::kLeaving);
    int remaining = kMembersNotifiedOfLeave;
    for (int member = 0; member < settings_.gateways && remaining > 0; ++member) {
        if (member == settings_.self || !members_.is_present(member) ||
            settings_.transport != Transport::kDatagrams) {
            continue;
        }
        send_ping(now, member, IndirectPings::kSequenceFlag, Priority::kAlways);
        --remaining;
    }
}

// ---- Time -----------------------------------------------------------------------------------------------

void ConfigAgreement::tick(Timestamp now) {
    check_for_stall(now);
    latest_event_at_ = now;
    if (now - last_sweep_at_ >= kSweepInterval) {
        last_sweep_at_ = now;
        if (records_.remove_expired(now)) ++change_count_;
    }
    if (settings_.transport == Transport::kDatagrams && settings_.gateways > 1) tick_membership(now);
    if (const auto seat = committee_.seat_of(settings_.self)) {
        committee_.record_statement(now, *seat, {now, topics().fingerprint()});
    }
    topic_agreement_.tick(now);
    update_lease(now);
}

void ConfigAgreement::tick_membership(Timestamp now) {
    for (const Membership::Ping& ping : members_.tick(now)) {
        if (ping.to == ping.target) {
            send_ping(now, ping.to, ping.sequence, Priority::kAlways);
            anti_entropy_.piggyback(ping.to);
            continue;
        }
        Message request;
        request.kind = MessageKind::kPingRequest;
        request.sequence = ping.sequence;
        request.target = ping.target;
        sender_.send(now, ping.to, std::move(request));
    }
    anti_entropy_.tick(now);
    report_presence_changes(now);
}

void ConfigAgreement::report_presence_changes(Timestamp now) {
    for (int member = 0; member < settings_.gateways; ++member) {
        Presence& reported = reported_presence_[static_cast<std::size_t>(member)];
        const Presence presence = members_.presence(member);
        if (member == settings_.self || reported == presence) continue;
        report_event(now, EventKind::kMemberChanged, std::to_string(member) + " is " + to_string(presence));
        reported = presence;
        if (presence == Presence::kGone) topic_agreement_.holders().remove(member);
    }
}

// ---- Lease ----------------------------------------------------------------------------------------------

void ConfigAgreement::renew_lease(Timestamp now) {
    const ConfigFingerprint& own = topics().fingerprint();
    Timestamp end = settings_.transport == Transport::kCounter
                        ? topic_agreement_.voting().lease_end(own.active)
                        : committee_.lease_end(now, own).value_or(Timestamp{0});
    // From the activation time of a decided version on, no gateway may act in full on the previous version.
    if (const auto activation = topics().next_activation()) end = std::min(end, *activation);
    lease_.set_end(end);
}

void ConfigAgreement::update_lease(Timestamp now) {
    renew_lease(now);
    const ConfigLease::Changes changes = lease_.update(now);
    if (changes.joined) {
        members_.set_own_presence(leaving_ ? Presence::kLeaving : Presence::kAlive);
        report_event(now, EventKind::kJoined,
                     std::to_string(present_gateways()) + " of " + std::to_string(settings_.gateways) +
                         " gateways are there");
    }
    if (changes.lost_contact) members_.set_own_presence(Presence::kJoining);
    if (!changes.fenced_changed) return;
    const bool is_fenced = lease_.fenced(now);
    if (!is_fenced) {
        report_event(now, EventKind::kUnfenced, "the tier acts on the same versions");
    } else if (topics().has_missed_activation(now)) {
        report_event(now, EventKind::kFenced, "a version has taken effect that this gateway cannot act on");
    } else {
        report_event(now, EventKind::kFenced, "the tier has not been heard for the lease's time");
    }
    if (callbacks_.fenced) callbacks_.fenced(is_fenced);
}

int ConfigAgreement::present_gateways() const {
    switch (settings_.transport) {
        case Transport::kNone:
            return 1;
        case Transport::kDatagrams:
            return members_.present_count();
        case Transport::kCounter:
            return topic_agreement_.voting().present();
    }
    return 1;
}

// ---- Topics and records ---------------------------------------------------------------------------------

Status ConfigAgreement::propose(Timestamp now, const std::string& topic, std::uint64_t number,
                                std::string value) {
    latest_event_at_ = std::max(latest_event_at_, now);
    return topic_agreement_.propose(now, topic, number, std::move(value));
}

void ConfigAgreement::set_check_result(Timestamp now, const std::string& topic, Version version,
                                       bool can_act_on_it) {
    topic_agreement_.set_check_result(now, topic, version, can_act_on_it);
}

void ConfigAgreement::on_counter_answer(Timestamp now, const std::string& name, bool ok, double total) {
    latest_event_at_ = std::max(latest_event_at_, now);
    if (topic_agreement_.on_counter_answer(now, name, ok, total)) renew_lease(now);
}

void ConfigAgreement::on_new_record(Timestamp now, const Record& record) {
    ++change_count_;
    const bool belongs_to_topic = topic_agreement_.on_record_stored(now, record);
    if (!belongs_to_topic && callbacks_.record) callbacks_.record(record);
}

bool ConfigAgreement::put_record(Timestamp now, const std::string& key, std::string value,
                                 Duration lifetime) {
    latest_event_at_ = std::max(latest_event_at_, now);
    const Record* before = records_.find(key);
    Record record;
    record.key = key;
    record.number = before ? before->number + 1 : 1;
    record.origin = settings_.self;
    if (lifetime > Duration{})
        record.expires_at = std::chrono::ceil<std::chrono::milliseconds>(now + lifetime);
    record.value = std::move(value);
    if (records_.merge(now, std::move(record)) != ReplicatedRecords::MergeResult::kApplied) return false;
    ++change_count_;
    anti_entropy_.schedule_gossip(key);
    return true;
}

bool ConfigAgreement::delete_record(Timestamp now, const std::string& key) {
    latest_event_at_ = std::max(latest_event_at_, now);
    const Record* before = records_.find(key);
    if (!before || before->deleted) return false;
    ++change_count_;
    if (settings_.test_seams.without_tombstones) {
        records_.erase(key);
        return true;
    }
    Record tombstone;
    tombstone.key = key;
    tombstone.number = before->number + 1;
    tombstone.origin = settings_.self;
    tombstone.deleted = true;
    tombstone.expires_at = std::chrono::ceil<std::chrono::milliseconds>(now + settings_.tombstone_lifetime);
    records_.merge(now, std::move(tombstone));
    anti_entropy_.schedule_gossip(key);
    return true;
}

// ---- Queries --------------------------------------------------------------------------------------------

Version ConfigAgreement::active_version(const std::string& name) const {
    const Topic* topic = topics().find(name);
    return topic ? topic->active : Version{};
}

const std::string* ConfigAgreement::active_value(const std::string& name) const {
    const Topic* topic = topics().find(name);
    return topic && topic->active.number > 0 ? &topic->value : nullptr;
}

std::optional<Version> ConfigAgreement::proposed_version(const std::string& name) const {
    const auto at = topics().candidates().find(name);
    return at == topics().candidates().end() ? std::nullopt : std::optional(at->second);
}

std::optional<Timestamp> ConfigAgreement::activation_time(const std::string& name) const {
    const Topic* topic = topics().find(name);
    if (!topic || !topic->decision) return std::nullopt;
    return topic->decision->at;
}

Timestamp ConfigAgreement::exclusive_from(const std::string& name) const {
    const Topic* topic = topics().find(name);
    return topic ? topic->exclusive_from : Timestamp{};
}

// ---- Saved state ----------------------------------------------------------------------------------------

std::string ConfigAgreement::save() const {
    return encode_state(latest_event_at_, lease_.last_contact(), records_, topics().all());
}

Status ConfigAgreement::restore(Timestamp now, const std::string& state) {
    auto saved = decode_state(state);
    if (!saved) return tl::unexpected<Error>(saved.error());
    latest_event_at_ = now;
    for (SavedTopic& saved_topic : saved->topics) {
        Topic topic;
        topic.active = saved_topic.active;
        topic.activated_at = saved_topic.activated_at;
        topic.value = std::move(saved_topic.value);
        topic.exclusive_from = now + settings_.lease + settings_.max_clock_skew;
        topic_agreement_.restore_topic(saved_topic.name, std::move(topic));
    }
    lease_.restore(now, saved->last_contact);
    for (Record& record : saved->records) {
        const std::string key = record.key;
        if (topics().should_store(record) &&
            records_.merge(now, std::move(record)) == ReplicatedRecords::MergeResult::kApplied) {
            on_new_record(now, *records_.find(key));
        }
    }
    topic_agreement_.report_restored(now);
    return {};
}

}  // namespace linnetlead::agreement
