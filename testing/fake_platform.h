// Everything round a tier of real gateway processes, on loopback in one loop: endpoints, counter, registry
// and clients, with an auditor that sees every attempt and every answer. Times are real.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "metering/usage_ledger.h"
#include "net/stream.h"
#include "proxy/resp/parser.h"
#include "testing/fault_proxy.h"
#include "testing/service_models.h"
#include "testing/socket_peer.h"
#include "testing/statement_audit.h"

namespace linnetlead::test_support {

struct FakePlatformSettings {
    std::string program;  // of the gateway
    int gateways = 3;
    double calls_per_s = 120;  // at all gateways
    int tenants = 200;
    int max_connections = 64;  // of the clients, to each gateway
    Mix mix;
    std::uint64_t seed = 1;
    int memory_mb = 192;
    std::string operators;                    // the operators' file's text; empty: none
    std::map<int, std::string> operators_of;  // of a gateway that has another
    // Each gateway has a second address, and an address of its own from the start, so that another process
    // can take over.
    bool second_address = false;
    // Datagrams between the gateways, over relays.
    bool peers = false;
    // A form that calls are made of, all or none; and the versions of schemas that endpoints begin with.
    std::string form;
    std::map<std::string, std::uint64_t> schemas;
    // Each gateway reaches the counter and each endpoint over a relay of its own, and has a registry to
    // itself.
    bool relays = false;
};

// What the auditor counted. Rules are broken where a figure of the second row is not 0.
struct Audit {
    std::uint64_t asked = 0, served = 0, in_aim = 0, rejected = 0, failed = 0, lost_with_gateway = 0;
    std::uint64_t unanswered = 0, answered_twice = 0, late = 0, wrong_value = 0, two_out = 0, ran_again = 0,
                  after_drain = 0;
    std::uint64_t attempts = 0;
    std::string broken() const;  // the rules that are, in words; empty: none
};

// A billing receiver: takes batches by HTTP, keeps each number of each ledger once, and can misbehave.
struct Receipts {
    enum class Mood {
        kWell,
        kSilent,
        kRefusing,
        kRubbish,
        kOlder,
        kCut,
        kLost
    };  // lost: taken, and no receipt comes
    Mood mood = Mood::kWell;
    std::map<std::pair<std::string, std::int64_t>, std::string> batches;  // by ledger and number
    std::uint64_t posts = 0, repeats = 0;
    std::uint64_t other_content = 0;  // of a number that came before
    std::uint64_t spoilt = 0;         // not fitting their checksum
    metering::Usage sum(metering::AccountId account, const std::string& plan = {}) const;
    metering::Usage sum_of_reserve(const std::string& id) const;
    metering::Milliunits uncertain() const;  // the last word of each ledger

private:
    metering::Usage sum_of(const std::function<bool(const nlohmann::json& line)>& wanted) const;
};

class FakePlatform {
public:
    explicit FakePlatform(FakePlatformSettings settings);
    ~FakePlatform();
    FakePlatform(const FakePlatform&) = delete;
    FakePlatform& operator=(const FakePlatform&) = delete;

    // Before start(), or while it runs with tell_list() behind it.
    EndpointModel& add_endpoint(const std::string& id, const std::string& kind, EndpointFigures figures,
                                Timestamp started = Timestamp{0});
    EndpointModel& endpoint(const std::string& id);
    std::string endpoint_address(const std::string& id);
    net::Loop& loop() { return loop_; }  // for further stand-ins
    enum class Stage { kInService, kTerminating, kTerminated };
    void list(const std::string& id, Stage stage);  // told at once to whom watches
    // Of one gateway's, or of all; a gateway's own needs relays.
    void registry_is_silent(bool silent, int gateway = -1);
    // The list of one gateway alone says so, and the others' lists are late.
    void list_late(const std::string& id, Stage stage, int gateway);
    CounterModel& counter();
    PeerRelays& peers() { return *peers_; }
    TcpRelay& counter_link(int gateway) { return *counter_links_[static_cast<std::size_t>(gateway)]; }
    TcpRelay& endpoint_link(const std::string& endpoint, int gateway);

