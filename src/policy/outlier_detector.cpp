#include "policy/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace linnetlead::policy {

namespace {

using namespace std::chrono_literals;

constexpr double kEndpointGain = 0.5;  // one failure at once halves an endpoint's success probability
constexpr double kEndpointDecayS = 2;  // seconds in which the failure share decays by a factor of e
constexpr double kDomainGain = 0.05;   // lower, since a failure domain sees the attempts of many endpoints
constexpr double kDomainDecayS = 10;
// An endpoint with at least this success probability counts as healthy, so that the remainder of an old
// failure does not decide a comparison.
constexpr double kHealthyProbability = 0.9;
// Exponent of success probabilities; doubled if a failed attempt can't be retried.
constexpr double kProbabilityPower = 2;
// Above 0: it is a divisor, and every endpoint has to be tried again some time.
constexpr double kMinProbability = 0.004;
constexpr int kRejectionsToEject = 2;  // in a row
constexpr Duration kEjection = 250ms;  // multiplied by the number of ejections in a row
constexpr int kMaxEjections = 8;       // largest multiple of kEjection

}  // namespace

void OutlierDetector::reset(Endpoint& endpoint) const {
    endpoint.failures = {};
    endpoint.consecutive_rejections = 0;
    endpoint.ejected_until = {};
}

void OutlierDetector::assign_domains(Endpoint& endpoint) {
    const std::size_t traffic_classes = settings_.classes.size();
    endpoint.failure_domains = {&domains_.try_emplace(endpoint.info.kind, traffic_classes).first->second,
                                &domains_.try_emplace(endpoint.info.zone, traffic_classes).first->second};
}

void OutlierDetector::record(Endpoint& endpoint, int traffic_class, bool failed, Timestamp now) const {
    endpoint.failures.add(failed, kEndpointGain, now, kEndpointDecayS);
    for (std::vector<FailureAverage>* const domain : endpoint.failure_domains) {
        (*domain)[static_cast<std::size_t>(traffic_class)].add(failed, kDomainGain, now, kDomainDecayS);
    }
}

// Ejects endpoints that drain or are full before the list says so: they reject at once, so they seem idle and
// the load balancer would prefer them. A single rejection between answers does not eject, since a full
// endpoint still serves requests.
bool OutlierDetector::record_rejection(Endpoint& endpoint, Timestamp now) const {
    if (++endpoint.consecutive_rejections < kRejectionsToEject) return false;
    const int ejections = endpoint.consecutive_rejections - kRejectionsToEject + 1;
    endpoint.ejected_until = now + kEjection * std::min(ejections, kMaxEjections);
    return true;
}

// The failures of a domain (a partitioned zone, a kind that does not answer one class) lower the probability
// of all its endpoints, before each of them has been tried.
double OutlierDetector::success_probability(const Endpoint& endpoint, int traffic_class,
                                            Timestamp now) const {
    const auto class_index = static_cast<std::size_t>(traffic_class);
    double failing = 0;
    for (const std::vector<FailureAverage>* const domain : endpoint.failure_domains) {
        const FailureAverage& average = (*domain)[class_index];
        if (average.share > 0) failing = std::max(failing, average.at(now, kDomainDecayS));
    }
    const double measured = (1 - endpoint.failures.at(now, kEndpointDecayS)) * (1 - failing);
    const double probability = std::min(1.0, measured / kHealthyProbability);
    const bool may_not_retry = settings_.classes[class_index].idempotency == Idempotency::kNonIdempotent;
    const double power = may_not_retry ? 2 * kProbabilityPower : kProbabilityPower;
    return std::max(kMinProbability, std::pow(probability, power));
}

std::size_t OutlierDetector::ejected_count(const EndpointSet& endpoints, Timestamp now) const {
    std::size_t ejected = 0;
    for (const auto& [id, endpoint] : endpoints.all()) {
        ejected += endpoint.is_in_service() && is_ejected(endpoint, now) ? 1 : 0;
    }
    return ejected;
}

}  // namespace linnetlead::policy
