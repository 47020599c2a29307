#include "cluster/agreement/membership.h"

#include <algorithm>
#include <cmath>

namespace linnetlead::agreement {

namespace {

// Every fourth ping goes to a member that is gone, so that the two sides of a healed partition find each
// other again.
constexpr std::uint64_t kPingsPerGonePing = 4;

// How long a member that announced its leave is kept, in suspicion timeouts.
constexpr int kLeaveSuspicionTimeouts = 4;

}  // namespace

const char* to_string(Presence presence) {
    constexpr const char* kNames[] = {"joining", "alive", "suspect", "leaving", "gone"};
    return kNames[static_cast<int>(presence)];
}

Membership::Membership(const Settings& settings)
    : settings_(settings), random_(settings.seed), members_(static_cast<std::size_t>(settings.gateways)) {
    member(settings_.self) = {Presence::kJoining, settings_.incarnation, {}, 0};
}

int Membership::present_count() const {
    return static_cast<int>(std::count_if(members_.begin(), members_.end(), [](const Member& state) {
        return state.presence <= Presence::kSuspect;
    }));
}

void Membership::set_presence(Timestamp now, int number, Presence presence, Incarnation incarnation) {
    Member& state = member(number);
    if (state.presence != presence) state.since = now;
    state.presence = presence;
    state.incarnation = incarnation;
    if (state.retransmissions <= 0) pending_gossip_.push_back(number);
    // Logarithmic in the group's size, which reaches every member with a probability near 1 even under loss.
    state.retransmissions = 3 + 2 * static_cast<int>(std::ceil(std::log2(settings_.gateways + 1.0)));
}

void Membership::set_own_presence(Presence presence) {
    const Member& own = member(settings_.self);
    if (own.presence != presence) set_presence(own.since, settings_.self, presence, own.incarnation);
}

// Refutes gossip about an earlier process of this gateway, or that this one is suspect or gone, with a
// higher incarnation. Otherwise the others would exclude this gateway while it runs.
bool Membership::refute_if_needed(Timestamp now, const Gossip& gossip) {
    const Member& own = member(settings_.self);
    const bool newer_incarnation = gossip.incarnation > own.incarnation;
    const bool suspected = gossip.incarnation == own.incarnation && gossip.presence >= Presence::kSuspect &&
                           own.presence != Presence::kLeaving;
    if (!newer_incarnation && !suspected) return false;
    if (gossip.presence == Presence::kGone) ++times_declared_gone_;
    set_presence(now, settings_.self, own.presence, gossip.incarnation + 1);
    return true;
}

bool Membership::apply_gossip(Timestamp now, const Gossip& gossip) {
    if (gossip.member < 0 || gossip.member >= settings_.gateways) return false;
    if (gossip.member == settings_.self) return refute_if_needed(now, gossip);
    const Member& state = member(gossip.member);
    if (gossip.incarnation < state.incarnation) return false;
    if (gossip.incarnation == state.incarnation && gossip.presence <= state.presence) return false;
    set_presence(now, gossip.member, gossip.presence, gossip.incarnation);
    return true;
}

void Membership::on_direct_message(Timestamp now, int from, Presence presence, Incarnation incarnation) {
    if (from != settings_.self) apply_gossip(now, {from, presence, incarnation});
}

void Membership::on_ack(int from, std::uint32_t sequence) {
    const auto pending = std::find_if(
        pending_pings_.begin(), pending_pings_.end(),
        [&](const PendingPing& ping) { return ping.target == from && ping.sequence == sequence; });
    if (pending == pending_pings_.end()) return;
    pending_pings_.erase(pending);
    local_health_score_ = std::max(0, local_health_score_ - 1);
}

std::vector<Gossip> Membership::gossip_for(int to, std::size_t limit) {
    std::vector<Gossip> selected;
    const auto add = [&](int number) {
        const Member& state = member(number);
        selected.push_back({number, state.presence, state.incarnation});
    };
    // Only the receiver itself can refute that it is suspect or gone.
    const bool receiver_suspected =
        to != settings_.self && member(to).incarnation > 0 && member(to).presence >= Presence::kSuspect;
    if (receiver_suspected && limit > 0) add(to);
    std::shuffle(pending_gossip_.begin(), pending_gossip_.end(), random_);
    for (auto next = pending_gossip_.begin(); next != pending_gossip_.end() && selected.size() < limit;) {
        if (!(receiver_suspected && *next == to)) add(*next);
        const bool done = --member(*next).retransmissions <= 0;
        next = done ? pending_gossip_.erase(next) : std::next(next);
    }
    return selected;
}

// Returns a random member that is gone; -1 if there is none.
int Membership::select_gone_member() {
    std::vector<int> gone;
    for (int number = 0; number < settings_.gateways; ++number) {
        if (number != settings_.self && presence(number) == Presence::kGone) gone.push_back(number);
    }
    return gone.empty() ? -1 : gone[random_() % gone.size()];
}

// Selects each member that is not gone once per round, in random order, and at intervals one that is gone.
// Returns -1 if there is none.
int Membership::select_ping_target() {
    ++targets_selected_;
    const auto is_alone = [&] {
        return std::none_of(members_.begin(), members_.end(), [&](const Member& state) {
            return &state != &member(settings_.self) && state.presence != Presence::kGone;
        });
    };
    if (targets_selected_ % kPingsPerGonePing == 0 || is_alone()) {
        if (const int gone = select_gone_member(); gone >= 0) return gone;
    }
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!ping_round_.empty()) {
            const int target = ping_round_.back();
            ping_round_.pop_back();
            if (presence(target) != Presence::kGone) return target;
        }
        for (int number = 0; number < settings_.gateways; ++number) {
            if (number != settings_.self) ping_round_.push_back(number);
        }
        std::shuffle(ping_round_.begin(), ping_round_.end(), random_);
    }
    return -1;
}

