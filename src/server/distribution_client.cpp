#include "server/distribution_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "metering/plan_schedule_reader.h"
#include "server/sync_points.h"

namespace linnetlead::server {

using distribution::Change;
using distribution::Edit;
using distribution::LogIndex;
using nlohmann::json;
using operator_config::Resources;
using proxy::Duration;
using proxy::Timestamp;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kSealedAs = "linnetlead-distribution 1";

std::string_view kind_of(std::string_view key) { return key.substr(0, key.find('/')); }
std::string_view name_in(std::string_view key) { return key.substr(key.find('/') + 1); }

// {"pool":NAME}
std::optional<std::string> pool_in(std::string_view value) {
    const json from = json::parse(value, nullptr, false);
    if (!from.is_object() || !from.contains("pool") || !from["pool"].is_string()) return std::nullopt;
    return from["pool"].get<std::string>();
}

}  // namespace

bool is_few(std::string_view key) {
    const std::string_view kind = kind_of(key);
    return kind == "pool" || kind == "plan" || kind == "move" || kind == "reserve" || kind == "capacity";
}

std::variant<Distributed, std::string> read_few(const Resources& few, const config::Site* site) {
    const operator_config::Result document = operator_config::document_of(few);
    if (const auto* problem = std::get_if<operator_config::Problem>(&document)) {
        return problem->file + ": " + problem->what;
    }
    const auto& value = std::get<operator_config::Value>(document);
    auto routing = traffic::read_routing(value, "distributed", site);
    if (const auto* problem = std::get_if<operator_config::Problem>(&routing)) return problem->what;
    auto book = metering::read_plan_schedule(value, "distributed", site);
    if (const auto* problem = std::get_if<operator_config::Problem>(&book)) return problem->what;
    return Distributed{std::get<traffic::RoutingSettings>(std::move(routing)),
                       std::get<std::shared_ptr<const metering::PlanSchedule>>(std::move(book))};
}

std::string readable(const Edit& edit) {
    if (kind_of(edit.key) == "tenant") {
        if (!metering::account_of_key(edit.key))
            return "a tenant's key is tenant/ and 16 hex digits below 2^33";
        if (!edit.value) return {};
        const auto terms = metering::decode_tenant_terms(*edit.value);
        return terms ? "" : terms.error().message;
    }
    return edit.value ? operator_config::check_resource(edit.key, *edit.value) : "";
}

// A state being written on a thread of libuv's. It outlives its owner, should that go first.
struct DistributionClient::Saving {
    uv_work_t work{};
    DistributionClient* owner = nullptr;
    std::function<Status()> write;
    Status result = fail(ErrorCode::kIo, "");  // until it is written
};

distribution::Follower::Callbacks DistributionClient::outside_of() {
    distribution::Follower::Callbacks outside;
    outside.connect = [this](int relay) {
        link_.connect(addresses_[static_cast<std::size_t>(relay)], kConnectWithin);
    };
    outside.disconnect = [this] { link_.hang_up(); };
    outside.send = [this](const distribution::Frame& frame) {
        reach_point();
        link_.send(frame);
    };
    outside.unsupported_edits = [this](const Change& change) {
        reach_point();
        return check(change);
    };
    outside.on_active = [this](LogIndex number, const std::vector<std::string>& keys, bool whole) {
        reach_point();
        in_force(number, keys, whole);
    };
    outside.on_fenced = [this](bool fenced) {
        reach_point();
        fenced_ = fenced;
        log_.write(loop_.now(), "distribution",
                   {{"what", fenced ? "fenced" : "in accord"}, {"revision", follower_.revision()}});
        narrow();
    };
    outside.on_event = [this](distribution::EventKind kind, const std::string& text) {
        reach_point();
        log_.write(loop_.now(), "distribution", {{"what", distribution::event_name(kind)}, {"text", text}});
    };
    return outside;
}

