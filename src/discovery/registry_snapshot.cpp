#include "discovery/registry_snapshot.h"

#include <nlohmann/json.hpp>

#include "discovery/registry_source.h"
#include "storage/checksummed_file.h"

namespace linnetlead::discovery {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::string_view kFileKind = "linnetlead-list 1";

}  // namespace

std::string encode_snapshot(const Snapshot& snapshot) {
    std::string text =
        json{{"made_ms", snapshot.created_at / 1ms}, {"workers", snapshot.entries.size()}}.dump() + '\n';
    for (const DiscoveredEndpoint& one : snapshot.entries) {
        const auto& entry = one.entry;
        using policy::EndpointState;
        text += json{{"id", entry.id},
                     {"addr", one.address},
                     {"zone", entry.zone},
                     {"kind", entry.kind},
                     {"cell", entry.cell},
                     {"weight", entry.weight},
                     {"started_ms", entry.started / 1ms},
                     {"state", entry.state == EndpointState::kInService ? "in_service" : "terminating"}}
                    .dump() +
                '\n';
    }
    return storage::encode_checksummed(kFileKind, text);
}

Result<Snapshot> decode_snapshot(const std::string& bytes, policy::Timestamp now, policy::Duration max_age) {
    const auto damaged = [](const char* what) { return fail(ErrorCode::kDataLoss, what); };
    const auto whole = storage::decode_checksummed(kFileKind, bytes);
    if (!whole) return tl::unexpected(whole.error());
    const std::string& text = *whole;
    Snapshot snapshot;
    std::size_t expected_count = 0;
    for (std::size_t at = 0, number = 0; at < text.size(); ++number) {
        const auto end = std::min(text.find('\n', at), text.size());
        const std::string one = text.substr(at, end - at);
        at = end + 1;
        const json read = json::parse(one, nullptr, false);
        if (!read.is_object()) return damaged("a line is not a JSON object");
        if (number == 0) {
            snapshot.created_at = std::chrono::milliseconds(read.value("made_ms", std::int64_t{0}));
            expected_count = read.value("workers", std::size_t{0});
            continue;
        }
        DiscoveredEndpoint listed;
        if (!read_value(read.value("id", ""), one, listed).empty()) return damaged("an endpoint is invalid");
        snapshot.entries.push_back(std::move(listed));
    }
    if (snapshot.entries.size() != expected_count) return damaged("endpoints are missing");
    if (now - snapshot.created_at > max_age) return fail(ErrorCode::kFailedPrecondition, "it is too old");
    return snapshot;
}

}  // namespace linnetlead::discovery
