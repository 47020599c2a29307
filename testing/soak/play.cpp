#include "testing/soak/play.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <memory>

#include "testing/soak/client_fleet.h"
#include "testing/soak/delay_watch.h"
#include "testing/soak/fake_endpoint.h"
#include "testing/soak/fake_services.h"
#include "testing/soak/gateway_process.h"

namespace linnetlead::test_support::soak {

using namespace std::chrono_literals;
using Event = ProcessEvent;

namespace {

constexpr Duration kLookEvery = 50ms;        // at the processes
constexpr Duration kProbeEvery = 20ms;       // of a process that is not ready
constexpr Duration kFrontNotices = 400ms;    // a drain or a SIGTERM; until then new connections come
constexpr Duration kReadyWithin = 30s;       // at the start
constexpr Duration kDrainsFor = 1500ms;      // an endpoint, before it leaves the list
constexpr Duration kAnswersWithin = 1200ms;  // behind the last deadline
constexpr Duration kStallsWithin = 500ms;    // a process that is to, where the program holds points
constexpr Duration kLongestStop = 150ms;
constexpr const char* kPing = "*1\r\n$4\r\nPING\r\n";

class Play {
public:
    Play(const Scenario& scenario, const std::string& program)
        : scenario_(scenario), program_(program), random_(scenario.seed + 99), counter_(loop_) {
        for (int i = 0; i < scenario.endpoints; ++i) add_endpoint(i, kNever);
        std::vector<std::uint16_t> ports;
        for (int i = 0; i < scenario.settings.gateways; ++i) {
            gateways_.push_back(std::make_unique<Gateway>());
            Gateway& gateway = *gateways_.back();
            gateway.number = i;
            gateway.port = free_port();
            gateway.folder = temporary_path("soak" + std::to_string(i));
            std::filesystem::create_directory(gateway.folder);
            gateway.agent = std::make_unique<DiscoveryAgent>(loop_, list_, i, record_);
            ports.push_back(gateway.port);
        }
        clients_ = std::make_unique<ClientFleet>(loop_, scenario, ports, record_);
    }
    ~Play() {
        std::error_code ignored;
        for (const auto& gateway : gateways_) std::filesystem::remove_all(gateway->folder, ignored);
    }

    Record run() {
        for (const auto& gateway : gateways_) start(*gateway);
        const Timestamp give_up = loop_.now() + kReadyWithin;
        look();
        delays_.start();
        while (loop_.now() < give_up && !all_ready()) turn_for(kProbeEvery);
        begun_ = loop_.now();
        first_list_ = list_.json();
        schedule();
        clients_->start();
        turn_for(scenario_.length);
        clients_->stop();
        turn_for(longest_deadline() + kAnswersWithin);
        const Timestamp last = loop_.now() + earliest_kill(scenario_) + 1s;
        while (loop_.now() < last && !is_quiet()) turn_for(kLookEvery);
        ask_metrics();
        finish();
        return std::move(record_);
    }

private:
    struct Gateway {
        int number = 0;
        std::uint16_t port = 0;
        std::string folder;
        std::unique_ptr<DiscoveryAgent> agent;
        int discovery = 0;  // which of the agent's addresses the configuration names
        std::unique_ptr<GatewayProcess> process;
        std::unique_ptr<GatewayProcess> older;  // of a hot restart
        bool is_to_start_again = false;         // once the process has ended
        bool ends_at_start = false;             // the next process gets SIGTERM before it is ready
        int open_events = 0;                    // steps of a disruption that are still to come
    };

    void turn_for(Duration time) {
        loop_.turn_until([] { return false; }, time);
    }
    void at(Duration since_begin, std::function<void()> act) {
        loop_.arm(begun_ + since_begin, std::move(act));
    }
    // A later step of a disruption of this gateway.
    void step(Gateway& gateway, Duration later, std::function<void()> act) {
        ++gateway.open_events;
        loop_.arm(loop_.now() + later, [&gateway, act = std::move(act)] {
            --gateway.open_events;
            act();
        });
    }
    Duration drawn(Duration least, Duration most) {
        return Duration{std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(random_)};
    }
    Duration longest_deadline() const {
        Duration longest{};
        for (const auto& one : scenario_.settings.classes) longest = std::max(longest, one.deadline);
        return longest;
    }

