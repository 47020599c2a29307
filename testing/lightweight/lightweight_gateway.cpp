#include "testing/lightweight/lightweight_gateway.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "testing/fake_server.h"

namespace linnetlead::test_support {

using proxy::Duration;
using proxy::Handle;
using proxy::Timestamp;
using namespace std::chrono_literals;

namespace {

constexpr const char* kOwnCounts = "hollow/";
constexpr proxy::RequestManager::Limits kLimits{64, 1024 * 1024, 0};

// A port that no socket has. DatagramLink shares its own with whom it is handed over to, and asked for any
// port the kernel gives two such sockets the same.
std::uint16_t free_datagram_port() {
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_storage any = address_of(0);
    sockaddr_in at{};
    socklen_t size = sizeof(at);
    const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&any), sizeof(at)) == 0 &&
                       getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0;
    ::close(fd);
    if (!bound) throw std::runtime_error("no free port for datagrams");
    return ntohs(at.sin_port);
}

sockaddr_storage read(const std::string& text) {
    sockaddr_storage address{};
    net::read_address(text, address);
    return address;
}

}  // namespace

// Sees what the counter answers, and leaves it to the core, as calls' own counts would be.
class LightweightGateway::Tap final : public proxy::AccountingPort {
public:
    explicit Tap(Figures& figures) : figures_(figures) {}

private:
    void taken(Timestamp, Handle, policy::Request&) override {}
    void charge(Timestamp, Handle, policy::Request&) override {}
    void sending(Handle, double) override {}
    void sent_on(Timestamp, Handle, double) override {}
    void settled(Handle, double) override {}
    void rejected(Timestamp, Handle) override {}
    void over(Handle) override {}
    bool counted(Timestamp, const std::string& name, policy::CounterStatus status, double) override {
        const bool own = name.compare(0, std::char_traits<char>::length(kOwnCounts), kOwnCounts) == 0;
        if (own) ++(status == policy::CounterStatus::kOk ? figures_.counted_well : figures_.counted);
        return false;
    }
    Figures& figures_;
};

// A proposal being read on a thread of libuv's. It outlives its owner, should that go first.
struct LightweightGateway::Reading {
    uv_work_t work{};
    LightweightGateway* owner = nullptr;
    config::Site site;
    agreement::Version version;
    std::string text;
    bool good = false;
};

LightweightGateway::LightweightGateway(net::Loop& loop, const server::Config& config, LightweightRoles roles,
                                       server::Log& log)
    : loop_(loop),
      config_(config),
      roles_(roles),
      gateway_(config_.site, config_.seed, kLimits, loop),
      client_(loop, gateway_, read(config_.counter), config_.site.settings.counter_timeout),
      tap_(std::make_unique<Tap>(figures_)),
      suspensions_(gateway_),
      registry_(
          loop, suspensions_, config_.discovery, config_.known.version, config_.seed,
          config_.site.settings.list_is_polled ? net::DiscoveryWatch::kAsked : net::DiscoveryWatch::kPushed),
      link_(loop, [this](int from, std::string_view datagram) {
          ++figures_.datagrams_heard;
          figures_.datagram_bytes_heard += datagram.size();
          if (agreement_) agreement_->on_datagram(from, datagram);
      }) {
    gateway_.attach(*this, client_);
    gateway_.attach(tap_.get());
    if (roles_.fleet) {
        // What is in force is read and checked as in a gateway; with calls left out there is nothing to apply
        // it to.
        distribution_ = std::make_unique<server::DistributionClient>(
            *roles_.fleet, config_, loop, log,
            server::DistributionClient::Outside{[](server::Distributed) {},
                                                [](const server::DistributionClient::Narrowed&) {}});
    }
    if (!roles_.agreement) return;
    if (link_.listen(address_of(free_datagram_port())) != 0) throw std::runtime_error("cannot listen");
    port_ = link_.port();
    server::AgreementServiceSettings settings;
    settings.wanted = true;
    agreement_ = std::make_unique<server::AgreementService>(
        settings, config_,
        server::AgreementService::Parts{loop, &link_, gateway_, client_, suspensions_, log},
        server::AgreementService::Callbacks{
            [this](agreement::Version version, const std::string& text) { check(version, text); },
            [this](agreement::Version version, const std::string&) {
                in_force_ = version.number;
                in_force_at_.emplace(version.number, loop_.now());
            },
            [](bool) {}, [] {}, [] {}});
}

LightweightGateway::~LightweightGateway() { close(); }

