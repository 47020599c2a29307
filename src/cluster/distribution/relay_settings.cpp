#include <map>
#include <set>

#include "cluster/distribution/relay.h"

namespace linnetlead::distribution {

namespace {

constexpr std::size_t kMaxRelays = 40;
constexpr std::size_t kMaxNameBytes = 64;

std::string check_members(const Relay::Settings& settings) {
    const std::size_t relays = settings.members.size();
    if (relays == 0 || relays > kMaxRelays) return "the number of relays has to be 1 to 40";
    if (settings.self < 0 || static_cast<std::size_t>(settings.self) >= relays)
        return "the relay itself is not in the list of relays";
    std::set<std::string> names;
    std::map<int, std::size_t> regions;
    std::size_t voters = 0;
    for (const Relay::Member& relay : settings.members) {
        if (relay.name.empty() || relay.name.size() > kMaxNameBytes)
            return "a relay name has to have 1 to 64 bytes";
        if (!names.insert(relay.name).second) return "two relays have the name " + relay.name;
        if (!relay.is_voter) continue;
        ++voters;
        ++regions[relay.region];
    }
    if (voters % 2 == 0 || voters > static_cast<std::size_t>(raft::kMaxVoters))
        return "1, 3, 5 or 7 relays have to vote, not " + std::to_string(voters);
    for (const auto& [region, count] : regions) {
        if (regions.size() > 1 && count > voters / 2)
            return "region " + std::to_string(region) + " has a majority of the voters";
    }
    return {};
}

std::string check_upstream(const Relay::Settings& settings) {
    const auto& follower = settings.follower;
    if (!settings.members[static_cast<std::size_t>(settings.self)].is_voter && follower.relays.empty())
        return "a non-voting relay needs a list of relays that it may follow";
    for (const int relay : follower.relays) {
        if (relay < 0 || static_cast<std::size_t>(relay) >= settings.members.size())
            return "the list of relays to follow names an unknown relay";
        if (relay == settings.self) return "a relay cannot follow itself";
        // This rules out cycles.
        if (!settings.members[static_cast<std::size_t>(relay)].is_voter)
            return "a relay may follow only voters";
    }
    return {};
}

std::string check_times(const Relay::Settings& settings) {
    const auto& follower = settings.follower;
    if (follower.max_clock_skew < Duration{} || follower.lease <= Duration{})
        return "the lease has to be positive and the clock skew not negative";
    if (settings.activation_lead < follower.max_clock_skew)
        return "the activation lead may not be below the clock skew";
    if (settings.acknowledgement_timeout < Duration{})
        return "the acknowledgement timeout may not be negative";
    if (!(settings.max_unsupported_share >= 0 && settings.max_unsupported_share <= 1))
        return "the maximum unsupported share has to be 0 to 1";
    if (settings.heartbeat_interval <= Duration{} || settings.heartbeat_interval * 2 > follower.lease)
        return "the heartbeat interval has to be positive and at most half of the lease";
    return {};
}

std::string check_bounds(const Relay::Settings& settings) {
    if (settings.max_followers == 0 || !(settings.joins_per_s > 0))
        return "the maximum number of followers and the join rate have to be positive";
    if (settings.target_followers == 0) return "the target number of followers has to be positive";
    if (!(settings.max_concurrent_snapshots >= 1))
        return "at least one concurrent snapshot has to be allowed";
    if (settings.send_window_bytes == 0 || settings.snapshot_window_bytes == 0)
        return "the send and snapshot windows have to be at least one byte";
    if (settings.max_pending_changes == 0) return "at least one pending change has to be allowed";
    return {};
}

}  // namespace

std::string check(const Relay::Settings& settings) {
    for (const auto check_part : {check_members, check_upstream, check_times, check_bounds}) {
        std::string problem = check_part(settings);
        if (!problem.empty()) return problem;
    }
    return {};
}

}  // namespace linnetlead::distribution
