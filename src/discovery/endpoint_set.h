// The endpoint list as a set that yields differences. A registry reports complete lists or changes; the set
// yields what has changed, in slices, so that no consumer blocks the loop. Draining and removed endpoints
// come first. RegistryClient owns one.
//
// Guards against a registry that has lost its data: if a complete list, or the changes within a few seconds,
// would remove more than a given share of the endpoints, they are retained for a given time first. A drain is
// never delayed. The set does no I/O and reads no clock.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "proxy/ports.h"

namespace linnetlead::discovery {

using policy::Duration;
using policy::Timestamp;
using proxy::DiscoveredEndpoint;

class EndpointSet {
public:
    struct Settings {
        double max_gone = 0.5;                     // largest share of the endpoints removed at once
        Duration hold = std::chrono::seconds(30);  // how long endpoints above that share are retained
        std::size_t few = 4;                       // a set of at most this size retains none
    };
    explicit EndpointSet(Settings settings) : settings_(settings) {}

    // Replaces the list. If an id occurs several times, its last entry applies.
    void whole(Timestamp now, const std::vector<DiscoveredEndpoint>& entries);
    // Applies changes; an entry in state kRemoved removes the endpoint.
    void changes(Timestamp now, const std::vector<DiscoveredEndpoint>& entries);
    // Takes the list of a process that has applied this set's rules already: nothing is retained.
    void adopt_whole(const std::vector<DiscoveredEndpoint>& entries);
    void adopt_changes(const std::vector<DiscoveredEndpoint>& entries);
    // Removes the endpoints that have been retained long enough; returns true if there were any.
    bool tick(Timestamp now);

    // Takes the next changes, at most `most`; empty if there are none left.
    std::vector<DiscoveredEndpoint> next(std::size_t most);
    bool pending() const { return !urgent_.empty() || !queue_.empty(); }

    std::size_t size() const { return endpoints_.size(); }
    std::size_t held() const { return retained_.size(); }
    std::uint64_t duplicates() const { return duplicates_; }
    // All endpoints, sorted by id.
    std::vector<DiscoveredEndpoint> all() const;

private:
    struct Endpoint {
        DiscoveredEndpoint listed;
        std::uint64_t list_number = 0;  // number of the last complete list that contains it
        bool queued = false;
    };
    // Returns the ids that the complete list does not contain, sorted.
    std::vector<std::string> take_whole(const std::vector<DiscoveredEndpoint>& entries);
    void upsert(const DiscoveredEndpoint& listed);
    void remove_or_retain(Timestamp now, const std::vector<std::string>& gone);
    void remove(const std::string& id);
    void enqueue(const std::string& id, Endpoint& endpoint, bool urgent);

    Settings settings_;
    std::unordered_map<std::string, Endpoint> endpoints_;
    std::unordered_map<std::string, DiscoveredEndpoint> removed_;  // removed, not yet reported
    std::deque<std::string> urgent_, queue_;
    std::unordered_map<std::string, Timestamp> retained_;  // retained since
    std::uint64_t list_number_ = 0, duplicates_ = 0;
    // Removals within the current time window, and the size at its start.
    Timestamp window_start_{};
    std::size_t size_at_window_start_ = 0, removed_in_window_ = 0;
};

// Whether all listed properties are equal.
bool same(const DiscoveredEndpoint& a, const DiscoveredEndpoint& b);

}  // namespace linnetlead::discovery
