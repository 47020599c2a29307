// Tracks which gateways of the group are up, as in SWIM (Das et al. 2002): round-robin pings, indirect pings
// through other members, suspicion before removal, and incarnation numbers with which a member refutes wrong
// gossip about itself. As in Lifeguard (Dadgar et al. 2018), a gateway whose own pings fail takes longer to
// suspect others. Used by ConfigAgreement. No I/O and no clock: tick() returns the pings to send, and the
// caller reports received messages.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::agreement {

using policy::Duration;
using policy::Timestamp;

// In ascending precedence: of two presences gossiped for one incarnation, the later one in this list wins.
// The values are part of the datagram format.
enum class Presence { kJoining, kAlive, kSuspect, kLeaving, kGone };
// The name in the log.
const char* to_string(Presence presence);

// Greater than 0. Increases with each start of the process, and each time a member refutes gossip about
// itself.
using Incarnation = std::uint64_t;

// One member's presence, as a gateway passes it on.
struct Gossip {
    int member = 0;
    Presence presence = Presence::kGone;
    Incarnation incarnation = 0;
};

class Membership {
public:
    struct Settings {
        int gateways = 1;
        int self = 0;
        Incarnation incarnation = 1;  // of this process at its start
        std::uint64_t seed = 0;
        Duration ping_interval = std::chrono::milliseconds(125);
        Duration ack_timeout = std::chrono::milliseconds(80);            // then indirect pings are requested
        Duration indirect_ack_timeout = std::chrono::milliseconds(160);  // after that the member is suspect
        Duration suspicion_timeout = std::chrono::milliseconds(1500);    // then the member is gone
        int indirect_pings = 3;  // number of members asked to ping a member that did not answer
    };
    explicit Membership(const Settings& settings);

    // If `to` equals `target`, a ping to the target, else a request to `to` to ping the target.
    struct Ping {
        int to = 0;
        int target = 0;
        std::uint32_t sequence = 0;
    };
    std::vector<Ping> tick(Timestamp now);

    // Call for each datagram from a member, with the presence and incarnation it states about itself.
    void on_direct_message(Timestamp now, int from, Presence presence, Incarnation incarnation);
    // Call when the ping with this sequence number is answered, directly or through another member.
    void on_ack(int from, std::uint32_t sequence);
    // True if the gossip changed this gateway's state.
    bool apply_gossip(Timestamp now, const Gossip& gossip);
    // The gossip to send along with a message to `to`, at most `limit` items: first what `to` has to refute
    // about itself, then gossip with retransmissions left.
    std::vector<Gossip> gossip_for(int to, std::size_t limit);

    // Sets the presence that this gateway states about itself.
    void set_own_presence(Presence presence);
    Presence presence(int member) const { return members_[static_cast<std::size_t>(member)].presence; }
    int self() const { return settings_.self; }
    Incarnation incarnation() const { return incarnation_of(settings_.self); }
    // 0 if nothing is known about the member.
    Incarnation incarnation_of(int member) const {
        return members_[static_cast<std::size_t>(member)].incarnation;
    }
    // When the member's presence last changed.
    Timestamp presence_since(int member) const { return members_[static_cast<std::size_t>(member)].since; }
    // True if the member is not known to be down; also true while it is suspect. Decisions wait for present
    // members.
    bool is_present(int member) const { return presence(member) <= Presence::kSuspect; }
    int present_count() const;
    // How often this gateway has learnt that others declared it gone.
    std::uint64_t times_declared_gone() const { return times_declared_gone_; }
    // Lifeguard's local health score: 0 while this gateway's own pings are answered, up to 8 while they fail.
    // The ack and suspicion timeouts are multiplied by the score plus one.
    int local_health_score() const { return local_health_score_; }

private:
    static constexpr int kMaxLocalHealthScore = 8;
    struct Member {
        Presence presence = Presence::kGone;
        Incarnation incarnation = 0;
        Timestamp since{};
        int retransmissions = 0;  // number of messages that will still carry its gossip
    };
    struct PendingPing {
        int target = -1;
        std::uint32_t sequence = 0;
        Timestamp sent_at{};
        bool indirect = false;  // indirect pings were requested
    };
    Member& member(int number) { return members_[static_cast<std::size_t>(number)]; }
    void set_presence(Timestamp now, int number, Presence presence, Incarnation incarnation);
    bool refute_if_needed(Timestamp now, const Gossip& gossip);
    void add_indirect_pings(const PendingPing& pending, std::vector<Ping>& pings);
    void check_pending_pings(Timestamp now, std::vector<Ping>& pings);
    void remove_timed_out_members(Timestamp now);
    int select_ping_target();
    int select_gone_member();
    Duration scale_timeout(Duration timeout) const { return timeout * (1 + local_health_score_); }

    Settings settings_;
    std::mt19937_64 random_;
    std::vector<Member> members_;
    std::vector<int> ping_round_;      // members to be pinged in the rest of this round
    std::vector<int> pending_gossip_;  // members whose gossip has retransmissions left
    std::vector<PendingPing> pending_pings_;
    std::uint32_t last_sequence_ = 0;
    std::uint64_t targets_selected_ = 0, times_declared_gone_ = 0;
    Timestamp next_ping_at_{};
    int local_health_score_ = 0;
};

}  // namespace linnetlead::agreement
