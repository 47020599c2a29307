#include "server/gateway_program.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <exception>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "admin/admin_server.h"
#include "discovery/discovery_watch.h"
#include "net/datagram_link.h"
#include "proxy/counter_client.h"
#include "proxy/downstream_server.h"
#include "proxy/peer_counter.h"
#include "proxy/upstream_pool.h"
#include "server/admin_endpoint.h"
#include "server/config.h"
#include "server/drain.h"
#include "server/hot_restart.h"
#include "server/list_handover.h"
#include "server/operator_service.h"
#include "server/resource_shares.h"
#include "server/sync_points.h"

namespace linnetlead::server {

using namespace std::chrono_literals;

namespace {

constexpr proxy::Duration kAddressFreeWithin = 10s;
constexpr proxy::Duration kAddressTriedEvery = 50ms;

sockaddr_storage address_of(const std::string& what, const std::string& text) {
    sockaddr_storage address{};
    if (!net::read_address(text, address)) throw std::runtime_error(what + ": no address: '" + text + "'");
    return address;
}

proxy::Duration longest_deadline(const Config& config) {
    proxy::Duration longest{};
    for (const auto& traffic_class : config.site.settings.classes)
        longest = std::max(longest, traffic_class.deadline);
    return longest;
}

std::vector<std::string> class_names(const Config& config) {
    std::vector<std::string> names;
    for (const auto& traffic_class : config.site.settings.classes) names.push_back(traffic_class.name);
    return names;
}

sockaddr_storage counter_of(const Config& config) {
    return config.counter.empty() ? sockaddr_storage{} : address_of("counter", config.counter);
}

constexpr std::array<int, 4> kHandled{SIGTERM, SIGINT, SIGHUP, SIGUSR1};

// A signal ends a program that does not handle it, and what it has taken with it: before the handlers are
// there, but behind the first client, and once they are gone, it waits.
void hold_back_signals(bool hold) {
    sigset_t all;
    sigemptyset(&all);
    for (const int one : kHandled) sigaddset(&all, one);
    sigprocmask(hold ? SIG_BLOCK : SIG_UNBLOCK, &all, nullptr);
}

bool may_count_among_peers(const Config& config) {
    const policy::Settings& settings = config.site.settings;
    return !settings.may_use_counter && config.site.may_tell_peers && !config.peer_listen.empty() &&
           config.counter.empty() && settings.gateways > 1 &&
           config.peers.size() == static_cast<std::size_t>(settings.gateways);
}

class Program {
public:
    // `operators`: the path of the operators' file; empty: there is none.
    Program(const Config& config, Config file, const std::string& operators)
        : file_(std::move(file)),
          shares_(config),
          gateway_(config.site, config.seed, shares_.calls, loop_),
          pool_(loop_, gateway_, {shares_.endpoints, config.site.connect_timeout, config.site.conn_idle}),
          counter_(loop_, gateway_, counter_of(config), config.site.settings.counter_timeout),
          suspensions_(gateway_),
          list_handover_(suspensions_, [this] { return reported_list(); }),
          registry_(loop_, list_handover_, config.discovery, config.known.version, config.seed,
                    config.site.settings.list_is_polled ? net::DiscoveryWatch::kAsked
                                                        : net::DiscoveryWatch::kPushed,
                    config.site.settings.gateways),
          acceptor_(loop_, gateway_, config.site.settings, {shares_.clients, shares_.unsent}),
          drain_(loop_, acceptor_, longest_deadline(config), [this] { loop_.stop(); }),
          desk_({gateway_, pool_, acceptor_, suspensions_, drain_, class_names(config),
                 [this](const admin::Command& done) { upgrade_.tell(done); },
                 [this] { return operators_ ? operators_->agreement_state() : std::string(); },
                 [this] { return operators_ ? operators_->unusable_states() : 0; }}),
          upgrade_({loop_, gateway_, acceptor_, pool_, suspensions_, drain_, list_handover_,
                    [this](bool on) { share(on); }},
                   meeting_place(variable("TMPDIR"), config.listen), config.listen),
          mgmt_(loop_, [this](const admin::Command& command) { return desk_.carry(command); }) {
        if (config.among_peers) {
            peer_counter_ = std::make_unique<net::PeerCounter>(
                loop_, config.site.settings.gateways, config.site.settings.self,
                [this](int to, std::string_view datagram) { peers_.tell(to, datagram); },
                [this](const std::string& name, policy::CounterStatus status, double total) {
                    gateway_.counted(name, status, total);
                });
        }
        gateway_.attach(pool_, peer_counter_ ? static_cast<proxy::CounterPort&>(*peer_counter_) : counter_);
        try {
            start(config, operators);
        } catch (...) {
            close();  // nothing may be destroyed while the loop still holds it
            throw;
        }
    }