DistributionClient::DistributionClient(const FleetSettings& fleet, const Config& config, net::Loop& loop,
                                       Log& log, Outside outside)
    : site_(config.site),
      loop_(loop),
      log_(log),
      outside_(std::move(outside)),
      file_(path_of(fleet.snapshot, "{gateway}", config.name), std::string(kSealedAs)),
      link_(loop, {[this] {
                       follower_.on_connected(loop_.now());
                       arm();
                   },
                   [this] {
                       follower_.on_disconnected(loop_.now());
                       arm();
                   },
                   [this](const distribution::Frame& frame) {
                       reach_point();
                       follower_.on_frame(loop_.now(), frame);
                       arm();
                   }}),
      follower_(follower_of(fleet, config.name, config.site.settings.zone, config.seed, addresses_),
                outside_of()) {
    for (const auto& one : fleet.relays) names_.push_back(one.name);
    if (names_.empty()) names_ = addresses_;
    for (const auto& plan : site_.settings.plans) platform_plans_.insert(plan.name);
}

DistributionClient::~DistributionClient() { close(); }

void DistributionClient::start() {
    bool restored = false;
    if (file_.is_kept()) {
        const auto state = file_.load();
        restored = state && follower_.restore(loop_.now(), *state);
        if (state && !restored) file_.reject("it is damaged");
        if (!file_.problem().empty())
            log_.write(loop_.now(), "distribution", {{"what", "not restored"}, {"text", file_.problem()}});
    }
    if (!restored) in_force(0, {}, true);
    // Until the fleet has been heard, what was kept is as old as may be.
    fenced_ = true;
    narrow();
    tick();
}

void DistributionClient::close() {
    loop_.disarm(std::exchange(timer_, {}));
    link_.close();
    if (saving_) std::exchange(saving_, nullptr)->owner = nullptr;
}

// ---- What is in force -----------------------------------------------------------------------------------

void DistributionClient::read_few_anew() {
    few_.clear();
    follower_.store().for_each("", [this](std::string_view key, std::string_view value) {
        if (is_few(key)) few_.emplace(key, value);
    });
    few_in_force_ = follower_.activation_index();
    few_revision_ = follower_.revision();
}

void DistributionClient::in_force(LogIndex number, const std::vector<std::string>& keys, bool whole) {
    const distribution::ResourceStore& store = follower_.store();
    bool few = whole;
    if (whole) read_few_anew();
    for (const std::string& key : keys) {
        if (!is_few(key)) continue;
        few = true;
        const auto value = store.find(key);
        value ? static_cast<void>(few_[key] = *value) : static_cast<void>(few_.erase(key));
    }
    few_in_force_ = follower_.activation_index();
    few_revision_ = follower_.revision();
    if (!follower_.has_pending()) few_ahead_.clear();
    if (few) {
        const Timestamp begun = loop_.now();
        rebuild();
        log_.write(begun, "distribution",
                   {{"what", "settings"},
                    {"revision", number},
                    {"keys", few_.size()},
                    {"stall_us", (loop_.now() - begun) / 1us}});
    }
    narrow();
}

void DistributionClient::rebuild() {
    Resources good;
    for (const auto& [key, value] : few_) {
        if (!any_unsure_ || !follower_.fenced(key)) good.emplace(key, value);
    }
    auto made = read_few(good, &site_);
    const auto* problem = std::get_if<std::string>(&made);
    few_unsure_ = problem != nullptr;
    if (problem) {
        // The settings before stand, narrowed.
        log_.write(loop_.now(), "distribution", {{"what", "not taken"}, {"text", *problem}});
    } else {
        outside_.settings(std::get<Distributed>(std::move(made)));
    }
}

operator_config::Resources DistributionClient::next_few() const {
    Resources next = few_;
    for (const std::string& key : few_ahead_) {
        const auto pending = follower_.pending(key);
        if (!pending) continue;
        *pending ? static_cast<void>(next[key] = **pending) : static_cast<void>(next.erase(key));
    }
    return next;
}