    // ---- endpoints and services ----

    void add_endpoint(int number, Timestamp started) {
        endpoints_.push_back(std::make_unique<FakeEndpoint>(loop_, scenario_, number, started, record_));
        list_.endpoints.push_back({number, endpoints_.back()->address(), started, false});
    }
    void list_has_changed() {
        ++list_.version;
        for (const auto& gateway : gateways_) gateway->agent->tell();
    }
    void change_list(const ListChange& change) {
        if (change.event == ListEvent::kJoins) {
            add_endpoint(change.endpoint, loop_.now());
            return list_has_changed();
        }
        for (ListedEndpoint& one : list_.endpoints) one.drains |= one.number == change.endpoint;
        list_has_changed();
        loop_.arm(loop_.now() + kDrainsFor, [this, gone = change.endpoint] {
            auto& all = list_.endpoints;
            all.erase(std::remove_if(all.begin(), all.end(),
                                     [gone](const ListedEndpoint& one) { return one.number == gone; }),
                      all.end());
            list_has_changed();
        });
    }
    void schedule() {
        for (const ProcessDisruption& one : scenario_.processes) {
            at(one.at,
               [this, one] { disrupt(*gateways_[static_cast<std::size_t>(one.gateway)], one.event); });
        }
        for (const auto& one : scenario_.endpoint_spells) {
            FakeEndpoint& endpoint = *endpoints_[static_cast<std::size_t>(one.target)];
            at(one.at, [&endpoint, one] { endpoint.set(one.mood); });
            at(one.at + one.length, [&endpoint] { endpoint.set(EndpointMood::kWell); });
        }
        for (const auto& one : scenario_.discovery_spells) {
            const auto set = [this](DiscoveryMood mood) {
                for (const auto& gateway : gateways_) {
                    gateway->agent->mood = mood;
                    gateway->agent->tell();
                }
            };
            at(one.at, [set, one] { set(one.mood); });
            at(one.at + one.length, [set] { set(DiscoveryMood::kWell); });
        }
        for (const auto& one : scenario_.counter_spells) {
            at(one.at, [this, one] { counter_.mood = one.mood; });
            at(one.at + one.length, [this] { counter_.mood = CounterMood::kWell; });
        }
        for (const ListChange& one : scenario_.list_changes) at(one.at, [this, one] { change_list(one); });
        for (const Crowd& one : scenario_.crowds) {
            at(one.at, [this, one] { clients_->begin(one); });
            at(one.at + one.length, [this] { clients_->end_crowds(); });
        }
    }

    // ---- processes ----

