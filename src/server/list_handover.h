// The endpoint list between two processes of one gateway. The process that takes over is handed the list as
// the other one holds it, and from then on each tells the other what its own registry reports. So an endpoint
// that drains is known to both while the registry is silent.
//
// A process stands between its registry and the overrides: ListHandover is the port that the registry reports
// to. News of the other process is applied only where this process's own registry has not reported anything
// as new. Versions are compared only within one registry.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "admin/hot_restart/hot_restart_message.h"
#include "admin/maintenance_overrides.h"

namespace linnetlead::server {

// Which list it is.
struct ListPosition {
    std::string registry;       // its address, or what names its keys
    std::int64_t version = -1;  // -1: none
};

// Splits a list into messages, as many as the other process reads without delay.
class ListParts {
public:
    // The endpoints are looked up when their part is made, so that it is up to date.
    ListParts(const admin::MaintenanceOverrides& lists, ListPosition position);
    // None behind the last one.
    std::optional<hot_restart::Message> next();

private:
    const admin::MaintenanceOverrides* lists_;
    ListPosition position_;
    std::vector<proxy::EndpointId> ids_;
    std::size_t sent_ = 0;
    bool is_complete_ = false;
};

class ListHandover final : public proxy::EndpointListPort {
public:
    // What this process's own registry has reported; none: nothing yet.
    using Reported = std::function<std::optional<ListPosition>()>;
    // Applies a list, or changes, of another process.
    using Apply =
        std::function<void(policy::EndpointListKind, const std::vector<proxy::DiscoveredEndpoint>&)>;
    using Send = std::function<void(const hot_restart::Message&)>;

    // `reported`: see Reported. Both outlive it.
    ListHandover(admin::MaintenanceOverrides& lists, Reported reported);
    // Before the first list. `start`: of this process's registry, and of the list that it starts with.
    // `apply`: null: to the overrides.
    void begin(ListPosition start, Apply apply);
    // Takes the news of this process's own registry; null: no other process is there.
    void send_with(Send send) { send_ = std::move(send); }

    // From the registry, or the list that this process starts with.
    void listed(policy::EndpointListKind kind,
                const std::vector<proxy::DiscoveredEndpoint>& entries) override;
    // The list as this process holds it; none: it holds no list.
    std::optional<ListParts> parts() const;

    enum class Taken { kApplied, kKept, kIgnored, kMalformed };
    // A message of another process: a part of its list, or changes. kKept: further parts follow.
    Taken take(const hot_restart::Message& message);
    // The other process is gone: a list that is not complete is dropped.
    void drop_incomplete() { incoming_ = {}; }

private:
    struct Incoming {
        bool is_open = false;
        std::vector<proxy::DiscoveredEndpoint> entries;
    };
    bool is_news(const ListPosition& position) const;
    // What a whole list changes.
    std::vector<proxy::DiscoveredEndpoint> difference(
        const std::vector<proxy::DiscoveredEndpoint>& whole) const;
    void apply(policy::EndpointListKind kind, const ListPosition& position,
               const std::vector<proxy::DiscoveredEndpoint>& entries);
    void send_changes(const std::vector<proxy::DiscoveredEndpoint>& changes, const ListPosition& position);

    admin::MaintenanceOverrides& lists_;
    ListPosition held_;  // of the list as it is now
    const Reported reported_;
    Apply apply_;
    Send send_;
    Incoming incoming_;
};

}  // namespace linnetlead::server
