#include "server/operator_service.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "metering/plan_schedule_reader.h"

namespace linnetlead::server {

namespace {

net::RegistryClient::Settings read_registry(const operator_config::Value& document, const std::string& path) {
    net::RegistryClient::Settings settings;
    const operator_config::Value* list = document.find("registries");
    if (!list || list->items.empty()) return settings;
    const operator_config::Value& from = list->items.front();
    const auto wrong = [&path](const operator_config::Value& value, const std::string& what) {
        return std::runtime_error(operator_config::Problem{path, value.at, what}.line());
    };
    settings.kind = from.find("kind")->text;
    for (const operator_config::Value& one : from.find("endpoints")->items) {
        sockaddr_storage address{};
        if (!net::read_address(one.text, address)) throw wrong(one, "no address: '" + one.text + "'");
        settings.endpoints.push_back(one.text);
    }
    settings.source.prefix = from.find("prefix")->text;
    for (const char c : settings.source.prefix) {
        // It stands in a request's line.
        if (c <= ' ' || c > '~' || c == '?' || c == '#' || c == '%') {
            throw wrong(*from.find("prefix"), "'prefix' holds a character that keys here cannot have");
        }
    }
    if (const auto* file = from.find("token_file")) {
        std::ifstream in(file->text);
        if (!std::getline(in, settings.token))
            throw wrong(*file, "the file '" + file->text + "' cannot be read");
    }
    if (const auto* wait = from.find("wait")) {
        settings.source.wait = std::clamp<proxy::Duration>(operator_config::time_of(*wait),
                                                           std::chrono::seconds(1), std::chrono::minutes(5));
    }
    if (const auto* path_of = from.find("snapshot")) settings.snapshot = path_of->text;
    if (const auto* age = from.find("snapshot_age")) settings.snapshot_age = operator_config::time_of(*age);
    if (const auto* stale = from.find("stale")) settings.source.stale = stale->truth;
    if (const auto* hold = from.find("hold")) settings.endpoint_set.hold = operator_config::time_of(*hold);
    if (const auto* gone = from.find("most_gone"))
        settings.endpoint_set.max_gone = operator_config::share_of(*gone);
    return settings;
}

}  // namespace

namespace {

AgreementServiceSettings read_agreement(const operator_config::Value& document, const std::string& path) {
    AgreementServiceSettings settings;
    const operator_config::Value* list = document.find("accords");
    const operator_config::Value* health = document.find("healths");
    const bool shared = health && !health->items.empty();
    if (!list || list->items.empty()) {
        if (!shared) return settings;
        throw std::runtime_error(operator_config::Problem{path, health->items.front().at,
                                                          "health() stands on accord(), which is missing"}
                                     .line());
    }
    const operator_config::Value& from = list->items.front();
    settings.wanted = true;
    settings.version = static_cast<std::uint64_t>(from.find("version")->number);
    if (const auto* file = from.find("snapshot")) settings.snapshot = file->text;
    if (const auto* lease = from.find("lease")) {
        settings.lease = std::clamp<proxy::Duration>(operator_config::time_of(*lease),
                                                     std::chrono::seconds(1), std::chrono::minutes(1));
    }
    if (const auto* life = from.find("tombstones")) {
        settings.tombstones = std::max<proxy::Duration>(operator_config::time_of(*life), 10 * settings.lease);
    }
    const operator_config::Value* forms = document.find("form_settings");
    if (forms && !forms->items.empty()) {
        settings.with_statements = true;
        const operator_config::Value& of = forms->items.front();
        if (const auto* pace = of.find("pace"))
            settings.statement_settings.prepares_per_s = pace->find("value")->number;
        if (const auto* most = of.find("at_once"))
            settings.statement_settings.max_concurrent_prepares = static_cast<int>(most->number);
        if (const auto* wait = of.find("wait"))
            settings.statement_settings.max_wait = operator_config::time_of(*wait);
    }
    if (const operator_config::Value* schemas = document.find("schemas")) {
        for (const operator_config::Value& one : schemas->items) {
            const auto version = static_cast<std::uint64_t>(one.find("version")->number);
            if (!settings.schemas.emplace(one.find("name")->text, version).second) {
                throw std::runtime_error(operator_config::Problem{
                    path, one.at, "the schema '" + one.find("name")->text + "' is there twice"}
                                             .line());
            }
        }
    }
    if (!shared) return settings;
    settings.with_health = true;
    const operator_config::Value& of = health->items.front();
    health::SharedHealth::Settings& made = settings.health_settings;
    if (const auto* truth = of.find("shared")) made.shared = truth->truth;
    if (const auto* most = of.find("most_degraded"))
        made.max_degraded_share = operator_config::share_of(*most);
    if (const auto* ramp = of.find("ramp")) made.probation_ramp = operator_config::time_of(*ramp);
    if (const auto* dwell = of.find("dwell")) made.thresholds.min_bad = operator_config::time_of(*dwell);
    if (const auto* slower = of.find("slower")) made.thresholds.bad_slowness = slower->number;
    if (const auto* failing = of.find("failing"))
        made.thresholds.bad_failure_rate = operator_config::share_of(*failing);
    made.thresholds.good_slowness =
        std::min(made.thresholds.good_slowness, 1 + (made.thresholds.bad_slowness - 1) / 2);
    made.thresholds.good_failure_rate =
        std::min(made.thresholds.good_failure_rate, made.thresholds.bad_failure_rate / 2);
    return settings;
}

}  // namespace

OperatorSettings read_operators(const std::string& path, const config::Site* site) {
    std::string text;
    if (const auto problem = operator_config::read_text(path, text))
        throw std::runtime_error(problem->line());
    return read_operators(text, path, site);
}

OperatorSettings read_operators(const std::string& text, const std::string& path, const config::Site* site) {
    const operator_config::Result document = operator_config::read_document(text, path);
    if (const auto* problem = std::get_if<operator_config::Problem>(&document)) {
        throw std::runtime_error(problem->line());
    }
    auto routing = traffic::read_routing(std::get<operator_config::Value>(document), path, site);
    if (const auto* problem = std::get_if<operator_config::Problem>(&routing)) {
        throw std::runtime_error(problem->line());
    }
    auto book = metering::read_plan_schedule(std::get<operator_config::Value>(document), path, site);
    if (const auto* problem = std::get_if<operator_config::Problem>(&book)) {
        throw std::runtime_error(problem->line());
    }
    return {std::get<traffic::RoutingSettings>(std::move(routing)),
            std::get<std::shared_ptr<const metering::PlanSchedule>>(std::move(book)),
            metering::read_usage_settings(std::get<operator_config::Value>(document)),
            read_registry(std::get<operator_config::Value>(document), path),
            read_agreement(std::get<operator_config::Value>(document), path),
            read_fleet(std::get<operator_config::Value>(document), path)};
}

// A file being read on a thread of libuv's. It outlives its owner, should that go first.
struct OperatorService::Reading {
    uv_work_t work{};
    OperatorService* owner = nullptr;
    std::string path;
    config::Site site;
    std::string text;            // of the file, or of a proposal
    agreement::Version version;  // of a proposal; 0: it is the own file
    std::shared_ptr<OperatorSettings> settings;
    std::string problem;
};

OperatorService::OperatorService(std::string path, const Config& config, net::Loop& loop,
                                 proxy::RequestManager& gateway, admin::MaintenanceOverrides& lists,
                                 proxy::EndpointListPort& registry_lists, proxy::CounterPort& counter)
    : path_(std::move(path)),
      name_(config.name),
      site_(config.site),
      timers_(loop),
      gateway_(gateway),
      log_(config.name),
      peers_(loop,
             [this](int from, std::string_view text) {
                 // The accord's are CBOR arrays; a move's word to all is plain text.
                 const bool is_text = !text.empty() && (text.front() & 0x80) == 0;
                 if (is_text) return router_.heard(timers_.now(), text);
                 if (agreement_) agreement_->on_datagram(from, text);
             }),
      router_(config.site.settings, config.seed,
              {[&counter](const std::string& name, double amount, proxy::Duration life) {
                   counter.add(name, amount, life);
               },
               [this](const traffic::Event& event) { log_.write(event.at, "move", fields_of(event)); },
               [this](const std::string& text) { peers_.tell(text); },
               [this](std::vector<policy::EndpointInfo> entries) { gateway_.marked(std::move(entries)); },
               [this](proxy::Timestamp, const std::string& name, policy::CounterStatus status, double total) {
                   return agreement_ && agreement_->on_counter_answer(name, status, total);
               },
               [this](policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries) {
                   if (agreement_) agreement_->listed(kind, entries);
               },
               [this](proxy::Timestamp now, const proxy::EndpointId& endpoint, int traffic_class,
                      double units, policy::Outcome outcome, proxy::Duration latency) {
                   if (agreement_ && agreement_->health()) {
                       agreement_->health()->on_attempt_end(now, endpoint, traffic_class, units, outcome,
                                                            latency);
                   }
               }}) {
    std::string text;
    if (const auto problem = operator_config::read_text(path_, text))
        throw std::runtime_error(problem->line());
    const OperatorSettings settings = read_operators(text, path_, &site_);
    gateway_.attach(&router_);  // before the first plans of a schedule, which it has to hear of
    router_.configure(timers_.now(), settings.routing);
    if (settings.wants_accounts()) {
        usage_ = std::make_unique<UsageService>(config.name, config.seed, site_, settings.usage, loop,
                                                gateway, counter, log_);
        usage_->apply_schedule(settings.book);
    }
    if (!settings.registry.kind.empty()) {
        registry_ =
            std::make_unique<net::RegistryClient>(loop, registry_lists, registry_of(settings), config.seed,
                                                  [this](const std::string& event, const std::string& what) {
                                                      log_.write(timers_.now(), event, {{"what", what}});
                                                  });
    }
    const bool has_peers = site_.may_tell_peers && !config.peer_listen.empty() && open_peers(config);
    if (settings.agreement.wanted) {
        agreement_ = std::make_unique<AgreementService>(
            settings.agreement, config,
            AgreementService::Parts{loop, has_peers ? &peers_ : nullptr, gateway, counter, lists, log_},
            AgreementService::Callbacks{
                [this](agreement::Version version, const std::string& one) { check(version, one); },
                [this](agreement::Version version, const std::string& one) { in_force(version, one); },
                [this](bool fenced) { fence(fenced); },
                [this] { router_.set_aside(agreement_->health()->set_aside()); },
                [this] {
                    router_.set_apart(agreement_->statements()->unready(),
                                      statements::PreparedStatements::kUnreadyBit);
                }});
        lists.on_list(
            [this](policy::EndpointListKind kind, const std::vector<proxy::DiscoveredEndpoint>& entries) {
                agreement_->addresses(kind, entries);
            });
        // Until the tier has been heard, this gateway's own file is as old as may be.
        fence(agreement_->fenced());
        agreement_->start();  // what was kept goes before the file, which may be older
        const Status proposed = agreement_->propose(settings.agreement.version, text);
        if (!proposed) {
            log_.write(timers_.now(), "operators", {{"file", path_}, {"problem", proposed.error().message}});
        }
    }
    if (settings.fleet.wanted) {
        distribution_ = std::make_unique<DistributionClient>(
            settings.fleet, config, loop, log_,
            DistributionClient::Outside{
                [this](Distributed made) {
                    router_.configure(timers_.now(), std::move(made.routing));
                    usage_->apply_schedule(std::move(made.book));
                },
                [this](const DistributionClient::Narrowed& narrowed) { narrow(narrowed); }});
        usage_->use_term_source(distribution_.get());
        router_.look_up_in([this](std::string_view name) { return distribution_->route(name); });
        distribution_->start();
    }
    if (registry_) registry_->start();
    tick();
}

// One file serves all gateways, and each has a snapshot of its own.
net::RegistryClient::Settings OperatorService::registry_of(const OperatorSettings& settings) const {
    net::RegistryClient::Settings own = settings.registry;
    constexpr std::string_view kName = "{gateway}";
    if (const auto at = own.snapshot.find(kName); at != std::string::npos) {
        own.snapshot.replace(at, kName.size(), name_);
    }
    return own;
}

// Without them a halt takes a second or two longer.
bool OperatorService::open_peers(const Config& config) {
    const auto read = [](const std::string& text) {
        sockaddr_storage address{};
        if (!net::read_address(text, address)) throw std::runtime_error("peers: no address: '" + text + "'");
        return address;
    };
    std::vector<sockaddr_storage> addresses;
    for (const std::string& peer : config.peers) addresses.push_back(read(peer));
    const auto gateways = static_cast<std::size_t>(site_.settings.gateways);
    const auto self = static_cast<std::size_t>(site_.settings.self);
    const sockaddr_storage all = config.peers_all.empty() ? sockaddr_storage{} : read(config.peers_all);
    const bool all_known = addresses.size() == gateways && self < gateways;
    peers_.peers(std::move(addresses), self, config.peers_all.empty() ? nullptr : &all);
    if (const int error = peers_.listen(read(config.peer_listen)); error < 0) {
        throw std::runtime_error("cannot listen on " + config.peer_listen + ": " + uv_strerror(error));
    }
    return all_known;
}

OperatorService::~OperatorService() { close(); }

void OperatorService::close() {
    timers_.disarm(std::exchange(timer_, {}));
    gateway_.attach(static_cast<proxy::RoutingPort*>(nullptr));
    if (reading_) std::exchange(reading_, nullptr)->owner = nullptr;
    for (Reading* one : std::exchange(checking_, {})) one->owner = nullptr;
    if (agreement_) agreement_->close();
    if (distribution_) distribution_->close();
    if (usage_) usage_->close();
    if (registry_) registry_->close();
    peers_.close();
}

void OperatorService::tick() {
    router_.tick(timers_.now());
    timer_ = timers_.arm(timers_.now() + kTickEvery, [this] { tick(); });
}

void OperatorService::reload() {
    if (reading_) {
        read_again_ = true;
    } else {
        read_beside();
    }
}

void OperatorService::read_beside() {
    read_again_ = false;
    reading_ = new Reading;
    begin(reading_);
}

// Beside the loop, since a file may name long lists of accounts.
void OperatorService::begin(Reading* reading) {
    reading->work.data = reading;
    reading->owner = this;
    reading->path = path_;
    reading->site = site_;
    const auto read = [](uv_work_t* work) {
        auto& self = *static_cast<Reading*>(work->data);
        try {
            if (self.version.number == 0) {
                if (const auto problem = operator_config::read_text(self.path, self.text)) {
                    throw std::runtime_error(problem->line());
                }
            }
            self.settings =
                std::make_shared<OperatorSettings>(read_operators(self.text, self.path, &self.site));
        } catch (const std::exception& e) {
            self.problem = e.what();
        }
    };
    const auto take = [](uv_work_t* work, int) {
        const std::unique_ptr<Reading> self(static_cast<Reading*>(work->data));
        OperatorService* const owner = self->owner;
        if (!owner) return;
        if (self->version.number == 0) return owner->read_own(*self);
        owner->checking_.erase(self.get());
        const bool good = self->problem.empty() && self->settings->agreement.version == self->version.number;
        if (good) {
            owner->ready_.emplace_back(self->version.digest, self->settings);
            if (owner->ready_.size() > kMaxReady) owner->ready_.pop_front();
        } else {
            owner->log_.write(
                owner->timers_.now(), "operators",
                {{"version", self->version.number}, {"good", false}, {"problem", self->problem}});
        }
        owner->agreement_->set_check_result(self->version, good);
        if (owner->fenced_) owner->fence(true);  // there is another to be narrowed by
    };
    uv_queue_work(timers_.uv(), &reading->work, read, take);
}

void OperatorService::read_own(const Reading& reading) {
    reading_ = nullptr;
    std::string problem = reading.problem;
    if (problem.empty() && agreement_) {
        if (!reading.settings->agreement.wanted) {
            problem = "an accord is switched on and off by a restart";
        } else if (const Status proposed =
                       agreement_->propose(reading.settings->agreement.version, reading.text);
                   !proposed) {
            problem = proposed.error().message;
        }
        if (problem.empty()) {
            log_.write(timers_.now(), "operators",
                       {{"file", path_}, {"proposed", reading.settings->agreement.version}});
        }
    } else if (problem.empty()) {
        take(*reading.settings);
    }
    if (!problem.empty()) {
        log_.write(timers_.now(), "operators", {{"file", path_}, {"taken", false}, {"problem", problem}});
    }
    if (read_again_) read_beside();
}

void OperatorService::check(agreement::Version version, const std::string& text) {
    constexpr std::size_t kMaxChecks = 8;
    if (checking_.size() >= kMaxChecks) return agreement_->set_check_result(version, false);
    auto* reading = new Reading;
    reading->version = version;
    reading->text = text;
    checking_.insert(reading);
    begin(reading);
}

void OperatorService::in_force(agreement::Version version, const std::string& text) {
    in_force_ = version.digest;
    const auto ready = std::find_if(ready_.begin(), ready_.end(),
                                    [&](const auto& one) { return one.first == version.digest; });
    if (ready != ready_.end()) return take(*ready->second);
    // What a file kept from before.
    try {
        take(text.empty() ? read_operators(path_, &site_) : read_operators(text, path_, &site_));
    } catch (const std::exception& e) {
        log_.write(timers_.now(), "operators",
                   {{"version", version.number}, {"taken", false}, {"problem", e.what()}});
    }
}

// A fenced gateway acts on what the version in force and any that may have come to be allow alike.
void OperatorService::fence(bool fenced) {
    fenced_ = fenced;
    router_.fence(fenced);
    if (!usage_) return;
    const auto other =
        std::find_if(ready_.rbegin(), ready_.rend(), [&](const auto& one) { return one.first != in_force_; });
    usage_->restrict(fenced, other == ready_.rend() ? nullptr : other->second->book);
}

void OperatorService::narrow(const DistributionClient::Narrowed& narrowed) {
    router_.fence(narrowed.all || narrowed.routing);
    usage_->restrict(narrowed.all, narrowed.next);
    usage_->suspend_balances(narrowed.reserves);
}

std::string OperatorService::agreement_state() const {
    if (agreement_) return agreement_->state().dump();
    if (!distribution_) return "";
    nlohmann::json state{{"way", "relays"}, {"distribution", distribution_->state()}};
    state["fenced"] = state["distribution"]["fenced"];
    return state.dump();
}

std::size_t OperatorService::unusable_states() const {
    const bool of_agreement = agreement_ && !agreement_->state_problem().empty();
    const bool of_distribution = distribution_ && !distribution_->state_problem().empty();
    return (of_agreement ? 1 : 0) + (of_distribution ? 1 : 0);
}

void OperatorService::take(const OperatorSettings& settings) {
    const proxy::Timestamp now = timers_.now();
    if (!distribution_) {
        router_.configure(now, settings.routing);
        if (usage_) usage_->apply_schedule(settings.book);
    }
    if (agreement_) agreement_->schemas(settings.agreement.schemas);
    const bool needs_restart = !usage_ && settings.wants_accounts();
    nlohmann::json fields{{"file", path_}, {"taken", true}};
    if (registry_ && !settings.registry.kind.empty()) registry_->change(registry_of(settings));
    if (registry_.operator bool() == settings.registry.kind.empty()) {
        fields["problem"] = "a registry is switched on and off by a restart";
    }
    if ((distribution_ != nullptr) != settings.fleet.wanted) {
        fields["problem"] = "a distribution is switched on and off by a restart";
    }
    if (needs_restart) fields["problem"] = "plans and use are switched on by a restart";
    log_.write(now, "operators", std::move(fields));
}

void OperatorService::tell_state() {
    nlohmann::json state{{"open_calls", gateway_.open_calls()},
                         {"accounts", gateway_.crowd().accounts()},
                         {"turned_away_in_a_crowd", gateway_.crowd().turned_away()}};
    if (usage_) state["usage"] = usage_->state();
    if (agreement_) state["accord"] = agreement_->state();
    if (distribution_) state["distribution"] = distribution_->state();
    if (registry_) {
        const net::RegistryClient::State one = registry_->state();
        state["registry"] = {{"endpoint", one.endpoint},
                             {"watching", one.watching},
                             {"workers", one.endpoints},
                             {"held", one.held},
                             {"failures", one.failures},
                             {"wholes", one.wholes},
                             {"changes", one.changes},
                             {"resets", one.resets},
                             {"compactions", one.compactions},
                             {"bad_values", one.bad_values},
                             {"longest_slice_ms", one.longest_slice_ms}};
    }
    if (const traffic::CanaryRollout* move = router_.move()) state["move"] = fields_of(*move, timers_.now());
    log_.write(timers_.now(), "state", std::move(state));
}

}  // namespace linnetlead::server
