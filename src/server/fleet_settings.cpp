#include "server/fleet_settings.h"

#include <algorithm>
#include <stdexcept>

#include "net/loop.h"

namespace linnetlead::server {

using operator_config::Value;
using proxy::Duration;
using namespace std::chrono_literals;

namespace {

std::runtime_error wrong(const std::string& path, const Value& at, const std::string& what) {
    return std::runtime_error(operator_config::Problem{path, at.at, what}.line());
}

std::string text(const Value& from, const char* name) {
    const Value* value = from.find(name);
    return value ? value->text : "";
}

void check_address(const std::string& path, const Value& value) {
    sockaddr_storage address{};
    if (!net::read_address(value.text, address)) throw wrong(path, value, "no address: '" + value.text + "'");
}

void read_relays(const Value& list, const std::string& path, FleetSettings& made) {
    for (const Value& from : list.items) {
        FleetSettings::Place one{text(from, "name"),    text(from, "region"), text(from, "zone"),
                                 text(from, "address"), text(from, "listen"), false};
        for (const auto& other : made.relays) {
            if (other.name == one.name)
                throw wrong(path, from, "there is a relay '" + one.name + "' already");
            if (other.address == one.address)
                throw wrong(path, from, "the relay '" + other.name + "' has this address");
            if (other.zone == one.zone && other.region != one.region) {
                throw wrong(path, from,
                            "the zone '" + one.zone + "' is in the region '" + other.region + "'");
            }
        }
        check_address(path, *from.find("address"));
        if (const Value* listen = from.find("listen")) check_address(path, *listen);
        if (one.listen.empty()) one.listen = one.address;
        if (const Value* votes = from.find("votes")) one.votes = votes->truth;
        made.relays.push_back(std::move(one));
    }
    if (!list.items.empty()) {
        if (const std::string problem = distribution::check(relay_of(made, 0, 0)); !problem.empty()) {
            throw wrong(path, list.items.front(), problem);
        }
    }
}

void read_distribution(const Value& from, const Value& document, const std::string& path,
                       FleetSettings& made) {
    made.wanted = true;
    made.region = text(from, "region");
    made.zone = text(from, "zone");
    made.snapshot = text(from, "snapshot");
    made.directory = text(from, "directory");
    const auto time = [&](const char* name, Duration& into, Duration least, Duration most) {
        const Value* value = from.find(name);
        if (!value) return;
        into = operator_config::time_of(*value);
        if (into < least || into > most) {
            throw wrong(path, *value,
                        std::string("'") + name + "' lies between " + std::to_string(least / 1ms) +
                            " ms and " + std::to_string(most / 1ms) + " ms");
        }
    };
    time("lease", made.lease, 1s, 60s);
    time("skew", made.skew, 10ms, 10s);
    time("lead", made.lead, 50ms, 60s);
    time("patience", made.patience, 100ms, 60s);
    if (made.lead < made.skew) throw wrong(path, from, "'lead' must not lie below 'skew'");
    if (const Value* all = from.find("wait_for_all")) made.wait_for_all = all->truth;
    if (const Value* most = from.find("most_cannot")) made.max_cannot = operator_config::share_of(*most);
    if (const Value* usual = from.find("usual_followers"))
        made.usual_followers = static_cast<std::size_t>(usual->number);
    if (const Value* relays = from.find("relays")) {
        if (!made.relays.empty()) throw wrong(path, *relays, "the relays are named by relay() already");
        for (const Value& one : relays->items) {
            check_address(path, one);
            made.addresses.push_back(one.text);
        }
    }
    if (made.relays.empty() && made.addresses.empty()) {
        throw wrong(path, from, "distribution() wants relays: relay(...) or relays = [...]");
    }
    // Each would be another word on the same matter.
    for (const char* name : {"accords", "pools", "plans", "accounts", "account_lists", "reserves",
                             "capacities", "routes", "moves"}) {
        const Value* list = document.find(name);
        if (!list || list->items.empty()) continue;
        throw wrong(path, list->items.front(),
                    list->items.front().declares + "() beside distribution(): " +
                        (std::string(name) == "accords"
                             ? "what a tier agrees on comes either way, not both"
                             : "this comes from the relays; give it by 'linnetlead change apply'"));
    }
}

}  // namespace

std::string path_of(std::string path, std::string_view place, const std::string& name) {
    if (const auto at = path.find(place); at != std::string::npos) path.replace(at, place.size(), name);
    return path;
}

FleetSettings read_fleet(const Value& document, const std::string& path) {
    FleetSettings made;
    if (const Value* relays = document.find("relays")) read_relays(*relays, path, made);
    const Value* list = document.find("distributions");
    if (list && !list->items.empty()) read_distribution(list->items.front(), document, path, made);
    return made;
}

distribution::Relay::Settings relay_of(const FleetSettings& fleet, int self, std::uint64_t seed) {
    distribution::Relay::Settings made;
    std::vector<std::string> regions;
    for (const auto& one : fleet.relays) {
        auto at = std::find(regions.begin(), regions.end(), one.region);
        if (at == regions.end()) at = regions.insert(regions.end(), one.region);
        made.members.push_back({one.name, static_cast<int>(at - regions.begin()), one.votes});
    }
    made.self = self;
    made.seed = seed;
    made.activation_lead = fleet.lead;
    made.acknowledgement_timeout = fleet.patience;
    made.wait_for_all = fleet.wait_for_all;
    made.max_unsupported_share = fleet.max_cannot;
    made.target_followers = fleet.usual_followers;
    distribution::Follower::Settings& above = made.follower;
    above.role = distribution::Role::kRelay;
    above.lease = fleet.lease;
    above.max_clock_skew = fleet.skew;
    above.seed = seed + 1;
    if (fleet.relays.empty()) return made;
    const auto& own = fleet.relays[static_cast<std::size_t>(self)];
    above.name = own.name;
    // The voters are equally near: in one's own region there may be one alone.
    for (std::size_t i = 0; i < fleet.relays.size(); ++i) {
        const auto& one = fleet.relays[i];
        if (!one.votes || static_cast<int>(i) == self) continue;
        one.region == own.region ? above.relays.insert(above.relays.begin(), static_cast<int>(i))
                                 : above.relays.insert(above.relays.end(), static_cast<int>(i));
    }
    const auto near = std::count_if(fleet.relays.begin(), fleet.relays.end(),
                                    [&](const auto& one) { return one.votes && one.region == own.region; });
    above.nearest_count = static_cast<std::size_t>(std::max<std::ptrdiff_t>(near, 1));
    return made;
}

distribution::Follower::Settings follower_of(const FleetSettings& fleet, const std::string& gateway,
                                             const std::string& zone, std::uint64_t seed,
                                             std::vector<std::string>& addresses) {
    distribution::Follower::Settings made;
    made.name = gateway;
    made.seed = seed;
    made.lease = fleet.lease;
    made.max_clock_skew = fleet.skew;
    addresses = fleet.addresses;
    const std::string own_zone = fleet.zone.empty() ? zone : fleet.zone;
    std::string region = fleet.region;
    for (const auto& one : fleet.relays) {
        addresses.push_back(one.address);
        if (region.empty() && one.zone == own_zone) region = one.region;
    }
    for (std::size_t i = 0; i < addresses.size(); ++i) made.relays.push_back(static_cast<int>(i));
    made.nearest_count = addresses.size();
    if (fleet.relays.empty()) return made;
    const auto distance = [&](int relay) {
        const auto& one = fleet.relays[static_cast<std::size_t>(relay)];
        return one.zone == own_zone ? 0 : one.region == region ? 1 : 2;
    };
    std::stable_sort(made.relays.begin(), made.relays.end(),
                     [&](int a, int b) { return distance(a) < distance(b); });
    made.nearest_count =
        static_cast<std::size_t>(std::count_if(made.relays.begin(), made.relays.end(), [&](int one) {
            return distance(one) == distance(made.relays.front());
        }));
    return made;
}

}  // namespace linnetlead::server
