#include "operators.h"

#include <cstdio>
#include <stdexcept>
#include <utility>

namespace linnetlead::gateway {

routing::RoutingSettings read_operators(const std::string& path, const settings::Site* site) {
    const operators::Result document = operators::read_file(path);
    if (const auto* problem = std::get_if<operators::Problem>(&document)) {
        throw std::runtime_error(problem->line());
    }
    auto routing = routing::read_routing(std::get<operators::Value>(document), path, site);
    if (const auto* problem = std::get_if<operators::Problem>(&routing)) {
        throw std::runtime_error(problem->line());
    }
    return std::get<routing::RoutingSettings>(std::move(routing));
}

Operators::Operators(std::string path, const Config& config, core::Timers& timers, core::Gateway& gateway,
                     core::Counter& counter)
    : path_(std::move(path)),
      site_(config.site),
      timers_(timers),
      gateway_(gateway),
      log_(config.name),
      router_(
          config.site.settings, config.seed,
          {[&counter](const std::string& name, double amount, core::Span life) {
               counter.add(name, amount, life);
           },
           [this](const routing::Event& event) { log_.write(event.at, "move", fields_of(event)); },
           [this](std::vector<topazcrank::ServerEntry> entries) { gateway_.marked(std::move(entries)); }}) {
    router_.configure(timers_.now(), read_operators(path_, &site_));
    gateway_.attach(&router_);
    tick();
}

Operators::~Operators() {
    timers_.disarm(timer_);
    gateway_.attach(nullptr);
}

void Operators::tick() {
    router_.tick(timers_.now());
    timer_ = timers_.arm(timers_.now() + tick_every, [this] { tick(); });
}

void Operators::reload() {
    try {
        router_.configure(timers_.now(), read_operators(path_, &site_));
        log_.write(timers_.now(), "operators", {{"file", path_}, {"taken", true}});
    } catch (const std::runtime_error& e) {
        log_.write(timers_.now(), "operators", {{"file", path_}, {"taken", false}, {"problem", e.what()}});
    }
}

void Operators::tell_state() {
    nlohmann::json state{{"open_calls", gateway_.open_calls()}};
    if (const routing::Move* move = router_.move()) state["move"] = fields_of(*move, timers_.now());
    log_.write(timers_.now(), "state", std::move(state));
}

}  // namespace linnetlead::gateway