    void run() {
        if (told_to_end_) return close();
        std::fprintf(stderr, "linnetlead: listening on port %d\n", acceptor_.port());
        loop_.run();
        close();
    }

private:
    void start(const Config& config, const std::string& operators) {
        loop_.buffers().set_high(shares_.buffers);
        watch_signals();
        if (!operators.empty()) {
            operators_ = std::make_unique<OperatorService>(operators, config, loop_, gateway_, suspensions_,
                                                           list_handover_, counter_);
        }
        const bool own_registry = operators_ && operators_->has_registry();
        if (own_registry) {
            list_handover_.begin(
                {operators_->registry()->name(), -1},
                [this](auto kind, const auto& entries) { operators_->registry()->adopt(kind, entries); });
        } else {
            list_handover_.begin({config.discovery, config.known.version}, {});
            if (config.known.version >= 0) {
                suspensions_.listed(policy::EndpointListKind::kCached, config.known.entries);
            }
            if (!registry_.start())
                throw std::runtime_error("discovery: no address: '" + config.discovery + "'");
        }
        if (peer_counter_) {
            std::vector<sockaddr_storage> tier;
            for (const std::string& peer : config.peers) tier.push_back(address_of("peers", peer));
            peers_.peers(std::move(tier), static_cast<std::size_t>(config.site.settings.self), nullptr);
            if (const int error = peers_.listen(address_of("peer_listen", config.peer_listen)); error < 0) {
                throw std::runtime_error("cannot listen on " + config.peer_listen + ": " +
                                         uv_strerror(error));
            }
        }
        if (!config.mgmt.empty()) {
            if (const int error = mgmt_.listen(address_of("mgmt", config.mgmt)); error < 0) {
                throw std::runtime_error("mgmt: cannot listen on " + config.mgmt + ": " + uv_strerror(error));
            }
        }
        const sockaddr_storage address = address_of("listen", config.listen);
        loop_.turn();  // hears what has been signalled by now
        const bool has_socket = !told_to_end_ && upgrade_.take_over();
        if (told_to_end_) return;
        const int error = has_socket ? acceptor_.start() : listen(address);
        if (told_to_end_) return;
        if (error < 0) {
            throw std::runtime_error("cannot listen on " + config.listen + ": " + uv_strerror(error));
        }
        listens_ = true;
        reach_point();
        upgrade_.ready();
        desk_.set_up();
    }

    // What the registry in use has reported to this process.
    std::optional<ListPosition> reported_list() const {
        if (net::RegistryClient* const own = operators_ ? operators_->registry() : nullptr) {
            if (!own->has_reported()) return std::nullopt;
            return ListPosition{own->name(), -1};
        }
        const auto version = registry_.reported_version();
        if (!version) return std::nullopt;
        return ListPosition{registry_.address(), *version};
    }

    void watch_signals() {
        for (std::size_t i = 0; i < signals_.size(); ++i) {
            uv_signal_init(loop_.uv(), &signals_[i]);
            signals_[i].data = this;
            uv_signal_start(
                &signals_[i],
                [](uv_signal_t* signal, int number) {
                    auto& self = *static_cast<Program*>(signal->data);
                    number == SIGHUP ? self.reload() : number == SIGUSR1 ? self.tell_state() : self.leave();
                },
                kHandled[i]);
        }
        has_signals_ = true;
        hold_back_signals(false);
    }

