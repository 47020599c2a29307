// Health of the endpoints as observed by all gateways together. Each gateway reports its statistics of an
// endpoint (HealthEvidence) to the few gateways that keep the endpoint's score board (ScoreBoard), its
// keepers. Keepers publish their opinions as records of the config agreement, and every gateway derives the
// same verdict from the same records (verdicts.h). A degraded endpoint is set aside most of the time: it gets
// the requests that no other endpoint can take, and a small share of its usual requests, by which its
// recovery is noticed. On probation its share grows back gradually, so slowly that the requests of all
// gateways together don't overload it. The gateway's server calls it. No I/O and no clock.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cluster/health/health_evidence.h"
#include "cluster/health/health_port.h"
#include "cluster/health/report_outbox.h"
#include "cluster/health/score_board.h"
#include "cluster/health/verdicts.h"

namespace linnetlead::health {

class SharedHealth {
public:
    struct Settings {
        int gateways = 1;
        int self = 0;
        std::uint16_t process = 0;  // identifies this process of the gateway; differs after each start
        bool shared = true;         // false: each gateway uses only its own statistics
        int keepers = 3;  // of an endpoint; at most 2 in a large group, to limit the number of reports
        ScoreThresholds thresholds;
        double max_degraded_share = 1.0 / 3;                 // of all endpoints' weight
        Duration probation_ramp = std::chrono::seconds(10);  // until an endpoint has its whole share again
        double slow_start_min_share = 0.2;  // of an endpoint's share, at the start of probation
        double degraded_share = 0.05;       // of an endpoint's share, while degraded
        double datagrams_per_s = 24;        // datagrams of reports that this gateway sends
    };
    // `port` has to outlive this object.
    SharedHealth(const Settings& settings, HealthPort& port);

    // Applies a change of the endpoint list, or the whole list.
    void on_endpoint_list(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries);
    void on_attempt_end(Timestamp now, const EndpointId& endpoint, int traffic_class, double units,
                        policy::Outcome outcome, Duration latency);
    // Processes a datagram of reports from the gateway `from`.
    void on_report(Timestamp now, int from, const std::string& payload);
    // To be called about every 50 ms.
    void tick(Timestamp now);

    Verdict verdict(const EndpointId& endpoint) const;
    // Endpoints that get no first attempts in the current time slice.
    const std::unordered_set<EndpointId>& set_aside() const { return set_aside_; }
    bool is_set_aside(const EndpointId& endpoint) const { return set_aside_.count(endpoint) > 0; }
    std::vector<EndpointId> degraded() const;
    // Most endpoints fail at this gateway only: the fault is likely its own host or network.
    bool is_outlier() const { return is_outlier_; }
    // Null if this gateway is not a keeper of the endpoint.
    const ScoreBoard* board(const EndpointId& endpoint) const;

private:
    struct Endpoint {
        std::uint32_t hash = 0;
        double weight = 1;
        Timestamp started{};
        bool in_service = true;
        std::vector<int> keepers;
        Verdict verdict = Verdict::kHealthy;
        Timestamp since{};  // when it became bad or recovered; used with the verdict

        std::uint16_t process() const { return process_hash_of(started); }
    };
    struct KeptBoard {
        ScoreBoard board;
        Timestamp published_at{}, recovered_at{};
        Opinion published = Opinion::kGood;
    };
    struct TimedVerdict {
        Verdict verdict = Verdict::kHealthy;
        Timestamp since{};
    };

    int min_gateways() const;
    int majority() const { return settings_.keepers / 2 + 1; }
    void remove_endpoint(const EndpointId& id);
    void remove_unlisted(const std::vector<policy::EndpointInfo>& entries);
    void update_endpoint(const policy::EndpointInfo& entry);
    void assign_keepers();
    void send_reports(Timestamp now);
    void report_to_own_board(Timestamp now, const EndpointId& id, const Endpoint& endpoint,
                             const DecayingStats& stats);
    void update_opinions(Timestamp now);
    void publish_opinion(Timestamp now, const Endpoint& endpoint, KeptBoard& kept);
    KeeperOpinions opinions_on(const EndpointId& id, const Endpoint& endpoint) const;
    void update_verdicts(Timestamp now);
    void update_outlier(Timestamp now);
    double request_share(Timestamp now, const Endpoint& endpoint) const;
    void update_set_aside(Timestamp now);

    Settings settings_;
    HealthPort& port_;
    HealthEvidence evidence_;
    std::unordered_map<EndpointId, Endpoint> endpoints_;  // the listed endpoints
    std::map<std::uint32_t, EndpointId> ids_by_hash_;
    std::unordered_map<EndpointId, KeptBoard> boards_;  // of the endpoints that this gateway is a keeper of
    std::unordered_set<EndpointId> doubted_;            // doubtful or bad in the opinion of any keeper
    std::unordered_set<EndpointId> set_aside_;
    Timestamp next_update_{}, next_keeper_update_{};
    DatagramAllowance sent_reports_;
    std::vector<DatagramAllowance> received_reports_;  // by gateway
    bool is_outlier_ = false;
};

}  // namespace linnetlead::health
