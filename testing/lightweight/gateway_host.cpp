#include "testing/lightweight/gateway_host.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "config/operator_config/document.h"
#include "testing/fake_server.h"
#include "testing/service_models.h"
#include "testing/site_settings.h"

namespace linnetlead::test_support {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr proxy::Duration kLetGoAfter = 1s;

}  // namespace

GatewayHost::GatewayHost(net::Loop& loop, const Settings& settings)
    : loop_(loop),
      settings_(settings),
      log_("hollow"),
      gateways_(static_cast<std::size_t>(settings.gateways)) {
    const auto role = [this](const std::string& address, const char* name) {
        sockaddr_storage at{};
        if (net::read_address(address, at))
            census_.role_of(ntohs(reinterpret_cast<const sockaddr_in&>(at).sin_port), name);
    };
    role(settings_.registry, "list");
    role(settings_.counter, "counter");
    if (!settings_.relays.empty()) read_relays();
    for (const auto& relay : fleet_.relays) role(relay.address, "distribution");
    for (std::size_t i = 0; i < gateways_.size(); ++i) make(i);
}

GatewayHost::~GatewayHost() = default;

void GatewayHost::read_relays() {
    std::string text;
    if (const auto problem = operator_config::read_text(settings_.relays, text))
        throw std::runtime_error(problem->line());
    const operator_config::Result document = operator_config::read_document(text, settings_.relays);
    if (const auto* problem = std::get_if<operator_config::Problem>(&document))
        throw std::runtime_error(problem->line());
    fleet_ = server::read_fleet(std::get<operator_config::Value>(document), settings_.relays);
    settings_.roles.fleet = &fleet_;
}

server::Config GatewayHost::config_of(int number) const {
    policy::Settings site = settings_of(Mix{}, settings_.of, number);
    site.list_is_polled = settings_.list_is_polled;
    site.zone = "zone-" + std::to_string(number % settings_.zones);
    const json config{{"name", "h" + std::to_string(number)},
                      {"discovery", settings_.registry},
                      {"counter", settings_.counter},
                      {"seed", std::to_string(settings_.seed + static_cast<std::uint64_t>(number))},
                      {"settings", settings_json(site, settings_.roles.agreement)}};
    return server::read_config(config.dump());
}

void GatewayHost::make(std::size_t place) {
    gateways_[place] = std::make_unique<LightweightGateway>(
        loop_, config_of(settings_.first + static_cast<int>(place)), settings_.roles, log_);
}

void GatewayHost::close() {
    for (auto& one : gateways_) one->close();
}

json GatewayHost::figures() {
    json state = census_.figures();
    LightweightGateway::Figures sum;
    int fenced = 0, min_present = settings_.of;
    std::size_t min_endpoints = ~std::size_t{0};
    std::map<std::uint64_t, int> in_force;
    int followers = 0, connected = 0, unsure = 0;
    std::uint64_t reconnects = 0, snapshots = 0, keys = 0, bytes = 0, min_revision = ~std::uint64_t{0};
    for (const auto& one : gateways_) {
        const LightweightGateway::Figures of = one->figures();
        sum.datagrams_sent += of.datagrams_sent;
        sum.datagram_bytes_sent += of.datagram_bytes_sent;
        sum.datagrams_heard += of.datagrams_heard;
        sum.datagram_bytes_heard += of.datagram_bytes_heard;
        sum.held_back += of.held_back;
        sum.counted += of.counted;
        sum.counted_well += of.counted_well;
        sum.lists += of.lists;
        sum.entries += of.entries;
        sum.probes += of.probes;
        min_endpoints = std::min(min_endpoints, of.endpoints);
        min_present = std::min(min_present, of.present);
        fenced += one->fenced() ? 1 : 0;
        ++in_force[one->in_force()];
        if (!one->distribution()) continue;
        const json of_relays = one->distribution()->state();
        ++followers;
        connected += of_relays.at("relay").is_null() ? 0 : 1;
        unsure += of_relays.at("fenced").get<bool>() ? 1 : 0;
        reconnects += of_relays.at("reconnects").get<std::uint64_t>();
        snapshots += of_relays.at("snapshots").get<std::uint64_t>();
        keys += of_relays.at("keys").get<std::uint64_t>();
        bytes += of_relays.at("bytes").get<std::uint64_t>();
        min_revision = std::min(min_revision, of_relays.at("revision").get<std::uint64_t>());
    }
    state["gateways"] = gateways_.size();
    state["restarts"] = restarts_;
    state["fenced"] = fenced;
    state["least_present"] = min_present;
    state["in_force"] = json::object();
    for (const auto& [version, count] : in_force) state["in_force"][std::to_string(version)] = count;
    state["accord"] = {{"sent", sum.datagrams_sent},
                       {"bytes_sent", sum.datagram_bytes_sent},
                       {"received", sum.datagrams_heard},
                       {"bytes_received", sum.datagram_bytes_heard},
                       {"held_back", sum.held_back}};
    state["counter"] = {{"answered", sum.counted_well}, {"failed", sum.counted}};
    state["list"] = {{"told", sum.lists},
                     {"entries", sum.entries},
                     {"probes", sum.probes},
                     {"least_workers", min_endpoints}};
    state["distribution"] = {{"followers", followers},   {"connected", connected},        {"fenced", unsure},
                             {"reconnects", reconnects}, {"snapshots", snapshots},        {"keys", keys},
                             {"bytes", bytes},           {"least_revision", min_revision}};
    return state;
}

