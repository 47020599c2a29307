#include "cluster/health/health_codec.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "cluster/agreement/cbor.h"
#include "cluster/agreement/hash.h"

namespace linnetlead::health {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

// Sums are sent as integers: multiplied by these factors and rounded.
constexpr double kCountScale = 16, kSlownessScale = 64;
// With more attempts, all sums of the report are scaled down to this many attempts.
constexpr double kMaxAttemptsSent = 4000;
// Tolerance for rounded sums that contradict each other.
constexpr double kRoundingTolerance = 0.2;
constexpr double kMaxLogSlowness = 2.6;  // of one attempt, ln of the ratio

json encode_report(const EndpointReport& report, Timestamp now) {
    const DecayingStats& stats = report.stats;
    const double reduction = std::max(1.0, stats.attempts / kMaxAttemptsSent);
    return {report.endpoint_hash,
            report.endpoint_process,
            std::max<std::int64_t>((now - stats.at) / 1ms, 0),
            std::lround(stats.attempts / reduction * kCountScale),
            std::lround(stats.failures / reduction * kCountScale),
            std::lround(stats.answered / reduction * kCountScale),
            std::lround(stats.log_slowness / reduction * kSlownessScale)};
}

bool is_report(const json& from) {
    constexpr std::size_t kFields = 7;
    return from.is_array() && from.size() == kFields &&
           std::all_of(from.begin(), from.end(), [](const json& one) { return one.is_number_integer(); });
}

EndpointReport decode_report(const json& from, Timestamp sent) {
    EndpointReport report;
    report.endpoint_hash = from[0].get<std::uint32_t>();
    report.endpoint_process = from[1].get<std::uint16_t>();
    report.stats.at = sent - std::chrono::milliseconds(from[2].get<std::int64_t>());
    report.stats.attempts = from[3].get<double>() / kCountScale;
    report.stats.failures = from[4].get<double>() / kCountScale;
    report.stats.answered = from[5].get<double>() / kCountScale;
    report.stats.log_slowness = from[6].get<double>() / kSlownessScale;
    return report;
}

bool is_possible(const DecayingStats& stats) {
    return stats.attempts >= 0 && stats.failures >= 0 && stats.answered >= 0 &&
           stats.failures + stats.answered <= stats.attempts + kRoundingTolerance &&
           std::abs(stats.log_slowness) <= kMaxLogSlowness * stats.answered + kRoundingTolerance;
}

std::string hex_of(std::uint32_t hash) {
    char text[12];
    std::snprintf(text, sizeof(text), "%08x", hash);
    return text;
}

}  // namespace

std::string opinion_prefix(std::uint32_t endpoint_hash) {
    return kOpinionPrefix + hex_of(endpoint_hash) + '/';
}

std::string opinion_key(std::uint32_t endpoint_hash, int gateway) {
    return opinion_prefix(endpoint_hash) + std::to_string(gateway);
}

std::uint32_t endpoint_hash_of(const EndpointId& endpoint) {
    return agreement::short_hash(agreement::hash_of(endpoint));
}

std::uint16_t process_hash_of(Timestamp started) {
    const std::int64_t ms = started / 1ms;
    return static_cast<std::uint16_t>(agreement::hash_of({reinterpret_cast<const char*>(&ms), sizeof(ms)}));
}

std::string encode_reports(const HealthReports& reports) {
    json list = json::array();
    for (const EndpointReport& one : reports.reports) list.push_back(encode_report(one, reports.sent));
    return agreement::write_cbor(
        json{reports.gateway_process, reports.outlier ? 1 : 0, reports.sent / 1ms, std::move(list)});
}

std::optional<HealthReports> decode_reports(const std::string& payload) {
    const json read = agreement::read_cbor(payload);
    if (!read.is_array() || read.size() != 4 || !read[3].is_array()) return std::nullopt;
    for (const std::size_t i : {0, 1, 2}) {
        if (!read[i].is_number_integer()) return std::nullopt;
    }
    HealthReports reports;
    reports.gateway_process = read[0].get<std::uint16_t>();
    reports.outlier = read[1].get<int>() != 0;
    reports.sent = std::chrono::milliseconds(read[2].get<std::int64_t>());
    for (const json& one : read[3]) {
        if (!is_report(one)) break;
        EndpointReport report = decode_report(one, reports.sent);
        if (is_possible(report.stats)) reports.reports.push_back(report);
    }
    return reports;
}

std::string encode_opinion(const PublishedOpinion& opinion) {
    return agreement::write_cbor(
        json{static_cast<unsigned>(opinion.opinion), static_cast<std::uint64_t>(opinion.since / 1ms),
             static_cast<std::uint64_t>(opinion.recovered_at / 1ms), opinion.endpoint_process});
}

std::optional<PublishedOpinion> decode_opinion(const std::string& value) {
    const json read = agreement::read_cbor(value);
    if (!read.is_array() || read.size() != 4) return std::nullopt;
    if (!std::all_of(read.begin(), read.end(), [](const json& one) { return one.is_number_unsigned(); })) {
        return std::nullopt;
    }
    if (read[0].get<unsigned>() > static_cast<unsigned>(Opinion::kBad)) return std::nullopt;
    PublishedOpinion opinion;
    opinion.opinion = static_cast<Opinion>(read[0].get<int>());
    opinion.since = std::chrono::milliseconds(read[1].get<std::int64_t>());
    opinion.recovered_at = std::chrono::milliseconds(read[2].get<std::int64_t>());
    opinion.endpoint_process = read[3].get<std::uint16_t>();
    return opinion;
}

}  // namespace linnetlead::health
