#include "operators.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace linnetlead::gateway {

namespace {

net::RegistryClient::Settings read_registry(const operators::Value& document, const std::string& path) {
    net::RegistryClient::Settings settings;
    const operators::Value* list = document.find("registries");
    if (!list || list->items.empty()) return settings;
    const operators::Value& from = list->items.front();
    const auto wrong = [&path](const operators::Value& value, const std::string& what) {
        return std::runtime_error(operators::Problem{path, value.at, what}.line());
    };
    settings.kind = from.find("kind")->text;
    for (const operators::Value& one : from.find("endpoints")->items) {
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
        settings.source.wait = std::clamp<core::Span>(operators::time_of(*wait), std::chrono::seconds(1),
                                                      std::chrono::minutes(5));
    }
    if (const auto* path_of = from.find("snapshot")) settings.snapshot = path_of->text;
    if (const auto* age = from.find("snapshot_age")) settings.snapshot_age = operators::time_of(*age);
    if (const auto* stale = from.find("stale")) settings.source.stale = stale->truth;
    if (const auto* hold = from.find("hold")) settings.roster.hold = operators::time_of(*hold);
    if (const auto* gone = from.find("most_gone")) settings.roster.most_gone = operators::share_of(*gone);
    return settings;
}

}  // namespace

OperatorSettings read_operators(const std::string& path, const settings::Site* site) {
    const operators::Result document = operators::read_file(path);
    if (const auto* problem = std::get_if<operators::Problem>(&document)) {
        throw std::runtime_error(problem->line());
    }
    auto routing = routing::read_routing(std::get<operators::Value>(document), path, site);
    if (const auto* problem = std::get_if<operators::Problem>(&routing)) {
        throw std::runtime_error(problem->line());
    }
    auto book = plans::read_book(std::get<operators::Value>(document), path, site);
    if (const auto* problem = std::get_if<operators::Problem>(&book)) {
        throw std::runtime_error(problem->line());
    }
    return {std::get<routing::RoutingSettings>(std::move(routing)),
            std::get<std::shared_ptr<const plans::PlanBook>>(std::move(book)),
            plans::read_usage(std::get<operators::Value>(document)),
            read_registry(std::get<operators::Value>(document), path)};
}

// A file being read on a thread of libuv's. It outlives its owner, should that go first.
struct Operators::Reading {
    uv_work_t work{};
    Operators* owner = nullptr;
    std::string path;
    settings::Site site;
    OperatorSettings settings;
    std::string problem;
};

Operators::Operators(std::string path, const Config& config, net::Loop& loop, core::Gateway& gateway,
                     core::Lists& lists, core::Counter& counter)
    : path_(std::move(path)),
      name_(config.name),
      site_(config.site),
      timers_(loop),
      gateway_(gateway),
      log_(config.name),
      peers_(loop, [this](std::string_view text) { router_.heard(timers_.now(), text); }),
      router_(
          config.site.settings, config.seed,
          {[&counter](const std::string& name, double amount, core::Span life) {
               counter.add(name, amount, life);
           },
           [this](const routing::Event& event) { log_.write(event.at, "move", fields_of(event)); },
           [this](const std::string& text) { peers_.tell(text); },
           [this](std::vector<topazcrank::ServerEntry> entries) { gateway_.marked(std::move(entries)); }}) {
    const OperatorSettings settings = read_operators(path_, &site_);
    router_.configure(timers_.now(), settings.routing);
    if (settings.wants_accounts()) {
        usage_ = std::make_unique<Usage>(config.name, config.seed, site_, settings.usage, loop, gateway,
                                         counter, log_);
        usage_->take_book(settings.book);
    }
    if (!settings.registry.kind.empty()) {
        registry_ =
            std::make_unique<net::RegistryClient>(loop, lists, registry_of(settings), config.seed,
                                                  [this](const std::string& event, const std::string& what) {
                                                      log_.write(timers_.now(), event, {{"what", what}});
                                                  });
    }
    if (site_.may_tell_peers && !config.peer_listen.empty()) open_peers(config);
    gateway_.attach(&router_);
    if (registry_) registry_->start();
    tick();
}

// One file serves all gateways, and each has a snapshot of its own.
net::RegistryClient::Settings Operators::registry_of(const OperatorSettings& settings) const {
    net::RegistryClient::Settings own = settings.registry;
    constexpr std::string_view name = "{gateway}";
    if (const auto at = own.snapshot.find(name); at != std::string::npos) {
        own.snapshot.replace(at, name.size(), name_);
    }
    return own;
}

