#include "cluster/agreement/heartbeats.h"

#include <algorithm>

namespace linnetlead::agreement {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxGossip = 4;  // in one heartbeat

}  // namespace

Message Heartbeats::build(Timestamp now, MessageKind kind, int to, std::uint32_t sequence) {
    Message message;
    message.kind = kind;
    message.sequence = sequence;
    Heartbeat& heartbeat = message.heartbeat;
    heartbeat.sent_ms = now / 1ms;
    heartbeat.records_hash = state_.records.hash();
    heartbeat.proposal_hash = state_.holders.hash();
    // Ages are relative to the sent time in whole milliseconds; relative to the exact time, a statement would
    // look newer than it is to the receiver.
    const Timestamp sent = std::chrono::milliseconds(heartbeat.sent_ms);
    Committee& committee = state_.committee;
    if (const auto seat = committee.seat_of(state_.members.self())) {
        committee.record_statement(now, *seat, {sent, state_.topics.fingerprint()});
    }
    for (int seat = 0; seat < committee.size(); ++seat) {
        const LeaseStatement& last = committee.last_statement(seat);
        const Duration age = sent - last.at;
        if (last.at == Timestamp{} || age > 2 * lease_) continue;
        heartbeat.statements.push_back({seat, std::max<std::int64_t>(age / 1ms, 0), last.fingerprint});
    }
    heartbeat.holders = state_.holders.bitmap();
    heartbeat.gossip = state_.members.gossip_for(to, kMaxGossip);
    return message;
}

bool Heartbeats::apply(Timestamp now, const Message& message) {
    const Heartbeat& heartbeat = message.heartbeat;
    const Timestamp sent = std::chrono::milliseconds(heartbeat.sent_ms);
    for (const Heartbeat::Statement& statement : heartbeat.statements) {
        const Timestamp made_at = sent - std::chrono::milliseconds(statement.age_ms);
        state_.committee.record_statement(now, statement.seat, {made_at, statement.fingerprint});
    }
    for (const Gossip& gossip : heartbeat.gossip) state_.members.apply_gossip(now, gossip);
    const bool declared_gone = state_.members.times_declared_gone() != times_declared_gone_;
    if (declared_gone) {
        times_declared_gone_ = state_.members.times_declared_gone();
        state_.committee.discard_statements_until(now);
    }
    state_.holders.merge(message.from, heartbeat.proposal_hash, heartbeat.holders);
    return declared_gone;
}

}  // namespace linnetlead::agreement