    // Guards an upgrade from a program that neither hands its socket over nor shares its address: it is given
    // the time to end.
    int listen(const sockaddr_storage& address) {
        int error = acceptor_.listen(address);
        const proxy::Timestamp until = loop_.now() + kAddressFreeWithin;
        while (error == UV_EADDRINUSE && loop_.now() < until) {
            loop_.turn_until([this] { return told_to_end_; }, kAddressTriedEvery);
            if (told_to_end_) break;
            error = acceptor_.listen(address);
        }
        return error;
    }
    // While two processes live, each takes half of what both may have together. Clients are passed on, so
    // that their number is one for both.
    void share(bool on) {
        const std::size_t part = on ? 2 : 1;
        proxy::RequestManager::Limits calls = shares_.calls;
        calls.bytes /= part;
        gateway_.limit(calls);
        acceptor_.limit_unsent(shares_.unsent / part);
        loop_.buffers().set_high(shares_.buffers / part);
        pool_.limit(shares_.endpoints / part);
    }
    // The file read again, and checked whole before anything changes. Calls in hand go on.
    void reload() {
        try {
            Config next = load_file();
            const bool moved = next.discovery != file_.discovery && !next.discovery.empty();
            if (moved) address_of("discovery", next.discovery);
            const sockaddr_storage counter = counter_of(next);
            if (moved && !(operators_ && operators_->has_registry())) registry_.move(next.discovery);
            if (next.counter != file_.counter) counter_.move(counter);
            if (next.fixed != file_.fixed) {
                std::fprintf(stderr, "linnetlead: only discovery and counter change without a restart\n");
            }
            file_ = std::move(next);
        } catch (const std::exception& e) {
            std::fprintf(stderr, "linnetlead: new configuration not taken: %s\n", e.what());
        }
        if (operators_) operators_->reload();
    }
    // Before it listens, no client waits for anything, and SIGKILL comes as soon as for one that serves.
    void leave() {
        if (!listens_) {
            told_to_end_ = true;
            return;
        }
        if (operators_) operators_->leave();
        drain_.leave();
    }
    void tell_state() {
        if (operators_) return operators_->tell_state();
        std::fprintf(stderr, "linnetlead: %zu calls open; no operators' file\n", gateway_.open_calls());
    }
    void close() {
        upgrade_.close();
        mgmt_.close();
        acceptor_.close();
        pool_.close();
        counter_.close();
        peers_.close();
        registry_.close();
        if (operators_) operators_->close();  // behind the last answers, which count
        hold_back_signals(true);
        for (uv_signal_t& signal : signals_) {
            if (has_signals_) uv_close(reinterpret_cast<uv_handle_t*>(&signal), nullptr);
        }
        loop_.drain();
    }

    Config file_;  // as read last, without the environment
    net::Loop loop_;
    ResourceShares shares_;
    proxy::RequestManager gateway_;
    net::UpstreamPool pool_;
    net::CounterClient counter_;
    net::DatagramLink peers_{
        loop_, [this](int from, std::string_view datagram) { peer_counter_->heard(from, datagram); }};
    std::unique_ptr<net::PeerCounter> peer_counter_;  // null: the site has a counter service, or none may be
    admin::MaintenanceOverrides suspensions_;
    ListHandover list_handover_;
    net::DiscoveryWatch registry_;
    net::DownstreamServer acceptor_;
    Drain drain_;
    AdminEndpoint desk_;
    HotRestart upgrade_;
    net::AdminServer mgmt_;
    std::unique_ptr<OperatorService> operators_;
    std::array<uv_signal_t, kHandled.size()> signals_{};
    bool has_signals_ = false;
    bool listens_ = false;
    bool told_to_end_ = false;  // before it listened
};

}  // namespace

int run_gateway(const std::string& operators) {
    hold_back_signals(true);
    // A long list or file is read on a thread. What that frees, the loop is to use: in an arena of the
    // thread's own, 10 to 20 MB stayed behind a list of 10,000 endpoints.
    mallopt(M_ARENA_MAX, 1);
    const Config file = load_file();
    Config config = file;
    override_by_environment(config);
    // The operators' file has another use for the tier's datagrams.
    if (operators.empty() && may_count_among_peers(config)) {
        config.among_peers = true;
        config.site.settings.may_use_counter = true;
        config.site.settings.counter_timeout = net::PeerCounter::kTimeout;
    }
    Program program(config, file, operators);
    program.run();
    return 0;
}

}  // namespace linnetlead::server
