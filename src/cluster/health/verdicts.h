// Derives the verdict on an endpoint from its keepers' opinions; SharedHealth calls it. Pure functions: every
// gateway derives the same verdict from the same records.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/health/health_codec.h"

namespace linnetlead::health {

enum class Verdict {
    kHealthy,
    kDegraded,   // gets only a small share of its requests, to notice its recovery
    kProbation,  // recovered; its share of requests grows back gradually
};
const char* to_string(Verdict verdict);

// Collects the opinions of an endpoint's keepers.
class KeeperOpinions {
public:
    void add(const PublishedOpinion& opinion);
    // Whether any keeper's opinion is doubtful or bad.
    bool any_doubt() const { return any_doubt_; }
    // Since when `majority` keepers have considered it bad; none if fewer do. recovered_at() is the same for
    // recoveries.
    std::optional<Timestamp> bad_since(int majority);
    std::optional<Timestamp> recovered_at(int majority);

private:
    std::vector<Timestamp> bad_since_, recovered_at_;
    bool any_doubt_ = false;
};

struct BadEndpoint {
    Timestamp since{};
    std::uint32_t hash = 0;
    EndpointId id;
    double weight = 1;
};
// Returns the endpoints to degrade: those that have been bad longest, up to `max_share` of `total_weight`.
// The limit keeps most endpoints in use: when many look bad at once, the fault is unlikely to be theirs.
std::vector<BadEndpoint> limit_degraded(std::vector<BadEndpoint> bad, double total_weight, double max_share);

}  // namespace linnetlead::health