json GatewayHost::carry(const std::string& line) {
    std::istringstream words(line);
    std::string what;
    words >> what;
    const auto gateway_of = [&](int number) -> LightweightGateway* {
        const int place = number - settings_.first;
        return place >= 0 && place < settings_.gateways ? gateways_[static_cast<std::size_t>(place)].get()
                                                        : nullptr;
    };
    if (what == "figures") return figures();
    if (what == "ports") {
        json ports = json::array();
        for (const auto& one : gateways_) ports.push_back(one->port());
        return {{"ports", ports}};
    }
    if (what == "peers") {
        peers_.clear();
        for (int port = 0; words >> port;) peers_.push_back(address_of(static_cast<std::uint16_t>(port)));
        if (peers_.size() != static_cast<std::size_t>(settings_.of))
            return {{"error", "ports of all gateways of the tier are wanted"}};
        for (auto& one : gateways_) one->peers(peers_);
        return {{"peers", peers_.size()}};
    }
    if (what == "start") {
        // Spread over a second, as gateways that know of each other nothing but their numbers would be.
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            loop_.arm(loop_.now() + proxy::Duration{1s} * static_cast<int>(i) / settings_.gateways,
                      [this, i] {
                          gateways_[i]->start();
                          gateways_[i]->pace(settings_.pace);
                      });
        }
        started_ = true;
        return {{"started", gateways_.size()}};
    }
    if (what == "propose") {
        int number = 0;
        std::uint64_t version = 0;
        std::string rest;
        words >> number >> version;
        std::getline(words, rest);
        const json text = json::parse(rest, nullptr, false);
        LightweightGateway* const one = gateway_of(number);
        if (!one || !text.is_string()) return {{"error", "propose NUMBER VERSION \"TEXT\""}};
        const std::string problem = one->propose(version, text.get<std::string>());
        return {{"at_ms", loop_.now() / 1ms}, {"problem", problem}};
    }
    if (what == "in_force") {
        std::uint64_t version = 0;
        words >> version;
        json at = json::array();
        for (const auto& one : gateways_) {
            if (const auto since = one->in_force_at(version)) at.push_back(*since / 1ms);
        }
        return {{"at_ms", at}, {"gateways", gateways_.size()}};
    }
    if (what == "state") {
        int number = -1;
        words >> number;
        LightweightGateway* const one = gateway_of(number);
        if (!one) return {{"error", "state NUMBER"}};
        return {{"accord", one->agreement() ? one->agreement()->state() : json()},
                {"distribution", one->distribution() ? one->distribution()->state() : json()}};
    }
    if (what == "revision") {
        // Who has this one in force, and since when; of who has gone beyond it, only that.
        std::uint64_t number = 0;
        words >> number;
        json at = json::array();
        int beyond = 0;
        for (const auto& one : gateways_) {
            if (!one->distribution()) continue;
            const json told = one->distribution()->state();
            const auto revision = told.at("revision").get<std::uint64_t>();
            if (revision == number) at.push_back(told.at("since_ms"));
            beyond += revision > number ? 1 : 0;
        }
        return {{"at_ms", at}, {"beyond", beyond}};
    }
    if (what == "pace") {
        if (!(words >> settings_.pace)) return {{"error", "pace CALLS_PER_S"}};
        for (auto& one : gateways_) one->pace(settings_.pace);
        return {{"pace", settings_.pace}};
    }
    if (what == "restart") {
        int number = -1;
        words >> number;
        if (!gateway_of(number) || settings_.roles.agreement)
            return {{"error", "restart NUMBER, where there is no accord: its port would be another"}};
        const auto place = static_cast<std::size_t>(number - settings_.first);
        gateways_[place]->close();
        gone_.push_back(std::move(gateways_[place]));
        loop_.arm(loop_.now() + kLetGoAfter, [this] { gone_.pop_front(); });
        make(place);
        gateways_[place]->start();
        gateways_[place]->pace(settings_.pace);
        ++restarts_;
        return {{"restarts", restarts_}};
    }
    return {{"error", "no such command: " + what}};
}

}  // namespace linnetlead::test_support
