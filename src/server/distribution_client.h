// A gateway that follows the relays: its connection, its timers, what outlives a restart; and the state in
// force made into settings, a key at a time where there are many.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>

#include "cluster/distribution/follower.h"
#include "cluster/transport/frame_link.h"
#include "config/operator_config/resources.h"
#include "metering/plan_accounts.h"
#include "metering/tenant_terms.h"
#include "server/config.h"
#include "server/fleet_settings.h"
#include "server/log.h"
#include "storage/state_file.h"
#include "traffic/routing_settings.h"

namespace linnetlead::server {

// Settings made of the resources that are few: pools, plans, moves, reserves and the capacity. Tenants and
// routes are looked up one by one.
struct Distributed {
    traffic::RoutingSettings routing;
    std::shared_ptr<const metering::PlanSchedule> book;
};
bool is_few(std::string_view key);
// By the readers of a file, with all that they check; in words why not.
std::variant<Distributed, std::string> read_few(const operator_config::Resources& few,
                                                const config::Site* site);
// What is wrong with this value by itself, in words; empty: nothing. For relays, which know no platform.
std::string readable(const distribution::Edit& edit);

class DistributionClient final : public metering::TermSource {
public:
    // What holds while parts of it are not known.
    struct Narrowed {
        bool all = false;       // fenced: the lesser of what is in force and what may come to be
        bool routing = false;   // pools, moves or routes are not certain
        bool reserves = false;  // nor are these
        std::shared_ptr<const metering::PlanSchedule>
            next;  // with all that is known; none: as it is in force
    };
    struct Outside {
        std::function<void(Distributed settings)> settings;
        std::function<void(const Narrowed& narrowed)> narrowed;
    };
    DistributionClient(const FleetSettings& fleet, const Config& config, net::Loop& loop, Log& log,
                       Outside outside);
    ~DistributionClient() override;
    DistributionClient(const DistributionClient&) = delete;
    DistributionClient& operator=(const DistributionClient&) = delete;

    void start();
    void close();

    Lookup lookup(metering::AccountId account, proxy::Timestamp now) const override;
    // The pool that an account's or a class's calls go to first.
    std::optional<std::string> route(std::string_view name) const;
    bool fenced() const { return follower_.fenced(loop_.now()); }
    // For the second address and SIGUSR1.
    nlohmann::json state() const;
    // Why the state of an earlier process could not be used; empty: it could, or there was none.
    const std::string& state_problem() const { return file_.problem(); }

private:
    static constexpr proxy::Duration kTickEvery = std::chrono::milliseconds(40);
    static constexpr proxy::Duration kConnectWithin = std::chrono::milliseconds(2000);
    // A state is gathered a part a tick, so that no call waits for it, and rests so many times as long.
    static constexpr int kRests = 20;
    static constexpr proxy::Duration kShortestRest = std::chrono::milliseconds(500);
    struct Saving;
    distribution::Follower::Callbacks outside_of();
    std::vector<std::size_t> check(const distribution::Change& change);
    void in_force(distribution::LogIndex number, const std::vector<std::string>& keys, bool whole);
    void read_few_anew();
    operator_config::Resources next_few() const;
    void rebuild();
    void narrow();
    void tick();
    void arm();
    void save();

    config::Site site_;
    net::Loop& loop_;
    Log& log_;
    Outside outside_;
    std::vector<std::string> addresses_;  // of the relays, by number
    std::vector<std::string> names_;      // the same
    std::unordered_set<std::string> platform_plans_;
    storage::StateFile file_;
    transport::FrameLink link_;
    distribution::Follower follower_;
    operator_config::Resources few_;  // in force
    distribution::LogIndex few_in_force_ = 0, few_revision_ = 0;
    std::set<std::string> few_ahead_;  // keys of changes that are not in force yet
    bool any_unsure_ = false;          // some key's newest value could not be acted on, once at least
    bool few_unsure_ = false;          // all few resources together make no settings
    bool narrow_again_ = false, fenced_ = true;
    proxy::Handle timer_;
    std::optional<proxy::Timestamp> asked_wake_;
    Saving* saving_ = nullptr;
    std::optional<distribution::History::SaveCursor> gathering_;
    std::string gathered_;
    std::pair<distribution::LogIndex, distribution::LogIndex> saved_;  // position, and what is in force
    proxy::Timestamp gathering_since_{}, save_at_{};
};

}  // namespace linnetlead::server
