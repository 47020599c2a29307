// Relays of the distribution as processes of their own, for hollow gateways to follow; and changes to give
// them.
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cluster/distribution/frames.h"
#include "testing/socket_peer.h"

namespace linnetlead::test_support {

class LightweightRelays {
public:
    // Over six regions and as many zones as there are relays, fourteen at most (zone-0, zone-1, ...); the
    // first `voters` vote. Returns with all of them up; one leads a moment later.
    LightweightRelays(std::string program, int relays, int voters);
    ~LightweightRelays();
    LightweightRelays(const LightweightRelays&) = delete;
    LightweightRelays& operator=(const LightweightRelays&) = delete;

    std::string file() const { return folder_ + "/fleet.star"; }
    const std::string& text() const { return text_; }  // of that file
    int zones() const { return zones_; }
    int count() const { return static_cast<int>(ports_.size()); }
    void start(int relay);  // with what it had on disk
    void kill(int relay);
    bool runs(int relay) const { return processes_[static_cast<std::size_t>(relay)] != nullptr; }
    Process& process(int relay) { return *processes_[static_cast<std::size_t>(relay)]; }

    // Waits for the answer; nothing: none came within ten seconds.
    std::optional<distribution::Answer> submit(int relay, const distribution::Change& change) const;
    nlohmann::json state(int relay) const;  // null: it does not answer
    std::optional<int> leader() const;
    bool wait_for_leader() const;  // false: none within ten seconds
    // Keeps the pipes of their logs from filling up.
    void read_logs();

private:
    std::optional<distribution::Answer> ask(int relay, std::uint64_t request,
                                            const distribution::Frame& frame) const;

    std::string program_, folder_, text_;
    int zones_, voters_;
    std::vector<std::uint16_t> ports_;
    std::vector<std::unique_ptr<Process>> processes_;
    mutable std::uint64_t requests_ = 0;
};

// Other terms for so many tenants from the one of this number on. No two have the same id or the same values.
distribution::Change tenants_change(int first, int keys);

}  // namespace linnetlead::test_support