// Without them a halt takes a second or two longer.
void Operators::open_peers(const Config& config) {
    const auto read = [](const std::string& text) {
        sockaddr_storage address{};
        if (!net::read_address(text, address)) throw std::runtime_error("peers: no address: '" + text + "'");
        return address;
    };
    std::vector<sockaddr_storage> addresses;
    for (const std::string& peer : config.peers) {
        if (peer != config.peer_listen) addresses.push_back(read(peer));
    }
    const sockaddr_storage all = config.peers_all.empty() ? sockaddr_storage{} : read(config.peers_all);
    peers_.peers(std::move(addresses), config.peers_all.empty() ? nullptr : &all);
    if (const int error = peers_.listen(read(config.peer_listen)); error < 0) {
        throw std::runtime_error("cannot listen on " + config.peer_listen + ": " + uv_strerror(error));
    }
}

Operators::~Operators() { close(); }

void Operators::close() {
    timers_.disarm(std::exchange(timer_, {}));
    gateway_.attach(static_cast<core::Routes*>(nullptr));
    if (reading_) std::exchange(reading_, nullptr)->owner = nullptr;
    if (usage_) usage_->close();
    if (registry_) registry_->close();
    peers_.close();
}

void Operators::tick() {
    router_.tick(timers_.now());
    timer_ = timers_.arm(timers_.now() + tick_every, [this] { tick(); });
}

void Operators::reload() {
    if (reading_) {
        read_again_ = true;
    } else {
        read_beside();
    }
}

void Operators::read_beside() {
    read_again_ = false;
    auto* reading = reading_ = new Reading;
    reading->work.data = reading;
    reading->owner = this;
    reading->path = path_;
    reading->site = site_;
    const auto read = [](uv_work_t* work) {
        auto& self = *static_cast<Reading*>(work->data);
        try {
            self.settings = read_operators(self.path, &self.site);
        } catch (const std::exception& e) {
            self.problem = e.what();
        }
    };
    const auto take = [](uv_work_t* work, int) {
        const std::unique_ptr<Reading> self(static_cast<Reading*>(work->data));
        Operators* const owner = self->owner;
        if (!owner) return;
        owner->reading_ = nullptr;
        if (self->problem.empty()) {
            owner->take(self->settings);
        } else {
            owner->log_.write(owner->timers_.now(), "operators",
                              {{"file", owner->path_}, {"taken", false}, {"problem", self->problem}});
        }
        if (owner->read_again_) owner->read_beside();
    };
    uv_queue_work(timers_.uv(), &reading->work, read, take);
}

void Operators::take(const OperatorSettings& settings) {
    const core::Time now = timers_.now();
    router_.configure(now, settings.routing);
    if (usage_) usage_->take_book(settings.book);
    const bool needs_restart = !usage_ && settings.wants_accounts();
    nlohmann::json fields{{"file", path_}, {"taken", true}};
    if (registry_ && !settings.registry.kind.empty()) registry_->change(registry_of(settings));
    if (registry_.operator bool() == settings.registry.kind.empty()) {
        fields["problem"] = "a registry is switched on and off by a restart";
    }
    if (needs_restart) fields["problem"] = "plans and use are switched on by a restart";
    log_.write(now, "operators", std::move(fields));
}

void Operators::tell_state() {
    nlohmann::json state{{"open_calls", gateway_.open_calls()},
                         {"accounts", gateway_.crowd().accounts()},
                         {"turned_away_in_a_crowd", gateway_.crowd().turned_away()}};
    if (usage_) state["usage"] = usage_->state();
    if (registry_) {
        const net::RegistryClient::State one = registry_->state();
        state["registry"] = {{"endpoint", one.endpoint},
                             {"watching", one.watching},
                             {"workers", one.workers},
                             {"held", one.held},
                             {"failures", one.failures},
                             {"wholes", one.wholes},
                             {"changes", one.changes},
                             {"resets", one.resets},
                             {"compactions", one.compactions},
                             {"bad_values", one.bad_values},
                             {"longest_slice_ms", one.longest_slice_ms}};
    }
    if (const routing::Move* move = router_.move()) state["move"] = fields_of(*move, timers_.now());
    log_.write(timers_.now(), "state", std::move(state));
}

}  // namespace linnetlead::gateway
