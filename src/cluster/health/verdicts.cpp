#include "cluster/health/verdicts.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace linnetlead::health {

namespace {

constexpr double kShareTolerance = 1e-9;  // rounding error of summed weights

}  // namespace

const char* to_string(Verdict verdict) {
    constexpr const char* kNames[] = {"healthy", "degraded", "probation"};
    return kNames[static_cast<int>(verdict)];
}

void KeeperOpinions::add(const PublishedOpinion& opinion) {
    if (opinion.opinion == Opinion::kBad) bad_since_.push_back(opinion.since);
    if (opinion.recovered_at > Timestamp{}) recovered_at_.push_back(opinion.recovered_at);
    if (opinion.opinion != Opinion::kGood) any_doubt_ = true;
}

std::optional<Timestamp> KeeperOpinions::bad_since(int majority) {
    const auto needed = static_cast<std::size_t>(majority);
    if (bad_since_.size() < needed) return std::nullopt;
    std::sort(bad_since_.begin(), bad_since_.end());
    return bad_since_[needed - 1];
}

std::optional<Timestamp> KeeperOpinions::recovered_at(int majority) {
    const auto needed = static_cast<std::size_t>(majority);
    if (recovered_at_.size() < needed) return std::nullopt;
    std::sort(recovered_at_.begin(), recovered_at_.end(), std::greater<>());
    return recovered_at_[needed - 1];
}

std::vector<BadEndpoint> limit_degraded(std::vector<BadEndpoint> bad, double total_weight, double max_share) {
    std::sort(bad.begin(), bad.end(), [](const BadEndpoint& a, const BadEndpoint& b) {
        return std::tie(a.since, a.hash) < std::tie(b.since, b.hash);
    });
    double degraded = 0;
    std::size_t count = 0;
    for (; count < bad.size(); ++count) {
        if (degraded + bad[count].weight > total_weight * max_share + kShareTolerance) break;
        degraded += bad[count].weight;
    }
    bad.resize(count);
    return bad;
}

}  // namespace linnetlead::health