    GatewayAddresses addresses_of(const Gateway& gateway) const {
        const bool has_old_list = scenario_.upgrades_with_old_list && gateway.older;
        return {"127.0.0.1:" + std::to_string(gateway.port), gateway.agent->address(gateway.discovery),
                scenario_.settings.may_use_counter ? counter_.address() : std::string(),
                has_old_list ? first_list_ : list_.json()};
    }
    std::unique_ptr<GatewayProcess> new_process(const Gateway& gateway, StartOptions options) {
        return std::make_unique<GatewayProcess>(program_, scenario_, gateway.number, addresses_of(gateway),
                                                gateway.folder, options, loop_, record_);
    }
    void start(Gateway& gateway) {
        clients_->let_in(gateway.number, false);
        const bool ends_at_start = std::exchange(gateway.ends_at_start, false);
        const bool stalls = ends_at_start && drawn(0ms, 1ms) < 500us;
        gateway.process = new_process(gateway, {false, stalls});
        if (stalls) {
            terminate_once_stalled(gateway, loop_.now() + kStallsWithin);
        } else if (ends_at_start) {
            step(gateway, drawn(0ms, 60ms), [this, &gateway] { terminate(gateway); });
        }
        probe(gateway);
    }
    // Between listening and its first turn, SIGTERM twice.
    void terminate_once_stalled(Gateway& gateway, Timestamp give_up) {
        constexpr Duration kLookAgain = 5ms;
        if (!gateway.process->is_stopped() && loop_.now() < give_up) {
            step(gateway, kLookAgain,
                 [this, &gateway, give_up] { terminate_once_stalled(gateway, give_up); });
            return;
        }
        step(gateway, 2 * kProbeEvery, [this, &gateway] {
            terminate(gateway);
            gateway.process->signal(SIGTERM);
            gateway.process->signal(SIGCONT);
        });
    }
    // The front takes a gateway in once it has answered PING.
    void probe(Gateway& gateway) {
        GatewayProcess* const asked = gateway.process.get();
        ask_once(loop_, gateway.port, kPing, "+PONG", [this, &gateway, asked](const Heard& heard) {
            if (finishing_ || gateway.process.get() != asked) return;
            if (heard.is_connected) asked->note_let_in();
            if (heard.is_good) {
                asked->note_ready();
                if (asked->life().terminated == kNever) clients_->let_in(gateway.number, true);
            } else if (asked->life().ended == kNever) {
                loop_.arm(loop_.now() + kProbeEvery, [this, &gateway, asked] {
                    if (!finishing_ && gateway.process.get() == asked) probe(gateway);
                });
            }
        });
    }
    bool all_ready() const {
        return std::all_of(gateways_.begin(), gateways_.end(),
                           [](const auto& gateway) { return gateway->process->is_ready(); });
    }
    bool is_quiet() const {
        return all_ready() && std::all_of(gateways_.begin(), gateways_.end(), [](const auto& gateway) {
                   return gateway->open_events == 0 && !gateway->older && !gateway->is_to_start_again;
               });
    }
    void stop_new_clients(Gateway& gateway, Duration later) {
        GatewayProcess* const process = gateway.process.get();
        step(gateway, later, [this, &gateway, process] {
            if (gateway.process.get() == process) clients_->let_in(gateway.number, false);
        });
    }
    void terminate(Gateway& gateway) {
        GatewayProcess* const process = gateway.process.get();
        process->terminate();
        const bool is_held_up = drawn(0ms, 1ms) < 400us;
        stop_new_clients(gateway, is_held_up ? kFrontNotices : drawn(kFrontNotices / 2, kFrontNotices));
        if (is_held_up) hold_up(gateway, drawn(kFrontNotices * 9 / 10, kFrontNotices), kLongestStop);
        gateway.is_to_start_again = true;
        step(gateway, earliest_kill(scenario_), [&gateway, process] {
            if (gateway.process.get() == process) process->kill();
        });
    }
    void disrupt(Gateway& gateway, Event event) {
        // The one before has not ended yet, or the process has.
        if (gateway.open_events > 0 || gateway.older || !gateway.process->is_ready()) return;
        switch (event) {
            case Event::kTerminate:
                return terminate(gateway);
            case Event::kTerminateInSeries:
                gateway.process->reload(config_for(gateway));
                step(gateway, drawn(0ms, 4ms), [this, &gateway] { terminate(gateway); });
                step(gateway, drawn(5ms, 9ms), [&gateway] { gateway.process->signal(SIGTERM); });
                return;
            case Event::kTerminateAtStart:
                gateway.ends_at_start = true;
                [[fallthrough]];
            case Event::kKill:
                gateway.is_to_start_again = true;
                gateway.process->kill();
                return clients_->let_in(gateway.number, false);
            case Event::kHotRestart:
                return restart_hot(gateway);
            case Event::kReloads:
                return reload_in_a_row(gateway);
            case Event::kDrains:
                return drain_and_activate(gateway);
            case Event::kStop:
                return hold_up(gateway, 0ms, drawn(50ms, kLongestStop));
        }
    }
    void hold_up(Gateway& gateway, Duration later, Duration length) {
        step(gateway, later, [this, &gateway, length] {
            gateway.process->signal(SIGSTOP);
            step(gateway, length, [&gateway] { gateway.process->signal(SIGCONT); });
        });
    }
    // The next configuration names the agent's other address.
    std::string config_for(Gateway& gateway) {
        gateway.discovery = 1 - gateway.discovery;
        return config_of(scenario_, gateway.number, addresses_of(gateway), gateway.process->admin());
    }
    void reload_in_a_row(Gateway& gateway) {
        constexpr int kReloads = 5;
        for (int i = 0; i < kReloads; ++i) {
            step(gateway, i * drawn(1ms, 40ms), [this, &gateway, is_good = i % 2 == 0] {
                gateway.process->reload(is_good ? config_for(gateway) : "{\"settings\":");
            });
        }
    }
    void drain_and_activate(Gateway& gateway) {
        const auto tell = [this, &gateway](const char* path) {
            ask_once(loop_, gateway.process->admin_port(), admin_call("PUT", path), "HTTP/1.1 200",
                     [](const Heard&) {});
        };
        tell("/v1/gateway/drain");
        step(gateway, 50ms, [tell] { tell("/v1/gateway/activate"); });
        step(gateway, 100ms, [tell] { tell("/v1/gateway/drain"); });
        stop_new_clients(gateway, drawn(kFrontNotices / 2, kFrontNotices));
        step(gateway, 1500ms, [this, tell, &gateway] {
            tell("/v1/gateway/activate");
            clients_->let_in(gateway.number, true);
        });
    }
    void restart_hot(Gateway& gateway) {
        gateway.older = std::move(gateway.process);
        gateway.process = new_process(gateway, {true, false});
        // A new configuration for the older process amid the hand-over; the newer one may have none yet.
        if (drawn(0ms, 1ms) < 500us) {
            const std::string config =
                config_of(scenario_, gateway.number, addresses_of(gateway), gateway.older->admin());
            step(gateway, drawn(0ms, 60ms), [&gateway, config] {
                if (gateway.older) gateway.older->reload(config);
            });
        }
        ask_ready(gateway);
    }
    void ask_ready(Gateway& gateway) {
        GatewayProcess* const asked = gateway.process.get();
        ask_once(loop_, asked->admin_port(), admin_call("GET", "/v1/readyz"), "HTTP/1.1 200",
                 [this, &gateway, asked](const Heard& heard) {
                     if (finishing_ || gateway.process.get() != asked) return;
                     if (!heard.is_good) {
                         step(gateway, kProbeEvery, [this, &gateway] { ask_ready(gateway); });
                         return;
                     }
                     asked->note_ready();
                     GatewayProcess* const older = gateway.older.get();
                     older->terminate();
                     step(gateway, earliest_kill(scenario_), [&gateway, older] {
                         if (gateway.older.get() == older) older->kill();
                     });
                 });
    }

