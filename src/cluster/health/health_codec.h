// Encodes and decodes the datagrams in which gateways report their statistics of endpoints, and the
// replicated records in which keepers publish their opinions. Both are formats that other gateways read: a
// change has to stay compatible. SharedHealth and ReportOutbox use it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/health/score_board.h"

namespace linnetlead::health {

// The key of an opinion's record: "h/ENDPOINT/GATEWAY", with the endpoint's hash in hex.
constexpr const char* kOpinionPrefix = "h/";
std::string opinion_prefix(std::uint32_t endpoint_hash);
std::string opinion_key(std::uint32_t endpoint_hash, int gateway);

// The hash that identifies an endpoint in reports and records, and the hash of its start time, which
// identifies its process.
std::uint32_t endpoint_hash_of(const EndpointId& endpoint);
std::uint16_t process_hash_of(Timestamp started);

struct EndpointReport {
    std::uint32_t endpoint_hash = 0;
    std::uint16_t endpoint_process = 0;
    DecayingStats stats;
};

// The content of one datagram.
struct HealthReports {
    std::uint16_t gateway_process = 0;
    bool outlier = false;
    Timestamp sent{};
    std::vector<EndpointReport> reports;
};
constexpr std::size_t kReportsPerDatagram = 8;
std::string encode_reports(const HealthReports& reports);
// None if the payload is not such a datagram. Skips reports with impossible sums and stops at the first
// malformed report.
std::optional<HealthReports> decode_reports(const std::string& payload);

struct PublishedOpinion {
    Opinion opinion = Opinion::kGood;
    Timestamp since{};
    Timestamp recovered_at{};  // when the opinion last changed from bad; 0: never
    std::uint16_t endpoint_process = 0;
};
std::string encode_opinion(const PublishedOpinion& opinion);
std::optional<PublishedOpinion> decode_opinion(const std::string& value);

}  // namespace linnetlead::health
