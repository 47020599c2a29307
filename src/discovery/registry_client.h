// Runs a discovery::Source over HTTP/1.1 and passes the changes on to the endpoint list port in slices. The
// operator service owns the client. It has one connection at a time, to one of several endpoints. After a
// failure it connects to the next one, after a growing, random pause, so that a thousand gateways that lose
// the same endpoint do not reconnect at once.
//
// Long answers are parsed on a thread of libuv's pool, so that the loop does not block; meanwhile only that
// thread may use the source and the endpoint set.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "discovery/endpoint_set.h"
#include "discovery/registry_source.h"
#include "net/background.h"
#include "net/stream.h"
#include "proxy/request_manager.h"

namespace linnetlead::net {

class RegistryClient {
public:
    struct Settings {
        std::string kind;                    // "consul" or "etcd"; empty: none
        std::vector<std::string> endpoints;  // host:port, numeric
        std::string token;
        discovery::SourceSettings source;
        discovery::EndpointSet::Settings endpoint_set;
        std::string snapshot;  // path; empty: no snapshot is stored
        proxy::Duration snapshot_age = std::chrono::hours(24);
        bool operator==(const Settings& other) const;
    };
    using Report = std::function<void(const std::string& event, const std::string& what)>;

    RegistryClient(Loop& loop, proxy::EndpointListPort& lists, Settings settings, std::uint64_t seed,
                   Report report);
    ~RegistryClient();
    RegistryClient(const RegistryClient&) = delete;
    RegistryClient& operator=(const RegistryClient&) = delete;

    void start();
    // Switches to another registry or other keys. The known endpoints stay until the new registry's complete
    // list shows the difference.
    void change(Settings settings);
    void close();
    // The list of another process of this gateway, or changes to it; ignored once the registry itself has
    // reported a complete list.
    void adopt(policy::EndpointListKind kind, const std::vector<proxy::DiscoveredEndpoint>& entries);
    bool has_reported() const { return state_.wholes > 0; }
    // Names the registry's keys.
    std::string name() const { return settings_.kind + ':' + settings_.source.prefix; }

    struct State {
        std::string endpoint;
        bool watching = false;  // the complete list is known
        std::size_t endpoints = 0, held = 0;
        std::uint64_t failures = 0, wholes = 0, changes = 0, resets = 0, compactions = 0, bad_values = 0;
        double longest_slice_ms = 0;
    };
    State state() const;

private:
    class Connection;
    // State that a parsing thread uses while the loop runs. Shared, since the thread may outlive the client.
    struct SharedState {
        std::unique_ptr<discovery::Source> source;
        discovery::EndpointSet endpoint_set;
        proxy::Timestamp now{};  // when the current message arrived
        std::vector<std::pair<std::string, std::string>> events;
        explicit SharedState(discovery::EndpointSet::Settings settings) : endpoint_set(settings) {}
    };
    void load_snapshot();
    // Passes on all that has changed at once: before the first request is served.
    void pass_all();
    void save_snapshot();
    void make_source();
    void connect();
    void send_request();
    void handle_failure();
    void handle_response(discovery::Response response);
    // Reports the events of a response and decides what follows; applies new settings, if there are any.
    void finish_response(bool good, bool ask_again);
    void report_events();
    void tick();

    Loop& loop_;
    proxy::EndpointListPort& lists_;
    Settings settings_;
    Report report_;
    std::mt19937_64 random_;
    std::shared_ptr<SharedState> shared_;
    struct Adopted {
        policy::EndpointListKind kind;
        std::vector<proxy::DiscoveredEndpoint> entries;
    };
    std::vector<Adopted> adopted_;             // while a message is parsed
    std::unique_ptr<Settings> next_settings_;  // applied when the current job ends
    Background parsing_;
    Background saving_;  // writes a snapshot
    proxy::Timestamp next_snapshot_at_{};
    bool snapshot_outdated_ = false;  // the list has changed since the last snapshot
    proxy::SlotMap<Connection> connections_;
    proxy::Handle connection_, retry_, timer_;
    proxy::Timestamp asked_at_{};
    std::size_t endpoint_ = 0;
    int failures_in_a_row_ = 0;
    bool closed_ = false;
    State state_;
};

}  // namespace linnetlead::net