void DistributionClient::narrow() {
    narrow_again_ = false;
    Narrowed made;
    made.all = fenced_;
    made.routing = made.reserves = few_unsure_;
    if (any_unsure_) {
        for (const auto& [key, value] : few_) {
            if (!follower_.fenced(key)) continue;
            const std::string_view kind = kind_of(key);
            made.routing = made.routing || kind == "pool" || kind == "move";
            made.reserves = made.reserves || kind == "reserve" || kind == "capacity";
        }
    }
    if (made.all && !few_ahead_.empty()) {
        auto next = read_few(next_few(), &site_);
        if (auto* good = std::get_if<Distributed>(&next)) made.next = std::move(good->book);
    }
    outside_.narrowed(made);
}

metering::TermSource::Lookup DistributionClient::lookup(metering::AccountId account, Timestamp now) const {
    const std::string key = metering::tenant_key(account);
    Lookup found;
    found.restricted = follower_.fenced(now);
    if (const auto value = follower_.store().find(key)) found.plan = metering::plan_at(*value, now);
    if (any_unsure_) {
        found.uncertain = follower_.fenced(key) || (found.plan && follower_.fenced("plan/" + *found.plan));
    }
    if (!found.restricted && !fenced_) return found;
    const auto pending = follower_.pending(key);
    found.next = !pending ? found.plan : *pending ? metering::plan_at(**pending, now) : std::nullopt;
    return found;
}

std::optional<std::string> DistributionClient::route(std::string_view name) const {
    const std::string key = "route/" + std::string(name);
    const auto value = follower_.store().find(key);
    if (!value || (any_unsure_ && follower_.fenced(key))) return std::nullopt;
    return pool_in(*value);
}

// Which of these edits this gateway could not act on. Behind a snapshot all that is in force then is asked
// for in slices, before in_force() says so: then each is judged beside the state that it is of.
std::vector<std::size_t> DistributionClient::check(const Change& change) {
    if (few_in_force_ != follower_.activation_index() || few_revision_ != follower_.revision())
        read_few_anew();
    std::vector<std::size_t> cannot, few;
    Resources next = next_few();
    for (auto at = next.begin(); at != next.end();) {
        at = follower_.fenced(at->first) ? next.erase(at) : std::next(at);
    }
    const Resources before = next;
    for (std::size_t i = 0; i < change.edits.size(); ++i) {
        const Edit& edit = change.edits[i];
        if (!is_few(edit.key)) continue;
        few_ahead_.insert(edit.key);
        if (!readable(edit).empty()) {
            cannot.push_back(i);
            next.erase(edit.key);
            continue;
        }
        few.push_back(i);
        edit.value ? static_cast<void>(next[edit.key] = *edit.value)
                   : static_cast<void>(next.erase(edit.key));
    }
    const auto fits = [this](const Resources& all) {
        return std::holds_alternative<Distributed>(read_few(all, &site_));
    };
    if (!few.empty() && !fits(next) && (next == before || fits(before))) {
        cannot.insert(cannot.end(), few.begin(), few.end());
    }
    const auto knows_plan = [&](const std::string& plan) {
        return platform_plans_.count(plan) > 0 || next.count("plan/" + plan) > 0;
    };
    std::unordered_set<std::string> good;  // many tenants have the same terms
    for (std::size_t i = 0; i < change.edits.size(); ++i) {
        const Edit& edit = change.edits[i];
        if (is_few(edit.key) || !edit.value || good.count(*edit.value) > 0) continue;
        bool can = readable(edit).empty();
        if (can && kind_of(edit.key) == "tenant") {
            const auto terms = metering::decode_tenant_terms(*edit.value);
            for (const auto& term : *terms) {
                can = can && knows_plan(term.plan);
            }
            if (can) good.insert(*edit.value);
        } else if (can && kind_of(edit.key) == "route") {
            const std::string name(name_in(edit.key));
            const bool is_class =
                std::any_of(site_.settings.classes.begin(), site_.settings.classes.end(),
                            [&](const auto& traffic_class) { return traffic_class.name == name; });
            const auto pool = pool_in(*edit.value);
            can = pool && next.count("pool/" + *pool) > 0 && (is_class || metering::read_account(name));
        }
        if (!can) cannot.push_back(i);
    }
    std::sort(cannot.begin(), cannot.end());
    if (!cannot.empty()) {
        any_unsure_ = true;
        log_.write(
            loop_.now(), "distribution",
            {{"what", "cannot act on"}, {"text", change.edits[cannot.front()].key}, {"keys", cannot.size()}});
    }
    narrow_again_ = true;
    return cannot;
}

