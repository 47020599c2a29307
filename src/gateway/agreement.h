// The accord and the shared health of workers in the running gateway: their datagrams, counter calls, timers
// and the file that outlives a crash. Beside it stands the operators' file, whose versions it agrees on.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <unordered_map>

#include "accord/accord.h"
#include "config.h"
#include "core/gateway.h"
#include "forms/forms.h"
#include "health/health.h"
#include "log.h"
#include "mgmt/suspensions.h"
#include "net/loop.h"
#include "net/one_call.h"
#include "net/peer_link.h"

namespace linnetlead::gateway {

// As the operators' file has it.
struct AgreementSettings {
    bool wanted = false;
    std::uint64_t version = 0;  // of the file
    std::string snapshot;       // path, with {gateway} for the gateway's name; empty: none
    core::Span lease = std::chrono::seconds(2);
    core::Span tombstones = std::chrono::hours(1);
    bool health = false;
    health::Health::Settings of_health;
    bool forms = false;
    forms::Forms::Settings of_forms;
    forms::Schemas schemas;
};

class Agreement {
public:
    struct Outside {
        // Reads a text as an operators' file, beside the loop, and answers by checked().
        std::function<void(accord::Version version, const std::string& text)> check;
        std::function<void(accord::Version version, const std::string& text)> in_force;
        std::function<void(bool fenced)> fenced;
        std::function<void()> set_aside;  // the workers that are, are others now
        std::function<void()> unready;    // the same, of those that no form can be served by
    };
    Agreement(const AgreementSettings& settings, const Config& config, net::Loop& loop, net::PeerLink* peers,
              core::Gateway& gateway, core::Counter& counter, mgmt::Suspensions& suspensions, Log& log,
              Outside outside);
    ~Agreement();
    Agreement(const Agreement&) = delete;
    Agreement& operator=(const Agreement&) = delete;

    // Reads what was agreed before, if there is a file, and begins.
    void start();
    void close();
    // This gateway is about to go: the others need not find out.
    void leave() { accord_.leave(loop_.now()); }

    // This gateway's own file. Why it cannot be proposed, in words; empty: it is.
    std::string propose(std::uint64_t version, const std::string& text);
    void checked(accord::Version version, bool good);
    bool is_own(std::uint64_t hash) const { return own_hash_ == hash; }

    void heard(int from, std::string_view datagram);
    bool counted(const std::string& name, topazcrank::CountStatus status, double total);
    bool fenced() const { return accord_.fenced(loop_.now()); }
    const accord::Accord& accord() const { return accord_; }
    health::Health* health() { return health_.get(); }
    forms::Forms* forms() { return forms_.get(); }
    // By the file in force.
    void schemas(const forms::Schemas& versions);
    // The list, with the addresses; and as the module is told of it.
    void addresses(topazcrank::ListKind kind, const std::vector<core::Listed>& entries);
    void listed(topazcrank::ListKind kind, const std::vector<topazcrank::ServerEntry>& entries);

    // For the second address and SIGUSR1.
    nlohmann::json state() const;

private:
    static constexpr core::Span tick_every = std::chrono::milliseconds(40);
    static constexpr core::Span save_every = std::chrono::milliseconds(200);
    static constexpr core::Span warning_life = std::chrono::seconds(60);
    struct Saving;
    accord::Accord::Outside outside_of(net::PeerLink* peers, core::Counter& counter);
    void arm();
    void tick();
    void save();
    void take_record(const accord::Record& record);
    void tell_list(const core::WorkerId& worker, core::Time started, bool wanted);
    void sweep_warnings(core::Time now);
    void make_forms(const Config& config);

    AgreementSettings settings_;
    std::string path_;
    net::Loop& loop_;
    mgmt::Suspensions& suspensions_;
    Log& log_;
    Outside outside_;
    accord::Accord accord_;
    std::unique_ptr<health::Health> health_;
    std::unique_ptr<forms::Forms> forms_;
    net::OneCalls preparing_;
    std::unordered_map<core::WorkerId, std::string> addresses_;  // as long as the list
    std::uint64_t own_calls_ = 0;
    core::Gateway& gateway_;
    core::Handle timer_;
    std::optional<core::Time> asked_wake_;
    Saving* saving_ = nullptr;
    std::uint64_t saved_changes_ = 0, own_hash_ = 0;
    core::Time saved_at_{};
    std::map<core::WorkerId, core::Time> warned_until_;  // as long as the records
};

}  // namespace linnetlead::gateway
