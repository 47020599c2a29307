// linnetlead: one gateway. Environment, wiring and signals only.
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <stdexcept>

#include "config.h"
#include "net/acceptor.h"
#include "net/counter_client.h"
#include "net/registry_watch.h"
#include "net/worker_pool.h"

namespace {

using namespace linnetlead;
using namespace std::chrono_literals;

constexpr core::Span still_accepting = 500ms;  // after SIGTERM, while clients still come
constexpr core::Span look_again = 20ms;

sockaddr_storage address_of(const std::string& what, const std::string& text) {
    sockaddr_storage address{};
    if (!net::read_address(text, address)) throw std::runtime_error(what + ": no address: '" + text + "'");
    return address;
}

// Clients may take the larger part of the sockets, workers the rest; some are kept for everything else.
struct Shares {
    explicit Shares(const gateway::Config& config) {
        constexpr std::size_t kept = 64;
        rlimit files{};
        getrlimit(RLIMIT_NOFILE, &files);
        const auto allowed = std::min<std::size_t>(config.sockets, files.rlim_cur);
        const std::size_t sockets = std::max(allowed, 2 * kept) - kept;
        clients = sockets * 6 / 10;
        unsent = config.memory_mb * 1024 * 1024 / 4;
        workers = sockets - clients;
        calls.bytes = config.memory_mb * 1024 * 1024 / 4;
        calls.calls =
            std::max(1, config.site.max_open > 0 ? std::min(config.site.max_open, most_calls) : most_calls);
    }
    static constexpr int most_calls = 4096;
    std::size_t clients = 0;
    std::size_t workers = 0;
    std::size_t unsent = 0;
    core::Gateway::Limits calls;
};

class Program {
public:
    explicit Program(const gateway::Config& config)
        : shares_(config),
          gateway_(config.site, config.seed, shares_.calls, loop_),
          pool_(loop_, gateway_, {shares_.workers, config.site.connect_timeout, config.site.conn_idle}),
          counter_(loop_, gateway_,
                   config.counter.empty() ? sockaddr_storage{} : address_of("counter", config.counter),
                   config.site.settings.count_timeout),
          registry_(loop_, gateway_, config.discovery, config.known.version),
          acceptor_(loop_, gateway_, config.site.settings, {shares_.clients, shares_.unsent}) {
        gateway_.attach(pool_, counter_);
        if (config.known.version >= 0) gateway_.listed(topazcrank::ListKind::cached, config.known.entries);
        if (!registry_.start()) throw std::runtime_error("discovery: no address: '" + config.discovery + "'");
        if (const int error = acceptor_.listen(address_of("listen", config.listen)); error < 0) {
            throw std::runtime_error("cannot listen on " + config.listen + ": " + uv_strerror(error));
        }
        for (const auto& cls : config.site.settings.classes) longest_ = std::max(longest_, cls.deadline);
        for (auto& [signal, number] : {std::pair(&term_, SIGTERM), std::pair(&interrupt_, SIGINT)}) {
            uv_signal_init(loop_.uv(), signal);
            signal->data = this;
            uv_signal_start(
                signal, [](uv_signal_t* s, int) { static_cast<Program*>(s->data)->stop(); }, number);
        }
    }

    void run() {
        std::fprintf(stderr, "linnetlead: listening on port %d\n", acceptor_.port());
        loop_.run();
        close();
    }

private:
    void stop() {
        if (stop_at_ != core::Time{}) return;
        stop_at_ = loop_.now() + still_accepting;
        loop_.arm(stop_at_, [this] {
            acceptor_.stop_listening();
            acceptor_.retire();
            wait_for_answers();
        });
    }
    void wait_for_answers() {
        if (acceptor_.empty() || loop_.now() > stop_at_ + longest_) return loop_.stop();
        loop_.arm(loop_.now() + look_again, [this] { wait_for_answers(); });
    }
    void close() {
        acceptor_.close();
        pool_.close();
        counter_.close();
        registry_.close();
        for (uv_signal_t* signal : {&term_, &interrupt_}) {
            uv_close(reinterpret_cast<uv_handle_t*>(signal), nullptr);
        }
        loop_.drain();
    }

    net::Loop loop_;
    Shares shares_;
    core::Gateway gateway_;
    net::WorkerPool pool_;
    net::CounterClient counter_;
    net::RegistryWatch registry_;
    net::Acceptor acceptor_;
    uv_signal_t term_{};
    uv_signal_t interrupt_{};
    core::Span longest_{};
    core::Time stop_at_{};
};

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const gateway::Config config = gateway::load_config();
        Program program(config);
        program.run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "linnetlead: %s\n", e.what());
        // A loop with open handles is left to the system.
        std::_Exit(1);
    }
    return 0;
}