// ---- Time -----------------------------------------------------------------------------------------------

// A settled instant is met when it comes, not at the next tick behind it.
void DistributionClient::arm() {
    const auto wake = follower_.wake_at();
    if (!wake || wake == asked_wake_) return;
    asked_wake_ = wake;
    loop_.disarm(timer_);
    const Timestamp now = loop_.now();
    timer_ = loop_.arm(std::min(now + kTickEvery, std::max(*wake, now)), [this] { tick(); });
}

void DistributionClient::tick() {
    const Timestamp now = loop_.now();
    follower_.tick(now);
    if (narrow_again_ && fenced_) narrow();
    save();
    asked_wake_.reset();
    Timestamp next = now + kTickEvery;
    if (const auto wake = follower_.wake_at(); wake && *wake > now) next = std::min(next, *wake);
    timer_ = loop_.arm(next, [this] { tick(); });
}

void DistributionClient::save() {
    const Timestamp now = loop_.now();
    if (!file_.is_kept() || saving_) return;
    if (!gathering_) {
        const std::pair held(follower_.last_index(), follower_.activation_index());
        if (held == saved_ || now < save_at_) return;
        saved_ = held;
        gathering_.emplace();
        gathered_.clear();
        gathering_since_ = now;
    }
    if (follower_.save_part(*gathering_, gathered_)) return;
    gathering_.reset();
    saving_ = new Saving;
    saving_->work.data = saving_;
    saving_->owner = this;
    saving_->write = file_.writer(std::exchange(gathered_, {}));
    save_at_ = now + std::max<Duration>(kShortestRest, kRests * (now - gathering_since_));
    reach_point();
    uv_queue_work(
        loop_.uv(), &saving_->work,
        [](uv_work_t* work) {
            auto& self = *static_cast<Saving*>(work->data);
            self.result = self.write();
        },
        [](uv_work_t* work, int) {
            const std::unique_ptr<Saving> self(static_cast<Saving*>(work->data));
            if (!self->owner) return;
            self->owner->saving_ = nullptr;
            reach_point();
            self->owner->file_.written(self->result);
            if (self->result) return;
            self->owner->saved_ = {};  // tried again
            self->owner->log_.write(self->owner->loop_.now(), "distribution",
                                    {{"what", "not saved"}, {"text", self->result.error().message}});
        });
}

// ---- For staff ------------------------------------------------------------------------------------------

json DistributionClient::state() const {
    const Timestamp now = loop_.now();
    json state{{"position", follower_.last_index()},
               {"revision", follower_.revision()},
               {"fenced", follower_.fenced(now)},
               {"pending", follower_.has_pending()},
               {"keys", follower_.store().size()},
               {"bytes", follower_.store().bytes()},
               {"reconnects", follower_.connection_attempts()},
               {"snapshots", follower_.snapshots()},
               {"longest_contradiction_ms", follower_.max_divergence() / 1ms}};
    if (!file_.problem().empty()) state["state_not_restored"] = file_.problem();
    if (const auto since = follower_.active_since()) state["since_ms"] = *since / 1ms;
    const auto relay = follower_.connected_relay();
    state["relay"] = relay ? json(names_[static_cast<std::size_t>(*relay)]) : json();
    return state;
}

}  // namespace linnetlead::server
