#include "cluster/agreement/activation_decider.h"

#include <algorithm>
#include <cmath>

namespace linnetlead::agreement {

using namespace std::chrono_literals;

namespace {

constexpr int kSmallGroupGateways = 3;
constexpr Duration kSmallGroupPingInterval = 250ms;
constexpr Duration kPingInterval = 125ms;

// The number of gossip rounds grows with the logarithm of the group's size.
constexpr std::chrono::milliseconds kMinActivationDelay = 200ms;
constexpr std::chrono::milliseconds kActivationDelayPerDoubling = 65ms;

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

Duration ping_interval(int gateways) {
    return gateways <= kSmallGroupGateways ? kSmallGroupPingInterval : kPingInterval;
}

bool ActivationDecider::is_decider() const {
    for (int seat = 0; seat < committee_.size(); ++seat) {
        const int member = committee_.member(seat);
        if (members_.presence(member) == Presence::kAlive) return member == settings_.self;
    }
    return false;
}

Duration ActivationDecider::activation_delay() const {
    if (settings_.activation_delay > Duration{}) return settings_.activation_delay;
    const double relative_interval = seconds(ping_interval(settings_.gateways)) / seconds(kPingInterval);
    return std::chrono::duration_cast<Duration>(
        (kMinActivationDelay + kActivationDelayPerDoubling * std::log2(settings_.gateways + 1.0)) *
        relative_interval);
}

bool ActivationDecider::all_members_in_sync(Timestamp now) const {
    if (is_alone()) return true;
    if (settings_.transport == Transport::kCounter || holders_.hash() == 0) return false;
    for (int member = 0; member < settings_.gateways; ++member) {
        if (member == settings_.self) continue;
        const bool present = members_.is_present(member);
        const bool recently_gone =
            !present && members_.incarnation_of(member) > 0 &&
            now - members_.presence_since(member) < settings_.lease + settings_.max_clock_skew;
        if (recently_gone || (present && !holders_.holds(member))) return false;
    }
    return true;
}

std::vector<int> ActivationDecider::members_without_proposal(const ConfigTopics& topics) const {
    std::vector<int> lacking;
    if (topics.candidates().empty()) return lacking;
    for (int member = 0; member < settings_.gateways; ++member) {
        // A gateway that holds no proposal itself has no information about the other members.
        const bool is_known = holders_.hash() != 0 || member == settings_.self;
        if (is_known && !holders_.holds(member) && members_.is_present(member)) lacking.push_back(member);
    }
    return lacking;
}

Timestamp ActivationDecider::confirm_until(Timestamp at) const {
    return is_alone() ? Timestamp{} : at + longest_contradiction();
}

Timestamp ActivationDecider::exclusive_from(Timestamp now, Timestamp at) const {
    return at + (is_alone() ? Duration{} : settings_.max_clock_skew) +
           (all_members_in_sync(now) ? Duration{} : longest_contradiction() - settings_.max_clock_skew);
}

bool ActivationDecider::confirm_activations(Timestamp now, ConfigTopics& topics) const {
    bool has_ended = false;
    for (auto& [name, topic] : topics.all()) {
        if (topic.decision || topic.confirm_until == Timestamp{}) continue;
        if (now >= topic.confirm_until) {
            topic.confirm_until = {};
            has_ended = true;
        } else if (topic.exclusive_from > now && all_members_in_sync(now)) {
            topic.exclusive_from = std::max(now, topic.activated_at + settings_.max_clock_skew);
        }
    }
    return has_ended;
}

Duration ActivationDecider::longest_contradiction() const {
    if (settings_.transport == Transport::kNone) return Duration::max();
    const Duration lease = settings_.transport == Transport::kCounter
                               ? kCounterLeaseSlots * settings_.counter_slot
                               : settings_.lease;
    return lease + settings_.max_clock_skew;
}

}  // namespace linnetlead::agreement