    void look() {
        for (const auto& gateway : gateways_) {
            if (gateway->older && !gateway->older->look()) gateway->older.reset();
            if (gateway->process->look()) continue;
            clients_->let_in(gateway->number, false);
            if (std::exchange(gateway->is_to_start_again, false)) start(*gateway);
        }
        look_ = loop_.arm(loop_.now() + kLookEvery, [this] { look(); });
    }

    // ---- the end ----

    void ask_metrics() {
        for (const auto& gateway : gateways_) {
            ask_once(loop_, gateway->process->admin_port(), admin_call("GET", "/v1/metrics"),
                     "edge_balancer.in_progress=0\n", [this, &gateway](const Heard& heard) {
                         if (heard.is_good) return;
                         const std::string& text = heard.answer;
                         const auto line = text.find("edge_balancer.in_progress");
                         record_.left_in_flight[gateway->number] =
                             line == std::string::npos ? "no metrics: " + text
                                                       : text.substr(line, text.find('\n', line) - line);
                     });
        }
        turn_for(1500ms);
    }
    void finish() {
        finishing_ = true;
        record_.ended = loop_.now();
        loop_.disarm(look_);
        delays_.stop();
        record_.longest_own_delay = delays_.longest();
        for (const auto& gateway : gateways_) {
            gateway->process->look();
            gateway->process.reset();
            gateway->older.reset();
            gateway->agent->close();
        }
        clients_->close();
        counter_.close();
        for (const auto& endpoint : endpoints_) endpoint->close();
        turn_for(50ms);  // what is being closed is let go
    }

    const Scenario& scenario_;
    const std::string program_;
    std::mt19937_64 random_;
    Record record_;
    net::Loop loop_;
    EndpointList list_;
    std::string first_list_;
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
    FakeCounter counter_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::unique_ptr<ClientFleet> clients_;
    Timestamp begun_{};
    proxy::Handle look_;
    DelayWatch delays_{loop_};
    bool finishing_ = false;
};

}  // namespace

Record play(const Scenario& scenario, const std::string& program) { return Play(scenario, program).run(); }

}  // namespace linnetlead::test_support::soak
