// Keeps the gateways of a group in agreement on three things: which members are up, records that every member
// eventually holds, and topics. A topic is a part of the configuration; a new version of it becomes active at
// the same time on all members, once all members that are up hold it. A gateway that cannot tell whether the
// others have activated another version is fenced, and its owner restricts what it acts on.
//
// ConfigAgreement is the interface for the rest of the process and routes events to its parts: Membership,
// Heartbeats and IndirectPings (which members are up), AntiEntropy and ReplicatedRecords (records),
// TopicAgreement (from a proposal to an active version), ConfigLease and Committee (whether this gateway is
// fenced), DatagramSender (the datagram budget). No I/O and no clock: the same seed and the same events lead
// to the same decisions.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/agreement/agreement_settings.h"
#include "cluster/agreement/anti_entropy.h"
#include "cluster/agreement/committee.h"
#include "cluster/agreement/config_lease.h"
#include "cluster/agreement/datagram_sender.h"
#include "cluster/agreement/heartbeats.h"
#include "cluster/agreement/indirect_pings.h"
#include "cluster/agreement/membership.h"
#include "cluster/agreement/replicated_records.h"
#include "cluster/agreement/topic_agreement.h"
#include "common/error.h"

namespace linnetlead::agreement {

class ConfigAgreement final : private AntiEntropy::Owner {
public:
    using Settings = AgreementSettings;
    using Callbacks = AgreementCallbacks;
    ConfigAgreement(const Settings& settings, Callbacks callbacks);
    ConfigAgreement(const ConfigAgreement&) = delete;
    ConfigAgreement& operator=(const ConfigAgreement&) = delete;

    // Call every 20 to 40 ms, and at next_activation().
    void tick(Timestamp now);
    void on_datagram(Timestamp now, int from, std::string_view datagram);
    // The answer to a `count` callback; `ok` is false if the counter failed.
    void on_counter_answer(Timestamp now, const std::string& name, bool ok, double total);
    // When the next decided version becomes active; none if no version is decided.
    std::optional<Timestamp> next_activation() const { return topics().next_activation(); }

    // Proposes a version of a topic. Also succeeds if the version is already known. kInvalidArgument: outside
    // the limits; kFailedPrecondition: older than the active or decided version; kAlreadyExists: the active
    // or decided version has this number and other content; kResourceExhausted: the record store is full.
    Status propose(Timestamp now, const std::string& topic, std::uint64_t number, std::string value);
    // The answer to a `check` callback.
    void set_check_result(Timestamp now, const std::string& topic, Version version, bool can_act_on_it);

    // For records that belong to no topic. put_record() returns false if the record store is full,
    // delete_record() if there is no such record. `lifetime`: from now on; 0: unlimited.
    bool put_record(Timestamp now, const std::string& key, std::string value, Duration lifetime = {});
    bool delete_record(Timestamp now, const std::string& key);
    const Record* find_record(const std::string& key) const { return records_.find(key); }
    void for_each_record(const std::string& prefix, const std::function<void(const Record&)>& visit) const {
        records_.for_each_with_prefix(prefix, visit);
    }
    // Sends a datagram for another module, within that module's share of the budget. False if it was not
    // sent.
    bool send_application(Timestamp now, int to, const std::string& payload);

    // True if this gateway may not act on its configuration in full. Cheap, and also correct right after the
    // process stalled.
    bool fenced(Timestamp now) const { return lease_.fenced(now); }
    std::optional<Timestamp> fenced_since() const { return lease_.fenced_since(); }
    Version active_version(const std::string& topic) const;
    // Null if no version is active.
    const std::string* active_value(const std::string& topic) const;
    // The newest version that is proposed and neither active nor decided.
    std::optional<Version> proposed_version(const std::string& topic) const;
    // When the decided version becomes active; none if no version is decided.
    std::optional<Timestamp> activation_time(const std::string& topic) const;
    // The highest number of the proposals held here, including conflicting ones; 0: none.
    std::uint64_t highest_proposed_number(const std::string& topic) const {
        return topic_agreement_.highest_proposed_number(topic);
    }
    // From when on no gateway acts in full on the version before the active one. This is the activation time
    // plus the clock skew if all present members knew the decision, else the time when their leases have
    // ended.
    Timestamp exclusive_from(const std::string& topic) const;
    // True if this gateway may currently decide activation times.
    bool may_decide(Timestamp now) const { return topic_agreement_.may_decide(now); }
    // Present members that are not known to hold the current proposals.
    std::vector<int> members_without_proposal() const {
        return topic_agreement_.decider().members_without_proposal(topics());
    }
    bool joined() const { return lease_.joined(); }
    const Membership& members() const { return members_; }
    const ReplicatedRecords& records() const { return records_; }
    Duration longest_contradiction() const { return topic_agreement_.decider().longest_contradiction(); }
    int present_gateways() const;
    Transport transport() const { return settings_.transport; }
    int gateways() const { return settings_.gateways; }
    // Call before the process stops: notifies a few members, so that the group need not detect it.
    void leave(Timestamp now);

    struct Traffic {
        std::uint64_t sent = 0, bytes = 0, held_back = 0;  // held_back: not sent, over the budget
        std::uint64_t received = 0, invalid = 0;
    };
    Traffic traffic() const;

    // The state that survives a crash, encoded.
    std::string save() const;
    // Call before the first tick. The restored versions are active, but the gateway is fenced until it holds
    // a lease. kDataLoss if `state` is not a valid saved state.
    Status restore(Timestamp now, const std::string& state);
    // Increases with each change to the saved state.
    std::uint64_t change_count() const { return change_count_ + topic_agreement_.change_count(); }

private:
    static constexpr Duration kSweepInterval = std::chrono::milliseconds(500);

    // AntiEntropy::Owner
    bool send(int to, Message message) override;
    bool should_store(const Record& record) const override { return topics().should_store(record); }
    void on_record_stored(const Record& record) override { on_new_record(latest_event_at_, record); }

    void report_event(Timestamp now, EventKind kind, const std::string& text);
    void check_for_stall(Timestamp now);
    void send_ping(Timestamp now, int to, std::uint32_t sequence, DatagramSender::Priority priority);
    void on_ping(Timestamp now, const Message& message);
    void on_ack(Timestamp now, const Message& message);
    void on_ping_request(Timestamp now, const Message& message);
    void on_heartbeat(Timestamp now, const Message& message);
    void tick_membership(Timestamp now);
    void report_presence_changes(Timestamp now);

    void on_new_record(Timestamp now, const Record& record);
    const ConfigTopics& topics() const { return topic_agreement_.topics(); }

    void renew_lease(Timestamp now);
    void update_lease(Timestamp now);
    void discard_stale_records(Timestamp now);

    Settings settings_;
    Callbacks callbacks_;
    Membership members_;
    ReplicatedRecords records_;
    AntiEntropy anti_entropy_;
    Committee committee_;
    ConfigLease lease_;
    TopicAgreement topic_agreement_;
    DatagramSender sender_;
    Heartbeats heartbeats_;
    IndirectPings indirect_pings_;
    bool leaving_ = false;
    Timestamp latest_event_at_{}, last_sweep_at_{};
    std::uint64_t change_count_ = 0;
    std::uint64_t received_ = 0, invalid_ = 0;  // datagrams
    std::vector<Presence> reported_presence_;   // by member
};

}  // namespace linnetlead::agreement