void Membership::add_indirect_pings(const PendingPing& pending, std::vector<Ping>& pings) {
    std::vector<int> helpers;
    for (int number = 0; number < settings_.gateways; ++number) {
        if (number != settings_.self && number != pending.target && is_present(number)) {
            helpers.push_back(number);
        }
    }
    std::shuffle(helpers.begin(), helpers.end(), random_);
    helpers.resize(std::min(helpers.size(), static_cast<std::size_t>(settings_.indirect_pings)));
    for (const int helper : helpers) pings.push_back({helper, pending.target, pending.sequence});
}

void Membership::check_pending_pings(Timestamp now, std::vector<Ping>& pings) {
    for (auto pending = pending_pings_.begin(); pending != pending_pings_.end();) {
        const Duration waited = now - pending->sent_at;
        if (!pending->indirect && waited >= scale_timeout(settings_.ack_timeout)) {
            pending->indirect = true;
            add_indirect_pings(*pending, pings);
        }
        if (!pending->indirect ||
            waited < scale_timeout(settings_.ack_timeout + settings_.indirect_ack_timeout)) {
            ++pending;
            continue;
        }
        const Member& state = member(pending->target);
        if (state.presence < Presence::kSuspect) {
            set_presence(now, pending->target, Presence::kSuspect, state.incarnation);
            // The cause may also be that this gateway receives no datagrams.
            local_health_score_ = std::min(kMaxLocalHealthScore, local_health_score_ + 1);
        }
        pending = pending_pings_.erase(pending);
    }
}

void Membership::remove_timed_out_members(Timestamp now) {
    for (int number = 0; number < settings_.gateways; ++number) {
        const Member& state = member(number);
        const Duration elapsed = now - state.since;
        const bool suspect_too_long =
            state.presence == Presence::kSuspect && elapsed >= scale_timeout(settings_.suspicion_timeout);
        const bool has_left = state.presence == Presence::kLeaving && number != settings_.self &&
                              elapsed >= kLeaveSuspicionTimeouts * settings_.suspicion_timeout;
        if (suspect_too_long || has_left) set_presence(now, number, Presence::kGone, state.incarnation);
    }
}

std::vector<Membership::Ping> Membership::tick(Timestamp now) {
    std::vector<Ping> pings;
    check_pending_pings(now, pings);
    remove_timed_out_members(now);
    if (now < next_ping_at_) return pings;
    next_ping_at_ = std::max(next_ping_at_ + settings_.ping_interval, now + settings_.ping_interval / 2);
    if (const int target = select_ping_target(); target >= 0) {
        pings.push_back({target, target, ++last_sequence_});
        pending_pings_.push_back({target, last_sequence_, now, false});
    }
    return pings;
}

}  // namespace linnetlead::agreement
