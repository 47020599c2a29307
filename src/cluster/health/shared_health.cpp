#include "cluster/health/shared_health.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "cluster/health/keepers.h"

namespace linnetlead::health {

using namespace std::chrono_literals;
using policy::EndpointListKind;
using policy::EndpointState;

namespace {

constexpr Duration kUpdateInterval = 100ms;
constexpr Duration kKeeperUpdateInterval = 1s;  // of the choice of keepers and the outlier state
// Datagrams accepted from one gateway; more are dropped, so that a flooding gateway has no more influence
// than others.
constexpr double kMaxReceivedPerS = 30;
// Reports outside these limits come from a gateway with a wrong clock, or one that was stalled; they are
// ignored.
constexpr Duration kMaxAhead = 1s, kMaxReportAge = 1min;
// An endpoint is set aside, or not, for a whole time slice.
constexpr Duration kSetAsideSlice = 250ms;
constexpr Duration kOpinionLife = 20s, kOpinionRepeat = 8s;
constexpr int kLargeGroup = 30;  // gateways
constexpr int kLargeGroupKeepers = 2;

// Minimum attempts and failure rate of an endpoint that counts as failing at this gateway only.
constexpr double kMinOutlierAttempts = 3, kMinOutlierFailureRate = 0.4;

}  // namespace

const char* to_string(HealthEventKind kind) {
    constexpr const char* kNames[] = {"opinion", "health", "odd one out", "no longer odd"};
    return kNames[static_cast<int>(kind)];
}

SharedHealth::SharedHealth(const Settings& settings, HealthPort& port)
    : settings_(settings),
      port_(port),
      sent_reports_(settings.datagrams_per_s),
      received_reports_(static_cast<std::size_t>(settings.gateways),
                        DatagramAllowance(kMaxReceivedPerS, kMaxReceivedPerS)) {
    if (settings_.gateways == 1) settings_.shared = false;
    if (settings_.gateways > kLargeGroup) settings_.keepers = std::min(settings_.keepers, kLargeGroupKeepers);
    settings_.keepers = settings_.shared ? std::min(settings_.keepers, settings_.gateways) : 1;
}

// An opinion takes the reports of two gateways, unless there is only one.
int SharedHealth::min_gateways() const { return settings_.shared ? 2 : 1; }

// ---- The endpoint list ----------------------------------------------------------------------------------

void SharedHealth::remove_endpoint(const EndpointId& id) {
    evidence_.remove(id);
    boards_.erase(id);
    doubted_.erase(id);
    set_aside_.erase(id);
    ids_by_hash_.erase(endpoint_hash_of(id));
    endpoints_.erase(id);
}

void SharedHealth::remove_unlisted(const std::vector<policy::EndpointInfo>& entries) {
    std::unordered_set<EndpointId> listed;
    for (const auto& entry : entries) listed.insert(entry.id);
    std::vector<EndpointId> unlisted;
    for (const auto& [id, endpoint] : endpoints_) {
        if (listed.count(id) == 0) unlisted.push_back(id);
    }
    for (const EndpointId& id : unlisted) remove_endpoint(id);
}

void SharedHealth::update_endpoint(const policy::EndpointInfo& entry) {
    Endpoint& endpoint = endpoints_[entry.id];
    endpoint.hash = endpoint_hash_of(entry.id);
    ids_by_hash_[endpoint.hash] = entry.id;
    endpoint.weight = entry.weight;
    endpoint.in_service = entry.state == EndpointState::kInService;
    if (endpoint.started != entry.started) {
        endpoint.started = entry.started;
        endpoint.verdict = Verdict::kHealthy;
        boards_.erase(entry.id);
    }
    evidence_.set_endpoint(entry.id, entry.kind, entry.started);
}

void SharedHealth::on_endpoint_list(EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries) {
    if (kind == EndpointListKind::kFailed) return;
    if (kind != EndpointListKind::kChanges) remove_unlisted(entries);
    for (const auto& entry : entries) {
        if (entry.state == EndpointState::kRemoved) {
            remove_endpoint(entry.id);
        } else {
            update_endpoint(entry);
        }
    }
    next_keeper_update_ = {};
}

void SharedHealth::assign_keepers() {
    std::vector<int> present;
    for (int gateway = 0; gateway < settings_.gateways; ++gateway) {
        if (gateway == settings_.self || (settings_.shared && port_.is_present(gateway))) {
            present.push_back(gateway);
        }
    }
    for (auto& [id, endpoint] : endpoints_) {
        endpoint.keepers = settings_.shared ? choose_keepers(endpoint.hash, present, settings_.keepers)
                                            : std::vector<int>{settings_.self};
        const auto& keepers = endpoint.keepers;
        if (std::find(keepers.begin(), keepers.end(), settings_.self) != keepers.end()) {
            boards_.try_emplace(id, KeptBoard{ScoreBoard(settings_.thresholds), {}, {}, Opinion::kGood});
        } else {
            boards_.erase(id);
        }
    }
}

// ---- Evidence -------------------------------------------------------------------------------------------

void SharedHealth::on_attempt_end(Timestamp now, const EndpointId& endpoint, int traffic_class, double units,
                                  policy::Outcome outcome, Duration latency) {
    evidence_.on_attempt_end(now, endpoint, traffic_class, units, outcome, latency);
}

void SharedHealth::report_to_own_board(Timestamp now, const EndpointId& id, const Endpoint& endpoint,
                                       const DecayingStats& stats) {
    const auto kept = boards_.find(id);
    if (kept == boards_.end()) return;
    kept->second.board.add_report(
        now, {settings_.self, settings_.process, endpoint.process(), stats, is_outlier_});
}

// Reports doubted endpoints first, then those with the latest change. The order does not depend on the
// outcome of attempts: otherwise failures would be reported before successes, and the keepers' view would be
// biased.
void SharedHealth::send_reports(Timestamp now) {
    sent_reports_.refill(now);
    std::vector<EndpointId> changed = evidence_.take_changed(evidence_.size());
    std::stable_partition(changed.begin(), changed.end(),
                          [this](const EndpointId& id) { return doubted_.count(id) > 0; });
    ReportOutbox outbox(port_, sent_reports_, {settings_.process, is_outlier_}, now);
    std::size_t reported = 0;
    for (; reported < changed.size(); ++reported) {
        const EndpointId& id = changed[reported];
        const Endpoint& endpoint = endpoints_.at(id);
        const DecayingStats& stats = *evidence_.stats(id);
        if (!outbox.has_room_for(endpoint.keepers.size())) break;
        for (const int keeper : endpoint.keepers) {
            if (keeper == settings_.self) {
                report_to_own_board(now, id, endpoint, stats);
            } else {
                outbox.add(keeper, {endpoint.hash, endpoint.process(), stats});
            }
        }
    }
    outbox.flush();
    // Marks the endpoints that were not reported, oldest first, so that the next call gets them in the same
    // order.
    for (std::size_t i = changed.size(); i > reported; --i) evidence_.mark_changed(changed[i - 1]);
}

void SharedHealth::on_report(Timestamp now, int from, const std::string& payload) {
    if (from < 0 || from >= settings_.gateways || !settings_.shared) return;
    DatagramAllowance& allowance = received_reports_[static_cast<std::size_t>(from)];
    allowance.refill(now);
    if (allowance.available() < 1) return;
    allowance.take();
    const auto reports = decode_reports(payload);
    if (!reports || reports->sent > now + kMaxAhead || reports->sent < now - kMaxReportAge) return;
    for (const EndpointReport& one : reports->reports) {
        const auto id = ids_by_hash_.find(one.endpoint_hash);
        const auto kept = id == ids_by_hash_.end() ? boards_.end() : boards_.find(id->second);
        if (kept == boards_.end()) continue;
        // The report is on another process of the endpoint: the sender has an older or newer endpoint list.
        if (one.endpoint_process != endpoints_.at(id->second).process()) continue;
        kept->second.board.add_report(
            now, {from, reports->gateway_process, one.endpoint_process, one.stats, reports->outlier});
    }
}

// ---- Opinions and verdicts ------------------------------------------------------------------------------

void SharedHealth::publish_opinion(Timestamp now, const Endpoint& endpoint, KeptBoard& kept) {
    const Opinion opinion = kept.board.opinion();
    if (kept.published == Opinion::kBad && opinion != Opinion::kBad) kept.recovered_at = now;
    const bool stays_good = opinion == Opinion::kGood && kept.published == Opinion::kGood;
    if (opinion == kept.published && (stays_good || now - kept.published_at < kOpinionRepeat)) return;
    kept.published = opinion;
    kept.published_at = now;
    // The record of a recovery has to last for the whole probation.
    const Duration life =
        opinion == Opinion::kBad ? kOpinionLife : std::max(kOpinionLife, 2 * settings_.probation_ramp);
    const PublishedOpinion published{opinion, kept.board.opinion_since(), kept.recovered_at,
                                     endpoint.process()};
    port_.publish_opinion(opinion_key(endpoint.hash, settings_.self), encode_opinion(published), life);
}

void SharedHealth::update_opinions(Timestamp now) {
    for (auto& [id, kept] : boards_) {
        const bool changed = kept.board.update_opinion(now, min_gateways());
        const Opinion opinion = kept.board.opinion();
        if (!settings_.shared) {
            if (kept.published == Opinion::kBad && opinion != Opinion::kBad) kept.recovered_at = now;
            kept.published = opinion;
            continue;
        }
        if (changed && opinion != Opinion::kDoubtful) {
            const Assessment& seen = kept.board.assessment();
            char text[200];
            std::snprintf(
                text, sizeof(text),
                "%s is %s: %.2f times the usual latency, %.2f failure rate, %.1f attempts of %d gateways",
                id.c_str(), to_string(opinion), seen.slowness, seen.failure_rate, seen.attempts,
                seen.gateways);
            port_.on_event({now, HealthEventKind::kOpinion, text});
        }
        publish_opinion(now, endpoints_.at(id), kept);
    }
}

KeeperOpinions SharedHealth::opinions_on(const EndpointId& id, const Endpoint& endpoint) const {
    KeeperOpinions opinions;
    if (settings_.shared) {
        const std::uint16_t process = endpoint.process();
        port_.for_each_opinion(opinion_prefix(endpoint.hash), [&](const agreement::Record& record) {
            if (record.deleted) return;
            const auto opinion = decode_opinion(record.value);
            if (opinion && opinion->endpoint_process == process) opinions.add(*opinion);
        });
    } else if (const auto kept = boards_.find(id); kept != boards_.end()) {
        const ScoreBoard& board = kept->second.board;
        opinions.add({board.opinion(), board.opinion_since(), kept->second.recovered_at, endpoint.process()});
    }
    return opinions;
}

void SharedHealth::update_verdicts(Timestamp now) {
    std::vector<BadEndpoint> bad;
    double total_weight = 0;
    doubted_.clear();
    std::unordered_map<EndpointId, TimedVerdict> verdicts;  // of the endpoints that are not healthy
    for (const auto& [id, endpoint] : endpoints_) {
        if (!endpoint.in_service) continue;
        total_weight += endpoint.weight;
        KeeperOpinions opinions = opinions_on(id, endpoint);
        if (opinions.any_doubt()) doubted_.insert(id);
        if (const auto since = opinions.bad_since(majority())) {
            bad.push_back({*since, endpoint.hash, id, endpoint.weight});
        } else if (const auto at = opinions.recovered_at(majority());
                   at && now - *at < settings_.probation_ramp) {
            verdicts[id] = {Verdict::kProbation, *at};
        }
    }
    for (const BadEndpoint& one :
         limit_degraded(std::move(bad), total_weight, settings_.max_degraded_share)) {
        verdicts[one.id] = {Verdict::kDegraded, one.since};
    }
    for (auto& [id, endpoint] : endpoints_) {
        const auto at = verdicts.find(id);
        const TimedVerdict next = at == verdicts.end() ? TimedVerdict{} : at->second;
        if (next.verdict != endpoint.verdict) {
            port_.on_event({now, HealthEventKind::kVerdict, id + " is " + to_string(next.verdict)});
        }
        endpoint.verdict = next.verdict;
        endpoint.since = next.since;
    }
}

// This gateway is an outlier if at least half of the endpoints that no keeper doubts fail here: its own host
// or network is then at fault.
void SharedHealth::update_outlier(Timestamp now) {
    int seen = 0, failing_here = 0;
    evidence_.for_each([&](const EndpointId& id, const DecayingStats& stats) {
        const DecayingStats recent = stats.decayed_to(now);
        const Endpoint& endpoint = endpoints_.at(id);
        // Other gateways observe the faults of a doubted endpoint too, even if the limit keeps it from being
        // degraded.
        if (recent.attempts < kMinOutlierAttempts || endpoint.verdict == Verdict::kDegraded ||
            doubted_.count(id) > 0) {
            return;
        }
        ++seen;
        if (recent.failures / recent.attempts > kMinOutlierFailureRate) ++failing_here;
    });
    const bool outlier = settings_.shared && seen >= 2 && 2 * failing_here >= seen;
    if (outlier != is_outlier_) {
        port_.on_event({now, outlier ? HealthEventKind::kOutlier : HealthEventKind::kNotOutlier,
                        std::to_string(failing_here) + " of " + std::to_string(seen) +
                            " endpoints fail at this gateway only"});
    }
    is_outlier_ = outlier;
}

// ---- Setting aside --------------------------------------------------------------------------------------

double SharedHealth::request_share(Timestamp now, const Endpoint& endpoint) const {
    if (endpoint.verdict == Verdict::kDegraded) return settings_.degraded_share;
    if (endpoint.verdict == Verdict::kHealthy) return 1;
    const double elapsed = std::chrono::duration<double>(now - endpoint.since) / settings_.probation_ramp;
    return std::clamp(settings_.slow_start_min_share + (1 - settings_.slow_start_min_share) * elapsed, 0.0,
                      1.0);
}

// Sets each endpoint aside in a pseudo-random selection of time slices, so that it is in use for its share of
// them. The selection differs between gateways, so that the endpoint gets a steady share of the requests of
// all together.
void SharedHealth::update_set_aside(Timestamp now) {
    constexpr std::uint64_t kSliceFactor = 10007;  // greater than any gateway's number
    bool changed = false;
    for (const auto& [id, endpoint] : endpoints_) {
        const double share = request_share(now, endpoint);
        const auto slice = static_cast<std::uint64_t>(now / kSetAsideSlice);
        const auto draw =
            hash_with(endpoint.hash, slice * kSliceFactor + static_cast<std::uint64_t>(settings_.self));
        const bool aside = share < 1 && static_cast<double>(draw >> 11) * 0x1.0p-53 >= share;
        if (aside == is_set_aside(id)) continue;
        changed = true;
        if (aside) {
            set_aside_.insert(id);
        } else {
            set_aside_.erase(id);
        }
    }
    if (changed) port_.on_set_aside_changed();
}

void SharedHealth::tick(Timestamp now) {
    if (now < next_update_) return;
    next_update_ = now + kUpdateInterval;
    if (now >= next_keeper_update_) {
        next_keeper_update_ = now + kKeeperUpdateInterval;
        assign_keepers();
        update_outlier(now);
    }
    send_reports(now);
    update_opinions(now);
    update_verdicts(now);
    update_set_aside(now);
}

Verdict SharedHealth::verdict(const EndpointId& endpoint) const {
    const auto at = endpoints_.find(endpoint);
    return at == endpoints_.end() ? Verdict::kHealthy : at->second.verdict;
}

std::vector<EndpointId> SharedHealth::degraded() const {
    std::vector<EndpointId> all;
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint.verdict == Verdict::kDegraded) all.push_back(id);
    }
    std::sort(all.begin(), all.end());
    return all;
}

const ScoreBoard* SharedHealth::board(const EndpointId& endpoint) const {
    const auto at = boards_.find(endpoint);
    return at == boards_.end() ? nullptr : &at->second.board;
}

}  // namespace linnetlead::health