void LightweightGateway::peers(const std::vector<sockaddr_storage>& all) {
    link_.peers(all, static_cast<std::size_t>(config_.site.settings.self), nullptr);
}

void LightweightGateway::start() {
    if (agreement_) agreement_->start();
    if (distribution_) distribution_->start();
    if (roles_.list) registry_.start();
}

void LightweightGateway::pace(double calls_per_s) {
    loop_.disarm(std::exchange(timer_, {}));
    calls_per_s_ = roles_.counter ? calls_per_s : 0;
    next_count_ = loop_.now();
    if (calls_per_s_ > 0) count();
}

// The wheel's ticks are coarse: all that has come due goes out.
void LightweightGateway::count() {
    const Duration gap{static_cast<std::int64_t>(1e9 / calls_per_s_)};
    for (; next_count_ <= loop_.now(); next_count_ += gap) {
        // As long as the names that the core makes, over tenants that come again.
        constexpr std::uint64_t kTenants = 4096;
        char name[64];
        std::snprintf(name, sizeof(name), "%s%016llx/%u", kOwnCounts,
                      static_cast<unsigned long long>((figures_.counted_well + figures_.counted) *
                                                      2654435761U % kTenants),
                      static_cast<unsigned>(next_count_ / 1s % 100000));
        client_.add(name, 1, 3s);
    }
    timer_ = loop_.arm(next_count_, [this] { count(); });
}

void LightweightGateway::close() {
    if (std::exchange(closed_, true)) return;
    loop_.disarm(std::exchange(timer_, {}));
    for (Reading* one : std::exchange(reading_, {})) one->owner = nullptr;
    if (agreement_) agreement_->close();
    if (distribution_) distribution_->close();
    gateway_.attach(static_cast<proxy::AccountingPort*>(nullptr));
    client_.close();
    registry_.close();
    link_.close();
}

std::string LightweightGateway::propose(std::uint64_t version, const std::string& text) {
    if (!agreement_) return "it takes no part in an accord";
    const Status proposed = agreement_->propose(version, text);
    return proposed ? std::string() : proposed.error().message;
}

// Read beside the loop, as a gateway does.
void LightweightGateway::check(agreement::Version version, const std::string& text) {
    auto* const made = new Reading;
    made->work.data = made;
    made->owner = this;
    made->site = config_.site;
    made->version = version;
    made->text = text;
    reading_.push_back(made);
    uv_queue_work(
        loop_.uv(), &made->work,
        [](uv_work_t* work) {
            auto& self = *static_cast<Reading*>(work->data);
            try {
                self.good = server::read_operators(self.text, "proposal", &self.site).agreement.version ==
                            self.version.number;
            } catch (const std::exception&) {
                self.good = false;
            }
        },
        [](uv_work_t* work, int) {
            const std::unique_ptr<Reading> self(static_cast<Reading*>(work->data));
            if (!self->owner) return;
            auto& all = self->owner->reading_;
            all.erase(std::remove(all.begin(), all.end(), self.get()), all.end());
            self->owner->agreement_->set_check_result(self->version, self->good);
        });
}

std::optional<Timestamp> LightweightGateway::in_force_at(std::uint64_t version) const {
    const auto at = in_force_at_.lower_bound(version);
    return at == in_force_at_.end() ? std::nullopt : std::optional(at->second);
}

LightweightGateway::Figures LightweightGateway::figures() const {
    Figures all = figures_;
    all.endpoints = suspensions_.known();
    if (agreement_) {
        const auto& traffic = agreement_->agreement().traffic();
        all.datagrams_sent = traffic.sent;
        all.datagram_bytes_sent = traffic.bytes;
        all.held_back = traffic.held_back;
        all.present = agreement_->agreement().present_gateways();
    }
    return all;
}

// ---- The endpoints: nothing is sent to them, and probes go unanswered -------------------------------------

Handle LightweightGateway::start(Handle call, const proxy::EndpointId&, const proxy::Payload&,
                                 const Limits&) {
    proxy::AttemptEnd end;
    end.ending = proxy::Ending::kGivenUp;
    loop_.arm(loop_.now(), [this, call, end] { gateway_.attempt_ended(call, end); });
    return {};
}

void LightweightGateway::probe(const proxy::EndpointId&) { ++figures_.probes; }

void LightweightGateway::told(const std::vector<proxy::DiscoveredEndpoint>& entries, bool) {
    ++figures_.lists;
    figures_.entries += entries.size();
}

}  // namespace linnetlead::test_support