    FakePlatformSettings& settings() { return settings_; }  // before start()
    void start();                                           // the gateways; returns once all answer PING
    void load(bool on);
    // An account that asks for so many calls a second beside the others, of little work; 0: no more.
    void ask_much(metering::AccountId account, double calls_per_s);
    void run_for(Duration time);
    bool run_until(const std::function<bool()>& condition, Duration within);
    Timestamp now() const;

    // The operators' file of all gateways, or of one, and SIGHUP.
    void operate(const std::string& text, int gateway = -1);
    Process& gateway(int number);
    void kill(int gateway);
    void start_again(int gateway);
    // The environment of a gateway's processes that start from now on: NAME=VALUE.
    std::map<int, std::vector<std::string>> environment;
    // A process beside the one that runs takes over from it, which ends. False: one of the steps did not come
    // about in its time.
    bool upgrade(int gateway);
    std::uint16_t second_address(int gateway) const;

    // Lines of the gateways' logs, as JSON text, that came since the start.
    struct Logged {
        int gateway = 0;
        Timestamp at{};  // when it was read
        std::string line;
    };
    const std::vector<Logged>& log() const { return log_; }
    std::uint64_t calls_of(const std::string& endpoint);
    Timestamp first_call_of(const std::string& endpoint);
    Timestamp last_call_of(const std::string& endpoint);

    Audit audit;
    StatementAudit forms_audit;
    std::uint64_t prepares = 0, prepares_again = 0;  // of an endpoint's process, form and versions
    // An endpoint goes over to another version of a schema, and has lost what was prepared against the one
    // before.
    void move(const std::string& endpoint, const std::string& schema, std::uint64_t version);
    bool prepared(const std::string& endpoint, const std::string& form);
    // A call with this body, by a caller of its own; nothing where no answer comes in time.
    std::string call(int gateway, const std::string& body);
    Receipts receipts;
    std::string receiver_address() const;
    // What the endpoints have seen first sent on, and the true units that clients have had answered.
    std::map<metering::AccountId, metering::Usage> seen;
    std::function<void(Timestamp, metering::AccountId, double units)> first_sent;
    std::map<metering::AccountId, double> asked_units;  // of calls that went out to a gateway

private:
    class EndpointPeer;
    class CounterPeer;
    class RegistryPeer;
    class Client;
    class ReceiverPeer;
    struct Call {
        Timestamp asked{}, due{};
        int gateway = 0;
        int traffic_class = 0;
        double work = 0;
        int out = 0;
        bool may_have_run = false;
        bool answered = false;
        bool was_sent = false;
        metering::AccountId account = 0;
        int units = 0, actual_units = 0;
    };
    struct Gateway {
        std::unique_ptr<Process> process;
        std::string operators_path;
        std::string address, mgmt;
        std::string errors;  // not yet whole lines
        std::vector<proxy::Handle> idle;
        std::size_t connections = 0;
    };

    void next_call();
    void next_of(metering::AccountId account);
    void ask(int gateway, const DrawnCall& drawn);
    void answered(std::uint64_t id, const resp::Message& message);
    void arrived(std::uint64_t id, double& work, int& actual_units);
    std::string command_of(std::uint64_t id, const DrawnCall& drawn, const std::string& body) const;
    void ended(std::uint64_t id, bool may_have_run);
    void read_logs();
    std::string config_of(int gateway) const;
    std::string listed(int gateway) const;
    RegistryPeer& registry_of(int gateway) const;

    FakePlatformSettings settings_;
    net::Loop loop_;
    std::mt19937_64 random_;
    std::vector<std::pair<std::string, std::unique_ptr<EndpointPeer>>> endpoints_;
    std::unique_ptr<CounterPeer> counter_;
    std::vector<std::unique_ptr<RegistryPeer>> registries_;  // one for all, or one for each
    std::unique_ptr<PeerRelays> peers_;
    std::vector<std::unique_ptr<TcpRelay>> counter_links_;
    std::unique_ptr<ReceiverPeer> receiver_;
    std::vector<Gateway> gateways_;
    proxy::SlotMap<Client> clients_;
    std::unordered_map<std::uint64_t, Call> calls_;
    std::uint64_t next_id_ = 0;
    proxy::Handle next_;
    Timestamp next_at_{};
    std::map<metering::AccountId, std::pair<double, Timestamp>>
        asking_;  // calls a second, and when the next is due
    std::vector<Logged> log_;
};

}  // namespace linnetlead::test_support
